//! The statistics of comparisons.

use juniperwing_lab::difference::Difference;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn small_steady_difference_is_clear_despite_variation_between_seeds() {
    let pairs: Vec<(f64, f64)> = (0..20).map(|n| (f64::from(n) / 10.0, f64::from(n) / 10.0 + 0.01)).collect();
    let difference = Difference::of_pairs(&pairs);
    assert!(difference.is_clear() && (difference.mean - 0.01).abs() < 1e-9, "{difference:?}");
    assert_eq!(difference, Difference::of_pairs(&pairs));
}

#[test]
fn noise_and_a_single_pair_are_not_clear() {
    let pairs: Vec<(f64, f64)> = (0..20).map(|n| (0.5, 0.5 + if n % 2 == 0 { 0.1 } else { -0.1 })).collect();
    assert!(!Difference::of_pairs(&pairs).is_clear());
    assert!(!Difference::of_pairs(&[(0.1, 0.9)]).is_clear());
    assert_eq!(Difference::of_pairs(&[]).pairs, 0);
}

/// About 95 of 100 intervals contain the true difference.
#[test]
fn intervals_contain_the_true_difference_at_their_confidence_level() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut containing = 0;
    for _ in 0..100 {
        let pairs: Vec<(f64, f64)> = (0..30)
            .map(|_| {
                let (base, noise): (f64, f64) = (rng.random(), rng.random());
                (base, base + 0.1 + noise - 0.5)
            })
            .collect();
        let interval = Difference::of_pairs(&pairs).interval;
        containing += i32::from(interval.0 <= 0.1 && 0.1 <= interval.1);
    }
    assert!((86..=100).contains(&containing), "{containing} of 100");
}
