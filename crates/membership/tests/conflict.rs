//! Two processes under one name, as when a replaced machine wakes up.

use std::net::SocketAddr;

use juniperwing_clock::Time;
use juniperwing_membership::{
    Command, Datagram, Event, Incarnation, Member, MemberId, Membership, Message, Record, Role, RunId,
    Sequence, Settings, Status, Timings, encode,
};
use juniperwing_protocol::NodeName;

/// More rounds than any contradiction should take.
const ROUNDS: usize = 50;

fn member(node: &str, life: u64, address: &str) -> Member {
    let address: SocketAddr = address.parse().unwrap();
    let id = MemberId { node: NodeName::from(node), role: Role::Store };
    Member { id, run_id: RunId(life), zone: "a".into(), gossip_address: address, address, disk: None }
}

fn start(me: Member) -> Membership {
    let settings = Settings { local_member: me, seeds: Vec::new(), timings: Timings::default() };
    Membership::new(Time::default(), settings, 7).unwrap()
}

/// What a member says of itself, in its answer to a ping.
fn said_by(membership: &mut Membership) -> Record {
    let observer = member("observer", 9, "10.0.0.9:7382");
    let record = Record { member: observer, incarnation: Incarnation(0), status: Status::Alive };
    let bytes = encode(&record, &Message::Ping { sequence: Sequence(1) }, &[]);
    let from = record.member.gossip_address;
    let commands = membership.handle(Time::default(), Event::Datagram { from, bytes: &bytes });
    let mut sent = commands.into_iter().filter_map(|command| match command {
        Command::Send { bytes, .. } => Datagram::decode(&bytes).ok(),
        _ => None,
    });
    sent.find(|datagram| matches!(datagram.message, Message::Ack { .. })).expect("an answer").sender
}

/// Tells a member a record; the conflicts that it reports.
fn tell(membership: &mut Membership, record: &Record) -> Vec<Member> {
    let bytes = encode(record, &Message::Gossip, &[]);
    let from = record.member.gossip_address;
    let commands = membership.handle(Time::default(), Event::Datagram { from, bytes: &bytes });
    let conflicts = commands.into_iter().filter_map(|command| match command {
        Command::Conflict { duplicate } => Some(duplicate),
        _ => None,
    });
    conflicts.collect()
}

#[test]
fn two_processes_of_one_name_stop_contradicting_each_other_and_one_reports_it() {
    let mut old = start(member("store-1", 1, "10.0.0.1:7382"));
    let mut new = start(member("store-1", 2, "10.0.0.2:7382"));
    let mut conflicts = Vec::new();
    let mut last = Vec::new();
    for _ in 0..ROUNDS {
        let by_old = said_by(&mut old);
        conflicts.extend(tell(&mut new, &by_old));
        let by_new = said_by(&mut new);
        conflicts.extend(tell(&mut old, &by_new));
        last.push(by_old.incarnation.max(by_new.incarnation));
    }
    assert_eq!(conflicts.len(), 1, "{conflicts:?}");
    assert_eq!(last[ROUNDS / 2], last[ROUNDS - 1], "still contradicting");
}

#[test]
fn the_life_before_a_restart_is_contradicted_without_a_report() {
    let mut restarted = start(member("store-1", 1, "10.0.0.1:7382"));
    let before = member("store-1", 2, "10.0.0.1:7382");
    let held = Record { member: before, incarnation: Incarnation(4), status: Status::Alive };
    for _ in 0..ROUNDS {
        assert_eq!(tell(&mut restarted, &held), []);
    }
    assert_eq!(said_by(&mut restarted).incarnation, Incarnation(5));
}

#[test]
fn a_rival_that_is_suspected_is_contradicted_again() {
    let mut one = start(member("store-1", 1, "10.0.0.1:7382"));
    let rival = member("store-1", 2, "10.0.0.2:7382");
    for incarnation in 0..ROUNDS as u64 {
        let incarnation = Incarnation(incarnation);
        tell(&mut one, &Record { member: rival.clone(), incarnation, status: Status::Alive });
    }
    let dead = Record { member: rival, incarnation: Incarnation(ROUNDS as u64), status: Status::Dead };
    tell(&mut one, &dead);
    assert!(said_by(&mut one).incarnation > dead.incarnation);
}
