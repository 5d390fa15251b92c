//! Successive losses of stores, each as soon as the fault model allows it. No acknowledged write is lost, and turns
//! begin again soon after each loss, even with two stores. All stores may lose power in between.

mod simulation;

use juniperwing_clock::Span;
use simulation::TestRng;
use simulation::cluster::Cluster;
use simulation::losses::Loss;

const RUNS: u64 = 40;
const LOSSES_PER_RUN: usize = 6;
/// A machine is still considered lost for this long after its return (`catchUpS`).
const CATCH_UP_MS: usize = 4_000;
/// The time after the start of a loss within which turns must be able to begin again.
const RECOVERY_TIME: Span = Span::from_millis(2_500);
/// The timeout for the retirement of a store machine.
const RETIREMENT_TIMEOUT: Span = Span::from_millis(8_000);
/// The minimum time in which a turn must begin after the recovery.
const MIN_OBSERVATION_MS: usize = 1_500;

fn random_span(rng: &mut TestRng, max_ms: usize) -> Span {
    Span::from_millis(rng.below(max_ms) as u64)
}

fn lose_one(cluster: &mut Cluster, rng: &mut TestRng) {
    let running_nodes = cluster.running_nodes();
    let lost_node = match rng.below(3) {
        0 => cluster.most_loaded_node(),
        1 => cluster.oldest_node(),
        _ => running_nodes[rng.below(running_nodes.len())],
    };
    let losses = [Loss::Kill, Loss::Wipe, Loss::Partition, Loss::Replace];
    let loss = losses[rng.below(losses.len())];
    cluster.start_loss(lost_node, loss);
    if rng.random_bool(40) {
        cluster.run_for(random_span(rng, 2_000));
    } else {
        cluster.run_for(RECOVERY_TIME);
        let begun_before = cluster.clients.begun_turns;
        cluster.run_for(Span::from_millis(MIN_OBSERVATION_MS as u64) + random_span(rng, 4_000));
        assert!(
            cluster.clients.begun_turns > begun_before,
            "no turn begins after {loss:?} of node {lost_node}"
        );
    }
    cluster.end_loss(lost_node, loss);
    if rng.random_bool(30) {
        // The power loss may interrupt the synchronization of replicas.
        cluster.run_for(random_span(rng, 1_000));
        cluster.lose_power(random_span(rng, 1_000));
    }
    cluster.run_for(Span::from_millis(CATCH_UP_MS as u64));
    cluster.check_loss_tolerance();
}

fn run(seed: u64) -> Cluster {
    let mut rng = TestRng::new(seed + 1_000);
    let mut cluster = Cluster::planned(seed, 2 + seed as usize % 3);
    cluster.run_for(Span::from_millis(4_000));
    for _ in 0..LOSSES_PER_RUN {
        cluster.run_for(random_span(&mut rng, CATCH_UP_MS));
        match rng.below(4) {
            0 => cluster.add_node(),
            1 if cluster.running_nodes().len() > 2 => {
                let retired = cluster.oldest_node();
                cluster.retire(retired, RETIREMENT_TIMEOUT);
            }
            _ => {}
        }
        lose_one(&mut cluster, &mut rng);
    }
    cluster
}

#[test]
fn successive_losses_lose_nothing_and_service_resumes_after_each() {
    let mut begun_turns = 0;
    let mut stored_turns = 0;
    for seed in 0..RUNS {
        let outcome = std::panic::catch_unwind(|| run(seed));
        let Ok(cluster) = outcome else { panic!("seed {seed}") };
        begun_turns += cluster.clients.begun_turns;
        stored_turns += cluster.clients.stored_turns.len();
    }
    // The runs must cover turns that begin and are stored.
    let runs = RUNS as usize;
    assert!(begun_turns > 100 * runs && stored_turns > 50 * runs, "{begun_turns} {stored_turns}");
}
