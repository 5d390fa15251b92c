//! Tests that a restarted keeper catches up while changes are made faster than the complete state is
//! transferred.

mod common;

use common::Simulation;
use juniperwing_clock::Span;

/// Slow enough that the transfer of the complete state takes as long as several changes.
const LINK_BYTES_PER_MS: u64 = 5;

/// Runs two keepers for `changes` changes while the third is down, and then slows the links down.
fn run_without_one_keeper(seed: u64, changes: usize) -> (Simulation, usize) {
    let mut simulation = Simulation::new(seed, 3, 2);
    simulation.timings.min_link_bytes_per_ms = LINK_BYTES_PER_MS as f64;
    simulation.expect_fully_replicated(Span::from_millis(3_000), "the start");
    let primary = simulation.primary().expect("a primary");
    let absent = (primary + 1) % 3;
    simulation.kill(absent);
    let is_done = simulation.run_until(Span::from_millis(120_000), |simulation| {
        simulation.checker.acknowledged_count() >= changes
    });
    assert!(is_done, "{}", simulation.describe());
    simulation.link_bytes_per_ms = Some(LINK_BYTES_PER_MS);
    (simulation, absent)
}

/// Starts the absent keeper; returns the milliseconds until it is in sync and the bytes sent meanwhile.
fn catch_up(simulation: &mut Simulation, absent: usize) -> (u64, u64) {
    let started_at = simulation.now;
    let bytes_before = simulation.bytes_sent;
    simulation.start_after(absent, Span::from_millis(1));
    simulation.expect_fully_replicated(Span::from_millis(20_000), "the return of a keeper");
    (simulation.now.since(started_at).as_millis(), simulation.bytes_sent - bytes_before)
}

/// Fails without retained changes, because snapshots alone never reach the newest version, and if data in
/// flight counts as lost before a slow link can have transmitted it.
#[test]
fn restarted_keeper_catches_up_after_hundreds_of_changes() {
    for (changes, max_ms) in [(1, 2_000), (100, 2_000), (300, 2_500), (500, 3_000)] {
        for seed in 0..10 {
            let (mut simulation, absent) = run_without_one_keeper(seed, changes);
            let (ms, bytes) = catch_up(&mut simulation, absent);
            assert!(ms <= max_ms, "{changes} changes, seed {seed}: {ms} ms, {bytes} bytes");
        }
    }
}

/// Fails without retained changes: snapshots alone sent five times the size of the state.
#[test]
fn keeper_with_an_empty_disk_is_sent_the_state_about_once() {
    for seed in 0..10 {
        let (mut simulation, absent) = run_without_one_keeper(seed, 300);
        simulation.replace_disk(absent);
        let state_bytes = 8 * simulation.checker.acknowledged_count() as u64;
        let (ms, bytes) = catch_up(&mut simulation, absent);
        assert!(ms <= 4_000, "seed {seed}: {ms} ms");
        assert!(bytes <= 2 * state_bytes, "seed {seed}: {bytes} bytes for a state of {state_bytes}");
    }
}

/// Fails without retained changes, because the keeper then never catches up.
#[test]
fn keeper_does_not_become_primary_before_it_has_caught_up() {
    for seed in 0..10 {
        let (mut simulation, absent) = run_without_one_keeper(seed, 300);
        simulation.start_after(absent, Span::from_millis(1));
        let is_replicated_or_primary = |simulation: &Simulation| {
            simulation.is_fully_replicated() || simulation.primary() == Some(absent)
        };
        assert!(
            simulation.run_until(Span::from_millis(20_000), is_replicated_or_primary),
            "{}",
            simulation.describe()
        );
        assert!(simulation.primary() != Some(absent), "{}", simulation.describe());
    }
}
