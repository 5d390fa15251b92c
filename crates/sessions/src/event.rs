//! The events that a store handles and the commands that it returns.

use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_clock::Time;
use juniperwing_protocol::session::{SessionReply, SessionRequest};
use juniperwing_protocol::subscription::StoreMap;
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};

use crate::batch::StoredRecord;

/// The time of an event on the monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockReading {
    /// The monotonic clock.
    pub now: Time,
    /// The wall clock in milliseconds since the Unix epoch; it may jump, and differs between machines.
    pub unix_time_ms: u64,
}

/// Identifies a caller that waits for a reply; assigned by the process around the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Identifies a call to another store; assigned by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferCallId(pub u64);

/// An input of a store.
#[derive(Clone, Debug)]
pub enum Event {
    /// A keeper published a map, which may be older than the current one.
    StoreMap(Arc<StoreMap>),
    /// A relay sent a request.
    SessionRequest {
        /// Who waits for the reply.
        caller: CallerId,
        /// The request.
        request: SessionRequest,
    },
    /// Another store sent a request.
    TransferRequest {
        /// Who waits for the reply.
        caller: CallerId,
        /// The request.
        request: TransferRequest,
    },
    /// A call to another store has completed or failed.
    CallCompleted {
        /// The call.
        call: TransferCallId,
        /// The reply; `None` if the connection was lost or the call timed out.
        reply: Option<TransferReply>,
    },
    /// The batch in flight is on disk.
    BatchWritten {
        /// The segment that it was written to.
        segment: u64,
        /// The size of the batch on disk.
        bytes: u64,
    },
    /// The batch in flight could not be written.
    BatchFailed,
    /// The map version is on disk.
    MapVersionWritten {
        /// The version.
        version: u64,
    },
    /// The map version could not be written.
    MapVersionFailed,
    /// The time returned by [`crate::Store::next_wake_at`] has been reached.
    Tick,
}

/// An output of a store, to be executed by the process around it.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Reply to a relay.
    SendSessionReply {
        /// Who waits for it.
        caller: CallerId,
        /// The reply.
        reply: SessionReply,
    },
    /// Reply to a store.
    SendTransferReply {
        /// Who waits for it.
        caller: CallerId,
        /// The reply.
        reply: TransferReply,
    },
    /// Call a store once, without retries; report the result by [`Event::CallCompleted`].
    Call {
        /// Identifies the call.
        call: TransferCallId,
        /// The address of the store.
        to: SocketAddr,
        /// The request.
        request: TransferRequest,
    },
    /// Write a batch and sync it; report the result by [`Event::BatchWritten`] or [`Event::BatchFailed`]. At most one
    /// batch is in flight.
    WriteBatch {
        /// Its records.
        records: Vec<StoredRecord>,
    },
    /// Remove a segment that holds no live record.
    RemoveSegment {
        /// Its number.
        segment: u64,
    },
    /// Write the map version and sync it; report the result by [`Event::MapVersionWritten`] or
    /// [`Event::MapVersionFailed`]. At most one write is in flight.
    WriteMapVersion {
        /// The version.
        version: u64,
    },
    /// Report [`crate::Store::caught_up_replicas`] to the keepers.
    ReportCaughtUp,
}
