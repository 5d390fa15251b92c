//! Writes of a primary: on the disks of all replicas that count before they are acknowledged.

use std::collections::BTreeSet;

use juniperwing_clock::Time;
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::session::SessionReply;
use juniperwing_protocol::transfer::{Record, RecordKey, TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, PartitionId};

use crate::call::Purpose;
use crate::event::{CallerId, Command};
use crate::journal::{StoredKey, Waiter};
use crate::limits::{ANSWER_WITHIN, RETRY_PAUSE};
use crate::statistics::Undecided;
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
    pub(crate) durable: bool,
    pub(crate) confirmed: BTreeSet<DiskId>,
    pub(crate) under_way: BTreeSet<DiskId>,
    pub(crate) answer: Option<WaitingAnswer>,
}

/// An answer that waits for a write.
#[derive(Clone, Debug)]
pub(crate) struct WaitingAnswer {
    pub(crate) caller: CallerId,
    pub(crate) reply: SessionReply,
    /// When it is answered that it cannot be done now.
    pub(crate) overdue_at: Time,
}

impl Store {
    /// Merges a record and has it written to the own disk.
    pub(crate) fn take(&mut self, partition: PartitionId, record: &Record) {
        let moment = self.moment;
        let table = self.tables.entry(partition).or_default();
        table.merge(record, moment);
        let key = RecordKey { program: record.program.clone(), request: record.request.clone() };
        if table.held(&key).is_some_and(|held| held.durable < held.version) {
            self.journal.mark(StoredKey { partition, key });
        }
        self.expect_sweep();
    }

    /// Writes records to all replicas of a partition that this store leads, then answers.
    pub(crate) fn write(
        &mut self, partition: PartitionId, records: Vec<Record>, caller: CallerId, reply: SessionReply,
    ) {
        for record in &records {
            self.take(partition, record);
        }
        let id = WriteId(self.next_number());
        let overdue_at = self.moment.now + ANSWER_WITHIN;
        self.timers.insert((overdue_at, Timer::Overdue(id)));
        let write = PendingWrite {
            partition,
            records,
            durable: false,
            confirmed: BTreeSet::new(),
            under_way: BTreeSet::new(),
            answer: Some(WaitingAnswer { caller, reply, overdue_at }),
        };
        self.writes.insert(id, write);
        for replica in self.replicas(partition) {
            self.send_write(id, replica);
        }
        if self.journal.wait(Waiter::Write(id)).is_some() {
            self.write_durable(id);
        }
    }

    /// All other replicas of a partition, joining ones too.
    fn replicas(&self, partition: PartitionId) -> Vec<DiskId> {
        let Some(assignment) = self.map.assignment(partition) else { return Vec::new() };
        let all: BTreeSet<DiskId> = assignment.in_sync.iter().chain(&assignment.joining).copied().collect();
        all.into_iter().filter(|replica| *replica != self.disk).collect()
    }

    fn send_write(&mut self, id: WriteId, replica: DiskId) {
        let Some(write) = self.writes.get_mut(&id) else { return };
        if write.confirmed.contains(&replica) || !write.under_way.insert(replica) {
            return;
        }
        let partition = write.partition;
        let records = write.records.clone();
        let Some(epoch) = self.leads.get(&partition).map(|lead| lead.epoch) else { return };
        let request = TransferRequest::Write { partition, epoch, records };
        self.call(replica, request, Purpose::Write { write: id, replica });
    }

    /// A replica has answered a write, or has not.
    pub(crate) fn write_answered(&mut self, id: WriteId, replica: DiskId, answer: Option<TransferReply>) {
        let Some(write) = self.writes.get_mut(&id) else { return };
        write.under_way.remove(&replica);
        if answer == Some(TransferReply::Written) {
            write.confirmed.insert(replica);
            return self.finish_write(id);
        }
        let at = self.moment.now + RETRY_PAUSE;
        self.timers.insert((at, Timer::Resend(id, replica)));
    }

    /// The pause after a failure is over.
    pub(crate) fn resend(&mut self, id: WriteId, replica: DiskId) {
        let Some(partition) = self.writes.get(&id).map(|write| write.partition) else { return };
        // A joining replica that is not level yet gets it with the rest.
        if self.needed(partition).contains(&replica) {
            self.send_write(id, replica);
        }
    }

    /// A write is on the own disk.
    pub(crate) fn write_durable(&mut self, id: WriteId) {
        let Some(write) = self.writes.get_mut(&id) else { return };
        write.durable = true;
        self.finish_write(id);
    }

    /// Acknowledges the write if every replica that counts has it.
    pub(crate) fn finish_write(&mut self, id: WriteId) {
        let Some(write) = self.writes.get(&id).filter(|write| write.durable) else { return };
        let needed = self.needed(write.partition);
        if !needed.is_subset(&write.confirmed) {
            return;
        }
        // Fewer copies than required: it stays until a map with more of them, or another primary.
        if needed.len() + 1 + self.lost_copies(write.partition) < self.limits.required_replicas {
            return;
        }
        let Some(write) = self.writes.remove(&id) else { return };
        self.check_copies(&write);
        if let Some(answer) = write.answer {
            self.timers.remove(&(answer.overdue_at, Timer::Overdue(id)));
            self.commands.push(Command::SendSessionReply { caller: answer.caller, reply: answer.reply });
        }
    }

    /// What is acknowledged is on the disk of every in-sync replica of the map in force, on this store's own, and on
    /// as many as are required but for those known to be lost.
    fn check_copies(&self, write: &PendingWrite) {
        let partition = write.partition;
        let assignment = self.map.assignment(partition);
        let in_sync = assignment.map(|assignment| assignment.in_sync.as_slice()).unwrap_or_default();
        let has = |disk: &DiskId| *disk == self.disk || write.confirmed.contains(disk);
        // A joining replica that is level counts as a copy: the keepers may have put it in sync already.
        let copies = 1 + write.confirmed.len();
        let enough = copies + self.lost_copies(partition) >= self.limits.required_replicas;
        let on_all = in_sync.iter().all(has) && in_sync.contains(&self.disk);
        check(Invariant::AcknowledgedOnAllReplicas, on_all && enough && write.durable, || {
            let request = write.records.first().map(|record| &*record.request.0);
            format!("partition {}, request {request:?}, {copies} copies, in sync {in_sync:?}", partition.0)
        });
    }

    /// The caller is told that it cannot be done now; the write goes on.
    pub(crate) fn write_overdue(&mut self, id: WriteId) {
        let answer = self.writes.get_mut(&id).and_then(|write| write.answer.take());
        if let Some(answer) = answer {
            self.answer_undecided(answer.caller, Undecided::Overdue);
        }
    }

    /// Another map: writes need other replicas, which may lack them.
    pub(crate) fn reconsider_writes(&mut self, partition: PartitionId) {
        for id in self.writes_of(partition) {
            for replica in self.replicas(partition) {
                self.send_write(id, replica);
            }
            self.finish_write(id);
        }
    }

    /// This store leads the partition no more.
    pub(crate) fn abandon_writes(&mut self, partition: PartitionId) {
        for id in self.writes_of(partition) {
            if let Some(answer) = self.writes.remove(&id).and_then(|write| write.answer) {
                self.timers.remove(&(answer.overdue_at, Timer::Overdue(id)));
                self.refuse(answer.caller, partition);
            }
        }
    }

    /// A replica was found level, so it holds all writes under way.
    pub(crate) fn confirm_writes(&mut self, partition: PartitionId, replica: DiskId) {
        for id in self.writes_of(partition) {
            if let Some(write) = self.writes.get_mut(&id) {
                write.confirmed.insert(replica);
            }
            self.finish_write(id);
        }
    }

    fn writes_of(&self, partition: PartitionId) -> Vec<WriteId> {
        let of_partition = self.writes.iter().filter(|(_, write)| write.partition == partition);
        of_partition.map(|(id, _)| *id).collect()
    }
}
