//! Elections on the side of the acceptor: votes, promises, acceptances, and known epochs.

use std::net::SocketAddr;

use juniperwing_clock::Time;
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::{Epoch, ReplicationBody};

use super::{Replica, Stage};
use crate::epoch::{is_bootstrap, is_newer, is_same_epoch};
use crate::state::ReplicatedState;

impl<S: ReplicatedState> Replica<S> {
    /// Replies to a pre-vote. It is granted by a keeper that has had no contact with a primary, by a primary that
    /// has lost its majority, and by the bootstrap coordinator.
    pub(super) fn handle_pre_vote(&mut self, now: Time, to: SocketAddr, number: EpochNumber) {
        let granted = match &self.stage {
            Stage::Primary => !self.has_majority(now),
            Stage::Candidate(election) => election.is_bootstrap_election(),
            Stage::Following | Stage::PreVote(_) => !self.has_recent_primary(now),
        };
        let epoch = self.known_epoch.clone();
        self.send(to, ReplicationBody::PreVoteReply { number, granted, epoch });
    }

    /// Promises to accept no epoch below `number`, unless it has promised a higher number already.
    pub(super) fn handle_prepare(&mut self, now: Time, to: SocketAddr, number: EpochNumber) {
        if self.reject_below_promise(to, number) {
            return;
        }
        if number > self.acceptor.promised {
            self.become_follower(now);
            self.acceptor.promised = number;
            self.persistence.mark_dirty();
            self.last_primary_contact_at = Some(now);
            self.election_at = now + self.draw_election_timeout();
        }
        let accepted = self.acceptor.accepted.clone();
        let version = self.latest.version;
        self.send_when_durable(to, ReplicationBody::Promise { number, accepted, version });
    }

    /// Accepts an epoch that is not below the promise. A bootstrap epoch is accepted only by a keeper that
    /// has accepted no other epoch.
    pub(super) fn handle_accept(&mut self, now: Time, to: SocketAddr, epoch: Epoch) {
        let number = epoch.number;
        let accepted = self.acceptor.accepted.number;
        if self.reject_below_promise(to, number) {
            return;
        }
        if is_bootstrap(number) && accepted != EpochNumber::default() && accepted != number {
            return;
        }
        if number != accepted {
            self.become_follower(now);
            self.accept_epoch(epoch);
        }
        self.last_primary_contact_at = Some(now);
        self.election_at = now + self.draw_election_timeout();
        self.send_when_durable(to, ReplicationBody::Accepted { number });
    }

    /// Rejects a request for an epoch number below the promise. Returns whether it was rejected.
    pub(super) fn reject_below_promise(&mut self, to: SocketAddr, number: EpochNumber) -> bool {
        let promised = self.acceptor.promised;
        let is_rejected = number < promised;
        if is_rejected {
            self.send(to, ReplicationBody::Rejected { promised });
        }
        is_rejected
    }

    /// Whether a message of a primary, or of a candidate that may become primary, has arrived within the
    /// election timeout.
    pub(super) fn has_recent_primary(&self, now: Time) -> bool {
        let election_timeout = self.settings.timings.election_timeout;
        self.last_primary_contact_at.is_some_and(|at| now.since(at) < election_timeout)
    }

    /// Records an epoch that another keeper knows, if it is newer than the highest epoch known here.
    pub(super) fn observe_epoch(&mut self, epoch: &Epoch) {
        self.highest_number = self.highest_number.max(epoch.number);
        check(Invariant::EpochNumberIsUnique, is_same_epoch(epoch, &self.known_epoch), || {
            format!("disk {}, {epoch:?} and {:?}", self.local_disk().0, self.known_epoch)
        });
        if is_newer(epoch, &self.known_epoch) {
            self.known_epoch = epoch.clone();
        }
    }

    /// Accepts an epoch. Replies that depend on it must be deferred until it is on disk.
    pub(super) fn accept_epoch(&mut self, epoch: Epoch) {
        let min_number = self.acceptor.accepted.number.max(self.acceptor.promised);
        check(Invariant::EpochNeverDecreases, epoch.number >= min_number, || {
            format!("disk {}, epoch {} after {}", self.local_disk().0, epoch.number.0, min_number.0)
        });
        self.observe_epoch(&epoch);
        self.acceptor.promised = self.acceptor.promised.max(epoch.number);
        self.acceptor.accepted = epoch;
        self.persistence.mark_dirty();
    }

    /// Records that the accepted epoch is chosen: its previous voters take no further part in decisions.
    pub(super) fn commit_epoch(&mut self) {
        if !self.acceptor.accepted.previous_voters.is_empty() {
            self.acceptor.accepted.previous_voters = Vec::new();
            self.persistence.mark_dirty();
        }
        let accepted = self.acceptor.accepted.clone();
        self.observe_epoch(&accepted);
    }
}
