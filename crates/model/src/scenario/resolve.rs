//! The draw of the ranges of a scenario that are drawn once for a run.

use super::{Range, Scenario};
use crate::random::{Concern, RngStreams};

/// Ranges of a fault, each of which takes one number of its stream.
pub(crate) const FAULT_RANGES: usize = 5;

impl Scenario {
    /// The scenario with the ranges of type [`Once`](super::Once) drawn. With the same seed it resolves to itself.
    #[must_use]
    pub fn resolve(&self, seed: u64) -> Scenario {
        let mut rng = RngStreams::new(seed).stream(Concern::Scenario, 0);
        let mut drawn = self.clone();
        let mut fix = |range: &mut Range| {
            // Drawn even where it is one number, so that a fixed figure shifts no other.
            let value = range.draw(&mut rng);
            *range = Range::from(if range.least == range.most { range.least } else { value });
        };
        fix(&mut drawn.span_s);
        fix(&mut drawn.relays.count);
        fix(&mut drawn.relays.zipf);
        let traffic = &mut drawn.traffic;
        fix(&mut traffic.rate);
        fix(&mut traffic.load);
        fix(&mut traffic.swing);
        fix(&mut traffic.swing_s);
        fix(&mut traffic.clumps);
        fix(&mut drawn.destinations.count);
        fix(&mut drawn.destinations.endpoints);
        fix(&mut drawn.destinations.zipf);
        for topic in &mut drawn.topic {
            fix(&mut topic.share);
            fix(&mut topic.work_ms);
            fix(&mut topic.work_cv);
        }
        // Each has a stream of its own: a fault more or less leaves the others as they were.
        for (n, fault) in drawn.faults.iter_mut().enumerate() {
            let mut rng = RngStreams::new(seed).fault(n);
            let ranges: [&mut Range; FAULT_RANGES] = [
                &mut fault.start_s,
                &mut fault.span_s,
                &mut fault.ramp_s,
                &mut fault.size,
                &mut fault.extent,
            ];
            for range in ranges {
                let value = range.draw(&mut rng);
                *range = Range::from(if range.least == range.most { range.least } else { value });
            }
        }
        drawn.relays.count = Range::from(drawn.relays.count.least.round().max(1.0));
        drawn.destinations.count = Range::from(drawn.destinations.count.least.round().max(1.0));
        drawn
    }
}
