//! Paired comparison of two sides on the same seeds, with a bootstrap confidence interval of the mean difference.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// The number of resamples of the bootstrap.
const RESAMPLES: usize = 4_000;
/// The confidence level of the interval.
const CONFIDENCE: f64 = 0.95;
/// The seed of the resamples, which is constant so that the same pairs have the same interval.
const RESAMPLING_SEED: u64 = 1;

/// The difference of a metric between two sides.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// The number of pairs.
    pub pairs: usize,
    /// The means of the first and the second side.
    pub means: (f64, f64),
    /// The mean difference, second minus first.
    pub mean: f64,
    /// The ends of the confidence interval of that mean, at 95 %.
    pub interval: (f64, f64),
}

impl Difference {
    /// The difference over pairs of values, one pair for each seed.
    pub fn of_pairs(pairs: &[(f64, f64)]) -> Difference {
        let differences: Vec<f64> = pairs.iter().map(|(first, second)| second - first).collect();
        let mut means = resampled_means(&differences);
        means.sort_by(f64::total_cmp);
        Difference {
            pairs: pairs.len(),
            means: (
                mean(pairs.iter().map(|(first, _)| *first), pairs.len()),
                mean(pairs.iter().map(|(_, second)| *second), pairs.len()),
            ),
            mean: mean(differences.iter().copied(), differences.len()),
            interval: (
                quantile(&means, (1.0 - CONFIDENCE) / 2.0),
                quantile(&means, (1.0 + CONFIDENCE) / 2.0),
            ),
        }
    }

    /// Whether the interval excludes 0.
    pub fn is_clear(&self) -> bool {
        self.pairs > 1 && (self.interval.0 > 0.0 || self.interval.1 < 0.0)
    }
}

fn mean(values: impl Iterator<Item = f64>, count: usize) -> f64 {
    values.sum::<f64>() / count.max(1) as f64
}

/// The means of resamples with replacement.
fn resampled_means(values: &[f64]) -> Vec<f64> {
    if values.is_empty() {
        return Vec::new();
    }
    let mut rng = ChaCha8Rng::seed_from_u64(RESAMPLING_SEED);
    let mut resample =
        || mean(values.iter().map(|_| values[rng.random_range(0..values.len())]), values.len());
    (0..RESAMPLES).map(|_| resample()).collect()
}

/// The quantile of sorted values; 0 without values.
fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let index = (fraction * (sorted.len().max(1) - 1) as f64) as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}
