//! Drives the replica: hands it events, carries out its commands, and gives proposals and reads to those that
//! wait for them.

use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_clock::Time;
use juniperwing_control::{ControlChange, ControlState};
use juniperwing_protocol::Message;
use juniperwing_protocol::replication::{ReplicationMessage, Version};
use juniperwing_replication::{
    Command, Event, PersistToken, ProposeError, ProposeToken, ReadError, ReadToken, Record, Replica, Role,
    Versioned,
};
use slog::info;
use tokio::sync::{mpsc, watch};

use super::controller::Controller;
use super::pending_outcomes::PendingOutcomes;
use crate::clock;
use crate::host::run_disk_write;
use crate::panics::critical_section;

/// Records on their way to the disk; the replica hands out one at a time.
pub(super) const MAX_QUEUED_WRITES: usize = 4;

/// A record to be written.
pub(super) struct RecordWrite {
    pub(super) token: PersistToken,
    pub(super) record: Record,
}

/// Where orders are decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PrimaryLocation {
    /// Here.
    Local,
    /// At another keeper.
    Remote(SocketAddr),
    /// Nobody knows at present.
    Unknown,
}

/// The replica, and who waits for what.
pub(super) struct Consensus {
    pub(super) replica: Replica<ControlState>,
    proposals: PendingOutcomes<Result<Version, ProposeError>>,
    reads: PendingOutcomes<Result<Versioned<ControlState>, ReadError>>,
    record_writes: mpsc::Sender<RecordWrite>,
    replica_timer: watch::Sender<Time>,
}

impl Consensus {
    pub(super) fn new(
        replica: Replica<ControlState>, writes: mpsc::Sender<RecordWrite>, wake: watch::Sender<Time>,
    ) -> Self {
        Consensus {
            replica,
            proposals: PendingOutcomes::default(),
            reads: PendingOutcomes::default(),
            record_writes: writes,
            replica_timer: wake,
        }
    }

    /// The committed state, if one is known.
    pub(super) fn committed(&self) -> Option<&Versioned<ControlState>> {
        self.replica.committed()
    }
}

impl Controller {
    /// Hands the replica an event and carries out what it says.
    pub(super) fn step_replica(self: &Arc<Self>, event: Event<ControlState>) {
        let commands = critical_section(|| self.lock().consensus.replica.handle(clock::now(), event));
        for command in commands {
            self.execute_command(command);
        }
    }

    /// Where the primary is. Another keeper counts only if it was heard of a short while ago.
    pub(super) fn primary_location(&self) -> PrimaryLocation {
        let state = self.lock();
        let replica = &state.consensus.replica;
        if replica.is_primary() {
            return PrimaryLocation::Local;
        }
        let heard = state.contact.has_recent_message(clock::now(), replica.epoch().primary);
        match replica.primary_address().filter(|address| heard && *address != self.local_voter.address) {
            Some(address) => PrimaryLocation::Remote(address),
            None => PrimaryLocation::Unknown,
        }
    }

    /// Makes a change that was computed on version `base` of the committed state.
    ///
    /// # Errors
    ///
    /// If it is not in force, or not known to be.
    pub(super) async fn propose(
        self: &Arc<Self>, base: Version, change: ControlChange,
    ) -> Result<Version, ProposeError> {
        let (token, receiver) = self.lock().consensus.proposals.register();
        self.step_replica(Event::Propose { token: ProposeToken(token), base, change });
        receiver.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// The committed state, confirmed to be the newest by a majority after this was called.
    ///
    /// # Errors
    ///
    /// If this keeper is not primary or no majority answers.
    pub(super) async fn read_confirmed(self: &Arc<Self>) -> Result<Versioned<ControlState>, ReadError> {
        let (token, receiver) = self.lock().consensus.reads.register();
        self.step_replica(Event::Read { token: ReadToken(token) });
        receiver.await.unwrap_or(Err(ReadError::Unavailable))
    }

    fn execute_command(self: &Arc<Self>, command: Command) {
        match command {
            Command::Send { to, message } => self.send_replication(to, message),
            Command::Persist { token, record } => self.persist(token, record),
            Command::WakeAt(at) => drop(self.lock().consensus.replica_timer.send_replace(at)),
            Command::Committed(_) => self.handle_commit(),
            Command::ProposeCompleted { token, outcome } => {
                self.lock().consensus.proposals.complete(token.0, outcome)
            }
            Command::ReadCompleted { token, outcome } => self.handle_read_done(token, outcome),
            Command::RoleChanged(role) => self.handle_role_change(role),
        }
    }

    fn send_replication(self: &Arc<Self>, to: SocketAddr, message: ReplicationMessage) {
        if to != self.local_voter.address {
            self.peers.send(to, Message::Replication(message));
        }
    }

    fn persist(self: &Arc<Self>, token: PersistToken, record: Record) {
        let sent = self.lock().consensus.record_writes.try_send(RecordWrite { token, record });
        if sent.is_err() {
            let controller = Arc::clone(self);
            tokio::spawn(async move { controller.step_replica(Event::PersistFailed(token)) });
        }
    }

    fn handle_read_done(&self, token: ReadToken, outcome: Result<(), ReadError>) {
        let mut state = self.lock();
        let committed = state.consensus.committed().cloned();
        let answer = outcome.and_then(|()| committed.ok_or(ReadError::Unavailable));
        state.consensus.reads.complete(token.0, answer);
    }

    fn handle_role_change(self: &Arc<Self>, role: Role) {
        let epoch = self.lock().consensus.replica.epoch().number.0;
        info!(self.log, "role"; "role" => format!("{role:?}"), "epoch" => epoch);
        self.state_changed.notify_waiters();
        self.planning_requested.notify_one();
    }

    /// The committed state is another one: subscribers are told, those that wait for it look again.
    fn handle_commit(self: &Arc<Self>) {
        self.log_committed();
        self.push_requested.notify_one();
        self.planning_requested.notify_one();
        self.state_changed.notify_waiters();
    }
}

/// Writes records one after the other, for as long as the keeper lives.
pub(super) async fn run_record_writer(
    controller: Arc<Controller>, mut file: super::record_file::RecordFile,
    mut writes: mpsc::Receiver<RecordWrite>,
) {
    while let Some(RecordWrite { token, record }) = writes.recv().await {
        let written = run_disk_write(&controller.log, move || {
            let outcome = file.write(&record);
            (file, outcome)
        });
        // The task ends early only if the write panicked, and then the disk is of no more use.
        let Ok((returned, outcome)) = written.await else { return };
        file = returned;
        match outcome {
            Ok(()) => controller.step_replica(Event::Persisted(token)),
            Err(error) => {
                slog::warn!(controller.log, "the disk refuses"; "why" => error.to_string());
                controller.step_replica(Event::PersistFailed(token));
            }
        }
    }
}

/// Wakes the replica at the times that it names.
pub(super) async fn run_replica_timer(controller: Arc<Controller>, mut wake: watch::Receiver<Time>) {
    loop {
        let at = *wake.borrow_and_update();
        let pause = clock::duration(at.since(clock::now()));
        tokio::select! {
            biased;
            () = tokio::time::sleep(pause) => {
                // The next time to wake is set before anything is awaited.
                controller.lock().consensus.replica_timer.send_replace(Time::NEVER);
                wake.mark_unchanged();
                controller.step_replica(Event::Tick);
            }
            changed = wake.changed() => if changed.is_err() { return },
        }
    }
}
