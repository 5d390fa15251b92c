//! What goes into a replica and what comes out.

use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_clock::Time;
use juniperwing_protocol::replication::{ReplicationMessage, Version};

use crate::acceptor::AcceptorState;
use crate::error::{ProposeError, ReadError};
use crate::state::ReplicatedState;

/// Pairs [`Event::Persisted`] with its [`Command::Persist`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistToken(pub u64);

/// Pairs [`Command::Proposed`] with its [`Event::Propose`]; the caller's choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposeToken(pub u64);

/// Pairs [`Command::ReadDone`] with its [`Event::Read`]; the caller's choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadToken(pub u64);

/// All that a keeper has on disk, in one file that is replaced whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// What it promised and accepted.
    pub acceptor: AcceptorState,
    /// The version of the state.
    pub version: Version,
    /// The state, encoded.
    pub state: Arc<Vec<u8>>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event<S: ReplicatedState> {
    /// A message came in.
    Message(ReplicationMessage),
    /// The record is on disk, synced, and so is its name.
    Persisted(PersistToken),
    /// The record could not be written. It is handed out again later; a primary steps down.
    PersistFailed(PersistToken),
    /// The time of the last [`Command::WakeAt`] has come. Harmless at any other time.
    Tick,
    /// A change to be made by the primary.
    Propose {
        /// Comes back with the outcome.
        token: ProposeToken,
        /// The version that it was computed on (see [`crate::Replica::latest`]).
        base: Version,
        /// The change.
        change: S::Change,
    },
    /// Asks whether this keeper is primary and its committed state the newest.
    Read {
        /// Comes back with the outcome.
        token: ReadToken,
    },
    /// The process is about to end: a primary hands over, and seeks the office no more.
    PrepareShutdown,
    /// Where other keepers may listen, beside the seeds of the start; replaces those given before.
    ContactsChanged(Vec<SocketAddr>),
}

/// What to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a message; it may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: ReplicationMessage,
    },
    /// Write the record and answer with [`Event::Persisted`]. At most one is outstanding.
    Persist {
        /// To be given back.
        token: PersistToken,
        /// The record.
        record: Record,
    },
    /// Hand in [`Event::Tick`] at this time. Replaces an earlier one.
    WakeAt(Time),
    /// The committed state is now of this version (see [`crate::Replica::committed`]).
    Committed(Version),
    /// A proposal's outcome: the version that it made.
    ProposeCompleted {
        /// Which.
        token: ProposeToken,
        /// The outcome.
        outcome: Result<Version, ProposeError>,
    },
    /// A read's outcome: if confirmed, the committed state of this moment may be given out as an answer to it.
    ReadCompleted {
        /// Which.
        token: ReadToken,
        /// The outcome.
        outcome: Result<(), ReadError>,
    },
    /// The role has changed.
    RoleChanged(Role),
}

/// What a keeper is at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// No voter, and asks to be let in.
    Joining,
    /// A voter that follows a primary or waits for one.
    Backup,
    /// Seeks to become primary.
    Candidate,
    /// Chosen as primary; the in-sync replicas do not all hold its state yet, and nothing may be shown.
    Recovering,
    /// Primary: takes changes and reads.
    Primary,
}
