//! Losses of keepers that overlap beyond the tolerated number, in any order, with no more lost disks than are tolerated.
//! Changes are proposed all the while. No acknowledged change is lost, and changes are acknowledged again once all
//! are back.

mod common;

use std::collections::BTreeSet;

use common::{MAX_FULL_REPLICATION_TIME, Simulation, random_span};
use juniperwing_clock::Span;

const SEEDS: u64 = 300;
const ROUNDS: usize = 3;
const THREADS: u64 = 4;
/// The maximum time until a change is acknowledged once all keepers are back.
const MAX_RECOVERY_TIME: Span = Span::from_millis(4_000);
/// A keeper counts as lost for this long after its return (`catchUpS`).
const CATCH_UP_TIME: Span = Span::from_millis(4_100);
/// Gaps between two losses or returns: nearly none, shorter and longer than an election takes.
const MAX_GAPS_MS: [u64; 3] = [20, 500, 4_000];

fn run_for_random_gap(simulation: &mut Simulation) {
    let max_ms = MAX_GAPS_MS[simulation.rng.below(MAX_GAPS_MS.len() as u64) as usize];
    let gap = random_span(&mut simulation.rng, 0, max_ms);
    simulation.run_for(gap);
}

fn shuffle(machines: &mut [usize], simulation: &mut Simulation) {
    for index in (1..machines.len()).rev() {
        machines.swap(index, simulation.rng.below(index as u64 + 1) as usize);
    }
}

/// Ends keepers one after the other, some of them with their disks, and starts them again in another order.
fn lose_several(simulation: &mut Simulation, tolerated_losses: usize) {
    let mut lost: Vec<usize> = (0..simulation.machines.len()).collect();
    shuffle(&mut lost, simulation);
    let count = tolerated_losses + 1 + simulation.rng.below((lost.len() - tolerated_losses) as u64) as usize;
    lost.truncate(count);
    let mut order = lost.clone();
    shuffle(&mut order, simulation);
    let lost_disks = simulation.rng.below(tolerated_losses as u64 + 1) as usize;
    let without_disk: BTreeSet<usize> = order.into_iter().take(lost_disks).collect();
    for machine in &lost {
        if without_disk.contains(machine) {
            simulation.replace_disk(*machine);
        } else {
            simulation.kill(*machine);
        }
        run_for_random_gap(simulation);
    }
    shuffle(&mut lost, simulation);
    for machine in lost {
        simulation.start_after(machine, Span::from_millis(1));
        run_for_random_gap(simulation);
    }
}

fn run_seed(seed: u64, machines: usize, min_in_sync_replicas: usize) {
    let mut simulation = Simulation::new(seed, machines.min(3), min_in_sync_replicas);
    for index in 3..machines {
        simulation.add_machine(&format!("core-{index}"), true);
    }
    simulation.expect_fully_replicated(MAX_FULL_REPLICATION_TIME, "the start");
    for _ in 0..ROUNDS {
        simulation.run_for(CATCH_UP_TIME);
        lose_several(&mut simulation, min_in_sync_replicas - 1);
        simulation.expect_progress(MAX_RECOVERY_TIME, "overlapping losses");
        simulation.expect_fully_replicated(MAX_FULL_REPLICATION_TIME, "overlapping losses");
    }
}

fn run_seeds(machines: usize, min_in_sync_replicas: usize) {
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            scope.spawn(move || {
                for seed in (thread..SEEDS).step_by(THREADS as usize) {
                    let run = || run_seed(seed, machines, min_in_sync_replicas);
                    assert!(std::panic::catch_unwind(run).is_ok(), "seed {seed}");
                }
            });
        }
    });
}

#[test]
fn three_keepers_lose_no_acknowledged_change() {
    run_seeds(3, 2);
}

#[test]
fn five_keepers_lose_no_acknowledged_change() {
    run_seeds(5, 3);
}
