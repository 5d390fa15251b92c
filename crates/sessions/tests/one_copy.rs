//! Two stores of which one is lost: the other goes on alone, and only for as long as nobody else may decide.

use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_clock::Time;
use juniperwing_protocol::session::{BeginTurn, SessionCall, SessionReply, SessionRequest};
use juniperwing_protocol::subscription::{Assignment, StoreMap, StoreNode};
use juniperwing_protocol::transfer::TransferReply;
use juniperwing_protocol::{DiskId, EpochNumber, NodeName, PartitionId, ProgramId, RequestId};
use juniperwing_sessions::{CallerId, Command, Event, Limits, Moment, Store, TransferCallId};

const PARTITION: PartitionId = PartitionId(0);
const OWN: DiskId = DiskId(1);
const OTHER: DiskId = DiskId(2);
const LIMITS: Limits = Limits { required_replicas: 2, memory_bytes: 1 << 20, disk_bytes: 1 << 20 };
const NOW: Moment = Moment { now: Time::from_nanos(1), unix_time_ms: 1_000 };
/// The digests of a replica that holds nothing.
const EMPTY: [u64; 16] = [0; 16];

fn map(version: u64, in_sync: &[DiskId], joining: &[DiskId], lost_copies: u16) -> Event {
    let store = |disk: DiskId| StoreNode {
        disk,
        node: NodeName::from("store"),
        zone: "zone".into(),
        address: SocketAddr::from(([127, 0, 0, 1], disk.0 as u16)),
    };
    let assignment = Assignment {
        epoch: EpochNumber(version),
        primary: OWN,
        in_sync: in_sync.to_vec(),
        joining: joining.to_vec(),
        lost_replicas: lost_copies,
    };
    let stores = vec![store(OWN), store(OTHER)];
    Event::StoreMap(Arc::new(StoreMap { version, stores, partitions: vec![assignment] }))
}

fn alone(version: u64) -> Event {
    map(version, &[OWN], &[], 1)
}

fn joined(version: u64) -> Event {
    map(version, &[OWN], &[OTHER], 0)
}

fn begin(request: &str, previous: Option<&str>) -> Event {
    let begin = BeginTurn {
        program: ProgramId::from("p"),
        request: RequestId::from(request),
        previous: previous.map(RequestId::from),
        budget: Some(100),
        max_tokens: 40,
        imported: Vec::new(),
    };
    let request =
        SessionRequest { partition: PARTITION, epoch: EpochNumber(1), body: SessionCall::Begin(begin) };
    Event::SessionRequest { caller: CallerId(1), request }
}

fn session_reply_of(commands: &[Command]) -> Option<&SessionReply> {
    commands.iter().find_map(|command| match command {
        Command::SendSessionReply { reply, .. } => Some(reply),
        _ => None,
    })
}

fn call(commands: &[Command]) -> TransferCallId {
    let call = commands.iter().find_map(|command| match command {
        Command::Call { call, .. } => Some(*call),
        _ => None,
    });
    call.expect("a call")
}

/// Begins a turn and lets the own disk finish; returns the answer, if there is one.
fn decide(store: &mut Store, request: &str, previous: Option<&str>) -> Option<SessionReply> {
    let commands = store.handle(NOW, begin(request, previous));
    if let Some(reply) = session_reply_of(&commands) {
        return Some(reply.clone());
    }
    let commands = store.handle(NOW, Event::BatchWritten { segment: 1, bytes: 100 });
    session_reply_of(&commands).cloned()
}

/// A store whose only companion is back and level, as the store has found out.
fn level() -> (Store, Vec<Command>) {
    let mut store = Store::new(OWN, LIMITS);
    store.handle(NOW, alone(2));
    let compare = call(&store.handle(NOW, joined(3)));
    let reply = Some(TransferReply::Digests(EMPTY.to_vec()));
    let commands = store.handle(NOW, Event::CallCompleted { call: compare, reply });
    (store, commands)
}

#[test]
fn with_the_other_copy_known_to_be_lost_turns_begin_and_are_denied() {
    let mut store = Store::new(OWN, LIMITS);
    store.handle(NOW, alone(2));
    let begun = SessionReply::TurnBegun { chain: Vec::new() };
    assert_eq!(decide(&mut store, "a", None), Some(begun.clone()));
    assert_eq!(decide(&mut store, "b", None), Some(begun));
    assert_eq!(decide(&mut store, "c", None), Some(SessionReply::BudgetExhausted));
    assert_eq!(decide(&mut store, "d", Some("nobody")), Some(SessionReply::UnknownTurn));
}

#[test]
fn with_the_other_copy_only_missing_nothing_begins() {
    // Guard: `lost_copies` in `has_copies`; a map that merely has too few in sync allows nothing.
    let mut store = Store::new(OWN, LIMITS);
    store.handle(NOW, map(2, &[OWN], &[], 0));
    assert_eq!(decide(&mut store, "a", None), Some(SessionReply::Unavailable));
}

#[test]
fn a_write_under_way_is_acknowledged_when_the_other_copy_is_known_to_be_lost() {
    // Guard: `lost_copies` in `finish_write`.
    let mut store = Store::new(OWN, LIMITS);
    let compare = call(&store.handle(NOW, map(1, &[OWN, OTHER], &[], 0)));
    let reply = Some(TransferReply::Digests(EMPTY.to_vec()));
    store.handle(NOW, Event::CallCompleted { call: compare, reply });
    assert_eq!(decide(&mut store, "a", None), None);
    assert_eq!(session_reply_of(&store.handle(NOW, map(2, &[OWN], &[], 0))), None);
    let commands = store.handle(NOW, alone(3));
    assert_eq!(session_reply_of(&commands), Some(&SessionReply::TurnBegun { chain: Vec::new() }));
}

#[test]
fn while_the_other_is_being_filled_nothing_begins_on_one_copy() {
    let mut store = Store::new(OWN, LIMITS);
    store.handle(NOW, alone(2));
    store.handle(NOW, joined(3));
    assert_eq!(decide(&mut store, "a", None), Some(SessionReply::Unavailable));
}

#[test]
fn the_keepers_are_told_only_when_the_version_of_the_map_is_on_disk() {
    // Guard: `caught_up` tells nothing of maps that are not on disk.
    let (mut store, commands) = level();
    assert_eq!(commands, [Command::WriteMapVersion { version: 3 }]);
    assert_eq!(store.caught_up_replicas(), []);
    assert_eq!(store.handle(NOW, Event::MapVersionWritten { version: 3 }), [Command::ReportCaughtUp]);
    assert_eq!(store.caught_up_replicas().len(), 1);
}

#[test]
fn a_disk_that_refuses_the_version_is_asked_again() {
    let (mut store, _) = level();
    assert_eq!(store.handle(NOW, Event::MapVersionFailed), []);
    let later = Moment { now: store.next_wake_at().expect("a timer"), ..NOW };
    assert_eq!(store.handle(later, Event::Tick), [Command::WriteMapVersion { version: 3 }]);
}

#[test]
fn after_a_restart_an_older_map_does_not_let_it_decide_alone() {
    // Guard: `take_map` refuses maps older than the version on disk. The other store may lead by now.
    let mut store = Store::new(OWN, LIMITS);
    store.recover_map_version(3);
    store.handle(NOW, alone(2));
    let nobody = SessionReply::NotPrimary { epoch: EpochNumber(0) };
    assert_eq!(decide(&mut store, "a", None), Some(nobody));
    store.handle(NOW, joined(3));
    assert_eq!(decide(&mut store, "a", None), Some(SessionReply::Unavailable));
    store.handle(NOW, alone(4));
    assert_eq!(decide(&mut store, "a", None), Some(SessionReply::TurnBegun { chain: Vec::new() }));
}
