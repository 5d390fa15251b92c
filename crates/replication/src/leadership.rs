//! The state of a primary. It is retained when the primary changes its own epoch.

use std::collections::{BTreeMap, VecDeque};

use juniperwing_clock::Time;
use juniperwing_protocol::DiskId;
use juniperwing_protocol::replication::{Epoch, Version, Voter};

use crate::interface::{ProposeToken, ReadToken};
use crate::recent_changes::RecentChanges;
use crate::state_transfer::StateTransfer;

/// The number of proposals that may be pending.
pub(crate) const MAX_PENDING_PROPOSALS: usize = 64;

/// The number of reads that may be pending.
pub(crate) const MAX_PENDING_READS: usize = 1024;

/// The progress of another keeper, as the primary tracks it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Its identity and address.
    pub(crate) voter: Voter,
    /// The time of its last reply.
    pub(crate) last_reply_at: Time,
    /// The version that it has on disk, as acknowledged in the current epoch.
    pub(crate) durable_version: Option<Version>,
    /// The time since which it has lacked the primary's version.
    pub(crate) behind_since: Option<Time>,
    /// The time since which it has been out of the in-sync set without ever having the newest version.
    pub(crate) out_of_sync_since: Option<Time>,
    /// The changes or the snapshot in flight to it.
    pub(crate) transfer: Option<StateTransfer>,
    /// The newest round of heartbeats that it answered in the current epoch.
    pub(crate) acknowledged_round: u64,
    /// The time until which its last request to join is valid.
    pub(crate) join_requested_until: Time,
    /// The time until which its last request to leave is valid.
    pub(crate) leave_requested_until: Time,
}

impl Peer {
    /// A keeper that has not replied yet; its timeouts start at `now`.
    pub(crate) fn new(now: Time, voter: Voter) -> Self {
        Peer {
            voter,
            last_reply_at: now,
            durable_version: None,
            behind_since: None,
            out_of_sync_since: None,
            transfer: None,
            acknowledged_round: 0,
            join_requested_until: Time::default(),
            leave_requested_until: Time::default(),
        }
    }

    /// Whether it has requested to leave.
    pub(crate) fn is_leaving(&self, now: Time) -> bool {
        now < self.leave_requested_until
    }

    /// Whether it has requested to join.
    pub(crate) fn is_joining(&self, now: Time) -> bool {
        now < self.join_requested_until
    }
}

/// A change that is being replicated and is not committed yet.
#[derive(Clone, Debug)]
pub(crate) struct InFlightWrite {
    /// The proposal; `None` once its outcome has been reported.
    pub(crate) token: Option<ProposeToken>,
    /// When it was proposed.
    pub(crate) proposed_at: Time,
    /// The version that it produces.
    pub(crate) version: Version,
}

/// A queued proposal.
#[derive(Clone, Debug)]
pub(crate) struct PendingProposal<C> {
    pub(crate) token: ProposeToken,
    pub(crate) proposed_at: Time,
    /// The version that the change was computed on.
    pub(crate) base: Version,
    pub(crate) change: C,
}

/// A read that waits for a majority to answer a round of heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: ReadToken,
    pub(crate) requested_at: Time,
    /// The first round that began after the read.
    pub(crate) required_round: u64,
}

/// The state of a primary.
#[derive(Clone, Debug)]
pub(crate) struct Leadership<C> {
    /// The other voters, and the keepers that request to join.
    pub(crate) peers: BTreeMap<DiskId, Peer>,
    /// Whether all in-sync replicas have acknowledged the state in the current epoch.
    pub(crate) is_synchronized: bool,
    /// Whether `is_synchronized` has been true since this keeper became primary.
    pub(crate) has_served: bool,
    /// The newest round of heartbeats.
    pub(crate) heartbeat_round: u64,
    /// When the next heartbeat is due.
    pub(crate) heartbeat_at: Time,
    /// When to start an election for an epoch above a number that some voter has promised.
    pub(crate) new_epoch_at: Option<Time>,
    /// Whether this keeper prepares for shutdown and must transfer its leadership.
    pub(crate) is_handing_over: bool,
    /// The change that is being replicated.
    pub(crate) in_flight_write: Option<InFlightWrite>,
    /// The newest changes written since this keeper became primary.
    pub(crate) recent_changes: RecentChanges,
    /// The queued proposals, oldest first.
    pub(crate) pending_proposals: VecDeque<PendingProposal<C>>,
    /// The reads to be confirmed, oldest first.
    pub(crate) pending_reads: VecDeque<PendingRead>,
}

impl<C> Leadership<C> {
    /// The initial state of a primary.
    pub(crate) fn new(now: Time) -> Self {
        Leadership {
            peers: BTreeMap::new(),
            is_synchronized: false,
            has_served: false,
            heartbeat_round: 0,
            heartbeat_at: now,
            new_epoch_at: None,
            is_handing_over: false,
            in_flight_write: None,
            recent_changes: RecentChanges::default(),
            pending_proposals: VecDeque::new(),
            pending_reads: VecDeque::new(),
        }
    }

    /// Starts a new epoch; acknowledgements of older epochs no longer count.
    pub(crate) fn enter_epoch(&mut self, now: Time, local_disk: DiskId, epoch: &Epoch) {
        self.is_synchronized = false;
        self.new_epoch_at = None;
        self.heartbeat_at = now;
        for voter in epoch.voters.iter().filter(|voter| voter.disk != local_disk) {
            let peer = self.peers.entry(voter.disk).or_insert_with(|| Peer::new(now, voter.clone()));
            peer.voter = voter.clone();
        }
        for peer in self.peers.values_mut() {
            peer.durable_version = None;
            peer.transfer = None;
            peer.behind_since = None;
            peer.acknowledged_round = 0;
        }
        self.remove_former_peers(now, epoch);
        for read in &mut self.pending_reads {
            read.required_round = self.heartbeat_round + 1;
        }
    }

    /// Removes keepers that are not voters and do not request to join. A keeper that is leaving is retained
    /// long enough to be notified of the epoch without it.
    pub(crate) fn remove_former_peers(&mut self, now: Time, epoch: &Epoch) {
        let is_voter = |disk: &DiskId| epoch.voters.iter().any(|voter| voter.disk == *disk);
        self.peers.retain(|disk, peer| is_voter(disk) || peer.is_joining(now) || peer.is_leaving(now));
    }
}
