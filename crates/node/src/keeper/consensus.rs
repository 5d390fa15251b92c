//! Drives the replica of the control state: passes events to it, executes its commands, and completes proposals
//! and reads.

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
use tokio::sync::mpsc;

use super::controller::Controller;
use super::pending_outcomes::PendingOutcomes;
use crate::clock;
use crate::host::run_disk_write;
use crate::panics::critical_section;
use crate::sync::watch;

/// The capacity of the queue of records to be written; the replica submits one at a time.
pub(super) const MAX_QUEUED_WRITES: usize = 4;

/// A record to be written to the disk.
pub(super) struct RecordWrite {
    pub(super) token: PersistToken,
    pub(super) record: Record,
}

/// The location of the primary, which executes orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PrimaryLocation {
    /// This keeper.
    Local,
    /// Another keeper, at this address.
    Remote(SocketAddr),
    /// No primary is known.
    Unknown,
}

/// The replica, with the proposals and reads that wait for it.
pub(super) struct Consensus {
    pub(super) replica: Replica<ControlState>,
    proposals: PendingOutcomes<Result<Version, ProposeError>>,
    reads: PendingOutcomes<Result<Versioned<ControlState>, ReadError>>,
    record_writes: mpsc::Sender<RecordWrite>,
    /// The time for which the replica requested its next tick.
    replica_timer: watch::Sender<Time>,
}

impl Consensus {
    pub(super) fn new(
        replica: Replica<ControlState>, record_writes: mpsc::Sender<RecordWrite>,
        replica_timer: watch::Sender<Time>,
    ) -> Self {
        Consensus {
            replica,
            proposals: PendingOutcomes::default(),
            reads: PendingOutcomes::default(),
            record_writes,
            replica_timer,
        }
    }

    /// The committed state, if one is known.
    pub(super) fn committed(&self) -> Option<&Versioned<ControlState>> {
        self.replica.committed()
    }
}

impl Controller {
    /// Passes an event to the replica and executes the resulting commands.
    pub(super) fn step_replica(self: &Arc<Self>, event: Event<ControlState>) {
        let commands = critical_section(|| self.lock().consensus.replica.handle(clock::now(), event));
        for command in commands {
            self.execute_command(command);
        }
    }

    /// The location of the primary. Another keeper counts only if it sent a message recently.
    pub(super) fn primary_location(&self) -> PrimaryLocation {
        let state = self.lock();
        let replica = &state.consensus.replica;
        if replica.is_primary() {
            return PrimaryLocation::Local;
        }
        let is_reachable = state.contact.has_recent_message(clock::now(), replica.epoch().primary);
        match replica.primary_address().filter(|address| is_reachable && *address != self.local_voter.address)
        {
            Some(address) => PrimaryLocation::Remote(address),
            None => PrimaryLocation::Unknown,
        }
    }

    /// Proposes a change that was computed on version `base` of the committed state. Returns the committed version.
    ///
    /// # Errors
    ///
    /// If the change is not committed, or not known to be.
    pub(super) async fn propose(
        self: &Arc<Self>, base: Version, change: ControlChange,
    ) -> Result<Version, ProposeError> {
        let (token, receiver) = self.lock().consensus.proposals.register();
        self.step_replica(Event::Propose { token: ProposeToken(token), base, change });
        receiver.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Reads the committed state after a majority has confirmed, during this call, that it is the newest.
    ///
    /// # Errors
    ///
    /// If this keeper is not primary or no majority replies.
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
            Command::ReadCompleted { token, outcome } => self.handle_read_completed(token, outcome),
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

    fn handle_read_completed(&self, token: ReadToken, outcome: Result<(), ReadError>) {
        let mut state = self.lock();
        let committed = state.consensus.committed().cloned();
        let outcome = outcome.and_then(|()| committed.ok_or(ReadError::Unavailable));
        state.consensus.reads.complete(token.0, outcome);
    }

    fn handle_role_change(self: &Arc<Self>, role: Role) {
        let epoch = self.lock().consensus.replica.epoch().number.0;
        info!(self.log, "role changed"; "role" => format!("{role:?}"), "epoch" => epoch);
        self.state_changed.notify_waiters();
        self.planning_requested.notify_one();
    }

    /// The committed state changed: subscribers are updated, and waiting tasks check their condition again.
    fn handle_commit(self: &Arc<Self>) {
        self.log_committed();
        self.push_requested.notify_one();
        self.planning_requested.notify_one();
        self.state_changed.notify_waiters();
    }
}

/// Writes records one after the other for the lifetime of the keeper.
pub(super) async fn run_record_writer(
    controller: Arc<Controller>, mut file: super::record_file::RecordFile,
    mut writes: mpsc::Receiver<RecordWrite>,
) {
    while let Some(RecordWrite { token, record }) = writes.recv().await {
        let written = run_disk_write(&controller.log, move || {
            let outcome = file.write(&record);
            (file, outcome)
        });
        // The task fails only if the write panicked, which drops the file: no more records can be written.
        let Ok((returned, outcome)) = written.await else { return };
        file = returned;
        match outcome {
            Ok(()) => controller.step_replica(Event::Persisted(token)),
            Err(error) => {
                slog::warn!(controller.log, "disk write failed"; "error" => error.to_string());
                controller.step_replica(Event::PersistFailed(token));
            }
        }
    }
}

/// Ticks the replica at the times that it requests.
pub(super) async fn run_replica_timer(controller: Arc<Controller>, mut timer_changes: watch::Receiver<Time>) {
    loop {
        let tick_at = *timer_changes.borrow_and_update();
        let delay = clock::duration(tick_at.since(clock::now()));
        tokio::select! {
            biased;
            () = tokio::time::sleep(delay) => {
                controller.step_replica(Event::Tick);
                // The next tick time may have been set just before this tick, by a message handled after the timer had
                // expired. The tick does not set it again, so `changed` has to report that earlier change.
                if timer_changes.changed().await.is_err() {
                    return;
                }
            }
            changed = timer_changes.changed() => if changed.is_err() { return },
        }
    }
}
