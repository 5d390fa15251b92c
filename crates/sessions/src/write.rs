//! Writes of a primary: on the disks of all replicas that count before they are acknowledged.

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
use crate::store::{Store, Timer};

/// Names a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct WriteId(pub(crate) u64);

/// A write that some replica has not confirmed. It is sent again until every replica that counts has
/// confirmed it or this store leads the partition no more, also when nobody waits for it any longer: later
/// turns may build on it.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) partition: PartitionId,
    pub(crate) records: Vec<Record>,
    /// On this store's own disk.
    pub(crate) is_durable: bool,
    pub(crate) confirmed_by: BTreeSet<DiskId>,
    pub(crate) in_flight_to: BTreeSet<DiskId>,
    pub(crate) pending_reply: Option<PendingReply>,
}

/// An answer that waits for a write.
#[derive(Clone, Debug)]
pub(crate) struct PendingReply {
    pub(crate) caller: CallerId,
    pub(crate) reply: SessionReply,
    /// When it is answered that it cannot be done now.
    pub(crate) times_out_at: Time,
}

impl Store {
    /// Merges a record and has it written to the own disk.
    pub(crate) fn merge_record(&mut self, partition: PartitionId, record: &Record) {
        let moment = self.moment;
        let table = self.tables.entry(partition).or_default();
        table.merge(record, moment);
        let key = RecordKey { program: record.program.clone(), request: record.request.clone() };
        if table.entry(&key).is_some_and(|held| held.durable_version < held.version) {
            self.group_commit.mark_dirty(StoredRecordKey { partition, key });
        }
        self.schedule_sweep();
    }

    /// Writes records to all replicas of a partition that this store leads, then answers.
    pub(crate) fn start_write(
        &mut self, partition: PartitionId, records: Vec<Record>, caller: CallerId, reply: SessionReply,
    ) {
        for record in &records {
            self.merge_record(partition, record);
        }
        let id = WriteId(self.next_number());
        let overdue_at = self.moment.now + REQUEST_TIMEOUT;
        self.timers.insert((overdue_at, Timer::WriteTimeout(id)));
        let write = PendingWrite {
            partition,
            records,
            is_durable: false,
            confirmed_by: BTreeSet::new(),
            in_flight_to: BTreeSet::new(),
            pending_reply: Some(PendingReply { caller, reply, times_out_at: overdue_at }),
        };
        self.pending_writes.insert(id, write);
        for replica in self.other_replicas(partition) {
            self.send_write(id, replica);
        }
        if self.group_commit.wait(DurabilityWaiter::Write(id)).is_some() {
            self.handle_write_durable(id);
        }
    }

    /// All other replicas of a partition, joining ones too.
    fn other_replicas(&self, partition: PartitionId) -> Vec<DiskId> {
        let Some(assignment) = self.map.assignment(partition) else { return Vec::new() };
        let all: BTreeSet<DiskId> = assignment.in_sync.iter().chain(&assignment.joining).copied().collect();
        all.into_iter().filter(|replica| *replica != self.disk).collect()
    }

    fn send_write(&mut self, id: WriteId, replica: DiskId) {
        let Some(write) = self.pending_writes.get_mut(&id) else { return };
        if write.confirmed_by.contains(&replica) || !write.in_flight_to.insert(replica) {
            return;
        }
        let partition = write.partition;
        let records = write.records.clone();
        let Some(epoch) = self.led_partitions.get(&partition).map(|lead| lead.epoch) else { return };
        let request = TransferRequest::Write { partition, epoch, records };
        self.call_store(replica, request, CallPurpose::Write { write: id, replica });
    }

    /// A replica has answered a write, or has not.
    pub(crate) fn handle_write_reply(&mut self, id: WriteId, replica: DiskId, answer: Option<TransferReply>) {
        let Some(write) = self.pending_writes.get_mut(&id) else { return };
        write.in_flight_to.remove(&replica);
        if answer == Some(TransferReply::Written) {
            write.confirmed_by.insert(replica);
            return self.complete_write_if_replicated(id);
        }
        let at = self.moment.now + RETRY_DELAY;
        self.timers.insert((at, Timer::ResendWrite(id, replica)));
    }

    /// The pause after a failure is over.
    pub(crate) fn resend_write(&mut self, id: WriteId, replica: DiskId) {
        let Some(partition) = self.pending_writes.get(&id).map(|write| write.partition) else { return };
        // A joining replica that is not level yet gets it with the rest.
        if self.confirming_replicas(partition).contains(&replica) {
            self.send_write(id, replica);
        }
    }

    /// A write is on the own disk.
    pub(crate) fn handle_write_durable(&mut self, id: WriteId) {
        let Some(write) = self.pending_writes.get_mut(&id) else { return };
        write.is_durable = true;
        self.complete_write_if_replicated(id);
    }

    /// Acknowledges the write if every replica that counts has it.
    pub(crate) fn complete_write_if_replicated(&mut self, id: WriteId) {
        let Some(write) = self.pending_writes.get(&id).filter(|write| write.is_durable) else { return };
        let needed = self.confirming_replicas(write.partition);
        if !needed.is_subset(&write.confirmed_by) {
            return;
        }
        // Fewer copies than required: it stays until a map with more of them, or another primary.
        if needed.len() + 1 + self.lost_replicas(write.partition) < self.limits.required_replicas {
            return;
        }
        let Some(write) = self.pending_writes.remove(&id) else { return };
        self.check_acknowledgement(&write);
        if let Some(answer) = write.pending_reply {
            self.timers.remove(&(answer.times_out_at, Timer::WriteTimeout(id)));
            self.commands.push(Command::SendSessionReply { caller: answer.caller, reply: answer.reply });
        }
    }

    /// What is acknowledged is on the disk of every in-sync replica of the map in force, on this store's own, and on
    /// as many as are required but for those known to be lost.
    fn check_acknowledgement(&self, write: &PendingWrite) {
        let partition = write.partition;
        let assignment = self.map.assignment(partition);
        let in_sync = assignment.map(|assignment| assignment.in_sync.as_slice()).unwrap_or_default();
        let has = |disk: &DiskId| *disk == self.disk || write.confirmed_by.contains(disk);
        // A joining replica that is level counts as a copy: the keepers may have put it in sync already.
        let copies = 1 + write.confirmed_by.len();
        let enough = copies + self.lost_replicas(partition) >= self.limits.required_replicas;
        let on_all = in_sync.iter().all(has) && in_sync.contains(&self.disk);
        check(Invariant::AcknowledgedOnAllReplicas, on_all && enough && write.is_durable, || {
            let request = write.records.first().map(|record| &*record.request.0);
            format!("partition {}, request {request:?}, {copies} copies, in sync {in_sync:?}", partition.0)
        });
    }

    /// The caller is told that it cannot be done now; the write goes on.
    pub(crate) fn write_timed_out(&mut self, id: WriteId) {
        let answer = self.pending_writes.get_mut(&id).and_then(|write| write.pending_reply.take());
        if let Some(answer) = answer {
            self.send_unavailable(answer.caller, UnavailableReason::ReplicationTimedOut);
        }
    }

    /// Another map: writes need other replicas, which may lack them.
    pub(crate) fn reevaluate_writes(&mut self, partition: PartitionId) {
        for id in self.writes_in_partition(partition) {
            for replica in self.other_replicas(partition) {
                self.send_write(id, replica);
            }
            self.complete_write_if_replicated(id);
        }
    }

    /// This store leads the partition no more.
    pub(crate) fn abandon_writes(&mut self, partition: PartitionId) {
        for id in self.writes_in_partition(partition) {
            if let Some(answer) = self.pending_writes.remove(&id).and_then(|write| write.pending_reply) {
                self.timers.remove(&(answer.times_out_at, Timer::WriteTimeout(id)));
                self.send_not_primary(answer.caller, partition);
            }
        }
    }

    /// A replica was found level, so it holds all writes under way.
    pub(crate) fn confirm_pending_writes(&mut self, partition: PartitionId, replica: DiskId) {
        for id in self.writes_in_partition(partition) {
            if let Some(write) = self.pending_writes.get_mut(&id) {
                write.confirmed_by.insert(replica);
            }
            self.complete_write_if_replicated(id);
        }
    }

    fn writes_in_partition(&self, partition: PartitionId) -> Vec<WriteId> {
        let of_partition = self.pending_writes.iter().filter(|(_, write)| write.partition == partition);
        of_partition.map(|(id, _)| *id).collect()
    }
}
