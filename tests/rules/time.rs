//! Timeouts, the cutoff, and notifications that end early because too little time is left.

use std::fmt::Write;

use expect_test::expect;
use juniperwing::interface::CallStatus;
use juniperwing::rules::Fit;
use juniperwing::time::Span;

use crate::harness::{ONE_ENDPOINT, RelayHarness, TTL_MS};

/// The paper's example (Table 1): three restarts are best, however many more pushes are allowed.
#[test]
fn algorithm_2_on_the_papers_example() {
    let fit = Fit { mu: -2.3, sigma: 0.97 };
    let mut trace = String::new();
    for pushes in [1, 2, 3, 4, 5, 8] {
        let timeout = fit.timeout(Span::from_millis(700), pushes);
        writeln!(trace, "{pushes} pushes: {} ms", timeout.as_nanos() / 1_000_000)
            .expect("writing to a string succeeds");
    }
    expect![[r#"
        1 pushes: 700 ms
        2 pushes: 350 ms
        3 pushes: 233 ms
        4 pushes: 175 ms
        5 pushes: 175 ms
        8 pushes: 175 ms
    "#]]
    .assert_eq(&trace);
}

/// With a TTL of many median latencies, the probability of success rounds to 1; the search must not stop there.
#[test]
fn algorithm_2_where_success_is_nearly_certain() {
    let timeout = Fit { mu: -2.3, sigma: 0.6 }.timeout(Span::from_millis(TTL_MS), 8);
    expect!["2000 ms"].assert_eq(&format!("{} ms", timeout.as_nanos() / 1_000_000));
    // A median of 0.1 ms, as on one machine: the probability of failure rounds to 0.
    let timeout = Fit { mu: -9.2, sigma: 0.25 }.timeout(Span::from_millis(4_000), 8);
    expect!["500 ms"].assert_eq(&format!("{} ms", timeout.as_nanos() / 1_000_000));
}

#[test]
fn the_cutoff_ends_immediately_what_has_less_time_left_than_the_median_latency() {
    let mut relay = RelayHarness::new(4, 1, ONE_ENDPOINT).warmed_up(6, 400);
    relay.accept(10, "idempotent", None, 300);
    relay.accept(11, "idempotent", None, 900);
    relay.assert_trace(expect![[r#"
        2400   throttle 10
        2400   push 11 to a for 900 ms
    "#]]);
}

/// Pending notifications cause wake-ups only at their deadlines, however often the cutoff changes.
#[test]
fn many_pending_notifications_need_few_wake_ups() {
    let mut relay = RelayHarness::new(1, 1, ONE_ENDPOINT).warmed_up(6, 100);
    for id in 100..140 {
        relay.accept(id, "non-idempotent", None, TTL_MS);
        relay.advance_by_wake_ups(10);
    }
    for latency in 1..=20 {
        relay.advance_by_wake_ups(10 * latency);
        relay.end_push(relay.oldest_in_flight(), CallStatus::Delivered);
    }
    let wake_ups = relay.advance_by_wake_ups(TTL_MS);
    assert!(wake_ups < 100, "{wake_ups} wake-ups for 20 notifications");
    assert_eq!(relay.trace.lines().filter(|line| line.contains("throttle")).count(), 19);
}

/// An abandoned call shows only that its latency is longer. If estimates above the longest delivery counted for the
/// cutoff, new notifications with all their time left would be ended unsent, and no latency would be observed again.
#[test]
fn abandoned_calls_do_not_make_the_relay_end_all_later_notifications() {
    let mut relay = RelayHarness::new(8, 1, ONE_ENDPOINT).warmed_up(6, 100);
    for id in 10..18 {
        relay.accept(id, "non-idempotent", None, TTL_MS);
        relay.advance(10);
    }
    relay.advance(15_990);
    relay.end_all_pushes(CallStatus::TimedOut);
    relay.advance(20_000);
    relay.trace.clear();
    relay.accept(30, "idempotent", None, TTL_MS);
    relay.advance_until_in_flight(30);
    relay.assert_trace(expect![[r#"
        36670  push 30 to a for 2000 ms
    "#]]);
}

/// Latencies were long for a while, and since then no notification has had more time than their median. If the cutoff ended
/// all of them unsent, no call would ever show that latencies are short again.
#[test]
fn a_trial_call_ends_a_cutoff_that_ends_everything() {
    let mut relay = RelayHarness::new(4, 1, ONE_ENDPOINT).warmed_up(6, 400);
    relay.trace.clear();
    relay.accept(10, "idempotent", None, 300);
    relay.advance(1_000);
    // One of these is the trial.
    relay.accept_all(20..23, "idempotent", 300);
    relay.advance(100);
    relay.end_push(20, CallStatus::Delivered);
    relay.accept_all(30..32, "idempotent", 300);
    relay.assert_trace(expect![[r#"
        2400   throttle 10
        3400   push 20 to a for 300 ms
        3400   throttle 21
        3400   throttle 22
        3500   push 30 to a for 300 ms
        3500   push 31 to a for 300 ms
    "#]]);
}

/// A trial that is not delivered in time changes nothing, and the next one has to wait for its turn.
#[test]
fn a_trial_call_that_takes_too_long_leaves_the_cutoff() {
    let mut relay = RelayHarness::new(4, 1, ONE_ENDPOINT).warmed_up(6, 400);
    relay.trace.clear();
    relay.advance(1_000);
    relay.accept(20, "idempotent", None, 300);
    relay.advance(300);
    relay.end_all_pushes(CallStatus::TimedOut);
    relay.accept(30, "idempotent", None, 300);
    relay.advance(1_000);
    relay.accept(40, "idempotent", None, 300);
    relay.assert_trace(expect![[r#"
        3400   push 20 to a for 300 ms
        3700   expire 20
        3700   throttle 30
        4700   push 40 to a for 300 ms
    "#]]);
}

/// If a requested delay or backoff ends after the deadline of a notification, the notification is ended immediately
/// instead of near its TTL, whether it was accepted before or after the delay began.
#[test]
fn what_cannot_be_sent_in_time_is_ended_immediately() {
    let mut relay = RelayHarness::new(4, 1, ONE_ENDPOINT);
    relay.accept(1, "idempotent", None, TTL_MS);
    relay.accept(2, "idempotent", None, 9_000);
    relay.end_push(2, CallStatus::NoConnection);
    relay.reject_push(1, 12_000);
    relay.advance(100);
    relay.accept(3, "idempotent", None, 8_000);
    relay.accept(4, "idempotent", None, 30_000);
    relay.advance_until_in_flight(4);
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to a for 9000 ms
        0      cancel unsent pushes to a
        0      throttle 2
        100    throttle 3
        12270  push 4 to a for 17830 ms
    "#]]);
}
