//! The state of a store and the entry point for its events.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use juniperwing_clock::Time;
use juniperwing_protocol::subscription::StoreMap;
use juniperwing_protocol::{DiskId, PartitionId};

use crate::anti_entropy::LedPartition;
use crate::call::CallPurpose;
use crate::epoch_confirmation::{EpochConfirmation, EpochConfirmationId};
use crate::event::{ClockReading, Command, Event, TransferCallId};
use crate::group_commit::GroupCommit;
use crate::limits::{Limits, OUTPUT_LOG_MEMORY_DIVISOR};
use crate::map_version::DurableMapVersion;
use crate::output_log::OutputLog;
use crate::replica_contact::ReplicaContact;
use crate::segment_usage::SegmentUsage;
use crate::statistics::{TurnCounters, UnavailableCounts};
use crate::table::Table;
use crate::timers::Timer;
use crate::waiting_requests::WaitingRequest;
use crate::write::{PendingWrite, WriteId};

/// The state machine of a store. It does no I/O and reads no clock.
#[derive(Clone, Debug)]
pub struct Store {
    /// The identity of this store's disk, by which the map names it.
    pub(crate) disk: DiskId,
    pub(crate) limits: Limits,
    /// The newest map; its version never decreases.
    pub(crate) map: Arc<StoreMap>,
    pub(crate) tables: BTreeMap<PartitionId, Table>,
    /// The partitions of which the map names this store as the primary.
    pub(crate) led_partitions: BTreeMap<PartitionId, LedPartition>,
    pub(crate) pending_writes: BTreeMap<WriteId, PendingWrite>,
    pub(crate) epoch_confirmations: BTreeMap<EpochConfirmationId, EpochConfirmation>,
    /// Calls in flight to other stores.
    pub(crate) calls: BTreeMap<TransferCallId, CallPurpose>,
    pub(crate) replica_contact: ReplicaContact,
    /// Requests that wait for a synchronized partition or a map, by id.
    pub(crate) waiting_requests: BTreeMap<u64, WaitingRequest>,
    /// Joining replicas whose synchronization waits for the concurrency limit.
    pub(crate) waiting_syncs: BTreeSet<(PartitionId, DiskId)>,
    pub(crate) group_commit: GroupCommit,
    pub(crate) segment_usage: SegmentUsage,
    pub(crate) timers: BTreeSet<(Time, Timer)>,
    pub(crate) is_report_scheduled: bool,
    pub(crate) is_sweep_scheduled: bool,
    pub(crate) durable_map_version: DurableMapVersion,
    /// The time of the event that is being handled.
    pub(crate) clock: ClockReading,
    /// The commands produced so far by the event that is being handled.
    pub(crate) commands: Vec<Command>,
    pub(crate) unavailable_counts: UnavailableCounts,
    pub(crate) turn_counters: TurnCounters,
    pub(crate) output_log: OutputLog,
    last_id: u64,
}

impl Store {
    /// Creates a store with an empty disk of this identity.
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
            replica_contact: ReplicaContact::default(),
            waiting_requests: BTreeMap::new(),
            waiting_syncs: BTreeSet::new(),
            group_commit: GroupCommit::default(),
            segment_usage: SegmentUsage::default(),
            timers: BTreeSet::new(),
            is_report_scheduled: false,
            is_sweep_scheduled: false,
            durable_map_version: DurableMapVersion::default(),
            clock: ClockReading::default(),
            commands: Vec::new(),
            unavailable_counts: UnavailableCounts::default(),
            turn_counters: TurnCounters::default(),
            output_log: OutputLog::new(limits.memory_bytes / OUTPUT_LOG_MEMORY_DIVISOR),
            last_id: 0,
        }
    }

    /// Handles an event; returns the commands to execute.
    pub fn handle(&mut self, clock: ClockReading, event: Event) -> Vec<Command> {
        self.clock = clock;
        match event {
            Event::StoreMap(map) => self.handle_store_map(map),
            Event::SessionRequest { caller, request } => self.handle_session_request(caller, request),
            Event::TransferRequest { caller, request } => {
                self.handle_transfer_request(caller, request, false);
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

    /// Runs expired timers, starts queued synchronizations and the next batch, and returns the commands.
    pub(crate) fn run_pending(&mut self) -> Vec<Command> {
        self.run_timers();
        self.start_waiting_syncs();
        self.start_batch();
        std::mem::take(&mut self.commands)
    }

    /// When the next [`Event::Tick`] is due; `None` if no timer is set.
    pub fn next_wake_at(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// The version of the newest map.
    pub fn map_version(&self) -> u64 {
        self.map.version
    }

    /// Whether no caller waits for a reply and everything is on disk.
    pub fn is_idle(&self) -> bool {
        let is_replied = self.pending_writes.values().all(|write| write.pending_reply.is_none());
        let has_no_requests = self.epoch_confirmations.is_empty() && self.waiting_requests.is_empty();
        is_replied && has_no_requests && self.group_commit.is_idle()
    }

    /// Whether this store has the only in-sync replica of a partition that another store is joining.
    pub fn is_syncing_second_replica(&self) -> bool {
        let mut partitions = self.map.partitions.iter();
        partitions.any(|assignment| assignment.in_sync == [self.disk] && !assignment.joining.is_empty())
    }

    /// The records of a partition.
    pub fn table(&self, partition: PartitionId) -> Option<&Table> {
        self.tables.get(&partition)
    }

    /// Returns a new id, unique within this store.
    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
