//! Losses of stores that overlap beyond the tolerated number, in any order and again and again, while turns go on. At
//! most one disk is lost until all stores are back and have caught up. No acknowledged write is lost, and turns begin
//! again soon after all stores are back.

mod simulation;

use juniperwing_clock::Span;
use simulation::TestRng;
use simulation::cluster::Cluster;

const RUNS: u64 = 30;
const ROUNDS_PER_RUN: usize = 5;
const MIN_NODES: usize = 3;
/// A machine is still considered lost for this long after its return (`catchUpS`).
const CATCH_UP: Span = Span::from_millis(4_000);
/// The time after the return of all machines within which turns must begin again (`recoveryS`).
const RECOVERY_TIME: Span = Span::from_millis(12_000);
/// Gaps between two losses or returns are shorter than the time after which a store counts as lost, or longer than the
/// time after which it is replaced.
const MAX_GAPS_MS: [usize; 3] = [200, 2_000, 9_000];

fn run_for_random_gap(cluster: &mut Cluster, rng: &mut TestRng) {
    let max_ms = MAX_GAPS_MS[rng.below(MAX_GAPS_MS.len())];
    cluster.run_for(Span::from_millis(rng.below(max_ms) as u64));
}

fn shuffle(nodes: &mut [usize], rng: &mut TestRng) {
    for index in (1..nodes.len()).rev() {
        nodes.swap(index, rng.below(index + 1));
    }
}

/// Kills stores one after the other and starts them again in another order, one of them perhaps without its disk.
fn lose_several(cluster: &mut Cluster, rng: &mut TestRng) {
    let mut lost = cluster.running_nodes();
    shuffle(&mut lost, rng);
    lost.truncate(2 + rng.below(lost.len() - 1));
    for number in &lost {
        cluster.kill(*number);
        run_for_random_gap(cluster, rng);
    }
    let without_disk = rng.random_bool(80).then(|| lost[rng.below(lost.len())]);
    shuffle(&mut lost, rng);
    let mut has_lost_again = false;
    while let Some(number) = lost.pop() {
        if without_disk == Some(number) {
            cluster.nodes[number].wipe();
        }
        cluster.start(number);
        run_for_random_gap(cluster, rng);
        // One that is back may go again before the others are back.
        if !has_lost_again && without_disk != Some(number) && rng.random_bool(30) {
            has_lost_again = true;
            cluster.kill(number);
            lost.insert(0, number);
        }
    }
}

fn run(seed: u64) -> Cluster {
    let mut rng = TestRng::new(seed + 2_000);
    let mut cluster = Cluster::planned(seed, MIN_NODES + seed as usize % 3);
    cluster.run_for(CATCH_UP);
    for _ in 0..ROUNDS_PER_RUN {
        lose_several(&mut cluster, &mut rng);
        cluster.run_for(RECOVERY_TIME);
        let begun_before = cluster.clients.begun_turns;
        cluster.run_for(CATCH_UP);
        assert!(cluster.clients.begun_turns > begun_before, "no turn begins after all are back");
        cluster.check_loss_tolerance();
    }
    cluster
}

// Two of three stores were killed, and the third lost its disk while it was the only one in sync: no turn of any program
// was served again.
#[test]
fn overlapping_losses_with_one_lost_disk_lose_nothing_and_service_resumes() {
    let mut stored_turns = 0;
    for seed in 0..RUNS {
        let outcome = std::panic::catch_unwind(|| run(seed));
        let Ok(cluster) = outcome else { panic!("seed {seed}") };
        stored_turns += cluster.clients.stored_turns.len();
    }
    // The runs must cover turns that are stored.
    assert!(stored_turns > 50 * RUNS as usize, "{stored_turns}");
}
