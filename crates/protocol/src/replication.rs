//! Messages between keepers: election of epochs, and primary-backup replication of the control state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::{DiskId, EpochNumber, NodeName};

/// A version of the replicated state, ordered by epoch and then by sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The epoch of the write.
    pub epoch: EpochNumber,
    /// The sequence number of the write, counted from 1 over all epochs.
    pub sequence: u64,
}

/// A keeper that votes on epochs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    /// The identity of its disk, which identifies the keeper.
    pub disk: DiskId,
    /// Its machine.
    pub node: NodeName,
    /// Where it listens for messages between processes of the tier.
    pub address: SocketAddr,
}

/// A configuration of the replica set: the primary, the in-sync replicas, and the voters on the next epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// Its number.
    pub number: EpochNumber,
    /// The only keeper that accepts writes.
    pub primary: DiskId,
    /// The keepers that must acknowledge every write, the primary included. Each holds every acknowledged write.
    pub in_sync: Vec<DiskId>,
    /// The keepers whose majority decides on the next epoch.
    pub voters: Vec<Voter>,
    /// The voters of the previous epoch, a majority of whom must accept this one too (joint consensus); empty once this
    /// epoch is known to be chosen.
    pub previous_voters: Vec<Voter>,
}

/// Whether a majority of `voters` is present.
pub fn is_majority(voters: &[Voter], is_present: impl Fn(DiskId) -> bool) -> bool {
    let present = voters.iter().filter(|voter| is_present(voter.disk)).count();
    2 * present > voters.len()
}

impl Epoch {
    /// Whether the present keepers are a quorum for the next epoch: a majority of this epoch's voters and, while this
    /// epoch is not known to be chosen, of the previous voters.
    pub fn is_quorum(&self, is_present: impl Fn(DiskId) -> bool) -> bool {
        let is_chosen = self.previous_voters.is_empty();
        is_majority(&self.voters, &is_present)
            && (is_chosen || is_majority(&self.previous_voters, &is_present))
    }
}

/// A message between keepers with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicationMessage {
    /// The sender's disk.
    pub from: DiskId,
    /// The address for replies.
    pub address: SocketAddr,
    /// The message itself.
    pub body: ReplicationBody,
}

/// A change with the version that results from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedChange {
    /// The version after the change.
    pub version: Version,
    /// The change, encoded.
    pub change: Vec<u8>,
}

/// The messages of the epoch protocol and of primary-backup replication.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicationBody {
    /// Pre-vote: queries whether an election could succeed, without a promise, so that a keeper that was partitioned
    /// does not depose a healthy primary.
    PreVote {
        /// The epoch number that the candidate would propose; identifies the reply.
        number: EpochNumber,
    },
    /// Reply to [`ReplicationBody::PreVote`]; not binding.
    PreVoteReply {
        /// The number of the request.
        number: EpochNumber,
        /// Whether the sender has had no recent heartbeat of a primary.
        granted: bool,
        /// The highest epoch known to the sender.
        epoch: Epoch,
    },
    /// The primary steps down and requests a backup to start an election at once.
    TransferLeadership {
        /// The primary's epoch.
        epoch: EpochNumber,
    },
    /// Phase 1 of an election: requests a promise to accept nothing below `number`.
    Prepare {
        /// The number of the epoch that the candidate will propose.
        number: EpochNumber,
    },
    /// Reply to [`ReplicationBody::Prepare`], with the highest epoch accepted so far. The promise is on disk.
    Promise {
        /// The promised number.
        number: EpochNumber,
        /// The highest accepted epoch.
        accepted: Epoch,
        /// The version of the sender's state.
        version: Version,
    },
    /// Phase 2 of an election: proposes an epoch.
    Accept {
        /// The epoch.
        epoch: Epoch,
    },
    /// Reply to [`ReplicationBody::Accept`]. The accepted epoch is on disk.
    Accepted {
        /// The epoch's number.
        number: EpochNumber,
    },
    /// Negative reply to `Prepare` or `Accept`: a higher number was promised.
    Rejected {
        /// The promised number.
        promised: EpochNumber,
    },
    /// The primary replicates a change.
    Write {
        /// The primary's epoch.
        epoch: EpochNumber,
        /// The version that the change is based on.
        base: Version,
        /// The version after the change.
        version: Version,
        /// The change, encoded.
        change: Vec<u8>,
    },
    /// The primary sends the complete state to a lagging replica.
    Snapshot {
        /// The primary's epoch.
        epoch: EpochNumber,
        /// The version of the state.
        version: Version,
        /// The state, encoded.
        state: Vec<u8>,
    },
    /// Acknowledges a write: the replica has this version on disk.
    WriteAck {
        /// The replica's epoch.
        epoch: EpochNumber,
        /// The version.
        version: Version,
    },
    /// Heartbeat of the primary: receivers postpone their elections and learn the committed version.
    Heartbeat {
        /// The complete epoch, for replicas that lack it. It is chosen, so it has no `previous_voters`.
        epoch: Epoch,
        /// The newest committed version.
        committed: Version,
        /// The heartbeat's round, which identifies its replies. A read waits for a round that began after the read.
        round: u64,
    },
    /// Reply to [`ReplicationBody::Heartbeat`]: the sender has promised no higher epoch.
    HeartbeatReply {
        /// The heartbeat's epoch.
        epoch: EpochNumber,
        /// The heartbeat's round.
        round: u64,
        /// The version on the sender's disk; `None` while a newer one is being written.
        version: Option<Version>,
    },
    /// A keeper without a vote requests to join the replica set.
    Join {
        /// The sender, as a voter.
        voter: Voter,
    },
    /// During bootstrap: a seed reports its disk to the bootstrap coordinator.
    Bootstrap {
        /// The sender, as a voter.
        voter: Voter,
    },
    /// The primary sends the missing changes, which are consecutive, to a lagging replica.
    Changes {
        /// The primary's epoch.
        epoch: EpochNumber,
        /// The version that the first change is based on; each later one is based on its predecessor.
        base: Version,
        /// The changes, oldest first.
        changes: Vec<NumberedChange>,
    },
    /// A backup is about to shut down and requests to be removed from the in-sync replicas and the voters.
    Leave,
}
