//! The lognormal fit of a destination's latencies, and the restart interval derived from it.

use std::collections::VecDeque;
use std::f64::consts::{PI, SQRT_2};

use juniperwing_clock::{Span, Time};

/// The age at which a sample has half the weight of the newest one.
const SAMPLE_HALF_LIFE: Span = Span::from_millis(8_000);
/// The minimum weight of a sample.
const MIN_SAMPLE_WEIGHT: f64 = 1e-9;
/// Lower bound on the standard deviation of the logarithm of latency.
const MIN_SIGMA: f64 = 0.25;
/// Upper bound on the number of attempts that Algorithm 2 considers, even if the caller allows more.
const MAX_ATTEMPTS: u32 = 1_024;
/// Iterations of the expectation-maximisation algorithm. Without censored samples, the second reproduces the first.
const ITERATIONS: usize = 2;
const ITERATIONS_WITH_CENSORED: usize = 12;
/// Bounds at which the upper tail of the normal distribution is still above zero in floating point.
const MAX_Z: f64 = 36.0;
const MIN_UPPER_TAIL: f64 = 1e-300;

/// An observed latency; for a censored sample, a lower bound of the latency.
#[derive(Debug)]
pub(crate) struct Sample {
    pub(crate) observed_at: Time,
    /// The natural logarithm of the latency in seconds.
    pub(crate) ln_secs: f64,
    pub(crate) is_censored: bool,
}

/// Mean and standard deviation of the natural logarithm of a destination's latency in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The mean; its exponential is the median in seconds.
    pub mu: f64,
    /// The standard deviation.
    pub sigma: f64,
}

impl Fit {
    /// Computes the maximum likelihood fit, with samples weighted by age, by expectation-maximisation: a censored
    /// sample contributes the mean and variance of the distribution above it. Returns `None` without samples.
    pub(crate) fn from_samples(samples: &VecDeque<Sample>) -> Option<Fit> {
        let newest_at = samples.back()?.observed_at;
        let weighted: Vec<(f64, &Sample)> =
            samples.iter().map(|sample| (sample.weight(newest_at), sample)).collect();
        let total: f64 = weighted.iter().map(|(weight, _)| weight).sum();
        let mu = weighted.iter().map(|(weight, sample)| weight * sample.ln_secs).sum::<f64>() / total;
        let mut fit = Fit { mu, sigma: 1.0 };
        let has_censored = samples.iter().any(|sample| sample.is_censored);
        for _ in 0..if has_censored { ITERATIONS_WITH_CENSORED } else { ITERATIONS } {
            fit = fit.next_iteration(&weighted, total);
        }
        Some(fit)
    }

    /// Performs one iteration of expectation-maximisation.
    fn next_iteration(&self, weighted: &[(f64, &Sample)], total: f64) -> Fit {
        let (mut first_moment, mut second_moment) = (0.0, 0.0);
        for (weight, sample) in weighted {
            let (mean, variance) = if sample.is_censored {
                self.conditional_tail(sample.ln_secs)
            } else {
                (sample.ln_secs, 0.0)
            };
            first_moment += weight * mean;
            second_moment += weight * (mean * mean + variance);
        }
        let mu = first_moment / total;
        Fit { mu, sigma: (second_moment / total - mu * mu).max(0.0).sqrt().max(MIN_SIGMA) }
    }

    /// Mean and variance of the normal distribution of the logarithm, conditional on values above `ln_secs`.
    fn conditional_tail(&self, ln_secs: f64) -> (f64, f64) {
        let z = (ln_secs - self.mu) / self.sigma;
        let density = (-z * z / 2.0).exp() / (2.0 * PI).sqrt();
        let hazard = (density / upper_tail(z).max(MIN_UPPER_TAIL)).max(z);
        let variance = self.sigma.powi(2) * (1.0 + z * hazard - hazard * hazard).clamp(0.0, 1.0);
        (self.mu + self.sigma * hazard, variance)
    }

    /// The logarithm of the probability that evenly spaced attempts all fail, because the probability itself
    /// saturates in floating point.
    fn ln_failure_probability(&self, left: Span, attempts: u32) -> f64 {
        let interval_secs = left.as_secs_f64() / f64::from(attempts);
        let z = ((interval_secs.ln() - self.mu) / self.sigma).min(MAX_Z);
        f64::from(attempts) * upper_tail(z).ln()
    }

    /// Computes the restart interval by Algorithm 2 of the paper: increases the number of attempts until the
    /// probability of success in the time left first falls, or up to `attempts_left`. The interval is at most the
    /// time left, and zero only if no time is left.
    pub fn timeout(&self, left: Span, attempts_left: u32) -> Span {
        let failure = |attempts| self.ln_failure_probability(left, attempts);
        let mut attempts = 1;
        while attempts < attempts_left.min(MAX_ATTEMPTS) && failure(attempts + 1) <= failure(attempts) {
            attempts += 1;
        }
        left.mul_f64(1.0 / f64::from(attempts)).max(Span::from_nanos(1)).min(left)
    }
}

impl Sample {
    /// Its weight by its age, relative to the newest sample.
    fn weight(&self, newest_at: Time) -> f64 {
        let age = newest_at.since(self.observed_at);
        0.5f64.powf(age.as_secs_f64() / SAMPLE_HALF_LIFE.as_secs_f64()).max(MIN_SAMPLE_WEIGHT)
    }
}

/// The probability that a standard normal variable exceeds `z`.
fn upper_tail(z: f64) -> f64 {
    libm::erfc(z / SQRT_2) / 2.0
}
