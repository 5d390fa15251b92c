//! Replication between stores: writes of records, and digests for anti-entropy repair.

use serde::{Deserialize, Serialize};

use crate::identity::{EpochNumber, PartitionId, ProgramId, RequestId};
use crate::session::{PartitionEpoch, Turn};

/// The state of a request. The order of the variants is part of the encoding; it is not the precedence of the states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// The turn may run; `tokens` is the maximum that it may generate.
    Reserved,
    /// The turn has ended; `tokens` is the number used.
    Committed,
    /// The turn was denied because of the program's budget and never runs. `tokens` is 0, or the reservation that
    /// another primary made without knowing of the denial.
    Denied,
}

/// A record of the session store.
///
/// Records can be merged in any order: a denial supersedes a reservation but retains its tokens, a committed record
/// supersedes both, and a stored turn is retained. All records of a program are removed together when the last of them
/// expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The program.
    pub program: ProgramId,
    /// The request.
    pub request: RequestId,
    /// Tokens that count against the budget.
    pub tokens: u64,
    /// The state, which determines the meaning of `tokens`.
    pub state: RecordState,
    /// The turn, if it is stored.
    pub turn: Option<Turn>,
    /// The time from which it may be removed, in milliseconds since the Unix epoch.
    pub expires_at_ms: u64,
}

/// The key of a record within its partition.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// The program.
    pub program: ProgramId,
    /// The request.
    pub request: RequestId,
}

/// Calls between stores.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TransferRequest {
    /// The primary replicates records; the reply is sent once they are on disk.
    Write {
        /// The partition.
        partition: PartitionId,
        /// The primary's epoch.
        epoch: EpochNumber,
        /// The records.
        records: Vec<Record>,
    },
    /// The primary queries whether its epochs are still the newest; the reply is [`TransferReply::Written`] if all are.
    Confirm {
        /// The partitions with the primary's epochs.
        partitions: Vec<PartitionEpoch>,
    },
    /// Requests digests of the records, one for each of `ranges` ranges of equal size of the keys' hashes.
    Digests {
        /// The partition.
        partition: PartitionId,
        /// The primary's epoch.
        epoch: EpochNumber,
        /// The number of ranges.
        ranges: u16,
        /// Programs that expire before this time, in milliseconds since the Unix epoch, are omitted.
        live_after_ms: u64,
    },
    /// Requests a page of the records of some of these ranges.
    Records {
        /// The partition.
        partition: PartitionId,
        /// The primary's epoch.
        epoch: EpochNumber,
        /// The number of ranges.
        ranges: u16,
        /// The requested ranges.
        requested: Vec<u16>,
        /// Programs that expire before this time, in milliseconds since the Unix epoch, are omitted.
        live_after_ms: u64,
        /// The last record of the previous page.
        after: Option<RecordKey>,
    },
}

/// Replies between stores.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TransferReply {
    /// Done: the records are on disk, or the epochs are confirmed.
    Written,
    /// The requested digests.
    Digests(Vec<u64>),
    /// A page of the requested records.
    Records {
        /// The records, ordered by key.
        records: Vec<Record>,
        /// The key of the last record, if more may follow.
        next: Option<RecordKey>,
    },
    /// The request's epoch differs from the receiver's: the sender was superseded, or is ahead.
    Fenced {
        /// The receiver's epoch.
        epoch: EpochNumber,
    },
    /// The receiver failed to execute the request, for instance because its disk is full.
    Failed,
}
