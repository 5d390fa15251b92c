//! Independent random streams, one for each purpose and item, all derived from one seed.
//!
//! Draws for one purpose do not affect the draws for another: adding a fault to a scenario changes no other draw. A
//! stream must not be used for two purposes.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

/// The purpose of a random stream. The numbers determine the results of a seed: never change or reuse one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum StreamPurpose {
    /// Parameters of the scenario that are drawn once for a run.
    Scenario = 1,
    /// The distribution of traffic over relays.
    Relays = 2,
    /// The properties of destinations and endpoints.
    Destinations = 3,
    /// Service times at an endpoint.
    Service = 4,
    /// Single arrivals.
    Arrivals = 5,
    /// Batch arrivals.
    BatchArrivals = 6,
    /// Keys and the relays that they are sent to.
    Keys = 7,
    /// One-way delays of a relay's messages.
    Network = 8,
    /// The reactions of clients to answers.
    Clients = 9,
    /// When relays are notified of changes of the endpoint list.
    List = 10,
    /// Noise of load reports at an endpoint.
    Reports = 11,
    /// The targets of a fault, and the traffic that it adds.
    Faults = 12,
    /// The seeds of policies.
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

    /// The stream that selects the targets of a fault, from its start.
    pub(crate) fn fault(&self, fault: usize) -> ChaCha8Rng {
        self.stream(StreamPurpose::Faults, fault << 1)
    }

    /// The stream of the traffic that a fault adds or moves, from its start.
    pub(crate) fn fault_traffic(&self, fault: usize) -> ChaCha8Rng {
        self.stream(StreamPurpose::Faults, fault << 1 | 1)
    }

    /// The stream of one item (a relay, an endpoint, ...) for a purpose, from its start.
    pub fn stream(&self, purpose: StreamPurpose, item: usize) -> ChaCha8Rng {
        let mut stream = ChaCha8Rng::seed_from_u64(self.seed);
        stream.set_stream((purpose as u64) << 32 | item as u64 & 0xffff_ffff);
        stream
    }
}

/// A uniform number from `min` to `max`.
pub(crate) fn uniform(rng: &mut ChaCha8Rng, min: f64, max: f64) -> f64 {
    min + (max - min) * rng.random::<f64>()
}

/// Draws an index in proportion to weights, given as their [`cumulative_sums`]. Returns 0 if there are none.
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
    // Fails only for parameters that are not finite, which the check of a scenario rules out.
    LogNormal::new(mu, sigma).map_or(mean, |distribution| distribution.sample(rng))
}
