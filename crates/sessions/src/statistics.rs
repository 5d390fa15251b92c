//! Statistics of a store, and the reasons for which it cannot decide requests.

use std::collections::BTreeMap;

use juniperwing_protocol::session::SessionReply;

use juniperwing_protocol::transfer::RecordState;

use crate::event::CallerId;
use crate::store::Store;

/// Why a relay's request could not be decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UnavailableReason {
    /// Fewer replicas are in sync than are required.
    TooFewReplicas,
    /// Too many writes are pending.
    TooManyPendingWrites,
    /// Too many requests wait.
    TooManyWaitingRequests,
    /// Memory or disk is used up, or the disk fails.
    CapacityExhausted,
    /// A turn before the one that is continued is missing.
    BrokenChain,
    /// The turn is committed already: it has run, or never will.
    AlreadyCommitted,
    /// A replica is not synchronized.
    NotSynchronized,
    /// The replicas have not confirmed the write in time.
    ReplicationTimedOut,
    /// A replica has not confirmed the epoch.
    EpochNotConfirmed,
    /// The turn to be stored is another one than the turn that ends.
    StoredTurnMismatch,
}

impl UnavailableReason {
    const ALL: [UnavailableReason; 10] = [
        UnavailableReason::TooFewReplicas,
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

    /// The label in metrics, which stays as it is whatever the variant is named.
    fn label(self) -> &'static str {
        match self {
            UnavailableReason::TooFewReplicas => "too few copies",
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

/// How often each reason came up.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnavailableCounts(BTreeMap<UnavailableReason, u64>);

/// Statistics of a store at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreStatistics {
    /// Partitions that it leads.
    pub partitions_led: u64,
    /// Those of them of which some in-sync replica is not synchronized.
    pub partitions_out_of_sync: u64,
    /// Records in memory.
    pub records: u64,
    /// Their approximate size in bytes.
    pub record_bytes: u64,
    /// Bytes of all batches on disk.
    pub disk_bytes: u64,
    /// Reservations that are not committed, of partitions led.
    pub reservations: u64,
    /// Writes that some replica has not confirmed.
    pub pending_writes: u64,
    /// The number of relays' requests that could not be decided, by the label of the reason.
    pub unavailable_replies: Vec<(&'static str, u64)>,
}

impl Store {
    /// The present statistics.
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
            disk_bytes: self.segment_usage.bytes(),
            reservations: led_records.filter(|record| record.state == RecordState::Reserved).count() as u64,
            pending_writes: self.pending_writes.len() as u64,
            unavailable_replies: unavailable_replies.to_vec(),
        }
    }

    /// Replies that a request cannot be decided now, and counts the reason.
    pub(crate) fn send_unavailable(&mut self, caller: CallerId, reason: UnavailableReason) {
        *self.unavailable_counts.0.entry(reason).or_default() += 1;
        self.send_session_reply(caller, SessionReply::Unavailable);
    }
}
