//! The recent latencies of a destination, and the timeout, cutoff and percentile derived from them.

use std::collections::VecDeque;

use juniperwing_clock::{Span, Time};

use crate::fit::{Fit, Sample};

/// The maximum number of latencies kept for each destination.
const MAX_SAMPLES: usize = 32;
/// The minimum number of latencies required for a fit.
pub const MIN_FIT_SAMPLES: usize = 5;
/// If nothing was learned of a destination for this long, one attempt is made in spite of the cutoff.
const TRIAL_INTERVAL: Span = Span::from_millis(1_000);
/// Shorter latencies are recorded as this one, in seconds.
const MIN_LATENCY_SECS: f64 = 1e-4;

/// The recent latencies of one destination, and their fit.
#[derive(Debug, Default)]
pub struct LatencyModel {
    /// In order of recording.
    samples: VecDeque<Sample>,
    fit: Option<Fit>,
    /// When the latest attempt began; `None` before the first.
    last_attempt_at: Option<Time>,
    /// The time that the latest attempt had if that was less than the median; `None` once a latency was recorded.
    trial: Option<Span>,
}

impl LatencyModel {
    /// Records that an attempt begins with the time `left`.
    pub fn record_attempt(&mut self, now: Time, left: Span) {
        self.last_attempt_at = Some(now);
        self.trial = (!self.has_time_for_attempt(left)).then_some(left);
    }

    /// Records the duration of an attempt that ended at `now`; censored if the attempt was abandoned.
    ///
    /// A trial that completes in the time that it had refutes the older samples: they are dropped, so that further
    /// attempts are made at once.
    pub fn record(&mut self, now: Time, latency: Span, is_censored: bool) {
        if self.trial.take().is_some_and(|left| !is_censored && latency <= left) {
            self.samples.clear();
        }
        let ln_secs = latency.as_secs_f64().max(MIN_LATENCY_SECS).ln();
        self.samples.push_back(Sample { observed_at: now, ln_secs, is_censored });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.fit = if self.samples.len() < MIN_FIT_SAMPLES { None } else { Fit::from_samples(&self.samples) };
    }

    /// The fit; `None` with fewer than [`MIN_FIT_SAMPLES`] samples.
    pub fn fit(&self) -> Option<Fit> {
        self.fit
    }

    /// The fitted median, at most the longest latency of a completed attempt; zero without a fit. Abandoned attempts do
    /// not show how long they would have lasted. Without the bound, they could raise the median of a caller with little
    /// traffic so far that it never starts another attempt.
    pub fn median(&self) -> Span {
        let longest = Span::from_secs_f64(self.completed().reduce(f64::max).map_or(0.0, f64::exp));
        self.fit.map_or(Span::ZERO, |fit| Span::from_secs_f64(fit.mu.exp()).min(longest))
    }

    /// How long the next attempt may last; all the time left without a fit. Pass one attempt left for a request that
    /// must not be executed twice.
    pub fn timeout(&self, left: Span, attempts_left: u32) -> Span {
        self.fit.map_or(left, |fit| fit.timeout(left, attempts_left))
    }

    /// The cutoff: whether any time is left, and at least the median latency.
    pub fn has_time_for_attempt(&self, left: Span) -> bool {
        left > Span::ZERO && left >= self.median()
    }

    /// Whether an attempt may begin: there is time for it, or it is due as a trial. Without trials, a median above the
    /// time that all requests have would end every one of them unsent, so that no latency would ever correct it.
    pub fn allows_attempt(&self, now: Time, left: Span) -> bool {
        self.has_time_for_attempt(left) || (left > Span::ZERO && self.is_trial_due(now))
    }

    /// Whether no attempt began, and no latency was recorded, for the trial interval.
    pub fn is_trial_due(&self, now: Time) -> bool {
        let last_learned_at = self.samples.back().map(|sample| sample.observed_at).max(self.last_attempt_at);
        last_learned_at.is_none_or(|at| now.since(at) >= TRIAL_INTERVAL)
    }

    /// The 90th percentile of the latencies of completed attempts; `None` with fewer than [`MIN_FIT_SAMPLES`] of them.
    pub fn ninetieth_percentile(&self) -> Option<Span> {
        let mut completed: Vec<f64> = self.completed().collect();
        completed.sort_by(f64::total_cmp);
        if completed.len() < MIN_FIT_SAMPLES {
            return None;
        }
        let ln_secs = completed.get(completed.len() * 9 / 10)?;
        Some(Span::from_secs_f64(ln_secs.exp()))
    }

    /// The number of consecutive censored attempts up to the latest one.
    pub fn consecutive_censored(&self) -> usize {
        self.samples.iter().rev().take_while(|sample| sample.is_censored).count()
    }

    /// The logarithms of the latencies of completed attempts, in order of recording.
    fn completed(&self) -> impl Iterator<Item = f64> {
        self.samples.iter().filter(|sample| !sample.is_censored).map(|sample| sample.ln_secs)
    }
}
