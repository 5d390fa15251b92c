//! The restart timer, the latency fit and the cutoff.

use juniperwing_clock::{Span, Time};
use juniperwing_restart::{Fit, LatencyModel, MIN_FIT_SAMPLES};
use proptest::prelude::*;

const ATTEMPTS: u32 = 8;

fn millis(millis: u64) -> Span {
    Span::from_millis(millis)
}

/// A model of attempts that completed after these latencies in milliseconds, one per second.
fn model_of(latencies: &[u64]) -> LatencyModel {
    let mut model = LatencyModel::default();
    for (second, latency) in (1..).zip(latencies) {
        model.record(Time::default() + millis(1_000 * second), millis(*latency), false);
    }
    model
}

/// The probability of success as written in the paper: `1 - (1 - F(d / n))^n`.
fn success_probability(fit: Fit, left: Span, attempts: u32) -> f64 {
    let z = ((left.as_secs_f64() / f64::from(attempts)).ln() - fit.mu) / fit.sigma;
    let within = 1.0 - libm::erfc(z / std::f64::consts::SQRT_2) / 2.0;
    1.0 - (1.0 - within).powi(attempts as i32)
}

/// The number of attempts before the probability of success first drops, by brute force.
fn best_attempt_count(fit: Fit, left: Span, attempts_left: u32) -> u32 {
    let probabilities: Vec<f64> =
        (1..=attempts_left).map(|attempts| success_probability(fit, left, attempts)).collect();
    let first_drop = probabilities.windows(2).position(|pair| pair[1] < pair[0]);
    first_drop.map_or(attempts_left, |index| index as u32 + 1)
}

#[test]
fn the_papers_example_has_three_restarts() {
    let fit = Fit { mu: -2.3, sigma: 0.97 };
    assert_eq!(fit.timeout(millis(700), 20), millis(175));
    assert_eq!(best_attempt_count(fit, millis(700), 20), 4);
}

#[test]
fn a_slow_first_attempt_is_abandoned_after_its_share_of_the_time_left() {
    let model = model_of(&[60, 80, 100, 120, 160, 400]);
    let left = millis(2_000);
    let attempts = best_attempt_count(model.fit().expect("enough samples"), left, ATTEMPTS);
    assert!(attempts > 1, "restarts are beneficial for latencies with this variance");
    assert_eq!(model.timeout(left, ATTEMPTS), left.mul_f64(1.0 / f64::from(attempts)));
}

#[test]
fn without_a_retry_all_the_time_left_is_the_timeout() {
    let model = model_of(&[60, 80, 100, 120, 160, 400]);
    assert_eq!(model.timeout(millis(600), 1), millis(600));
    assert_eq!(model.timeout(millis(600), 0), millis(600));
}

#[test]
fn the_attempts_left_bound_the_search() {
    let model = model_of(&[10, 10, 10, 10, 10, 10]);
    assert_eq!(model.timeout(millis(4_000), 2), millis(2_000));
    assert_eq!(model.timeout(millis(4_000), 8), millis(500));
}

#[test]
fn without_a_fit_all_the_time_left_is_the_timeout_and_nothing_is_cut_off() {
    let mut model = model_of(&[100; MIN_FIT_SAMPLES - 1]);
    assert_eq!(model.fit(), None);
    assert_eq!(model.timeout(millis(5_000), ATTEMPTS), millis(5_000));
    assert!(model.has_time_for_attempt(Span::from_nanos(1)));
    model.record(Time::default() + millis(60_000), millis(100), false);
    assert!(model.fit().is_some());
    assert!(model.timeout(millis(5_000), ATTEMPTS) < millis(5_000));
    assert!(!model.has_time_for_attempt(Span::from_nanos(1)));
}

#[test]
fn the_cutoff_lies_at_the_median() {
    let model = model_of(&[200; 10]);
    let median = model.median();
    assert!(median.as_nanos().abs_diff(millis(200).as_nanos()) < 1_000, "{median:?}");
    assert!(model.has_time_for_attempt(median));
    assert!(!model.has_time_for_attempt(median - Span::from_nanos(1)));
    assert!(!LatencyModel::default().has_time_for_attempt(Span::ZERO));
}

/// The time after which `model_of` with this many latencies has learned nothing for long enough for a trial.
fn trial_due_after(samples: u64) -> Time {
    Time::default() + millis(1_000 * samples + 1_000)
}

// Guards `allows_attempt` and `record_attempt`: without trials the cutoff would hold for good once it ends every attempt;
// without their interval it would not hold at all.
#[test]
fn one_attempt_in_an_interval_is_made_in_spite_of_the_cutoff() {
    let mut model = model_of(&[500; 10]);
    let due_at = trial_due_after(10);
    assert!(!model.allows_attempt(due_at - Span::from_nanos(1), millis(300)));
    assert!(model.allows_attempt(due_at, millis(300)));
    assert!(!model.allows_attempt(due_at, Span::ZERO));
    model.record_attempt(due_at, millis(300));
    assert!(!model.allows_attempt(due_at + millis(999), millis(300)));
    assert!(model.allows_attempt(due_at + millis(999), millis(500)), "the cutoff alone decides otherwise");
    assert!(
        model.allows_attempt(due_at + millis(1_000), millis(300)),
        "a trial without a result is repeated"
    );
}

#[test]
fn a_trial_that_completes_in_its_time_refutes_older_latencies() {
    let mut model = model_of(&[500; 32]);
    let due_at = trial_due_after(32);
    model.record_attempt(due_at, millis(300));
    model.record(due_at + millis(100), millis(100), false);
    assert!(model.allows_attempt(due_at + millis(100), millis(300)));
    assert_eq!(model.fit(), None, "the next attempts make a new fit");
}

#[test]
fn a_trial_that_does_not_complete_in_its_time_leaves_the_cutoff() {
    for is_censored in [false, true] {
        let mut model = model_of(&[500; 32]);
        let due_at = trial_due_after(32);
        model.record_attempt(due_at, millis(300));
        let latency = millis(if is_censored { 300 } else { 301 });
        model.record(due_at + latency, latency, is_censored);
        assert!(!model.allows_attempt(due_at + latency, millis(300)));
        // A later attempt that had enough time is no trial.
        model.record_attempt(due_at + latency, millis(2_000));
        model.record(due_at + latency + millis(200), millis(200), false);
        assert!(!model.allows_attempt(due_at + latency + millis(200), millis(300)));
    }
}

#[test]
fn censored_attempts_raise_the_fit() {
    let latencies = [100, 120, 90, 110, 100, 105, 95, 100];
    let all_completed = model_of(&latencies);
    let mut some_abandoned = LatencyModel::default();
    for (second, latency) in (1..).zip(latencies) {
        some_abandoned.record(Time::default() + millis(1_000 * second), millis(latency), second % 2 == 0);
    }
    let (completed, abandoned) =
        (all_completed.fit().expect("enough samples"), some_abandoned.fit().expect("enough samples"));
    assert!(abandoned.mu > completed.mu, "{abandoned:?} and {completed:?}");
    assert!(abandoned.sigma >= completed.sigma);
    assert_eq!(some_abandoned.consecutive_censored(), 1);
}

#[test]
fn the_median_is_never_beyond_the_longest_completed_attempt() {
    let mut model = model_of(&[100; 5]);
    for second in 10..40 {
        model.record(Time::default() + millis(1_000 * second), millis(3_000), true);
    }
    assert!(model.median() <= millis(101), "{:?}", model.median());
}

#[test]
fn old_samples_count_less() {
    let mut model = model_of(&[1_000; 10]);
    for second in 40..45 {
        model.record(Time::default() + millis(1_000 * second), millis(50), false);
    }
    assert!(model.median() < millis(100), "{:?}", model.median());
}

#[test]
fn the_ninetieth_percentile_needs_enough_samples() {
    assert_eq!(model_of(&[100; MIN_FIT_SAMPLES - 1]).ninetieth_percentile(), None);
    let percentile =
        model_of(&[10, 20, 30, 40, 50, 60, 70, 80, 90, 100]).ninetieth_percentile().expect("enough samples");
    assert!(percentile.as_nanos().abs_diff(millis(100).as_nanos()) < 1_000, "{percentile:?}");
}

#[test]
fn extreme_latencies_yield_a_finite_fit() {
    for latency in
        [Span::ZERO, Span::from_nanos(u64::MAX), Span::from_secs_f64(f64::NAN), Span::from_secs_f64(-1.0)]
    {
        let mut model = LatencyModel::default();
        for _ in 0..40 {
            model.record(Time::NEVER, latency, false);
            model.record(Time::default(), latency, true);
        }
        let fit = model.fit().expect("enough samples");
        assert!(fit.mu.is_finite() && fit.sigma.is_finite(), "{latency:?}: {fit:?}");
        let longest = Span::from_nanos(u64::MAX);
        assert!(model.timeout(longest, u32::MAX) > Span::ZERO);
        assert_eq!(model.timeout(Span::ZERO, u32::MAX), Span::ZERO);
    }
}

#[test]
fn a_fit_that_is_not_finite_yields_a_valid_timeout() {
    let numbers = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 0.0];
    for (mu, sigma) in numbers.into_iter().flat_map(|mu| numbers.map(|sigma| (mu, sigma))) {
        let timeout = Fit { mu, sigma }.timeout(millis(1_000), u32::MAX);
        assert!(timeout > Span::ZERO && timeout <= millis(1_000), "{mu}, {sigma}: {timeout:?}");
    }
}

proptest! {
    /// If the probabilities are distinguishable in floating point, the search agrees with brute force.
    #[test]
    fn algorithm_2_finds_the_best_attempt_count_before_the_first_drop(
        mu in -5.0..1.0f64, sigma in 0.25..2.0f64, left_ms in 20..20_000u64, attempts_left in 1..12u32,
    ) {
        let (fit, left) = (Fit { mu, sigma }, millis(left_ms));
        let is_certain = |attempts| success_probability(fit, left, attempts) > 1.0 - 1e-9;
        let probability = |attempts| success_probability(fit, left, attempts);
        let is_tie = |attempts| (probability(attempts) - probability(attempts + 1)).abs() < 1e-12;
        prop_assume!(!(1..=attempts_left).any(|attempts| is_certain(attempts) || is_tie(attempts)));
        let best = best_attempt_count(fit, left, attempts_left);
        prop_assert_eq!(fit.timeout(left, attempts_left), left.mul_f64(1.0 / f64::from(best)));
    }

    #[test]
    fn a_timeout_is_never_zero_and_never_beyond_the_time_left(
        latencies in prop::collection::vec((any::<u64>(), any::<u64>(), any::<bool>()), 0..60),
        left in 1..=u64::MAX,
        attempts_left in any::<u32>(),
    ) {
        let mut model = LatencyModel::default();
        for (at, latency, is_censored) in latencies {
            model.record(Time::from_nanos(at), Span::from_nanos(latency), is_censored);
        }
        let left = Span::from_nanos(left);
        let timeout = model.timeout(left, attempts_left);
        prop_assert!(timeout > Span::ZERO && timeout <= left);
        prop_assert!(model.fit().is_none_or(|fit| fit.mu.is_finite() && fit.sigma.is_finite()));
    }
}
