//! The events that a replica handles and the commands that it returns.

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

/// Pairs [`Command::ProposeCompleted`] with its [`Event::Propose`]; chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposeToken(pub u64);

/// Pairs [`Command::ReadCompleted`] with its [`Event::Read`]; chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadToken(pub u64);

/// Everything that a keeper stores on disk, in one file that is replaced atomically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The promise and the accepted epoch.
    pub acceptor: AcceptorState,
    /// The version of the state.
    pub version: Version,
    /// The state, encoded.
    pub state: Arc<Vec<u8>>,
}

/// An input of a replica.
#[derive(Clone, Debug)]
pub enum Event<S: ReplicatedState> {
    /// A message has arrived.
    Message(ReplicationMessage),
    /// The record is on disk: the file and its directory entry are synced.
    Persisted(PersistToken),
    /// The record could not be written: a primary steps down, and the replica requests the write again later.
    PersistFailed(PersistToken),
    /// The time of the last [`Command::WakeAt`] has been reached. Has no effect at any other time.
    Tick,
    /// Requests the replication of a change; only the primary accepts it.
    Propose {
        /// Identifies the outcome.
        token: ProposeToken,
        /// The version that it was computed on (see [`crate::Replica::latest`]).
        base: Version,
        /// The change.
        change: S::Change,
    },
    /// Requests a confirmation that this keeper is primary and its committed state is the newest.
    Read {
        /// Identifies the outcome.
        token: ReadToken,
    },
    /// The process is about to exit: a primary transfers its leadership, and the keeper takes part in no
    /// further election.
    PrepareShutdown,
    /// Addresses where other keepers may listen, in addition to the seeds. Replaces the previous addresses.
    ContactsChanged(Vec<SocketAddr>),
}

/// An output of a replica. Commands must be executed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a message; it may be lost.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The message.
        message: ReplicationMessage,
    },
    /// Write the record and reply with [`Event::Persisted`] or [`Event::PersistFailed`]. At most one is
    /// outstanding.
    Persist {
        /// Identifies the reply.
        token: PersistToken,
        /// The record.
        record: Record,
    },
    /// Pass in [`Event::Tick`] at this time. Replaces an earlier request.
    WakeAt(Time),
    /// The committed state now has this version (see [`crate::Replica::committed`]).
    Committed(Version),
    /// A proposal has completed, with the version that it produced.
    ProposeCompleted {
        /// Identifies the request.
        token: ProposeToken,
        /// The outcome.
        outcome: Result<Version, ProposeError>,
    },
    /// A read has completed. If it is confirmed, the current committed state may be returned for it.
    ReadCompleted {
        /// Identifies the request.
        token: ReadToken,
        /// The outcome.
        outcome: Result<(), ReadError>,
    },
    /// The role has changed.
    RoleChanged(Role),
}

/// The role of a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Not a voter; requests to join.
    Joining,
    /// A voter that follows a primary or waits for one.
    Backup,
    /// Requests pre-votes or has an election in progress.
    Candidate,
    /// Chosen as primary, but not all in-sync replicas have its state yet: serves no requests.
    Recovering,
    /// Primary: serves proposals and reads.
    Primary,
}
