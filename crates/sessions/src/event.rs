//! What reaches a store, and what it wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_clock::Time;
use juniperwing_protocol::session::{SessionReply, SessionRequest};
use juniperwing_protocol::subscription::StoreMap;
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};

use crate::batch::StoredRecord;

/// When something happens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moment {
    /// The steady clock.
    pub now: Time,
    /// The time of day in milliseconds; it may jump, and differs between machines.
    pub unix_time_ms: u64,
}

/// Names one who waits for an answer; chosen by the process around the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Names a call to another store; chosen by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferCallId(pub u64);

/// What reaches a store.
#[derive(Clone, Debug)]
pub enum Event {
    /// A keeper told a map; it may be older than the one held.
    StoreMap(Arc<StoreMap>),
    /// A relay asks.
    SessionRequest {
        /// Who waits.
        caller: CallerId,
        /// The question.
        request: SessionRequest,
    },
    /// Another store asks.
    TransferRequest {
        /// Who waits.
        caller: CallerId,
        /// The question.
        request: TransferRequest,
    },
    /// A call has ended.
    CallCompleted {
        /// The call.
        call: TransferCallId,
        /// The answer; `None` if the link broke or no answer came in time.
        reply: Option<TransferReply>,
    },
    /// The batch under way is on disk.
    BatchWritten {
        /// The segment that it lies in.
        segment: u64,
        /// The size of the batch on disk.
        bytes: u64,
    },
    /// The batch under way could not be written.
    BatchFailed,
    /// The map version is on disk.
    MapVersionWritten {
        /// The version.
        version: u64,
    },
    /// The map version could not be written.
    MapVersionFailed,
    /// The time that [`crate::Store::next_wake_at`] named has come.
    Tick,
}

/// What a store wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Answer a relay.
    SendSessionReply {
        /// Who waits.
        caller: CallerId,
        /// The answer.
        reply: SessionReply,
    },
    /// Answer a store.
    SendTransferReply {
        /// Who waits.
        caller: CallerId,
        /// The answer.
        reply: TransferReply,
    },
    /// Call a store, once; tell the end by [`Event::Answered`].
    Call {
        /// Names the call.
        call: TransferCallId,
        /// The store.
        to: SocketAddr,
        /// The question.
        request: TransferRequest,
    },
    /// Write a batch and sync it; tell the end by [`Event::BatchWritten`] or [`Event::BatchFailed`]. There is
    /// one at a time.
    WriteBatch {
        /// Its records.
        records: Vec<StoredRecord>,
    },
    /// Remove a segment that nothing needs.
    RemoveSegment {
        /// Its number.
        segment: u64,
    },
    /// Write the map version and sync it; tell the end by [`Event::MapVersionWritten`] or
    /// [`Event::MapVersionFailed`]. There is one at a time.
    WriteMapVersion {
        /// The version.
        version: u64,
    },
    /// Tell the keepers what [`crate::Store::caught_up_replicas`] returns.
    ReportCaughtUp,
}
