//! Tests of single faults, each with the effects that it must and must not have.

mod common;

use common::{Simulation, known_epoch_number, random_span};
use juniperwing_clock::Span;
use juniperwing_replication::{Event, ProposeToken, ReadToken, Role};

fn start_simulation(seed: u64) -> (Simulation, usize) {
    let mut simulation = Simulation::new(seed, 3, 2);
    simulation.expect_fully_replicated(Span::from_millis(3_000), "the start");
    simulation.run_for(Span::from_millis(1_200));
    let primary = simulation.primary().expect("a primary");
    (simulation, primary)
}

#[test]
fn primary_that_shuts_down_transfers_leadership_at_once() {
    for seed in 0..50 {
        let (mut simulation, primary) = start_simulation(seed);
        simulation.handle_event(primary, Event::PrepareShutdown);
        let limit = Span::from_millis(250);
        let is_transferred = simulation.run_until(limit, |simulation| {
            simulation.primary().is_some_and(|successor| successor != primary)
        });
        assert!(is_transferred, "seed {seed}\n{}", simulation.describe());
    }
}

#[test]
fn killed_primary_is_replaced_within_two_seconds() {
    for seed in 0..100 {
        let (mut simulation, primary) = start_simulation(seed);
        simulation.kill(primary);
        simulation.expect_progress(Span::from_millis(2_000), "the kill of the primary");
    }
}

#[test]
fn isolated_backup_delays_writes_by_at_most_one_second() {
    for seed in 0..100 {
        let (mut simulation, primary) = start_simulation(seed);
        simulation.isolate((primary + 1) % 3);
        simulation.run_for(Span::from_millis(50));
        simulation.expect_progress(Span::from_millis(1_000), "the isolation of a backup");
        assert_eq!(simulation.primary(), Some(primary), "seed {seed}");
    }
}

#[test]
fn formerly_isolated_keeper_does_not_replace_the_primary() {
    for seed in 0..100 {
        let (mut simulation, primary) = start_simulation(seed);
        simulation.isolate((primary + 1) % 3);
        simulation.run_for(Span::from_millis(3_000));
        simulation.heal();
        simulation.expect_fully_replicated(Span::from_millis(3_000), "the end of the partition");
        assert_eq!(simulation.primary(), Some(primary), "seed {seed}");
    }
}

#[test]
fn primary_without_a_majority_steps_down_and_rejects_proposals() {
    let (mut simulation, primary) = start_simulation(1);
    simulation.isolate(primary);
    simulation.run_for(Span::from_millis(1_500));
    let replica = simulation.replica(primary);
    assert!(!replica.is_primary());
    assert_ne!(replica.role(), Role::Primary);
    let base = replica.latest().version;
    let token = ProposeToken(u64::MAX);
    // The consistency checker fails if a rejected change takes effect.
    simulation.propose(primary, token, base);
    simulation.heal();
    simulation.expect_progress(Span::from_millis(3_000), "the end of the partition");
}

#[test]
fn frozen_primary_confirms_no_stale_read() {
    for seed in 0..200 {
        let (mut simulation, primary) = start_simulation(seed);
        simulation.freeze(primary, Span::from_millis(2_500));
        simulation.expect_progress(Span::from_millis(2_000), "the freeze of the primary");
        simulation.run_for(Span::from_millis(3_000));
        simulation.expect_fully_replicated(Span::from_millis(3_000), "the end of the freeze");
    }
}

#[test]
fn primary_with_a_stopped_clock_confirms_no_stale_read() {
    for seed in 0..200 {
        let (mut simulation, primary) = start_simulation(seed);
        simulation.freeze_with_clock(primary, Span::from_millis(2_500));
        simulation.expect_progress(Span::from_millis(2_000), "the freeze of the primary");
        simulation.run_for(Span::from_millis(400));
        simulation.checker.read_started(ReadToken(u64::MAX));
        // The read waits for the end of the freeze; messages sent earlier are delivered first.
        simulation.schedule_event(primary, Event::Read { token: ReadToken(u64::MAX) });
        simulation.run_for(Span::from_millis(3_000));
        simulation.expect_fully_replicated(Span::from_millis(3_000), "the end of the freeze");
    }
}

#[test]
fn keeper_with_a_replaced_disk_rejoins() {
    for seed in 0..50 {
        let (mut simulation, primary) = start_simulation(seed);
        let victim = if seed % 2 == 0 { primary } else { (primary + 1) % 3 };
        simulation.replace_disk(victim);
        simulation.start_after(victim, Span::from_millis(100));
        simulation.expect_fully_replicated(Span::from_millis(4_000), "the loss of a disk");
    }
}

#[test]
fn tier_without_faults_keeps_its_epoch() {
    let (mut simulation, primary) = start_simulation(7);
    let before = known_epoch_number(&simulation, primary);
    simulation.run_for(Span::from_millis(60_000));
    assert_eq!(known_epoch_number(&simulation, primary), before);
    assert_eq!(simulation.primary(), Some(primary));
}

#[test]
fn keeper_does_not_busy_loop_while_its_disk_fails() {
    // Fails in `Simulation::step` if a keeper busy-loops on its timer while a failed write is to be retried.
    let (mut simulation, _) = start_simulation(3);
    simulation.has_failing_disks = true;
    simulation.run_for(Span::from_millis(20_000));
    simulation.heal();
    simulation.expect_progress(Span::from_millis(4_000), "disk errors");
}

#[test]
fn bootstrap_survives_a_kill_of_the_coordinator() {
    for seed in 0..100 {
        let mut simulation = Simulation::new(seed, 3, 2);
        let before = random_span(&mut simulation.rng, 10, 500);
        simulation.run_for(before);
        simulation.kill(0);
        let restart_delay = Span::from_millis(50);
        simulation.start_after(0, restart_delay);
        let is_replicated = simulation.run_until(Span::from_millis(4_000), Simulation::is_fully_replicated);
        // If the coordinator restarts without `bootstrap` before any keeper has accepted, the tier has no
        // coordinator.
        let has_no_coordinator = simulation.machines.iter().all(|machine| machine.record.is_none());
        assert!(is_replicated || has_no_coordinator, "seed {seed}\n{}", simulation.describe());
    }
}
