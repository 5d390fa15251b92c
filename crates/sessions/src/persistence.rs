//! Persistence of a store: batch writes, compaction of segments, and removal of expired programs.

use crate::batch::StoredRecord;
use crate::event::Command;
use crate::group_commit::{BatchEntry, DurabilityWaiter, StoredRecordKey};
use crate::limits::{EXPIRY_SWEEP_INTERVAL, RETRY_DELAY};
use crate::program::{SegmentPosition, record_bytes};
use crate::store::Store;
use crate::timers::Timer;

impl Store {
    /// Starts the next batch if there is something to write and none is in flight.
    pub(crate) fn start_batch(&mut self) {
        let Some(keys) = self.group_commit.take_next_batch() else { return };
        let mut records = Vec::with_capacity(keys.len());
        let mut entries = Vec::with_capacity(keys.len());
        for key in keys {
            let table = self.tables.get(&key.partition);
            let Some(entry) = table.and_then(|table| table.entry(&key.key)) else { continue };
            let bytes = record_bytes(&entry.record);
            records.push(StoredRecord { partition: key.partition, record: entry.record.clone() });
            entries.push(BatchEntry { key, version: entry.version, bytes });
        }
        self.group_commit.start_batch(entries);
        self.commands.push(Command::WriteBatch { records });
    }

    pub(crate) fn handle_batch_written(&mut self, segment: u64, bytes: u64) {
        let batch = self.group_commit.complete_batch();
        self.segment_usage.add_batch(segment, bytes);
        for entry in batch.entries {
            self.mark_record_durable(segment, &entry);
        }
        self.remove_unused_segments();
        self.compact_segments();
        for waiter in batch.waiters {
            self.complete_waiter(waiter);
        }
    }

    fn mark_record_durable(&mut self, segment: u64, written: &BatchEntry) {
        let table = self.tables.get_mut(&written.key.partition);
        let Some(entry) = table.and_then(|table| table.entry_mut(&written.key.key)) else { return };
        let position = SegmentPosition { segment, bytes: written.bytes };
        entry.durable_version = written.version;
        let previous = entry.position.replace(position);
        self.segment_usage.add_record(position);
        if let Some(previous) = previous {
            self.segment_usage.remove_record(previous);
        }
    }

    pub(crate) fn handle_batch_failed(&mut self) {
        let waiters = self.group_commit.fail_batch();
        self.timers.insert((self.clock.now + RETRY_DELAY, Timer::ResumeDisk));
        for waiter in waiters {
            self.fail_waiter(waiter);
        }
    }

    /// Completes `waiter` when all records merged so far are on disk, or fails it if writes are paused.
    pub(crate) fn wait_until_durable(&mut self, waiter: DurabilityWaiter) {
        if self.group_commit.is_paused() {
            self.fail_waiter(waiter);
        } else if let Some(waiter) = self.group_commit.wait(waiter) {
            self.complete_waiter(waiter);
        }
    }

    /// Schedules a rewrite of the live records of small or sparse segments. The segments are removed once that is done.
    fn compact_segments(&mut self) {
        let segments = self.segment_usage.segments_to_compact();
        if segments.is_empty() {
            return;
        }
        for (partition, table) in &self.tables {
            for key in table.keys_in_segments(|segment| segments.contains(&segment)) {
                self.group_commit.mark_dirty(StoredRecordKey { partition: *partition, key });
            }
        }
    }

    /// Schedules the next sweep for expired programs if there are any records.
    pub(crate) fn schedule_sweep(&mut self) {
        if !self.is_sweep_scheduled && self.tables.values().any(|table| !table.is_empty()) {
            self.is_sweep_scheduled = true;
            self.timers.insert((self.clock.now + EXPIRY_SWEEP_INTERVAL, Timer::ExpirySweep));
        }
    }

    pub(crate) fn sweep_interval_elapsed(&mut self) {
        self.is_sweep_scheduled = false;
        self.remove_expired();
        self.schedule_sweep();
    }

    /// Removes expired programs from memory, and segments without other live records from disk.
    pub(crate) fn remove_expired(&mut self) {
        for table in self.tables.values_mut() {
            let expired = table.remove_expired(self.clock);
            self.turn_counters.expired_programs += expired.programs;
            self.turn_counters.expired_reservations += expired.reservations;
            for position in expired.positions {
                self.segment_usage.remove_record(position);
            }
        }
        self.remove_unused_segments();
    }

    /// Removes segments without live records. While a batch is in flight nothing is removed, since the batch may be
    /// written to any of these segments.
    fn remove_unused_segments(&mut self) {
        if self.group_commit.is_batch_in_flight() {
            return;
        }
        for segment in self.segment_usage.take_unused_segments() {
            self.commands.push(Command::RemoveSegment { segment });
        }
    }
}
