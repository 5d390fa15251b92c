//! "Meeting Deadlines through Restart" (van Moorsel and Wolter) as a library: how long a try may last, when
//! none is worth making, and whose a freed slot is. Pure: no I/O, no clock but the `now` handed in.

mod fit;
mod slot_times;

pub use fit::Fit;
pub use slot_times::SlotTimes;

use std::collections::VecDeque;

use juniperwing_clock::{Span, Time};

use crate::fit::Sample;

/// Latencies kept of each destination.
const SAMPLES: usize = 32;
/// Latencies seen before the fit is trusted.
pub const MIN_FIT_SAMPLES: usize = 5;
/// A shorter latency counts as this, in seconds.
const SHORTEST_SECS: f64 = 1e-4;

/// The latest latencies of one destination, and the fit that they give.
#[derive(Debug, Default)]
pub struct LatencyModel {
    samples: VecDeque<Sample>,
    fit: Option<Fit>,
}

impl LatencyModel {
    /// Takes in how long a try lasted that ended at `now`; censored if it was abandoned before its end.
    pub fn record(&mut self, now: Time, lasted: Span, censored: bool) {
        let ln_secs = lasted.as_secs_f64().max(SHORTEST_SECS).ln();
        self.samples.push_back(Sample { at: now, ln_secs, censored });
        if self.samples.len() > SAMPLES {
            self.samples.pop_front();
        }
        self.fit = if self.samples.len() < MIN_FIT_SAMPLES { None } else { Fit::of(&self.samples) };
    }

    /// The fit, once warm.
    pub fn fit(&self) -> Option<Fit> {
        self.fit
    }

    /// The fitted median, no longer than the longest try completed: tries cut short do not say how long they
    /// last. Without this bound one that sees little gives up all that comes, for good. Zero until warm.
    pub fn median(&self) -> Span {
        let longest = Span::from_secs_f64(self.completed().reduce(f64::max).map_or(0.0, f64::exp));
        self.fit.map_or(Span::ZERO, |fit| Span::from_secs_f64(fit.mu.exp()).min(longest))
    }

    /// How long the next try may last: until warm, all the time left. One that may not be run a second time
    /// has one try left.
    pub fn timeout(&self, left: Span, tries_left: u32) -> Span {
        self.fit.map_or(left, |fit| fit.timeout(left, tries_left))
    }

    /// The cutoff: whether the time left is no shorter than the median.
    pub fn is_worth_trying(&self, left: Span) -> bool {
        left > Span::ZERO && left >= self.median()
    }

    /// What nine in ten tries completed of late stay under, where enough are known.
    pub fn ninetieth_percentile(&self) -> Option<Span> {
        let mut done: Vec<f64> = self.completed().collect();
        done.sort_by(f64::total_cmp);
        let known = done.get(done.len() * 9 / 10).filter(|_| done.len() >= MIN_FIT_SAMPLES);
        known.map(|ln_secs| Span::from_secs_f64(ln_secs.exp()))
    }

    /// How many tries in a row, up to the latest, were censored.
    pub fn consecutive_censored(&self) -> usize {
        self.samples.iter().rev().take_while(|s| s.censored).count()
    }

    fn completed(&self) -> impl Iterator<Item = f64> {
        self.samples.iter().filter(|s| !s.censored).map(|s| s.ln_secs)
    }
}
