//! One member, driven step by step: which members it pings, whose acks count, and which corrections it sends.

use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};
use juniperwing_membership::{
    Command, Datagram, Event, Incarnation, Member, MemberId, Membership, Message, Record, Role, RunId,
    Sequence, Settings, Status, Timings, encode,
};

const TARGET: &str = "10.0.0.2:7380";

fn record(name: &str, address: &str) -> Record {
    let address: SocketAddr = address.parse().unwrap();
    let member = Member {
        id: MemberId { node: name.into(), role: Role::Relay },
        run_id: RunId(7),
        zone: "osu-hall".into(),
        gossip_address: address,
        address,
        disk: None,
    };
    Record { member, incarnation: Incarnation(3), status: Status::Alive }
}

/// A member that knows one other member, at incarnation 3.
fn pair() -> Membership {
    let me = record("me", "10.0.0.1:7380").member;
    let settings = Settings { local_member: me, seeds: Vec::new(), timings: Timings::default() };
    let mut membership = Membership::new(Time::default(), settings, 1).unwrap();
    deliver(&mut membership, Time::default(), &record("target", TARGET), &Message::Gossip);
    membership
}

fn deliver(membership: &mut Membership, now: Time, sender: &Record, message: &Message) -> Vec<Datagram> {
    let bytes = encode(sender, message, &[]);
    let from = sender.member.gossip_address;
    datagrams(membership.handle(now, Event::Datagram { from, bytes: &bytes }))
}

fn datagrams(commands: Vec<Command>) -> Vec<Datagram> {
    let sent = commands.into_iter().filter_map(|command| match command {
        Command::Send { bytes, .. } => Some(Datagram::decode(&bytes).unwrap()),
        _ => None,
    });
    sent.collect()
}

fn ping(datagrams: &[Datagram]) -> Option<(Sequence, &Datagram)> {
    datagrams.iter().find_map(|datagram| match datagram.message {
        Message::Ping { sequence } => Some((sequence, datagram)),
        _ => None,
    })
}

/// Ticks every 50 ms until a ping is sent, and returns its sequence.
///
/// # Panics
///
/// If no ping is sent within a second.
fn tick_to_ping(membership: &mut Membership, now: &mut Time) -> Sequence {
    for _ in 0..20 {
        *now = *now + Span::from_millis(50);
        let sent = datagrams(membership.handle(*now, Event::Tick));
        if let Some((sequence, _)) = ping(&sent) {
            return sequence;
        }
    }
    panic!("no ping within a second");
}

fn status(membership: &Membership) -> Status {
    membership.members().find(|(member, _)| &*member.id.node.0 == "target").unwrap().1
}

#[test]
fn an_ack_counts_only_from_the_target() {
    for (name, expected) in [("target", Status::Alive), ("other", Status::Suspect)] {
        let (mut membership, mut now) = (pair(), Time::default());
        let sequence = tick_to_ping(&mut membership, &mut now);
        deliver(&mut membership, now, &record(name, TARGET), &Message::Ack { sequence });
        tick_to_ping(&mut membership, &mut now);
        assert_eq!(status(&membership), expected, "after an ack of {name}");
    }
}

#[test]
fn a_suspect_is_pinged_again_with_the_suspicion() {
    let (mut membership, mut now) = (pair(), Time::default());
    // Adds members, so that the probe round alone does not ping the suspect every time.
    tick_to_ping(&mut membership, &mut now);
    for name in ["one", "two", "three", "four"] {
        deliver(&mut membership, now, &record(name, "10.0.0.9:7380"), &Message::Gossip);
    }
    let mut ping_count = 0;
    for _ in 0..60 {
        now = now + Span::from_millis(50);
        let sent = datagrams(membership.handle(now, Event::Tick));
        let suspicion =
            |record: &Record| &*record.member.id.node.0 == "target" && record.status == Status::Suspect;
        let pings = sent.iter().filter(|datagram| matches!(datagram.message, Message::Ping { .. }));
        let first = pings.filter(|datagram| datagram.records.first().is_some_and(suspicion));
        ping_count += first.count();
    }
    // Two and a half seconds of suspicion; the round alone reaches each of the five once in that time.
    assert!(ping_count >= 4, "{ping_count} pings");
}

#[test]
fn a_member_with_an_outdated_record_of_itself_is_corrected_once() {
    let mut membership = pair();
    let mut restarted = record("target", TARGET);
    restarted.member.run_id = RunId(99);
    restarted.incarnation = Incarnation(0);
    let sent = deliver(&mut membership, Time::default(), &restarted, &Message::Gossip);
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].message, Message::Correction);
    assert_eq!(sent[0].records, [record("target", TARGET)]);
    let reply = deliver(&mut membership, Time::default(), &restarted, &Message::Correction);
    assert!(reply.is_empty(), "a correction is not replied to by another one");
}

#[test]
fn a_restarted_member_raises_its_incarnation_above_that_of_its_previous_run() {
    let mut membership = pair();
    let mut previous_run = record("me", "10.0.0.5:7380");
    previous_run.member.run_id = RunId(1);
    let bytes = encode(&record("target", TARGET), &Message::Correction, &[previous_run]);
    let from = TARGET.parse().unwrap();
    membership.handle(Time::default(), Event::Datagram { from, bytes: &bytes });
    let sequence = Sequence(1);
    let sent =
        deliver(&mut membership, Time::default(), &record("target", TARGET), &Message::Ping { sequence });
    assert_eq!(sent[0].sender.incarnation, Incarnation(4));
    assert_eq!(sent[0].sender.member.run_id, RunId(7));
}
