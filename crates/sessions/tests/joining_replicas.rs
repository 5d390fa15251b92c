//! A replica that joins many partitions is synchronized with limited concurrency, until all partitions are in sync.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::subscription::{Assignment, StoreMap, StoreNode};
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, EpochNumber, NodeName};
use juniperwing_sessions::{ClockReading, Command, Event, Limits, Store, TransferCallId};

const PARTITIONS: usize = 100;
/// The limit of concurrent synchronizations, with some slack; much smaller than the number of partitions.
const MAX_CONCURRENT: usize = 20;

fn map() -> Arc<StoreMap> {
    let store = |number: u16| StoreNode {
        disk: DiskId(u64::from(number)),
        node: NodeName::from("store"),
        zone: "zone".into(),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
    };
    let assignment = Assignment {
        epoch: EpochNumber(1),
        primary: DiskId(1),
        in_sync: vec![DiskId(1)],
        joining: vec![DiskId(2)],
        lost_replicas: 0,
    };
    let partitions = vec![assignment; PARTITIONS];
    Arc::new(StoreMap { version: 1, stores: vec![store(1), store(2)], partitions })
}

fn digest_calls(commands: Vec<Command>) -> impl Iterator<Item = TransferCallId> {
    commands.into_iter().filter_map(|command| match command {
        Command::Call { call, request: TransferRequest::Digests { .. }, .. } => Some(call),
        _ => None,
    })
}

#[test]
fn synchronizations_of_joining_replicas_are_limited() {
    let limits = Limits { required_replicas: 2, memory_bytes: 1 << 20, disk_bytes: 1 << 20 };
    let mut store = Store::new(DiskId(1), limits);
    let clock = ClockReading { now: Time::from_nanos(1), unix_time_ms: 1 };
    let mut in_flight: VecDeque<TransferCallId> =
        digest_calls(store.handle(clock, Event::StoreMap(map()))).collect();
    // A failed synchronization is retried later.
    let failing = in_flight.pop_front().unwrap();
    in_flight.extend(digest_calls(store.handle(clock, Event::CallCompleted { call: failing, reply: None })));
    let mut max_in_flight = 0;
    while let Some(call) = in_flight.pop_front() {
        max_in_flight = max_in_flight.max(in_flight.len() + 1);
        let reply = Some(TransferReply::Digests(vec![0; 16]));
        in_flight.extend(digest_calls(store.handle(clock, Event::CallCompleted { call, reply })));
    }
    assert!(max_in_flight <= MAX_CONCURRENT, "{max_in_flight} concurrent synchronizations");
    // Guards `DurableMapVersion`: nothing is reported before the map version is on disk.
    assert_eq!(store.caught_up_replicas().len(), 0);
    store.handle(clock, Event::MapVersionWritten { version: 1 });
    assert_eq!(store.caught_up_replicas().len(), PARTITIONS - 1);
    let later = ClockReading { now: clock.now + Span::from_millis(1_000), ..clock };
    for call in digest_calls(store.handle(later, Event::Tick)).collect::<Vec<_>>() {
        let reply = Some(TransferReply::Digests(vec![0; 16]));
        store.handle(later, Event::CallCompleted { call, reply });
    }
    assert_eq!(store.caught_up_replicas().len(), PARTITIONS);
}

#[test]
fn recently_expired_programs_are_synchronized_too() {
    // Guards `SYNC_EXPIRY_SLACK_MS`: on a clock that is seconds ahead, a turn that must still be found has expired
    // already.
    let limits = Limits { required_replicas: 2, memory_bytes: 1 << 20, disk_bytes: 1 << 20 };
    let mut store = Store::new(DiskId(1), limits);
    let clock = ClockReading { now: Time::from_nanos(1), unix_time_ms: 100_000 };
    let live_after =
        store.handle(clock, Event::StoreMap(map())).into_iter().filter_map(|command| match command {
            Command::Call { request: TransferRequest::Digests { live_after_ms, .. }, .. } => {
                Some(live_after_ms)
            }
            _ => None,
        });
    let live_after: Vec<u64> = live_after.collect();
    assert!(!live_after.is_empty() && live_after.iter().all(|ms| *ms == 95_000), "{live_after:?}");
}
