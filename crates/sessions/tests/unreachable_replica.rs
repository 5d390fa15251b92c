//! An in-sync replica does not reply, and the partition cannot do without it: requests are rejected at once, and served
//! again as soon as the replica replies.

mod harness;

use harness::{TURN_BEGUN, TestStore, begin, calls_of, last_call_of, reply_of};
use juniperwing_clock::Span;
use juniperwing_protocol::session::SessionReply;
use juniperwing_protocol::transfer::TransferReply;
use juniperwing_sessions::{Command, Event};

/// Longer than the time without a reply after which the replica is unreachable.
const OUTAGE: Span = Span::from_millis(700);
const STEP: Span = Span::from_millis(50);
/// The time after which a store that had no reason to call the replica tries it again.
const FORGOTTEN_AFTER: Span = Span::from_millis(2_100);

/// Lets time pass while every call to the replica fails; returns the number of calls.
fn fail_calls(store: &mut TestStore, commands: Vec<Command>, span: Span) -> usize {
    let (mut commands, mut failed) = (commands, 0);
    let until = store.now + span;
    while store.now < until {
        for (call, _) in calls_of(&commands) {
            failed += 1;
            store.handle(Event::CallCompleted { call, reply: None });
        }
        commands = store.advance_time(STEP);
    }
    failed
}

/// A store whose other in-sync replica has not replied to a write for the outage.
fn store_with_unreachable_replica() -> TestStore {
    let mut store = TestStore::leading();
    let commands = store.send_request(1, begin("a", None, Some(100)));
    store.complete_batch();
    fail_calls(&mut store, commands, OUTAGE);
    store
}

// Guards `has_unreachable_replica`: writes that wait for the replica would pile up, and the calls that retry them.
#[test]
fn a_request_that_needs_an_unreachable_replica_is_rejected_at_once() {
    let mut store = store_with_unreachable_replica();
    let commands = store.send_request(2, begin("b", None, Some(100)));
    assert_eq!(reply_of(&commands), Some(SessionReply::Unavailable));
    assert_eq!(store.state_machine.statistics().pending_writes, 1, "only the first request has a write");
}

#[test]
fn writes_to_an_unreachable_replica_are_retried_less_often() {
    let mut store = store_with_unreachable_replica();
    let commands = store.advance_time(STEP);
    let calls = fail_calls(&mut store, commands, Span::from_millis(5_000));
    assert!((8..=12).contains(&calls), "{calls} calls in 5 s");
}

#[test]
fn requests_are_served_again_when_the_replica_replies() {
    let mut store = store_with_unreachable_replica();
    let mut commands = Vec::new();
    while calls_of(&commands).is_empty() {
        commands = store.advance_time(STEP);
    }
    let (call, _) = last_call_of(&commands);
    store.complete_call(call, TransferReply::Written);
    assert_eq!(store.call(2, begin("b", None, Some(100))), TURN_BEGUN);
}

#[test]
fn a_single_failed_call_rejects_nothing() {
    let mut store = TestStore::leading();
    let commands = store.send_request(1, begin("a", None, Some(100)));
    store.complete_batch();
    let (call, _) = last_call_of(&commands);
    store.handle(Event::CallCompleted { call, reply: None });
    store.now = store.now + OUTAGE;
    store.send_request(2, begin("b", None, Some(100)));
    assert_eq!(store.state_machine.statistics().pending_writes, 2);
}

// Guards `FAILURE_EXPIRY`: without calls, nothing shows that the replica is back, so old failures must not reject
// the requests that would call it.
#[test]
fn failures_are_forgotten_when_nothing_calls_the_replica() {
    let mut store = store_with_unreachable_replica();
    store.now = store.now + FORGOTTEN_AFTER;
    store.send_request(2, begin("b", None, Some(100)));
    assert_eq!(store.state_machine.statistics().pending_writes, 2, "the request is not rejected");
}
