//! What a store can tell of itself in figures, and why it could not decide questions.

use std::collections::BTreeMap;

use juniperwing_protocol::session::SessionReply;

use crate::event::CallerId;
use crate::store::Store;

/// Why a question of a relay could not be decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UnavailableReason {
    /// Fewer replicas are in sync than are required.
    TooFewReplicas,
    /// Too many writes are under way.
    TooManyPendingWrites,
    /// Too many questions wait.
    TooManyWaitingRequests,
    /// Memory or disk is used up, or the disk refuses.
    CapacityExhausted,
    /// A turn before the one that is continued is not held.
    BrokenChain,
    /// The turn has run, or never will.
    AlreadyCommitted,
    /// A replica is not level.
    NotSynchronized,
    /// The replicas have not confirmed the write in time.
    ReplicationTimedOut,
    /// A replica has not confirmed the epoch.
    EpochNotConfirmed,
    /// What is to be kept is another turn than the one that ends.
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

    fn name(self) -> &'static str {
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

/// Figures of a store at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreStatistics {
    /// Partitions that it leads.
    pub partitions_led: u64,
    /// Those of them of which some replica is not level.
    pub partitions_out_of_sync: u64,
    /// Records held.
    pub records: u64,
    /// Their bytes, roughly.
    pub record_bytes: u64,
    /// Bytes of all batches on disk.
    pub disk_bytes: u64,
    /// Turns that are reserved and not settled, of partitions led.
    pub reservations: u64,
    /// Writes that some replica has not confirmed.
    pub pending_writes: u64,
    /// Questions of relays that could not be decided, by reason.
    pub unavailable_replies: Vec<(&'static str, u64)>,
}

impl Store {
    /// Figures now.
    pub fn statistics(&self) -> StoreStatistics {
        let led = || self.led_partitions.keys().filter_map(|partition| self.tables.get(partition));
        let unavailable = UnavailableReason::ALL.map(|reason| {
            (reason.name(), self.unavailable_counts.0.get(&reason).copied().unwrap_or_default())
        });
        StoreStatistics {
            partitions_led: self.led_partitions.len() as u64,
            partitions_out_of_sync: self
                .led_partitions
                .keys()
                .filter(|held| !self.is_synchronized(**held))
                .count() as u64,
            records: self.tables.values().map(|table| table.records().count() as u64).sum(),
            record_bytes: self.tables.values().map(|table| table.bytes()).sum(),
            disk_bytes: self.segment_usage.bytes(),
            reservations: led().flat_map(|table| table.records()).filter(|held| !held.is_committed).count()
                as u64,
            pending_writes: self.pending_writes.len() as u64,
            unavailable_replies: unavailable.to_vec(),
        }
    }

    /// A question cannot be decided now.
    pub(crate) fn send_unavailable(&mut self, caller: CallerId, reason: UnavailableReason) {
        *self.unavailable_counts.0.entry(reason).or_default() += 1;
        self.send_session_reply(caller, SessionReply::Unavailable);
    }
}
