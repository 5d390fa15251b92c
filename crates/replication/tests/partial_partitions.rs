//! Tests of one-way network partitions, flapping links and freezes: a healthy primary stays primary, and the
//! tier is never without a primary for long.

mod common;

use common::network::Direction;
use common::{MAX_FULL_REPLICATION_TIME, Simulation, known_epoch_number, random_span, start_three_keepers};
use juniperwing_clock::Span;

/// The maximum time until a change is acknowledged after a fault that must be tolerated.
const MAX_FAILOVER_TIME: Span = Span::from_millis(2_500);

/// Much longer than all timeouts.
const OBSERVATION_TIME: Span = Span::from_millis(20_000);

/// Runs for `span` and returns the longest time in it without an acknowledgement.
fn longest_pause(simulation: &mut Simulation, span: Span) -> Span {
    let end = simulation.now + span;
    let mut longest = Span::ZERO;
    while simulation.now < end {
        let started_at = simulation.now;
        let before = simulation.checker.acknowledged_count();
        simulation.run_until(span, |simulation| simulation.checker.acknowledged_count() > before);
        longest = longest.max(simulation.now.since(started_at));
    }
    longest
}

#[test]
fn primary_with_blocked_outbound_links_is_replaced() {
    for seed in 0..60 {
        let (mut simulation, primary) = start_three_keepers(seed);
        simulation.block_direction(primary, Direction::Outbound);
        simulation.expect_progress(
            MAX_FAILOVER_TIME,
            &format!("blocked outbound links of the primary, seed {seed}"),
        );
        assert!(longest_pause(&mut simulation, OBSERVATION_TIME) < MAX_FAILOVER_TIME, "seed {seed}");
        assert_ne!(simulation.primary(), Some(primary), "seed {seed}");
        simulation.heal();
        simulation.expect_fully_replicated(MAX_FULL_REPLICATION_TIME, "the end of the partition");
    }
}

#[test]
fn primary_with_blocked_inbound_links_is_replaced() {
    for seed in 0..60 {
        let (mut simulation, primary) = start_three_keepers(seed);
        simulation.block_direction(primary, Direction::Inbound);
        simulation.expect_progress(
            MAX_FAILOVER_TIME,
            &format!("blocked inbound links of the primary, seed {seed}"),
        );
        assert!(longest_pause(&mut simulation, OBSERVATION_TIME) < MAX_FAILOVER_TIME, "seed {seed}");
        assert_ne!(simulation.primary(), Some(primary), "seed {seed}");
        simulation.heal();
        simulation.expect_fully_replicated(MAX_FULL_REPLICATION_TIME, "the end of the partition");
    }
}

/// Partitions a backup in one direction: the primary and its epoch must stay, and writes must continue.
fn expect_primary_unaffected_by_blocked_backup(direction: Direction) {
    for seed in 0..60 {
        let (mut simulation, primary) = start_three_keepers(seed);
        let backup = (primary + 1) % 3;
        simulation.block_direction(backup, direction);
        simulation.run_for(MAX_FAILOVER_TIME);
        let before = known_epoch_number(&simulation, primary);
        assert!(longest_pause(&mut simulation, OBSERVATION_TIME) < Span::from_millis(500), "seed {seed}");
        assert_eq!(simulation.primary(), Some(primary), "seed {seed}");
        assert_eq!(known_epoch_number(&simulation, primary), before, "seed {seed}: its epoch has changed");
    }
}

#[test]
fn backup_with_blocked_inbound_links_does_not_replace_the_primary() {
    expect_primary_unaffected_by_blocked_backup(Direction::Inbound);
}

#[test]
fn backup_with_blocked_outbound_links_does_not_replace_the_primary() {
    expect_primary_unaffected_by_blocked_backup(Direction::Outbound);
}

/// The backup is removed from the in-sync set before its election timeout, so it could not become primary
/// even if all voters granted its pre-vote.
#[test]
fn backup_that_the_primary_cannot_reach_does_not_replace_it() {
    for seed in 0..60 {
        let (mut simulation, primary) = start_three_keepers(seed);
        simulation.block_link(primary, (primary + 1) % 3);
        simulation.run_for(OBSERVATION_TIME);
        assert_eq!(simulation.primary(), Some(primary), "seed {seed}");
    }
}

/// Partitions each pair of keepers, in one direction or in both; the third keeper reaches both.
#[test]
fn one_blocked_link_is_tolerated() {
    for seed in 0..90 {
        let (mut simulation, _) = start_three_keepers(seed);
        let (from, to) = ((seed % 3) as usize, ((seed + 1 + seed / 3 % 2) % 3) as usize);
        simulation.block_link(from, to);
        if seed % 5 == 0 {
            simulation.block_link(to, from);
        }
        simulation.run_for(Span::from_millis(10));
        simulation.expect_progress(MAX_FAILOVER_TIME, &format!("a blocked link, seed {seed}"));
        let pause = longest_pause(&mut simulation, OBSERVATION_TIME);
        assert!(pause < MAX_FAILOVER_TIME, "seed {seed}: {pause:?}\n{}", simulation.describe());
    }
}

/// The links of one member are blocked and unblocked at intervals near the timeouts.
#[test]
fn flapping_links_of_one_member_are_tolerated() {
    for seed in 0..90 {
        let (mut simulation, primary) = start_three_keepers(seed);
        let member = (primary + seed as usize) % 3;
        let before = simulation.checker.acknowledged_count();
        for round in 0..20 {
            match (seed + round) % 3 {
                0 => simulation.isolate(member),
                1 => simulation.block_direction(member, Direction::Outbound),
                _ => simulation.block_direction(member, Direction::Inbound),
            }
            let blocked_span = random_span(&mut simulation.rng, 100, 900);
            simulation.run_for(blocked_span);
            simulation.blocked_links.clear();
            let unblocked_span = random_span(&mut simulation.rng, 100, 900);
            simulation.run_for(unblocked_span);
        }
        assert!(
            simulation.checker.acknowledged_count() > before + 20,
            "seed {seed}\n{}",
            simulation.describe()
        );
        simulation.expect_progress(MAX_FAILOVER_TIME, "flapping");
        simulation.expect_fully_replicated(MAX_FULL_REPLICATION_TIME, "flapping");
    }
}

/// Freezes each new primary, alternately with a running and a stopped clock.
#[test]
fn repeatedly_frozen_primaries_are_replaced() {
    for seed in 0..60 {
        let (mut simulation, _) = start_three_keepers(seed);
        for round in 0..6 {
            let Some(primary) = simulation.primary() else { panic!("no primary\n{}", simulation.describe()) };
            let span = random_span(&mut simulation.rng, 700, 3_000);
            if round % 2 == 0 {
                simulation.freeze(primary, span);
            } else {
                simulation.freeze_with_clock(primary, span);
            }
            simulation.run_for(Span::from_millis(10));
            simulation.expect_progress(MAX_FAILOVER_TIME, &format!("a freeze, seed {seed}"));
            simulation.run_for(span);
            simulation.expect_fully_replicated(MAX_FULL_REPLICATION_TIME, "a freeze");
        }
    }
}
