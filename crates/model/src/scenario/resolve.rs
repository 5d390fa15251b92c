//! The draw of the ranges of a scenario that are drawn once for a run.

use rand_chacha::ChaCha8Rng;

use super::{Fault, Range, Scenario};
use crate::random::{Concern, RngStreams};

/// Ranges of a fault, each of which takes one number of its stream.
pub(crate) const FAULT_RANGES: usize = 5;

impl Scenario {
    /// The scenario with the ranges of type [`Once`](super::Once) drawn. With the same seed it resolves to itself.
    #[must_use]
    pub fn resolve(&self, seed: u64) -> Scenario {
        let mut rng = RngStreams::new(seed).stream(Concern::Scenario, 0);
        let mut drawn = self.clone();
        let mut fix = |range: &mut Range| resolve_range(range, &mut rng);
        fix(&mut drawn.duration_s);
        fix(&mut drawn.relays.count);
        fix(&mut drawn.relays.zipf_exponent);
        let traffic = &mut drawn.traffic;
        fix(&mut traffic.rate);
        fix(&mut traffic.load);
        fix(&mut traffic.swing_amplitude);
        fix(&mut traffic.swing_period_s);
        fix(&mut traffic.clumped_fraction);
        fix(&mut drawn.destinations.count);
        fix(&mut drawn.destinations.endpoints);
        fix(&mut drawn.destinations.zipf_exponent);
        for topic in &mut drawn.topics {
            fix(&mut topic.traffic_weight);
            fix(&mut topic.mean_work_ms);
            fix(&mut topic.work_cv);
        }
        // Each has a stream of its own: a fault more or less leaves the others as they were.
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

/// Draws a range, also where it is one number, so that a fixed figure shifts no other draw.
fn resolve_range(range: &mut Range, rng: &mut ChaCha8Rng) {
    let value = range.draw(rng);
    *range = Range::from(if range.min == range.max { range.min } else { value });
}
