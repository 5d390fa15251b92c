//! Calls to other stores, and what they are for.

use juniperwing_protocol::DiskId;
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};

use crate::anti_entropy::SyncStep;
use crate::event::{Command, TransferCallId};
use crate::primary::EpochConfirmationId;
use crate::store::Store;
use crate::write::WriteId;

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    /// To copy a write to a replica.
    Write { write: WriteId, replica: DiskId },
    /// To confirm an epoch before something is denied.
    ConfirmEpochs { confirmation: EpochConfirmationId },
    /// To make a replica level.
    Sync(SyncStep),
}

impl Store {
    /// Calls a store. One that the map does not name counts as one that does not answer.
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

    /// A call has ended.
    pub(crate) fn handle_call_completed(&mut self, call: TransferCallId, answer: Option<TransferReply>) {
        if let Some(purpose) = self.calls.remove(&call) {
            self.complete_call(purpose, answer);
        }
    }

    fn complete_call(&mut self, purpose: CallPurpose, answer: Option<TransferReply>) {
        match purpose {
            CallPurpose::Write { write, replica } => self.handle_write_reply(write, replica, answer),
            CallPurpose::ConfirmEpochs { confirmation } => {
                self.handle_epoch_confirmation(confirmation, answer)
            }
            CallPurpose::Sync(step) => self.handle_sync_reply(step, answer),
        }
    }
}
