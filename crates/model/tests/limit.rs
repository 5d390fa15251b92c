//! Rate limits: token buckets and fixed windows.

use juniperwing::time::{Span, Time};
use juniperwing_model::limit::Limit;
use proptest::prelude::*;

fn at(ms: u64) -> Time {
    Time::from_nanos(ms * 1_000_000)
}

proptest! {
    /// Over any interval, a token bucket allows no more than its depth and the tokens added since.
    #[test]
    fn token_bucket_is_never_exceeded(gaps in prop::collection::vec(0u64..400, 1..300), rate in 0.5f64..50.0) {
        let (mut limit, depth) = (Limit::rate(rate, 0.5), (rate * 0.5).max(1.0));
        let (mut now, mut allowed) = (0, Vec::new());
        for gap in gaps {
            now += gap;
            if limit.try_acquire(at(now), 1.0, false) {
                allowed.push(now);
            }
        }
        for (from, start) in allowed.iter().enumerate() {
            for (to, end) in allowed.iter().enumerate().skip(from) {
                let most = depth + rate * (end - start) as f64 / 1_000.0;
                prop_assert!((to - from + 1) as f64 <= most + 1e-6, "{} calls, {most}", to - from + 1);
            }
        }
    }

    /// A window limit allows no more than its count in each window.
    #[test]
    fn window_limit_is_never_exceeded(gaps in prop::collection::vec(0u64..200, 1..300), rate in 1.0f64..30.0) {
        let mut limit = Limit::window(rate, Span::from_millis(1_500));
        let (mut now, mut counts) = (0, std::collections::BTreeMap::new());
        for gap in gaps {
            now += gap;
            if limit.try_acquire(at(now), 1.0, false) {
                *counts.entry(now / 1_500).or_insert(0.0) += 1.0;
            }
        }
        let most = (rate * 1.5).max(1.0).floor();
        prop_assert!(counts.values().all(|count| *count <= most));
    }

    /// A call is allowed after the wait that the limit announces.
    #[test]
    fn call_is_allowed_after_the_announced_wait(
        calls in 1u64..60, rate in 0.5f64..20.0, windowed: bool, factor in 0.2f64..2.0, counts_rejected: bool,
    ) {
        let span = Span::from_millis(1_300);
        let mut limit = if windowed { Limit::window(rate, span) } else { Limit::rate(rate, 0.7) };
        for call in 0..calls {
            limit.try_acquire(at(call * 10), factor, counts_rejected);
        }
        let wait = limit.time_until_available(at(calls * 10), factor);
        let then = at(calls * 10) + wait + Span::from_nanos(1_000);
        prop_assert!(limit.try_acquire(then, factor, counts_rejected));
    }
}

#[test]
fn rejected_calls_use_tokens_only_where_they_count() {
    for (counts, left) in [(false, true), (true, false)] {
        let mut limit = Limit::rate(1.0, 1.0);
        assert!(limit.try_acquire(at(0), 1.0, counts));
        (0..5).for_each(|_| assert!(!limit.try_acquire(at(500), 1.0, counts)));
        assert_eq!(limit.try_acquire(at(1_000), 1.0, counts), left);
    }
}

#[test]
fn lowered_limit_is_reported_and_enforced() {
    let mut limit = Limit::window(10.0, Span::from_millis(1_000));
    let allowed = (0..10).filter(|_| limit.try_acquire(at(0), 0.3, false)).count();
    assert_eq!((allowed, limit.calls_per_s(0.3)), (3, Some(3.0)));
    assert!(limit.remaining_fraction(at(0), 0.3) < 0.01);
    assert!(limit.remaining_fraction(at(1_000), 0.3) > 0.99);
}
