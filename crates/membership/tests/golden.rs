//! Every datagram is encoded as in earlier releases.

#[path = "../../protocol/tests/golden_files/mod.rs"]
mod golden_files;

use std::net::{Ipv6Addr, SocketAddr};

use golden_files::assert_golden;
use juniperwing_membership::{
    Buckets, Datagram, HashRange, Incarnation, Member, MemberId, Message, Record, Role, RunId, Sequence,
    Status, encode,
};
use juniperwing_protocol::{DiskId, NodeName};

#[test]
fn every_datagram_has_its_golden_bytes() {
    let encode_datagram =
        |datagram: &Datagram| encode(&datagram.sender, &datagram.message, &datagram.records);
    let decode = |bytes: &[u8]| Datagram::decode(bytes).expect("a datagram");
    assert_golden("golden", &datagrams(), encode_datagram, decode);
}

fn datagrams() -> Vec<(&'static str, Datagram)> {
    let sequence = Sequence(70_001);
    let target = id("birch", Role::Store);
    let ping_request =
        Message::PingRequest { sequence: Sequence(70_002), target: target.clone(), address: ipv6(7302) };
    let range = HashRange { first: 0x0123_4567_89ab_cdef, last: u64::MAX };
    vec![
        ("ping", datagram(Message::Ping { sequence })),
        ("ack", datagram(Message::Ack { sequence })),
        ("ping-request", datagram(ping_request)),
        ("indirect-ack", datagram(Message::IndirectAck { sequence: Sequence(70_003), target })),
        ("gossip", datagram(Message::Gossip)),
        ("digest", datagram(Message::Digest { buckets: buckets() })),
        ("page", datagram(Message::Page { range, has_more: true })),
        ("answer", datagram(Message::PageReply)),
        ("correction", datagram(Message::Correction)),
    ]
}

fn datagram(message: Message) -> Datagram {
    Datagram { sender: sender(), message, records: records_of_every_role_and_status() }
}

fn sender() -> Record {
    record("alder", Role::Keeper, 1, Status::Alive)
}

fn records_of_every_role_and_status() -> Vec<Record> {
    let without_disk = |record: Record| {
        let member = Member { disk: None, ..record.member };
        Record { member, ..record }
    };
    vec![
        without_disk(record("cedar", Role::Relay, 2, Status::Alive)),
        record("elder", Role::Keeper, 3, Status::Suspect),
        record("fir", Role::Store, 4, Status::Dead),
        without_disk(record("hazel", Role::Relay, 5, Status::Left)),
    ]
}

fn buckets() -> Buckets {
    let mut buckets = Buckets::default();
    records_of_every_role_and_status().iter().for_each(|record| buckets.toggle(record));
    buckets
}

fn record(node: &str, role: Role, number: u16, status: Status) -> Record {
    let member = Member {
        id: id(node, role),
        run_id: RunId(0x1000_0000 + u64::from(number)),
        zone: format!("zone-{number}").into(),
        gossip_address: SocketAddr::from(([10, 20, 30, 40], 7400 + number)),
        address: ipv6(7500 + number),
        disk: Some(DiskId(0x2000_0000 + u64::from(number))),
    };
    Record { member, incarnation: Incarnation(600 + u64::from(number)), status }
}

fn id(node: &str, role: Role) -> MemberId {
    MemberId { node: NodeName::from(node), role }
}

fn ipv6(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv6Addr::new(0x2001, 0xdb8, 1, 2, 3, 4, 5, 6), port))
}
