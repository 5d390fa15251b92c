//! Group commit: all records that have changed go into one batch; while it is written the next one gathers.

use std::collections::BTreeSet;

use juniperwing_protocol::PartitionId;
use juniperwing_protocol::transfer::RecordKey;

use crate::event::CallerId;
use crate::write::WriteId;

/// Names a record in the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StoredKey {
    pub(crate) partition: PartitionId,
    pub(crate) key: RecordKey,
}

/// Who waits for the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// A write of this store's own.
    Write(WriteId),
    /// A primary that has sent records.
    Replica(CallerId),
    /// A primary that wants digests of what is on disk.
    Digests { caller: CallerId, partition: PartitionId, ranges: u16, live_after_ms: u64 },
}

/// A record as it was put into the batch under way.
#[derive(Clone, Debug)]
pub(crate) struct Written {
    pub(crate) key: StoredKey,
    pub(crate) version: u64,
    pub(crate) bytes: u64,
}

/// The batch under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Running {
    pub(crate) written: Vec<Written>,
    pub(crate) waiters: Vec<Waiter>,
}

/// What waits for the disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Journal {
    dirty: BTreeSet<StoredKey>,
    gathered: Vec<Waiter>,
    running: Option<Running>,
    /// Whether the last batch failed and the pause before the next has not passed.
    paused: bool,
}

impl Journal {
    /// A record has changed, or must be written again.
    pub(crate) fn mark(&mut self, key: StoredKey) {
        self.dirty.insert(key);
    }

    /// Waits until everything marked so far is on disk; gives the waiter back if it is already.
    pub(crate) fn wait(&mut self, waiter: Waiter) -> Option<Waiter> {
        if !self.dirty.is_empty() {
            self.gathered.push(waiter);
            return None;
        }
        match &mut self.running {
            Some(running) => {
                running.waiters.push(waiter);
                None
            }
            None => Some(waiter),
        }
    }

    /// The keys of the next batch, if one is due and none is under way.
    pub(crate) fn take_dirty(&mut self) -> Option<BTreeSet<StoredKey>> {
        let due = self.running.is_none() && !self.paused && !self.dirty.is_empty();
        due.then(|| std::mem::take(&mut self.dirty))
    }

    /// The batch of the keys taken is under way.
    pub(crate) fn begin(&mut self, written: Vec<Written>) {
        let waiters = std::mem::take(&mut self.gathered);
        self.running = Some(Running { written, waiters });
    }

    /// The batch under way has ended well.
    pub(crate) fn succeed(&mut self) -> Running {
        self.running.take().unwrap_or_default()
    }

    /// The batch under way has failed: its records wait for the next one, after a pause. Returns who waited.
    pub(crate) fn fail(&mut self) -> Vec<Waiter> {
        let Some(running) = self.running.take() else { return Vec::new() };
        self.dirty.extend(running.written.into_iter().map(|written| written.key));
        self.paused = true;
        running.waiters
    }

    /// The pause is over.
    pub(crate) fn resume(&mut self) {
        self.paused = false;
    }

    /// Whether the disk refused the last batch.
    pub(crate) fn is_paused(&self) -> bool {
        self.paused
    }

    /// Whether a batch is being written.
    pub(crate) fn is_writing(&self) -> bool {
        self.running.is_some()
    }

    /// Whether nothing is written and nothing waits to be.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_none() && self.dirty.is_empty()
    }
}
