//! Outgoing calls to other stores.

use juniperwing_protocol::transfer::{TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, EpochNumber};

use crate::anti_entropy::SyncStep;
use crate::epoch_confirmation::EpochConfirmationId;
use crate::event::{Command, TransferCallId};
use crate::store::Store;
use crate::write::WriteId;

/// The purpose of a call, which determines how its reply is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    /// Sends a write to a replica.
    Write { write: WriteId, replica: DiskId },
    /// Requests that a replica confirm epochs before a request is denied.
    ConfirmEpochs { confirmation: EpochConfirmationId },
    /// Synchronizes a replica.
    Sync(SyncStep),
}

impl CallPurpose {
    /// The replica that is called; `None` for a confirmation, which does not record its replicas.
    fn replica(self) -> Option<DiskId> {
        match self {
            CallPurpose::Write { replica, .. } => Some(replica),
            CallPurpose::Sync(step) => Some(step.replica()),
            CallPurpose::ConfirmEpochs { .. } => None,
        }
    }
}

impl Store {
    /// Calls a store. If the map does not name it, the call completes immediately without a reply.
    pub(crate) fn call_store(&mut self, replica: DiskId, request: TransferRequest, purpose: CallPurpose) {
        match self.map.store(replica).map(|store| store.address) {
            Some(to) => {
                let call = TransferCallId(self.next_id());
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
        if let Some(replica) = purpose.replica() {
            self.replica_contact.record_call(self.clock.now, replica, reply.is_some());
        }
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

    /// Handles a reply from a replica that knows a later epoch of the partition. This store no longer leads the
    /// partition and sends nothing more in the old epoch. The map with the new epoch arrives later.
    fn handle_fenced(&mut self, purpose: CallPurpose, epoch: EpochNumber) {
        let partition = match purpose {
            CallPurpose::Write { write, .. } => self.pending_writes.get(&write).map(|write| write.partition),
            CallPurpose::Sync(step) => Some(step.partition()),
            // A confirmation may cover several partitions, and the reply does not say which of them is fenced, so this
            // store gives up none of them here. The request that waits for it is answered as unavailable.
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
