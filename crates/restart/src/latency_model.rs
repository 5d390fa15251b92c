//! The latest latencies of a destination, and what follows from them: timeout, cutoff and percentile.

use std::collections::VecDeque;

use juniperwing_clock::{Span, Time};

use crate::fit::{Fit, Sample};

/// Latencies kept of each destination.
const MAX_SAMPLES: usize = 32;
/// Latencies observed before the fit is used.
pub const MIN_FIT_SAMPLES: usize = 5;
/// A shorter latency counts as this, in seconds.
const MIN_LATENCY_SECS: f64 = 1e-4;

/// The latest latencies of one destination, and their fit.
#[derive(Debug, Default)]
pub struct LatencyModel {
    /// In order of observation.
    samples: VecDeque<Sample>,
    fit: Option<Fit>,
}

impl LatencyModel {
    /// Records how long an attempt lasted that ended at `now`; censored if it was abandoned before its end.
    pub fn record(&mut self, now: Time, latency: Span, is_censored: bool) {
        let ln_secs = latency.as_secs_f64().max(MIN_LATENCY_SECS).ln();
        self.samples.push_back(Sample { observed_at: now, ln_secs, is_censored });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.fit = if self.samples.len() < MIN_FIT_SAMPLES { None } else { Fit::of(&self.samples) };
    }

    /// The fit; `None` with fewer than [`MIN_FIT_SAMPLES`].
    pub fn fit(&self) -> Option<Fit> {
        self.fit
    }

    /// The fitted median, no longer than the longest attempt completed; zero without a fit. Attempts cut short do not
    /// say how long they would last: without the bound, a caller with little traffic would give up all that follows,
    /// for good.
    pub fn median(&self) -> Span {
        let longest = Span::from_secs_f64(self.completed().reduce(f64::max).map_or(0.0, f64::exp));
        self.fit.map_or(Span::ZERO, |fit| Span::from_secs_f64(fit.mu.exp()).min(longest))
    }

    /// How long the next attempt may last: without a fit, all the time left. A request that must not be executed a
    /// second time has one attempt left.
    pub fn timeout(&self, left: Span, attempts_left: u32) -> Span {
        self.fit.map_or(left, |fit| fit.timeout(left, attempts_left))
    }

    /// The cutoff: whether the time left is no shorter than the median.
    pub fn has_time_for_attempt(&self, left: Span) -> bool {
        left > Span::ZERO && left >= self.median()
    }

    /// The 90th percentile of the latencies of completed attempts; `None` with fewer than [`MIN_FIT_SAMPLES`].
    pub fn ninetieth_percentile(&self) -> Option<Span> {
        let mut completed: Vec<f64> = self.completed().collect();
        completed.sort_by(f64::total_cmp);
        if completed.len() < MIN_FIT_SAMPLES {
            return None;
        }
        let ln_secs = completed.get(completed.len() * 9 / 10)?;
        Some(Span::from_secs_f64(ln_secs.exp()))
    }

    /// How many attempts in a row, up to the latest, were censored.
    pub fn consecutive_censored(&self) -> usize {
        self.samples.iter().rev().take_while(|sample| sample.is_censored).count()
    }

    /// The logarithms of the latencies of completed attempts, in order of observation.
    fn completed(&self) -> impl Iterator<Item = f64> {
        self.samples.iter().filter(|sample| !sample.is_censored).map(|sample| sample.ln_secs)
    }
}
