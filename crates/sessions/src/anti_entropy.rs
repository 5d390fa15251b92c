//! Makes replicas level: the primary compares range digests with each replica, takes what it lacks and sends
//! what the replica lacks, until the digests are equal.
//!
//! A store that has become primary levels the in-sync replicas before it decides anything; joining replicas
//! are filled the same way, a few at a time.

use std::collections::BTreeMap;

use juniperwing_protocol::subscription::CaughtUp;
use juniperwing_protocol::transfer::{RecordKey, TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, EpochNumber, PartitionId};

use crate::call::CallPurpose;
use crate::event::Command;
use crate::limits::{
    DIGEST_RANGE_COUNT, MAX_CONCURRENT_JOINING_SYNCS, MAX_DIGEST_COMPARISONS, REPORT_INTERVAL,
    SYNC_EXPIRY_SLACK_MS, SYNC_RETRY_DELAY,
};
use crate::store::{Store, Timer};

/// A partition that this store leads.
#[derive(Clone, Debug, Default)]
pub(crate) struct LedPartition {
    pub(crate) epoch: EpochNumber,
    /// The version of the first map with this epoch.
    first_map_version: u64,
    replicas: BTreeMap<DiskId, ReplicaSyncState>,
}

/// How far a replica is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ReplicaSyncState {
    /// To be compared.
    Pending,
    /// Being compared.
    InProgress { attempt: u64, phase: SyncPhase },
    /// Holds all that this store holds; from now on it is sent every write until it has confirmed it.
    Synchronized,
}

/// What is being done to make a replica level.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SyncPhase {
    CompareDigests,
    PullRecords { differing: Vec<u16> },
    PushRecords { differing: Vec<u16>, after: Option<RecordKey> },
}

/// One step of levelling, as a call to the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SyncStep {
    partition: PartitionId,
    replica: DiskId,
    /// Tells this step from earlier ones.
    attempt: u64,
    /// Programs that may be forgotten by this time of day, in milliseconds, are passed over.
    live_after_ms: u64,
    /// Comparisons since the last pause.
    comparisons: u32,
}

impl LedPartition {
    /// The replicas found level.
    pub(crate) fn synchronized_replicas(&self) -> impl Iterator<Item = DiskId> + '_ {
        let reached = self.replicas.iter().filter(|(_, level)| **level == ReplicaSyncState::Synchronized);
        reached.map(|(replica, _)| *replica)
    }

    fn is_replica_synchronized(&self, replica: DiskId) -> bool {
        self.replicas.get(&replica) == Some(&ReplicaSyncState::Synchronized)
    }
}

impl Store {
    /// Whether every in-sync replica of a partition that this store leads is level.
    pub(crate) fn is_synchronized(&self, partition: PartitionId) -> bool {
        let Some(lead) = self.led_partitions.get(&partition) else { return false };
        let Some(assignment) = self.map.assignment(partition) else { return false };
        assignment
            .in_sync
            .iter()
            .all(|replica| *replica == self.disk || lead.is_replica_synchronized(*replica))
    }

    /// The map names this store as primary: new replicas are to be made level. Those found level in an earlier
    /// epoch stay so, since this store has acknowledged nothing without them.
    pub(crate) fn update_led_partition(&mut self, partition: PartitionId) {
        let Some(assignment) = self.map.assignment(partition) else { return };
        let mut members = assignment.in_sync.clone();
        members.extend(&assignment.joining);
        members.retain(|replica| *replica != self.disk);
        let lead = self.led_partitions.entry(partition).or_default();
        lead.epoch = assignment.epoch;
        lead.first_map_version = self.map.version;
        lead.replicas.retain(|replica, _| members.contains(replica));
        let now = self.moment.now;
        for replica in members {
            if let std::collections::btree_map::Entry::Vacant(entry) = lead.replicas.entry(replica) {
                entry.insert(ReplicaSyncState::Pending);
                self.timers.insert((now, Timer::SyncReplica(partition, replica)));
            }
        }
    }

    /// Compares a replica, if it is to be compared and not too many are being filled.
    pub(crate) fn start_sync(&mut self, partition: PartitionId, replica: DiskId) {
        let due = self.led_partitions.get(&partition).and_then(|lead| lead.replicas.get(&replica));
        if due != Some(&ReplicaSyncState::Pending) {
            return;
        }
        let joining = self.map.assignment(partition).is_some_and(|held| held.joining.contains(&replica));
        if joining && self.joining_syncs_in_progress() >= MAX_CONCURRENT_JOINING_SYNCS {
            self.waiting_syncs.insert((partition, replica));
            return;
        }
        self.compare_digests(partition, replica, 1);
    }

    /// Goes on with the joining replicas that had to wait for others.
    pub(crate) fn start_waiting_syncs(&mut self) {
        while !self.waiting_syncs.is_empty()
            && self.joining_syncs_in_progress() < MAX_CONCURRENT_JOINING_SYNCS
        {
            if let Some((partition, replica)) = self.waiting_syncs.pop_first() {
                self.start_sync(partition, replica);
            }
        }
    }

    /// Joining replicas that are under way.
    fn joining_syncs_in_progress(&self) -> usize {
        self.led_partitions.iter().map(|(partition, lead)| self.joining_syncs_of(*partition, lead)).sum()
    }

    fn joining_syncs_of(&self, partition: PartitionId, lead: &LedPartition) -> usize {
        let Some(assignment) = self.map.assignment(partition) else { return 0 };
        let under =
            lead.replicas.iter().filter(|(_, level)| matches!(level, ReplicaSyncState::InProgress { .. }));
        under.filter(|(replica, _)| assignment.joining.contains(replica)).count()
    }

    fn compare_digests(&mut self, partition: PartitionId, replica: DiskId, comparisons: u32) {
        let live_after_ms = self.moment.unix_time_ms.saturating_sub(SYNC_EXPIRY_SLACK_MS);
        let step = SyncStep { partition, replica, attempt: 0, live_after_ms, comparisons };
        self.start_phase(step, SyncPhase::CompareDigests);
    }

    /// Takes the next step with a replica.
    fn start_phase(&mut self, step: SyncStep, work: SyncPhase) {
        let step = SyncStep { attempt: self.next_number(), ..step };
        let SyncStep { partition, replica, attempt, live_after_ms, .. } = step;
        let Some(lead) = self.led_partitions.get_mut(&partition) else { return };
        let epoch = lead.epoch;
        let ranges = DIGEST_RANGE_COUNT;
        let (request, work) = match work {
            SyncPhase::CompareDigests => (
                TransferRequest::Digests { partition, epoch, ranges, live_after_ms },
                SyncPhase::CompareDigests,
            ),
            SyncPhase::PullRecords { differing } => {
                let after = None;
                let request = TransferRequest::Records {
                    partition,
                    epoch,
                    ranges,
                    requested: differing.clone(),
                    live_after_ms,
                    after,
                };
                (request, SyncPhase::PullRecords { differing })
            }
            SyncPhase::PushRecords { differing, after } => {
                let table = self.tables.entry(partition).or_default();
                let page = table.page(ranges, &differing, live_after_ms, after.as_ref());
                let request = TransferRequest::Write { partition, epoch, records: page.records };
                (request, SyncPhase::PushRecords { differing, after: page.resume_after })
            }
        };
        lead.replicas.insert(replica, ReplicaSyncState::InProgress { attempt, phase: work });
        self.call_store(replica, request, CallPurpose::Sync(step));
    }

    /// A step has ended.
    pub(crate) fn handle_sync_reply(&mut self, step: SyncStep, answer: Option<TransferReply>) {
        let level =
            self.led_partitions.get(&step.partition).and_then(|lead| lead.replicas.get(&step.replica));
        let Some(ReplicaSyncState::InProgress { attempt, phase }) = level else { return };
        if *attempt != step.attempt {
            return;
        }
        match (phase.clone(), answer) {
            (SyncPhase::CompareDigests, Some(TransferReply::Digests(theirs))) => {
                self.handle_digests(step, &theirs)
            }
            (SyncPhase::PullRecords { differing }, Some(TransferReply::Records { records, next })) => {
                for record in &records {
                    self.merge_record(step.partition, record);
                }
                match next {
                    Some(after) => self.pull_on(step, differing, after),
                    None => self.start_phase(step, SyncPhase::PushRecords { differing, after: None }),
                }
            }
            (SyncPhase::PushRecords { differing, after: Some(after) }, Some(TransferReply::Written)) => {
                self.start_phase(step, SyncPhase::PushRecords { differing, after: Some(after) });
            }
            (SyncPhase::PushRecords { after: None, .. }, Some(TransferReply::Written)) => {
                self.compare_digests(step.partition, step.replica, step.comparisons + 1);
            }
            _ => self.retry_sync_later(step),
        }
    }

    fn pull_on(&mut self, step: SyncStep, wanted: Vec<u16>, after: RecordKey) {
        let step = SyncStep { attempt: self.next_number(), ..step };
        let Some(lead) = self.led_partitions.get_mut(&step.partition) else { return };
        let request = TransferRequest::Records {
            partition: step.partition,
            epoch: lead.epoch,
            ranges: DIGEST_RANGE_COUNT,
            requested: wanted.clone(),
            live_after_ms: step.live_after_ms,
            after: Some(after),
        };
        let work = SyncPhase::PullRecords { differing: wanted };
        lead.replicas
            .insert(step.replica, ReplicaSyncState::InProgress { attempt: step.attempt, phase: work });
        self.call_store(step.replica, request, CallPurpose::Sync(step));
    }

    fn handle_digests(&mut self, step: SyncStep, theirs: &[u64]) {
        let ours =
            self.tables.entry(step.partition).or_default().digests(DIGEST_RANGE_COUNT, step.live_after_ms);
        if theirs.len() != ours.len() {
            return self.retry_sync_later(step);
        }
        let differs = |range: &u16| ours[usize::from(*range)] != theirs[usize::from(*range)];
        let wanted: Vec<u16> = (0..DIGEST_RANGE_COUNT).filter(differs).collect();
        if wanted.is_empty() {
            self.mark_synchronized(step.partition, step.replica);
        } else if step.comparisons >= MAX_DIGEST_COMPARISONS {
            self.retry_sync_later(step);
        } else {
            self.start_phase(step, SyncPhase::PullRecords { differing: wanted });
        }
    }

    fn mark_synchronized(&mut self, partition: PartitionId, replica: DiskId) {
        if let Some(lead) = self.led_partitions.get_mut(&partition) {
            lead.replicas.insert(replica, ReplicaSyncState::Synchronized);
        }
        self.confirm_pending_writes(partition, replica);
        if self.is_synchronized(partition) {
            self.resume_requests(partition);
        }
        self.report_caught_up();
    }

    /// Tries again after a pause, from the comparison.
    fn retry_sync_later(&mut self, step: SyncStep) {
        if let Some(lead) = self.led_partitions.get_mut(&step.partition) {
            lead.replicas.insert(step.replica, ReplicaSyncState::Pending);
        }
        let at = self.moment.now + SYNC_RETRY_DELAY;
        self.timers.insert((at, Timer::SyncReplica(step.partition, step.replica)));
    }

    /// The joining replicas that hold all that this store holds, of all partitions that it leads, as far as the
    /// keepers may be told: the map that made them join is on disk.
    pub fn caught_up_replicas(&self) -> Vec<CaughtUp> {
        self.caught_up_since(self.durable_map_version.durable())
    }

    /// Those of the maps up to a version.
    fn caught_up_since(&self, newest: u64) -> Vec<CaughtUp> {
        let mut all = Vec::new();
        for (partition, lead) in
            self.led_partitions.iter().filter(|(_, lead)| lead.first_map_version <= newest)
        {
            let Some(assignment) = self.map.assignment(*partition) else { continue };
            let joined = assignment.joining.iter().filter(|replica| lead.is_replica_synchronized(**replica));
            all.extend(joined.map(|replica| CaughtUp {
                partition: *partition,
                epoch: lead.epoch,
                replica: *replica,
            }));
        }
        all
    }

    /// Has the keepers told of the replicas that have caught up, now and again until their map shows it. What
    /// may not be told yet is told as soon as the version of the map is on disk.
    pub(crate) fn report_caught_up(&mut self) {
        let version = self.map.version;
        if self.is_report_scheduled || self.caught_up_since(version).is_empty() {
            return;
        }
        if self.caught_up_replicas().len() < self.caught_up_since(version).len()
            && self.durable_map_version.start_write(version)
        {
            self.commands.push(Command::WriteMapVersion { version });
        }
        if !self.caught_up_replicas().is_empty() {
            self.commands.push(Command::ReportCaughtUp);
        }
        self.is_report_scheduled = true;
        self.timers.insert((self.moment.now + REPORT_INTERVAL, Timer::ReportInterval));
    }

    /// The version of the map is on disk: what it held up is told.
    pub(crate) fn handle_map_version_written(&mut self, version: u64) {
        self.durable_map_version.complete_write(version);
        if !self.caught_up_replicas().is_empty() {
            self.commands.push(Command::ReportCaughtUp);
        }
    }

    /// The pause between two reports is over.
    pub(crate) fn report_interval_elapsed(&mut self) {
        self.is_report_scheduled = false;
        self.report_caught_up();
    }
}
