//! Calls to other stores.

use juniperwing_protocol::DiskId;
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};

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
        match purpose {
            CallPurpose::Write { write, replica } => self.handle_write_reply(write, replica, reply),
            CallPurpose::ConfirmEpochs { confirmation } => {
                self.handle_epoch_confirmation(confirmation, reply);
            }
            CallPurpose::Sync(step) => self.handle_sync_reply(step, reply),
        }
    }
}
