//! Transfer requests: the operations of a replica on behalf of the primaries of its partitions.

use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::session::PartitionEpoch;
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};

use crate::event::{CallerId, Command};
use crate::group_commit::DurabilityWaiter;
use crate::limits::MAP_WAIT_TIMEOUT;
use crate::store::Store;
use crate::waiting_requests::WaitingRequest;

/// The result of comparing a primary's epoch with the epoch in this store's map.
enum EpochCheck {
    Current,
    /// The epoch was superseded by this one, so the sender is no longer the primary.
    Fenced(EpochNumber),
    /// The epoch is not in the map yet.
    Unknown,
}

impl Store {
    /// Handles another store's request. If `has_waited` is set, it is not deferred again for a newer map.
    pub(crate) fn handle_transfer_request(
        &mut self, caller: CallerId, request: TransferRequest, has_waited: bool,
    ) {
        match self.check_request_epoch(&request) {
            EpochCheck::Current => self.execute_transfer(caller, request),
            EpochCheck::Fenced(epoch) => self.send_transfer_reply(caller, TransferReply::Fenced { epoch }),
            EpochCheck::Unknown if has_waited || self.has_max_waiting_requests() => {
                self.send_transfer_reply(caller, TransferReply::Failed);
            }
            EpochCheck::Unknown => {
                self.add_waiting_request(WaitingRequest::ForMap { caller, request }, MAP_WAIT_TIMEOUT);
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
        let mut result = EpochCheck::Current;
        for expected in partitions {
            match self.check_epoch(*expected) {
                EpochCheck::Current => {}
                EpochCheck::Unknown => result = EpochCheck::Unknown,
                fenced @ EpochCheck::Fenced { .. } => return fenced,
            }
        }
        result
    }

    fn check_epoch(&self, sent: PartitionEpoch) -> EpochCheck {
        let known = self.map.assignment(sent.partition).map(|assignment| assignment.epoch);
        match known {
            Some(known) if sent.epoch == known => EpochCheck::Current,
            Some(known) if sent.epoch < known => EpochCheck::Fenced(known),
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
                let waiter = DurabilityWaiter::Digests { caller, partition, ranges, live_after_ms };
                self.wait_until_durable(waiter);
            }
            TransferRequest::Records { partition, ranges, requested, live_after_ms, after, .. } => {
                let table = self.tables.entry(partition).or_default();
                let page = table.page(ranges, &requested, live_after_ms, after.as_ref());
                let reply = TransferReply::Records { records: page.records, next: page.resume_after };
                self.send_transfer_reply(caller, reply);
            }
        }
    }

    /// Completes a waiter whose records are on disk.
    pub(crate) fn complete_waiter(&mut self, waiter: DurabilityWaiter) {
        match waiter {
            DurabilityWaiter::Write(id) => self.handle_write_durable(id),
            DurabilityWaiter::Replica(caller) => self.send_transfer_reply(caller, TransferReply::Written),
            DurabilityWaiter::Digests { caller, partition, ranges, live_after_ms } => {
                let table = self.tables.entry(partition).or_default();
                let digests = table.durable_digests(ranges, live_after_ms);
                self.send_transfer_reply(caller, TransferReply::Digests(digests));
            }
        }
    }

    /// Fails a waiter whose records could not be written. A write of this store as a primary waits for the next batch
    /// instead.
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
}
