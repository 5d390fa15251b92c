//! The machines of the simulated network.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};

use juniperwing_clock::Time;
use juniperwing_membership::{Member, MemberId, Membership, Role, RunId, Status};

/// A machine with its process.
pub struct Machine {
    /// The member, while the process runs.
    pub membership: Option<Membership>,
    /// The local member, as passed to the process at its start.
    pub me: Member,
    /// Whether it is paused; datagrams queue in its socket.
    pub is_paused: bool,
    /// Deaths that it has reported.
    pub deaths: Vec<MemberId>,
    /// All changes that it has reported.
    pub changes: Vec<(Member, Status)>,
    /// Number of datagrams rejected.
    pub rejected: usize,
    /// Other processes under its name that it has reported.
    pub conflicts: Vec<Member>,
    pub(super) socket: VecDeque<(SocketAddr, Vec<u8>)>,
    pub(super) wake_at: Time,
    pub(super) run: u64,
}

/// The address of a machine.
pub(super) fn address(number: usize) -> SocketAddr {
    let [high, low, ..] = (number as u16).to_be_bytes();
    (Ipv4Addr::new(10, 0, high, low), 7380).into()
}

/// The member of a machine: the first three are keepers, some of the others stores.
pub(super) fn member(number: usize) -> Member {
    let role = match number {
        0..3 => Role::Keeper,
        _ if number.is_multiple_of(10) => Role::Store,
        _ => Role::Relay,
    };
    Member {
        id: MemberId { node: format!("edge-neihu-a-{number}").as_str().into(), role },
        run_id: RunId(0),
        zone: "neihu-a".into(),
        gossip_address: address(number),
        address: address(number),
        disk: None,
    }
}
