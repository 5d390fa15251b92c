//! Calls to other stores, and what they are for.

use juniperwing_protocol::DiskId;
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};

use crate::event::{Command, TransferCallId};
use crate::levelling::LevelStep;
use crate::primary::RoundId;
use crate::store::Store;
use crate::write::WriteId;

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// To copy a write to a replica.
    Write { write: WriteId, replica: DiskId },
    /// To confirm an epoch before something is denied.
    Confirm { round: RoundId },
    /// To make a replica level.
    Level(LevelStep),
}

impl Store {
    /// Calls a store. One that the map does not name counts as one that does not answer.
    pub(crate) fn call(&mut self, replica: DiskId, request: TransferRequest, purpose: Purpose) {
        match self.map.store(replica).map(|store| store.address) {
            Some(to) => {
                let call = TransferCallId(self.next_number());
                self.calls.insert(call, purpose);
                self.commands.push(Command::Call { call, to, request });
            }
            None => self.ended(purpose, None),
        }
    }

    /// A call has ended.
    pub(crate) fn answered(&mut self, call: TransferCallId, answer: Option<TransferReply>) {
        if let Some(purpose) = self.calls.remove(&call) {
            self.ended(purpose, answer);
        }
    }

    fn ended(&mut self, purpose: Purpose, answer: Option<TransferReply>) {
        match purpose {
            Purpose::Write { write, replica } => self.write_answered(write, replica, answer),
            Purpose::Confirm { round } => self.confirm_answered(round, answer),
            Purpose::Level(step) => self.level_answered(step, answer),
        }
    }
}
