//! Single faults, each with what it must and must not lead to.

mod common;

use common::{World, epoch};
use juniperwing_clock::Span;
use juniperwing_replication::{Event, ProposeToken, ReadToken, Role};

fn started(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, 3, 2);
    world.expect_whole(Span::from_millis(3_000), "the start");
    world.run(Span::from_millis(1_200));
    let primary = world.primary().expect("a primary");
    (world, primary)
}

#[test]
fn a_primary_that_steps_down_hands_over_at_once() {
    for seed in 0..50 {
        let (mut world, primary) = started(seed);
        world.hand(primary, Event::PrepareShutdown);
        let limit = Span::from_millis(250);
        let moved =
            world.run_until(limit, |world| world.primary().is_some_and(|successor| successor != primary));
        assert!(moved, "seed {seed}\n{}", world.picture());
    }
}

#[test]
fn a_killed_primary_is_succeeded_within_two_seconds() {
    for seed in 0..100 {
        let (mut world, primary) = started(seed);
        world.kill(primary);
        world.expect_progress(Span::from_millis(2_000), "the kill of the primary");
    }
}

#[test]
fn a_silent_backup_holds_writes_up_for_a_second_at_most() {
    for seed in 0..100 {
        let (mut world, primary) = started(seed);
        world.isolate((primary + 1) % 3);
        world.run(Span::from_millis(50));
        world.expect_progress(Span::from_millis(1_000), "the isolation of a backup");
        assert_eq!(world.primary(), Some(primary), "seed {seed}");
    }
}

#[test]
fn a_keeper_that_was_cut_off_does_not_unseat_the_primary() {
    for seed in 0..100 {
        let (mut world, primary) = started(seed);
        world.isolate((primary + 1) % 3);
        world.run(Span::from_millis(3_000));
        world.heal();
        world.expect_whole(Span::from_millis(3_000), "the end of the cut");
        assert_eq!(world.primary(), Some(primary), "seed {seed}");
    }
}

#[test]
fn a_primary_without_a_majority_says_so_and_refuses() {
    let (mut world, primary) = started(1);
    world.isolate(primary);
    world.run(Span::from_millis(1_500));
    let replica = world.machines[primary].replica.as_ref().expect("it runs");
    assert!(!replica.is_primary());
    assert_ne!(replica.role(), Role::Primary);
    let base = replica.latest().version;
    let token = ProposeToken(u64::MAX);
    world.judge.proposal_begins(token, base);
    // The judge holds it against everybody if a refused change comes into force.
    world.hand(primary, Event::Propose { token, base, change: token.0 });
    world.heal();
    world.expect_progress(Span::from_millis(3_000), "the end of the cut");
}

#[test]
fn a_frozen_primary_answers_no_read_out_of_date() {
    for seed in 0..200 {
        let (mut world, primary) = started(seed);
        world.freeze(primary, Span::from_millis(2_500));
        world.expect_progress(Span::from_millis(2_000), "the freeze of the primary");
        world.run(Span::from_millis(3_000));
        world.expect_whole(Span::from_millis(3_000), "the thaw");
    }
}

#[test]
fn a_primary_whose_clock_stood_still_answers_no_read_out_of_date() {
    for seed in 0..200 {
        let (mut world, primary) = started(seed);
        world.freeze_with_clock(primary, Span::from_millis(2_500));
        world.expect_progress(Span::from_millis(2_000), "the freeze of the primary");
        world.run(Span::from_millis(400));
        world.judge.read_begins(ReadToken(u64::MAX));
        // It waits for the thaw, and what was sent before the freeze comes first.
        world.hand_later(primary, Event::Read { token: ReadToken(u64::MAX) });
        world.run(Span::from_millis(3_000));
        world.expect_whole(Span::from_millis(3_000), "the thaw");
    }
}

#[test]
fn a_wiped_keeper_comes_back_as_somebody_else() {
    for seed in 0..50 {
        let (mut world, primary) = started(seed);
        let victim = if seed % 2 == 0 { primary } else { (primary + 1) % 3 };
        world.wipe(victim);
        world.start_after(victim, Span::from_millis(100));
        world.expect_whole(Span::from_millis(4_000), "the loss of a disk");
    }
}

#[test]
fn a_calm_tier_keeps_its_epoch() {
    let (mut world, primary) = started(7);
    let before = epoch(&world, primary);
    world.run(Span::from_millis(60_000));
    assert_eq!(epoch(&world, primary), before);
    assert_eq!(world.primary(), Some(primary));
}

#[test]
fn a_keeper_wakes_no_more_often_than_its_heartbeats_need() {
    // Fails in `World::step` if a keeper wakes itself in vain while a failed write is tried again.
    let (mut world, _) = started(3);
    world.ill_disks = true;
    world.run(Span::from_millis(20_000));
    world.heal();
    world.expect_progress(Span::from_millis(4_000), "trouble with the disks");
}

#[test]
fn the_first_start_survives_a_kill_of_the_founder() {
    for seed in 0..100 {
        let mut world = World::new(seed, 3, 2);
        let before = world.random.millis(10, 500);
        world.run(before);
        world.kill(0);
        let bootstrap_again = Span::from_millis(50);
        world.start_after(0, bootstrap_again);
        let reached = world.run_until(Span::from_millis(4_000), World::is_whole);
        // Started again without `bootstrap`, and before anybody accepted, nobody is left to found the tier.
        let founderless = world.machines.iter().all(|machine| machine.record.is_none());
        assert!(reached || founderless, "seed {seed}\n{}", world.picture());
    }
}
