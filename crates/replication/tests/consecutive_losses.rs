//! Tests of a first loss, repair, replacement or growth, followed by the next loss after various delays from
//! the earliest time at which the fault model allows it: a member counts as lost until it, or its
//! replacement, has run for `CATCH_UP_TIME`.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};

use common::network::Direction;
use common::{MAX_FULL_REPLICATION_TIME, Simulation};
use juniperwing_clock::Span;
use juniperwing_replication::ProposeToken;

/// A member counts as repaired this long after its start (`catchUpS` of the deployments).
const CATCH_UP_TIME: Span = Span::from_millis(4_100);

/// The maximum duration of the shutdown of a member.
const MAX_SHUTDOWN_TIME: Span = Span::from_millis(6_000);

/// The maximum time until a change is acknowledged after a loss that must be tolerated.
const MAX_FAILOVER_TIME: Span = Span::from_millis(2_500);

/// Delays of the next loss after the earliest time at which it is allowed, in milliseconds, up to twice the
/// repair time.
const LOSS_DELAYS_MS: [u64; 13] = [0, 5, 15, 40, 90, 160, 300, 500, 900, 1_300, 2_000, 4_100, 8_200];

/// The kind of the next loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Kill,
    ReplaceDisk,
    Isolate,
    BlockInbound,
    BlockOutbound,
    Freeze,
}

const LOSSES: [Loss; 6] =
    [Loss::Kill, Loss::ReplaceDisk, Loss::Isolate, Loss::BlockInbound, Loss::BlockOutbound, Loss::Freeze];

/// The machine that is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Victim {
    Primary,
    /// A backup other than the newest machine.
    OldBackup,
    /// The machine that was added last.
    Newest,
}

const VICTIMS: [Victim; 3] = [Victim::Primary, Victim::OldBackup, Victim::Newest];

fn find_victim(simulation: &Simulation, victim: Victim) -> usize {
    let primary = simulation.primary().expect("a primary");
    let present: Vec<usize> =
        (0..simulation.machines.len()).filter(|index| !simulation.machines[*index].is_removed).collect();
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

fn inject_loss(simulation: &mut Simulation, victim: usize, loss: Loss) {
    match loss {
        Loss::Kill => simulation.kill(victim),
        Loss::ReplaceDisk => simulation.replace_disk(victim),
        Loss::Isolate => simulation.isolate(victim),
        Loss::BlockInbound => simulation.block_direction(victim, Direction::Inbound),
        Loss::BlockOutbound => simulation.block_direction(victim, Direction::Outbound),
        Loss::Freeze => simulation.freeze(victim, Span::from_millis(4_000)),
    }
}

/// Runs `first_fault` and then each combination of a loss, a victim and a delay.
fn run_all_losses(
    seeds: usize, machines: usize, min_in_sync_replicas: usize,
    first_fault: impl Fn(&mut Simulation, u64) + Sync,
) {
    let first_fault = &first_fault;
    let longest_pause_ms = &AtomicU64::new(0);
    std::thread::scope(|scope| {
        for victim in VICTIMS {
            scope.spawn(move || {
                let losses =
                    LOSSES.into_iter().flat_map(|loss| LOSS_DELAYS_MS.map(|delay_ms| (loss, delay_ms)));
                for (seed, (loss, delay_ms)) in losses.enumerate() {
                    let fault = format!("{loss:?} of the {victim:?} after {delay_ms} ms, seed {seed}");
                    let mut simulation = start_simulation(seed as u64, seeds, machines, min_in_sync_replicas);
                    first_fault(&mut simulation, seed as u64);
                    simulation.run_for(Span::from_millis(delay_ms));
                    let victim = find_victim(&simulation, victim);
                    inject_loss(&mut simulation, victim, loss);
                    let lost_at = simulation.now;
                    simulation.run_for(Span::from_millis(10));
                    simulation.expect_progress(MAX_FAILOVER_TIME, &fault);
                    longest_pause_ms.fetch_max(simulation.now.since(lost_at).as_millis(), Ordering::Relaxed);
                    simulation.heal();
                    simulation.expect_fully_replicated(MAX_FULL_REPLICATION_TIME, &fault);
                }
            });
        }
    });
    println!("longest time until a change was acknowledged: {} ms", longest_pause_ms.load(Ordering::Relaxed));
}

fn start_simulation(seed: u64, seeds: usize, machines: usize, min_in_sync_replicas: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, seeds, min_in_sync_replicas);
    for index in seeds..machines {
        simulation.add_machine(&format!("core-{index}"), true);
    }
    simulation.expect_fully_replicated(MAX_FULL_REPLICATION_TIME, "the start");
    simulation.run_for(CATCH_UP_TIME);
    simulation
}

/// The primary or a backup, depending on the seed.
fn pick_member(simulation: &Simulation, seed: u64) -> usize {
    let primary = simulation.primary().expect("a primary");
    let rank = seed as usize % 2;
    (primary + rank) % 3
}

fn shut_down(simulation: &mut Simulation, member: usize) {
    assert!(
        simulation.prepare_shutdown(member, MAX_SHUTDOWN_TIME),
        "member {member} cannot shut down\n{}",
        simulation.describe()
    );
    simulation.remove(member);
}

// Covers the handling of a member that is leaving: it is treated like one that has timed out
// (`drop_surplus_voters` and `find_replaced_voter` in `epoch_plan.rs`), sends no join request
// (`must_request_join` in `replica/join.rs`) and waits until its vote is no longer needed (`can_shut_down`
// in `replica/handover.rs`).
#[test]
fn loss_after_a_planned_replacement_is_tolerated() {
    run_all_losses(3, 3, 2, |simulation, seed| {
        simulation.add_machine("replacement", false);
        simulation.run_for(CATCH_UP_TIME);
        let leaver = pick_member(simulation, seed);
        shut_down(simulation, leaver);
    });
}

#[test]
fn loss_after_the_replacement_of_a_lost_member_is_tolerated() {
    run_all_losses(3, 3, 2, |simulation, seed| {
        let lost = pick_member(simulation, seed);
        let delay_ms = [0, 30, 700][seed as usize % 3];
        match seed % 2 {
            0 => {
                simulation.remove(lost);
                simulation.run_for(Span::from_millis(delay_ms));
                simulation.add_machine("replacement", false);
            }
            _ => {
                simulation.add_machine("replacement", false);
                simulation.run_for(Span::from_millis(delay_ms));
                simulation.remove(lost);
            }
        }
        simulation.run_for(CATCH_UP_TIME);
    });
}

#[test]
fn loss_after_the_return_of_a_wiped_or_killed_member_is_tolerated() {
    run_all_losses(3, 3, 2, |simulation, seed| {
        let lost = pick_member(simulation, seed);
        if seed % 3 == 0 {
            simulation.kill(lost);
        } else {
            simulation.replace_disk(lost);
        }
        simulation.start_after(lost, Span::from_millis(400));
        simulation.run_for(Span::from_millis(400) + CATCH_UP_TIME);
    });
}

#[test]
fn loss_during_growth_is_tolerated() {
    run_all_losses(3, 3, 2, |simulation, seed| {
        simulation.add_machine("fourth", false);
        simulation.run_for(Span::from_millis([0, 150, 320, 600, 4_100][seed as usize % 5]));
        simulation.add_machine("fifth", false);
    });
}

#[test]
fn member_replaced_during_isolation_neither_votes_nor_becomes_primary() {
    run_all_losses(3, 3, 2, |simulation, seed| {
        let isolated = pick_member(simulation, seed);
        simulation.isolate(isolated);
        simulation.run_for(Span::from_millis(1_500));
        let old_disk = simulation.machines[isolated].voter.disk;
        simulation.add_machine("replacement", false);
        simulation.run_for(CATCH_UP_TIME);
        let primary = simulation.primary().expect("a primary");
        assert_ne!(primary, isolated);
        let voters = simulation.replica(primary).voters();
        assert!(voters.iter().all(|voter| voter.disk != old_disk), "{}", simulation.describe());
        // The isolated member returns, requests to join, and shuts down.
        simulation.blocked_links.clear();
        simulation.run_for(CATCH_UP_TIME);
        shut_down(simulation, isolated);
    });
}

// Relies on five of six voters remaining: `can_drop_one_of` in `settings.rs` and `drop_surplus_voters` in
// `epoch_plan.rs`.
#[test]
fn simultaneous_loss_of_two_of_five_after_a_replacement_is_tolerated() {
    for seed in 0..60 {
        let mut simulation = start_simulation(seed, 3, 5, 3);
        simulation.add_machine("replacement", false);
        simulation.run_for(CATCH_UP_TIME);
        let leaver = pick_member(&simulation, seed);
        shut_down(&mut simulation, leaver);
        simulation.run_for(Span::from_millis(LOSS_DELAYS_MS[seed as usize % LOSS_DELAYS_MS.len()]));
        let victims =
            [find_victim(&simulation, Victim::Primary), find_victim(&simulation, Victim::OldBackup)];
        for victim in victims {
            inject_loss(&mut simulation, victim, LOSSES[seed as usize % LOSSES.len()]);
        }
        simulation.run_for(Span::from_millis(10));
        simulation.expect_progress(MAX_FAILOVER_TIME, &format!("the loss of two of five, seed {seed}"));
    }
}

/// Guards against a shutdown that leaves the newest state on a single disk: the member that shuts down and
/// one backup have the newest state, while the third member was isolated and returns during the shutdown.
/// Then the backup loses its disk.
// Relies on three rules: a primary continues while no other keeper can take over (`find_successor` in
// `replica/handover.rs`), it admits replicas meanwhile (`change_epoch` in `replica/epoch_change.rs`), and a
// backup shuts down only if enough replicas remain (`has_enough_replicas` in `can_shut_down`).
#[test]
fn member_that_shuts_down_leaves_more_than_one_replica() {
    for seed in 0..120 {
        let mut simulation = start_simulation(seed, 3, 3, 2);
        let primary = simulation.primary().expect("a primary");
        let (backup, lagging) = ((primary + 1) % 3, (primary + 2) % 3);
        simulation.isolate(lagging);
        simulation.run_for(Span::from_millis(2_000));
        simulation.blocked_links.clear();
        let delay_ms = simulation.rng.below(400);
        simulation.run_for(Span::from_millis(delay_ms));
        let leaving = if seed % 2 == 0 { primary } else { backup };
        let staying = primary + backup - leaving;
        assert!(
            simulation.prepare_shutdown(leaving, MAX_SHUTDOWN_TIME),
            "seed {seed}\n{}",
            simulation.describe()
        );
        simulation.remove(leaving);
        simulation.replace_disk(staying);
        simulation.add_machine("replacement", false);
        simulation.run_for(Span::from_millis(3_000));
        let length = simulation.replica(lagging).latest().state.0.len();
        assert!(
            length >= simulation.checker.acknowledged_count(),
            "seed {seed}: {length}\n{}",
            simulation.describe()
        );
    }
}

/// A primary that shuts down while its in-sync backups are unreachable continues until another replica has
/// caught up.
#[test]
fn primary_without_a_successor_shuts_down_only_after_it_has_one() {
    for seed in 0..60 {
        let mut simulation = start_simulation(seed, 3, 3, 2);
        let primary = simulation.primary().expect("a primary");
        let (backup, lagging) = ((primary + 1) % 3, (primary + 2) % 3);
        simulation.isolate(lagging);
        simulation.run_for(Span::from_millis(2_000));
        simulation.kill(backup);
        simulation.blocked_links.clear();
        assert!(
            simulation.prepare_shutdown(primary, MAX_SHUTDOWN_TIME)
                || simulation.machines[primary].replica.is_some()
        );
        let successor = simulation.primary();
        assert_eq!(successor, Some(lagging), "seed {seed}\n{}", simulation.describe());
    }
}

/// A rolling restart: each member prepares for shutdown, exits once it can, and restarts shortly afterwards.
#[test]
fn loss_after_a_rolling_restart_is_tolerated() {
    run_all_losses(3, 3, 2, |simulation, seed| {
        let gap = Span::from_millis([0, 300, 1_700][seed as usize % 3]);
        for member in 0..3 {
            let can_shut_down = simulation.prepare_shutdown(member, MAX_SHUTDOWN_TIME);
            assert!(can_shut_down, "{}", simulation.describe());
            simulation.kill(member);
            simulation.start_after(member, Span::from_millis(300));
            simulation.run_for(Span::from_millis(300) + gap);
        }
        simulation.run_for(CATCH_UP_TIME);
    });
}

/// A member that was isolated for hundreds of changes catches up while more are made, and cannot become
/// primary before that.
// Covers the check of `in_sync` in `is_eligible` (`replica.rs`): a member that is out of sync starts no
// election.
#[test]
fn isolated_member_catches_up_before_it_becomes_primary() {
    for seed in 0..30 {
        let mut simulation = start_simulation(seed, 3, 3, 2);
        let primary = simulation.primary().expect("a primary");
        let (backup, lagging) = ((primary + 1) % 3, (primary + 2) % 3);
        simulation.isolate(lagging);
        let target = simulation.checker.acknowledged_count() + 300;
        let reached = simulation.run_until(Span::from_millis(60_000), |simulation| {
            simulation.checker.acknowledged_count() > target
        });
        assert!(reached, "seed {seed}");
        simulation.blocked_links.clear();
        if seed % 2 == 0 {
            // The others are lost before the member has caught up: no keeper may serve.
            simulation.kill(primary);
            simulation.kill(backup);
            simulation.run_for(Span::from_millis(5_000));
            assert_eq!(simulation.primary(), None, "seed {seed}: a member with a stale state is primary");
            simulation.heal();
        }
        simulation.expect_fully_replicated(Span::from_millis(5_000), "300 changes");
        let length = simulation.replica(lagging).latest().state.0.len();
        assert!(length > target, "seed {seed}");
    }
}

/// Proposes changes one after another at the primary until the tier is fully replicated; returns the number
/// of proposals.
fn propose_until_fully_replicated(simulation: &mut Simulation, limit: Span) -> u64 {
    const FIRST_TOKEN: u64 = 1 << 40;
    let end = simulation.now + limit;
    let mut proposals = 0;
    while !simulation.is_fully_replicated() && simulation.now < end {
        simulation.run_for(Span::from_millis(5));
        let Some(primary) = simulation.primary() else { continue };
        let base = simulation.replica(primary).latest().version;
        let token = ProposeToken(FIRST_TOKEN + proposals);
        proposals += 1;
        simulation.propose(primary, token, base);
    }
    proposals
}

/// A member with a high latency gets in sync although changes are made faster than the state reaches it.
// Relies on `must_pause_writes_for_lagging_replica` (`replica/proposals.rs`): without it, the member always
// lacks some changes.
#[test]
fn distant_member_gets_in_sync_under_constant_load() {
    for seed in 0..30 {
        let mut simulation = start_simulation(seed, 3, 3, 2);
        let primary = simulation.primary().expect("a primary");
        let lagging = (primary + 1) % 3;
        simulation.isolate(lagging);
        simulation.run_for(Span::from_millis(2_000));
        simulation.blocked_links.clear();
        simulation.extra_latencies.insert(lagging, Span::from_millis(25));
        let proposals = propose_until_fully_replicated(&mut simulation, CATCH_UP_TIME);
        assert!(
            simulation.is_fully_replicated(),
            "seed {seed}, {proposals} changes\n{}",
            simulation.describe()
        );
    }
}
