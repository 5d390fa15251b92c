//! Statistics of a store, and the reasons why it replies that it is unavailable.

use std::collections::BTreeMap;

use juniperwing_protocol::session::SessionReply;

use juniperwing_protocol::transfer::RecordState;

use crate::event::CallerId;
use crate::store::Store;

/// Why a relay's request could not be processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UnavailableReason {
    /// Fewer replicas are in sync than are required.
    TooFewReplicas,
    /// A replica that must confirm the write does not reply.
    ReplicaUnreachable,
    /// Too many writes are pending.
    TooManyPendingWrites,
    /// Too many requests are waiting.
    TooManyWaitingRequests,
    /// Memory or disk usage exceeds its limit, or the disk fails.
    CapacityExhausted,
    /// The chain that the turn continues is incomplete.
    BrokenChain,
    /// The turn is already committed: it has run or was abandoned, so it must not run now.
    AlreadyCommitted,
    /// An in-sync replica is not synchronized.
    NotSynchronized,
    /// The write was not replicated in time.
    ReplicationTimedOut,
    /// A replica has not confirmed the epoch.
    EpochNotConfirmed,
    /// The turn to be stored does not belong to the request that is finished.
    StoredTurnMismatch,
}

impl UnavailableReason {
    const ALL: [UnavailableReason; 11] = [
        UnavailableReason::TooFewReplicas,
        UnavailableReason::ReplicaUnreachable,
        UnavailableReason::TooManyPendingWrites,
        UnavailableReason::TooManyWaitingRequests,
        UnavailableReason::CapacityExhausted,
        UnavailableReason::BrokenChain,
        UnavailableReason::AlreadyCommitted,
        UnavailableReason::NotSynchronized,
        UnavailableReason::ReplicationTimedOut,
        UnavailableReason::EpochNotConfirmed,
        UnavailableReason::StoredTurnMismatch,
    ];

    /// The label in metrics, which is stable and independent of the variant's name.
    fn label(self) -> &'static str {
        match self {
            UnavailableReason::TooFewReplicas => "too few copies",
            UnavailableReason::ReplicaUnreachable => "replica unreachable",
            UnavailableReason::TooManyPendingWrites => "too many writes",
            UnavailableReason::TooManyWaitingRequests => "too many waiting",
            UnavailableReason::CapacityExhausted => "full",
            UnavailableReason::BrokenChain => "broken chain",
            UnavailableReason::AlreadyCommitted => "already settled",
            UnavailableReason::NotSynchronized => "not level",
            UnavailableReason::ReplicationTimedOut => "overdue",
            UnavailableReason::EpochNotConfirmed => "not confirmed",
            UnavailableReason::StoredTurnMismatch => "wrong turn",
        }
    }
}

/// The number of replies per reason.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnavailableCounts(BTreeMap<UnavailableReason, u64>);

/// Counts what becomes of programs and their turns.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TurnCounters {
    /// Programs that expired.
    pub(crate) expired_programs: u64,
    /// Reservations that expired with their programs: the turns were never committed.
    pub(crate) expired_reservations: u64,
    /// Turns that were to be stored when the store had lost the turn that they continue.
    pub(crate) turns_without_previous: u64,
}

/// A snapshot of the statistics of a store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreStatistics {
    /// The number of partitions that the store leads.
    pub partitions_led: u64,
    /// The number of led partitions with an in-sync replica that is not synchronized.
    pub partitions_out_of_sync: u64,
    /// The number of records in memory.
    pub records: u64,
    /// The approximate size of the records in bytes.
    pub record_bytes: u64,
    /// The approximate size in bytes of the output recorded for clients that resume a stream.
    pub output_log_bytes: u64,
    /// Bytes of all batches on disk.
    pub disk_bytes: u64,
    /// The number of uncommitted reservations in led partitions.
    pub reservations: u64,
    /// The number of writes that are not confirmed by all replicas.
    pub pending_writes: u64,
    /// The number of programs that expired at this store.
    pub expired_programs: u64,
    /// The number of reservations that expired with their programs at this store.
    pub expired_reservations: u64,
    /// The number of turns that were to be stored without the turn that they continue.
    pub turns_without_previous: u64,
    /// The number of relays' requests that could not be processed, by reason label.
    pub unavailable_replies: Vec<(&'static str, u64)>,
}

impl Store {
    /// Returns the current statistics.
    pub fn statistics(&self) -> StoreStatistics {
        let led_partitions = || self.led_partitions.keys();
        let led_records = led_partitions()
            .filter_map(|partition| self.tables.get(partition))
            .flat_map(super::table::Table::records);
        let unavailable_replies = UnavailableReason::ALL
            .map(|reason| (reason.label(), self.unavailable_counts.0.get(&reason).copied().unwrap_or(0)));
        StoreStatistics {
            partitions_led: self.led_partitions.len() as u64,
            partitions_out_of_sync: led_partitions().filter(|led| !self.is_synchronized(**led)).count()
                as u64,
            records: self.tables.values().map(|table| table.records().count() as u64).sum(),
            record_bytes: self.tables.values().map(super::table::Table::bytes).sum(),
            output_log_bytes: self.output_log.bytes(),
            disk_bytes: self.segment_usage.bytes(),
            reservations: led_records.filter(|record| record.state == RecordState::Reserved).count() as u64,
            pending_writes: self.pending_writes.len() as u64,
            expired_programs: self.turn_counters.expired_programs,
            expired_reservations: self.turn_counters.expired_reservations,
            turns_without_previous: self.turn_counters.turns_without_previous,
            unavailable_replies: unavailable_replies.to_vec(),
        }
    }

    /// Replies that the store is unavailable, and counts the reason.
    pub(crate) fn send_unavailable(&mut self, caller: CallerId, reason: UnavailableReason) {
        *self.unavailable_counts.0.entry(reason).or_default() += 1;
        self.send_session_reply(caller, SessionReply::Unavailable);
    }
}
