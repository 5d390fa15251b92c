//! The acceptor's and the backup's side: promises, acceptances, writes, snapshots, heartbeats.

use std::net::SocketAddr;

use juniperwing_clock::Time;
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::{Epoch, NumberedChange, ReplicationBody, Version};

use crate::acceptor::is_bootstrap;
use crate::interface::Command;
use crate::replica::{Replica, Stage};
use crate::state::{ReplicatedState, Versioned};

/// The most contacts that are asked beside seeds and voters.
const MAX_CONTACTS: usize = 16;

impl<S: ReplicatedState> Replica<S> {
    /// Seeks office when no primary was heard for long; asks to be let in where that is of use.
    pub(crate) fn advance_following(&mut self, now: Time) {
        if now >= self.join_retry_at && self.must_request_join(now) {
            self.join_retry_at = now + self.settings.timings.join_interval;
            self.request_join();
            self.offer_bootstrap(now);
        }
        self.bootstrap(now);
        if now >= self.election_at && matches!(self.stage, Stage::Following) {
            self.election_at = now + self.draw_election_timeout();
            if self.is_eligible() {
                self.start_pre_vote(now);
            }
        }
    }

    /// Whether a primary, or a candidate that may become one, was heard of late.
    fn has_recent_primary(&self, now: Time) -> bool {
        let election_timeout = self.settings.timings.election_timeout;
        self.last_primary_contact_at.is_some_and(|at| now.since(at) < election_timeout)
    }

    /// Whether this keeper has to ask for a primary's attention: it is no voter, or may have been made none
    /// without hearing of it.
    pub(crate) fn must_request_join(&self, now: Time) -> bool {
        if self.is_shutting_down {
            return false;
        }
        !self.is_voter() || (!self.is_eligible() && !self.has_recent_primary(now))
    }

    /// Takes other contacts; a keeper that has to ask does so at once if there are new ones.
    pub(crate) fn set_contacts(&mut self, now: Time, mut contacts: Vec<SocketAddr>) {
        contacts.truncate(MAX_CONTACTS);
        let has_new = contacts.iter().any(|contact| !self.contacts.contains(contact));
        self.contacts = contacts;
        if has_new {
            self.join_retry_at = self.join_retry_at.min(now);
        }
    }

    /// Asks all keepers known to be let in.
    fn request_join(&mut self) {
        let mut addresses = self.settings.seeds.clone();
        addresses.extend(&self.contacts);
        addresses.extend(self.known_epoch.voters.iter().map(|voter| voter.address));
        addresses.sort_unstable();
        addresses.dedup();
        let own_address = self.settings.local_voter.address;
        let voter = self.local_voter();
        for address in addresses.into_iter().filter(|address| *address != own_address) {
            self.send(address, ReplicationBody::Join { voter: voter.clone() });
        }
    }

    pub(crate) fn handle_pre_vote(&mut self, now: Time, to: SocketAddr, number: EpochNumber) {
        let granted = match &self.stage {
            Stage::Primary => !self.has_majority(now),
            Stage::Candidate(election) => election.is_bootstrap_election(),
            Stage::Following | Stage::PreVote(_) => !self.has_recent_primary(now),
        };
        let epoch = self.known_epoch.clone();
        self.send(to, ReplicationBody::PreVoteReply { number, granted, epoch });
    }

    pub(crate) fn handle_prepare(&mut self, now: Time, to: SocketAddr, number: EpochNumber) {
        let promised = self.acceptor.promised;
        if number < promised {
            self.send(to, ReplicationBody::Rejected { promised });
            return;
        }
        if number > promised {
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

    pub(crate) fn handle_accept(&mut self, now: Time, to: SocketAddr, epoch: Epoch) {
        let number = epoch.number;
        let held = self.acceptor.accepted.number;
        let promised = self.acceptor.promised;
        if number < promised {
            self.send(to, ReplicationBody::Rejected { promised });
            return;
        }
        if is_bootstrap(number) && held != EpochNumber::default() && held != number {
            return;
        }
        if number != held {
            self.become_follower(now);
            self.accept_epoch(epoch);
        }
        self.last_primary_contact_at = Some(now);
        self.election_at = now + self.draw_election_timeout();
        self.send_when_durable(to, ReplicationBody::Accepted { number });
    }

    /// Takes a heartbeat in.
    pub(crate) fn handle_heartbeat(
        &mut self, now: Time, to: SocketAddr, epoch: Epoch, committed: Version, round: u64,
    ) {
        let number = epoch.number;
        let promised = self.acceptor.promised;
        if number < promised {
            self.send(to, ReplicationBody::Rejected { promised });
            return;
        }
        if number > self.acceptor.accepted.number {
            self.become_follower(now);
            self.accept_epoch(epoch);
        } else {
            self.commit_epoch();
        }
        self.stage = Stage::Following;
        self.last_primary_contact_at = Some(now);
        self.election_attempts = 0;
        self.election_at = now + self.draw_election_timeout();
        if committed == self.latest.version {
            self.publish_latest();
        }
        let version = Some(self.latest.version).filter(|_| self.persistence.is_up_to_date());
        self.send(to, ReplicationBody::HeartbeatReply { epoch: number, round, version });
        if version.is_none() {
            self.acknowledge_when_durable(to, number);
        }
        if self.is_shutting_down {
            self.send(to, ReplicationBody::Leave);
        }
    }

    /// Whether a write or snapshot of that epoch may be taken; its sender is told if not.
    fn accepts_write_from(&mut self, now: Time, to: SocketAddr, epoch: EpochNumber) -> bool {
        let promised = self.acceptor.promised;
        if epoch < promised {
            self.send(to, ReplicationBody::Rejected { promised });
        }
        let is_accepted = epoch == promised && epoch == self.acceptor.accepted.number;
        if is_accepted {
            self.last_primary_contact_at = Some(now);
        }
        is_accepted
    }

    /// Takes a write in. One that does not fit is answered with the version held, and a snapshot follows.
    pub(crate) fn handle_write(
        &mut self, now: Time, to: SocketAddr, epoch: EpochNumber, (base, version): (Version, Version),
        change: &[u8],
    ) {
        if !self.accepts_write_from(now, to, epoch) {
            return;
        }
        if base == self.latest.version {
            let Ok(change) = S::decode_change(change) else { return };
            // The primary begins a write only when what it builds on is committed.
            self.publish_latest();
            self.latest = self.latest.with_change(version, &change);
            self.persistence.mark_dirty();
        }
        self.acknowledge_when_durable(to, epoch);
    }

    /// Takes changes in that this keeper lacks. They are answered as writes are.
    pub(crate) fn handle_changes(
        &mut self, now: Time, to: SocketAddr, epoch: EpochNumber, base: Version, changes: &[NumberedChange],
    ) {
        if !self.accepts_write_from(now, to, epoch) {
            return;
        }
        if base == self.latest.version {
            let Ok(latest) = self.latest.with_changes(changes) else { return };
            // The primary began to write the first only when what it builds on was committed.
            self.publish_latest();
            self.latest = latest;
            self.persistence.mark_dirty();
        }
        self.acknowledge_when_durable(to, epoch);
    }

    /// Takes the whole state in, unless it is older than what this epoch has written here already.
    pub(crate) fn handle_snapshot(
        &mut self, now: Time, to: SocketAddr, epoch: EpochNumber, version: Version, state: Vec<u8>,
    ) {
        if !self.accepts_write_from(now, to, epoch) {
            return;
        }
        let held = self.latest.version;
        let is_late = held.epoch == epoch && version <= held;
        if version != held && !is_late {
            let Ok(latest) = Versioned::decode(version, state) else { return };
            self.latest = latest;
            self.persistence.mark_dirty();
        }
        self.acknowledge_when_durable(to, epoch);
    }

    fn acknowledge_when_durable(&mut self, to: SocketAddr, epoch: EpochNumber) {
        let version = self.latest.version;
        self.send_when_durable(to, ReplicationBody::WriteAck { epoch, version });
    }

    /// The latest state is committed.
    pub(crate) fn publish_latest(&mut self) {
        let version = self.latest.version;
        let published = self.committed.as_ref().map(|committed| committed.version);
        if published != Some(version) {
            check(Invariant::CommittedVersionNeverDecreases, published < Some(version), || {
                format!("disk {}, {version:?} after {published:?}", self.local_disk().0)
            });
            self.committed = Some(self.latest.clone());
            self.command(Command::Committed(version));
        }
    }
}
