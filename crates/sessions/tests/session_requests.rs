//! Session requests at a primary: begin, finish and denial of turns, with a single store driven event by event.

mod harness;

use harness::{
    LIMITS, OTHER, OWN, PARTITION, TURN_BEGUN, TestStore, begin, calls_of, finish, finish_stored,
    last_call_of, map, record, reply_of, turn,
};
use juniperwing_clock::Span;
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::session::{PartitionEpoch, SessionReply};
use juniperwing_protocol::transfer::{Record, RecordState, TransferReply, TransferRequest};
use juniperwing_sessions::{CallerId, Command, Event, Limits, TransferCallId};

#[test]
fn a_turn_begins_when_both_disks_have_the_reservation() {
    let mut store = TestStore::leading();
    let commands = store.send_request(1, begin("a", None, Some(100)));
    assert_eq!(reply_of(&commands), None);
    let (call, request) = last_call_of(&commands);
    assert!(matches!(request, TransferRequest::Write { .. }));
    assert_eq!(
        reply_of(&store.complete_call(call, TransferReply::Written)),
        None,
        "not on this store's disk yet"
    );
    assert_eq!(reply_of(&store.complete_batch()), Some(TURN_BEGUN));
}

#[test]
fn without_the_replica_a_turn_does_not_begin_and_the_write_is_retried() {
    let mut store = TestStore::leading();
    let commands = store.send_request(1, begin("a", None, Some(100)));
    let (call, _) = last_call_of(&commands);
    store.complete_batch();
    assert_eq!(reply_of(&store.handle(Event::CallCompleted { call, reply: None })), None);
    let retried = store.advance_time(Span::from_millis(200));
    assert!(matches!(last_call_of(&retried).1, TransferRequest::Write { .. }));
    assert_eq!(reply_of(&store.advance_time(Span::from_millis(2_000))), Some(SessionReply::Unavailable));
}

#[test]
fn a_reservation_counts_the_maximum_until_the_turn_is_committed() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, begin("a", None, Some(100))), TURN_BEGUN);
    assert_eq!(store.call(2, begin("b", None, Some(100))), TURN_BEGUN);
    assert_eq!(store.call(3, begin("c", None, Some(100))), SessionReply::BudgetExhausted);
    assert_eq!(store.call(4, finish("a", 15)), SessionReply::TurnFinished);
    assert_eq!(store.call(5, begin("d", None, Some(100))), TURN_BEGUN);
    assert_eq!(store.call(6, begin("e", None, Some(100))), SessionReply::BudgetExhausted);
}

/// A denial is final: the turn is not admitted later, even if the budget would allow it.
#[test]
fn a_denied_turn_stays_denied_when_the_budget_has_room_again() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, begin("a", None, Some(50))), TURN_BEGUN);
    assert_eq!(store.call(2, begin("b", None, Some(50))), SessionReply::BudgetExhausted);
    assert_eq!(store.call(3, finish("a", 0)), SessionReply::TurnFinished);
    assert_eq!(store.call(4, begin("b", None, Some(50))), SessionReply::BudgetExhausted);
    assert_eq!(store.call(5, begin("c", None, Some(50))), TURN_BEGUN);
}

/// A client that lost the reply commits the denied turn with 0 tokens; the turn must still never begin.
#[test]
fn a_denied_turn_that_is_committed_does_not_begin() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, begin("a", None, Some(10))), SessionReply::BudgetExhausted);
    assert_eq!(store.call(2, finish("a", 0)), SessionReply::TurnFinished);
    assert_eq!(store.call(3, begin("a", None, Some(100))), SessionReply::Unavailable);
}

/// The denial is on all disks before it is sent, so that the next primary knows it.
#[test]
fn a_turn_is_denied_only_when_the_denial_is_replicated() {
    let mut store = TestStore::leading();
    let commands = store.send_request(1, begin("a", None, Some(10)));
    let (call, request) = last_call_of(&commands);
    let TransferRequest::Write { records, .. } = request else { panic!("{request:?}") };
    assert_eq!(records[0].state, RecordState::Denied);
    assert_eq!(reply_of(&store.complete_batch()), None);
    let commands = store.complete_call(call, TransferReply::Written);
    assert_eq!(reply_of(&commands), Some(SessionReply::BudgetExhausted));
}

#[test]
fn a_turn_begun_twice_counts_once_and_a_committed_one_does_not_begin() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, begin("a", None, Some(50))), TURN_BEGUN);
    assert_eq!(store.call(2, begin("a", None, Some(50))), TURN_BEGUN);
    assert_eq!(store.call(3, finish("a", 0)), SessionReply::TurnFinished);
    assert_eq!(store.call(4, begin("a", None, Some(50))), SessionReply::Unavailable);
    assert_eq!(store.call(5, begin("b", None, Some(50))), TURN_BEGUN);
}

#[test]
fn a_reservation_left_by_an_old_primary_does_not_admit_the_turn() {
    let begin_with_budget = |budget| store_with_old_reservation().call(2, begin("a", None, Some(budget)));
    assert_eq!(begin_with_budget(79), SessionReply::BudgetExhausted);
    assert_eq!(begin_with_budget(80), TURN_BEGUN);
}

/// Returns a primary whose predecessor left a reservation of 40 tokens for the turn `a`, and 40 tokens used by `b`.
fn store_with_old_reservation() -> TestStore {
    let (mut store, _) = TestStore::new();
    store.handle(Event::StoreMap(map(2, 2, OTHER)));
    let reserved = Record { tokens: 40, state: RecordState::Reserved, ..record("a") };
    let records = vec![reserved, Record { tokens: 40, ..record("b") }];
    let request = TransferRequest::Write { partition: PARTITION, epoch: EpochNumber(2), records };
    store.handle(Event::TransferRequest { caller: CallerId(1), request });
    store.complete_batch();
    let (call, _) = last_call_of(&store.handle(Event::StoreMap(map(3, 3, OWN))));
    let digests = store.state_machine.table(PARTITION).unwrap().digests(16, store.clock().unix_time_ms);
    store.complete_call(call, TransferReply::Digests(digests));
    store
}

#[test]
fn committing_again_with_less_does_not_return_tokens() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, finish("a", 20)), SessionReply::TurnFinished);
    assert_eq!(store.call(2, finish("a", 0)), SessionReply::TurnFinished);
    assert_eq!(store.call(3, begin("b", None, Some(50))), SessionReply::BudgetExhausted);
}

#[test]
fn a_chain_is_returned_oldest_first() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, finish_stored("a", None)), SessionReply::TurnFinished);
    assert_eq!(store.call(2, finish_stored("b", Some("a"))), SessionReply::TurnFinished);
    let chain = vec![turn("a", None), turn("b", Some("a"))];
    assert_eq!(store.call(3, begin("c", Some("b"), None)), SessionReply::TurnBegun { chain });
}

#[test]
fn an_unknown_turn_is_denied_only_when_the_replica_has_confirmed_the_epoch() {
    let mut store = TestStore::leading();
    let commands = store.send_request(1, begin("a", Some("unknown"), None));
    assert_eq!(reply_of(&commands), None);
    let (call, request) = last_call_of(&commands);
    let expected = PartitionEpoch { partition: PARTITION, epoch: EpochNumber(1) };
    assert_eq!(request, TransferRequest::Confirm { partitions: vec![expected] });
    let commands = store.complete_call(call, TransferReply::Written);
    assert_eq!(reply_of(&commands), Some(SessionReply::UnknownTurn));
}

#[test]
fn a_fenced_primary_denies_nothing() {
    let mut store = TestStore::leading();
    let commands = store.send_request(1, begin("a", Some("unknown"), None));
    let (call, _) = last_call_of(&commands);
    let commands = store.complete_call(call, TransferReply::Fenced { epoch: EpochNumber(2) });
    assert_eq!(reply_of(&commands), Some(SessionReply::Unavailable));
}

#[test]
fn a_fenced_primary_denies_no_turn_for_its_budget() {
    let mut store = TestStore::leading();
    let (call, _) = last_call_of(&store.send_request(1, begin("a", None, Some(10))));
    assert_eq!(reply_of(&store.complete_batch()), None);
    let commands = store.complete_call(call, TransferReply::Fenced { epoch: EpochNumber(2) });
    assert_eq!(reply_of(&commands), Some(SessionReply::NotPrimary { epoch: EpochNumber(1) }));
    assert!(store.handle(Event::StoreMap(map(2, 2, OTHER))).is_empty());
}

/// A primary that learns of a later epoch sends nothing more in its own epoch and rejects further requests.
#[test]
fn a_fenced_primary_does_not_call_again_in_its_epoch() {
    let mut store = TestStore::leading();
    let (call, _) = last_call_of(&store.send_request(1, begin("a", None, Some(100))));
    store.complete_batch();
    store.complete_call(call, TransferReply::Fenced { epoch: EpochNumber(2) });
    for _ in 0..50 {
        assert_eq!(calls_of(&store.advance_time(Span::from_millis(100))), []);
    }
    let commands = store.send_request(2, begin("b", None, Some(100)));
    assert_eq!(reply_of(&commands), Some(SessionReply::NotPrimary { epoch: EpochNumber(1) }));
    assert_eq!(calls_of(&commands), []);
}

#[test]
fn a_denial_confirmed_in_a_superseded_epoch_is_not_sent() {
    let mut store = TestStore::leading();
    let (call, _) = last_call_of(&store.send_request(1, begin("a", Some("unknown"), None)));
    store.handle(Event::StoreMap(map(2, 2, OTHER)));
    let commands = store.complete_call(call, TransferReply::Written);
    assert_eq!(reply_of(&commands), Some(SessionReply::Unavailable));
}

/// Completes the synchronization that begins with the call `digests`, with a replica that has the stored turn `w`, which
/// the primary lacks; returns the commands that follow it.
fn synchronize_with_replica_that_has_w(store: &mut TestStore, digests: TransferCallId) -> Vec<Command> {
    let (records, request) = last_call_of(&store.complete_call(digests, TransferReply::Digests(vec![7; 16])));
    assert!(matches!(request, TransferRequest::Records { .. }));
    let stored = Record { turn: Some(turn("w", None)), ..record("w") };
    let page = TransferReply::Records { records: vec![stored], next: None };
    let (push, request) = last_call_of(&store.complete_call(records, page));
    assert!(matches!(request, TransferRequest::Write { ref records, .. } if records.len() == 1));
    let (digests, _) = last_call_of(&store.complete_call(push, TransferReply::Written));
    let table = store.state_machine.table(PARTITION).unwrap();
    let digests_here = table.digests(16, store.clock().unix_time_ms);
    store.complete_call(digests, TransferReply::Digests(digests_here))
}

#[test]
fn a_new_primary_defers_requests_until_the_replica_is_synchronized() {
    let (mut store, commands) = TestStore::new();
    let (digests, _) = last_call_of(&commands);
    assert_eq!(reply_of(&store.send_request(1, begin("a", Some("w"), Some(50)))), None);
    let commands = synchronize_with_replica_that_has_w(&mut store, digests);
    // The turn is now admitted: its reservation is written instead of a denial.
    assert!(matches!(last_call_of(&commands).1, TransferRequest::Write { .. }));
}

// Guards against a turn that is broken off after a failover, since the new primary has not learned of its chain yet.
#[test]
fn a_new_primary_rejects_no_turn_to_be_stored_before_the_replica_is_synchronized() {
    let (mut store, commands) = TestStore::new();
    let (digests, _) = last_call_of(&commands);
    assert_eq!(reply_of(&store.send_request(1, finish_stored("a", Some("w")))), None);
    let commands = synchronize_with_replica_that_has_w(&mut store, digests);
    let (_, request) = last_call_of(&commands);
    let TransferRequest::Write { records, .. } = request else { panic!("{request:?}") };
    assert_eq!(records[0].turn, Some(turn("a", Some("w"))));
    assert_eq!(store.state_machine.statistics().turns_without_previous, 0);
}

#[test]
fn a_store_at_its_memory_limit_admits_nothing_and_still_commits() {
    let (mut store, commands) = TestStore::with_limits(Limits { memory_bytes: 100, ..LIMITS });
    let (call, _) = last_call_of(&commands);
    store.complete_call(call, TransferReply::Digests(vec![0; 16]));
    assert_eq!(store.call(1, finish_stored("a", None)), SessionReply::TurnFinished);
    assert_eq!(store.call(2, begin("b", None, Some(100))), SessionReply::Unavailable);
    assert_eq!(store.call(3, finish("b", 0)), SessionReply::TurnFinished);
}

#[test]
fn with_too_few_replicas_or_another_primary_requests_are_rejected() {
    let (mut store, commands) = TestStore::with_limits(Limits { required_replicas: 3, ..LIMITS });
    let (call, _) = last_call_of(&commands);
    store.complete_call(call, TransferReply::Digests(vec![0; 16]));
    assert_eq!(store.call(1, begin("a", None, Some(9))), SessionReply::Unavailable);
    store.handle(Event::StoreMap(map(2, 2, OTHER)));
    let not_primary = SessionReply::NotPrimary { epoch: EpochNumber(2) };
    assert_eq!(store.call(2, begin("a", None, Some(9))), not_primary);
}
