//! Allocation by weight: of kinds and accounts to destinations, and of traffic to topics and destinations.

use crate::scenario::Scenario;

/// Allocates `count` items to the weights as evenly as whole numbers allow and returns the index of a weight for
/// each item. Each weight gets one item at least if there are enough.
pub fn allocate_by_weight(count: usize, weights: impl Iterator<Item = f64>) -> Vec<usize> {
    let weights: Vec<f64> = weights.collect();
    let total: f64 = weights.iter().sum();
    let mut allocated = vec![0.0; weights.len()];
    let most_underallocated = |allocated: &[f64], so_far: usize| {
        let deficit = |index: &usize| weights[*index] / total * (so_far + 1) as f64 - allocated[*index];
        (0..weights.len()).max_by(|a, b| deficit(a).total_cmp(&deficit(b)).then(b.cmp(a)))
    };
    let mut indices = Vec::new();
    for so_far in 0..count {
        let next =
            if so_far < weights.len() { Some(so_far) } else { most_underallocated(&allocated, so_far) };
        let Some(index) = next else { break };
        allocated[index] += 1.0;
        indices.push(index);
    }
    indices
}

/// Weights of a Zipf distribution over `count` items, not normalized.
pub(super) fn zipf_weights(count: usize, exponent: f64) -> Vec<f64> {
    (0..count).map(|n| ((n + 1) as f64).powf(-exponent)).collect()
}

/// Notifications a second at full load, by destination and topic type. `kinds` and `weights` have an entry for each
/// destination.
pub(super) fn rates_per_s(scenario: &Scenario, kinds: &[usize], weights: &[f64]) -> Vec<Vec<f64>> {
    let total: f64 = scenario.topics.iter().map(|topic| topic.traffic_weight.min).sum();
    let mut rates = vec![vec![0.0; scenario.topics.len()]; kinds.len()];
    for (n, topic) in scenario.topics.iter().enumerate() {
        let is_sent_to =
            |kind: usize| topic.kinds.is_empty() || topic.kinds.contains(&scenario.kinds[kind].name);
        let receivers = kinds.iter().zip(weights).filter(|(kind, _)| is_sent_to(**kind));
        let total_weight: f64 = receivers.map(|(_, weight)| weight).sum();
        let topic_rate = scenario.traffic.rate.min * topic.traffic_weight.min / total.max(1e-12);
        for ((kind, weight), rates) in kinds.iter().zip(weights).zip(&mut rates) {
            if is_sent_to(*kind) && total_weight > 0.0 {
                rates[n] = topic_rate * weight / total_weight;
            }
        }
    }
    rates
}
