//! Group commit: all records that have changed go into one batch; while it is written, the next one is collected.

use std::collections::BTreeSet;

use juniperwing_protocol::PartitionId;
use juniperwing_protocol::transfer::RecordKey;

use crate::event::CallerId;
use crate::write::WriteId;

/// Identifies a record in the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StoredRecordKey {
    pub(crate) partition: PartitionId,
    pub(crate) key: RecordKey,
}

/// What waits until records are on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DurabilityWaiter {
    /// A write that this store makes as a primary.
    Write(WriteId),
    /// A primary that has sent records.
    Replica(CallerId),
    /// A primary that has requested digests of the records on disk.
    Digests { caller: CallerId, partition: PartitionId, ranges: u16, live_after_ms: u64 },
}

/// A record as it was put into the batch in flight.
#[derive(Clone, Debug)]
pub(crate) struct BatchEntry {
    pub(crate) key: StoredRecordKey,
    pub(crate) version: u64,
    pub(crate) bytes: u64,
}

/// The batch that is being written.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightBatch {
    pub(crate) entries: Vec<BatchEntry>,
    pub(crate) waiters: Vec<DurabilityWaiter>,
}

/// The records and waiters of the batch in flight and of the next one.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupCommit {
    dirty_keys: BTreeSet<StoredRecordKey>,
    next_batch_waiters: Vec<DurabilityWaiter>,
    in_flight: Option<InFlightBatch>,
    /// Whether the last batch failed and the delay before the next one has not passed.
    is_paused: bool,
}

impl GroupCommit {
    /// Has a record written with the next batch: it has changed, or its segment is to be removed.
    pub(crate) fn mark_dirty(&mut self, key: StoredRecordKey) {
        self.dirty_keys.insert(key);
    }

    /// Waits until everything marked so far is on disk; returns the waiter if it is already.
    pub(crate) fn wait(&mut self, waiter: DurabilityWaiter) -> Option<DurabilityWaiter> {
        if !self.dirty_keys.is_empty() {
            self.next_batch_waiters.push(waiter);
            return None;
        }
        match &mut self.in_flight {
            Some(batch) => {
                batch.waiters.push(waiter);
                None
            }
            None => Some(waiter),
        }
    }

    /// The keys of the next batch; `None` if there is nothing to write, a batch is in flight, or the disk is paused.
    pub(crate) fn take_next_batch(&mut self) -> Option<BTreeSet<StoredRecordKey>> {
        let is_ready = self.in_flight.is_none() && !self.is_paused && !self.dirty_keys.is_empty();
        is_ready.then(|| std::mem::take(&mut self.dirty_keys))
    }

    /// Puts the batch of the keys from [`GroupCommit::take_next_batch`] in flight.
    pub(crate) fn start_batch(&mut self, entries: Vec<BatchEntry>) {
        let waiters = std::mem::take(&mut self.next_batch_waiters);
        self.in_flight = Some(InFlightBatch { entries, waiters });
    }

    /// Returns the batch in flight, which is on disk.
    pub(crate) fn complete_batch(&mut self) -> InFlightBatch {
        self.in_flight.take().unwrap_or_default()
    }

    /// Puts the records of the batch in flight, which has failed, into the next one, and pauses. Returns its waiters.
    pub(crate) fn fail_batch(&mut self) -> Vec<DurabilityWaiter> {
        let Some(batch) = self.in_flight.take() else { return Vec::new() };
        self.dirty_keys.extend(batch.entries.into_iter().map(|entry| entry.key));
        self.is_paused = true;
        batch.waiters
    }

    /// Ends the pause after a failure.
    pub(crate) fn resume(&mut self) {
        self.is_paused = false;
    }

    /// Whether the last batch failed a short while ago.
    pub(crate) fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Whether a batch is being written.
    pub(crate) fn is_batch_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Whether everything is on disk.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.dirty_keys.is_empty()
    }
}
