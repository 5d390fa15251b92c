//! Changes on the primary: proposal, write to all in-sync replicas, commit.

use juniperwing_clock::{Span, Time};
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::DiskId;
use juniperwing_protocol::replication::Version;

use super::Replica;
use crate::error::ProposeError;
use crate::interface::{Command, ProposeToken};
use crate::leadership::{InFlightWrite, MAX_PENDING_PROPOSALS, PendingProposal};
use crate::recent_changes::RetainedChange;
use crate::state::ReplicatedState;

/// The interval between two pauses of writes for a lagging replica.
const WRITE_PAUSE_INTERVAL: Span = Span::from_millis(5_000);

/// The length of such a pause, in units of [`crate::Timings::ack_timeout`].
const WRITE_PAUSE_ACK_TIMEOUTS: f64 = 1.5;

impl<S: ReplicatedState> Replica<S> {
    /// Queues a proposal, or rejects it if this keeper does not serve as primary or the queue is full.
    pub(super) fn handle_propose(
        &mut self, now: Time, token: ProposeToken, base: Version, change: S::Change,
    ) {
        let is_handing_over = self.find_successor(now).is_some();
        let error = match &mut self.leadership {
            Some(leadership) if is_handing_over || !leadership.has_served => ProposeError::NotPrimary,
            Some(leadership) if leadership.pending_proposals.len() >= MAX_PENDING_PROPOSALS => {
                ProposeError::Busy
            }
            Some(leadership) => {
                leadership.pending_proposals.push_back(PendingProposal {
                    token,
                    proposed_at: now,
                    base,
                    change,
                });
                return;
            }
            None => ProposeError::NotPrimary,
        };
        self.command(Command::ProposeCompleted { token, outcome: Err(error) });
    }

    /// Starts the next write, if none is in flight.
    pub(super) fn start_writes(&mut self, now: Time) {
        if self.find_successor(now).is_some() || self.must_pause_writes_for_lagging_replica(now) {
            return;
        }
        loop {
            let Some(leadership) = &mut self.leadership else { return };
            if !leadership.is_synchronized || leadership.in_flight_write.is_some() {
                return;
            }
            let Some(proposal) = leadership.pending_proposals.pop_front() else { return };
            if proposal.base == self.latest.version {
                self.start_write(now, proposal);
            } else {
                let outcome = Err(ProposeError::Conflict);
                self.command(Command::ProposeCompleted { token: proposal.token, outcome });
            }
        }
    }

    /// Applies a proposal locally and starts its replication.
    fn start_write(&mut self, now: Time, proposal: PendingProposal<S::Change>) {
        let base = self.latest.version;
        let epoch = self.acceptor.accepted.number;
        let version = Version { epoch, sequence: base.sequence + 1 };
        self.latest = self.latest.with_change(version, &proposal.change);
        self.persistence.mark_dirty();
        let Some(leadership) = &mut self.leadership else { return };
        leadership.in_flight_write =
            Some(InFlightWrite { token: Some(proposal.token), proposed_at: proposal.proposed_at, version });
        let change = S::encode_change(&proposal.change);
        leadership.recent_changes.push(RetainedChange { base, version, change }, self.latest.encoded.len());
        for peer in leadership.peers.values_mut() {
            peer.behind_since = Some(now);
        }
    }

    /// Whether the next write is delayed, so that a replica that is always a few changes behind can reach the
    /// newest version and join the in-sync set.
    fn must_pause_writes_for_lagging_replica(&self, now: Time) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let ack_timeout = self.settings.timings.ack_timeout;
        let is_in_pause = |since: Time| {
            let position = Span::from_nanos(now.since(since).as_nanos() % WRITE_PAUSE_INTERVAL.as_nanos());
            position >= ack_timeout && position < ack_timeout + ack_timeout.mul_f64(WRITE_PAUSE_ACK_TIMEOUTS)
        };
        leadership.peers.values().any(|peer| {
            let is_responsive = now.since(peer.last_reply_at) < ack_timeout;
            is_responsive && !peer.is_leaving(now) && peer.out_of_sync_since.is_some_and(is_in_pause)
        })
    }

    /// Whether there are enough in-sync replicas and all of them have the latest version on disk.
    fn is_replicated_to_all(&self) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let latest = self.latest.version;
        let in_sync = &self.acceptor.accepted.in_sync;
        let has_latest = |disk: &DiskId| {
            if *disk == self.local_disk() {
                return self.persistence.durable_version() == latest;
            }
            leadership.peers.get(disk).is_some_and(|peer| peer.durable_version == Some(latest))
        };
        in_sync.len() >= self.settings.min_in_sync_replicas && in_sync.iter().all(has_latest)
    }

    /// Commits the latest version once all in-sync replicas have it, and notifies the backups immediately.
    pub(super) fn commit_latest(&mut self, now: Time) {
        if !self.is_replicated_to_all() {
            return;
        }
        let Some(leadership) = &mut self.leadership else { return };
        let has_uncommitted = !leadership.is_synchronized || leadership.in_flight_write.is_some();
        if !has_uncommitted {
            return;
        }
        leadership.is_synchronized = true;
        leadership.has_served = true;
        leadership.heartbeat_at = now;
        self.check_durable();
        let Some(leadership) = &mut self.leadership else { return };
        let in_flight = leadership.in_flight_write.take();
        self.publish_latest();
        let Some(in_flight) = in_flight else { return };
        if let Some(token) = in_flight.token {
            self.command(Command::ProposeCompleted { token, outcome: Ok(in_flight.version) });
        }
    }

    /// Checks that the version to be committed is on this keeper's disk, and that every other in-sync replica
    /// has acknowledged it in this epoch.
    fn check_durable(&self) {
        let Some(leadership) = &self.leadership else { return };
        let latest = self.latest.version;
        let in_sync = &self.acceptor.accepted.in_sync;
        let acknowledged = leadership
            .peers
            .iter()
            .filter(|(disk, peer)| in_sync.contains(disk) && peer.durable_version == Some(latest));
        let replicas = 1 + acknowledged.count();
        let is_durable =
            self.persistence.durable_version() == latest && replicas >= self.settings.min_in_sync_replicas;
        check(Invariant::CommittedVersionIsDurable, is_durable && replicas == in_sync.len(), || {
            format!(
                "disk {}, version {latest:?}, {replicas} replicas, in sync {in_sync:?}",
                self.local_disk().0
            )
        });
    }
}
