//! Sets the timeouts of attempts, after which a request is sent to another endpoint, from the latencies of each
//! destination.

#![expect(
    clippy::disallowed_types,
    reason = "only looked up by key or filtered, so that its order is never visible"
)]

use std::collections::HashMap;

use juniperwing_clock::{Span, Time};
use juniperwing_restart::LatencyModel;

use crate::placement_request::Destination;

/// The latency models of all destinations.
#[derive(Debug, Default)]
pub struct LatencyModels {
    models: HashMap<Destination, LatencyModel>,
}

impl LatencyModels {
    /// Records the duration of an attempt; censored if the attempt was abandoned before its end.
    pub fn record(&mut self, now: Time, destination: &Destination, duration: Span, is_censored: bool) {
        match self.models.get_mut(destination) {
            Some(model) => model.record(now, duration, is_censored),
            None => {
                let model = self.models.entry(destination.clone()).or_default();
                model.record(now, duration, is_censored);
            }
        }
    }

    /// The timeout of the next attempt, with `remaining` until the deadline and `attempts_left` endpoints to which
    /// the request may still be sent, this one included.
    pub fn attempt_timeout(&self, destination: &Destination, remaining: Span, attempts_left: u32) -> Span {
        self.models.get(destination).map_or(remaining, |model| model.timeout(remaining, attempts_left))
    }

    /// Whether an attempt is worthwhile: the remaining time is at least the fitted median latency, or the attempt is due
    /// to correct the fit.
    pub fn allows_attempt(&self, now: Time, destination: &Destination, remaining: Span) -> bool {
        let model = self.models.get(destination);
        remaining > Span::ZERO && model.is_none_or(|model| model.allows_attempt(now, remaining))
    }

    /// Begins an attempt; returns `false` if it is not worthwhile.
    pub fn begin_attempt(&mut self, now: Time, destination: &Destination, remaining: Span) -> bool {
        let is_allowed = self.allows_attempt(now, destination, remaining);
        if is_allowed && let Some(model) = self.models.get_mut(destination) {
            model.record_attempt(now, remaining);
        }
        is_allowed
    }

    /// The fitted median latency; zero until there are enough samples.
    pub fn median(&self, destination: &Destination) -> Span {
        self.models.get(destination).map_or(Span::ZERO, LatencyModel::median)
    }

    /// The longest fitted median of any destination; zero if there is no fit.
    pub fn longest_median(&self) -> Span {
        self.models.values().map(LatencyModel::median).max().unwrap_or(Span::ZERO)
    }

    /// Removes the models of destinations for which `exists` is false.
    pub fn retain(&mut self, exists: impl Fn(&Destination) -> bool) {
        self.models.retain(|destination, _| exists(destination));
    }
}
