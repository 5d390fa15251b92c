//! Epochs and replicated writes: what keepers tell each other to agree on who is primary and to copy state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::{DiskId, EpochNumber, NodeName};

/// A version of the replicated state: the epoch it was written in, then its place there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The epoch in which it was written.
    pub epoch: EpochNumber,
    /// Counts all writes ever, from 1.
    pub sequence: u64,
}

/// A keeper that takes part in the choice of epochs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    /// The identity of its disk, and so its own.
    pub disk: DiskId,
    /// Its machine.
    pub node: NodeName,
    /// Where it listens for the tier's own messages.
    pub address: SocketAddr,
}

/// Who is primary, who holds all that was acknowledged, and who decides on the next epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// Its number.
    pub number: EpochNumber,
    /// The keeper that alone takes writes.
    pub primary: DiskId,
    /// The keepers whose confirmation every write needs, the primary included.
    pub in_sync: Vec<DiskId>,
    /// The keepers of which more than half decide on the next epoch.
    pub voters: Vec<Voter>,
    /// The voters of the epoch before, of whom more than half must have accepted this one; empty as soon as
    /// that is known.
    pub previous_voters: Vec<Voter>,
}

/// Whether more than half of `voters` are present.
pub fn is_majority(voters: &[Voter], is_present: impl Fn(DiskId) -> bool) -> bool {
    let present = voters.iter().filter(|voter| is_present(voter.disk)).count();
    2 * present > voters.len()
}

impl Epoch {
    /// Whether those who are present may decide on what follows this epoch: a majority of its voters and, where it is
    /// not known to be chosen, of the voters before.
    pub fn is_quorum(&self, is_present: impl Fn(DiskId) -> bool) -> bool {
        let is_settled = self.previous_voters.is_empty();
        is_majority(&self.voters, &is_present)
            && (is_settled || is_majority(&self.previous_voters, &is_present))
    }
}

/// Between keepers. Every message names the disk that sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicationMessage {
    /// Who sends it.
    pub from: DiskId,
    /// Where the sender listens, for the answer.
    pub address: SocketAddr,
    /// What is said.
    pub body: ReplicationBody,
}

/// A change with the version that it makes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedChange {
    /// The version that it makes.
    pub version: Version,
    /// The change, encoded.
    pub change: Vec<u8>,
}

/// The messages of the epoch protocol and of primary-backup replication.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicationBody {
    /// Asks, before anything is promised, whether a candidate would be let through.
    PreVote {
        /// The number that the candidate would propose; pairs the answer with it.
        number: EpochNumber,
    },
    /// Answers [`ReplicationBody::Canvass`]; binds to nothing.
    PreVoteReply {
        /// The number asked about.
        number: EpochNumber,
        /// Whether no live primary was heard of late.
        granted: bool,
        /// The highest epoch known.
        epoch: Epoch,
    },
    /// The primary steps down and asks a backup to become a candidate at once.
    TransferLeadership {
        /// The primary's epoch.
        epoch: EpochNumber,
    },
    /// A candidate asks for a promise to accept nothing below `number`.
    Prepare {
        /// The epoch that it wants to propose.
        number: EpochNumber,
    },
    /// Promised, with the highest epoch accepted so far.
    Promise {
        /// The number promised.
        number: EpochNumber,
        /// The highest epoch accepted.
        accepted: Epoch,
        /// The version of the state held.
        version: Version,
    },
    /// A candidate asks that its epoch be accepted.
    Accept {
        /// The epoch.
        epoch: Epoch,
    },
    /// Accepted and on disk.
    Accepted {
        /// The epoch's number.
        number: EpochNumber,
    },
    /// A higher number was promised.
    Rejected {
        /// That number.
        promised: EpochNumber,
    },
    /// The primary writes a change.
    Write {
        /// Its epoch.
        epoch: EpochNumber,
        /// The version that the change builds on.
        base: Version,
        /// The version that it makes.
        version: Version,
        /// The change, encoded.
        change: Vec<u8>,
    },
    /// The primary sends the whole state.
    Snapshot {
        /// Its epoch.
        epoch: EpochNumber,
        /// The version of the state.
        version: Version,
        /// The state, encoded.
        state: Vec<u8>,
    },
    /// A replica has this version on disk.
    WriteAck {
        /// The epoch that it goes by.
        epoch: EpochNumber,
        /// The version.
        version: Version,
    },
    /// The primary is there, and this is committed.
    Heartbeat {
        /// Its epoch, whole, for those that lack it. It is chosen, so it has no `previous_voters`.
        epoch: Epoch,
        /// The newest committed version.
        committed: Version,
        /// Pairs the answer with a read that waits for it.
        round: u64,
    },
    /// Answers a heartbeat: no higher epoch was promised.
    HeartbeatReply {
        /// The heartbeat's epoch.
        epoch: EpochNumber,
        /// The heartbeat's round.
        round: u64,
        /// The version held on disk; `None` while something newer is on its way there.
        version: Option<Version>,
    },
    /// A keeper that is no voter asks to be let in.
    Join {
        /// It, as a voter.
        voter: Voter,
    },
    /// At the very first start: a seed tells its disk to the founder.
    Bootstrap {
        /// It, as a voter.
        voter: Voter,
    },
    /// The primary sends a replica that lags the changes it lacks, in a row.
    Changes {
        /// Its epoch.
        epoch: EpochNumber,
        /// The version that the first change builds on; each of the others builds on the one before.
        base: Version,
        /// The changes, oldest first.
        changes: Vec<NumberedChange>,
    },
    /// A backup is about to end: the primary shall do without its copy and its vote.
    Leave,
}
