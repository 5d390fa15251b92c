//! A keeper that was away catches up while changes come faster than the whole state is carried.

mod common;

use common::World;
use juniperwing_clock::Span;

/// Slow enough that the whole state takes as long as several changes.
const BYTES_PER_MS: u64 = 5;

/// Two keepers have made `changes` changes while the third was away, over slow links.
fn without_one(seed: u64, changes: usize) -> (World, usize) {
    let mut world = World::new(seed, 3, 2);
    world.timings.min_link_bytes_per_ms = BYTES_PER_MS as f64;
    world.expect_whole(Span::from_millis(3_000), "the start");
    let primary = world.primary().expect("a primary");
    let absent = (primary + 1) % 3;
    world.kill(absent);
    let made = world.run_until(Span::from_millis(120_000), |world| world.judge.acknowledged() >= changes);
    assert!(made, "{}", world.picture());
    world.link_bytes_per_ms = Some(BYTES_PER_MS);
    (world, absent)
}

/// How long the absent keeper takes to be in sync, in milliseconds, and the bytes sent meanwhile.
fn catch_up(world: &mut World, absent: usize) -> (u64, u64) {
    let begun = world.now;
    let bytes = world.bytes_sent;
    world.start_after(absent, Span::from_millis(1));
    world.expect_whole(Span::from_millis(20_000), "the return of a keeper");
    (world.now.since(begun).as_nanos() / 1_000_000, world.bytes_sent - bytes)
}

/// Fails without the changes that are kept (snapshots alone never reach a version that moves on), and if what is
/// on its way counts as lost before a slow link can have carried it.
#[test]
fn a_keeper_that_was_away_for_hundreds_of_changes_is_not_outrun() {
    for (changes, most_ms) in [(1, 2_000), (100, 2_000), (300, 2_500), (500, 3_000)] {
        for seed in 0..10 {
            let (mut world, absent) = without_one(seed, changes);
            let (ms, bytes) = catch_up(&mut world, absent);
            assert!(ms <= most_ms, "{changes} changes, seed {seed}: {ms} ms, {bytes} bytes");
        }
    }
}

/// Fails without the changes that are kept: snapshots alone came to five times the state.
#[test]
fn a_keeper_that_lost_its_disk_is_sent_the_state_about_once() {
    for seed in 0..10 {
        let (mut world, absent) = without_one(seed, 300);
        world.wipe(absent);
        let state = 8 * world.judge.acknowledged() as u64;
        let (ms, bytes) = catch_up(&mut world, absent);
        assert!(ms <= 4_000, "seed {seed}: {ms} ms");
        assert!(bytes <= 2 * state, "seed {seed}: {bytes} bytes for a state of {state}");
    }
}

/// As long as it lacks anything, it never serves. Fails without the changes that are kept: it never lacks nothing.
#[test]
fn a_keeper_that_catches_up_does_not_lead_before() {
    for seed in 0..10 {
        let (mut world, absent) = without_one(seed, 300);
        world.start_after(absent, Span::from_millis(1));
        let whole_or_leads = |world: &World| world.is_whole() || world.primary() == Some(absent);
        assert!(world.run_until(Span::from_millis(20_000), whole_or_leads), "{}", world.picture());
        assert!(world.primary() != Some(absent), "{}", world.picture());
    }
}
