//! Retry-after delays, rejections, and reported or listed rate limits.

use expect_test::expect;
use juniperwing::interface::{CallStatus, RateLimitReport};

use crate::harness::{ONE_ENDPOINT, RelayHarness, TTL_MS, TWO_ENDPOINTS, config};

#[test]
fn a_requested_delay_applies_to_the_whole_destination() {
    let mut relay = RelayHarness::new(4, 1, TWO_ENDPOINTS);
    relay.accept(1, "idempotent", None, TTL_MS);
    relay.accept(2, "idempotent", None, TTL_MS);
    relay.reject_push(1, 800);
    relay.reject_push(2, 300);
    relay.advance(9_000);
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to b for 16000 ms
        0      cancel unsent pushes to a
        0      cancel unsent pushes to b
        0      cancel unsent pushes to a
        0      cancel unsent pushes to b
        1500   push 2 to a for 14500 ms
        3000   push 1 to b for 13000 ms
    "#]]);
}

/// The outcomes of one call may arrive separately, each with its own requested delay; the longest applies.
#[test]
fn every_outcome_of_a_call_may_request_a_delay() {
    let mut relay = RelayHarness::new(4, 2, ONE_ENDPOINT);
    relay.accept(1, "idempotent", None, TTL_MS);
    relay.accept(2, "idempotent", None, TTL_MS);
    relay.end_push(1, CallStatus::Busy);
    relay.reject_push(2, 700);
    relay.advance(9_000);
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to a for 16000 ms
        700    push 1 to a for 15300 ms
        700    push 2 to a for 15300 ms
    "#]]);
}

/// Consecutive rejections without a requested delay lengthen the backoff, because many other relays may be retrying
/// too.
#[test]
fn consecutive_rejections_lengthen_the_backoff() {
    let mut relay = RelayHarness::new(4, 1, ONE_ENDPOINT);
    relay.accept(1, "idempotent", None, 30_000);
    for _ in 0..3 {
        relay.end_push(1, CallStatus::Busy);
        relay.advance(9_000);
    }
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 30000 ms
        90     push 1 to a for 29910 ms
        11050  push 1 to a for 18950 ms
        14050  a set aside
        19580  push 1 to a for 10420 ms
    "#]]);
}

/// Rejected calls count against a reported limit too, so calls are spaced by up to four times the interval of the
/// relay's equal share.
#[test]
fn rejections_above_a_reported_limit_space_calls_by_equal_shares_of_it() {
    let mut relay = RelayHarness::new(4, 1, ONE_ENDPOINT);
    relay.rate_limit = Some(RateLimitReport { remaining_fraction: 0.1, rate_per_second: 10.0 });
    relay.accept(1, "idempotent", None, 30_000);
    for _ in 0..3 {
        relay.end_push(1, CallStatus::Busy);
        relay.advance(4_000);
    }
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 30000 ms
        200    push 1 to a for 29800 ms
        4520   push 1 to a for 25480 ms
        9100   push 1 to a for 20900 ms
    "#]]);
}

/// Rejected calls count against the limit too, so a rejection spaces a relay's calls beyond the backoff after it, until
/// responses report that more than half of the limit remains.
#[test]
fn pacing_after_a_rejection_shrinks_as_responses_report_remaining_capacity() {
    let mut relay = RelayHarness::new(1, 1, ONE_ENDPOINT);
    relay.rate_limit = Some(RateLimitReport { remaining_fraction: 0.0, rate_per_second: 2.0 });
    relay.accept_all(1..=6, "idempotent", 30_000);
    relay.end_push(1, CallStatus::Busy);
    for (id, left) in [(2, 0.3), (3, 0.7), (4, 1.0), (5, 1.0), (6, 1.0)] {
        relay.advance_until_in_flight(id);
        relay.rate_limit = Some(RateLimitReport { remaining_fraction: left, rate_per_second: 2.0 });
        relay.end_push(id, CallStatus::Delivered);
    }
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 30000 ms
        1000   push 2 to a for 29000 ms
        2150   push 3 to a for 27850 ms
        3150   push 4 to a for 26850 ms
        3860   push 5 to a for 26140 ms
        4360   push 6 to a for 25640 ms
    "#]]);
}

/// A relay that has just started has accepted few notifications because of its short uptime, not because of little
/// traffic. It must call a destination that rejects everything about as often as a relay that has had the same traffic
/// for longer.
#[test]
fn a_relay_that_has_just_started_calls_a_rejecting_destination_as_often_as_a_long_running_one() {
    let calls_after = |before: u64| {
        let mut relay = RelayHarness::with_config(config(100, 4), 1, ONE_ENDPOINT);
        let (mut next, mut rejected) = (1, 0);
        for second in 0..before + 24 {
            relay.accept(next, "idempotent", None, TTL_MS);
            next += 1;
            for _ in 0..50 {
                relay.advance(20);
                let status = if second < before { CallStatus::Delivered } else { CallStatus::Busy };
                rejected += if second < before { 0 } else { relay.in_flight().len() };
                relay.end_all_pushes(status);
            }
        }
        rejected
    };
    expect!["10 12"].assert_eq(&format!("{} {}", calls_after(2), calls_after(40)));
}

#[test]
fn a_requested_delay_applies_whatever_the_outcome_of_the_push() {
    let mut relay = RelayHarness::new(4, 1, ONE_ENDPOINT);
    relay.accept(1, "idempotent", None, TTL_MS);
    relay.end_push_with_retry_after(1, CallStatus::Delivered, Some(700));
    relay.accept(2, "idempotent", None, TTL_MS);
    relay.advance(3_000);
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      cancel unsent pushes to a
        840    push 2 to a for 15160 ms
    "#]]);
}

/// If a rate is listed and responses report no limit, a rejection is attributed to the listed rate and not to an
/// outage. Rejections with a requested delay set a pacing interval that grows with each of them and shrinks with
/// deliveries. The end of a short delay does not start a recovery.
#[test]
fn a_listed_rate_replaces_a_reported_limit() {
    let mut relay = RelayHarness::with_listed_rate(50, 20.0, ONE_ENDPOINT);
    relay.accept(1, "idempotent", None, 90_000);
    for wait in [0, 300, 300] {
        relay.advance_until_in_flight(1);
        relay.end_push_with_retry_after(1, CallStatus::Busy, Some(wait).filter(|wait| *wait > 0));
    }
    for id in 1..=3 {
        relay.accept(id + 1, "idempotent", None, 90_000);
        relay.advance_until_in_flight(id);
        relay.end_push(id, CallStatus::Delivered);
    }
    relay.assert_trace(expect![[r#"
        0      subscribe
        50     push 1 to a for 89950 ms
        190    push 1 to a for 89810 ms
        190    cancel unsent pushes to a
        5950   push 1 to a for 84050 ms
        5950   cancel unsent pushes to a
        12720  push 2 to a for 83230 ms
        17520  push 1 to a for 72480 ms
        20920  push 3 to a for 86600 ms
    "#]]);
}

/// Queues are full after an outage: consecutive rejections without a delivery between them, some with a requested delay
/// and some without, are treated as an outage although a rate is listed.
#[test]
fn consecutive_rejections_keep_a_relay_to_its_equal_share_although_a_rate_is_listed() {
    let mut relay = RelayHarness::with_listed_rate(50, 20.0, ONE_ENDPOINT);
    relay.accept(1, "idempotent", None, 60_000);
    for wait in [200, 0, 0] {
        relay.advance_until_in_flight(1);
        relay.end_push_with_retry_after(1, CallStatus::Busy, Some(wait).filter(|wait| *wait > 0));
    }
    relay.advance_until_in_flight(1);
    relay.assert_trace(expect![[r#"
        0      subscribe
        50     push 1 to a for 59950 ms
        50     cancel unsent pushes to a
        450    push 1 to a for 59550 ms
        7100   push 1 to a for 52900 ms
        15330  push 1 to a for 44670 ms
    "#]]);
}
