//! Group commit: all changed records are written in one batch, while changes for the next batch accumulate.

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

/// An operation that waits until records are on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DurabilityWaiter {
    /// A write that this store replicates as a primary.
    Write(WriteId),
    /// A primary that has sent records to this replica.
    Replica(CallerId),
    /// A primary that has requested digests of the records on disk.
    Digests { caller: CallerId, partition: PartitionId, ranges: u16, live_after_ms: u64 },
}

/// The version of a record that is in the batch in flight.
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
    /// Whether the last batch failed and its retry delay has not elapsed.
    is_paused: bool,
}

impl GroupCommit {
    /// Marks a record for the next batch, because it has changed or its segment is being compacted.
    pub(crate) fn mark_dirty(&mut self, key: StoredRecordKey) {
        self.dirty_keys.insert(key);
    }

    /// Registers a waiter for everything marked so far to be on disk; returns the waiter if that is already the case.
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

    /// Takes the keys of the next batch; `None` if there is nothing to write, a batch is in flight, or writes are
    /// paused.
    pub(crate) fn take_next_batch(&mut self) -> Option<BTreeSet<StoredRecordKey>> {
        let is_ready = self.in_flight.is_none() && !self.is_paused && !self.dirty_keys.is_empty();
        is_ready.then(|| std::mem::take(&mut self.dirty_keys))
    }

    /// Records that the batch with the keys from [`GroupCommit::take_next_batch`] is in flight.
    pub(crate) fn start_batch(&mut self, entries: Vec<BatchEntry>) {
        let waiters = std::mem::take(&mut self.next_batch_waiters);
        self.in_flight = Some(InFlightBatch { entries, waiters });
    }

    /// Removes and returns the batch in flight, which is now on disk.
    pub(crate) fn complete_batch(&mut self) -> InFlightBatch {
        self.in_flight.take().unwrap_or_default()
    }

    /// Moves the records of the failed batch to the next one and pauses writes. Returns the waiters of the failed
    /// batch.
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

    /// Whether writes are paused after a failed batch.
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
