//! How long tries of each destination last: the restart timer of the data plane.

use std::collections::HashMap;

use juniperwing_clock::{Span, Time};
use juniperwing_restart::LatencyModel;

use crate::placement_request::Destination;

/// The latencies of all destinations.
#[derive(Debug, Default)]
pub struct LatencyModels {
    models: HashMap<Destination, LatencyModel>,
}

impl LatencyModels {
    /// Takes in how long a try lasted; censored if it was abandoned before its end.
    pub fn record(&mut self, now: Time, destination: &Destination, lasted: Span, censored: bool) {
        match self.models.get_mut(destination) {
            Some(model) => model.record(now, lasted, censored),
            None => {
                let model = self.models.entry(destination.clone()).or_default();
                model.record(now, lasted, censored);
            }
        }
    }

    /// How long the next try may last, with `left` until the deadline and `tries_left` endpoints that may still
    /// be sent to, this one included.
    pub fn time_out(&self, destination: &Destination, left: Span, tries_left: u32) -> Span {
        self.models.get(destination).map_or(left, |model| model.time_out(left, tries_left))
    }

    /// The cutoff: whether the time left is no shorter than the fitted median.
    pub fn has_time_for_attempt(&self, destination: &Destination, left: Span) -> bool {
        left > Span::ZERO && self.models.get(destination).is_none_or(|model| model.worth_trying(left))
    }

    /// The fitted median; zero until enough calls are seen.
    pub fn median(&self, destination: &Destination) -> Span {
        self.models.get(destination).map_or(Span::ZERO, LatencyModel::median)
    }

    /// Forgets the destinations that are not wanted any more.
    pub fn retain(&mut self, wanted: impl Fn(&Destination) -> bool) {
        self.models.retain(|destination, _| wanted(destination));
    }
}
