//! The primary's side: heartbeats, writes, reads, newcomers, handing over.

use std::collections::BTreeSet;

use juniperwing_clock::{Span, Time};
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::replication::{ReplicationBody, Version, Voter, is_majority};
use juniperwing_protocol::{DiskId, EpochNumber};

use crate::catch_up::RetainedChange;
use crate::error::{ProposeError, ReadError};
use crate::interface::{Command, ProposeToken, ReadToken};
use crate::leadership::{
    InFlightWrite, Leadership, MAX_PENDING_PROPOSALS, MAX_PENDING_READS, Peer, PendingProposal, PendingRead,
};
use crate::replica::{Replica, Stage};
use crate::settings::MAX_VOTERS;
use crate::state::ReplicatedState;

/// The most keepers that are heard at a time, voters and those that ask to be let in.
const MAX_PEERS: usize = 2 * MAX_VOTERS;

/// How many askings a keeper may miss before it counts as gone.
const JOIN_REQUEST_LIFETIME_INTERVALS: f64 = 4.0;

/// How often new writes wait for a replica that they outrun.
const WRITE_PAUSE_INTERVAL: Span = Span::from_millis(5_000);

/// How long they wait each time, in units of [`crate::Timings::confirm`].
const WRITE_PAUSE_ACK_TIMEOUTS: f64 = 1.5;

impl<S: ReplicatedState> Replica<S> {
    pub(crate) fn advance_primary(&mut self, now: Time) {
        // Told of a higher epoch by a late answer to a canvass, it may lack what was acknowledged in that one,
        // so it must not change it as its own.
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

    /// Leaves office: what was begun may come into force or not, what was not begun will not.
    pub(crate) fn step_down(&mut self, now: Time) {
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

    pub(crate) fn handle_propose(
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

    /// A read waits for a round of heartbeats that begins after it. While an earlier read's round is under way,
    /// the next begins when that one is answered, so many reads share one.
    pub(crate) fn handle_read(&mut self, now: Time, token: ReadToken) {
        let error = match &mut self.leadership {
            Some(leadership) if leadership.pending_reads.len() >= MAX_PENDING_READS => ReadError::Busy,
            Some(leadership) if leadership.has_served => {
                if leadership.pending_reads.is_empty() {
                    leadership.heartbeat_at = now;
                }
                leadership.pending_reads.push_back(PendingRead {
                    token,
                    requested_at: now,
                    required_round: leadership.heartbeat_round + 1,
                });
                return;
            }
            _ => ReadError::NotPrimary,
        };
        self.command(Command::ReadCompleted { token, outcome: Err(error) });
    }

    /// Seeks the office no more, and hands it over if it is held; a backup asks the primary to do without it.
    pub(crate) fn prepare_shutdown(&mut self, now: Time) {
        self.is_shutting_down = true;
        let Some(leadership) = &mut self.leadership else {
            if let Some(primary) = self.primary_address() {
                self.send(primary, ReplicationBody::Leave);
            }
            return;
        };
        leadership.is_handing_over = true;
        leadership.heartbeat_at = Time::default();
        if self.find_successor(now).is_none() {
            return;
        }
        let Some(leadership) = &mut self.leadership else { return };
        for proposal in std::mem::take(&mut leadership.pending_proposals) {
            let outcome = Err(ProposeError::NotPrimary);
            self.command(Command::ProposeCompleted { token: proposal.token, outcome });
        }
    }

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

    /// Whether every in-sync replica has the latest version on disk, and there are enough of them.
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

    /// Commits the latest version once all hold it, and tells the backups at once.
    fn commit_latest(&mut self, now: Time) {
        if !self.is_replicated_to_all() {
            return;
        }
        let Some(leadership) = &mut self.leadership else { return };
        let is_pending = !leadership.is_synchronized || leadership.in_flight_write.is_some();
        if !is_pending {
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

    /// What is committed now is on the own disk, and every in-sync replica but this one has said so in this epoch.
    fn check_durable(&self) {
        let Some(leadership) = &self.leadership else { return };
        let latest = self.latest.version;
        let in_sync = &self.acceptor.accepted.in_sync;
        let acknowledged = leadership
            .peers
            .iter()
            .filter(|(disk, peer)| in_sync.contains(disk) && peer.durable_version == Some(latest));
        let copies = 1 + acknowledged.count();
        let durable =
            self.persistence.durable_version() == latest && copies >= self.settings.min_in_sync_replicas;
        check(Invariant::CommittedVersionIsDurable, durable && copies == in_sync.len(), || {
            format!("disk {}, version {latest:?}, {copies} copies, in sync {in_sync:?}", self.local_disk().0)
        });
    }

    /// Begins the next write, if none is under way.
    fn start_writes(&mut self, now: Time) {
        if self.find_successor(now).is_some() || self.pauses_writes_for_laggard(now) {
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

    /// Whether the next write waits a moment, so that a replica that is always some changes behind can hold the
    /// newest one and be counted in sync.
    fn pauses_writes_for_laggard(&self, now: Time) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let ack_timeout = self.settings.timings.ack_timeout;
        let is_in_pause = |since: Time| {
            let position = Span::from_nanos(now.since(since).as_nanos() % WRITE_PAUSE_INTERVAL.as_nanos());
            position >= ack_timeout && position < ack_timeout + ack_timeout.mul_f64(WRITE_PAUSE_ACK_TIMEOUTS)
        };
        leadership.peers.values().any(|peer| {
            let is_responsive =
                now.since(peer.last_reply_at) < ack_timeout && now >= peer.leave_requested_until;
            is_responsive && peer.out_of_sync_since.is_some_and(is_in_pause)
        })
    }

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

    /// Begins a round of heartbeats.
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

    /// Who can take over from a primary that hands over: the in-sync replica that answered last. While there is
    /// none, the primary goes on as before, so that what it holds gets to other disks.
    fn find_successor(&self, now: Time) -> Option<&Peer> {
        let latest = self.latest.version;
        let in_sync = &self.acceptor.accepted.in_sync;
        let leadership = self.leadership.as_ref().filter(|leadership| leadership.is_handing_over)?;
        let can_take_over = |peer: &&Peer| {
            let is_responsive = now.since(peer.last_reply_at) < self.settings.timings.election_timeout;
            let is_current = peer.durable_version == Some(latest) || leadership.in_flight_write.is_some();
            in_sync.contains(&peer.voter.disk)
                && is_current
                && is_responsive
                && now >= peer.leave_requested_until
        };
        leadership.peers.values().filter(can_take_over).max_by_key(|peer| peer.last_reply_at)
    }

    /// Asks the successor to take over, once nothing is under way.
    fn transfer_leadership(&mut self, now: Time) {
        let epoch = self.acceptor.accepted.number;
        let is_idle = |leadership: &Leadership<S::Change>| {
            leadership.is_synchronized && leadership.in_flight_write.is_none()
        };
        let Some(successor) = self.find_successor(now) else { return };
        if self.leadership.as_ref().is_some_and(is_idle) {
            let to = successor.voter.address;
            self.send(to, ReplicationBody::TransferLeadership { epoch });
        }
    }

    /// A backup is about to end. It says so again as long as it runs.
    pub(crate) fn handle_leave_request(&mut self, now: Time, from: DiskId) {
        let leave_requested_until = now + self.settings.timings.voter_timeout;
        let Some(leadership) = &mut self.leadership else { return };
        let Some(peer) = leadership.peers.get_mut(&from) else { return };
        peer.leave_requested_until = leave_requested_until;
        peer.join_requested_until = Time::default();
    }

    pub(crate) fn handle_write_ack(&mut self, now: Time, from: DiskId, epoch: EpochNumber, version: Version) {
        let is_primary = matches!(self.stage, Stage::Primary) && epoch == self.acceptor.accepted.number;
        let Some(leadership) = self.leadership.as_mut().filter(|_| is_primary) else { return };
        let Some(peer) = leadership.peers.get_mut(&from) else { return };
        peer.last_reply_at = now;
        peer.durable_version = Some(version);
    }

    pub(crate) fn handle_heartbeat_reply(
        &mut self, now: Time, from: DiskId, epoch: EpochNumber, round: u64, version: Option<Version>,
    ) {
        let is_primary = matches!(self.stage, Stage::Primary) && epoch == self.acceptor.accepted.number;
        let Some(leadership) = self.leadership.as_mut().filter(|_| is_primary) else { return };
        let Some(peer) = leadership.peers.get_mut(&from) else { return };
        peer.last_reply_at = now;
        peer.acknowledged_round = peer.acknowledged_round.max(round);
        peer.durable_version = version.or(peer.durable_version);
    }

    /// Confirms the reads whose round a majority answered; begins the round of the next ones.
    fn complete_reads(&mut self) {
        let me = self.local_disk();
        let Some(leadership) = self.leadership.as_mut().filter(|leadership| leadership.is_synchronized)
        else {
            return;
        };
        let mut completed = Vec::new();
        while let Some(read) = leadership.pending_reads.front() {
            let acknowledging =
                leadership.peers.iter().filter(|(_, peer)| peer.acknowledged_round >= read.required_round);
            let mut responders: BTreeSet<DiskId> = acknowledging.map(|(disk, _)| *disk).collect();
            responders.insert(me);
            let is_round_started = read.required_round <= leadership.heartbeat_round;
            if !is_round_started
                || !is_majority(&self.acceptor.accepted.voters, |disk| responders.contains(&disk))
            {
                break;
            }
            completed.push(read.token);
            leadership.pending_reads.pop_front();
        }
        let has_later_read = leadership
            .pending_reads
            .front()
            .is_some_and(|read| read.required_round > leadership.heartbeat_round);
        if has_later_read {
            leadership.heartbeat_at = Time::default();
        }
        for token in completed {
            self.command(Command::ReadCompleted { token, outcome: Ok(()) });
        }
    }

    /// A voter promised a number above this epoch's. If nobody takes office under it, this primary seeks an
    /// epoch above it, so that the voter can follow again.
    pub(crate) fn schedule_new_epoch(&mut self, now: Time) {
        let delay =
            self.settings.timings.election_timeout.mul_f64(0.5) + self.jitter.below(Span::from_millis(100));
        let Some(leadership) = &mut self.leadership else { return };
        leadership.new_epoch_at.get_or_insert(now + delay);
    }

    /// Seeks a new epoch if the present one is not as it should be.
    fn change_epoch(&mut self, now: Time) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let plan = self.plan(now, leadership);
        let is_new_epoch_due = leadership.new_epoch_at.is_some_and(|at| now >= at);
        if self.find_successor(now).is_some() || !(is_new_epoch_due || self.differs_from_epoch(&plan)) {
            return false;
        }
        self.start_election(now, Some(plan));
        true
    }

    /// A keeper asks to be let in, or another passes its wish on.
    pub(crate) fn handle_join_request(&mut self, now: Time, from: DiskId, voter: Voter) {
        if voter.disk == self.local_disk() {
            return;
        }
        let join_requested_until =
            now + self.settings.timings.join_interval.mul_f64(JOIN_REQUEST_LIFETIME_INTERVALS);
        if let Some(leadership) = &mut self.leadership {
            if self.acceptor.accepted.voters.contains(&voter) {
                return;
            }
            if leadership.peers.len() >= MAX_PEERS && !leadership.peers.contains_key(&voter.disk) {
                return;
            }
            let peer = leadership.peers.entry(voter.disk).or_insert_with(|| Peer::new(now, voter.clone()));
            peer.voter = voter;
            peer.join_requested_until = join_requested_until;
            peer.leave_requested_until = Time::default();
            return;
        }
        // Passed on once only.
        if from == voter.disk
            && let Some(primary) = self.primary_address()
            && primary != voter.address
        {
            self.send(primary, ReplicationBody::Join { voter });
        }
    }
}
