//! The draw of the [`PerRun`](super::PerRun) ranges of a scenario.

use rand_chacha::ChaCha8Rng;

use super::{Fault, Range, Scenario};
use crate::random::{RngStreams, StreamPurpose};

/// The number of ranges of a fault, each of which consumes one draw of its stream.
pub(crate) const FAULT_RANGES: usize = 5;

impl Scenario {
    /// Returns the scenario with its [`PerRun`](super::PerRun) ranges drawn. A resolved scenario resolves to itself.
    #[must_use]
    pub fn resolve(&self, seed: u64) -> Scenario {
        let mut rng = RngStreams::new(seed).stream(StreamPurpose::Scenario, 0);
        let mut drawn = self.clone();
        let mut resolve = |range: &mut Range| resolve_range(range, &mut rng);
        resolve(&mut drawn.duration_s);
        resolve(&mut drawn.relays.count);
        resolve(&mut drawn.relays.zipf_exponent);
        let traffic = &mut drawn.traffic;
        resolve(&mut traffic.rate);
        resolve(&mut traffic.load);
        resolve(&mut traffic.swing_amplitude);
        resolve(&mut traffic.swing_period_s);
        resolve(&mut traffic.batched_fraction);
        resolve(&mut drawn.destinations.count);
        resolve(&mut drawn.destinations.endpoints);
        resolve(&mut drawn.destinations.zipf_exponent);
        for topic in &mut drawn.topics {
            resolve(&mut topic.traffic_weight);
            resolve(&mut topic.mean_work_ms);
            resolve(&mut topic.work_cv);
        }
        // Each fault has its own stream, so that adding or removing one does not change the others.
        for (n, fault) in drawn.faults.iter_mut().enumerate() {
            resolve_fault(fault, &mut RngStreams::new(seed).fault(n));
        }
        drawn.relays.count = Range::from(drawn.relays.count.min.round().max(1.0));
        drawn.destinations.count = Range::from(drawn.destinations.count.min.round().max(1.0));
        drawn
    }
}

fn resolve_fault(fault: &mut Fault, rng: &mut ChaCha8Rng) {
    let ranges: [&mut Range; FAULT_RANGES] =
        [&mut fault.start_s, &mut fault.duration_s, &mut fault.ramp_s, &mut fault.size, &mut fault.extent];
    ranges.into_iter().for_each(|range| resolve_range(range, rng));
}

/// Draws a range. A single number consumes a draw too, so that fixing a parameter does not change other draws.
fn resolve_range(range: &mut Range, rng: &mut ChaCha8Rng) {
    let value = range.draw(rng);
    *range = Range::from(if range.min == range.max { range.min } else { value });
}
