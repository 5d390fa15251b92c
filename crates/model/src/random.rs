//! Random streams, one for each concern and item, all derived from one seed.
//!
//! What one concern draws never shifts the draws of another: a fault added to a scenario leaves every other draw as it
//! was. No stream may serve two purposes.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

/// The purpose of a random stream. The number is part of what a seed means: never reuse one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Concern {
    /// Figures of the scenario that are drawn once for a run.
    Scenario = 1,
    /// The distribution of traffic over relays.
    Relays = 2,
    /// The properties of destinations and endpoints.
    Destinations = 3,
    /// Service times at an endpoint.
    Service = 4,
    /// Ordinary arrivals.
    Arrivals = 5,
    /// Clumps of arrivals.
    Clumps = 6,
    /// Keys and the relays that they are sent to.
    Keys = 7,
    /// One-way delays of a relay's messages.
    Network = 8,
    /// What clients do after an answer.
    Clients = 9,
    /// When relays are notified of changes of the endpoint list.
    List = 10,
    /// Noise of load reports at an endpoint.
    Reports = 11,
    /// What a fault affects, and the traffic that it adds.
    Faults = 12,
    /// The seeds that relays are started with.
    Policies = 13,
}

/// All random streams of one run.
#[derive(Clone, Copy, Debug)]
pub struct RngStreams {
    seed: u64,
}

impl RngStreams {
    /// The streams of a seed.
    pub fn new(seed: u64) -> RngStreams {
        RngStreams { seed }
    }

    /// The stream that chooses what a fault affects, from its start.
    pub(crate) fn fault(&self, fault: usize) -> ChaCha8Rng {
        self.stream(Concern::Faults, fault << 1)
    }

    /// The stream of the traffic that a fault adds or moves, from its start.
    pub(crate) fn fault_traffic(&self, fault: usize) -> ChaCha8Rng {
        self.stream(Concern::Faults, fault << 1 | 1)
    }

    /// The stream of one item (a relay, an endpoint, ...) of a concern, from its start.
    pub fn stream(&self, concern: Concern, item: usize) -> ChaCha8Rng {
        let mut stream = ChaCha8Rng::seed_from_u64(self.seed);
        stream.set_stream((concern as u64) << 32 | item as u64 & 0xffff_ffff);
        stream
    }
}

/// A uniform number from `min` to `max`.
pub(crate) fn uniform(rng: &mut ChaCha8Rng, min: f64, max: f64) -> f64 {
    min + (max - min) * rng.random::<f64>()
}

/// An index chosen in proportion to weights, given as their [`cumulative_sums`]. 0 if there are none.
pub fn weighted_index(rng: &mut ChaCha8Rng, cumulative: &[f64]) -> usize {
    let total = cumulative.last().copied().unwrap_or(0.0);
    let at = rng.random::<f64>() * total;
    cumulative.partition_point(|sum| *sum <= at).min(cumulative.len().saturating_sub(1))
}

/// Running sums of weights, for [`weighted_index`].
pub fn cumulative_sums(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let mut add = |weight: f64| {
        sum += weight;
        sum
    };
    weights.map(&mut add).collect()
}

/// A lognormal number with this mean and coefficient of variation; the mean itself if `cv` is not above 0.
pub fn lognormal(rng: &mut ChaCha8Rng, mean: f64, cv: f64) -> f64 {
    if cv <= 0.0 {
        return mean;
    }
    let sigma = (1.0 + cv * cv).ln().sqrt();
    let mu = mean.ln() - sigma * sigma / 2.0;
    // Fails only for parameters that are not finite, which a checked scenario does not have.
    LogNormal::new(mu, sigma).map_or(mean, |distribution| distribution.sample(rng))
}
