//! A disk that answers nothing: it neither fails nor ends, and whoever waits for it must not hold up the others.

mod common;

use common::{WHOLE, three_keepers};
use juniperwing_clock::Span;

/// How soon changes are acknowledged again after a disk has begun to answer nothing.
const BORNE: Span = Span::from_millis(3_500);
const SEEDS: u64 = 20;

#[test]
fn a_primary_whose_disk_answers_nothing_is_succeeded() {
    for seed in 0..SEEDS {
        let (mut world, primary) = three_keepers(seed);
        world.stall_disk(primary);
        world.run(Span::from_millis(20));
        world.expect_progress(BORNE, "a disk that answers nothing");
        let successor = world.primary().expect("a primary");
        assert_ne!(successor, primary, "seed {seed}");
        world.run(Span::from_millis(5_000));
        world.release_disk(primary);
        world.expect_whole(WHOLE, "the disk answers again");
    }
}

#[test]
fn a_backup_whose_disk_answers_nothing_holds_up_nobody() {
    for seed in 0..SEEDS {
        let (mut world, primary) = three_keepers(seed);
        let backup = (primary + 1) % 3;
        world.stall_disk(backup);
        for _ in 0..5 {
            world.expect_progress(Span::from_millis(1_500), "a disk of a backup that answers nothing");
        }
        assert_eq!(world.primary(), Some(primary), "seed {seed}");
        world.release_disk(backup);
        world.expect_whole(WHOLE, "the disk answers again");
    }
}

#[test]
fn a_disk_that_is_slow_for_a_moment_costs_no_office() {
    for seed in 0..SEEDS {
        let (mut world, primary) = three_keepers(seed);
        world.stall_disk(primary);
        world.run(Span::from_millis(800));
        world.release_disk(primary);
        world.expect_progress(Span::from_millis(1_000), "a disk that was slow for a moment");
        assert_eq!(world.primary(), Some(primary), "seed {seed}");
    }
}
