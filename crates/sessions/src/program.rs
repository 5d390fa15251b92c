//! The records of one program.

use std::collections::BTreeMap;

use juniperwing_clock::Time;
use juniperwing_protocol::RequestId;
use juniperwing_protocol::transfer::Record;

/// Bytes that a record takes in memory beside the contents of its turn.
const RECORD_OVERHEAD_BYTES: u64 = 400;

/// A record, and where it is on this store's disk.
#[derive(Clone, Debug)]
pub(crate) struct RecordEntry {
    pub(crate) record: Record,
    /// Increases with every change of the record, and is never used twice in a table.
    pub(crate) version: u64,
    /// The version on disk; 0 for none.
    pub(crate) durable_version: u64,
    /// Where the version on disk is; `None` if the record was never written.
    pub(crate) position: Option<SegmentPosition>,
    pub(crate) digest: u64,
}

impl RecordEntry {
    /// An entry without a version and digest yet.
    pub(crate) fn new(record: Record) -> Self {
        RecordEntry { record, version: 0, durable_version: 0, position: None, digest: 0 }
    }
}

/// The segment that holds a record, and the bytes that the record counts for there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentPosition {
    pub(crate) segment: u64,
    pub(crate) bytes: u64,
}

/// All records of a program. They expire together.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgramRecords {
    pub(crate) records: BTreeMap<RequestId, RecordEntry>,
    /// The latest expiry of the records, in milliseconds since the Unix epoch.
    pub(crate) expires_at_ms: u64,
    /// The same by the monotonic clock, with slack.
    pub(crate) expires_at: Time,
}

impl ProgramRecords {
    /// Tokens that count against the budget, without those of the request `except`.
    pub(crate) fn tokens_except(&self, except: &RequestId) -> u64 {
        let others = self.records.iter().filter(|(request, _)| *request != except);
        others.fold(0, |sum, (_, entry)| sum.saturating_add(entry.record.tokens))
    }
}

/// The approximate bytes that a record takes.
pub(crate) fn record_bytes(record: &Record) -> u64 {
    let contents = record.turn.as_ref().map_or(0, |turn| turn.input.len() + turn.output.len());
    RECORD_OVERHEAD_BYTES + contents as u64
}
