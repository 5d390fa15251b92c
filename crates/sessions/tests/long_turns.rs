//! Turns that run for longer than any retention, while stores are lost and return. Their programs, chains and budgets are
//! retained while they run, and they are stored when they end.

mod simulation;

use juniperwing_clock::Span;
use simulation::TestRng;
use simulation::cluster::Cluster;
use simulation::losses::Loss;

const RUNS: u64 = 6;
const NODES: usize = 3;
const LOSSES_PER_RUN: usize = 10;
/// Longer than a lease, the retention and the slack together.
const MAX_TURN_DURATION: Span = Span::from_millis(200_000);
/// A machine is still considered lost for this long after its return (`catchUpS`).
const CATCH_UP: Span = Span::from_millis(4_000);
const MAX_LOSS_MS: usize = 10_000;
const MAX_CALM_MS: usize = 30_000;

fn lose_one(cluster: &mut Cluster, rng: &mut TestRng) {
    let losses = [Loss::Kill, Loss::Wipe, Loss::Partition];
    let loss = losses[rng.below(losses.len())];
    let number = rng.below(cluster.nodes.len());
    cluster.start_loss(number, loss);
    cluster.run_for(Span::from_millis(rng.below(MAX_LOSS_MS) as u64));
    cluster.end_loss(number, loss);
    if rng.random_bool(30) {
        cluster.lose_power(Span::from_millis(rng.below(MAX_LOSS_MS) as u64));
    }
    cluster.run_for(CATCH_UP + Span::from_millis(rng.below(MAX_CALM_MS) as u64));
    cluster.check_chains();
}

fn run(seed: u64) -> Cluster {
    let mut rng = TestRng::new(seed + 3_000);
    let mut cluster = Cluster::planned(seed, NODES);
    cluster.clients.long_turns.max_duration = MAX_TURN_DURATION;
    cluster.run_for(CATCH_UP);
    for _ in 0..LOSSES_PER_RUN {
        lose_one(&mut cluster, &mut rng);
    }
    cluster.run_for(MAX_TURN_DURATION);
    cluster.check_chains();
    cluster
}

/// The turns that were to be stored without the turn that they continue, at all stores.
fn turns_without_previous(cluster: &Cluster) -> u64 {
    let stores = cluster.nodes.iter().filter_map(|node| node.store.as_ref());
    stores.map(|store| store.statistics().turns_without_previous).sum()
}

// Guards against a program that the stores forget while its turn runs (review/6).
#[test]
fn programs_are_retained_while_their_turns_run() {
    let mut ended = 0;
    for seed in 0..RUNS {
        let outcome = std::panic::catch_unwind(|| run(seed));
        let Ok(cluster) = outcome else { panic!("seed {seed}") };
        assert_eq!(turns_without_previous(&cluster), 0, "seed {seed}");
        ended += cluster.clients.long_turns.ended;
    }
    // The runs must cover long turns.
    assert!(ended > 100 * RUNS as usize, "{ended}");
}
