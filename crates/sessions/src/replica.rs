//! What a replica does for the primaries of its partitions.

use std::collections::BTreeSet;

use juniperwing_protocol::session::PartitionEpoch;
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, EpochNumber, PartitionId};

use crate::event::{CallerId, Command};
use crate::journal::Waiter;
use crate::limits::{MAP_WITHIN, MAX_WAITING};
use crate::store::{Store, Timer, Waiting};

/// Whether a primary's epoch is the one that this store goes by.
enum Gate {
    Open,
    /// The epoch is over: who asks is primary no more.
    Fenced(EpochNumber),
    /// The epoch is not known yet.
    Unknown,
}

impl Store {
    /// Another store asks; `waited` if it has waited for the map already.
    pub(crate) fn transfer(&mut self, caller: CallerId, request: TransferRequest, waited: bool) {
        match self.gate_of(&request) {
            Gate::Open => self.serve_transfer(caller, request),
            Gate::Fenced(epoch) => self.answer_transfer(caller, TransferReply::Fenced { epoch }),
            Gate::Unknown if waited || self.waiting.len() >= MAX_WAITING => {
                self.answer_transfer(caller, TransferReply::Failed);
            }
            Gate::Unknown => {
                let number = self.next_number();
                self.waiting.insert(number, Waiting::Map { caller, request });
                self.timers.insert((self.moment.now + MAP_WITHIN, Timer::Waiting(number)));
            }
        }
    }

    fn gate_of(&self, request: &TransferRequest) -> Gate {
        match request {
            TransferRequest::Confirm { partitions } => self.gate_of_all(partitions),
            TransferRequest::Write { partition, epoch, .. }
            | TransferRequest::Digests { partition, epoch, .. }
            | TransferRequest::Records { partition, epoch, .. } => {
                self.gate(PartitionEpoch { partition: *partition, epoch: *epoch })
            }
        }
    }

    fn gate_of_all(&self, partitions: &[PartitionEpoch]) -> Gate {
        let mut all = Gate::Open;
        for named in partitions {
            match self.gate(*named) {
                Gate::Open => {}
                Gate::Unknown => all = Gate::Unknown,
                fenced => return fenced,
            }
        }
        all
    }

    fn gate(&self, named: PartitionEpoch) -> Gate {
        let known = self.map.assignment(named.partition).map(|assignment| assignment.epoch);
        match known {
            Some(known) if named.epoch == known => Gate::Open,
            Some(known) if named.epoch < known => Gate::Fenced(known),
            _ => Gate::Unknown,
        }
    }

    fn serve_transfer(&mut self, caller: CallerId, request: TransferRequest) {
        match request {
            TransferRequest::Confirm { .. } => self.answer_transfer(caller, TransferReply::Written),
            TransferRequest::Write { partition, records, .. } => {
                for record in &records {
                    self.take(partition, record);
                }
                self.wait_for_disk(Waiter::Replica(caller));
            }
            TransferRequest::Digests { partition, ranges, live_after_ms, .. } => {
                self.wait_for_disk(Waiter::Digests { caller, partition, ranges, live_after_ms });
            }
            TransferRequest::Records { partition, ranges, requested, live_after_ms, after, .. } => {
                let table = self.tables.entry(partition).or_default();
                let page = table.page(ranges, &requested, live_after_ms, after.as_ref());
                let reply = TransferReply::Records { records: page.records, next: page.next };
                self.answer_transfer(caller, reply);
            }
        }
    }

    fn wait_for_disk(&mut self, waiter: Waiter) {
        if self.journal.is_paused() {
            self.disk_failed(waiter);
        } else if let Some(waiter) = self.journal.wait(waiter) {
            self.disk_done(waiter);
        }
    }

    /// What a waiter waited for is on disk.
    pub(crate) fn disk_done(&mut self, waiter: Waiter) {
        match waiter {
            Waiter::Write(id) => self.write_durable(id),
            Waiter::Replica(caller) => self.answer_transfer(caller, TransferReply::Written),
            Waiter::Digests { caller, partition, ranges, live_after_ms } => {
                let digests =
                    self.tables.entry(partition).or_default().durable_digests(ranges, live_after_ms);
                self.answer_transfer(caller, TransferReply::Digests(digests));
            }
        }
    }

    /// The disk has refused what a waiter waited for. Own writes wait for the next batch.
    pub(crate) fn disk_failed(&mut self, waiter: Waiter) {
        match waiter {
            Waiter::Write(id) => {
                if self.journal.wait(Waiter::Write(id)).is_some() {
                    self.write_durable(id);
                }
            }
            Waiter::Replica(caller) | Waiter::Digests { caller, .. } => {
                self.answer_transfer(caller, TransferReply::Failed);
            }
        }
    }

    pub(crate) fn answer_transfer(&mut self, caller: CallerId, reply: TransferReply) {
        self.commands.push(Command::SendTransferReply { caller, reply });
    }

    /// The replicas whose confirmation every write of a partition needs: those in sync, and joining ones that
    /// were found level, since the keepers may have put them in sync already.
    pub(crate) fn needed(&self, partition: PartitionId) -> BTreeSet<DiskId> {
        let Some(assignment) = self.map.assignment(partition) else { return Default::default() };
        let level = self.leads.get(&partition).into_iter().flat_map(|lead| lead.level_replicas());
        let joined = level.filter(|replica| assignment.joining.contains(replica));
        let mut needed: BTreeSet<DiskId> = assignment.in_sync.iter().copied().collect();
        needed.extend(joined);
        needed.remove(&self.disk);
        needed
    }
}
