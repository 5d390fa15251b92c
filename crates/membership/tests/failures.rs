//! Views that members have of each other after kills, pauses, partitions, moves and loss.

mod virtual_network;

use juniperwing_membership::Status;
use virtual_network::{Network, seconds};

#[test]
fn members_started_at_once_find_each_other() {
    for count in [2, 3, 13, 60, 200] {
        let mut network = Network::new(count, count as u64);
        network.start_all();
        let time = network.run_until_true(seconds(12.0), "all known", Network::has_converged);
        println!("{count} members know each other {:.1} s after the start", time.as_secs_f64());
        assert!(network.take_deaths().is_empty());
    }
}

#[test]
fn members_started_at_once_find_each_other_despite_loss() {
    for seed in 0..5 {
        let mut network = Network::new(30, seed);
        network.loss = 0.3;
        network.start_all();
        network.run(seconds(10.0));
        network.loss = 0.0;
        network.run_until_true(seconds(15.0), "all known", Network::has_converged);
    }
}

#[test]
fn a_killed_member_is_declared_dead_by_all_within_a_bound() {
    for (count, bound) in [(3, 6.0), (13, 8.0), (60, 11.0), (200, 14.0)] {
        let mut network = Network::settled(count, 5);
        network.kill(count - 1);
        let time = network.run_until_true(seconds(bound), "declared dead", |network| {
            network.all_view_as(count - 1, Status::Dead)
        });
        println!("{count} members: a death is known to all after {:.1} s", time.as_secs_f64());
        let dead = network.take_deaths();
        assert!(
            dead.iter().all(|id| *id == network.machines[count - 1].me.id),
            "no other member is declared dead"
        );
    }
}

#[test]
fn many_members_killed_at_once_are_declared_dead() {
    let mut network = Network::settled(60, 6);
    for machine in 20..40 {
        network.kill(machine);
    }
    network.run_until_true(seconds(20.0), "the rest agrees", Network::has_converged);
    let dead = network.take_deaths();
    assert!(dead.iter().all(|id| (20..40).any(|machine| network.machines[machine].me.id == *id)));
}

#[test]
fn a_paused_member_refutes_its_death_and_declares_nobody_dead() {
    for (seed, pause_seconds) in [(1, 3.0), (2, 8.0), (3, 60.0)] {
        let mut network = Network::settled(20, seed);
        let run_id = network.machines[7].me.run_id;
        network.pause(7);
        network.run(seconds(pause_seconds));
        network.take_deaths();
        network.resume(7);
        network.run_until_true(seconds(6.0), "alive again for all", Network::has_converged);
        assert_eq!(network.machines[7].me.run_id, run_id);
        network.run(seconds(10.0));
        assert!(network.has_converged());
        let dead = network.take_deaths();
        let id = &network.machines[7].me.id;
        assert!(dead.iter().all(|dead| dead == id), "it declares no other member dead: {dead:?}");
    }
}

#[test]
fn a_paused_process_that_suspects_all_when_it_resumes_declares_none_dead() {
    let mut network = Network::settled(10, 4);
    let others: Vec<usize> = (0..9).collect();
    network.partition(&[9], &others);
    network.run(seconds(2.0));
    assert!(network.machines[9].changes.iter().any(|(_, status)| *status == Status::Suspect));
    network.pause(9);
    network.blocked_links.clear();
    network.run(seconds(30.0));
    network.resume(9);
    network.run_until_true(seconds(8.0), "alive again for all", Network::has_converged);
    assert!(network.machines[9].deaths.is_empty(), "{:?}", network.machines[9].deaths);
}

#[test]
fn a_restarted_member_is_distinguished_from_its_previous_run() {
    let mut network = Network::settled(13, 8);
    // Raise the incarnation, so that the new run starts below the previous one.
    for _ in 0..3 {
        network.pause(5);
        network.run(seconds(10.0));
        network.resume(5);
        network.run(seconds(5.0));
    }
    for pause in [0.2, 30.0] {
        network.kill(5);
        network.run(seconds(pause));
        network.start(5);
        network.run_until_true(seconds(6.0), "the new run is known", Network::has_converged);
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
            network.run_until_true(seconds(6.0), "the new address is known", Network::has_converged);
        }
        network.run(seconds(10.0));
        assert!(network.has_converged());
    }
}

#[test]
fn an_address_reused_by_another_member_does_not_keep_the_dead_one_alive() {
    let mut network = Network::settled(13, 9);
    network.kill(6);
    network.kill(7);
    network.move_to(6, 60);
    network.move_to(7, 6);
    network.start(7);
    network.run_until_true(seconds(9.0), "the previous member is dead", |network| {
        network.all_view_as(6, Status::Dead) && network.has_converged()
    });
}

#[test]
fn a_member_that_leaves_is_not_suspected() {
    let mut network = Network::settled(20, 10);
    network.leave(4);
    network
        .run_until_true(seconds(4.0), "known to have left", |network| network.all_view_as(4, Status::Left));
    network.run(seconds(20.0));
    assert!(network.all_view_as(4, Status::Left));
    assert!(network.take_deaths().is_empty());
    network.start(4);
    network.run_until_true(seconds(6.0), "back", Network::has_converged);
}

#[test]
fn a_one_way_partition_raises_no_suspicion() {
    let mut network = Network::settled(13, 11);
    for machine in &mut network.machines {
        machine.changes.clear();
    }
    network.blocked_links.insert((4, 5));
    network.blocked_links.insert((9, 2));
    network.run(seconds(120.0));
    assert!(network.machines.iter().all(|machine| machine.changes.is_empty()));
}

#[test]
fn a_healed_partition_converges() {
    for (count, split, duration, bound) in [
        (13, 6, 5.0, 10.0),
        (13, 1, 60.0, 10.0),
        (30, 10, 60.0, 12.0),
        (100, 50, 60.0, 25.0),
        (30, 15, 700.0, 25.0),
    ] {
        let mut network = Network::settled(count, 12);
        let (one, other): (Vec<usize>, Vec<usize>) = (0..count).partition(|machine| *machine < split);
        network.partition(&one, &other);
        network.run(seconds(duration));
        if duration > 30.0 {
            assert_eq!(network.membership(0).live_count(), split);
        }
        network.take_deaths();
        network.blocked_links.clear();
        let time = network.run_until_true(seconds(bound), "converged again", Network::has_converged);
        println!(
            "{count} members, {split} partitioned for {duration} s: converged after {:.1} s",
            time.as_secs_f64()
        );
    }
}

#[test]
fn a_partition_heals_without_seeds() {
    let mut network = Network::settled(13, 15);
    for seed in 0..3 {
        network.kill(seed);
    }
    let (one, other): (Vec<usize>, Vec<usize>) = (3..13).partition(|machine| *machine < 7);
    network.partition(&one, &other);
    network.run(seconds(60.0));
    network.blocked_links.clear();
    network.run_until_true(seconds(30.0), "converged again", Network::has_converged);
}

#[test]
fn members_of_a_healed_partition_do_not_declare_their_own_side_dead() {
    let mut network = Network::settled(30, 13);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..30).partition(|machine| *machine < 10);
    network.partition(&one, &other);
    network.run(seconds(60.0));
    network.take_deaths();
    network.blocked_links.clear();
    network.run(seconds(30.0));
    assert!(network.has_converged());
    let dead = network.take_deaths();
    assert!(dead.is_empty(), "{} deaths after the end of the partition", dead.len());
}

#[test]
fn lost_datagrams_cause_no_deaths() {
    for seed in 0..4 {
        let mut network = Network::settled(30, 20 + seed);
        network.loss = 0.2;
        network.run(seconds(300.0));
        let dead = network.take_deaths();
        assert!(dead.is_empty(), "{} false deaths with seed {seed}", dead.len());
        network.loss = 0.0;
        network.run_until_true(seconds(10.0), "converged again", Network::has_converged);
    }
}

#[test]
fn dead_members_are_removed_and_stay_removed() {
    let mut network = Network::settled(13, 14);
    network.kill(8);
    network.run(seconds(590.0));
    assert!(network.all_view_as(8, Status::Dead));
    network.run(seconds(60.0));
    let is_removed =
        |network: &Network| network.running().all(|observer| network.view(observer, 8).is_none());
    assert!(is_removed(&network));
    network.run(seconds(60.0));
    assert!(is_removed(&network));
    network.start(8);
    network.run_until_true(seconds(6.0), "back", Network::has_converged);
}
