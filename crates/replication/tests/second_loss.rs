//! A first loss, repair, replacement or growth, and then the next loss, at every moment from which on the fault
//! model allows it: a member counts as lost until it, or its successor, has run for `CATCH_UP`.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};

use common::{WHOLE, World};
use juniperwing_clock::Span;
use juniperwing_replication::{Event, ProposeToken};

/// A member counts as repaired so long after its start (`catchUpS` of the deployments).
const CATCH_UP: Span = Span::from_millis(4_100);

/// How long a member that is told to end may take.
const GRACE: Span = Span::from_millis(6_000);

/// How soon a change is acknowledged after a loss that has to be borne.
const BORNE: Span = Span::from_millis(2_500);

/// Moments of the next loss, in milliseconds after the first from which on it is allowed, up to twice the time of
/// a repair.
const MOMENTS: [u64; 13] = [0, 5, 15, 40, 90, 160, 300, 500, 900, 1_300, 2_000, 4_100, 8_200];

/// How the next loss strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Kill,
    Wipe,
    Cut,
    /// It is heard, and hears nothing.
    Deaf,
    /// It hears, and is not heard.
    Mute,
    Freeze,
}

const LOSSES: [Loss; 6] = [Loss::Kill, Loss::Wipe, Loss::Cut, Loss::Deaf, Loss::Mute, Loss::Freeze];

/// Whom a loss strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Victim {
    Primary,
    /// A backup that was there from the start.
    OldBackup,
    /// The machine that came last.
    Newest,
}

const VICTIMS: [Victim; 3] = [Victim::Primary, Victim::OldBackup, Victim::Newest];

fn find(world: &World, victim: Victim) -> usize {
    let primary = world.primary().expect("a primary");
    let present: Vec<usize> =
        (0..world.machines.len()).filter(|index| !world.machines[*index].gone).collect();
    let newest = *present.last().expect("machines");
    match victim {
        Victim::Primary => primary,
        Victim::Newest => newest,
        Victim::OldBackup => {
            let old = present.into_iter().find(|index| *index != primary && *index != newest);
            old.expect("a backup")
        }
    }
}

fn strike(world: &mut World, victim: usize, loss: Loss) {
    match loss {
        Loss::Kill => world.kill(victim),
        Loss::Wipe => world.wipe(victim),
        Loss::Cut => world.isolate(victim),
        Loss::Deaf => world.cut_one_way(victim, false),
        Loss::Mute => world.cut_one_way(victim, true),
        Loss::Freeze => world.freeze(victim, Span::from_millis(4_000)),
    }
}

/// Plays every kind of next loss on every member that matters at every moment, after `first`.
fn play_all(seeds: usize, machines: usize, required: usize, first: impl Fn(&mut World, u64) + Sync) {
    let first = &first;
    let longest = &AtomicU64::new(0);
    std::thread::scope(|scope| {
        for victim in VICTIMS {
            scope.spawn(move || {
                let losses = LOSSES.into_iter().flat_map(|loss| MOMENTS.map(|moment| (loss, moment)));
                for (seed, (loss, moment)) in losses.enumerate() {
                    let what = format!("{loss:?} of the {victim:?} after {moment} ms, seed {seed}");
                    let mut world = started(seed as u64, seeds, machines, required);
                    first(&mut world, seed as u64);
                    world.run(Span::from_millis(moment));
                    let struck = find(&world, victim);
                    strike(&mut world, struck, loss);
                    let struck_at = world.now;
                    world.run(Span::from_millis(10));
                    world.expect_progress(BORNE, &what);
                    longest.fetch_max(world.now.since(struck_at).as_nanos() / 1_000_000, Ordering::Relaxed);
                    world.heal();
                    world.expect_whole(WHOLE, &what);
                }
            });
        }
    });
    println!("acknowledged again after {} ms at most", longest.load(Ordering::Relaxed));
}

fn started(seed: u64, seeds: usize, machines: usize, required: usize) -> World {
    let mut world = World::new(seed, seeds, required);
    for index in seeds..machines {
        world.add(&format!("core-{index}"), true);
    }
    world.expect_whole(WHOLE, "the start");
    world.run(CATCH_UP);
    world
}

/// One member after the other, by seed.
fn leaver(world: &World, seed: u64) -> usize {
    let primary = world.primary().expect("a primary");
    let rank = seed as usize % 2;
    (primary + rank) % 3
}

fn ends_as_planned(world: &mut World, leaver: usize) {
    assert!(world.step_down(leaver, GRACE), "it may not end\n{}", world.picture());
    world.remove(leaver);
}

// Guards: `membership.rs`, `drop_surplus` and `replaced_by` (a leaver counts as silent at once); `follower.rs`,
// `must_ask` (a leaver asks for no vote); `replica.rs`, `may_end` (it waits until it has no vote that counts).
#[test]
fn a_loss_right_after_a_planned_replacement_is_borne() {
    play_all(3, 3, 2, |world, seed| {
        world.add("successor", false);
        world.run(CATCH_UP);
        let leaver = leaver(world, seed);
        ends_as_planned(world, leaver);
    });
}

#[test]
fn a_loss_is_borne_once_the_successor_of_a_lost_member_has_caught_up() {
    play_all(3, 3, 2, |world, seed| {
        let lost = leaver(world, seed);
        let ahead = [0, 30, 700][seed as usize % 3];
        match seed % 2 {
            0 => {
                world.remove(lost);
                world.run(Span::from_millis(ahead));
                world.add("successor", false);
            }
            _ => {
                world.add("successor", false);
                world.run(Span::from_millis(ahead));
                world.remove(lost);
            }
        }
        world.run(CATCH_UP);
    });
}

#[test]
fn a_loss_is_borne_once_a_wiped_or_killed_member_has_caught_up() {
    play_all(3, 3, 2, |world, seed| {
        let lost = leaver(world, seed);
        if seed % 3 == 0 {
            world.kill(lost);
        } else {
            world.wipe(lost);
        }
        world.start_after(lost, Span::from_millis(400));
        world.run(Span::from_millis(400) + CATCH_UP);
    });
}

#[test]
fn a_loss_while_the_tier_grows_is_borne() {
    play_all(3, 3, 2, |world, seed| {
        world.add("fourth", false);
        world.run(Span::from_millis([0, 150, 320, 600, 4_100][seed as usize % 5]));
        world.add("fifth", false);
    });
}

#[test]
fn a_member_that_was_replaced_while_it_was_cut_off_neither_votes_nor_leads() {
    play_all(3, 3, 2, |world, seed| {
        let cut_off = leaver(world, seed);
        world.isolate(cut_off);
        world.run(Span::from_millis(1_500));
        let old = world.machines[cut_off].voter.disk;
        world.add("successor", false);
        world.run(CATCH_UP);
        let primary = world.primary().expect("a primary");
        assert_ne!(primary, cut_off);
        let voters = world.machines[primary].replica.as_ref().expect("it runs").voters();
        assert!(voters.iter().all(|voter| voter.disk != old), "{}", world.picture());
        // It comes back, asks anew, and is told to end.
        world.cuts.clear();
        world.run(CATCH_UP);
        ends_as_planned(world, cut_off);
    });
}

// Guard: `settings.rs`, `may_drop_one_of` and `membership.rs`, `drop_surplus`: five of six voters stay.
#[test]
fn of_five_two_at_once_may_be_lost_right_after_a_planned_replacement() {
    for seed in 0..60 {
        let mut world = started(seed, 3, 5, 3);
        world.add("successor", false);
        world.run(CATCH_UP);
        let leaver = leaver(&world, seed);
        ends_as_planned(&mut world, leaver);
        world.run(Span::from_millis(MOMENTS[seed as usize % MOMENTS.len()]));
        let victims = [find(&world, Victim::Primary), find(&world, Victim::OldBackup)];
        for victim in victims {
            strike(&mut world, victim, LOSSES[seed as usize % LOSSES.len()]);
        }
        world.run(Span::from_millis(10));
        world.expect_progress(BORNE, &format!("the loss of two of five, seed {seed}"));
    }
}

/// The leaver and one backup hold the newest state; the third has been out of touch and comes back while the
/// leaver ends. Then the backup loses its disk.
// Guards: `primary.rs`, `successor` (a primary goes on while nobody can take over) and `change_epoch` (it lets
// replicas in meanwhile); `replica.rs`, `may_end` (`has_copies`).
#[test]
fn a_member_that_ends_leaves_no_single_copy_behind() {
    for seed in 0..120 {
        let mut world = started(seed, 3, 3, 2);
        let primary = world.primary().expect("a primary");
        let (backup, behind) = ((primary + 1) % 3, (primary + 2) % 3);
        world.isolate(behind);
        world.run(Span::from_millis(2_000));
        world.cuts.clear();
        let moment = world.random.below(400);
        world.run(Span::from_millis(moment));
        let leaver = if seed % 2 == 0 { primary } else { backup };
        let other = primary + backup - leaver;
        assert!(world.step_down(leaver, GRACE), "seed {seed}\n{}", world.picture());
        world.remove(leaver);
        world.wipe(other);
        world.add("successor", false);
        world.run(Span::from_millis(3_000));
        let held = world.machines[behind].replica.as_ref().expect("it runs").latest().state.0.len();
        assert!(held >= world.judge.acknowledged(), "seed {seed}: {held}\n{}", world.picture());
    }
}

/// A primary that alone is in touch with the disks of its epoch goes on until another has caught up.
#[test]
fn a_primary_without_a_successor_ends_only_when_it_has_one() {
    for seed in 0..60 {
        let mut world = started(seed, 3, 3, 2);
        let primary = world.primary().expect("a primary");
        let (backup, behind) = ((primary + 1) % 3, (primary + 2) % 3);
        world.isolate(behind);
        world.run(Span::from_millis(2_000));
        world.kill(backup);
        world.cuts.clear();
        assert!(world.step_down(primary, GRACE) || world.machines[primary].replica.is_some());
        let successor = world.primary();
        assert_eq!(successor, Some(behind), "seed {seed}\n{}", world.picture());
    }
}

/// A rolling restart: each member is told to end, ends when it may, and starts again soon.
#[test]
fn a_rolling_restart_with_a_loss_after_it_is_borne() {
    play_all(3, 3, 2, |world, seed| {
        let gap = Span::from_millis([0, 300, 1_700][seed as usize % 3]);
        for member in 0..3 {
            let may_end = world.step_down(member, GRACE);
            assert!(may_end, "{}", world.picture());
            world.kill(member);
            world.start_after(member, Span::from_millis(300));
            world.run(Span::from_millis(300) + gap);
        }
        world.run(CATCH_UP);
    });
}

/// A member that was kept out for hundreds of changes gets them while more come, and leads only then.
// Guard: `replica.rs`, `is_eligible`, `in_sync`: out of sync it seeks no office.
#[test]
fn a_member_that_was_kept_out_for_hundreds_of_changes_catches_up_and_leads_only_then() {
    for seed in 0..30 {
        let mut world = started(seed, 3, 3, 2);
        let primary = world.primary().expect("a primary");
        let (backup, behind) = ((primary + 1) % 3, (primary + 2) % 3);
        world.isolate(behind);
        let target = world.judge.acknowledged() + 300;
        let reached = world.run_until(Span::from_millis(60_000), |world| world.judge.acknowledged() > target);
        assert!(reached, "seed {seed}");
        world.cuts.clear();
        if seed % 2 == 0 {
            // The others are lost before it has caught up: nobody may serve.
            world.kill(primary);
            world.kill(backup);
            world.run(Span::from_millis(5_000));
            assert_eq!(world.primary(), None, "seed {seed}: it leads with old state");
            world.heal();
        }
        world.expect_whole(Span::from_millis(5_000), "300 changes");
        let held = world.machines[behind].replica.as_ref().expect("it runs").latest().state.0.len();
        assert!(held > target, "seed {seed}");
    }
}

/// One change after the other at the primary until the tier is whole; how many there were.
fn press_until_whole(world: &mut World, limit: Span) -> u64 {
    const FIRST_TOKEN: u64 = 1 << 40;
    let end = world.now + limit;
    let mut pressed = 0;
    while !world.is_whole() && world.now < end {
        world.run(Span::from_millis(5));
        let Some(primary) = world.primary() else { continue };
        let base = world.machines[primary].replica.as_ref().expect("it runs").latest().version;
        let token = ProposeToken(FIRST_TOKEN + pressed);
        pressed += 1;
        world.judge.proposal_begins(token, base);
        world.hand(primary, Event::Propose { token, base, change: token.0 });
    }
    pressed
}

/// Changes come faster than the state gets to a member that is far away.
// Guard: `primary.rs`, `waits_for_laggard`: without it, the member is some changes behind for ever.
#[test]
fn a_member_that_changes_outrun_gets_in_sync_all_the_same() {
    for seed in 0..30 {
        let mut world = started(seed, 3, 3, 2);
        let primary = world.primary().expect("a primary");
        let behind = (primary + 1) % 3;
        world.isolate(behind);
        world.run(Span::from_millis(2_000));
        world.cuts.clear();
        world.far.insert(behind, Span::from_millis(25));
        let pressed = press_until_whole(&mut world, CATCH_UP);
        assert!(world.is_whole(), "seed {seed}, {pressed} changes\n{}", world.picture());
    }
}
