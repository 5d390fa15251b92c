//! What a primary keeps while it is in office; survives its own changes of epoch.

use std::collections::{BTreeMap, VecDeque};

use juniperwing_clock::Time;
use juniperwing_protocol::DiskId;
use juniperwing_protocol::replication::{Epoch, Version, Voter};

use crate::catch_up::{RecentChanges, StateTransfer};
use crate::interface::{ProposeToken, ReadToken};

/// The most proposals that wait.
pub(crate) const MAX_PENDING_PROPOSALS: usize = 64;

/// The most reads that wait.
pub(crate) const MAX_PENDING_READS: usize = 1024;

/// What the primary knows of another keeper.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Who it is.
    pub(crate) voter: Voter,
    /// When it last answered.
    pub(crate) last_reply_at: Time,
    /// The version that it has on disk, as it said in this epoch.
    pub(crate) durable_version: Option<Version>,
    /// Since when it has lacked the primary's version.
    pub(crate) behind_since: Option<Time>,
    /// Since when it has been out of sync and lacked each newest version.
    pub(crate) out_of_sync_since: Option<Time>,
    /// What was last sent to it.
    pub(crate) transfer: Option<StateTransfer>,
    /// The newest round of heartbeats that it answered in this epoch.
    pub(crate) acknowledged_round: u64,
    /// Until when it asks to be let in.
    pub(crate) join_requested_until: Time,
    /// Until when it counts as about to end.
    pub(crate) leave_requested_until: Time,
}

impl Peer {
    /// A keeper of which nothing is known yet.
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
}

/// A change that was written and is not committed yet.
#[derive(Clone, Debug)]
pub(crate) struct InFlightWrite {
    /// The proposal, unless its outcome was told already.
    pub(crate) token: Option<ProposeToken>,
    /// When it was proposed.
    pub(crate) proposed_at: Time,
    /// The version that it makes.
    pub(crate) version: Version,
}

/// A change that waits for its turn.
#[derive(Clone, Debug)]
pub(crate) struct PendingProposal<C> {
    pub(crate) token: ProposeToken,
    pub(crate) proposed_at: Time,
    pub(crate) base: Version,
    pub(crate) change: C,
}

/// A read that waits for a majority to answer a round of heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: ReadToken,
    pub(crate) requested_at: Time,
    pub(crate) required_round: u64,
}

/// A primary's book.
#[derive(Clone, Debug)]
pub(crate) struct Leadership<C> {
    /// The other voters, and those that ask to be let in.
    pub(crate) peers: BTreeMap<DiskId, Peer>,
    /// Whether all in-sync replicas hold the state, in this epoch.
    pub(crate) is_synchronized: bool,
    /// Whether `synced` was ever reached in this office.
    pub(crate) has_served: bool,
    /// The newest round of heartbeats.
    pub(crate) heartbeat_round: u64,
    /// When the next heartbeat is due.
    pub(crate) heartbeat_at: Time,
    /// When an epoch above a number that some voter promised is to be sought.
    pub(crate) new_epoch_at: Option<Time>,
    /// Whether it hands over.
    pub(crate) is_handing_over: bool,
    /// The change that is being written.
    pub(crate) in_flight_write: Option<InFlightWrite>,
    /// The newest changes made in this office.
    pub(crate) recent_changes: RecentChanges,
    /// The changes that wait.
    pub(crate) pending_proposals: VecDeque<PendingProposal<C>>,
    /// The reads that wait, oldest first.
    pub(crate) pending_reads: VecDeque<PendingRead>,
}

impl<C> Leadership<C> {
    /// An empty book.
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

    /// Starts on a new epoch: what was confirmed in an older one counts no more.
    pub(crate) fn enter_epoch(&mut self, now: Time, me: DiskId, epoch: &Epoch) {
        self.is_synchronized = false;
        self.new_epoch_at = None;
        self.heartbeat_at = now;
        for voter in epoch.voters.iter().filter(|voter| voter.disk != me) {
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

    /// Drops keepers that are no voters and ask no more. One that leaves has yet to hear that it may.
    pub(crate) fn remove_former_peers(&mut self, now: Time, epoch: &Epoch) {
        let is_voter = |disk: &DiskId| epoch.voters.iter().any(|voter| voter.disk == *disk);
        self.peers.retain(|disk, peer| {
            is_voter(disk) || now < peer.join_requested_until || now < peer.leave_requested_until
        });
    }
}
