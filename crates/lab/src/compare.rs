//! Compares two ways on the same seeds: by the differences of pairs, with a bootstrap interval, not by two means. It
//! owns the statistics. It must never leave out a pair.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Resamples that an interval is worked out from.
const RESAMPLES: usize = 4_000;
/// Of these the middle part is the interval.
const LEVEL: f64 = 0.95;

/// The difference between two ways.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Pairs.
    pub pairs: usize,
    /// The means of both.
    pub means: (f64, f64),
    /// The mean of second less first.
    pub mean: f64,
    /// The interval of that mean, at 95 %.
    pub interval: (f64, f64),
}

impl Difference {
    /// Of pairs of figures of the same seed.
    pub fn of(pairs: &[(f64, f64)]) -> Difference {
        let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / pairs.len().max(1) as f64;
        let differences: Vec<f64> = pairs.iter().map(|(a, b)| b - a).collect();
        // A seed of its own: the same pairs have the same interval.
        let mut chance = ChaCha8Rng::seed_from_u64(1);
        let mut means: Vec<f64> = (0..if pairs.is_empty() { 0 } else { RESAMPLES })
            .map(|_| mean(&mut (0..pairs.len()).map(|_| differences[chance.random_range(0..pairs.len())])))
            .collect();
        means.sort_by(f64::total_cmp);
        let at = |share: f64| {
            means.get((share * (means.len().max(1) - 1) as f64) as usize).copied().unwrap_or(0.0)
        };
        Difference {
            pairs: pairs.len(),
            means: (mean(&mut pairs.iter().map(|p| p.0)), mean(&mut pairs.iter().map(|p| p.1))),
            mean: mean(&mut differences.iter().copied()),
            interval: (at((1.0 - LEVEL) / 2.0), at((1.0 + LEVEL) / 2.0)),
        }
    }

    /// Whether the interval leaves 0 out.
    pub fn is_clear(&self) -> bool {
        self.pairs > 1 && (self.interval.0 > 0.0 || self.interval.1 < 0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_small_steady_difference_is_clear_though_the_seeds_differ_much() {
        let pairs: Vec<(f64, f64)> =
            (0..20).map(|n| (f64::from(n) / 10.0, f64::from(n) / 10.0 + 0.01)).collect();
        let found = Difference::of(&pairs);
        assert!(found.is_clear() && (found.mean - 0.01).abs() < 1e-9, "{found:?}");
        assert_eq!(found, Difference::of(&pairs));
    }

    #[test]
    fn noise_is_not_clear_and_neither_is_one_pair() {
        let pairs: Vec<(f64, f64)> =
            (0..20).map(|n| (0.5, 0.5 + if n % 2 == 0 { 0.1 } else { -0.1 })).collect();
        assert!(!Difference::of(&pairs).is_clear());
        assert!(!Difference::of(&[(0.1, 0.9)]).is_clear());
        assert_eq!(Difference::of(&[]).pairs, 0);
    }

    /// About nineteen in twenty intervals hold the true difference.
    #[test]
    fn intervals_hold_the_true_difference_about_as_often_as_they_say() {
        let mut chance = ChaCha8Rng::seed_from_u64(5);
        let mut held = 0;
        for _ in 0..100 {
            let pairs: Vec<(f64, f64)> = (0..30)
                .map(|_| {
                    let (base, noise): (f64, f64) = (chance.random(), chance.random());
                    (base, base + 0.1 + noise - 0.5)
                })
                .collect();
            let interval = Difference::of(&pairs).interval;
            held += i32::from(interval.0 <= 0.1 && 0.1 <= interval.1);
        }
        assert!((86..=100).contains(&held), "{held} of 100");
    }
}
