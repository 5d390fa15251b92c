//! The replica: its state, the dispatch of events, and what all its parts use.

use std::collections::BTreeMap;
use std::mem;
use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::replication::{Epoch, ReplicationBody, ReplicationMessage, Version, Voter};
use juniperwing_protocol::{DiskId, EpochNumber};

use crate::acceptor::{AcceptorState, find_voter, next_epoch_number};
use crate::election::{Election, PreVote};
use crate::error::MalformedState;
use crate::interface::{Command, Event, PersistToken, Record, Role};
use crate::jitter::Jitter;
use crate::leadership::Leadership;
use crate::persistence::{DeferredAction, Persistence};
use crate::settings::{Settings, Timings};
use crate::state::{ReplicatedState, Versioned};

/// After a start, the primary of the last epoch seeks office again this soon.
const FORMER_PRIMARY_ELECTION_TIMEOUT: Span = Span::from_millis(100);

/// What a replica is busy with.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// Follows a primary, or waits for one.
    Following,
    /// Asks whether it would be let through.
    PreVote(PreVote),
    /// Seeks an epoch of its own.
    Candidate(Box<Election>),
    /// Is primary of the accepted epoch.
    Primary,
}

/// One keeper's part in the replication, as a state machine.
#[derive(Clone, Debug)]
pub struct Replica<S: ReplicatedState> {
    pub(crate) settings: Settings,
    pub(crate) jitter: Jitter,
    pub(crate) acceptor: AcceptorState,
    /// The highest epoch heard of, at least the accepted one.
    pub(crate) known_epoch: Epoch,
    /// The highest number heard of.
    pub(crate) highest_number: EpochNumber,
    pub(crate) latest: Versioned<S>,
    pub(crate) committed: Option<Versioned<S>>,
    pub(crate) persistence: Persistence,
    pub(crate) stage: Stage,
    pub(crate) leadership: Option<Leadership<S::Change>>,
    /// When a primary's heartbeat or a candidate's request came last.
    pub(crate) last_primary_contact_at: Option<Time>,
    pub(crate) election_at: Time,
    /// Attempts at an election since the last primary was heard.
    pub(crate) election_attempts: u32,
    pub(crate) join_retry_at: Time,
    /// Where keepers may listen, beside the seeds.
    pub(crate) contacts: Vec<SocketAddr>,
    /// Set before the process ends: it seeks the office no more.
    pub(crate) is_shutting_down: bool,
    /// Keepers that are ready to found the tier, by address; used by the founder only.
    pub(crate) bootstrap_offers: BTreeMap<SocketAddr, Voter>,
    commands: Vec<Command>,
    timer_at: Option<Time>,
    reported_role: Role,
}

impl<S: ReplicatedState> Replica<S> {
    /// A replica that starts at `now` with what its disk holds, or with `initial` (the same on all keepers) if
    /// the disk is empty. `seed` should differ between keepers and starts.
    ///
    /// Hand in [`Event::Tick`] at once; it returns the first commands.
    ///
    /// # Errors
    ///
    /// If the state on disk cannot be decoded.
    pub fn new(
        now: Time, settings: Settings, restored: Option<Record>, initial: S, seed: u64,
    ) -> Result<Self, MalformedState> {
        let (acceptor, latest) = match restored {
            Some(record) => {
                let bytes = record.state.as_ref().clone();
                (record.acceptor, Versioned::decode(record.version, bytes)?)
            }
            None => (AcceptorState::default(), Versioned::new(Version::default(), initial)),
        };
        let mut jitter = Jitter::new(seed);
        let was_primary = acceptor.accepted.primary == settings.local_voter.disk;
        let election_timeout =
            if was_primary { FORMER_PRIMARY_ELECTION_TIMEOUT } else { settings.timings.election_timeout };
        let election_at = now + election_timeout + jitter.below(election_timeout.mul_f64(0.5));
        Ok(Replica {
            settings,
            jitter,
            known_epoch: acceptor.accepted.clone(),
            highest_number: acceptor.promised.max(acceptor.accepted.number),
            acceptor,
            persistence: Persistence::new(latest.version),
            latest,
            committed: None,
            stage: Stage::Following,
            leadership: None,
            last_primary_contact_at: None,
            election_at,
            election_attempts: 0,
            join_retry_at: now,
            contacts: Vec::new(),
            is_shutting_down: false,
            bootstrap_offers: BTreeMap::new(),
            commands: Vec::new(),
            timer_at: None,
            reported_role: Role::Joining,
        })
    }

    /// Takes an event in and says what to do.
    pub fn handle(&mut self, now: Time, event: Event<S>) -> Vec<Command> {
        match event {
            Event::Message(message) => self.handle_message(now, message),
            Event::Persisted(token) => self.handle_persisted(token),
            Event::PersistFailed(token) => self.handle_persist_failed(now, token),
            Event::Tick => {}
            Event::Propose { token, base, change } => self.handle_propose(now, token, base, change),
            Event::Read { token } => self.handle_read(now, token),
            Event::PrepareShutdown => self.prepare_shutdown(now),
            Event::ContactsChanged(contacts) => self.set_contacts(now, contacts),
        }
        self.run_released_actions();
        if self.persistence.detect_stall(now) {
            self.become_follower(now);
        }
        self.advance(now);
        self.start_persist(now);
        self.report_role();
        self.arm_timer(now);
        mem::take(&mut self.commands)
    }

    /// Whether this keeper is primary and all in-sync replicas have held its state in this office. An answer
    /// that must be the newest needs an [`Event::Read`] besides.
    pub fn is_primary(&self) -> bool {
        self.role() == Role::Primary
    }

    /// Whether this process may end and never come back: the epoch known to be chosen has enough copies without
    /// it, and bears no more losses with its vote than without. [`Event::StepDown`] brings that about, where
    /// enough other keepers are there.
    pub fn can_shut_down(&self) -> bool {
        let epoch = &self.known_epoch;
        if self.leadership.is_some() {
            return epoch.voters.len() < 2;
        }
        let is_committed = epoch.previous_voters.is_empty();
        if find_voter(epoch, self.local_disk()).is_none() {
            return is_committed;
        }
        let has_enough_replicas = epoch.in_sync.len() >= self.settings.min_in_sync_replicas;
        let is_dispensable = has_enough_replicas && !epoch.in_sync.contains(&self.local_disk());
        is_committed && is_dispensable && !self.settings.can_drop_one_of(epoch.voters.len())
    }

    /// What this keeper is at present.
    pub fn role(&self) -> Role {
        match (&self.leadership, &self.stage) {
            (Some(leadership), _) if leadership.has_served => Role::Primary,
            (Some(_), _) => Role::Recovering,
            (None, Stage::PreVote(_) | Stage::Candidate(_)) => Role::Candidate,
            (None, _) if self.is_voter() => Role::Backup,
            (None, _) => Role::Joining,
        }
    }

    /// Where the primary listens, as far as is known; it may be out of office already.
    pub fn primary_address(&self) -> Option<SocketAddr> {
        find_voter(&self.known_epoch, self.known_epoch.primary).map(|voter| voter.address)
    }

    /// The newest state known to be committed, the only one that may be shown.
    pub fn committed(&self) -> Option<&Versioned<S>> {
        self.committed.as_ref()
    }

    /// The newest state, to compute the next change on. It may hold a change that is not committed.
    pub fn latest(&self) -> &Versioned<S> {
        &self.latest
    }

    /// The highest epoch known.
    pub fn epoch(&self) -> &Epoch {
        &self.known_epoch
    }

    /// The voters of the highest epoch known.
    pub fn voters(&self) -> &[Voter] {
        &self.known_epoch.voters
    }

    pub(crate) fn local_disk(&self) -> DiskId {
        self.settings.local_voter.disk
    }

    /// Whether the highest epoch lists this keeper, as it is now, among the voters.
    pub(crate) fn is_voter(&self) -> bool {
        find_voter(&self.known_epoch, self.local_disk()) == Some(&self.settings.local_voter)
    }

    /// Whether this keeper holds all that was acknowledged, and so may become primary.
    pub(crate) fn is_eligible(&self) -> bool {
        let is_in_sync_voter = find_voter(&self.known_epoch, self.local_disk()).is_some()
            && self.known_epoch.in_sync.contains(&self.local_disk());
        is_in_sync_voter && !self.is_shutting_down && !self.persistence.is_failing()
    }

    pub(crate) fn next_number(&self) -> EpochNumber {
        let seen = self.highest_number.max(self.acceptor.promised).max(self.known_epoch.number);
        next_epoch_number(seen, self.local_disk())
    }

    /// How long to wait for a primary: the in-sync replicas one after the other, lest they stand against each
    /// other.
    pub(crate) fn draw_election_timeout(&mut self) -> Span {
        let Timings { election_timeout, election_stagger, .. } = self.settings.timings;
        let position =
            self.known_epoch.in_sync.iter().position(|disk| *disk == self.settings.local_voter.disk);
        let rank = position.unwrap_or_default().saturating_sub(1);
        election_timeout
            + election_stagger.mul_f64(rank as f64)
            + self.jitter.below(election_stagger.mul_f64(0.5))
    }

    pub(crate) fn command(&mut self, command: Command) {
        self.commands.push(command);
    }

    pub(crate) fn send(&mut self, to: SocketAddr, body: ReplicationBody) {
        let message =
            ReplicationMessage { from: self.local_disk(), address: self.settings.local_voter.address, body };
        self.commands.push(Command::Send { to, message });
    }

    /// Sends to each of `voters` but itself.
    pub(crate) fn send_all(&mut self, voters: &[Voter], body: &ReplicationBody) {
        let me = self.local_disk();
        for voter in voters.iter().filter(|voter| voter.disk != me) {
            self.send(voter.address, body.clone());
        }
    }

    /// Sends once all that was changed up to now is on disk.
    pub(crate) fn send_when_durable(&mut self, to: SocketAddr, body: ReplicationBody) {
        self.persistence.defer(DeferredAction::Send(to, body));
    }

    fn handle_message(&mut self, now: Time, message: ReplicationMessage) {
        let ReplicationMessage { from, address, body } = message;
        if from == self.local_disk() {
            return;
        }
        match body {
            ReplicationBody::PreVote { number } => self.handle_pre_vote(now, address, number),
            ReplicationBody::PreVoteReply { number, granted, epoch } => {
                self.handle_pre_vote_reply(from, number, granted, epoch);
            }
            ReplicationBody::TransferLeadership { epoch } => self.handle_leadership_transfer(now, epoch),
            ReplicationBody::Prepare { number } => self.handle_prepare(now, address, number),
            ReplicationBody::Promise { number, accepted, version } => {
                self.handle_promise(now, from, number, accepted, version);
            }
            ReplicationBody::Accept { epoch } => self.handle_accept(now, address, epoch),
            ReplicationBody::Accepted { number } => self.handle_accepted(from, number),
            ReplicationBody::Rejected { promised } => self.handle_rejection(now, promised),
            ReplicationBody::Write { epoch, base, version, change } => {
                self.handle_write(now, address, epoch, (base, version), &change);
            }
            ReplicationBody::Changes { epoch, base, changes } => {
                self.handle_changes(now, address, epoch, base, &changes);
            }
            ReplicationBody::Snapshot { epoch, version, state } => {
                self.handle_snapshot(now, address, epoch, version, state);
            }
            ReplicationBody::WriteAck { epoch, version } => self.handle_write_ack(now, from, epoch, version),
            ReplicationBody::Heartbeat { epoch, committed, round } => {
                self.handle_heartbeat(now, address, epoch, committed, round);
            }
            ReplicationBody::HeartbeatReply { epoch, round, version } => {
                self.handle_heartbeat_reply(now, from, epoch, round, version);
            }
            ReplicationBody::Join { voter } => self.handle_join_request(now, from, voter),
            ReplicationBody::Bootstrap { voter } => self.handle_bootstrap_offer(voter),
            ReplicationBody::Leave => self.handle_leave_request(now, from),
        }
    }

    fn handle_persisted(&mut self, token: PersistToken) {
        self.persistence.complete_write(token);
    }

    fn handle_persist_failed(&mut self, now: Time, token: PersistToken) {
        self.persistence.fail_write(now, token);
        if self.persistence.is_failing() {
            self.become_follower(now);
        }
    }

    /// Does what waited for the disk and need wait no longer.
    fn run_released_actions(&mut self) {
        while let Some(action) = self.persistence.next_released() {
            match action {
                DeferredAction::Send(to, body) => self.send(to, body),
                DeferredAction::CountOwnPromise(number) => self.persisted_own_promise(number),
                DeferredAction::CountOwnAccept(number) => self.persisted_own_accept(number),
            }
        }
    }

    fn advance(&mut self, now: Time) {
        if matches!(self.stage, Stage::Following) {
            self.advance_following(now);
        }
        if matches!(self.stage, Stage::PreVote(_)) {
            self.advance_pre_vote(now);
        }
        if matches!(self.stage, Stage::Candidate(_)) {
            self.advance_election(now);
        }
        if matches!(self.stage, Stage::Primary) {
            self.advance_primary(now);
        }
    }

    fn start_persist(&mut self, now: Time) {
        let Some(token) = self.persistence.start_write(now, self.latest.version) else { return };
        let record = Record {
            acceptor: self.acceptor.clone(),
            version: self.latest.version,
            state: self.latest.encoded.clone(),
        };
        self.command(Command::Persist { token, record });
    }

    fn report_role(&mut self) {
        let role = self.role();
        if role != self.reported_role {
            self.reported_role = role;
            self.command(Command::RoleChanged(role));
        }
    }

    /// Asks for a tick if the one asked for is spent or would come too late.
    fn arm_timer(&mut self, now: Time) {
        let deadline =
            self.next_deadline(now).min(self.persistence.retry_at()).min(self.persistence.stall_deadline());
        let is_expired = self.timer_at.is_none_or(|at| at <= now || deadline < at);
        if is_expired && deadline != Time::NEVER {
            self.timer_at = Some(deadline);
            self.command(Command::WakeAt(deadline));
        }
    }

    fn next_deadline(&self, now: Time) -> Time {
        match &self.stage {
            Stage::Following if self.must_request_join(now) => self.join_retry_at.min(self.election_at),
            Stage::Following => self.election_at,
            Stage::PreVote(pre_vote) => pre_vote.give_up_at,
            Stage::Candidate(election) => election.deadline(),
            Stage::Primary => {
                self.leadership.as_ref().map_or(self.election_at, |leadership| leadership.heartbeat_at)
            }
        }
    }
}
