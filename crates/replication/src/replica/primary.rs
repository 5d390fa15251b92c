//! Primaries: start and end of leadership, heartbeats and acknowledgements.

use juniperwing_clock::Time;
use juniperwing_protocol::replication::{ReplicationBody, Version, Voter, is_majority};
use juniperwing_protocol::{DiskId, EpochNumber};

use super::{Replica, Stage};
use crate::error::{ProposeError, ReadError};
use crate::interface::Command;
use crate::leadership::{Leadership, Peer};
use crate::state::ReplicatedState;

impl<S: ReplicatedState> Replica<S> {
    /// Becomes primary of the proposed epoch, which is chosen.
    pub(super) fn become_primary(&mut self, now: Time) {
        let Stage::Candidate(election) = &self.stage else { return };
        let promises = election.promises.clone();
        self.commit_epoch();
        let local_disk = self.local_disk();
        let leadership = self.leadership.get_or_insert_with(|| Leadership::new(now));
        leadership.enter_epoch(now, local_disk, &self.acceptor.accepted);
        // A keeper that has promised accepts no write of an older epoch, so it still has the version of its
        // promise.
        for (disk, version) in promises {
            if let Some(peer) = leadership.peers.get_mut(&disk) {
                peer.durable_version = Some(version);
                peer.last_reply_at = now;
            }
        }
        self.stage = Stage::Primary;
        self.election_attempts = 0;
        self.last_primary_contact_at = None;
    }

    /// Runs the work that is due on a primary: expiry, commits, writes, reads, epoch changes, heartbeats and
    /// transfers.
    pub(super) fn advance_primary(&mut self, now: Time) {
        // A late reply to a pre-vote may contain a higher epoch. This keeper may lack changes that were
        // acknowledged in it, so it must not change that epoch as if it were its own.
        let is_superseded = self.known_epoch.number > self.acceptor.accepted.number;
        if is_superseded || !self.has_majority(now) {
            self.become_follower(now);
            return;
        }
        self.expire_requests(now);
        self.commit_latest(now);
        self.start_writes(now);
        self.complete_reads();
        if self.change_epoch(now) {
            return;
        }
        let is_heartbeat_due =
            self.leadership.as_ref().is_some_and(|leadership| now >= leadership.heartbeat_at);
        if is_heartbeat_due {
            self.send_heartbeats(now);
            self.transfer_leadership(now);
        }
        self.catch_up(now);
    }

    /// Ends leadership. A write in flight may or may not take effect; pending proposals will not.
    pub(super) fn step_down(&mut self, now: Time) {
        let Some(leadership) = self.leadership.take() else { return };
        self.election_at = now + self.draw_election_timeout();
        if let Some(token) = leadership.in_flight_write.and_then(|in_flight| in_flight.token) {
            self.command(Command::ProposeCompleted { token, outcome: Err(ProposeError::Unknown) });
        }
        for proposal in leadership.pending_proposals {
            let outcome = Err(ProposeError::NotPrimary);
            self.command(Command::ProposeCompleted { token: proposal.token, outcome });
        }
        for read in leadership.pending_reads {
            self.command(Command::ReadCompleted { token: read.token, outcome: Err(ReadError::NotPrimary) });
        }
    }

    /// Whether a majority of voters has replied within the election timeout.
    pub(super) fn has_majority(&self, now: Time) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let election_timeout = self.settings.timings.election_timeout;
        let local_disk = self.local_disk();
        let is_responsive = |disk: DiskId| {
            leadership.peers.get(&disk).is_some_and(|peer| now.since(peer.last_reply_at) <= election_timeout)
        };
        is_majority(&self.known_epoch.voters, |disk| disk == local_disk || is_responsive(disk))
    }

    /// Starts a round of heartbeats.
    fn send_heartbeats(&mut self, now: Time) {
        let committed = self.committed.as_ref().map(|committed| committed.version).unwrap_or_default();
        let epoch = self.acceptor.accepted.clone();
        let Some(leadership) = &mut self.leadership else { return };
        leadership.heartbeat_round += 1;
        leadership.heartbeat_at = now + self.settings.timings.heartbeat_interval;
        let body = ReplicationBody::Heartbeat { epoch, committed, round: leadership.heartbeat_round };
        let peers: Vec<Voter> = leadership.peers.values().map(|peer| peer.voter.clone()).collect();
        self.send_all(&peers, &body);
    }

    /// Records the round of heartbeats that a replica has answered, and the version that it has on disk.
    pub(super) fn handle_heartbeat_reply(
        &mut self, now: Time, from: DiskId, epoch: EpochNumber, round: u64, version: Option<Version>,
    ) {
        let Some(peer) = self.peer_in_epoch(from, epoch) else { return };
        peer.last_reply_at = now;
        peer.acknowledged_round = peer.acknowledged_round.max(round);
        peer.durable_version = version.or(peer.durable_version);
    }

    /// Records the version that a replica has on disk.
    pub(super) fn handle_write_ack(&mut self, now: Time, from: DiskId, epoch: EpochNumber, version: Version) {
        let Some(peer) = self.peer_in_epoch(from, epoch) else { return };
        peer.last_reply_at = now;
        peer.durable_version = Some(version);
    }

    /// The peer with that disk, if this keeper is primary of that epoch and has no election in progress.
    fn peer_in_epoch(&mut self, disk: DiskId, epoch: EpochNumber) -> Option<&mut Peer> {
        let is_primary = matches!(self.stage, Stage::Primary) && epoch == self.acceptor.accepted.number;
        let leadership = self.leadership.as_mut().filter(|_| is_primary)?;
        leadership.peers.get_mut(&disk)
    }

    /// Completes proposals and reads that have waited longer than the request timeout.
    fn expire_requests(&mut self, now: Time) {
        let request_timeout = self.settings.timings.request_timeout;
        let is_expired = |since: Time| now.since(since) > request_timeout;
        let Some(leadership) = &mut self.leadership else { return };
        leadership.remove_former_peers(now, &self.acceptor.accepted);
        let mut outcomes = Vec::new();
        if let Some(in_flight) =
            leadership.in_flight_write.as_mut().filter(|in_flight| is_expired(in_flight.proposed_at))
        {
            let token = in_flight.token.take();
            let outcome = Err(ProposeError::Unknown);
            outcomes.extend(token.map(|token| Command::ProposeCompleted { token, outcome }));
        }
        while let Some(proposal) =
            leadership.pending_proposals.front().filter(|proposal| is_expired(proposal.proposed_at))
        {
            let outcome = Err(ProposeError::Unavailable);
            outcomes.push(Command::ProposeCompleted { token: proposal.token, outcome });
            leadership.pending_proposals.pop_front();
        }
        while let Some(read) = leadership.pending_reads.front().filter(|read| is_expired(read.requested_at)) {
            outcomes.push(Command::ReadCompleted { token: read.token, outcome: Err(ReadError::Unavailable) });
            leadership.pending_reads.pop_front();
        }
        outcomes.into_iter().for_each(|outcome| self.command(outcome));
    }
}
