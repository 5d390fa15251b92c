//! Golden files: the encoding of the control state and of every change, on disk and between keepers, must
//! equal that of earlier releases.

#[path = "../../protocol/tests/golden_files/mod.rs"]
mod golden_files;

use std::net::{Ipv6Addr, SocketAddr};
use std::sync::Arc;

use golden_files::assert_golden;
use juniperwing_configuration::{DIGEST_BYTES, OrderDigest, digest};
use juniperwing_control::{ActiveConfiguration, ControlChange, ControlState};
use juniperwing_protocol::subscription::{Assignment, StoreMap, StoreNode};
use juniperwing_protocol::{DiskId, EpochNumber, NodeName};
use juniperwing_replication::ReplicatedState;

#[test]
fn every_state_has_its_golden_bytes() {
    let states = [("empty", ControlState::default()), ("filled", filled_state())];
    let decode = |bytes: &[u8]| ControlState::decode(bytes).expect("a state");
    assert_golden("golden/states", &states, ControlState::encode, decode);
}

#[test]
fn every_change_has_its_golden_bytes() {
    let decode = |bytes: &[u8]| ControlState::decode_change(bytes).expect("a change");
    assert_golden("golden/changes", &changes(), ControlState::encode_change, decode);
}

/// Orders are identified by their digests on disk, so these must not change either.
#[test]
fn the_digest_of_an_order_has_its_golden_bytes() {
    let orders = [("order", digest(320, br#"{"generation":7}"#))];
    let decode = |bytes: &[u8]| OrderDigest::from_bytes(bytes.try_into().expect("a digest"));
    assert_golden("golden/digests", &orders, |digest| digest.to_bytes().to_vec(), decode);
}

fn changes() -> Vec<(&'static str, ControlChange)> {
    vec![
        ("take-configuration", apply_configuration(41, 7, b"{\"generation\":7}")),
        ("refuse-configuration", ControlChange::RejectConfiguration(order_digest(42))),
        ("set-stores", ControlChange::SetStoreMap(Arc::new(store_map()))),
        ("begin-retirement", ControlChange::BeginRetirement(olive())),
        ("complete-retirement", ControlChange::CompleteRetirement(DiskId(21))),
    ]
}

/// A state with an active and a completed retirement, and with accepted and rejected orders.
fn filled_state() -> ControlState {
    let mut state = ControlState::default();
    let earlier_changes = [
        apply_configuration(43, 6, b"{\"generation\":6}"),
        ControlChange::BeginRetirement(maple()),
        ControlChange::RejectConfiguration(order_digest(44)),
    ];
    earlier_changes.iter().for_each(|change| state.apply(change));
    changes().iter().for_each(|(_, change)| state.apply(change));
    state
}

fn apply_configuration(order: u8, generation: u64, body: &[u8]) -> ControlChange {
    let configuration = ActiveConfiguration { generation, body: body.into() };
    ControlChange::ApplyConfiguration { digest: order_digest(order), configuration }
}

fn order_digest(order: u8) -> OrderDigest {
    let mut bytes = [order; DIGEST_BYTES];
    bytes[0] = 1;
    OrderDigest::from_bytes(bytes)
}

fn store_map() -> StoreMap {
    let assignment = |epoch, primary, lost_replicas| Assignment {
        epoch: EpochNumber(epoch),
        primary: DiskId(primary),
        in_sync: vec![DiskId(21), DiskId(22)],
        joining: vec![DiskId(24)],
        lost_replicas,
    };
    StoreMap {
        version: 350,
        stores: vec![maple(), olive()],
        partitions: vec![assignment(351, 21, 1), assignment(352, 22, 300)],
    }
}

fn maple() -> StoreNode {
    let address = SocketAddr::from(([10, 20, 30, 40], 9021));
    StoreNode { disk: DiskId(21), node: NodeName::from("maple"), zone: "north".into(), address }
}

fn olive() -> StoreNode {
    let address = SocketAddr::from((Ipv6Addr::new(0x2001, 0xdb8, 1, 2, 3, 4, 5, 6), 9022));
    StoreNode { disk: DiskId(22), node: NodeName::from("olive"), zone: "south".into(), address }
}
