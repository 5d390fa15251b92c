//! The records of one program.

use std::collections::BTreeMap;

use juniperwing_clock::Time;
use juniperwing_protocol::RequestId;
use juniperwing_protocol::transfer::Record;

/// The approximate memory use of a record without the contents of its turn, in bytes.
const RECORD_OVERHEAD_BYTES: u64 = 400;

/// A record and its position on this store's disk.
#[derive(Clone, Debug)]
pub(crate) struct RecordEntry {
    pub(crate) record: Record,
    /// Increases with every change of the record; unique within a table.
    pub(crate) version: u64,
    /// The version on disk; 0 if there is none.
    pub(crate) durable_version: u64,
    /// The position of the record on disk; `None` if it was never written.
    pub(crate) position: Option<SegmentPosition>,
    pub(crate) digest: u64,
}

impl RecordEntry {
    /// Creates an entry; the caller must set its version and digest.
    pub(crate) fn new(record: Record) -> Self {
        RecordEntry { record, version: 0, durable_version: 0, position: None, digest: 0 }
    }
}

/// The segment that holds a record, and the size accounted to the record there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentPosition {
    pub(crate) segment: u64,
    pub(crate) bytes: u64,
}

/// All records of a program, which expire together.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgramRecords {
    pub(crate) records: BTreeMap<RequestId, RecordEntry>,
    /// The latest expiry of the records, in milliseconds since the Unix epoch.
    pub(crate) expires_at_ms: u64,
    /// The expiry on the monotonic clock, including [`crate::limits::EXPIRY_SLACK`].
    pub(crate) expires_at: Time,
}

impl ProgramRecords {
    /// The tokens that count against the budget, excluding those of the request `except`.
    pub(crate) fn tokens_except(&self, except: &RequestId) -> u64 {
        let others = self.records.iter().filter(|(request, _)| *request != except);
        others.fold(0, |sum, (_, entry)| sum.saturating_add(entry.record.tokens))
    }
}

/// The approximate size of a record in bytes.
pub(crate) fn record_bytes(record: &Record) -> u64 {
    let contents = record.turn.as_ref().map_or(0, |turn| turn.input.len() + turn.output.len());
    RECORD_OVERHEAD_BYTES + contents as u64
}
