//! The primary's side: heartbeats, writes, reads, newcomers, handing over.

use std::collections::BTreeSet;

use juniperwing_clock::{Span, Time};
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::replication::{ReplicationBody, Version, Voter, is_majority};
use juniperwing_protocol::{DiskId, EpochNumber};

use crate::catch_up::Made;
use crate::error::{ProposeError, ReadError};
use crate::interface::{Command, ProposeToken, ReadToken};
use crate::leadership::{InFlight, MAX_PROPOSALS, MAX_READS, Office, Peer, PendingRead, Proposal};
use crate::replica::{Replica, Stage};
use crate::settings::MAX_VOTERS;
use crate::state::ReplicatedState;

/// The most keepers that are heard at a time, voters and those that ask to be let in.
const MAX_PEERS: usize = 2 * MAX_VOTERS;

/// How many askings a keeper may miss before it counts as gone.
const ASKINGS: f64 = 4.0;

/// How often new writes wait for a replica that they outrun.
const HOLD_EVERY: Span = Span::from_millis(5_000);

/// How long they wait each time, in units of [`crate::Timings::confirm`].
const HOLD: f64 = 1.5;

impl<S: ReplicatedState> Replica<S> {
    pub(crate) fn advance_primary(&mut self, now: Time) {
        // Told of a higher epoch by a late answer to a canvass, it may lack what was acknowledged in that one,
        // so it must not change it as its own.
        let is_over = self.known.number > self.ballot.accepted.number;
        if is_over || !self.has_majority(now) {
            self.step_aside(now);
            return;
        }
        self.expire(now);
        self.commit(now);
        self.start_writes(now);
        self.finish_reads();
        if self.change_epoch(now) {
            return;
        }
        let due = self.office.as_ref().is_some_and(|office| now >= office.heartbeat_at);
        if due {
            self.beat(now);
            self.hand_over(now);
        }
        self.catch_up(now);
    }

    /// Leaves office: what was begun may come into force or not, what was not begun will not.
    pub(crate) fn resign(&mut self, now: Time) {
        let Some(office) = self.office.take() else { return };
        self.election_at = now + self.election_span();
        if let Some(token) = office.in_flight.and_then(|in_flight| in_flight.token) {
            self.command(Command::ProposeCompleted { token, outcome: Err(ProposeError::Unknown) });
        }
        for proposal in office.queue {
            let outcome = Err(ProposeError::NotPrimary);
            self.command(Command::ProposeCompleted { token: proposal.token, outcome });
        }
        for read in office.reads {
            self.command(Command::ReadCompleted { token: read.token, outcome: Err(ReadError::NotPrimary) });
        }
    }

    pub(crate) fn propose(&mut self, now: Time, token: ProposeToken, base: Version, change: S::Change) {
        let hands_over = self.successor(now).is_some();
        let error = match &mut self.office {
            Some(office) if hands_over || !office.serves => ProposeError::NotPrimary,
            Some(office) if office.queue.len() >= MAX_PROPOSALS => ProposeError::Busy,
            Some(office) => {
                office.queue.push_back(Proposal { token, proposed: now, base, change });
                return;
            }
            None => ProposeError::NotPrimary,
        };
        self.command(Command::ProposeCompleted { token, outcome: Err(error) });
    }

    /// A read waits for a round of heartbeats that begins after it. While an earlier read's round is under way,
    /// the next begins when that one is answered, so many reads share one.
    pub(crate) fn read(&mut self, now: Time, token: ReadToken) {
        let error = match &mut self.office {
            Some(office) if office.reads.len() >= MAX_READS => ReadError::Busy,
            Some(office) if office.serves => {
                if office.reads.is_empty() {
                    office.heartbeat_at = now;
                }
                office.reads.push_back(PendingRead { token, asked: now, round: office.round + 1 });
                return;
            }
            _ => ReadError::NotPrimary,
        };
        self.command(Command::ReadCompleted { token, outcome: Err(error) });
    }

    /// Seeks the office no more, and hands it over if it is held; a backup asks the primary to do without it.
    pub(crate) fn retire(&mut self, now: Time) {
        self.retires = true;
        let Some(office) = &mut self.office else {
            if let Some(primary) = self.primary_address() {
                self.send(primary, ReplicationBody::Leave);
            }
            return;
        };
        office.hands_over = true;
        office.heartbeat_at = Time::default();
        if self.successor(now).is_none() {
            return;
        }
        let Some(office) = &mut self.office else { return };
        for proposal in std::mem::take(&mut office.queue) {
            let outcome = Err(ProposeError::NotPrimary);
            self.command(Command::ProposeCompleted { token: proposal.token, outcome });
        }
    }

    fn expire(&mut self, now: Time) {
        let patience = self.settings.timings.request_timeout;
        let is_old = |since: Time| now.since(since) > patience;
        let Some(office) = &mut self.office else { return };
        office.forget_strangers(now, &self.ballot.accepted);
        let mut outcomes = Vec::new();
        if let Some(in_flight) = office.in_flight.as_mut().filter(|in_flight| is_old(in_flight.proposed)) {
            let token = in_flight.token.take();
            let outcome = Err(ProposeError::Unknown);
            outcomes.extend(token.map(|token| Command::ProposeCompleted { token, outcome }));
        }
        while let Some(proposal) = office.queue.front().filter(|proposal| is_old(proposal.proposed)) {
            let outcome = Err(ProposeError::Unavailable);
            outcomes.push(Command::ProposeCompleted { token: proposal.token, outcome });
            office.queue.pop_front();
        }
        while let Some(read) = office.reads.front().filter(|read| is_old(read.asked)) {
            outcomes.push(Command::ReadCompleted { token: read.token, outcome: Err(ReadError::Unavailable) });
            office.reads.pop_front();
        }
        outcomes.into_iter().for_each(|outcome| self.command(outcome));
    }

    /// Whether every in-sync replica has the latest version on disk, and there are enough of them.
    fn is_held_by_all(&self) -> bool {
        let Some(office) = &self.office else { return false };
        let latest = self.latest.version;
        let in_sync = &self.ballot.accepted.in_sync;
        let holds = |disk: &DiskId| {
            if *disk == self.me() {
                return self.disk.version() == latest;
            }
            office.peers.get(disk).is_some_and(|peer| peer.held == Some(latest))
        };
        in_sync.len() >= self.settings.min_in_sync_replicas && in_sync.iter().all(holds)
    }

    /// Commits the latest version once all hold it, and tells the backups at once.
    fn commit(&mut self, now: Time) {
        if !self.is_held_by_all() {
            return;
        }
        let Some(office) = &mut self.office else { return };
        let is_news = !office.synced || office.in_flight.is_some();
        if !is_news {
            return;
        }
        office.synced = true;
        office.serves = true;
        office.heartbeat_at = now;
        self.check_durable();
        let Some(office) = &mut self.office else { return };
        let in_flight = office.in_flight.take();
        self.show_latest();
        let Some(in_flight) = in_flight else { return };
        if let Some(token) = in_flight.token {
            self.command(Command::ProposeCompleted { token, outcome: Ok(in_flight.version) });
        }
    }

    /// What is committed now is on the own disk, and every in-sync replica but this one has said so in this epoch.
    fn check_durable(&self) {
        let Some(office) = &self.office else { return };
        let latest = self.latest.version;
        let in_sync = &self.ballot.accepted.in_sync;
        let confirmed =
            office.peers.iter().filter(|(disk, peer)| in_sync.contains(disk) && peer.held == Some(latest));
        let copies = 1 + confirmed.count();
        let durable = self.disk.version() == latest && copies >= self.settings.min_in_sync_replicas;
        check(Invariant::CommittedVersionIsDurable, durable && copies == in_sync.len(), || {
            format!("disk {}, version {latest:?}, {copies} copies, in sync {in_sync:?}", self.me().0)
        });
    }

    /// Begins the next write, if none is under way.
    fn start_writes(&mut self, now: Time) {
        if self.successor(now).is_some() || self.waits_for_laggard(now) {
            return;
        }
        loop {
            let Some(office) = &mut self.office else { return };
            if !office.synced || office.in_flight.is_some() {
                return;
            }
            let Some(proposal) = office.queue.pop_front() else { return };
            if proposal.base == self.latest.version {
                self.write(now, proposal);
            } else {
                let outcome = Err(ProposeError::Conflict);
                self.command(Command::ProposeCompleted { token: proposal.token, outcome });
            }
        }
    }

    /// Whether the next write waits a moment, so that a replica that is always some changes behind can hold the
    /// newest one and be counted in sync.
    fn waits_for_laggard(&self, now: Time) -> bool {
        let Some(office) = &self.office else { return false };
        let confirm = self.settings.timings.ack_timeout;
        let is_due = |since: Time| {
            let turn = Span::from_nanos(now.since(since).as_nanos() % HOLD_EVERY.as_nanos());
            turn >= confirm && turn < confirm + confirm.mul_f64(HOLD)
        };
        office.peers.values().any(|peer| {
            let answers = now.since(peer.last_answer) < confirm && now >= peer.leaves_until;
            answers && peer.lags_since.is_some_and(is_due)
        })
    }

    fn write(&mut self, now: Time, proposal: Proposal<S::Change>) {
        let base = self.latest.version;
        let epoch = self.ballot.accepted.number;
        let version = Version { epoch, sequence: base.sequence + 1 };
        self.latest = self.latest.with(version, &proposal.change);
        self.disk.mark();
        let Some(office) = &mut self.office else { return };
        office.in_flight =
            Some(InFlight { token: Some(proposal.token), proposed: proposal.proposed, version });
        let change = S::encode_change(&proposal.change);
        office.changes.push(Made { base, version, change }, self.latest.encoded.len());
        for peer in office.peers.values_mut() {
            peer.behind_since = Some(now);
        }
    }

    /// Begins a round of heartbeats.
    fn beat(&mut self, now: Time) {
        let committed = self.committed.as_ref().map(|committed| committed.version).unwrap_or_default();
        let epoch = self.ballot.accepted.clone();
        let Some(office) = &mut self.office else { return };
        office.round += 1;
        office.heartbeat_at = now + self.settings.timings.heartbeat_interval;
        let body = ReplicationBody::Heartbeat { epoch, committed, round: office.round };
        let peers: Vec<Voter> = office.peers.values().map(|peer| peer.voter.clone()).collect();
        self.send_all(&peers, &body);
    }

    /// Who can take over from a primary that hands over: the in-sync replica that answered last. While there is
    /// none, the primary goes on as before, so that what it holds gets to other disks.
    fn successor(&self, now: Time) -> Option<&Peer> {
        let latest = self.latest.version;
        let in_sync = &self.ballot.accepted.in_sync;
        let office = self.office.as_ref().filter(|office| office.hands_over)?;
        let is_fit = |peer: &&Peer| {
            let answers = now.since(peer.last_answer) < self.settings.timings.election_timeout;
            let is_held = peer.held == Some(latest) || office.in_flight.is_some();
            in_sync.contains(&peer.voter.disk) && is_held && answers && now >= peer.leaves_until
        };
        office.peers.values().filter(is_fit).max_by_key(|peer| peer.last_answer)
    }

    /// Asks the successor to take over, once nothing is under way.
    fn hand_over(&mut self, now: Time) {
        let epoch = self.ballot.accepted.number;
        let is_settled = |office: &Office<S::Change>| office.synced && office.in_flight.is_none();
        let Some(successor) = self.successor(now) else { return };
        if self.office.as_ref().is_some_and(is_settled) {
            let to = successor.voter.address;
            self.send(to, ReplicationBody::TransferLeadership { epoch });
        }
    }

    /// A backup is about to end. It says so again as long as it runs.
    pub(crate) fn asked_out(&mut self, now: Time, from: DiskId) {
        let leaves_until = now + self.settings.timings.voter_timeout;
        let Some(office) = &mut self.office else { return };
        let Some(peer) = office.peers.get_mut(&from) else { return };
        peer.leaves_until = leaves_until;
        peer.asks_until = Time::default();
    }

    pub(crate) fn confirmed(&mut self, now: Time, from: DiskId, epoch: EpochNumber, version: Version) {
        let is_primary = matches!(self.stage, Stage::Primary) && epoch == self.ballot.accepted.number;
        let Some(office) = self.office.as_mut().filter(|_| is_primary) else { return };
        let Some(peer) = office.peers.get_mut(&from) else { return };
        peer.last_answer = now;
        peer.held = Some(version);
    }

    pub(crate) fn heartbeat_answered(
        &mut self, now: Time, from: DiskId, epoch: EpochNumber, round: u64, version: Option<Version>,
    ) {
        let is_primary = matches!(self.stage, Stage::Primary) && epoch == self.ballot.accepted.number;
        let Some(office) = self.office.as_mut().filter(|_| is_primary) else { return };
        let Some(peer) = office.peers.get_mut(&from) else { return };
        peer.last_answer = now;
        peer.answered_round = peer.answered_round.max(round);
        peer.held = version.or(peer.held);
    }

    /// Confirms the reads whose round a majority answered; begins the round of the next ones.
    fn finish_reads(&mut self) {
        let me = self.me();
        let Some(office) = self.office.as_mut().filter(|office| office.synced) else { return };
        let mut done = Vec::new();
        while let Some(read) = office.reads.front() {
            let answered = office.peers.iter().filter(|(_, peer)| peer.answered_round >= read.round);
            let mut present: BTreeSet<DiskId> = answered.map(|(disk, _)| *disk).collect();
            present.insert(me);
            let begun = read.round <= office.round;
            if !begun || !is_majority(&self.ballot.accepted.voters, |disk| present.contains(&disk)) {
                break;
            }
            done.push(read.token);
            office.reads.pop_front();
        }
        let waits = office.reads.front().is_some_and(|read| read.round > office.round);
        if waits {
            office.heartbeat_at = Time::default();
        }
        for token in done {
            self.command(Command::ReadCompleted { token, outcome: Ok(()) });
        }
    }

    /// A voter promised a number above this epoch's. If nobody takes office under it, this primary seeks an
    /// epoch above it, so that the voter can follow again.
    pub(crate) fn outbid(&mut self, now: Time) {
        let patience =
            self.settings.timings.election_timeout.mul_f64(0.5) + self.jitter.below(Span::from_millis(100));
        let Some(office) = &mut self.office else { return };
        office.outbid_at.get_or_insert(now + patience);
    }

    /// Seeks a new epoch if the present one is not as it should be.
    fn change_epoch(&mut self, now: Time) -> bool {
        let Some(office) = &self.office else { return false };
        let plan = self.plan(now, office);
        let is_outbid = office.outbid_at.is_some_and(|at| now >= at);
        if self.successor(now).is_some() || !(is_outbid || self.is_change(&plan)) {
            return false;
        }
        self.start_election(now, Some(plan));
        true
    }

    /// A keeper asks to be let in, or another passes its wish on.
    pub(crate) fn asked_in(&mut self, now: Time, from: DiskId, voter: Voter) {
        if voter.disk == self.me() {
            return;
        }
        let asks_until = now + self.settings.timings.join_interval.mul_f64(ASKINGS);
        if let Some(office) = &mut self.office {
            if self.ballot.accepted.voters.contains(&voter) {
                return;
            }
            if office.peers.len() >= MAX_PEERS && !office.peers.contains_key(&voter.disk) {
                return;
            }
            let peer = office.peers.entry(voter.disk).or_insert_with(|| Peer::new(now, voter.clone()));
            peer.voter = voter;
            peer.asks_until = asks_until;
            peer.leaves_until = Time::default();
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
