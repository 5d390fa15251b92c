//! What members hold of each other after kills, freezes, cuts, moves and loss.

mod virtual_network;

use juniperwing_membership::Status;
use virtual_network::{Network, seconds};

#[test]
fn all_started_at_once_find_each_other() {
    for count in [2, 3, 13, 60, 200] {
        let mut network = Network::new(count, count as u64);
        network.start_all();
        let time = network.run_until_true(seconds(12.0), "all known", Network::converged);
        println!("{count} members know each other {:.1} s after the start", time.as_secs_f64());
        assert!(network.take_deaths().is_empty());
    }
}

#[test]
fn all_started_at_once_find_each_other_under_loss() {
    for seed in 0..5 {
        let mut network = Network::new(30, seed);
        network.loss = 0.3;
        network.start_all();
        network.run(seconds(10.0));
        network.loss = 0.0;
        network.run_until_true(seconds(15.0), "all known", Network::converged);
    }
}

#[test]
fn a_killed_member_is_dead_for_all_within_a_bound() {
    for (count, bound) in [(3, 6.0), (13, 8.0), (60, 11.0), (200, 14.0)] {
        let mut network = Network::settled(count, 5);
        network.kill(count - 1);
        let time = network.run_until_true(seconds(bound), "found dead", |network| {
            network.all_hold(count - 1, Status::Dead)
        });
        println!("{count} members: a death is known to all after {:.1} s", time.as_secs_f64());
        let dead = network.take_deaths();
        assert!(dead.iter().all(|id| *id == network.machines[count - 1].me.id), "only that one");
    }
}

#[test]
fn many_killed_at_once_are_found() {
    let mut network = Network::settled(60, 6);
    for machine in 20..40 {
        network.kill(machine);
    }
    network.run_until_true(seconds(20.0), "the rest agrees", Network::converged);
    let dead = network.take_deaths();
    assert!(dead.iter().all(|id| (20..40).any(|machine| network.machines[machine].me.id == *id)));
}

#[test]
fn a_frozen_member_refutes_its_death_and_accuses_nobody() {
    for (seed, freeze) in [(1, 3.0), (2, 8.0), (3, 60.0)] {
        let mut network = Network::settled(20, seed);
        let life = network.machines[7].me.run_id;
        network.freeze(7);
        network.run(seconds(freeze));
        network.take_deaths();
        network.thaw(7);
        network.run_until_true(seconds(6.0), "alive again for all", Network::converged);
        assert_eq!(network.machines[7].me.run_id, life);
        network.run(seconds(10.0));
        assert!(network.converged());
        let dead = network.take_deaths();
        let id = &network.machines[7].me.id;
        assert!(dead.iter().all(|dead| dead == id), "it accuses nobody else: {dead:?}");
    }
}

#[test]
fn a_frozen_process_that_suspects_all_at_its_wake_declares_none_dead() {
    let mut network = Network::settled(10, 4);
    let others: Vec<usize> = (0..9).collect();
    network.cut(&[9], &others);
    network.run(seconds(2.0));
    assert!(network.machines[9].changes.iter().any(|(_, status)| *status == Status::Suspect));
    network.freeze(9);
    network.cuts.clear();
    network.run(seconds(30.0));
    network.thaw(9);
    network.run_until_true(seconds(8.0), "alive again for all", Network::converged);
    assert!(network.machines[9].deaths.is_empty(), "{:?}", network.machines[9].deaths);
}

#[test]
fn a_restarted_member_is_told_from_the_one_before() {
    let mut network = Network::settled(13, 8);
    // Some incarnations, so that the new life begins below the old one.
    for _ in 0..3 {
        network.freeze(5);
        network.run(seconds(10.0));
        network.thaw(5);
        network.run(seconds(5.0));
    }
    for pause in [0.2, 30.0] {
        network.kill(5);
        network.run(seconds(pause));
        network.start(5);
        network.run_until_true(seconds(6.0), "the new life is known", Network::converged);
    }
}

#[test]
fn a_member_at_another_address_is_found_there() {
    for seed in 0..5 {
        let mut network = Network::settled(13, seed);
        for number in [50, 51] {
            network.kill(6);
            network.run(seconds(0.3));
            network.move_to(6, number);
            network.start(6);
            network.run_until_true(seconds(6.0), "the new address is known", Network::converged);
        }
        network.run(seconds(10.0));
        assert!(network.converged());
    }
}

#[test]
fn an_address_taken_by_another_member_does_not_keep_the_dead_one_alive() {
    let mut network = Network::settled(13, 9);
    network.kill(6);
    network.kill(7);
    network.move_to(6, 60);
    network.move_to(7, 6);
    network.start(7);
    network.run_until_true(seconds(9.0), "the old one is dead", |network| {
        network.all_hold(6, Status::Dead) && network.converged()
    });
}

#[test]
fn a_member_that_leaves_is_not_suspected() {
    let mut network = Network::settled(20, 10);
    network.leave(4);
    network.run_until_true(seconds(4.0), "known to have left", |network| network.all_hold(4, Status::Left));
    network.run(seconds(20.0));
    assert!(network.all_hold(4, Status::Left));
    assert!(network.take_deaths().is_empty());
    network.start(4);
    network.run_until_true(seconds(6.0), "back", Network::converged);
}

#[test]
fn a_one_way_cut_makes_nobody_suspect() {
    let mut network = Network::settled(13, 11);
    for machine in &mut network.machines {
        machine.changes.clear();
    }
    network.cuts.insert((4, 5));
    network.cuts.insert((9, 2));
    network.run(seconds(120.0));
    assert!(network.machines.iter().all(|machine| machine.changes.is_empty()));
}

#[test]
fn a_healed_partition_converges() {
    for (count, split, lasts, bound) in [
        (13, 6, 5.0, 10.0),
        (13, 1, 60.0, 10.0),
        (30, 10, 60.0, 12.0),
        (100, 50, 60.0, 25.0),
        (30, 15, 700.0, 25.0),
    ] {
        let mut network = Network::settled(count, 12);
        let (one, other): (Vec<usize>, Vec<usize>) = (0..count).partition(|machine| *machine < split);
        network.cut(&one, &other);
        network.run(seconds(lasts));
        if lasts > 30.0 {
            assert_eq!(network.membership(0).live_count(), split);
        }
        network.take_deaths();
        network.cuts.clear();
        let time = network.run_until_true(seconds(bound), "whole again", Network::converged);
        println!("{count} members, {split} cut off for {lasts} s: whole after {:.1} s", time.as_secs_f64());
    }
}

#[test]
fn a_partition_heals_without_seeds() {
    let mut network = Network::settled(13, 15);
    for seed in 0..3 {
        network.kill(seed);
    }
    let (one, other): (Vec<usize>, Vec<usize>) = (3..13).partition(|machine| *machine < 7);
    network.cut(&one, &other);
    network.run(seconds(60.0));
    network.cuts.clear();
    network.run_until_true(seconds(30.0), "whole again", Network::converged);
}

#[test]
fn the_members_of_a_healed_partition_do_not_bury_their_own_side() {
    let mut network = Network::settled(30, 13);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..30).partition(|machine| *machine < 10);
    network.cut(&one, &other);
    network.run(seconds(60.0));
    network.take_deaths();
    network.cuts.clear();
    network.run(seconds(30.0));
    assert!(network.converged());
    let dead = network.take_deaths();
    assert!(dead.is_empty(), "{} deaths after the end of the cut", dead.len());
}

#[test]
fn nobody_dies_of_lost_datagrams() {
    for seed in 0..4 {
        let mut network = Network::settled(30, 20 + seed);
        network.loss = 0.2;
        network.run(seconds(300.0));
        let dead = network.take_deaths();
        assert!(dead.is_empty(), "{} false deaths with seed {seed}", dead.len());
        network.loss = 0.0;
        network.run_until_true(seconds(10.0), "calm again", Network::converged);
    }
}

#[test]
fn the_dead_are_forgotten_and_stay_so() {
    let mut network = Network::settled(13, 14);
    network.kill(8);
    network.run(seconds(590.0));
    assert!(network.all_hold(8, Status::Dead));
    network.run(seconds(60.0));
    let forgotten = |network: &Network| network.running().all(|observer| network.view(observer, 8).is_none());
    assert!(forgotten(&network));
    network.run(seconds(60.0));
    assert!(forgotten(&network));
    network.start(8);
    network.run_until_true(seconds(6.0), "back", Network::converged);
}
