//! What a replica does for the primaries of its partitions.

use std::collections::BTreeSet;

use juniperwing_protocol::session::PartitionEpoch;
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, EpochNumber, PartitionId};

use crate::event::{CallerId, Command};
use crate::group_commit::DurabilityWaiter;
use crate::limits::{MAP_WAIT_TIMEOUT, MAX_WAITING_REQUESTS};
use crate::store::{Store, Timer, WaitingRequest};

/// Whether a primary's epoch is the one that this store goes by.
enum EpochCheck {
    Current,
    /// The epoch is over: who asks is primary no more.
    Fenced(EpochNumber),
    /// The epoch is not known yet.
    Unknown,
}

impl Store {
    /// Another store asks; `waited` if it has waited for the map already.
    pub(crate) fn handle_transfer_request(
        &mut self, caller: CallerId, request: TransferRequest, waited: bool,
    ) {
        match self.check_request_epoch(&request) {
            EpochCheck::Current => self.execute_transfer(caller, request),
            EpochCheck::Fenced(epoch) => self.send_transfer_reply(caller, TransferReply::Fenced { epoch }),
            EpochCheck::Unknown if waited || self.waiting.len() >= MAX_WAITING_REQUESTS => {
                self.send_transfer_reply(caller, TransferReply::Failed);
            }
            EpochCheck::Unknown => {
                let number = self.next_number();
                self.waiting.insert(number, WaitingRequest::ForMap { caller, request });
                self.timers.insert((self.moment.now + MAP_WAIT_TIMEOUT, Timer::RequestTimeout(number)));
            }
        }
    }

    fn check_request_epoch(&self, request: &TransferRequest) -> EpochCheck {
        match request {
            TransferRequest::Confirm { partitions } => self.check_epochs(partitions),
            TransferRequest::Write { partition, epoch, .. }
            | TransferRequest::Digests { partition, epoch, .. }
            | TransferRequest::Records { partition, epoch, .. } => {
                self.check_epoch(PartitionEpoch { partition: *partition, epoch: *epoch })
            }
        }
    }

    fn check_epochs(&self, partitions: &[PartitionEpoch]) -> EpochCheck {
        let mut all = EpochCheck::Current;
        for named in partitions {
            match self.check_epoch(*named) {
                EpochCheck::Current => {}
                EpochCheck::Unknown => all = EpochCheck::Unknown,
                fenced => return fenced,
            }
        }
        all
    }

    fn check_epoch(&self, named: PartitionEpoch) -> EpochCheck {
        let known = self.map.assignment(named.partition).map(|assignment| assignment.epoch);
        match known {
            Some(known) if named.epoch == known => EpochCheck::Current,
            Some(known) if named.epoch < known => EpochCheck::Fenced(known),
            _ => EpochCheck::Unknown,
        }
    }

    fn execute_transfer(&mut self, caller: CallerId, request: TransferRequest) {
        match request {
            TransferRequest::Confirm { .. } => self.send_transfer_reply(caller, TransferReply::Written),
            TransferRequest::Write { partition, records, .. } => {
                for record in &records {
                    self.merge_record(partition, record);
                }
                self.wait_until_durable(DurabilityWaiter::Replica(caller));
            }
            TransferRequest::Digests { partition, ranges, live_after_ms, .. } => {
                self.wait_until_durable(DurabilityWaiter::Digests {
                    caller,
                    partition,
                    ranges,
                    live_after_ms,
                });
            }
            TransferRequest::Records { partition, ranges, requested, live_after_ms, after, .. } => {
                let table = self.tables.entry(partition).or_default();
                let page = table.page(ranges, &requested, live_after_ms, after.as_ref());
                let reply = TransferReply::Records { records: page.records, next: page.resume_after };
                self.send_transfer_reply(caller, reply);
            }
        }
    }

    fn wait_until_durable(&mut self, waiter: DurabilityWaiter) {
        if self.group_commit.is_paused() {
            self.fail_waiter(waiter);
        } else if let Some(waiter) = self.group_commit.wait(waiter) {
            self.complete_waiter(waiter);
        }
    }

    /// What a waiter waited for is on disk.
    pub(crate) fn complete_waiter(&mut self, waiter: DurabilityWaiter) {
        match waiter {
            DurabilityWaiter::Write(id) => self.handle_write_durable(id),
            DurabilityWaiter::Replica(caller) => self.send_transfer_reply(caller, TransferReply::Written),
            DurabilityWaiter::Digests { caller, partition, ranges, live_after_ms } => {
                let digests =
                    self.tables.entry(partition).or_default().durable_digests(ranges, live_after_ms);
                self.send_transfer_reply(caller, TransferReply::Digests(digests));
            }
        }
    }

    /// The disk has refused what a waiter waited for. Own writes wait for the next batch.
    pub(crate) fn fail_waiter(&mut self, waiter: DurabilityWaiter) {
        match waiter {
            DurabilityWaiter::Write(id) => {
                if self.group_commit.wait(DurabilityWaiter::Write(id)).is_some() {
                    self.handle_write_durable(id);
                }
            }
            DurabilityWaiter::Replica(caller) | DurabilityWaiter::Digests { caller, .. } => {
                self.send_transfer_reply(caller, TransferReply::Failed);
            }
        }
    }

    pub(crate) fn send_transfer_reply(&mut self, caller: CallerId, reply: TransferReply) {
        self.commands.push(Command::SendTransferReply { caller, reply });
    }

    /// The replicas whose confirmation every write of a partition needs: those in sync, and joining ones that
    /// were found level, since the keepers may have put them in sync already.
    pub(crate) fn confirming_replicas(&self, partition: PartitionId) -> BTreeSet<DiskId> {
        let Some(assignment) = self.map.assignment(partition) else { return Default::default() };
        let level =
            self.led_partitions.get(&partition).into_iter().flat_map(|lead| lead.synchronized_replicas());
        let joined = level.filter(|replica| assignment.joining.contains(replica));
        let mut needed: BTreeSet<DiskId> = assignment.in_sync.iter().copied().collect();
        needed.extend(joined);
        needed.remove(&self.disk);
        needed
    }
}
