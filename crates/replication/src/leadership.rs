//! What a primary keeps while it is in office; survives its own changes of epoch.

use std::collections::{BTreeMap, VecDeque};

use juniperwing_clock::Time;
use juniperwing_protocol::DiskId;
use juniperwing_protocol::replication::{Epoch, Version, Voter};

use crate::catch_up::{Changes, Shipment};
use crate::interface::{ProposeToken, ReadToken};

/// The most proposals that wait.
pub(crate) const MAX_PROPOSALS: usize = 64;

/// The most reads that wait.
pub(crate) const MAX_READS: usize = 1024;

/// What the primary knows of another keeper.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Who it is.
    pub(crate) voter: Voter,
    /// When it last answered.
    pub(crate) last_answer: Time,
    /// The version that it has on disk, as it said in this epoch.
    pub(crate) held: Option<Version>,
    /// Since when it has lacked the primary's version.
    pub(crate) behind_since: Option<Time>,
    /// Since when it has been out of sync and lacked each newest version.
    pub(crate) lags_since: Option<Time>,
    /// What was last sent to it.
    pub(crate) sent: Option<Shipment>,
    /// The newest round of heartbeats that it answered in this epoch.
    pub(crate) answered_round: u64,
    /// Until when it asks to be let in.
    pub(crate) asks_until: Time,
    /// Until when it counts as about to end.
    pub(crate) leaves_until: Time,
}

impl Peer {
    /// A keeper of which nothing is known yet.
    pub(crate) fn new(now: Time, voter: Voter) -> Self {
        Peer {
            voter,
            last_answer: now,
            held: None,
            behind_since: None,
            lags_since: None,
            sent: None,
            answered_round: 0,
            asks_until: Time::default(),
            leaves_until: Time::default(),
        }
    }
}

/// A change that was written and is not committed yet.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    /// The proposal, unless its outcome was told already.
    pub(crate) token: Option<ProposeToken>,
    /// When it was proposed.
    pub(crate) proposed: Time,
    /// The version that it makes.
    pub(crate) version: Version,
}

/// A change that waits for its turn.
#[derive(Clone, Debug)]
pub(crate) struct Proposal<C> {
    pub(crate) token: ProposeToken,
    pub(crate) proposed: Time,
    pub(crate) base: Version,
    pub(crate) change: C,
}

/// A read that waits for a majority to answer a round of heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: ReadToken,
    pub(crate) asked: Time,
    pub(crate) round: u64,
}

/// A primary's book.
#[derive(Clone, Debug)]
pub(crate) struct Office<C> {
    /// The other voters, and those that ask to be let in.
    pub(crate) peers: BTreeMap<DiskId, Peer>,
    /// Whether all in-sync replicas hold the state, in this epoch.
    pub(crate) synced: bool,
    /// Whether `synced` was ever reached in this office.
    pub(crate) serves: bool,
    /// The newest round of heartbeats.
    pub(crate) round: u64,
    /// When the next heartbeat is due.
    pub(crate) heartbeat_at: Time,
    /// When an epoch above a number that some voter promised is to be sought.
    pub(crate) outbid_at: Option<Time>,
    /// Whether it hands over.
    pub(crate) hands_over: bool,
    /// The change that is being written.
    pub(crate) in_flight: Option<InFlight>,
    /// The newest changes made in this office.
    pub(crate) changes: Changes,
    /// The changes that wait.
    pub(crate) queue: VecDeque<Proposal<C>>,
    /// The reads that wait, oldest first.
    pub(crate) reads: VecDeque<PendingRead>,
}

impl<C> Office<C> {
    /// An empty book.
    pub(crate) fn new(now: Time) -> Self {
        Office {
            peers: BTreeMap::new(),
            synced: false,
            serves: false,
            round: 0,
            heartbeat_at: now,
            outbid_at: None,
            hands_over: false,
            in_flight: None,
            changes: Changes::default(),
            queue: VecDeque::new(),
            reads: VecDeque::new(),
        }
    }

    /// Starts on a new epoch: what was confirmed in an older one counts no more.
    pub(crate) fn enter(&mut self, now: Time, me: DiskId, epoch: &Epoch) {
        self.synced = false;
        self.outbid_at = None;
        self.heartbeat_at = now;
        for voter in epoch.voters.iter().filter(|voter| voter.disk != me) {
            let peer = self.peers.entry(voter.disk).or_insert_with(|| Peer::new(now, voter.clone()));
            peer.voter = voter.clone();
        }
        for peer in self.peers.values_mut() {
            peer.held = None;
            peer.sent = None;
            peer.behind_since = None;
            peer.answered_round = 0;
        }
        self.forget_strangers(now, epoch);
        for read in &mut self.reads {
            read.round = self.round + 1;
        }
    }

    /// Drops keepers that are no voters and ask no more. One that leaves has yet to hear that it may.
    pub(crate) fn forget_strangers(&mut self, now: Time, epoch: &Epoch) {
        let is_voter = |disk: &DiskId| epoch.voters.iter().any(|voter| voter.disk == *disk);
        self.peers.retain(|disk, peer| is_voter(disk) || now < peer.asks_until || now < peer.leaves_until);
    }
}
