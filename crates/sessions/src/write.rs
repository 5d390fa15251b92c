//! Writes of a primary, which are acknowledged once they are on the disks of all confirming replicas.

use std::collections::BTreeSet;

use juniperwing_clock::Time;
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::session::SessionReply;
use juniperwing_protocol::transfer::{Record, RecordKey, TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, PartitionId};

use crate::call::CallPurpose;
use crate::event::{CallerId, Command};
use crate::group_commit::{DurabilityWaiter, StoredRecordKey};
use crate::limits::{REQUEST_TIMEOUT, RETRY_DELAY};
use crate::statistics::UnavailableReason;
use crate::store::Store;
use crate::timers::Timer;

/// Identifies a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct WriteId(pub(crate) u64);

/// A write that is not yet confirmed by all confirming replicas. It is retried until they have confirmed it or this
/// store no longer leads the partition, even after its caller has timed out, since later turns may depend on it.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) partition: PartitionId,
    pub(crate) records: Vec<Record>,
    /// Whether it is on this store's own disk.
    pub(crate) is_durable: bool,
    pub(crate) confirmed_by: BTreeSet<DiskId>,
    pub(crate) in_flight_to: BTreeSet<DiskId>,
    /// `None` once the caller has received a reply.
    pub(crate) pending_reply: Option<PendingReply>,
}

/// A reply that waits for a write.
#[derive(Clone, Debug)]
pub(crate) struct PendingReply {
    pub(crate) caller: CallerId,
    pub(crate) reply: SessionReply,
    /// When the store replies that it is unavailable instead.
    pub(crate) times_out_at: Time,
}

impl Store {
    /// Merges a record and schedules it for the next batch unless its newest version is on disk.
    pub(crate) fn merge_record(&mut self, partition: PartitionId, record: &Record) {
        let clock = self.clock;
        let table = self.tables.entry(partition).or_default();
        table.merge(record, clock);
        let key = RecordKey { program: record.program.clone(), request: record.request.clone() };
        if table.entry(&key).is_some_and(|entry| entry.durable_version < entry.version) {
            self.group_commit.mark_dirty(StoredRecordKey { partition, key });
        }
        self.schedule_sweep();
    }

    /// Writes records to all replicas of a partition that this store leads, and replies when the write is replicated.
    pub(crate) fn start_write(
        &mut self, partition: PartitionId, records: Vec<Record>, caller: CallerId, reply: SessionReply,
    ) {
        for record in &records {
            self.merge_record(partition, record);
        }
        let id = WriteId(self.next_id());
        let times_out_at = self.clock.now + REQUEST_TIMEOUT;
        self.timers.insert((times_out_at, Timer::WriteTimeout(id)));
        let write = PendingWrite {
            partition,
            records,
            is_durable: false,
            confirmed_by: BTreeSet::new(),
            in_flight_to: BTreeSet::new(),
            pending_reply: Some(PendingReply { caller, reply, times_out_at }),
        };
        self.pending_writes.insert(id, write);
        for replica in self.other_replicas(partition) {
            self.send_write(id, replica);
        }
        if self.group_commit.wait(DurabilityWaiter::Write(id)).is_some() {
            self.handle_write_durable(id);
        }
    }

    /// All other replicas of a partition, in sync or joining.
    fn other_replicas(&self, partition: PartitionId) -> Vec<DiskId> {
        let Some(assignment) = self.map.assignment(partition) else { return Vec::new() };
        let all: BTreeSet<DiskId> = assignment.in_sync.iter().chain(&assignment.joining).copied().collect();
        all.into_iter().filter(|replica| *replica != self.disk).collect()
    }

    /// The other replicas that must confirm every write of a partition: those in sync, and the joining ones that are
    /// synchronized, since the keepers may already have added them to the in-sync set.
    pub(crate) fn confirming_replicas(&self, partition: PartitionId) -> BTreeSet<DiskId> {
        let Some(assignment) = self.map.assignment(partition) else { return BTreeSet::new() };
        let led = self.led_partitions.get(&partition);
        let synchronized = led.into_iter().flat_map(super::anti_entropy::LedPartition::synchronized_replicas);
        let joined = synchronized.filter(|replica| assignment.joining.contains(replica));
        let mut confirming: BTreeSet<DiskId> = assignment.in_sync.iter().copied().collect();
        confirming.extend(joined);
        confirming.remove(&self.disk);
        confirming
    }

    fn send_write(&mut self, id: WriteId, replica: DiskId) {
        let Some(write) = self.pending_writes.get_mut(&id) else { return };
        if write.confirmed_by.contains(&replica) || !write.in_flight_to.insert(replica) {
            return;
        }
        let partition = write.partition;
        let records = write.records.clone();
        let Some(epoch) = self.led_partitions.get(&partition).map(|led| led.epoch) else { return };
        let request = TransferRequest::Write { partition, epoch, records };
        self.call_store(replica, request, CallPurpose::Write { write: id, replica });
    }

    /// Handles a replica's reply to a write; `None` if there was none.
    pub(crate) fn handle_write_reply(&mut self, id: WriteId, replica: DiskId, reply: Option<TransferReply>) {
        let Some(write) = self.pending_writes.get_mut(&id) else { return };
        write.in_flight_to.remove(&replica);
        if reply == Some(TransferReply::Written) {
            write.confirmed_by.insert(replica);
            return self.acknowledge_if_replicated(id);
        }
        let delay = self.replica_contact.retry_delay(self.clock.now, replica, RETRY_DELAY);
        let at = self.clock.now + delay;
        self.timers.insert((at, Timer::ResendWrite(id, replica)));
    }

    /// Retries a write to a replica after the retry delay.
    pub(crate) fn resend_write(&mut self, id: WriteId, replica: DiskId) {
        let Some(partition) = self.pending_writes.get(&id).map(|write| write.partition) else { return };
        // A joining replica that is not synchronized yet receives the write through its synchronization.
        if self.confirming_replicas(partition).contains(&replica) {
            self.send_write(id, replica);
        }
    }

    /// Records that a write is on this store's disk.
    pub(crate) fn handle_write_durable(&mut self, id: WriteId) {
        let Some(write) = self.pending_writes.get_mut(&id) else { return };
        write.is_durable = true;
        self.acknowledge_if_replicated(id);
    }

    /// Acknowledges a write if it is on this store's disk and every confirming replica has it.
    fn acknowledge_if_replicated(&mut self, id: WriteId) {
        let Some(write) = self.pending_writes.get(&id).filter(|write| write.is_durable) else { return };
        let confirming = self.confirming_replicas(write.partition);
        if !confirming.is_subset(&write.confirmed_by) {
            return;
        }
        // With too few replicas the write stays pending until a map names more replicas or another primary.
        if confirming.len() + 1 + self.lost_replicas(write.partition) < self.limits.required_replicas {
            return;
        }
        let Some(write) = self.pending_writes.remove(&id) else { return };
        self.check_replication(&write);
        if let Some(PendingReply { caller, reply, times_out_at }) = write.pending_reply {
            self.timers.remove(&(times_out_at, Timer::WriteTimeout(id)));
            self.commands.push(Command::SendSessionReply { caller, reply });
        }
    }

    /// Checks the invariant that an acknowledged write is on this store's disk, on the disk of every in-sync replica of
    /// the current map, and on the required number of disks less those known to be lost.
    fn check_replication(&self, write: &PendingWrite) {
        let partition = write.partition;
        let assignment = self.map.assignment(partition);
        let in_sync = assignment.map(|assignment| assignment.in_sync.as_slice()).unwrap_or_default();
        let has_write = |disk: &DiskId| *disk == self.disk || write.confirmed_by.contains(disk);
        // Synchronized joining replicas count too: the keepers may already have added them to the in-sync set.
        let copies = 1 + write.confirmed_by.len();
        let is_enough = copies + self.lost_replicas(partition) >= self.limits.required_replicas;
        let is_on_all = in_sync.iter().all(has_write) && in_sync.contains(&self.disk);
        check(Invariant::AcknowledgedOnAllReplicas, is_on_all && is_enough && write.is_durable, || {
            let request = write.records.first().map(|record| &*record.request.0);
            format!("partition {}, request {request:?}, {copies} copies, in sync {in_sync:?}", partition.0)
        });
    }

    /// Replies that the store is unavailable; the write stays pending.
    pub(crate) fn write_timed_out(&mut self, id: WriteId) {
        let pending_reply = self.pending_writes.get_mut(&id).and_then(|write| write.pending_reply.take());
        if let Some(PendingReply { caller, .. }) = pending_reply {
            self.send_unavailable(caller, UnavailableReason::ReplicationTimedOut);
        }
    }

    /// Handles a map change: sends the pending writes to new replicas, and acknowledges those that are now replicated.
    pub(crate) fn reevaluate_writes(&mut self, partition: PartitionId) {
        for id in self.writes_in_partition(partition) {
            for replica in self.other_replicas(partition) {
                self.send_write(id, replica);
            }
            self.acknowledge_if_replicated(id);
        }
    }

    /// Drops the pending writes of a partition that this store no longer leads.
    pub(crate) fn abandon_writes(&mut self, partition: PartitionId) {
        for id in self.writes_in_partition(partition) {
            let write = self.pending_writes.remove(&id);
            if let Some(PendingReply { caller, times_out_at, .. }) =
                write.and_then(|write| write.pending_reply)
            {
                self.timers.remove(&(times_out_at, Timer::WriteTimeout(id)));
                self.send_not_primary(caller, partition);
            }
        }
    }

    /// Marks all pending writes of a partition as confirmed by a replica that has just been synchronized.
    pub(crate) fn confirm_pending_writes(&mut self, partition: PartitionId, replica: DiskId) {
        for id in self.writes_in_partition(partition) {
            if let Some(write) = self.pending_writes.get_mut(&id) {
                write.confirmed_by.insert(replica);
            }
            self.acknowledge_if_replicated(id);
        }
    }

    fn writes_in_partition(&self, partition: PartitionId) -> Vec<WriteId> {
        let writes = self.pending_writes.iter().filter(|(_, write)| write.partition == partition);
        writes.map(|(id, _)| *id).collect()
    }
}
