//! What anti-entropy reads of a table: digests of ranges, and pages of the records in ranges.

use std::ops::Bound;

use juniperwing_protocol::transfer::{Record, RecordKey};

use crate::digest::range_of;
use crate::limits::PAGE_TARGET_BYTES;
use crate::program::{RecordEntry, record_bytes};
use crate::table::Table;

/// Some of the records of a partition, in the order of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records.
    pub records: Vec<Record>,
    /// The key of the last of them, if there may be more behind it.
    pub resume_after: Option<RecordKey>,
}

impl Table {
    /// The digests of `ranges` equal ranges of the hashes of programs, without programs that expire by
    /// `live_after_ms`, in milliseconds since the Unix epoch.
    pub fn digests(&self, ranges: u16, live_after_ms: u64) -> Vec<u64> {
        self.sum_digests(ranges, live_after_ms, |entry| entry.digest)
    }

    /// The same of the records on disk: a record whose newest version is not on disk makes its range differ.
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

    /// The next page, behind the key `after`, of the records in the `requested` ones of `ranges` ranges, without
    /// programs that expire by `live_after_ms`, in milliseconds since the Unix epoch.
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
