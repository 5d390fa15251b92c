//! Two processes under one name, as when a replaced machine resumes.

use std::net::SocketAddr;

use juniperwing_clock::Time;
use juniperwing_membership::{
    Command, Datagram, Event, Incarnation, Member, MemberId, Membership, Message, Record, Role, RunId,
    Sequence, Settings, Status, Timings, encode,
};
use juniperwing_protocol::NodeName;

/// The number of rounds of mutual refutation, larger than it takes until the conflict is reported.
const ROUNDS: usize = 50;

fn member(node: &str, run_id: u64, address: &str) -> Member {
    let address: SocketAddr = address.parse().unwrap();
    let id = MemberId { node: NodeName::from(node), role: Role::Store };
    Member { id, run_id: RunId(run_id), zone: "a".into(), gossip_address: address, address, disk: None }
}

fn start(me: Member) -> Membership {
    let settings = Settings { local_member: me, seeds: Vec::new(), timings: Timings::default() };
    Membership::new(Time::default(), settings, 7).unwrap()
}

/// A member's own record, from its ack of a ping.
fn own_record(membership: &mut Membership) -> Record {
    let observer = member("observer", 9, "10.0.0.9:7382");
    let record = Record { member: observer, incarnation: Incarnation(0), status: Status::Alive };
    let bytes = encode(&record, &Message::Ping { sequence: Sequence(1) }, &[]);
    let from = record.member.gossip_address;
    let commands = membership.handle(Time::default(), Event::Datagram { from, bytes: &bytes });
    let mut sent = commands.into_iter().filter_map(|command| match command {
        Command::Send { bytes, .. } => Datagram::decode(&bytes).ok(),
        _ => None,
    });
    sent.find(|datagram| matches!(datagram.message, Message::Ack { .. })).expect("an ack").sender
}

/// Sends a member a record, and returns the conflicts that it reports.
fn gossip(membership: &mut Membership, record: &Record) -> Vec<Member> {
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
fn two_processes_of_one_name_stop_refuting_each_other_and_one_reports_the_conflict() {
    let mut old = start(member("store-1", 1, "10.0.0.1:7382"));
    let mut new = start(member("store-1", 2, "10.0.0.2:7382"));
    let mut conflicts = Vec::new();
    let mut last = Vec::new();
    for _ in 0..ROUNDS {
        let by_old = own_record(&mut old);
        conflicts.extend(gossip(&mut new, &by_old));
        let by_new = own_record(&mut new);
        conflicts.extend(gossip(&mut old, &by_new));
        last.push(by_old.incarnation.max(by_new.incarnation));
    }
    assert_eq!(conflicts.len(), 1, "{conflicts:?}");
    assert_eq!(last[ROUNDS / 2], last[ROUNDS - 1], "still refuting each other");
}

#[test]
fn a_record_of_the_previous_run_is_refuted_without_a_report() {
    let mut restarted = start(member("store-1", 1, "10.0.0.1:7382"));
    let previous_run = member("store-1", 2, "10.0.0.1:7382");
    let record = Record { member: previous_run, incarnation: Incarnation(4), status: Status::Alive };
    for _ in 0..ROUNDS {
        assert_eq!(gossip(&mut restarted, &record), []);
    }
    assert_eq!(own_record(&mut restarted).incarnation, Incarnation(5));
}

#[test]
fn a_death_of_a_duplicate_process_is_refuted() {
    let mut one = start(member("store-1", 1, "10.0.0.1:7382"));
    let duplicate = member("store-1", 2, "10.0.0.2:7382");
    for incarnation in 0..ROUNDS as u64 {
        let incarnation = Incarnation(incarnation);
        gossip(&mut one, &Record { member: duplicate.clone(), incarnation, status: Status::Alive });
    }
    let dead = Record { member: duplicate, incarnation: Incarnation(ROUNDS as u64), status: Status::Dead };
    gossip(&mut one, &dead);
    assert!(own_record(&mut one).incarnation > dead.incarnation);
}
