//! Calls to other stores.

use juniperwing_protocol::transfer::{TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, EpochNumber};

use crate::anti_entropy::SyncStep;
use crate::epoch_confirmation::EpochConfirmationId;
use crate::event::{Command, TransferCallId};
use crate::store::Store;
use crate::write::WriteId;

/// What a call is made for; decides where its reply goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    /// Copies a write to a replica.
    Write { write: WriteId, replica: DiskId },
    /// Has a replica confirm epochs before a request is denied.
    ConfirmEpochs { confirmation: EpochConfirmationId },
    /// Synchronizes a replica.
    Sync(SyncStep),
}

impl Store {
    /// Calls a store. A call to one that the map does not name ends at once without a reply.
    pub(crate) fn call_store(&mut self, replica: DiskId, request: TransferRequest, purpose: CallPurpose) {
        match self.map.store(replica).map(|store| store.address) {
            Some(to) => {
                let call = TransferCallId(self.next_number());
                self.calls.insert(call, purpose);
                self.commands.push(Command::Call { call, to, request });
            }
            None => self.complete_call(purpose, None),
        }
    }

    /// Handles the end of a call; `None` if there was no reply.
    pub(crate) fn handle_call_completed(&mut self, call: TransferCallId, reply: Option<TransferReply>) {
        if let Some(purpose) = self.calls.remove(&call) {
            self.complete_call(purpose, reply);
        }
    }

    fn complete_call(&mut self, purpose: CallPurpose, reply: Option<TransferReply>) {
        if let Some(TransferReply::Fenced { epoch }) = reply {
            self.handle_fenced(purpose, epoch);
        }
        match purpose {
            CallPurpose::Write { write, replica } => self.handle_write_reply(write, replica, reply),
            CallPurpose::ConfirmEpochs { confirmation } => {
                self.handle_epoch_confirmation(confirmation, reply);
            }
            CallPurpose::Sync(step) => self.handle_sync_reply(step, reply),
        }
    }

    /// A replica knows a later epoch of the partition that a call was about: this store leads the partition no more,
    /// and sends nothing in the old epoch again. The map with the new epoch follows.
    fn handle_fenced(&mut self, purpose: CallPurpose, epoch: EpochNumber) {
        let partition = match purpose {
            CallPurpose::Write { write, .. } => self.pending_writes.get(&write).map(|write| write.partition),
            CallPurpose::Sync(step) => Some(step.partition()),
            // A confirmation is about several partitions; the request that needs it is not granted.
            CallPurpose::ConfirmEpochs { .. } => None,
        };
        let Some(partition) = partition else { return };
        if self.led_partitions.get(&partition).is_some_and(|led| led.epoch < epoch) {
            self.led_partitions.remove(&partition);
            self.abandon_writes(partition);
            self.resume_requests(partition);
        }
    }
}
