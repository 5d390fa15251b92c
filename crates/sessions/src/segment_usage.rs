//! What still counts in each segment on disk. Several batches may lie in one segment.

use std::collections::{BTreeMap, BTreeSet};

use crate::limits::{MAX_COMPACTION_BYTES, MAX_SMALL_SEGMENTS, SMALL_SEGMENT_BYTES};
use crate::program::SegmentPosition;

#[derive(Clone, Copy, Debug, Default)]
struct SegmentCounters {
    /// The size of the segment.
    bytes: u64,
    /// Bytes of records that no later batch holds.
    live_bytes: u64,
    /// The number of these records.
    live_records: u64,
}

/// The segments on disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentUsage {
    segments: BTreeMap<u64, SegmentCounters>,
    bytes: u64,
}

impl SegmentUsage {
    /// A batch in this segment was written or found.
    pub(crate) fn add_batch(&mut self, segment: u64, bytes: u64) {
        self.segments.entry(segment).or_default().bytes += bytes;
        self.bytes += bytes;
    }

    /// A record's newest version lies here.
    pub(crate) fn add_record(&mut self, place: SegmentPosition) {
        if let Some(account) = self.segments.get_mut(&place.segment) {
            account.live_records += 1;
            account.live_bytes += place.bytes;
        }
    }

    /// What lies here counts no more.
    pub(crate) fn remove_record(&mut self, place: SegmentPosition) {
        if let Some(account) = self.segments.get_mut(&place.segment) {
            account.live_records = account.live_records.saturating_sub(1);
            account.live_bytes = account.live_bytes.saturating_sub(place.bytes);
        }
    }

    /// Takes out the segments in which nothing counts; they are to be removed.
    pub(crate) fn take_unused_segments(&mut self) -> Vec<u64> {
        let empty: Vec<u64> = self
            .segments
            .iter()
            .filter(|(_, account)| account.live_records == 0)
            .map(|(segment, _)| *segment)
            .collect();
        for segment in &empty {
            self.bytes -= self.segments.remove(segment).map_or(0, |account| account.bytes);
        }
        empty
    }

    /// The segments whose records are worth writing again: the oldest of many small ones, or else one of which
    /// less than half counts. Empty if there are none.
    pub(crate) fn segments_to_compact(&self) -> BTreeSet<u64> {
        // Survivors may be written into the newest segment, which would never get rid of them.
        let Some(newest) = self.segments.keys().next_back() else { return BTreeSet::new() };
        let small: Vec<(u64, u64)> = self
            .segments
            .range(..newest)
            .filter(|(_, account)| account.live_bytes < SMALL_SEGMENT_BYTES)
            .map(|(segment, account)| (*segment, account.live_bytes))
            .collect();
        if small.len() >= MAX_SMALL_SEGMENTS {
            return oldest_within_limit(&small);
        }
        let wasteful = self.segments.range(..newest).find(|(_, account)| {
            account.bytes >= SMALL_SEGMENT_BYTES && account.live_bytes.saturating_mul(2) < account.bytes
        });
        wasteful.map(|(segment, _)| *segment).into_iter().collect()
    }

    /// Bytes of all segments.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }
}

fn oldest_within_limit(small: &[(u64, u64)]) -> BTreeSet<u64> {
    let mut bytes = 0;
    let within = small.iter().take_while(|(_, live)| {
        bytes += live;
        bytes <= MAX_COMPACTION_BYTES
    });
    within.map(|(segment, _)| *segment).collect()
}
