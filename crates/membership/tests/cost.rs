//! What membership costs: datagrams, bytes, wake-ups and memory stay bounded, and do not grow with members.

mod virtual_network;

use juniperwing_membership::{MAX_DATAGRAM_BYTES, Status};
use virtual_network::{Network, Traffic, seconds};

fn pending(network: &Network, machine: usize) -> usize {
    network.machines[machine].membership.as_ref().unwrap().pending_updates()
}

/// The traffic of so many settled members in 20 s.
fn at_rest(count: usize) -> Traffic {
    let mut network = Network::acquainted(count, 3);
    // What little news there is from the start has been passed on by then.
    network.run(seconds(60.0));
    assert!(network.running().all(|machine| pending(&network, machine) == 0));
    assert!(network.traffic.largest <= MAX_DATAGRAM_BYTES);
    network.traffic = Traffic::default();
    network.run(seconds(20.0));
    assert!(network.converged());
    network.traffic
}

#[test]
fn the_cost_at_rest_does_not_grow_with_members() {
    for count in [20, 760] {
        let traffic = at_rest(count);
        let per_second = |total: u64| total as f64 / count as f64 / 20.0;
        let datagrams = per_second(traffic.datagrams);
        let bytes = traffic.bytes as f64 / traffic.datagrams as f64;
        let wakes = per_second(traffic.wakes);
        println!("{count} members: {datagrams:.2} datagrams/s of {bytes:.0} bytes, {wakes:.2} wake-ups/s");
        // A ping and an answer each half second, and a digest each ten seconds.
        assert!(datagrams < 4.3, "{datagrams} datagrams per second");
        assert!(bytes < 100.0, "{bytes} bytes per datagram");
        assert!(wakes < 2.1, "{wakes} wake-ups per second");
        assert!(traffic.largest < 400, "{} bytes", traffic.largest);
    }
}

#[test]
fn a_wave_of_deaths_and_returns_stays_bounded() {
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
    println!("{per_second:.1} datagrams/s for each member in the wave");
    assert!(per_second < 16.0, "{per_second} datagrams per second");
    assert!(network.traffic.largest <= MAX_DATAGRAM_BYTES);
    network.run_until_true(seconds(20.0), "all back", Network::converged);
    for machine in 0..100 {
        assert!(network.membership(machine).members().count() == 100);
    }
}

#[test]
fn a_new_member_of_many_learns_all_soon() {
    let mut network = Network::settled(200, 5);
    network.kill(150);
    network.run(seconds(20.0));
    network.start(150);
    let time = network.run_until_true(seconds(5.0), "knows all", |network| {
        let alive = |machine: &usize| network.view(150, *machine) == Some(Status::Alive);
        network.running().filter(alive).count() == 200
    });
    println!("a new one of 200 knows all after {:.1} s", time.as_secs_f64());
}
