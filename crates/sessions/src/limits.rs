//! Limits, timeouts and intervals of a store.

use juniperwing_clock::Span;

/// The resource limits and the replication factor of a store.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The number of disks, including this store's, that must hold a write before it is acknowledged.
    pub required_replicas: usize,
    /// Bytes of records in memory above which no further turn is admitted.
    pub memory_bytes: u64,
    /// Bytes of segments on disk above which no further turn is admitted.
    pub disk_bytes: u64,
}

/// The output of streams in flight takes up to this fraction of [`Limits::memory_bytes`] in addition to the records.
pub(crate) const OUTPUT_LOG_MEMORY_DIVISOR: u64 = 10;
/// The minimum retention of a program after a turn that was denied or committed without being stored, in milliseconds.
pub(crate) const MIN_BUDGET_RETENTION_MS: u64 = 120_000;
/// The minimum retention of a program after a turn was admitted, in milliseconds.
pub(crate) const MIN_RESERVATION_RETENTION_MS: u64 = 60_000;
/// The minimum retention of a program after a turn was stored, in milliseconds.
pub(crate) const MIN_STORED_TURN_RETENTION_MS: u64 = 60_000;
/// The maximum retention, in milliseconds: the longest one that a configuration may have. Longer ones are reduced to it.
pub(crate) const MAX_RETENTION_MS: u64 = 366 * 86_400_000;
/// Added to every retention, since clocks differ between machines and may step.
pub(crate) const EXPIRY_SLACK: Span = Span::from_millis(10_000);
/// Programs that expired longer ago than this, in milliseconds, are excluded from synchronization. Clocks differ and
/// step by less than this, and no replica drops a program this early, since [`EXPIRY_SLACK`] is longer. A replica does
/// not need programs that expired earlier.
pub(crate) const SYNC_EXPIRY_SLACK_MS: u64 = 5_000;
/// The delay before the synchronization of a replica is retried.
pub(crate) const SYNC_RETRY_DELAY: Span = Span::from_millis(250);
/// The interval between sweeps for expired programs.
pub(crate) const EXPIRY_SWEEP_INTERVAL: Span = Span::from_millis(10_000);
/// The delay before a write to a replica or to the disk is retried.
pub(crate) const RETRY_DELAY: Span = Span::from_millis(100);
/// The delay before a write to an unreachable replica, or its synchronization, is retried.
pub(crate) const UNREACHABLE_RETRY_DELAY: Span = Span::from_millis(500);
/// The time without a reply after which a replica is unreachable. Longer than it takes to remove a lost replica that the
/// partition can do without.
pub(crate) const UNREACHABLE_TIMEOUT: Span = Span::from_millis(500);
/// The time after which failed calls no longer count. Longer than a call and the delay before the next one.
pub(crate) const FAILURE_EXPIRY: Span = Span::from_millis(2_000);
/// How long a relay's request may wait for replicas before the store replies that it is unavailable.
pub(crate) const REQUEST_TIMEOUT: Span = Span::from_millis(1_500);
/// How long a replica waits for the map of an epoch that it does not know.
pub(crate) const MAP_WAIT_TIMEOUT: Span = Span::from_millis(400);
/// The maximum number of pending writes.
pub(crate) const MAX_PENDING_WRITES: usize = 4_096;
/// The maximum number of requests that wait, both those of relays for synchronized replicas and those of stores for a
/// map. Pending epoch confirmations are limited to the same number separately.
pub(crate) const MAX_WAITING_REQUESTS: usize = 4_096;
/// The number of ranges whose digests are compared during synchronization.
pub(crate) const DIGEST_RANGE_COUNT: u16 = 16;
/// The size in bytes at which a page of records is complete.
pub(crate) const PAGE_TARGET_BYTES: u64 = 128 << 10;
/// The maximum number of digest comparisons with a replica before a delay. The records of the ranges that differ are
/// exchanged between two comparisons.
pub(crate) const MAX_DIGEST_COMPARISONS: u32 = 3;
/// The maximum number of concurrent synchronizations of joining replicas, counted per partition.
pub(crate) const MAX_CONCURRENT_JOINING_SYNCS: usize = 16;
/// The maximum number of turns in a chain.
pub(crate) const MAX_CHAIN_TURNS: usize = 10_000;
/// Segments with fewer bytes of live records than this are small, and are compacted together.
pub(crate) const SMALL_SEGMENT_BYTES: u64 = 64 << 10;
/// The number of small segments that triggers their compaction.
pub(crate) const MAX_SMALL_SEGMENTS: usize = 256;
/// The maximum number of bytes of live records that one compaction of small segments rewrites.
pub(crate) const MAX_COMPACTION_BYTES: u64 = 1 << 20;
/// The interval between reports of replicas that have caught up.
pub(crate) const REPORT_INTERVAL: Span = Span::from_millis(500);
