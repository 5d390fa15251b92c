//! The store as a whole: what it holds, its timers, and where events go.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use juniperwing_clock::Time;
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::session::SessionRequest;
use juniperwing_protocol::subscription::StoreMap;
use juniperwing_protocol::transfer::{RecordKey, TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, PartitionId};

use crate::anti_entropy::LedPartition;
use crate::batch::StoredRecord;
use crate::call::CallPurpose;
use crate::event::{CallerId, Command, Event, Moment, TransferCallId};
use crate::group_commit::{BatchEntry, GroupCommit, StoredRecordKey};
use crate::limits::{EXPIRY_SWEEP_INTERVAL, Limits, RETRY_DELAY};
use crate::map_version::DurableMapVersion;
use crate::primary::{EpochConfirmation, EpochConfirmationId};
use crate::program::{SegmentPosition, record_bytes};
use crate::segment_usage::SegmentUsage;
use crate::statistics::{UnavailableCounts, UnavailableReason};
use crate::table::Table;
use crate::write::{PendingWrite, WriteId};

/// What happens at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A replica may be compared.
    SyncReplica(PartitionId, DiskId),
    /// A write may be sent again.
    ResendWrite(WriteId, DiskId),
    /// The caller of a write has waited for long enough.
    WriteTimeout(WriteId),
    /// A question has waited for long enough.
    RequestTimeout(u64),
    /// The keepers may be told again.
    ReportInterval,
    /// The disk may be tried again.
    ResumeDisk,
    /// Expired programs are looked for.
    ExpirySweep,
}

/// A question that waits.
#[derive(Clone, Debug)]
pub(crate) enum WaitingRequest {
    /// Of a relay, until all replicas of the partition are level.
    ForSync { caller: CallerId, request: SessionRequest },
    /// Of a store, until the map names its epoch.
    ForMap { caller: CallerId, request: TransferRequest },
}

/// The state machine of a store. It does no I/O and reads no clock.
#[derive(Clone, Debug)]
pub struct Store {
    pub(crate) disk: DiskId,
    pub(crate) limits: Limits,
    pub(crate) map: Arc<StoreMap>,
    pub(crate) tables: BTreeMap<PartitionId, Table>,
    pub(crate) led_partitions: BTreeMap<PartitionId, LedPartition>,
    pub(crate) pending_writes: BTreeMap<WriteId, PendingWrite>,
    pub(crate) epoch_confirmations: BTreeMap<EpochConfirmationId, EpochConfirmation>,
    pub(crate) calls: BTreeMap<TransferCallId, CallPurpose>,
    pub(crate) waiting: BTreeMap<u64, WaitingRequest>,
    /// Joining replicas that wait until fewer are being filled.
    pub(crate) waiting_syncs: BTreeSet<(PartitionId, DiskId)>,
    pub(crate) group_commit: GroupCommit,
    pub(crate) segment_usage: SegmentUsage,
    pub(crate) timers: BTreeSet<(Time, Timer)>,
    pub(crate) is_report_scheduled: bool,
    pub(crate) durable_map_version: DurableMapVersion,
    pub(crate) moment: Moment,
    pub(crate) commands: Vec<Command>,
    pub(crate) unavailable_counts: UnavailableCounts,
    is_sweep_scheduled: bool,
    last_number: u64,
}

impl Store {
    /// A store with an empty disk of this identity.
    pub fn new(disk: DiskId, limits: Limits) -> Self {
        Store {
            disk,
            limits,
            map: Arc::default(),
            tables: BTreeMap::new(),
            led_partitions: BTreeMap::new(),
            pending_writes: BTreeMap::new(),
            epoch_confirmations: BTreeMap::new(),
            calls: BTreeMap::new(),
            waiting: BTreeMap::new(),
            waiting_syncs: BTreeSet::new(),
            group_commit: GroupCommit::default(),
            segment_usage: SegmentUsage::default(),
            timers: BTreeSet::new(),
            is_report_scheduled: false,
            durable_map_version: DurableMapVersion::default(),
            moment: Moment::default(),
            commands: Vec::new(),
            unavailable_counts: UnavailableCounts::default(),
            is_sweep_scheduled: false,
            last_number: 0,
        }
    }

    /// Takes a batch that was found in a segment at the start; batches come in the order in which they were written.
    pub fn recover_batch(&mut self, moment: Moment, segment: u64, bytes: u64, records: Vec<StoredRecord>) {
        self.moment = moment;
        self.segment_usage.add_batch(segment, bytes);
        for stored in records {
            self.recover_record(segment, stored);
        }
    }

    fn recover_record(&mut self, segment: u64, stored: StoredRecord) {
        let StoredRecord { partition, record } = stored;
        let table = self.tables.entry(partition).or_default();
        let changed = table.merge(&record, self.moment);
        let key = RecordKey { program: record.program.clone(), request: record.request.clone() };
        let Some(held) = table.entry_mut(&key).filter(|_| changed) else { return };
        let place = SegmentPosition { segment, bytes: record_bytes(&held.record) };
        let whole = held.record == record;
        let before = held.position.replace(place);
        held.durable_version = if whole { held.version } else { 0 };
        self.segment_usage.add_record(place);
        if let Some(before) = before {
            self.segment_usage.remove_record(before);
        }
        if !whole {
            self.group_commit.mark_dirty(StoredRecordKey { partition, key });
        }
    }

    /// Takes the map version that was found on disk at the start. Older maps count for nothing from now on.
    pub fn recover_map_version(&mut self, version: u64) {
        self.durable_map_version.recover(version);
    }

    /// All batches have been taken: forgets what has expired, and returns what is to be done.
    pub fn finish_recovery(&mut self, moment: Moment) -> Vec<Command> {
        self.moment = moment;
        self.remove_expired();
        self.schedule_sweep();
        self.run_pending()
    }

    /// Handles an event; returns what is to be done.
    pub fn handle(&mut self, moment: Moment, event: Event) -> Vec<Command> {
        self.moment = moment;
        match event {
            Event::StoreMap(map) => self.handle_store_map(map),
            Event::SessionRequest { caller, request } => self.handle_session_request(caller, request),
            Event::TransferRequest { caller, request } => {
                self.handle_transfer_request(caller, request, false)
            }
            Event::CallCompleted { call, reply } => self.handle_call_completed(call, reply),
            Event::BatchWritten { segment, bytes } => self.handle_batch_written(segment, bytes),
            Event::BatchFailed => self.handle_batch_failed(),
            Event::MapVersionWritten { version } => self.handle_map_version_written(version),
            Event::MapVersionFailed => self.durable_map_version.fail_write(),
            Event::Tick => {}
        }
        self.run_pending()
    }

    /// When [`Event::Tick`] is wanted; `None` if nothing waits.
    pub fn next_wake_at(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// The version of the map held.
    pub fn map_version(&self) -> u64 {
        self.map.version
    }

    /// Whether nobody waits for an answer and all is on disk.
    pub fn is_idle(&self) -> bool {
        let answered = self.pending_writes.values().all(|write| write.pending_reply.is_none());
        answered
            && self.epoch_confirmations.is_empty()
            && self.waiting.is_empty()
            && self.group_commit.is_idle()
    }

    /// Whether some partition has its only copy here while another store is being filled with it.
    pub fn is_filling_second_replica(&self) -> bool {
        self.map.partitions.iter().any(|held| held.in_sync == [self.disk] && !held.joining.is_empty())
    }

    /// The records of a partition.
    pub fn table(&self, partition: PartitionId) -> Option<&Table> {
        self.tables.get(&partition)
    }

    /// Does what is due and starts a batch if there is something to write.
    fn run_pending(&mut self) -> Vec<Command> {
        self.run_timers();
        self.start_waiting_syncs();
        self.start_batch();
        std::mem::take(&mut self.commands)
    }

    fn handle_store_map(&mut self, map: Arc<StoreMap>) {
        if map.version <= self.map.version || map.version < self.durable_map_version.durable() {
            return;
        }
        let before = std::mem::replace(&mut self.map, map);
        check(Invariant::StoreMapVersionNeverDecreases, before.version < self.map.version, || {
            format!("disk {}, map {} after {}", self.disk.0, self.map.version, before.version)
        });
        let count = self.map.partitions.len().max(before.partitions.len()) as u16;
        for partition in (0..count).map(PartitionId) {
            if before.assignment(partition) != self.map.assignment(partition) {
                self.handle_reassignment(partition);
            }
        }
        self.resume_transfers();
    }

    fn handle_reassignment(&mut self, partition: PartitionId) {
        let leads = self.map.assignment(partition).is_some_and(|assignment| assignment.primary == self.disk);
        if leads {
            self.update_led_partition(partition);
            self.reevaluate_writes(partition);
        } else if self.led_partitions.remove(&partition).is_some() {
            self.abandon_writes(partition);
        }
        if !leads || self.is_synchronized(partition) {
            self.resume_requests(partition);
        }
    }

    /// Decides the questions that waited for a partition.
    pub(crate) fn resume_requests(&mut self, partition: PartitionId) {
        let waits = |waiting: &WaitingRequest| match waiting {
            WaitingRequest::ForSync { request, .. } => request.partition == partition,
            WaitingRequest::ForMap { .. } => false,
        };
        for waiting in self.take_waiting(waits) {
            if let WaitingRequest::ForSync { caller, request } = waiting {
                self.handle_session_request(caller, request);
            }
        }
    }

    fn resume_transfers(&mut self) {
        for waiting in self.take_waiting(|waiting| matches!(waiting, WaitingRequest::ForMap { .. })) {
            if let WaitingRequest::ForMap { caller, request } = waiting {
                self.handle_transfer_request(caller, request, false);
            }
        }
    }

    fn take_waiting(&mut self, which: impl Fn(&WaitingRequest) -> bool) -> Vec<WaitingRequest> {
        let (taken, left) = std::mem::take(&mut self.waiting).into_iter().partition(|(_, held)| which(held));
        self.waiting = left;
        let taken: BTreeMap<u64, WaitingRequest> = taken;
        taken.into_values().collect()
    }

    fn run_timers(&mut self) {
        while let Some((at, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= self.moment.now) {
            self.timers.remove(&(at, timer));
            match timer {
                Timer::SyncReplica(partition, replica) => self.start_sync(partition, replica),
                Timer::ResendWrite(write, replica) => self.resend_write(write, replica),
                Timer::WriteTimeout(write) => self.write_timed_out(write),
                Timer::RequestTimeout(number) => self.request_timed_out(number),
                Timer::ReportInterval => self.report_interval_elapsed(),
                Timer::ResumeDisk => self.group_commit.resume(),
                Timer::ExpirySweep => self.sweep_interval_elapsed(),
            }
        }
    }

    fn request_timed_out(&mut self, number: u64) {
        match self.waiting.remove(&number) {
            Some(WaitingRequest::ForSync { caller, .. }) => {
                self.send_unavailable(caller, UnavailableReason::NotSynchronized)
            }
            Some(WaitingRequest::ForMap { caller, .. }) => {
                self.send_transfer_reply(caller, TransferReply::Failed)
            }
            None => {}
        }
    }

    fn start_batch(&mut self) {
        let Some(keys) = self.group_commit.take_next_batch() else { return };
        let mut records = Vec::with_capacity(keys.len());
        let mut written = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(held) = self.tables.get(&key.partition).and_then(|table| table.entry(&key.key)) else {
                continue;
            };
            let bytes = record_bytes(&held.record);
            records.push(StoredRecord { partition: key.partition, record: held.record.clone() });
            written.push(BatchEntry { key, version: held.version, bytes });
        }
        self.group_commit.start_batch(written);
        self.commands.push(Command::WriteBatch { records });
    }

    fn handle_batch_written(&mut self, segment: u64, bytes: u64) {
        let running = self.group_commit.complete_batch();
        self.segment_usage.add_batch(segment, bytes);
        for written in running.entries {
            self.mark_record_durable(segment, &written);
        }
        self.remove_unused_segments();
        self.rewrite_sparse_segments();
        for waiter in running.waiters {
            self.complete_waiter(waiter);
        }
    }

    fn mark_record_durable(&mut self, segment: u64, written: &BatchEntry) {
        let table = self.tables.get_mut(&written.key.partition);
        let Some(held) = table.and_then(|table| table.entry_mut(&written.key.key)) else { return };
        let place = SegmentPosition { segment, bytes: written.bytes };
        held.durable_version = written.version;
        let before = held.position.replace(place);
        self.segment_usage.add_record(place);
        if let Some(before) = before {
            self.segment_usage.remove_record(before);
        }
    }

    fn handle_batch_failed(&mut self) {
        let waiters = self.group_commit.fail_batch();
        self.timers.insert((self.moment.now + RETRY_DELAY, Timer::ResumeDisk));
        for waiter in waiters {
            self.fail_waiter(waiter);
        }
    }

    /// Has the survivors of segments that are mostly superseded written again; the segments go when that is done.
    fn rewrite_sparse_segments(&mut self) {
        let chosen = self.segment_usage.segments_to_compact();
        if chosen.is_empty() {
            return;
        }
        for (partition, table) in &self.tables {
            for key in table.keys_in_segments(|segment| chosen.contains(&segment)) {
                self.group_commit.mark_dirty(StoredRecordKey { partition: *partition, key });
            }
        }
    }

    /// Has expired programs looked for after a pause, if anything is held.
    pub(crate) fn schedule_sweep(&mut self) {
        if !self.is_sweep_scheduled && self.tables.values().any(|table| !table.is_empty()) {
            self.is_sweep_scheduled = true;
            self.timers.insert((self.moment.now + EXPIRY_SWEEP_INTERVAL, Timer::ExpirySweep));
        }
    }

    fn sweep_interval_elapsed(&mut self) {
        self.is_sweep_scheduled = false;
        self.remove_expired();
        self.schedule_sweep();
    }

    fn remove_expired(&mut self) {
        for table in self.tables.values_mut() {
            for place in table.remove_expired(self.moment) {
                self.segment_usage.remove_record(place);
            }
        }
        self.remove_unused_segments();
    }

    /// Has segments removed in which nothing counts. A batch that is being written may end up in any of them, so
    /// it is waited for.
    fn remove_unused_segments(&mut self) {
        if self.group_commit.is_batch_in_flight() {
            return;
        }
        for segment in self.segment_usage.take_unused_segments() {
            self.commands.push(Command::RemoveSegment { segment });
        }
    }

    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
