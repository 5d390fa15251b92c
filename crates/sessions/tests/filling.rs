//! A joining replica of many partitions is filled a few partitions at a time, and all of them in the end.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::subscription::{Assignment, StoreMap, StoreNode};
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, EpochNumber, NodeName};
use juniperwing_sessions::{Command, Event, Limits, Moment, Store, TransferCallId};

const PARTITIONS: usize = 100;
/// Far fewer than the partitions.
const AT_ONCE: usize = 20;

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

fn calls(commands: Vec<Command>) -> impl Iterator<Item = TransferCallId> {
    commands.into_iter().filter_map(|command| match command {
        Command::Call { call, request: TransferRequest::Digests { .. }, .. } => Some(call),
        _ => None,
    })
}

#[test]
fn all_partitions_are_filled_a_few_at_a_time() {
    let limits = Limits { required_replicas: 2, memory_bytes: 1 << 20, disk_bytes: 1 << 20 };
    let mut store = Store::new(DiskId(1), limits);
    let moment = Moment { now: Time::from_nanos(1), unix_time_ms: 1 };
    let mut open: VecDeque<TransferCallId> = calls(store.handle(moment, Event::StoreMap(map()))).collect();
    // One that fails takes its turn again later.
    let failing = open.pop_front().unwrap();
    open.extend(calls(store.handle(moment, Event::CallCompleted { call: failing, reply: None })));
    let mut most = 0;
    while let Some(call) = open.pop_front() {
        most = most.max(open.len() + 1);
        let answer = Some(TransferReply::Digests(vec![0; 16]));
        open.extend(calls(store.handle(moment, Event::CallCompleted { call, reply: answer })));
    }
    assert!(most <= AT_ONCE, "{most} at once");
    // Guard: `DurableMapVersion`. Nothing is told before the version of the map is on disk.
    assert_eq!(store.caught_up_replicas().len(), 0);
    store.handle(moment, Event::MapVersionWritten { version: 1 });
    assert_eq!(store.caught_up_replicas().len(), PARTITIONS - 1);
    let later = Moment { now: moment.now + Span::from_millis(1_000), ..moment };
    for call in calls(store.handle(later, Event::Tick)).collect::<Vec<_>>() {
        let answer = Some(TransferReply::Digests(vec![0; 16]));
        store.handle(later, Event::CallCompleted { call, reply: answer });
    }
    assert_eq!(store.caught_up_replicas().len(), PARTITIONS);
}

#[test]
fn what_has_expired_a_short_while_ago_is_filled_too() {
    // Guard: `LEVEL_SLACK_MS`. By a clock that is seconds ahead, a turn that must be known has expired already.
    let limits = Limits { required_replicas: 2, memory_bytes: 1 << 20, disk_bytes: 1 << 20 };
    let mut store = Store::new(DiskId(1), limits);
    let moment = Moment { now: Time::from_nanos(1), unix_time_ms: 100_000 };
    let compared =
        store.handle(moment, Event::StoreMap(map())).into_iter().filter_map(|command| match command {
            Command::Call { request: TransferRequest::Digests { live_after_ms, .. }, .. } => {
                Some(live_after_ms)
            }
            _ => None,
        });
    let compared: Vec<u64> = compared.collect();
    assert!(!compared.is_empty() && compared.iter().all(|after| *after == 95_000), "{compared:?}");
}
