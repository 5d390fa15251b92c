//! The lognormal fit of a destination's latencies, and the restart interval that follows from it.

use std::collections::VecDeque;
use std::f64::consts::{PI, SQRT_2};

use juniperwing_clock::{Span, Time};

/// The age at which a latency counts half.
const HALF_AGE: Span = Span::from_millis(8_000);
/// Latencies vary at least this much (standard deviation of the logarithm).
const SIGMA_FLOOR: f64 = 0.25;
/// Tries that Algorithm 2 looks at, at the most, whatever the caller allows.
const MOST_TRIES: u32 = 1_024;

/// One latency seen; a censored one lasted at least that long.
#[derive(Debug)]
pub(crate) struct Sample {
    pub(crate) at: Time,
    pub(crate) ln_secs: f64,
    pub(crate) censored: bool,
}

/// Mean and standard deviation of the logarithm of a destination's latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The mean; its exponential is the median in seconds.
    pub mu: f64,
    /// The standard deviation.
    pub sigma: f64,
}

impl Fit {
    /// Aged maximum likelihood by expectation and maximisation: a censored sample counts with the mean and
    /// spread of the part of the curve beyond it.
    pub(crate) fn of(samples: &VecDeque<Sample>) -> Option<Fit> {
        let newest = samples.back()?.at;
        let weight =
            |s: &Sample| 0.5f64.powf(newest.since(s.at).as_secs_f64() / HALF_AGE.as_secs_f64()).max(1e-9);
        let aged: Vec<(f64, &Sample)> = samples.iter().map(|s| (weight(s), s)).collect();
        let total: f64 = aged.iter().map(|a| a.0).sum();
        let mu = aged.iter().map(|(weight, s)| weight * s.ln_secs).sum::<f64>() / total;
        let mut fit = Fit { mu, sigma: 1.0 };
        let rounds = if samples.iter().any(|s| s.censored) { 12 } else { 2 };
        for _ in 0..rounds {
            let (mut first, mut second) = (0.0, 0.0);
            for (weight, s) in &aged {
                let (mean, spread) = if s.censored { fit.beyond(s.ln_secs) } else { (s.ln_secs, 0.0) };
                first += weight * mean;
                second += weight * (mean * mean + spread);
            }
            let mu = first / total;
            fit = Fit { mu, sigma: (second / total - mu * mu).max(0.0).sqrt().max(SIGMA_FLOOR) };
        }
        Some(fit)
    }

    /// Mean and variance of the part of the curve beyond a point.
    fn beyond(&self, ln_secs: f64) -> (f64, f64) {
        let z = (ln_secs - self.mu) / self.sigma;
        let hazard = ((-z * z / 2.0).exp() / (2.0 * PI).sqrt() / upper_tail(z).max(1e-300)).max(z);
        let spread = self.sigma.powi(2) * (1.0 + z * hazard - hazard * hazard).clamp(0.0, 1.0);
        (self.mu + self.sigma * hazard, spread)
    }

    /// The logarithm of the chance that evenly spaced tries all miss: the chance itself saturates.
    fn ln_miss(&self, left: Span, tries: u32) -> f64 {
        let z = (((left.as_secs_f64() / f64::from(tries)).ln() - self.mu) / self.sigma).min(36.0);
        f64::from(tries) * upper_tail(z).ln()
    }

    /// Algorithm 2 of the paper: raises the number of tries until the first drop of the chance to make it in
    /// the time left, or to the tries that may still be made. The interval is no longer than the time left.
    pub fn timeout(&self, left: Span, tries_left: u32) -> Span {
        let mut n = 1;
        while n < tries_left.min(MOST_TRIES) && self.ln_miss(left, n + 1) <= self.ln_miss(left, n) {
            n += 1;
        }
        left.mul_f64(1.0 / f64::from(n)).max(Span::from_nanos(1)).min(left)
    }
}

/// The chance that a standard normal variable lies beyond `z`.
fn upper_tail(z: f64) -> f64 {
    libm::erfc(z / SQRT_2) / 2.0
}
