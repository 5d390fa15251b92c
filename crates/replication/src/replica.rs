//! The replica as a state machine: its state and its accessors.
//!
//! Each submodule handles the events of one concern, for example voting, elections, backups or primaries.

mod backup;
mod bootstrap;
mod candidate;
mod catch_up;
mod epoch_change;
mod events;
mod handover;
mod join;
mod pre_vote;
mod primary;
mod proposals;
mod reads;
mod timer;
mod voting;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::replication::{Epoch, ReplicationBody, ReplicationMessage, Version, Voter};
use juniperwing_protocol::{DiskId, EpochNumber};

use crate::acceptor::AcceptorState;
use crate::election::Election;
use crate::epoch::{find_voter, next_epoch_number};
use crate::error::MalformedState;
use crate::interface::{Command, Record, Role};
use crate::jitter::Jitter;
use crate::leadership::Leadership;
use crate::persistence::{DeferredAction, Persistence};
use crate::pre_vote::PreVote;
use crate::settings::Settings;
use crate::state::{ReplicatedState, Versioned};

/// Election timeout after a start of the keeper that was primary of the last epoch. It is short because the
/// backups still wait for this primary.
const FORMER_PRIMARY_ELECTION_TIMEOUT: Span = Span::from_millis(100);

/// The stage of a replica in the epoch protocol.
#[derive(Clone, Debug)]
enum Stage {
    /// Follows a primary, or waits for one.
    Following,
    /// Requests pre-votes.
    PreVote(PreVote),
    /// Has an election in progress.
    Candidate(Box<Election>),
    /// Is primary of the accepted epoch.
    Primary,
}

/// The replica of one keeper, as a state machine.
#[derive(Clone, Debug)]
pub struct Replica<S: ReplicatedState> {
    settings: Settings,
    jitter: Jitter,
    acceptor: AcceptorState,
    /// The highest epoch known; its number is at least that of the accepted one.
    known_epoch: Epoch,
    /// The highest epoch number known.
    highest_number: EpochNumber,
    latest: Versioned<S>,
    committed: Option<Versioned<S>>,
    persistence: Persistence,
    stage: Stage,
    /// Present while this keeper is primary, also during an election for its own next epoch.
    leadership: Option<Leadership<S::Change>>,
    /// When the last heartbeat of a primary or request of a candidate arrived.
    last_primary_contact_at: Option<Time>,
    /// When a pre-vote starts if no message of a primary arrives.
    election_at: Time,
    /// Failed elections since the last heartbeat of a primary.
    election_attempts: u32,
    /// When the next join requests are due.
    join_retry_at: Time,
    /// Addresses where other keepers may listen, in addition to the seeds.
    contacts: Vec<SocketAddr>,
    /// Whether the process is about to exit and takes part in no further election.
    is_shutting_down: bool,
    /// Seeds that have announced themselves for the bootstrap, by address; used by the coordinator only.
    announced_seeds: BTreeMap<SocketAddr, Voter>,
    /// The output of the event that is being handled.
    commands: Vec<Command>,
    /// The time of the last [`Command::WakeAt`].
    timer_at: Option<Time>,
    /// The role in the last [`Command::RoleChanged`].
    reported_role: Role,
}

impl<S: ReplicatedState> Replica<S> {
    /// Creates a replica that starts at `now` with the record on its disk, or with `initial` (the same on all
    /// keepers) if the disk is empty. `seed` should differ between keepers and between starts.
    ///
    /// Pass in [`Event::Tick`] immediately; it returns the first commands.
    ///
    /// [`Event::Tick`]: crate::Event::Tick
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
            announced_seeds: BTreeMap::new(),
            commands: Vec::new(),
            timer_at: None,
            reported_role: Role::Joining,
        })
    }

    /// Whether this keeper is primary and all in-sync replicas have had its state on disk since it became
    /// primary. A reply that must reflect the newest state needs an [`Event::Read`](crate::Event::Read) in
    /// addition.
    pub fn is_primary(&self) -> bool {
        self.role() == Role::Primary
    }

    /// The current role.
    pub fn role(&self) -> Role {
        match (&self.leadership, &self.stage) {
            (Some(leadership), _) if leadership.has_served => Role::Primary,
            (Some(_), _) => Role::Recovering,
            (None, Stage::PreVote(_) | Stage::Candidate(_)) => Role::Candidate,
            (None, _) if self.is_voter() => Role::Backup,
            (None, _) => Role::Joining,
        }
    }

    /// The address of the primary of the highest epoch known; it may have stepped down already.
    pub fn primary_address(&self) -> Option<SocketAddr> {
        find_voter(&self.known_epoch, self.known_epoch.primary).map(|voter| voter.address)
    }

    /// The newest state known to be committed; the only one that may be returned to clients.
    pub fn committed(&self) -> Option<&Versioned<S>> {
        self.committed.as_ref()
    }

    /// The newest state, on which the next change is computed. It may contain a change that is not committed.
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

    /// The identity of this keeper's disk.
    fn local_disk(&self) -> DiskId {
        self.settings.local_voter.disk
    }

    /// This keeper as a voter.
    fn local_voter(&self) -> Voter {
        self.settings.local_voter.clone()
    }

    /// Whether this keeper, with its current address and disk, is a voter of the highest epoch known.
    fn is_voter(&self) -> bool {
        find_voter(&self.known_epoch, self.local_disk()) == Some(&self.settings.local_voter)
    }

    /// Whether this keeper holds all acknowledged changes, and so may become primary.
    fn is_eligible(&self) -> bool {
        let is_in_sync_voter = find_voter(&self.known_epoch, self.local_disk()).is_some()
            && self.known_epoch.in_sync.contains(&self.local_disk());
        is_in_sync_voter && !self.is_shutting_down && !self.persistence.is_failing()
    }

    /// The lowest epoch number that this keeper may propose next.
    fn next_number(&self) -> EpochNumber {
        let seen = self.highest_number.max(self.acceptor.promised).max(self.known_epoch.number);
        next_epoch_number(seen, self.local_disk())
    }

    /// Appends a command to the output of the event that is being handled.
    fn command(&mut self, command: Command) {
        self.commands.push(command);
    }

    /// Sends a message immediately.
    fn send(&mut self, to: SocketAddr, body: ReplicationBody) {
        let message =
            ReplicationMessage { from: self.local_disk(), address: self.settings.local_voter.address, body };
        self.commands.push(Command::Send { to, message });
    }

    /// Sends a message to each of `voters` except this keeper.
    fn send_all(&mut self, voters: &[Voter], body: &ReplicationBody) {
        let local_disk = self.local_disk();
        for voter in voters.iter().filter(|voter| voter.disk != local_disk) {
            self.send(voter.address, body.clone());
        }
    }

    /// Sends a message once all changes made so far are on disk.
    fn send_when_durable(&mut self, to: SocketAddr, body: ReplicationBody) {
        self.persistence.defer(DeferredAction::Send(to, body));
    }
}
