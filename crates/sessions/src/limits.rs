//! Bounds of a store, and the spans that it goes by.

use juniperwing_clock::Span;

/// What a store may use and must hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How many disks must hold what is acknowledged.
    pub required_replicas: usize,
    /// Bytes of records in memory above which no further turn is admitted.
    pub memory_bytes: u64,
    /// Bytes of segments on disk above which no further turn is admitted.
    pub disk_bytes: u64,
}

/// For how long a program is remembered after a turn that is not kept, in milliseconds.
pub(crate) const BUDGET_RETENTION_MS: u64 = 120_000;
/// For how long a program is remembered at least after a turn was admitted, in milliseconds.
pub(crate) const RESERVATION_RETENTION_MS: u64 = 60_000;
/// For how long a program is remembered at least after a turn was kept, in milliseconds.
pub(crate) const MIN_STORED_TURN_RETENTION_MS: u64 = 60_000;
/// The pause before a replica that could not be made level is compared again.
pub(crate) const SYNC_RETRY_DELAY: Span = Span::from_millis(250);
/// The longest retention taken, in milliseconds; longer ones count as this.
pub(crate) const MAX_RETENTION_MS: u64 = 24 * 3_600_000;
/// How much longer everything is kept, since clocks differ and may step.
pub(crate) const EXPIRY_SLACK: Span = Span::from_millis(10_000);
/// Two replicas are compared in what has expired this long ago at most: clocks differ and step by less, and no
/// replica drops anything as early. What a replica lacks beyond that, it may forget.
pub(crate) const SYNC_EXPIRY_SLACK_MS: u64 = 5_000;
/// The pause between two searches for expired programs.
pub(crate) const EXPIRY_SWEEP_INTERVAL: Span = Span::from_millis(10_000);
/// The pause before a failed step is tried again: a call to a replica, a batch.
pub(crate) const RETRY_DELAY: Span = Span::from_millis(100);
/// How long a relay's question may wait for replicas before it is answered that it cannot be done now.
pub(crate) const REQUEST_TIMEOUT: Span = Span::from_millis(1_500);
/// How long a replica waits for the map in which an epoch that it does not know is named.
pub(crate) const MAP_WAIT_TIMEOUT: Span = Span::from_millis(400);
/// Writes that may be under way at a time.
pub(crate) const MAX_PENDING_WRITES: usize = 4_096;
/// Questions that may wait at a time: of relays for levelled replicas, of stores for a map.
pub(crate) const MAX_WAITING_REQUESTS: usize = 4_096;
/// Ranges of the digests that two replicas compare.
pub(crate) const DIGEST_RANGE_COUNT: u16 = 16;
/// Bytes of records in one page, at which it ends.
pub(crate) const PAGE_TARGET_BYTES: u64 = 128 << 10;
/// Comparisons of two replicas without a pause; each is followed by an exchange of what differs.
pub(crate) const MAX_DIGEST_COMPARISONS: u32 = 3;
/// Joining replicas that are filled at the same time, counted by partition.
pub(crate) const MAX_CONCURRENT_JOINING_SYNCS: usize = 16;
/// Turns of the longest chain.
pub(crate) const MAX_CHAIN_TURNS: usize = 10_000;
/// Segments below this size, in bytes of records that still count, are written together into one.
pub(crate) const SMALL_SEGMENT_BYTES: u64 = 64 << 10;
/// Small segments at which that is done.
pub(crate) const MAX_SMALL_SEGMENTS: usize = 256;
/// Bytes of records that one compaction writes again.
pub(crate) const MAX_COMPACTION_BYTES: u64 = 1 << 20;
/// The pause between two reports of replicas that have caught up.
pub(crate) const REPORT_INTERVAL: Span = Span::from_millis(500);
