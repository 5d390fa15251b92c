//! Backups: handling of the primary's heartbeats, writes and snapshots.

use std::net::SocketAddr;

use juniperwing_clock::Time;
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::{Epoch, NumberedChange, ReplicationBody, Version};

use super::{Replica, Stage};
use crate::interface::Command;
use crate::state::{ReplicatedState, Versioned};

impl<S: ReplicatedState> Replica<S> {
    /// Starts a pre-vote when the election timeout has passed; requests to join if necessary.
    pub(super) fn advance_following(&mut self, now: Time) {
        if now >= self.join_retry_at && self.must_request_join(now) {
            self.join_retry_at = now + self.settings.timings.join_interval;
            self.request_join();
            self.announce_seed(now);
        }
        self.bootstrap(now);
        if now >= self.election_at && matches!(self.stage, Stage::Following) {
            self.election_at = now + self.draw_election_timeout();
            if self.is_eligible() {
                self.start_pre_vote(now);
            }
        }
    }

    /// Follows the primary of an epoch that is not below the promised number, and replies with the durable
    /// version.
    pub(super) fn handle_heartbeat(
        &mut self, now: Time, to: SocketAddr, epoch: Epoch, committed: Version, round: u64,
    ) {
        let number = epoch.number;
        if self.reject_below_promise(to, number) {
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

    /// Whether a write or snapshot of that epoch may be applied. Replies with a rejection if the epoch is
    /// older than the promise.
    fn accepts_write_from(&mut self, now: Time, to: SocketAddr, epoch: EpochNumber) -> bool {
        if self.reject_below_promise(to, epoch) {
            return false;
        }
        let is_accepted = epoch == self.acceptor.promised && epoch == self.acceptor.accepted.number;
        if is_accepted {
            self.last_primary_contact_at = Some(now);
        }
        is_accepted
    }

    /// Applies a write whose base is the latest version. Any other write is answered with the version that
    /// this replica has, and the primary sends the missing changes.
    pub(super) fn handle_write(
        &mut self, now: Time, to: SocketAddr, epoch: EpochNumber, base: Version, version: Version,
        change: &[u8],
    ) {
        if !self.accepts_write_from(now, to, epoch) {
            return;
        }
        if base == self.latest.version {
            let Ok(change) = S::decode_change(change) else { return };
            // The primary starts a write only when its base is committed.
            self.publish_latest();
            self.latest = self.latest.with_change(version, &change);
            self.persistence.mark_dirty();
        }
        self.acknowledge_when_durable(to, epoch);
    }

    /// Applies several changes that this replica lacks. They are acknowledged like a write.
    pub(super) fn handle_changes(
        &mut self, now: Time, to: SocketAddr, epoch: EpochNumber, base: Version, changes: &[NumberedChange],
    ) {
        if !self.accepts_write_from(now, to, epoch) {
            return;
        }
        if base == self.latest.version {
            let Ok(latest) = self.latest.with_changes(changes) else { return };
            // The primary started to write the first change only when its base was committed.
            self.publish_latest();
            self.latest = latest;
            self.persistence.mark_dirty();
        }
        self.acknowledge_when_durable(to, epoch);
    }

    /// Replaces the state, unless the snapshot is not newer than a write of the same epoch that was applied
    /// here.
    pub(super) fn handle_snapshot(
        &mut self, now: Time, to: SocketAddr, epoch: EpochNumber, version: Version, state: Vec<u8>,
    ) {
        if !self.accepts_write_from(now, to, epoch) {
            return;
        }
        let current = self.latest.version;
        let is_late = current.epoch == epoch && version <= current;
        if version != current && !is_late {
            let Ok(latest) = Versioned::decode(version, state) else { return };
            self.latest = latest;
            self.persistence.mark_dirty();
        }
        self.acknowledge_when_durable(to, epoch);
    }

    /// Acknowledges the latest version once it is on disk.
    fn acknowledge_when_durable(&mut self, to: SocketAddr, epoch: EpochNumber) {
        let version = self.latest.version;
        self.send_when_durable(to, ReplicationBody::WriteAck { epoch, version });
    }

    /// Marks the latest state as committed.
    pub(super) fn publish_latest(&mut self) {
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
