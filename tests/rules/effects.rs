//! Semantics, ordering and withdrawal of notifications.

use expect_test::expect;
use juniperwing::interface::{CallStatus, Event, NotificationId};

use crate::harness::{ONE_ENDPOINT, RelayHarness, TTL_MS, TWO_ENDPOINTS};

#[test]
fn non_idempotent_notifications_have_one_push_that_may_have_run() {
    let mut relay = RelayHarness::new(4, 1, TWO_ENDPOINTS);
    relay.accept(1, "non-idempotent", None, TTL_MS);
    relay.end_push(1, CallStatus::NoConnection);
    relay.advance(300);
    relay.end_push(1, CallStatus::Error);
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        90     push 1 to b for 15910 ms
        300    expire 1
    "#]]);
}

#[test]
fn deduplicated_notifications_are_retried_only_in_their_scope_and_window() {
    let mut relay = RelayHarness::new(4, 1, &[("a", "z"), ("b", "y"), ("c", "z")]);
    relay.accept(1, "deduplicated", None, TTL_MS);
    relay.end_push(1, CallStatus::Reset);
    relay.advance(3_700);
    relay.end_push(1, CallStatus::Error);
    relay.advance(200);
    relay.end_push(1, CallStatus::Error);
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 1 to c for 16000 ms
        3700   push 1 to a for 12300 ms
        3900   expire 1
    "#]]);
}

#[test]
fn a_key_has_one_push_at_a_time_and_a_cooldown_after_a_doubtful_end() {
    let mut relay = RelayHarness::new(4, 1, ONE_ENDPOINT);
    for id in 1..=3 {
        relay.accept(id, "non-idempotent", Some("k"), TTL_MS);
    }
    relay.advance(100);
    relay.end_push(1, CallStatus::Reset);
    relay.advance(400);
    relay.end_push(2, CallStatus::Delivered);
    relay.advance(10);
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        100    expire 1
        400    push 2 to a for 15600 ms
        500    push 3 to a for 15500 ms
    "#]]);
}

#[test]
fn withdrawn_notifications_are_not_pushed_again() {
    let mut relay = RelayHarness::new(4, 1, ONE_ENDPOINT);
    relay.accept(1, "idempotent", None, TTL_MS);
    relay.handle(Event::Withdrawn(NotificationId(1)));
    relay.end_push(1, CallStatus::TimedOut);
    relay.handle(Event::Withdrawn(NotificationId(1)));
    relay.advance(1_000);
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
    "#]]);
}

/// A final answer takes time to reach its client, which must not see the next notification of the key before it.
#[test]
fn the_next_of_a_key_waits_for_the_acknowledgement_of_the_one_before() {
    let mut relay = RelayHarness::new(4, 1, ONE_ENDPOINT);
    relay.acknowledges_answers = false;
    relay.accept(1, "non-idempotent", Some("k"), TTL_MS);
    relay.accept(2, "non-idempotent", Some("k"), TTL_MS);
    relay.end_push(1, CallStatus::Error);
    relay.advance(500);
    relay.handle(Event::FinalAnswerAcknowledged(NotificationId(1)));
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      expire 1
        500    push 2 to a for 15500 ms
    "#]]);
}

/// A duplicate must arrive, not just be sent, before its window ends, and opening a new connection takes time.
#[test]
fn a_duplicate_is_sent_early_enough_to_arrive_in_its_window() {
    let mut relay = RelayHarness::new(4, 1, ONE_ENDPOINT).warmed_up(6, 400);
    relay.accept(10, "deduplicated", None, TTL_MS);
    relay.accept(11, "deduplicated", None, TTL_MS);
    relay.advance(3_500);
    relay.end_push(10, CallStatus::Error);
    relay.advance(350);
    relay.end_push(11, CallStatus::Error);
    relay.assert_trace(expect![[r#"
        2400   push 10 to a for 2666 ms
        2400   push 11 to a for 2666 ms
        5900   push 10 to a for 2500 ms
        6250   expire 11
    "#]]);
}

/// A push without a response is cancelled long before its TTL if others of its key are queued behind it, so that they
/// proceed.
#[test]
fn an_ordered_push_without_a_response_is_cancelled_if_others_are_queued_behind_it() {
    let mut relay = RelayHarness::new(8, 1, TWO_ENDPOINTS).warmed_up(6, 100);
    for id in 10..13 {
        relay.accept(id, "non-idempotent", Some("k"), TTL_MS);
    }
    relay.accept(20, "non-idempotent", Some("nobody-behind"), TTL_MS);
    relay.advance(4_000);
    relay.assert_trace(expect![[r#"
        600    push 10 to a for 16000 ms
        600    push 20 to b for 16000 ms
        2100   cancel push 0 of 10
        2110   expire 10
        2410   push 11 to a for 14190 ms
    "#]]);
}
