//! The replica: its state, the dispatch of events, and what all its parts use.

use std::collections::BTreeMap;
use std::mem;
use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::replication::{Epoch, ReplicationBody, ReplicationMessage, Version, Voter};
use juniperwing_protocol::{DiskId, EpochNumber};

use crate::acceptor::{AcceptorState, number_above, voter_of};
use crate::election::{Candidacy, Canvass};
use crate::error::MalformedState;
use crate::interface::{Command, Event, PersistToken, Record, Role};
use crate::jitter::Jitter;
use crate::leadership::Office;
use crate::persistence::{Deferred, Disk};
use crate::settings::{Settings, Timings};
use crate::state::{ReplicatedState, Versioned};

/// After a start, the primary of the last epoch seeks office again this soon.
const RETURN: Span = Span::from_millis(100);

/// What a replica is busy with.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// Follows a primary, or waits for one.
    Following,
    /// Asks whether it would be let through.
    Canvassing(Canvass),
    /// Seeks an epoch of its own.
    Candidate(Box<Candidacy>),
    /// Is primary of the accepted epoch.
    Primary,
}

/// One keeper's part in the replication, as a state machine.
#[derive(Clone, Debug)]
pub struct Replica<S: ReplicatedState> {
    pub(crate) settings: Settings,
    pub(crate) jitter: Jitter,
    pub(crate) ballot: AcceptorState,
    /// The highest epoch heard of, at least the accepted one.
    pub(crate) known: Epoch,
    /// The highest number heard of.
    pub(crate) highest_number: EpochNumber,
    pub(crate) latest: Versioned<S>,
    pub(crate) committed: Option<Versioned<S>>,
    pub(crate) disk: Disk,
    pub(crate) stage: Stage,
    pub(crate) office: Option<Office<S::Change>>,
    /// When a primary's heartbeat or a candidate's request came last.
    pub(crate) heard: Option<Time>,
    pub(crate) election_at: Time,
    /// Attempts at an election since the last primary was heard.
    pub(crate) attempts: u32,
    pub(crate) ask_at: Time,
    /// Where keepers may listen, beside the seeds.
    pub(crate) contacts: Vec<SocketAddr>,
    /// Set before the process ends: it seeks the office no more.
    pub(crate) retires: bool,
    /// Keepers that are ready to found the tier, by address; used by the founder only.
    pub(crate) founders: BTreeMap<SocketAddr, Voter>,
    commands: Vec<Command>,
    armed: Option<Time>,
    told: Role,
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
        let (ballot, latest) = match restored {
            Some(record) => {
                let bytes = record.state.as_ref().clone();
                (record.acceptor, Versioned::decode(record.version, bytes)?)
            }
            None => (AcceptorState::default(), Versioned::new(Version::default(), initial)),
        };
        let mut jitter = Jitter::new(seed);
        let was_primary = ballot.accepted.primary == settings.local_voter.disk;
        let patience = if was_primary { RETURN } else { settings.timings.election_timeout };
        let election_at = now + patience + jitter.below(patience.mul_f64(0.5));
        Ok(Replica {
            settings,
            jitter,
            known: ballot.accepted.clone(),
            highest_number: ballot.promised.max(ballot.accepted.number),
            ballot,
            disk: Disk::new(latest.version),
            latest,
            committed: None,
            stage: Stage::Following,
            office: None,
            heard: None,
            election_at,
            attempts: 0,
            ask_at: now,
            contacts: Vec::new(),
            retires: false,
            founders: BTreeMap::new(),
            commands: Vec::new(),
            armed: None,
            told: Role::Joining,
        })
    }

    /// Takes an event in and says what to do.
    pub fn handle(&mut self, now: Time, event: Event<S>) -> Vec<Command> {
        match event {
            Event::Message(message) => self.take_message(now, message),
            Event::Persisted(token) => self.persisted(token),
            Event::PersistFailed(token) => self.persist_failed(now, token),
            Event::Tick => {}
            Event::Propose { token, base, change } => self.propose(now, token, base, change),
            Event::Read { token } => self.read(now, token),
            Event::PrepareShutdown => self.retire(now),
            Event::ContactsChanged(contacts) => self.set_contacts(now, contacts),
        }
        self.release();
        if self.disk.watch(now) {
            self.step_aside(now);
        }
        self.advance(now);
        self.persist(now);
        self.tell_role();
        self.arm(now);
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
        let epoch = &self.known;
        if self.office.is_some() {
            return epoch.voters.len() < 2;
        }
        let is_settled = epoch.previous_voters.is_empty();
        if voter_of(epoch, self.me()).is_none() {
            return is_settled;
        }
        let has_copies = epoch.in_sync.len() >= self.settings.min_in_sync_replicas;
        let is_spared = has_copies && !epoch.in_sync.contains(&self.me());
        is_settled && is_spared && !self.settings.may_drop_one_of(epoch.voters.len())
    }

    /// What this keeper is at present.
    pub fn role(&self) -> Role {
        match (&self.office, &self.stage) {
            (Some(office), _) if office.serves => Role::Primary,
            (Some(_), _) => Role::Recovering,
            (None, Stage::Canvassing(_) | Stage::Candidate(_)) => Role::Candidate,
            (None, _) if self.is_voter() => Role::Backup,
            (None, _) => Role::Joining,
        }
    }

    /// Where the primary listens, as far as is known; it may be out of office already.
    pub fn primary_address(&self) -> Option<SocketAddr> {
        voter_of(&self.known, self.known.primary).map(|voter| voter.address)
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
        &self.known
    }

    /// The voters of the highest epoch known.
    pub fn voters(&self) -> &[Voter] {
        &self.known.voters
    }

    pub(crate) fn me(&self) -> DiskId {
        self.settings.local_voter.disk
    }

    /// Whether the highest epoch lists this keeper, as it is now, among the voters.
    pub(crate) fn is_voter(&self) -> bool {
        voter_of(&self.known, self.me()) == Some(&self.settings.local_voter)
    }

    /// Whether this keeper holds all that was acknowledged, and so may become primary.
    pub(crate) fn is_eligible(&self) -> bool {
        let listed = voter_of(&self.known, self.me()).is_some() && self.known.in_sync.contains(&self.me());
        listed && !self.retires && !self.disk.is_failing()
    }

    pub(crate) fn next_number(&self) -> EpochNumber {
        let seen = self.highest_number.max(self.ballot.promised).max(self.known.number);
        number_above(seen, self.me())
    }

    /// How long to wait for a primary: the in-sync replicas one after the other, lest they stand against each
    /// other.
    pub(crate) fn election_span(&mut self) -> Span {
        let Timings { election_timeout, election_stagger, .. } = self.settings.timings;
        let place = self.known.in_sync.iter().position(|disk| *disk == self.settings.local_voter.disk);
        let rank = place.unwrap_or_default().saturating_sub(1);
        election_timeout
            + election_stagger.mul_f64(rank as f64)
            + self.jitter.below(election_stagger.mul_f64(0.5))
    }

    pub(crate) fn command(&mut self, command: Command) {
        self.commands.push(command);
    }

    pub(crate) fn send(&mut self, to: SocketAddr, body: ReplicationBody) {
        let message =
            ReplicationMessage { from: self.me(), address: self.settings.local_voter.address, body };
        self.commands.push(Command::Send { to, message });
    }

    /// Sends to each of `voters` but itself.
    pub(crate) fn send_all(&mut self, voters: &[Voter], body: &ReplicationBody) {
        let me = self.me();
        for voter in voters.iter().filter(|voter| voter.disk != me) {
            self.send(voter.address, body.clone());
        }
    }

    /// Sends once all that was changed up to now is on disk.
    pub(crate) fn send_when_durable(&mut self, to: SocketAddr, body: ReplicationBody) {
        self.disk.defer(Deferred::Send(to, body));
    }

    fn take_message(&mut self, now: Time, message: ReplicationMessage) {
        let ReplicationMessage { from, address, body } = message;
        if from == self.me() {
            return;
        }
        match body {
            ReplicationBody::PreVote { number } => self.answer_canvass(now, address, number),
            ReplicationBody::PreVoteReply { number, granted, epoch } => {
                self.canvass_answered(from, number, granted, epoch);
            }
            ReplicationBody::TransferLeadership { epoch } => self.take_over(now, epoch),
            ReplicationBody::Prepare { number } => self.prepare(now, address, number),
            ReplicationBody::Promise { number, accepted, version } => {
                self.promised(now, from, number, accepted, version);
            }
            ReplicationBody::Accept { epoch } => self.accept(now, address, epoch),
            ReplicationBody::Accepted { number } => self.accepted(from, number),
            ReplicationBody::Rejected { promised } => self.refused(now, promised),
            ReplicationBody::Write { epoch, base, version, change } => {
                self.take_write(now, address, epoch, (base, version), &change);
            }
            ReplicationBody::Changes { epoch, base, changes } => {
                self.take_changes(now, address, epoch, base, &changes);
            }
            ReplicationBody::Snapshot { epoch, version, state } => {
                self.take_snapshot(now, address, epoch, version, state);
            }
            ReplicationBody::WriteAck { epoch, version } => self.confirmed(now, from, epoch, version),
            ReplicationBody::Heartbeat { epoch, committed, round } => {
                self.follow(now, address, epoch, committed, round);
            }
            ReplicationBody::HeartbeatReply { epoch, round, version } => {
                self.heartbeat_answered(now, from, epoch, round, version);
            }
            ReplicationBody::Join { voter } => self.asked_in(now, from, voter),
            ReplicationBody::Bootstrap { voter } => self.found_by(voter),
            ReplicationBody::Leave => self.asked_out(now, from),
        }
    }

    fn persisted(&mut self, token: PersistToken) {
        self.disk.complete(token);
    }

    fn persist_failed(&mut self, now: Time, token: PersistToken) {
        self.disk.fail(now, token);
        if self.disk.is_failing() {
            self.step_aside(now);
        }
    }

    /// Does what waited for the disk and need wait no longer.
    fn release(&mut self) {
        while let Some(deferred) = self.disk.release() {
            match deferred {
                Deferred::Send(to, body) => self.send(to, body),
                Deferred::OwnPromise(number) => self.own_promise(number),
                Deferred::OwnAccept(number) => self.own_accept(number),
            }
        }
    }

    fn advance(&mut self, now: Time) {
        if matches!(self.stage, Stage::Following) {
            self.advance_following(now);
        }
        if matches!(self.stage, Stage::Canvassing(_)) {
            self.advance_canvass(now);
        }
        if matches!(self.stage, Stage::Candidate(_)) {
            self.advance_candidacy(now);
        }
        if matches!(self.stage, Stage::Primary) {
            self.advance_primary(now);
        }
    }

    fn persist(&mut self, now: Time) {
        let Some(token) = self.disk.begin(now, self.latest.version) else { return };
        let record = Record {
            acceptor: self.ballot.clone(),
            version: self.latest.version,
            state: self.latest.encoded.clone(),
        };
        self.command(Command::Persist { token, record });
    }

    fn tell_role(&mut self) {
        let role = self.role();
        if role != self.told {
            self.told = role;
            self.command(Command::RoleChanged(role));
        }
    }

    /// Asks for a tick if the one asked for is spent or would come too late.
    fn arm(&mut self, now: Time) {
        let deadline = self.deadline(now).min(self.disk.retry_at()).min(self.disk.stalls_at());
        let spent = self.armed.is_none_or(|armed| armed <= now || deadline < armed);
        if spent && deadline != Time::NEVER {
            self.armed = Some(deadline);
            self.command(Command::WakeAt(deadline));
        }
    }

    fn deadline(&self, now: Time) -> Time {
        match &self.stage {
            Stage::Following if self.must_ask(now) => self.ask_at.min(self.election_at),
            Stage::Following => self.election_at,
            Stage::Canvassing(canvass) => canvass.give_up_at,
            Stage::Candidate(candidacy) => candidacy.deadline(),
            Stage::Primary => self.office.as_ref().map_or(self.election_at, |office| office.heartbeat_at),
        }
    }
}
