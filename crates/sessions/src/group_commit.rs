//! Group commit: all records that have changed go into one batch; while it is written the next one gathers.

use std::collections::BTreeSet;

use juniperwing_protocol::PartitionId;
use juniperwing_protocol::transfer::RecordKey;

use crate::event::CallerId;
use crate::write::WriteId;

/// Names a record in the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StoredRecordKey {
    pub(crate) partition: PartitionId,
    pub(crate) key: RecordKey,
}

/// Who waits for the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DurabilityWaiter {
    /// A write of this store's own.
    Write(WriteId),
    /// A primary that has sent records.
    Replica(CallerId),
    /// A primary that wants digests of what is on disk.
    Digests { caller: CallerId, partition: PartitionId, ranges: u16, live_after_ms: u64 },
}

/// A record as it was put into the batch under way.
#[derive(Clone, Debug)]
pub(crate) struct BatchEntry {
    pub(crate) key: StoredRecordKey,
    pub(crate) version: u64,
    pub(crate) bytes: u64,
}

/// The batch under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightBatch {
    pub(crate) entries: Vec<BatchEntry>,
    pub(crate) waiters: Vec<DurabilityWaiter>,
}

/// What waits for the disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupCommit {
    dirty_keys: BTreeSet<StoredRecordKey>,
    next_batch_waiters: Vec<DurabilityWaiter>,
    in_flight: Option<InFlightBatch>,
    /// Whether the last batch failed and the pause before the next has not passed.
    is_paused: bool,
}

impl GroupCommit {
    /// A record has changed, or must be written again.
    pub(crate) fn mark_dirty(&mut self, key: StoredRecordKey) {
        self.dirty_keys.insert(key);
    }

    /// Waits until everything marked so far is on disk; gives the waiter back if it is already.
    pub(crate) fn wait(&mut self, waiter: DurabilityWaiter) -> Option<DurabilityWaiter> {
        if !self.dirty_keys.is_empty() {
            self.next_batch_waiters.push(waiter);
            return None;
        }
        match &mut self.in_flight {
            Some(running) => {
                running.waiters.push(waiter);
                None
            }
            None => Some(waiter),
        }
    }

    /// The keys of the next batch, if one is due and none is under way.
    pub(crate) fn take_next_batch(&mut self) -> Option<BTreeSet<StoredRecordKey>> {
        let due = self.in_flight.is_none() && !self.is_paused && !self.dirty_keys.is_empty();
        due.then(|| std::mem::take(&mut self.dirty_keys))
    }

    /// The batch of the keys taken is under way.
    pub(crate) fn start_batch(&mut self, written: Vec<BatchEntry>) {
        let waiters = std::mem::take(&mut self.next_batch_waiters);
        self.in_flight = Some(InFlightBatch { entries: written, waiters });
    }

    /// The batch under way has ended well.
    pub(crate) fn complete_batch(&mut self) -> InFlightBatch {
        self.in_flight.take().unwrap_or_default()
    }

    /// The batch under way has failed: its records wait for the next one, after a pause. Returns who waited.
    pub(crate) fn fail_batch(&mut self) -> Vec<DurabilityWaiter> {
        let Some(running) = self.in_flight.take() else { return Vec::new() };
        self.dirty_keys.extend(running.entries.into_iter().map(|written| written.key));
        self.is_paused = true;
        running.waiters
    }

    /// The pause is over.
    pub(crate) fn resume(&mut self) {
        self.is_paused = false;
    }

    /// Whether the disk refused the last batch.
    pub(crate) fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Whether a batch is being written.
    pub(crate) fn is_batch_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Whether nothing is written and nothing waits to be.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.dirty_keys.is_empty()
    }
}
