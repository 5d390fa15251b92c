//! The records of one program.

use std::collections::BTreeMap;
use std::hash::Hasher;

use fnv::FnvHasher;
use juniperwing_clock::Time;
use juniperwing_protocol::transfer::Record;
use juniperwing_protocol::{ProgramId, RequestId};

/// Bytes that a record takes in memory beside its turn's.
const RECORD_BYTES: u64 = 400;

/// A record with what is known of its copy on this store's disk.
#[derive(Clone, Debug)]
pub(crate) struct RecordEntry {
    pub(crate) record: Record,
    /// Rises with every change of the record, and is never used twice in a table.
    pub(crate) version: u64,
    /// The version on disk; 0 for none.
    pub(crate) durable_version: u64,
    /// The segment that holds it, and the bytes that it takes there; `None` if it was never written.
    pub(crate) position: Option<SegmentPosition>,
    pub(crate) digest: u64,
}

/// Where a record lies on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentPosition {
    pub(crate) segment: u64,
    pub(crate) bytes: u64,
}

/// All that is held of a program. It is forgotten as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgramRecords {
    pub(crate) records: BTreeMap<RequestId, RecordEntry>,
    /// The latest expiry of its records.
    pub(crate) expires_at_ms: u64,
    /// The same on the steady clock, with slack.
    pub(crate) expires_at: Time,
}

impl ProgramRecords {
    /// Tokens that count against the budget, those of `except` left out.
    pub(crate) fn tokens_except(&self, except: &RequestId) -> u64 {
        let others = self.records.iter().filter(|(request, _)| *request != except);
        others.fold(0, |sum, (_, held)| sum.saturating_add(held.record.tokens))
    }
}

/// The bytes that a record takes, roughly.
pub(crate) fn record_bytes(record: &Record) -> u64 {
    let turn = record.turn.as_ref().map_or(0, |turn| turn.input.len() + turn.output.len());
    RECORD_BYTES + turn as u64
}

/// A number that differs between records that differ, the same on every store. The contents of a turn count by
/// their length: they do not change.
pub(crate) fn record_digest(record: &Record) -> u64 {
    let mut hash = Fnv::new();
    hash.text(&record.program.0);
    hash.text(&record.request.0);
    hash.number(record.tokens);
    hash.number(u64::from(record.is_committed));
    hash.number(record.expires_at_ms);
    if let Some(turn) = &record.turn {
        hash.number(turn.input.len() as u64);
        hash.number(turn.output.len() as u64);
        hash.text(turn.previous.as_ref().map_or("", |previous| &previous.0));
    }
    hash.finish()
}

/// The range, out of `ranges`, that a program falls into.
pub(crate) fn range_of(program: &ProgramId, ranges: u16) -> u16 {
    let mut hash = Fnv::new();
    hash.text(&program.0);
    (hash.finish() % u64::from(ranges.max(1))) as u16
}

/// FNV-1a with a mixing step at the end, so that sums of digests do not cancel.
struct Fnv(FnvHasher);

impl Fnv {
    fn new() -> Self {
        Fnv(FnvHasher::default())
    }

    fn text(&mut self, text: &str) {
        self.0.write(text.as_bytes());
        // Ends the text, so that two texts in a row are not taken for one.
        self.0.write_u8(0xff);
    }

    fn number(&mut self, number: u64) {
        self.0.write(&number.to_le_bytes());
    }

    fn finish(&self) -> u64 {
        let hash = self.0.finish();
        let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        mixed ^ (mixed >> 33)
    }
}
