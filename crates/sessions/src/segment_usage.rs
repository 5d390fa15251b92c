//! Accounting of live data per segment on disk. A segment may hold several batches.

use std::collections::{BTreeMap, BTreeSet};

use crate::limits::{MAX_COMPACTION_BYTES, MAX_SMALL_SEGMENTS, SMALL_SEGMENT_BYTES};
use crate::program::SegmentPosition;

#[derive(Clone, Copy, Debug, Default)]
struct SegmentCounters {
    /// The size of the segment.
    bytes: u64,
    /// Bytes of live records, which are those not superseded by a later batch and not expired.
    live_bytes: u64,
    /// The number of live records.
    live_records: u64,
}

/// The segments on disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentUsage {
    segments: BTreeMap<u64, SegmentCounters>,
    /// The sum over all segments.
    bytes: u64,
}

impl SegmentUsage {
    /// Adds a batch that was written to a segment or found in it.
    pub(crate) fn add_batch(&mut self, segment: u64, bytes: u64) {
        self.segments.entry(segment).or_default().bytes += bytes;
        self.bytes += bytes;
    }

    /// Adds a live record.
    pub(crate) fn add_record(&mut self, position: SegmentPosition) {
        if let Some(counters) = self.segments.get_mut(&position.segment) {
            counters.live_records += 1;
            counters.live_bytes += position.bytes;
        }
    }

    /// Removes a record that is no longer live because it was superseded or has expired.
    pub(crate) fn remove_record(&mut self, position: SegmentPosition) {
        if let Some(counters) = self.segments.get_mut(&position.segment) {
            counters.live_records = counters.live_records.saturating_sub(1);
            counters.live_bytes = counters.live_bytes.saturating_sub(position.bytes);
        }
    }

    /// Removes the segments without live records from the accounting and returns their numbers. The caller must remove
    /// their files.
    pub(crate) fn take_unused_segments(&mut self) -> Vec<u64> {
        let unused: Vec<u64> = self
            .segments
            .iter()
            .filter(|(_, counters)| counters.live_records == 0)
            .map(|(segment, _)| *segment)
            .collect();
        for segment in &unused {
            self.bytes -= self.segments.remove(segment).map_or(0, |counters| counters.bytes);
        }
        unused
    }

    /// Selects the segments whose live records are to be rewritten: the oldest small segments if there are too many
    /// small ones, or otherwise one segment of which less than half is live. Empty if no compaction is needed.
    pub(crate) fn segments_to_compact(&self) -> BTreeSet<u64> {
        // The newest segment is excluded: rewritten records may be appended to it, so it would never become empty.
        let Some(newest) = self.segments.keys().next_back() else { return BTreeSet::new() };
        let small: Vec<(u64, u64)> = self
            .segments
            .range(..newest)
            .filter(|(_, counters)| counters.live_bytes < SMALL_SEGMENT_BYTES)
            .map(|(segment, counters)| (*segment, counters.live_bytes))
            .collect();
        if small.len() >= MAX_SMALL_SEGMENTS {
            return oldest_within_limit(&small);
        }
        let sparse = self.segments.range(..newest).find(|(_, counters)| {
            counters.bytes >= SMALL_SEGMENT_BYTES && counters.live_bytes.saturating_mul(2) < counters.bytes
        });
        sparse.map(|(segment, _)| *segment).into_iter().collect()
    }

    /// Bytes of all segments.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }
}

/// Selects the first of these segments, given with their live bytes, up to the limit of one compaction.
fn oldest_within_limit(small: &[(u64, u64)]) -> BTreeSet<u64> {
    let mut bytes = 0;
    let within_limit = small.iter().take_while(|(_, live_bytes)| {
        bytes += live_bytes;
        bytes <= MAX_COMPACTION_BYTES
    });
    within_limit.map(|(segment, _)| *segment).collect()
}
