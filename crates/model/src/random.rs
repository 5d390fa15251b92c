//! Chance, one stream for each concern and item, all from one seed: what one concern draws never shifts what
//! another does, so that a trouble added to a scenario leaves every other draw as it was. It owns no state
//! beyond the seed, and must never hand out one stream twice for different things.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What a stream of chance is for. The number is part of what a seed means: never reuse one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Concern {
    /// Figures of the scenario that are drawn once for a run.
    Scenario = 1,
    /// How traffic falls to relays.
    Relays = 2,
    /// What destinations are like.
    Destinations = 3,
    /// Service times at an endpoint.
    Service = 4,
    /// Ordinary arrivals.
    Arrivals = 5,
    /// Clumps of arrivals.
    Clumps = 6,
    /// Keys and the relays that they come to.
    Keys = 7,
    /// One-way times and breaks on a relay's side.
    Network = 8,
    /// What clients do after an answer.
    Clients = 9,
    /// When relays hear of the list.
    List = 10,
    /// Noise of load reports at an endpoint.
    Reports = 11,
    /// Whom a trouble strikes, and what it adds.
    Faults = 12,
    /// The seeds that relays are started with.
    Policies = 13,
}

/// The chance of one run.
#[derive(Clone, Copy, Debug)]
pub struct RngStreams {
    seed: u64,
}

impl RngStreams {
    /// All chance that follows from a seed.
    pub fn new(seed: u64) -> RngStreams {
        RngStreams { seed }
    }

    /// The stream of one item (a relay, an endpoint, ...) of a concern, from its start.
    pub fn stream(&self, concern: Concern, item: usize) -> ChaCha8Rng {
        let mut stream = ChaCha8Rng::seed_from_u64(self.seed);
        stream.set_stream((concern as u64) << 32 | item as u64 & 0xffff_ffff);
        stream
    }
}

/// A number from `least` to `most`.
pub(crate) fn between(rng: &mut ChaCha8Rng, least: f64, most: f64) -> f64 {
    least + (most - least) * rng.random::<f64>()
}

/// A place chosen in proportion to `weights`, by running sums that end with their total.
pub(crate) fn weighted(rng: &mut ChaCha8Rng, sums: &[f64]) -> usize {
    let total = sums.last().copied().unwrap_or(0.0);
    let at = rng.random::<f64>() * total;
    sums.partition_point(|sum| *sum <= at).min(sums.len().saturating_sub(1))
}

/// Running sums, for [`weighted`].
pub(crate) fn sums(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let mut add = |weight: f64| {
        sum += weight;
        sum
    };
    weights.map(&mut add).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_stream_is_the_same_each_time_and_no_two_are_alike() {
        let rng = RngStreams::new(7);
        let first = |concern, item| rng.stream(concern, item).random::<u64>();
        assert_eq!(first(Concern::Service, 3), first(Concern::Service, 3));
        let all = [
            first(Concern::Service, 3),
            first(Concern::Service, 4),
            first(Concern::Reports, 3),
            RngStreams::new(8).stream(Concern::Service, 3).random(),
        ];
        let distinct: std::collections::BTreeSet<u64> = all.into_iter().collect();
        assert_eq!(distinct.len(), all.len());
    }

    #[test]
    fn a_weighted_choice_follows_the_weights() {
        let (mut rng, sums) =
            (RngStreams::new(1).stream(Concern::Relays, 0), sums([1.0, 0.0, 3.0].into_iter()));
        let mut counts = [0; 3];
        (0..4_000).for_each(|_| counts[weighted(&mut rng, &sums)] += 1);
        assert_eq!(counts[1], 0);
        assert!((2_850..3_150).contains(&counts[2]), "{counts:?}");
    }
}
