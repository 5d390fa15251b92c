//! Cuts in one direction, flapping, freezes: a healthy primary keeps its office, and the tier is never long
//! without one.

mod common;

use common::{WHOLE, World, epoch, three_keepers};
use juniperwing_clock::Span;

/// How soon a change is acknowledged after a cut that has to be borne.
const BORNE: Span = Span::from_millis(2_500);

/// Long against all time-outs.
const LONG: Span = Span::from_millis(20_000);

/// Plays `span` and returns the longest time in it without an acknowledgement.
fn longest_pause(world: &mut World, span: Span) -> Span {
    let end = world.now + span;
    let mut longest = Span::ZERO;
    while world.now < end {
        let begun = world.now;
        let before = world.judge.acknowledged();
        world.run_until(span, |world| world.judge.acknowledged() > before);
        longest = longest.max(world.now.since(begun));
    }
    longest
}

#[test]
fn a_primary_that_is_heard_by_nobody_is_succeeded() {
    for seed in 0..60 {
        let (mut world, primary) = three_keepers(seed);
        world.cut_one_way(primary, true);
        world.expect_progress(BORNE, &format!("a mute primary, seed {seed}"));
        assert!(longest_pause(&mut world, LONG) < BORNE, "seed {seed}");
        assert_ne!(world.primary(), Some(primary), "seed {seed}");
        world.heal();
        world.expect_whole(WHOLE, "the end of the cut");
    }
}

#[test]
fn a_primary_that_hears_nobody_is_succeeded() {
    for seed in 0..60 {
        let (mut world, primary) = three_keepers(seed);
        world.cut_one_way(primary, false);
        world.expect_progress(BORNE, &format!("a deaf primary, seed {seed}"));
        assert!(longest_pause(&mut world, LONG) < BORNE, "seed {seed}");
        assert_ne!(world.primary(), Some(primary), "seed {seed}");
        world.heal();
        world.expect_whole(WHOLE, "the end of the cut");
    }
}

/// A backup is cut off in one direction; the primary keeps its office and its epoch, and goes on writing.
fn a_backup_cut_off_does_not_unseat_the_primary(hears: bool) {
    for seed in 0..60 {
        let (mut world, primary) = three_keepers(seed);
        let backup = (primary + 1) % 3;
        world.cut_one_way(backup, hears);
        world.run(BORNE);
        let before = epoch(&world, primary);
        assert!(longest_pause(&mut world, LONG) < Span::from_millis(500), "seed {seed}");
        assert_eq!(world.primary(), Some(primary), "seed {seed}");
        assert_eq!(epoch(&world, primary), before, "seed {seed}: its epoch is changed again and again");
    }
}

#[test]
fn a_backup_that_hears_nobody_does_not_unseat_the_primary() {
    a_backup_cut_off_does_not_unseat_the_primary(false);
}

#[test]
fn a_backup_that_is_heard_by_nobody_does_not_unseat_the_primary() {
    a_backup_cut_off_does_not_unseat_the_primary(true);
}

/// It leaves the in-sync set before its patience ends, so even a canvass that all granted would not let it lead.
#[test]
fn a_backup_that_only_the_primary_does_not_reach_does_not_unseat_it() {
    for seed in 0..60 {
        let (mut world, primary) = three_keepers(seed);
        world.cut(primary, (primary + 1) % 3);
        world.run(LONG);
        assert_eq!(world.primary(), Some(primary), "seed {seed}");
    }
}

/// Each pair of keepers, cut in one direction or in both: the third reaches both.
#[test]
fn one_link_that_is_cut_is_borne() {
    for seed in 0..90 {
        let (mut world, _) = three_keepers(seed);
        let (from, to) = ((seed % 3) as usize, ((seed + 1 + seed / 3 % 2) % 3) as usize);
        world.cut(from, to);
        if seed % 5 == 0 {
            world.cut(to, from);
        }
        world.run(Span::from_millis(10));
        world.expect_progress(BORNE, &format!("the cut of one link, seed {seed}"));
        let pause = longest_pause(&mut world, LONG);
        assert!(pause < BORNE, "seed {seed}: {pause:?}\n{}", world.picture());
    }
}

/// The links of one member come and go in a rhythm near the time-outs.
#[test]
fn a_member_that_flaps_never_takes_the_others_long() {
    for seed in 0..90 {
        let (mut world, primary) = three_keepers(seed);
        let member = (primary + seed as usize) % 3;
        let before = world.judge.acknowledged();
        for round in 0..20 {
            match (seed + round) % 3 {
                0 => world.isolate(member),
                1 => world.cut_one_way(member, true),
                _ => world.cut_one_way(member, false),
            }
            let down = world.random.millis(100, 900);
            world.run(down);
            world.cuts.clear();
            let up = world.random.millis(100, 900);
            world.run(up);
        }
        assert!(world.judge.acknowledged() > before + 20, "seed {seed}\n{}", world.picture());
        world.expect_progress(BORNE, "flapping");
        world.expect_whole(WHOLE, "flapping");
    }
}

/// Freezes of the primary one after the other, with its clock and without.
#[test]
fn a_primary_that_freezes_again_and_again_is_succeeded_each_time() {
    for seed in 0..60 {
        let (mut world, _) = three_keepers(seed);
        for round in 0..6 {
            let Some(primary) = world.primary() else { panic!("no primary\n{}", world.picture()) };
            let span = world.random.millis(700, 3_000);
            if round % 2 == 0 {
                world.freeze(primary, span);
            } else {
                world.freeze_with_clock(primary, span);
            }
            world.run(Span::from_millis(10));
            world.expect_progress(BORNE, &format!("a freeze, seed {seed}"));
            world.run(span);
            world.expect_whole(WHOLE, "a freeze");
        }
    }
}
