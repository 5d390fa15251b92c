//! One of two stores is lost: the other one continues alone, but only while no other store can be the primary.

mod harness;

use harness::{LIMITS, OTHER, OWN, PARTITION, TURN_BEGUN, last_call_of, map_of, reply_of};
use juniperwing_clock::Time;
use juniperwing_protocol::session::{SessionReply, SessionRequest};
use juniperwing_protocol::subscription::Assignment;
use juniperwing_protocol::transfer::TransferReply;
use juniperwing_protocol::{DiskId, EpochNumber};
use juniperwing_sessions::{CallerId, ClockReading, Command, Event, Store};

const NOW: ClockReading = ClockReading { now: Time::from_nanos(1), unix_time_ms: 1_000 };
/// The digests of an empty replica.
const EMPTY_DIGESTS: [u64; 16] = [0; 16];

fn map(version: u64, in_sync: &[DiskId], joining: &[DiskId], lost_replicas: u16) -> Event {
    let assignment = Assignment {
        epoch: EpochNumber(version),
        primary: OWN,
        in_sync: in_sync.to_vec(),
        joining: joining.to_vec(),
        lost_replicas,
    };
    Event::StoreMap(map_of(version, assignment))
}

/// A map by which the other replica is known to be lost.
fn map_with_lost_replica(version: u64) -> Event {
    map(version, &[OWN], &[], 1)
}

/// A map by which the other replica is joining.
fn map_with_joining_replica(version: u64) -> Event {
    map(version, &[OWN], &[OTHER], 0)
}

fn begin(request: &str, previous: Option<&str>) -> Event {
    let body = harness::begin(request, previous, Some(100));
    let request = SessionRequest { partition: PARTITION, epoch: EpochNumber(1), body };
    Event::SessionRequest { caller: CallerId(1), request }
}

/// Begins a turn and completes the write to the store's own disk; returns the reply if there is one.
fn begin_turn(store: &mut Store, request: &str, previous: Option<&str>) -> Option<SessionReply> {
    let commands = store.handle(NOW, begin(request, previous));
    if let Some(reply) = reply_of(&commands) {
        return Some(reply);
    }
    let commands = store.handle(NOW, Event::BatchWritten { segment: 1, bytes: 100 });
    reply_of(&commands)
}

/// Returns a store that has just synchronized the joining replica, and the commands that resulted.
fn synchronized() -> (Store, Vec<Command>) {
    let mut store = Store::new(OWN, LIMITS);
    store.handle(NOW, map_with_lost_replica(2));
    let (call, _) = last_call_of(&store.handle(NOW, map_with_joining_replica(3)));
    let reply = Some(TransferReply::Digests(EMPTY_DIGESTS.to_vec()));
    let commands = store.handle(NOW, Event::CallCompleted { call, reply });
    (store, commands)
}

#[test]
fn with_the_other_replica_known_to_be_lost_turns_begin_and_are_denied() {
    let mut store = Store::new(OWN, LIMITS);
    store.handle(NOW, map_with_lost_replica(2));
    assert_eq!(begin_turn(&mut store, "a", None), Some(TURN_BEGUN));
    assert_eq!(begin_turn(&mut store, "b", None), Some(TURN_BEGUN));
    assert_eq!(begin_turn(&mut store, "c", None), Some(SessionReply::BudgetExhausted));
    assert_eq!(begin_turn(&mut store, "d", Some("unknown")), Some(SessionReply::UnknownTurn));
}

#[test]
fn with_the_other_replica_missing_but_not_known_to_be_lost_nothing_begins() {
    // Guards the use of `lost_replicas` in `has_required_replicas`: a map that merely has too few replicas in sync does
    // not allow turns to begin.
    let mut store = Store::new(OWN, LIMITS);
    store.handle(NOW, map(2, &[OWN], &[], 0));
    assert_eq!(begin_turn(&mut store, "a", None), Some(SessionReply::Unavailable));
}

#[test]
fn a_pending_write_is_acknowledged_when_the_other_replica_is_known_to_be_lost() {
    // Guards the use of `lost_replicas` in `acknowledge_if_replicated`.
    let mut store = Store::new(OWN, LIMITS);
    let (call, _) = last_call_of(&store.handle(NOW, map(1, &[OWN, OTHER], &[], 0)));
    let reply = Some(TransferReply::Digests(EMPTY_DIGESTS.to_vec()));
    store.handle(NOW, Event::CallCompleted { call, reply });
    assert_eq!(begin_turn(&mut store, "a", None), None);
    assert_eq!(reply_of(&store.handle(NOW, map(2, &[OWN], &[], 0))), None);
    let commands = store.handle(NOW, map_with_lost_replica(3));
    assert_eq!(reply_of(&commands), Some(TURN_BEGUN));
}

#[test]
fn while_the_other_replica_is_joining_nothing_begins() {
    let mut store = Store::new(OWN, LIMITS);
    store.handle(NOW, map_with_lost_replica(2));
    store.handle(NOW, map_with_joining_replica(3));
    assert_eq!(begin_turn(&mut store, "a", None), Some(SessionReply::Unavailable));
}

#[test]
fn caught_up_replicas_are_reported_only_when_the_map_version_is_on_disk() {
    // Guards that `caught_up_replicas` excludes replicas of maps whose version is not on disk.
    let (mut store, commands) = synchronized();
    assert_eq!(commands, [Command::WriteMapVersion { version: 3 }]);
    assert_eq!(store.caught_up_replicas(), []);
    assert_eq!(store.handle(NOW, Event::MapVersionWritten { version: 3 }), [Command::ReportCaughtUp]);
    assert_eq!(store.caught_up_replicas().len(), 1);
}

#[test]
fn a_failed_write_of_the_map_version_is_retried() {
    let (mut store, _) = synchronized();
    assert_eq!(store.handle(NOW, Event::MapVersionFailed), []);
    let later = ClockReading { now: store.next_wake_at().expect("a timer"), ..NOW };
    assert_eq!(store.handle(later, Event::Tick), [Command::WriteMapVersion { version: 3 }]);
}

#[test]
fn after_a_restart_a_store_ignores_maps_older_than_the_version_on_disk() {
    // Guards that `handle_store_map` ignores maps older than the version on disk: the other store may be the primary by
    // now.
    let mut store = Store::new(OWN, LIMITS);
    store.recover_map_version(3);
    store.handle(NOW, map_with_lost_replica(2));
    let not_primary = SessionReply::NotPrimary { epoch: EpochNumber(0) };
    assert_eq!(begin_turn(&mut store, "a", None), Some(not_primary));
    store.handle(NOW, map_with_joining_replica(3));
    assert_eq!(begin_turn(&mut store, "a", None), Some(SessionReply::Unavailable));
    store.handle(NOW, map_with_lost_replica(4));
    assert_eq!(begin_turn(&mut store, "a", None), Some(TURN_BEGUN));
}
