//! Reads of a table for anti-entropy: digests of ranges, and pages of the records in them.

use std::ops::Bound;

use juniperwing_protocol::transfer::{Record, RecordKey};

use crate::digest::range_of;
use crate::limits::PAGE_TARGET_BYTES;
use crate::program::{RecordEntry, record_bytes};
use crate::table::Table;

/// A page of the records of a partition, ordered by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records.
    pub records: Vec<Record>,
    /// The key of the last record if more records may follow; `None` on the last page.
    pub resume_after: Option<RecordKey>,
}

impl Table {
    /// Computes the digests of `ranges` ranges, into which programs are divided by hash. Programs that expire at or
    /// before `live_after_ms`, in milliseconds since the Unix epoch, are excluded.
    pub fn digests(&self, ranges: u16, live_after_ms: u64) -> Vec<u64> {
        self.sum_digests(ranges, live_after_ms, |entry| entry.digest)
    }

    /// Computes the same digests for the records on disk. A record whose newest version is not on disk contributes a
    /// different value, so that its range compares as different.
    pub fn durable_digests(&self, ranges: u16, live_after_ms: u64) -> Vec<u64> {
        self.sum_digests(ranges, live_after_ms, |entry| {
            if entry.durable_version == entry.version { entry.digest } else { !entry.digest }
        })
    }

    fn sum_digests(&self, ranges: u16, live_after_ms: u64, digest: impl Fn(&RecordEntry) -> u64) -> Vec<u64> {
        let mut digests = vec![0_u64; usize::from(ranges.max(1))];
        for (program, records) in self.programs.iter().filter(|(_, p)| p.expires_at_ms > live_after_ms) {
            let range = usize::from(range_of(program, ranges));
            for entry in records.records.values() {
                digests[range] = digests[range].wrapping_add(digest(entry));
            }
        }
        digests
    }

    /// Returns the next page of records with keys greater than `after`, limited to the `requested` of `ranges` ranges.
    /// Programs that expire at or before `live_after_ms`, in milliseconds since the Unix epoch, are excluded.
    pub fn page(
        &self, ranges: u16, requested: &[u16], live_after_ms: u64, after: Option<&RecordKey>,
    ) -> Page {
        let mut page = Page::default();
        let mut bytes = 0;
        let start = after.map_or(Bound::Unbounded, |key| Bound::Included(key.program.clone()));
        for (program, records) in self.programs.range((start, Bound::Unbounded)) {
            if records.expires_at_ms <= live_after_ms || !requested.contains(&range_of(program, ranges)) {
                continue;
            }
            let start = match after {
                Some(key) if key.program == *program => Bound::Excluded(key.request.clone()),
                _ => Bound::Unbounded,
            };
            for (request, entry) in records.records.range((start, Bound::Unbounded)) {
                bytes += record_bytes(&entry.record);
                page.records.push(entry.record.clone());
                if bytes >= PAGE_TARGET_BYTES {
                    page.resume_after =
                        Some(RecordKey { program: program.clone(), request: request.clone() });
                    return page;
                }
            }
        }
        page
    }
}
