//! Startup, shutdown and configuration changes of a running relay.

use expect_test::expect;
use juniperwing::interface::{CallStatus, Event, NotificationHistory, NotificationId};

use crate::harness::{ONE_ENDPOINT, RelayHarness, TTL_MS, config};

/// Before a planned restart, notifications that the next process could not push in time are rejected immediately with a
/// retry delay. The rest are kept for it, and pushes in flight may end.
#[test]
fn without_slots_what_the_next_process_could_not_push_in_time_is_throttled_immediately() {
    let mut relay = RelayHarness::new(1, 1, ONE_ENDPOINT);
    for (id, ttl) in [(1, TTL_MS), (2, 2_000), (3, TTL_MS)] {
        relay.accept(id, "idempotent", None, ttl);
    }
    relay.accept(4, "non-idempotent", Some("k"), TTL_MS);
    relay.accept(5, "non-idempotent", Some("k"), 1_500);
    relay.advance(100);
    relay.handle(Event::SlotLimitChanged(0));
    relay.accept(6, "idempotent", None, 2_200);
    relay.accept(7, "idempotent", None, 2_400);
    relay.advance(50);
    relay.end_push(1, CallStatus::Delivered);
    relay.accept(8, "deduplicated", None, 900);
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        100    throttle 5
        100    throttle 2
        100    throttle 6
        150    throttle 8
    "#]]);
}

/// Notifications that an earlier process never pushed have waited longest, so they go before newer ones even past their
/// latency target.
#[test]
fn recovered_notifications_that_were_never_pushed_go_first() {
    let mut relay = RelayHarness::new(1, 1, ONE_ENDPOINT);
    for id in [1, 2] {
        relay.accept_recovered(
            id,
            "idempotent",
            None,
            NotificationHistory { is_recovered: true, ..NotificationHistory::default() },
        );
    }
    relay.accept(3, "idempotent", None, TTL_MS);
    relay.advance(2_100);
    relay.accept(4, "idempotent", None, TTL_MS);
    for id in [1, 2, 4] {
        relay.end_push(id, CallStatus::Delivered);
    }
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        2100   push 2 to a for 13900 ms
        2100   push 4 to a for 16000 ms
        2100   push 3 to a for 13900 ms
    "#]]);
}

/// A push that was in flight when the relay was killed may have been executed.
#[test]
fn after_a_restart_what_may_have_run_is_pushed_again_only_where_that_is_safe() {
    let mut relay = RelayHarness::new(4, 1, &[("a", "z"), ("b", "y")]);
    relay.advance(5_000);
    let in_flight = |relay: &RelayHarness, ms| NotificationHistory {
        push_count: 1,
        first_possible_execution: Some(relay.possible_execution(ms)),
        last_uncertain_end: Some(relay.possible_execution(0).sent_at),
        has_final_answer: false,
        is_recovered: true,
    };
    for (id, topic, history) in [
        (1, "non-idempotent", in_flight(&relay, 1_000)),
        (2, "non-idempotent", NotificationHistory::default()),
        (3, "deduplicated", in_flight(&relay, 1_000)),
        (4, "deduplicated", in_flight(&relay, 4_500)),
        (5, "idempotent", NotificationHistory { push_count: 8, ..in_flight(&relay, 1_000) }),
        (6, "non-idempotent", NotificationHistory { has_final_answer: true, ..in_flight(&relay, 1_000) }),
        (7, "non-idempotent", NotificationHistory::default()),
    ] {
        relay.accept_recovered(id, topic, Some("k").filter(|_| topic == "non-idempotent"), history);
    }
    relay.advance(400);
    relay.end_push(2, CallStatus::Delivered);
    relay.advance(400);
    relay.handle(Event::FinalAnswerAcknowledged(NotificationId(6)));
    relay.advance(400);
    relay.assert_trace(expect![[r#"
        0      subscribe
        5000   expire 1
        5000   push 3 to a for 16000 ms
        5000   expire 4
        5000   expire 5
        5300   push 2 to b for 15700 ms
        5800   push 7 to a for 15200 ms
    "#]]);
}

#[test]
fn a_stopping_relay_makes_no_further_calls() {
    let mut relay = RelayHarness::new(4, 1, ONE_ENDPOINT);
    relay.accept(1, "idempotent", None, TTL_MS);
    relay.handle(Event::SlotLimitChanged(0));
    relay.accept(2, "idempotent", None, TTL_MS);
    relay.end_push(1, CallStatus::Busy);
    relay.advance(1_000);
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
    "#]]);
}

/// With fewer slots than calls in flight, no new calls start. Accepted notifications keep their semantics, requested
/// delays stay in effect, and reverting the configuration works the same way.
#[test]
fn a_configuration_change_takes_effect_in_a_running_relay_and_can_be_reverted() {
    let mut relay = RelayHarness::new(3, 1, &[("a", "z"), ("b", "y")]);
    let mut fewer = config(2, 1);
    fewer.fleet.home_zone = Some("y".into());
    relay.accept_all(1..=3, "non-idempotent", TTL_MS);
    relay.handle(Event::ConfigChanged(fewer));
    relay.accept(4, "idempotent", None, TTL_MS);
    relay.advance(10);
    relay.end_push(1, CallStatus::Delivered);
    relay.end_push(2, CallStatus::Delivered);
    relay.advance(10);
    relay.end_push(3, CallStatus::TimedOut);
    relay.advance(10);
    relay.reject_push(4, 300);
    relay.handle(Event::ConfigChanged(config(2, 3)));
    relay.accept(5, "idempotent", None, TTL_MS);
    relay.accept(6, "idempotent", None, TTL_MS);
    relay.advance(20_000);
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to b for 16000 ms
        10     push 3 to b for 15990 ms
        20     expire 3
        20     push 4 to b for 15980 ms
        30     cancel unsent pushes to a
        30     cancel unsent pushes to b
        1520   push 4 to a for 14480 ms
        3020   push 5 to b for 13010 ms
        6020   b set aside
        16020  throttle 6
    "#]]);
}

/// Listed rates are enforced exactly while the configuration says so, although the list itself does not change.
#[test]
fn listed_rates_are_enforced_only_while_the_configuration_says_so() {
    let mut relay = RelayHarness::new(8, 1, ONE_ENDPOINT);
    for has_listed_rates in [false, true, false] {
        let mut changed = config(2, 8);
        changed.fleet.has_listed_rates = has_listed_rates;
        relay.handle(Event::ConfigChanged(changed));
        relay.accept_all(1..=2, "idempotent", TTL_MS);
        relay.advance(1_500);
        relay.end_all_pushes(CallStatus::Delivered);
    }
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to a for 16000 ms
        1500   push 1 to a for 16000 ms
        2500   push 2 to a for 15000 ms
        3000   push 1 to a for 16000 ms
        3000   push 2 to a for 16000 ms
    "#]]);
}
