//! Limits, timeouts and intervals of a store.

use juniperwing_clock::Span;

/// What a store may use, and how often it must replicate.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The number of disks, this store's included, that must hold what is acknowledged.
    pub required_replicas: usize,
    /// Bytes of records in memory above which no further turn is admitted.
    pub memory_bytes: u64,
    /// Bytes of segments on disk above which no further turn is admitted.
    pub disk_bytes: u64,
}

/// How long a program is retained after a turn that is not stored, or was denied, in milliseconds.
pub(crate) const BUDGET_RETENTION_MS: u64 = 120_000;
/// How long a program is retained at least after a turn was admitted, in milliseconds.
pub(crate) const RESERVATION_RETENTION_MS: u64 = 60_000;
/// How long a program is retained at least after a turn was stored, in milliseconds.
pub(crate) const MIN_STORED_TURN_RETENTION_MS: u64 = 60_000;
/// The longest retention granted, in milliseconds; longer ones count as this.
pub(crate) const MAX_RETENTION_MS: u64 = 24 * 3_600_000;
/// How much longer everything is retained, since clocks differ and may step.
pub(crate) const EXPIRY_SLACK: Span = Span::from_millis(10_000);
/// How long ago a program may have expired to take part in a synchronization, in milliseconds. Clocks differ and step
/// by less, and no replica drops anything as early. A replica need not get what expired before.
pub(crate) const SYNC_EXPIRY_SLACK_MS: u64 = 5_000;
/// The delay before the synchronization of a replica is tried again.
pub(crate) const SYNC_RETRY_DELAY: Span = Span::from_millis(250);
/// The interval between two searches for expired programs.
pub(crate) const EXPIRY_SWEEP_INTERVAL: Span = Span::from_millis(10_000);
/// The delay before a write to a replica or to the disk is tried again.
pub(crate) const RETRY_DELAY: Span = Span::from_millis(100);
/// How long a relay's request may wait for replicas before the reply is that the store is unavailable.
pub(crate) const REQUEST_TIMEOUT: Span = Span::from_millis(1_500);
/// How long a replica waits for the map that names an epoch it does not know.
pub(crate) const MAP_WAIT_TIMEOUT: Span = Span::from_millis(400);
/// The number of writes that may be pending.
pub(crate) const MAX_PENDING_WRITES: usize = 4_096;
/// The number of requests that may wait: of relays for synchronized replicas, of stores for a map.
pub(crate) const MAX_WAITING_REQUESTS: usize = 4_096;
/// The number of ranges whose digests two replicas compare.
pub(crate) const DIGEST_RANGE_COUNT: u16 = 16;
/// Bytes of records at which a page ends.
pub(crate) const PAGE_TARGET_BYTES: u64 = 128 << 10;
/// The number of comparisons of two replicas without a delay; each is followed by an exchange of what differs.
pub(crate) const MAX_DIGEST_COMPARISONS: u32 = 3;
/// The number of joining replicas that are filled at the same time, counted by partition.
pub(crate) const MAX_CONCURRENT_JOINING_SYNCS: usize = 16;
/// The number of turns of the longest chain.
pub(crate) const MAX_CHAIN_TURNS: usize = 10_000;
/// Segments with fewer bytes of live records than this are compacted together.
pub(crate) const SMALL_SEGMENT_BYTES: u64 = 64 << 10;
/// The number of small segments at which that is done.
pub(crate) const MAX_SMALL_SEGMENTS: usize = 256;
/// Bytes of live records that one compaction of small segments rewrites.
pub(crate) const MAX_COMPACTION_BYTES: u64 = 1 << 20;
/// The interval between two reports of replicas that have caught up.
pub(crate) const REPORT_INTERVAL: Span = Span::from_millis(500);
