//! Random faults, determined by thousands of seeds.

mod common;

use std::collections::BTreeSet;

use common::network::UNRELIABLE_NETWORK;
use common::{MAX_FULL_REPLICATION_TIME, Simulation, random_span};
use juniperwing_clock::Span;
use juniperwing_random::Rng;
use juniperwing_replication::Event;

const SEEDS: u64 = 1_500;

/// The maximum time until a change is acknowledged once all faults have ended.
const MAX_RECOVERY_TIME: Span = Span::from_millis(4_000);

/// The number of machines up to which faults add further ones.
const MAX_MACHINES: usize = 6;

const THREADS: u64 = 4;

fn random_pair(rng: &mut Rng, count: usize) -> (usize, usize) {
    let first = rng.below(count as u64) as usize;
    let second = (first + 1 + rng.below(count as u64 - 1) as usize) % count;
    (first, second)
}

/// Injects one fault of any kind except the loss of a disk. Several faults may be active at the same time.
fn inject_fault(simulation: &mut Simulation) {
    let count = simulation.machines.len();
    let mut rng = Rng::new(simulation.rng.next_u64());
    let (first, second) = random_pair(&mut rng, count);
    match rng.below(11) {
        0 | 1 => restart(simulation, first, random_span(&mut rng, 10, 1_500)),
        2 => {
            for index in 0..count {
                restart(simulation, index, random_span(&mut rng, 10, 800));
            }
        }
        3 => simulation.isolate(first),
        4 => simulation.block_link(first, second),
        5 => {
            simulation.block_link(first, second);
            simulation.block_link(second, first);
        }
        6 if rng.one_in(2) => simulation.freeze(first, random_span(&mut rng, 50, 2_000)),
        6 => simulation.freeze_with_clock(first, random_span(&mut rng, 50, 2_000)),
        9 if count < MAX_MACHINES && rng.one_in(3) => {
            simulation.add_machine(&format!("more-{count}"), false);
        }
        7 => simulation.blocked_links.clear(),
        8 => {
            simulation.handle_event(first, Event::PrepareShutdown);
            let span = random_span(&mut rng, 0, 200);
            simulation.run_for(span);
            restart(simulation, first, random_span(&mut rng, 10, 500));
        }
        _ => {
            if let Some(primary) = simulation.primary() {
                restart(simulation, primary, random_span(&mut rng, 10, 1_500));
            }
        }
    }
}

fn restart(simulation: &mut Simulation, machine: usize, delay: Span) {
    simulation.kill(machine);
    simulation.start_after(machine, delay);
}

/// Injects several faults one after another, then ends all of them.
fn run_with_faults(simulation: &mut Simulation) {
    simulation.network = UNRELIABLE_NETWORK;
    simulation.has_failing_disks = simulation.rng.one_in(3);
    simulation.has_slow_disks = simulation.rng.one_in(2);
    for _ in 0..1 + simulation.rng.below(11) {
        inject_fault(simulation);
        let span = random_span(&mut simulation.rng, 10, 900);
        simulation.run_for(span);
    }
    simulation.heal();
}

/// Makes as many machines as may be lost lose their disk or be replaced; in half of the cases all others
/// restart.
fn lose_disks(simulation: &mut Simulation, tolerated_losses: usize) {
    let present: Vec<usize> =
        (0..simulation.machines.len()).filter(|index| !simulation.machines[*index].is_removed).collect();
    let all_restart = simulation.rng.one_in(2);
    let mut victims = BTreeSet::new();
    while victims.len() < tolerated_losses {
        let victim = simulation.rng.below(present.len() as u64) as usize;
        victims.insert(present[victim]);
    }
    for index in present {
        let delay = random_span(&mut simulation.rng, 10, 800);
        if victims.contains(&index) {
            if simulation.rng.one_in(2) {
                simulation.replace_disk(index);
                simulation.start_after(index, delay);
            } else {
                simulation.remove(index);
                let name = format!("new-{}", simulation.machines.len());
                simulation.add_machine(&name, false);
            }
        } else if all_restart {
            restart(simulation, index, delay);
        }
    }
}

fn run_seed(seed: u64, seeds: usize, machines: usize, min_in_sync_replicas: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, seeds, min_in_sync_replicas);
    for index in seeds..machines {
        simulation.add_machine(&format!("core-{index}"), true);
    }
    simulation.expect_progress(MAX_RECOVERY_TIME, "the start");
    simulation.expect_fully_replicated(MAX_FULL_REPLICATION_TIME, "the start");
    for _ in 0..2 {
        run_with_faults(&mut simulation);
        simulation.expect_progress(MAX_RECOVERY_TIME, "random faults");
        simulation.expect_fully_replicated(MAX_FULL_REPLICATION_TIME, "random faults");
        // A machine counts as lost until its replacement has been in contact for a while.
        let span = random_span(&mut simulation.rng, 1_000, 1_300);
        simulation.run_for(span);
        lose_disks(&mut simulation, min_in_sync_replicas - 1);
        simulation.expect_progress(MAX_RECOVERY_TIME, "a loss of disks");
        simulation.expect_fully_replicated(MAX_FULL_REPLICATION_TIME, "a loss of disks");
    }
    simulation
}

fn run_seeds(seeds: usize, machines: usize, min_in_sync_replicas: usize, count: u64) {
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            scope.spawn(move || {
                for seed in (thread..count).step_by(THREADS as usize) {
                    let run = || run_seed(seed, seeds, machines, min_in_sync_replicas);
                    let simulation = std::panic::catch_unwind(run)
                        .unwrap_or_else(|_| panic!("seed {seed} of {seeds}, {machines}"));
                    assert!(simulation.checker.confirmed_reads > 0, "seed {seed}: no read was confirmed");
                }
            });
        }
    });
}

#[test]
fn three_keepers_recover_without_loss() {
    run_seeds(3, 3, 2, SEEDS);
}

#[test]
fn five_keepers_with_three_replicas_recover_without_loss() {
    run_seeds(3, 5, 3, SEEDS / 2);
}

/// A single keeper loses nothing as long as its disk survives.
#[test]
fn single_keeper_recovers_without_loss() {
    for seed in 0..SEEDS / 10 {
        let mut simulation = Simulation::new(seed, 1, 1);
        simulation.expect_progress(MAX_RECOVERY_TIME, "the start");
        for _ in 0..5 {
            restart(&mut simulation, 0, Span::from_millis(100));
            simulation.expect_progress(MAX_RECOVERY_TIME, "a kill");
        }
    }
}
