//! What stores tell each other: records as they are written, and digests for repair.

use serde::{Deserialize, Serialize};

use crate::identity::{EpochNumber, PartitionId, ProgramId, RequestId};
use crate::session::{PartitionEpoch, Turn};

/// A record of the session store. Records merge: a settled one supersedes a reserved one, a kept turn stays.
/// All records of a program are forgotten together, when the last of them expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The program.
    pub program: ProgramId,
    /// The try.
    pub request: RequestId,
    /// Tokens that count against the budget.
    pub tokens: u64,
    /// Whether `tokens` is what was handed out, not the most that may be.
    pub is_committed: bool,
    /// The turn, if it is kept.
    pub turn: Option<Turn>,
    /// When it may be forgotten, in milliseconds of the time of day.
    pub expires_at_ms: u64,
}

/// Names a record within its partition.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// The program.
    pub program: ProgramId,
    /// The try.
    pub request: RequestId,
}

/// A store asks another store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TransferRequest {
    /// The primary writes records; the answer comes when they are on disk.
    Write {
        /// The partition.
        partition: PartitionId,
        /// The primary's epoch.
        epoch: EpochNumber,
        /// The records.
        records: Vec<Record>,
    },
    /// The primary asks whether its epochs still hold: answered [`TransferReply::Written`] if all of them do.
    Confirm {
        /// The partitions, in the primary's epochs.
        partitions: Vec<PartitionEpoch>,
    },
    /// The digests of `ranges` equal ranges of the hashes of keys.
    Digests {
        /// The partition.
        partition: PartitionId,
        /// The primary's epoch.
        epoch: EpochNumber,
        /// How many ranges.
        ranges: u16,
        /// Programs that may be forgotten by this time of day, in milliseconds, are passed over.
        live_after_ms: u64,
    },
    /// The records of some of these ranges, page by page.
    Records {
        /// The partition.
        partition: PartitionId,
        /// The primary's epoch.
        epoch: EpochNumber,
        /// How many ranges there are.
        ranges: u16,
        /// Those wanted.
        requested: Vec<u16>,
        /// Programs that may be forgotten by this time of day, in milliseconds, are passed over.
        live_after_ms: u64,
        /// The last record of the page before.
        after: Option<RecordKey>,
    },
}

/// A store answers another store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TransferReply {
    /// On disk.
    Written,
    /// The digests asked for.
    Digests(Vec<u64>),
    /// The records asked for, as many as a page takes.
    Records {
        /// The records, in the order of their keys.
        records: Vec<Record>,
        /// The last of them, if there may be more behind it.
        next: Option<RecordKey>,
    },
    /// The epoch named is not the one that this store goes by.
    Fenced {
        /// The epoch that it goes by.
        epoch: EpochNumber,
    },
    /// It could not be done, for instance because the disk is full.
    Failed,
}
