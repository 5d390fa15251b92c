//! Recovery at startup from the batches and the map version on disk.

use juniperwing_protocol::transfer::RecordKey;

use crate::batch::StoredRecord;
use crate::event::{ClockReading, Command};
use crate::group_commit::StoredRecordKey;
use crate::program::{SegmentPosition, record_bytes};
use crate::store::Store;

impl Store {
    /// Recovers a batch found in a segment. Batches must be passed in the order in which they were written.
    pub fn recover_batch(
        &mut self, clock: ClockReading, segment: u64, bytes: u64, records: Vec<StoredRecord>,
    ) {
        self.clock = clock;
        self.segment_usage.add_batch(segment, bytes);
        for stored in records {
            self.recover_record(segment, stored);
        }
    }

    fn recover_record(&mut self, segment: u64, stored: StoredRecord) {
        let StoredRecord { partition, record } = stored;
        let table = self.tables.entry(partition).or_default();
        let has_changed = table.merge(&record, self.clock);
        let key = RecordKey { program: record.program.clone(), request: record.request.clone() };
        let Some(entry) = table.entry_mut(&key).filter(|_| has_changed) else { return };
        let position = SegmentPosition { segment, bytes: record_bytes(&entry.record) };
        let is_durable = entry.record == record;
        let previous = entry.position.replace(position);
        entry.durable_version = if is_durable { entry.version } else { 0 };
        self.segment_usage.add_record(position);
        if let Some(previous) = previous {
            self.segment_usage.remove_record(previous);
        }
        // No batch holds the result of merging this record with an earlier one, so it must be written.
        if !is_durable {
            self.group_commit.mark_dirty(StoredRecordKey { partition, key });
        }
    }

    /// Recovers the map version; older maps are ignored from then on.
    pub fn recover_map_version(&mut self, version: u64) {
        self.durable_map_version.recover(version);
    }

    /// Finishes the recovery: removes expired programs and returns the commands to execute.
    pub fn finish_recovery(&mut self, clock: ClockReading) -> Vec<Command> {
        self.clock = clock;
        self.remove_expired();
        self.schedule_sweep();
        self.run_pending()
    }
}
