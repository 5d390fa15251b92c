//! The restart timer, its fit and the cutoff.

use juniperwing_clock::{Span, Time};
use juniperwing_restart::{Fit, LatencyModel, MIN_FIT_SAMPLES};
use proptest::prelude::*;

const TRIES: u32 = 8;

fn millis(millis: u64) -> Span {
    Span::from_millis(millis)
}

/// A model that has seen tries complete after so many milliseconds, one each second.
fn seen(latencies: &[u64]) -> LatencyModel {
    let mut model = LatencyModel::default();
    for (second, latency) in (1..).zip(latencies) {
        model.record(Time::default() + millis(1_000 * second), millis(*latency), false);
    }
    model
}

/// The paper's sequence of chances, taken literally: `1 - (1 - F(d / n))^n`.
fn chance(fit: Fit, left: Span, tries: u32) -> f64 {
    let z = ((left.as_secs_f64() / f64::from(tries)).ln() - fit.mu) / fit.sigma;
    let within = 1.0 - libm::erfc(z / std::f64::consts::SQRT_2) / 2.0;
    1.0 - (1.0 - within).powi(tries as i32)
}

/// The number of tries before the first drop, over the whole sequence.
fn best_tries(fit: Fit, left: Span, tries_left: u32) -> u32 {
    let chances: Vec<f64> = (1..=tries_left).map(|tries| chance(fit, left, tries)).collect();
    let drop = chances.windows(2).position(|pair| pair[1] < pair[0]);
    drop.map_or(tries_left, |place| place as u32 + 1)
}

#[test]
fn the_papers_example_has_three_restarts() {
    let fit = Fit { mu: -2.3, sigma: 0.97 };
    assert_eq!(fit.timeout(millis(700), 20), millis(175));
    assert_eq!(best_tries(fit, millis(700), 20), 4);
}

#[test]
fn a_slow_first_try_is_abandoned_at_its_part_of_the_time_left() {
    let model = seen(&[60, 80, 100, 120, 160, 400]);
    let left = millis(2_000);
    let tries = best_tries(model.fit().expect("warm"), left, TRIES);
    assert!(tries > 1, "restarts pay for latencies that vary so much");
    assert_eq!(model.timeout(left, TRIES), left.mul_f64(1.0 / f64::from(tries)));
}

#[test]
fn without_a_second_run_all_the_time_left_is_the_time_out() {
    let model = seen(&[60, 80, 100, 120, 160, 400]);
    assert_eq!(model.timeout(millis(600), 1), millis(600));
    assert_eq!(model.timeout(millis(600), 0), millis(600));
}

#[test]
fn the_tries_left_bound_the_search() {
    let model = seen(&[10, 10, 10, 10, 10, 10]);
    assert_eq!(model.timeout(millis(4_000), 2), millis(2_000));
    assert_eq!(model.timeout(millis(4_000), 8), millis(500));
}

#[test]
fn until_warm_all_the_time_left_is_the_time_out_and_nothing_is_cut_off() {
    let mut model = seen(&[100; MIN_FIT_SAMPLES - 1]);
    assert_eq!(model.fit(), None);
    assert_eq!(model.timeout(millis(5_000), TRIES), millis(5_000));
    assert!(model.is_worth_trying(Span::from_nanos(1)));
    model.record(Time::default() + millis(60_000), millis(100), false);
    assert!(model.fit().is_some());
    assert!(model.timeout(millis(5_000), TRIES) < millis(5_000));
    assert!(!model.is_worth_trying(Span::from_nanos(1)));
}

#[test]
fn the_cutoff_lies_at_the_median() {
    let model = seen(&[200; 10]);
    let median = model.median();
    assert!(median.as_nanos().abs_diff(millis(200).as_nanos()) < 1_000, "{median:?}");
    assert!(model.is_worth_trying(median));
    assert!(!model.is_worth_trying(median - Span::from_nanos(1)));
    assert!(!LatencyModel::default().is_worth_trying(Span::ZERO));
}

#[test]
fn censored_tries_raise_the_fit() {
    let latencies = [100, 120, 90, 110, 100, 105, 95, 100];
    let all_completed = seen(&latencies);
    let mut some_abandoned = LatencyModel::default();
    for (second, latency) in (1..).zip(latencies) {
        some_abandoned.record(Time::default() + millis(1_000 * second), millis(latency), second % 2 == 0);
    }
    let (completed, abandoned) = (all_completed.fit().expect("warm"), some_abandoned.fit().expect("warm"));
    assert!(abandoned.mu > completed.mu, "{abandoned:?} and {completed:?}");
    assert!(abandoned.sigma >= completed.sigma);
    assert_eq!(some_abandoned.consecutive_censored(), 1);
}

#[test]
fn the_median_is_never_beyond_what_has_been_completed() {
    let mut model = seen(&[100; 5]);
    for second in 10..40 {
        model.record(Time::default() + millis(1_000 * second), millis(3_000), true);
    }
    assert!(model.median() <= millis(101), "{:?}", model.median());
}

#[test]
fn what_is_old_counts_less() {
    let mut model = seen(&[1_000; 10]);
    for second in 40..45 {
        model.record(Time::default() + millis(1_000 * second), millis(50), false);
    }
    assert!(model.median() < millis(100), "{:?}", model.median());
}

#[test]
fn the_usual_latency_is_what_nine_in_ten_stay_under() {
    assert_eq!(seen(&[100; MIN_FIT_SAMPLES - 1]).ninetieth_percentile(), None);
    let usual =
        seen(&[10, 20, 30, 40, 50, 60, 70, 80, 90, 100]).ninetieth_percentile().expect("enough are known");
    assert!(usual.as_nanos().abs_diff(millis(100).as_nanos()) < 1_000, "{usual:?}");
}

#[test]
fn no_latency_and_endless_latency_do_no_harm() {
    for strange in
        [Span::ZERO, Span::from_nanos(u64::MAX), Span::from_secs_f64(f64::NAN), Span::from_secs_f64(-1.0)]
    {
        let mut model = LatencyModel::default();
        for _ in 0..40 {
            model.record(Time::NEVER, strange, false);
            model.record(Time::default(), strange, true);
        }
        let fit = model.fit().expect("warm");
        assert!(fit.mu.is_finite() && fit.sigma.is_finite(), "{strange:?}: {fit:?}");
        let endless = Span::from_nanos(u64::MAX);
        assert!(model.timeout(endless, u32::MAX) > Span::ZERO);
        assert_eq!(model.timeout(Span::ZERO, u32::MAX), Span::ZERO);
    }
}

#[test]
fn a_fit_that_is_no_number_does_no_harm() {
    let numbers = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 0.0];
    for (mu, sigma) in numbers.into_iter().flat_map(|mu| numbers.map(|sigma| (mu, sigma))) {
        let time_out = Fit { mu, sigma }.timeout(millis(1_000), u32::MAX);
        assert!(time_out > Span::ZERO && time_out <= millis(1_000), "{mu}, {sigma}: {time_out:?}");
    }
}

proptest! {
    /// Where the chances differ enough for floating point to tell, the search ends where brute force does.
    #[test]
    fn algorithm_2_finds_the_best_number_before_the_first_drop(
        mu in -5.0..1.0f64, sigma in 0.25..2.0f64, left_ms in 20..20_000u64, tries_left in 1..12u32,
    ) {
        let (fit, left) = (Fit { mu, sigma }, millis(left_ms));
        let sure = |tries| chance(fit, left, tries) > 1.0 - 1e-9;
        let near = |tries| (chance(fit, left, tries) - chance(fit, left, tries + 1)).abs() < 1e-12;
        prop_assume!(!(1..=tries_left).any(|tries| sure(tries) || near(tries)));
        let best = best_tries(fit, left, tries_left);
        prop_assert_eq!(fit.timeout(left, tries_left), left.mul_f64(1.0 / f64::from(best)));
    }

    #[test]
    fn a_time_out_is_never_zero_and_never_beyond_the_time_left(
        latencies in prop::collection::vec((any::<u64>(), any::<u64>(), any::<bool>()), 0..60),
        left in 1..=u64::MAX,
        tries_left in any::<u32>(),
    ) {
        let mut model = LatencyModel::default();
        for (at, lasted, censored) in latencies {
            model.record(Time::from_nanos(at), Span::from_nanos(lasted), censored);
        }
        let left = Span::from_nanos(left);
        let time_out = model.timeout(left, tries_left);
        prop_assert!(time_out > Span::ZERO && time_out <= left);
        prop_assert!(model.fit().is_none_or(|fit| fit.mu.is_finite() && fit.sigma.is_finite()));
    }
}
