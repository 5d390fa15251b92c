//! Members, and the order of what is said about one.

use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_protocol::{DiskId, NodeName};
use serde::{Deserialize, Serialize};

/// What a process does in the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Takes requests of clients and passes them on to endpoints.
    Relay,
    /// Holds configuration and discovery.
    Keeper,
    /// Keeps turns and budgets of programs.
    Store,
}

/// Names a member. A machine may run several roles, each of which is a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The machine.
    pub node: NodeName,
    /// The role that the process has on it.
    pub role: Role,
}

/// One run of a process, drawn when it starts. A restarted process has another life than the one before; a
/// process that was frozen has the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId(pub u64);

/// Counts how often a member has contradicted what was said of it. Only the member raises it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// What a member tells of itself. It stays the same during a life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub id: MemberId,
    /// This run of its process.
    pub run_id: RunId,
    /// Its zone.
    pub zone: Arc<str>,
    /// Where it takes datagrams of the membership protocol (UDP).
    pub gossip_address: SocketAddr,
    /// Where it takes the tier's own messages (TCP).
    pub address: SocketAddr,
    /// Its data directory, if it has one.
    pub disk: Option<DiskId>,
}

/// What is held to be the state of a member. Of two statements of one incarnation and life, the later status
/// in this list is the stronger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    Alive,
    /// It did not answer somebody, and may still refute that.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It said that it leaves.
    Left,
}

impl Status {
    /// Whether the member counts as there: alive, or suspect and not yet given up.
    pub fn is_live(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect)
    }
}

/// A statement about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Whom it is about.
    pub member: Member,
    /// The member's incarnation that it is about.
    pub incarnation: Incarnation,
    /// What is said.
    pub status: Status,
}

impl Record {
    /// Whether this replaces `other`, a statement about the same member. The order is total, so that all who
    /// have heard the same statements, in whatever order, hold the same one.
    pub fn supersedes(&self, other: &Record) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (Incarnation, RunId, Status) {
        (self.incarnation, self.member.run_id, self.status)
    }
}
