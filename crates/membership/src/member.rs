//! Members, their records, and the precedence of records.

use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_protocol::{DiskId, NodeName};
use serde::{Deserialize, Serialize};

/// The role of a process in the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Forwards requests of clients to endpoints.
    Relay,
    /// Replicates the configuration and the registry of endpoints.
    Keeper,
    /// Stores turns and budgets of programs.
    Store,
}

/// The name of a member. A machine may run several roles, each of which is a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The machine.
    pub node: NodeName,
    /// The role of the process.
    pub role: Role,
}

/// Identifies one run of a process; a random number drawn at its start. A restarted process has a new run id, a process
/// that was paused keeps its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId(pub u64);

/// SWIM's incarnation number: raised by a member, and by nobody else, to refute a record of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// The description of a member. It does not change during a run of its process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the member.
    pub id: MemberId,
    /// The run of its process.
    pub run_id: RunId,
    /// The zone of its machine.
    pub zone: Arc<str>,
    /// UDP address for datagrams of the membership protocol.
    pub gossip_address: SocketAddr,
    /// TCP address for messages between processes of the tier.
    pub address: SocketAddr,
    /// The identity of its data directory, if it has one.
    pub disk: Option<DiskId>,
}

/// The state of a member. Of two records with the same incarnation and run id, the one with the later status in this
/// list takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// It replies to pings.
    Alive,
    /// It did not reply to some member, and may still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl Status {
    /// Whether the member is alive or suspect.
    pub fn is_live(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect)
    }
}

/// A record of a member's state, as exchanged between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The member.
    pub member: Member,
    /// The incarnation of the member to which the status applies.
    pub incarnation: Incarnation,
    /// The status of the member.
    pub status: Status,
}

impl Record {
    /// Whether this record replaces `other`, a record of the same member. The order is total, so members that have
    /// received the same records, in whatever order, agree.
    pub fn supersedes(&self, other: &Record) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (Incarnation, RunId, Status) {
        (self.incarnation, self.member.run_id, self.status)
    }
}
