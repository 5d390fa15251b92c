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

use super::Keeper;
use super::waiters::Waiters;
use crate::clock;
use crate::host::write_to_disk;
use crate::panics::critical;

/// Records on their way to the disk; the replica hands out one at a time.
pub(super) const MAX_WRITES: usize = 4;

/// A record to be written.
pub(super) struct Write {
    pub(super) token: PersistToken,
    pub(super) record: Record,
}

/// Where orders are decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PrimaryPlace {
    /// Here.
    Here,
    /// At another keeper.
    At(SocketAddr),
    /// Nobody knows at present.
    Unknown,
}

/// The replica, and who waits for what.
pub(super) struct Consensus {
    pub(super) replica: Replica<ControlState>,
    proposals: Waiters<Result<Version, ProposeError>>,
    reads: Waiters<Result<Versioned<ControlState>, ReadError>>,
    writes: mpsc::Sender<Write>,
    wake: watch::Sender<Time>,
}

impl Consensus {
    pub(super) fn new(
        replica: Replica<ControlState>, writes: mpsc::Sender<Write>, wake: watch::Sender<Time>,
    ) -> Self {
        Consensus { replica, proposals: Waiters::default(), reads: Waiters::default(), writes, wake }
    }

    /// The committed state, if one is known.
    pub(super) fn committed(&self) -> Option<&Versioned<ControlState>> {
        self.replica.committed()
    }
}

impl Keeper {
    /// Hands the replica an event and carries out what it says.
    pub(super) fn replica_event(self: &Arc<Self>, event: Event<ControlState>) {
        let commands = critical(|| self.lock().consensus.replica.handle(clock::now(), event));
        for command in commands {
            self.carry_out(command);
        }
    }

    /// Where the primary is. Another keeper counts only if it was heard of a short while ago.
    pub(super) fn primary_place(&self) -> PrimaryPlace {
        let state = self.lock();
        let replica = &state.consensus.replica;
        if replica.is_primary() {
            return PrimaryPlace::Here;
        }
        let heard = state.contact.has_recent_message(clock::now(), replica.epoch().primary);
        match replica.primary_address().filter(|address| heard && *address != self.me.address) {
            Some(address) => PrimaryPlace::At(address),
            None => PrimaryPlace::Unknown,
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
        let (token, receiver) = self.lock().consensus.proposals.draw();
        self.replica_event(Event::Propose { token: ProposeToken(token), base, change });
        receiver.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// The committed state, confirmed to be the newest by a majority after this was called.
    ///
    /// # Errors
    ///
    /// If this keeper is not primary or no majority answers.
    pub(super) async fn read_confirmed(self: &Arc<Self>) -> Result<Versioned<ControlState>, ReadError> {
        let (token, receiver) = self.lock().consensus.reads.draw();
        self.replica_event(Event::Read { token: ReadToken(token) });
        receiver.await.unwrap_or(Err(ReadError::Unavailable))
    }

    fn carry_out(self: &Arc<Self>, command: Command) {
        match command {
            Command::Send { to, message } => self.send_replication(to, message),
            Command::Persist { token, record } => self.persist(token, record),
            Command::WakeAt(at) => drop(self.lock().consensus.wake.send_replace(at)),
            Command::Committed(_) => self.committed(),
            Command::ProposeCompleted { token, outcome } => {
                self.lock().consensus.proposals.tell(token.0, outcome);
            }
            Command::ReadCompleted { token, outcome } => self.read_done(token, outcome),
            Command::RoleChanged(role) => self.role_changed(role),
        }
    }

    fn send_replication(self: &Arc<Self>, to: SocketAddr, message: ReplicationMessage) {
        if to != self.me.address {
            self.peers.send(to, Message::Replication(message));
        }
    }

    fn persist(self: &Arc<Self>, token: PersistToken, record: Record) {
        let sent = self.lock().consensus.writes.try_send(Write { token, record });
        if sent.is_err() {
            let keeper = Arc::clone(self);
            tokio::spawn(async move { keeper.replica_event(Event::PersistFailed(token)) });
        }
    }

    fn read_done(&self, token: ReadToken, outcome: Result<(), ReadError>) {
        let mut state = self.lock();
        let committed = state.consensus.committed().cloned();
        let answer = outcome.and_then(|()| committed.ok_or(ReadError::Unavailable));
        state.consensus.reads.tell(token.0, answer);
    }

    fn role_changed(self: &Arc<Self>, role: Role) {
        let epoch = self.lock().consensus.replica.epoch().number.0;
        info!(self.log, "role"; "role" => format!("{role:?}"), "epoch" => epoch);
        self.progress.notify_waiters();
        self.wake_planner.notify_one();
    }

    /// The committed state is another one: subscribers are told, those that wait for it look again.
    fn committed(self: &Arc<Self>) {
        self.log_committed();
        self.wake_push.notify_one();
        self.wake_planner.notify_one();
        self.progress.notify_waiters();
    }
}

/// Writes records one after the other, for as long as the keeper lives.
pub(super) async fn write_records(
    keeper: Arc<Keeper>, mut file: super::record_file::RecordFile, mut writes: mpsc::Receiver<Write>,
) {
    while let Some(Write { token, record }) = writes.recv().await {
        let written = write_to_disk(&keeper.log, move || {
            let outcome = file.write(&record);
            (file, outcome)
        });
        // The task ends early only if the write panicked, and then the disk is of no more use.
        let Ok((returned, outcome)) = written.await else { return };
        file = returned;
        match outcome {
            Ok(()) => keeper.replica_event(Event::Persisted(token)),
            Err(error) => {
                slog::warn!(keeper.log, "the disk refuses"; "why" => error.to_string());
                keeper.replica_event(Event::PersistFailed(token));
            }
        }
    }
}

/// Wakes the replica at the times that it names.
pub(super) async fn tick_replica(keeper: Arc<Keeper>, mut wake: watch::Receiver<Time>) {
    loop {
        let at = *wake.borrow_and_update();
        let pause = clock::duration(at.since(clock::now()));
        tokio::select! {
            biased;
            () = tokio::time::sleep(pause) => {
                // The next time to wake is set before anything is awaited.
                keeper.lock().consensus.wake.send_replace(Time::NEVER);
                wake.mark_unchanged();
                keeper.replica_event(Event::Tick);
            }
            changed = wake.changed() => if changed.is_err() { return },
        }
    }
}
