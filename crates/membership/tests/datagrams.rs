//! Encoding of datagrams, and the handling of invalid and unexpected ones.

mod virtual_network;

use juniperwing_clock::{Span, Time};
use juniperwing_membership::{
    Command, Datagram, DecodeError, Event, Incarnation, MAX_DATAGRAM_BYTES, MAX_INCARNATION, MAX_MEMBERS,
    Member, MemberId, Membership, Message, Record, Role, RunId, Sequence, Settings, SettingsError, Status,
    Timings, WIRE_VERSION, encode,
};
use proptest::prelude::*;
use virtual_network::Network;

fn record(name: &str) -> Record {
    let member = Member {
        id: MemberId { node: name.into(), role: Role::Relay },
        run_id: RunId(7),
        zone: "osu-hall".into(),
        gossip_address: "10.1.0.38:7380".parse().unwrap(),
        address: "10.1.0.38:7381".parse().unwrap(),
        disk: None,
    };
    Record { member, incarnation: Incarnation(3), status: Status::Alive }
}

fn settings(name: &str) -> Settings {
    Settings { local_member: record(name).member, seeds: Vec::new(), timings: Timings::default() }
}

#[test]
fn a_datagram_round_trips_through_its_encoding() {
    let records: Vec<Record> = (0..5).map(|number| record(&format!("edge-{number}"))).collect();
    let message = Message::Ping { sequence: Sequence(9) };
    let bytes = encode(&record("me"), &message, &records);
    let datagram = Datagram { sender: record("me"), message, records };
    assert_eq!(Datagram::decode(&bytes), Ok(datagram));
}

#[test]
fn records_that_do_not_fit_are_omitted() {
    let records: Vec<Record> = (0..100).map(|number| record(&format!("edge-{number}"))).collect();
    let bytes = encode(&record("me"), &Message::Gossip, &records);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    let fitting = Datagram::decode(&bytes).unwrap().records;
    assert!(fitting.len() > 10);
    assert_eq!(fitting, records[..fitting.len()]);
}

#[test]
fn invalid_datagrams_are_rejected_with_the_reason() {
    let valid = encode(&record("me"), &Message::Gossip, &[]);
    assert_eq!(Datagram::decode(&[]), Err(DecodeError::Empty));
    let long = vec![WIRE_VERSION; MAX_DATAGRAM_BYTES + 1];
    assert_eq!(Datagram::decode(&long), Err(DecodeError::TooLarge { bytes: long.len() }));
    let mut other = valid.clone();
    other[0] = 9;
    assert_eq!(Datagram::decode(&other), Err(DecodeError::UnsupportedVersion { version: 9 }));
    let truncated = Datagram::decode(&valid[..valid.len() - 1]);
    assert!(matches!(truncated, Err(DecodeError::Malformed { .. })));
    let nameless = encode(&record(""), &Message::Gossip, &[]);
    assert_eq!(Datagram::decode(&nameless), Err(DecodeError::InvalidNameLength { bytes: 0 }));
    let mut implausible_record = record("me");
    implausible_record.incarnation = Incarnation(MAX_INCARNATION.0 + 1);
    let implausible = encode(&implausible_record, &Message::Gossip, &[]);
    assert!(matches!(Datagram::decode(&implausible), Err(DecodeError::ImplausibleIncarnation { .. })));
}

#[test]
fn an_invalid_datagram_is_reported_and_changes_nothing() {
    let mut network = Network::settled(3, 1);
    network.inject(0, "10.9.9.9:1".parse().unwrap(), b"hello");
    assert_eq!(network.machines[0].rejected, 1);
    assert!(network.has_converged());
}

#[test]
fn invalid_settings_are_rejected() {
    let now = Time::default();
    let nameless = Membership::new(now, settings(""), 1);
    assert!(matches!(nameless, Err(SettingsError::InvalidNameLength { field: "node", bytes: 0 })));
    let mut slow = settings("me");
    slow.timings.probe_timeout = Span::from_millis(900);
    assert!(matches!(Membership::new(now, slow, 1), Err(SettingsError::OutOfRange { .. })));
    let mut many = settings("me");
    many.seeds = vec!["10.0.0.1:1".parse().unwrap(); 17];
    assert!(matches!(Membership::new(now, many, 1), Err(SettingsError::TooManySeeds { count: 17 })));
}

#[test]
fn the_number_of_members_is_bounded() {
    let now = Time::default();
    let mut membership = Membership::new(now, settings("me"), 1).unwrap();
    let records: Vec<Record> = (0..MAX_MEMBERS + 100).map(|number| record(&format!("m-{number}"))).collect();
    for chunk in records.chunks(10) {
        let bytes = encode(&record("other"), &Message::Gossip, chunk);
        let from = "10.0.0.2:1".parse().unwrap();
        membership.handle(now, Event::Datagram { from, bytes: &bytes });
    }
    assert_eq!(membership.members().count(), MAX_MEMBERS);
}

/// Delivers a datagram and returns the number of datagrams sent in reply.
fn reply_count(membership: &mut Membership, bytes: &[u8]) -> usize {
    let from = "10.0.0.2:1".parse().unwrap();
    let commands = membership.handle(Time::default(), Event::Datagram { from, bytes });
    commands.iter().filter(|command| matches!(command, Command::Send { .. })).count()
}

fn any_record() -> impl Strategy<Value = Record> {
    let status =
        prop_oneof![Just(Status::Alive), Just(Status::Suspect), Just(Status::Dead), Just(Status::Left)];
    (0..4u8, 0..4u64, 0..3u64, status).prop_map(|(name, incarnation, run_id, status)| {
        let mut record = record(&format!("m-{name}"));
        record.incarnation = Incarnation(incarnation);
        record.member.run_id = RunId(run_id);
        record.status = status;
        record
    })
}

proptest! {
    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..1300)) {
        let _ = Datagram::decode(&bytes);
    }

    #[test]
    fn corrupt_datagrams_are_handled_or_rejected(
        records in prop::collection::vec(any_record(), 0..10),
        corruptions in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    ) {
        let mut bytes = encode(&record("other"), &Message::PageReply, &records);
        for (index, byte) in corruptions {
            let position = index.index(bytes.len());
            bytes[position] = byte;
        }
        let mut membership = Membership::new(Time::default(), settings("m-0"), 1).unwrap();
        prop_assert!(reply_count(&mut membership, &bytes) <= 20);
    }

    #[test]
    fn the_order_of_updates_does_not_matter(
        records in prop::collection::vec(any_record(), 1..12),
        seed in any::<u64>(),
    ) {
        // The death of an unknown member is ignored, so all members are made known first.
        let mut oldest: Vec<Record> = (0..4).map(|name| record(&format!("m-{name}"))).collect();
        for first in &mut oldest {
            first.incarnation = Incarnation(0);
            first.member.run_id = RunId(0);
        }
        let mut reordered = records.clone();
        let step = 1 + seed as usize % reordered.len();
        reordered.rotate_left(step % records.len());
        reordered.reverse();
        let views = [records, reordered].map(|records| {
            let mut membership = Membership::new(Time::default(), settings("me"), 1).unwrap();
            reply_count(&mut membership, &encode(&record("other"), &Message::Gossip, &oldest));
            reply_count(&mut membership, &encode(&record("other"), &Message::Gossip, &records));
            let mut view: Vec<(Member, Status)> =
                membership.members().map(|(member, status)| (member.clone(), status)).collect();
            view.sort_by(|(one, _), (other, _)| one.id.cmp(&other.id));
            view
        });
        let [one, other] = views;
        prop_assert_eq!(one, other);
    }
}
