//! Anti-entropy repair: the primary brings its replicas to the same set of records as its own.
//!
//! The primary compares range digests with each replica, pulls the records of the ranges that differ, pushes its own
//! and compares again, until the digests are equal. A new primary synchronizes the in-sync replicas before it admits or
//! denies any turn. Joining replicas are synchronized the same way, with limited concurrency.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use juniperwing_protocol::transfer::{RecordKey, TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, EpochNumber, PartitionId};

use crate::call::CallPurpose;
use crate::limits::{
    DIGEST_RANGE_COUNT, MAX_CONCURRENT_JOINING_SYNCS, MAX_DIGEST_COMPARISONS, SYNC_EXPIRY_SLACK_MS,
    SYNC_RETRY_DELAY,
};
use crate::store::Store;
use crate::timers::Timer;

/// A partition of which this store is the primary.
#[derive(Clone, Debug, Default)]
pub(crate) struct LedPartition {
    /// The epoch in which it is the primary.
    pub(crate) epoch: EpochNumber,
    /// The version of the first map with this epoch.
    pub(crate) first_map_version: u64,
    /// The synchronization state of every other replica, in sync or joining.
    replicas: BTreeMap<DiskId, ReplicaSyncState>,
}

/// The progress of the synchronization of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ReplicaSyncState {
    /// Not started, or waiting for a retry.
    Pending,
    /// A call of this attempt and phase is in flight.
    InProgress { attempt: u64, phase: SyncPhase },
    /// The replica holds all records of this store. From now on every write is sent to it until it confirms the write.
    Synchronized,
}

/// A phase of the synchronization of a replica; `differing` are the ranges whose digests differ.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SyncPhase {
    CompareDigests,
    /// Fetches the replica's records with keys greater than `after`.
    PullRecords {
        differing: Vec<u16>,
        after: Option<RecordKey>,
    },
    /// Sends this store's records with keys greater than `after`. Once the phase is in progress, `after` is the last
    /// key of the page sent, or `None` if that was the last page.
    PushRecords {
        differing: Vec<u16>,
        after: Option<RecordKey>,
    },
}

/// One step of a synchronization, which is one call to the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SyncStep {
    partition: PartitionId,
    replica: DiskId,
    /// Distinguishes this step from earlier ones, whose late replies are ignored.
    attempt: u64,
    /// Programs that expire at or before this time are excluded, in milliseconds since the Unix epoch.
    live_after_ms: u64,
    /// The number of comparisons since the last delay, including this one.
    comparisons: u32,
}

impl SyncStep {
    /// The partition of the replica.
    pub(crate) fn partition(&self) -> PartitionId {
        self.partition
    }

    /// The replica that is synchronized.
    pub(crate) fn replica(&self) -> DiskId {
        self.replica
    }
}

impl LedPartition {
    /// The replicas that hold all records of this store.
    pub(crate) fn synchronized_replicas(&self) -> impl Iterator<Item = DiskId> + '_ {
        let synchronized =
            self.replicas.iter().filter(|(_, state)| **state == ReplicaSyncState::Synchronized);
        synchronized.map(|(replica, _)| *replica)
    }

    /// Whether a replica holds all records of this store.
    pub(crate) fn is_replica_synchronized(&self, replica: DiskId) -> bool {
        self.replicas.get(&replica) == Some(&ReplicaSyncState::Synchronized)
    }

    fn is_sync_in_progress(&self, replica: DiskId) -> bool {
        matches!(self.replicas.get(&replica), Some(ReplicaSyncState::InProgress { .. }))
    }
}

impl Store {
    /// Whether every in-sync replica of a partition that this store leads is synchronized.
    pub(crate) fn is_synchronized(&self, partition: PartitionId) -> bool {
        let Some(led) = self.led_partitions.get(&partition) else { return false };
        let Some(assignment) = self.map.assignment(partition) else { return false };
        let others = assignment.in_sync.iter().filter(|replica| **replica != self.disk);
        others.copied().all(|replica| led.is_replica_synchronized(replica))
    }

    /// Applies the assignment of a partition that this store leads, and schedules the synchronization of new replicas.
    /// Replicas synchronized in an earlier epoch remain synchronized, since this store has acknowledged no write
    /// without them.
    pub(crate) fn update_led_partition(&mut self, partition: PartitionId) {
        let Some(assignment) = self.map.assignment(partition) else { return };
        let mut members = assignment.in_sync.clone();
        members.extend(&assignment.joining);
        members.retain(|replica| *replica != self.disk);
        let led = self.led_partitions.entry(partition).or_default();
        led.epoch = assignment.epoch;
        led.first_map_version = self.map.version;
        led.replicas.retain(|replica, _| members.contains(replica));
        let now = self.clock.now;
        for replica in members {
            if let Entry::Vacant(entry) = led.replicas.entry(replica) {
                entry.insert(ReplicaSyncState::Pending);
                self.timers.insert((now, Timer::SyncReplica(partition, replica)));
            }
        }
    }

    /// Starts the synchronization of a pending replica. A joining replica is queued while the concurrency limit is
    /// reached.
    pub(crate) fn start_sync(&mut self, partition: PartitionId, replica: DiskId) {
        let state = self.led_partitions.get(&partition).and_then(|led| led.replicas.get(&replica));
        if state != Some(&ReplicaSyncState::Pending) {
            return;
        }
        let assignment = self.map.assignment(partition);
        let is_joining = assignment.is_some_and(|assignment| assignment.joining.contains(&replica));
        if is_joining && self.joining_syncs_in_progress() >= MAX_CONCURRENT_JOINING_SYNCS {
            self.waiting_syncs.insert((partition, replica));
            return;
        }
        self.compare_digests(partition, replica, 1);
    }

    /// Starts queued synchronizations of joining replicas, up to the concurrency limit.
    pub(crate) fn start_waiting_syncs(&mut self) {
        while !self.waiting_syncs.is_empty()
            && self.joining_syncs_in_progress() < MAX_CONCURRENT_JOINING_SYNCS
        {
            if let Some((partition, replica)) = self.waiting_syncs.pop_first() {
                self.start_sync(partition, replica);
            }
        }
    }

    fn joining_syncs_in_progress(&self) -> usize {
        self.led_partitions.iter().map(|(partition, led)| self.joining_syncs_of(*partition, led)).sum()
    }

    fn joining_syncs_of(&self, partition: PartitionId, led: &LedPartition) -> usize {
        let Some(assignment) = self.map.assignment(partition) else { return 0 };
        let in_progress = led.replicas.keys().filter(|replica| led.is_sync_in_progress(**replica));
        in_progress.filter(|replica| assignment.joining.contains(replica)).count()
    }

    fn compare_digests(&mut self, partition: PartitionId, replica: DiskId, comparisons: u32) {
        let live_after_ms = self.clock.unix_time_ms.saturating_sub(SYNC_EXPIRY_SLACK_MS);
        let step = SyncStep { partition, replica, attempt: 0, live_after_ms, comparisons };
        self.start_phase(step, SyncPhase::CompareDigests);
    }

    /// Sends the request of a phase to the replica.
    fn start_phase(&mut self, step: SyncStep, phase: SyncPhase) {
        let step = SyncStep { attempt: self.next_id(), ..step };
        let SyncStep { partition, replica, attempt, live_after_ms, .. } = step;
        let Some(led) = self.led_partitions.get_mut(&partition) else { return };
        let epoch = led.epoch;
        let ranges = DIGEST_RANGE_COUNT;
        let (request, phase) = match phase {
            SyncPhase::CompareDigests => {
                (TransferRequest::Digests { partition, epoch, ranges, live_after_ms }, phase)
            }
            SyncPhase::PullRecords { ref differing, ref after } => {
                let (requested, after) = (differing.clone(), after.clone());
                let request =
                    TransferRequest::Records { partition, epoch, ranges, requested, live_after_ms, after };
                (request, phase)
            }
            SyncPhase::PushRecords { differing, after } => {
                let table = self.tables.entry(partition).or_default();
                let page = table.page(ranges, &differing, live_after_ms, after.as_ref());
                let request = TransferRequest::Write { partition, epoch, records: page.records };
                (request, SyncPhase::PushRecords { differing, after: page.resume_after })
            }
        };
        led.replicas.insert(replica, ReplicaSyncState::InProgress { attempt, phase });
        self.call_store(replica, request, CallPurpose::Sync(step));
    }

    /// Handles the end of a step's call; `None` if there was no reply.
    pub(crate) fn handle_sync_reply(&mut self, step: SyncStep, reply: Option<TransferReply>) {
        let state = self.led_partitions.get(&step.partition).and_then(|led| led.replicas.get(&step.replica));
        let Some(ReplicaSyncState::InProgress { attempt, phase }) = state else { return };
        if *attempt != step.attempt {
            return;
        }
        match (phase.clone(), reply) {
            (SyncPhase::CompareDigests, Some(TransferReply::Digests(digests))) => {
                self.handle_digests(step, &digests);
            }
            (SyncPhase::PullRecords { differing, .. }, Some(TransferReply::Records { records, next })) => {
                for record in &records {
                    self.merge_record(step.partition, record);
                }
                let phase = match next {
                    Some(after) => SyncPhase::PullRecords { differing, after: Some(after) },
                    None => SyncPhase::PushRecords { differing, after: None },
                };
                self.start_phase(step, phase);
            }
            (phase @ SyncPhase::PushRecords { after: Some(_), .. }, Some(TransferReply::Written)) => {
                self.start_phase(step, phase);
            }
            (SyncPhase::PushRecords { after: None, .. }, Some(TransferReply::Written)) => {
                self.compare_digests(step.partition, step.replica, step.comparisons + 1);
            }
            _ => self.retry_sync_later(step),
        }
    }

    fn handle_digests(&mut self, step: SyncStep, remote: &[u64]) {
        let table = self.tables.entry(step.partition).or_default();
        let local = table.digests(DIGEST_RANGE_COUNT, step.live_after_ms);
        if remote.len() != local.len() {
            return self.retry_sync_later(step);
        }
        let differs = |range: &u16| local[usize::from(*range)] != remote[usize::from(*range)];
        let differing: Vec<u16> = (0..DIGEST_RANGE_COUNT).filter(differs).collect();
        if differing.is_empty() {
            self.mark_synchronized(step.partition, step.replica);
        } else if step.comparisons >= MAX_DIGEST_COMPARISONS {
            self.retry_sync_later(step);
        } else {
            self.start_phase(step, SyncPhase::PullRecords { differing, after: None });
        }
    }

    fn mark_synchronized(&mut self, partition: PartitionId, replica: DiskId) {
        if let Some(led) = self.led_partitions.get_mut(&partition) {
            led.replicas.insert(replica, ReplicaSyncState::Synchronized);
        }
        self.confirm_pending_writes(partition, replica);
        if self.is_synchronized(partition) {
            self.resume_requests(partition);
        }
        self.report_caught_up();
    }

    /// Restarts the synchronization with a comparison after a delay.
    fn retry_sync_later(&mut self, step: SyncStep) {
        if let Some(led) = self.led_partitions.get_mut(&step.partition) {
            led.replicas.insert(step.replica, ReplicaSyncState::Pending);
        }
        let delay = self.replica_contact.retry_delay(self.clock.now, step.replica, SYNC_RETRY_DELAY);
        let at = self.clock.now + delay;
        self.timers.insert((at, Timer::SyncReplica(step.partition, step.replica)));
    }
}
