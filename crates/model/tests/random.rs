//! Random streams and draws.

use juniperwing_model::random::{RngStreams, StreamPurpose, cumulative_sums, lognormal, weighted_index};
use rand::Rng;

#[test]
fn streams_are_reproducible_and_distinct() {
    let rng = RngStreams::new(7);
    let first = |concern, item| rng.stream(concern, item).random::<u64>();
    assert_eq!(first(StreamPurpose::Service, 3), first(StreamPurpose::Service, 3));
    let all = [
        first(StreamPurpose::Service, 3),
        first(StreamPurpose::Service, 4),
        first(StreamPurpose::Reports, 3),
        RngStreams::new(8).stream(StreamPurpose::Service, 3).random(),
    ];
    let distinct: std::collections::BTreeSet<u64> = all.into_iter().collect();
    assert_eq!(distinct.len(), all.len());
}

#[test]
fn weighted_index_follows_the_weights() {
    let (mut rng, sums) =
        (RngStreams::new(1).stream(StreamPurpose::Relays, 0), cumulative_sums([1.0, 0.0, 3.0].into_iter()));
    let mut counts = [0; 3];
    (0..4_000).for_each(|_| counts[weighted_index(&mut rng, &sums)] += 1);
    assert_eq!(counts[1], 0);
    assert!((2_850..3_150).contains(&counts[2]), "{counts:?}");
}

#[test]
fn lognormal_numbers_have_the_requested_mean_and_variation() {
    let mut rng = RngStreams::new(3).stream(StreamPurpose::Service, 0);
    let numbers: Vec<f64> = (0..60_000).map(|_| lognormal(&mut rng, 0.2, 0.8)).collect();
    let mean = numbers.iter().sum::<f64>() / numbers.len() as f64;
    let deviation =
        (numbers.iter().map(|number| (number - mean).powi(2)).sum::<f64>() / numbers.len() as f64).sqrt();
    assert!((mean - 0.2).abs() < 0.003, "{mean}");
    assert!((deviation / mean - 0.8).abs() < 0.03, "{}", deviation / mean);
}
