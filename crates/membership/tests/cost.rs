//! Cost of membership: datagrams, bytes, wake-ups and memory are bounded and do not grow with the number of members.

mod virtual_network;

use juniperwing_membership::{MAX_DATAGRAM_BYTES, Status};
use virtual_network::{Network, Traffic, seconds};

fn pending_updates_of(network: &Network, machine: usize) -> usize {
    network.machines[machine].membership.as_ref().unwrap().pending_updates()
}

/// The traffic of `count` settled members in 20 s.
fn steady_state_traffic(count: usize) -> Traffic {
    let mut network = Network::with_known_members(count, 3);
    // By then the updates from the start-up have been disseminated.
    network.run(seconds(60.0));
    assert!(network.running().all(|machine| pending_updates_of(&network, machine) == 0));
    assert!(network.traffic.largest_datagram <= MAX_DATAGRAM_BYTES);
    network.traffic = Traffic::default();
    network.run(seconds(20.0));
    assert!(network.has_converged());
    network.traffic
}

#[test]
fn the_steady_state_cost_does_not_grow_with_members() {
    for count in [20, 760] {
        let traffic = steady_state_traffic(count);
        let per_second = |total: u64| total as f64 / count as f64 / 20.0;
        let datagrams = per_second(traffic.datagrams);
        let bytes = traffic.bytes as f64 / traffic.datagrams as f64;
        let wake_ups = per_second(traffic.wake_ups);
        println!("{count} members: {datagrams:.2} datagrams/s of {bytes:.0} bytes, {wake_ups:.2} wake-ups/s");
        // A ping and an ack every half second, and a digest every ten seconds.
        assert!(datagrams < 4.3, "{datagrams} datagrams per second");
        assert!(bytes < 100.0, "{bytes} bytes per datagram");
        assert!(wake_ups < 2.1, "{wake_ups} wake-ups per second");
        assert!(traffic.largest_datagram < 400, "{} bytes", traffic.largest_datagram);
    }
}

#[test]
fn traffic_while_many_members_die_and_restart_is_bounded() {
    let mut network = Network::settled(100, 4);
    network.traffic = Traffic::default();
    for round in 0..4 {
        let from = 10 + round * 20;
        for machine in from..from + 20 {
            network.kill(machine);
        }
        network.run(seconds(15.0));
        for machine in from..from + 20 {
            network.start(machine);
        }
        network.run(seconds(15.0));
    }
    let per_second = network.traffic.datagrams as f64 / 100.0 / 120.0;
    println!("{per_second:.1} datagrams/s per member during the failures");
    assert!(per_second < 16.0, "{per_second} datagrams per second");
    assert!(network.traffic.largest_datagram <= MAX_DATAGRAM_BYTES);
    network.run_until_true(seconds(20.0), "all members are alive again", Network::has_converged);
    for machine in 0..100 {
        assert!(network.membership(machine).members().count() == 100);
    }
}

#[test]
fn a_new_member_learns_of_all_others_soon() {
    let mut network = Network::settled(200, 5);
    network.kill(150);
    network.run(seconds(20.0));
    network.start(150);
    let time = network.run_until_true(seconds(5.0), "knows all", |network| {
        let alive = |machine: &usize| network.view(150, *machine) == Some(Status::Alive);
        network.running().filter(alive).count() == 200
    });
    println!("a new member among 200 knows all others after {:.1} s", time.as_secs_f64());
}
