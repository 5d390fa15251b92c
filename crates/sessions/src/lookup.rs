//! Lookup of a turn of any program, across partitions.

use juniperwing_protocol::RequestId;
use juniperwing_protocol::session::{PartitionEpoch, SessionReply, SessionRequest, Turn};

use crate::chain::Chain;
use crate::epoch_confirmation::EpochStatus;
use crate::event::CallerId;
use crate::statistics::UnavailableReason;
use crate::store::Store;

impl Store {
    pub(crate) fn handle_find(
        &mut self, caller: CallerId, request: SessionRequest, turn: &RequestId,
        partitions: Vec<PartitionEpoch>, epoch_status: EpochStatus,
    ) {
        // A stored turn is valid whichever store leads the partition, so the epochs need not be checked.
        if let Some(chain) = self.find_chain(turn) {
            return self.send_session_reply(caller, SessionReply::TurnFound { chain });
        }
        for &PartitionEpoch { partition, epoch } in &partitions {
            if !self.is_primary_since(partition, epoch) {
                return self.send_not_primary(caller, partition);
            }
            if !self.has_required_replicas(partition) {
                return self.send_unavailable(caller, UnavailableReason::TooFewReplicas);
            }
            if !self.is_synchronized(partition) {
                return self.send_unavailable(caller, UnavailableReason::NotSynchronized);
            }
        }
        self.deny_in_partitions(caller, request, partitions, SessionReply::UnknownTurn, epoch_status);
    }

    fn find_chain(&self, turn: &RequestId) -> Option<Vec<Turn>> {
        self.tables.values().find_map(|table| match table.chain_in_any_program(turn) {
            Chain::Found(chain) => Some(chain),
            Chain::Unknown | Chain::Broken => None,
        })
    }
}
