//! Epoch confirmation: a request is denied only after all other replicas have confirmed the primary's epochs since the
//! request arrived.
//!
//! Without the confirmation, a primary that does not know yet that it was superseded could deny a turn that its
//! successor has stored. The epoch of a superseded primary is never confirmed.

use std::collections::BTreeMap;

use juniperwing_protocol::DiskId;
use juniperwing_protocol::session::{PartitionEpoch, SessionReply, SessionRequest};
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};

use crate::call::CallPurpose;
use crate::event::CallerId;
use crate::limits::MAX_WAITING_REQUESTS;
use crate::statistics::UnavailableReason;
use crate::store::Store;

/// Identifies a confirmation in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EpochConfirmationId(u64);

/// A request to be denied once the other replicas confirm that this store is still the primary.
#[derive(Clone, Debug)]
pub(crate) struct EpochConfirmation {
    caller: CallerId,
    request: SessionRequest,
    /// The partitions that the denial covers, with this store's epochs.
    epochs: Vec<PartitionEpoch>,
    /// The number of replicas that have not replied.
    outstanding_replies: usize,
}

/// Whether the epochs in which a request is processed have been confirmed since it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EpochStatus {
    Unconfirmed,
    Confirmed,
}

impl Store {
    /// Denies a request that concerns only its own partition.
    pub(crate) fn deny(
        &mut self, caller: CallerId, request: SessionRequest, reply: SessionReply, epoch_status: EpochStatus,
    ) {
        let partitions = vec![PartitionEpoch { partition: request.partition, epoch: request.epoch }];
        self.deny_in_partitions(caller, request, partitions, reply, epoch_status);
    }

    /// Denies a request if all other replicas of the partitions have confirmed the epochs; otherwise first requests the
    /// confirmations.
    pub(crate) fn deny_in_partitions(
        &mut self, caller: CallerId, request: SessionRequest, partitions: Vec<PartitionEpoch>,
        reply: SessionReply, epoch_status: EpochStatus,
    ) {
        if epoch_status == EpochStatus::Confirmed {
            return self.send_session_reply(caller, reply);
        }
        let epochs = self.current_epochs(&partitions);
        let replicas = self.epochs_by_replica(&epochs);
        if replicas.is_empty() {
            return self.send_session_reply(caller, reply);
        }
        if self.epoch_confirmations.len() >= MAX_WAITING_REQUESTS {
            return self.send_unavailable(caller, UnavailableReason::TooManyWaitingRequests);
        }
        let id = EpochConfirmationId(self.next_id());
        let outstanding_replies = replicas.len();
        let confirmation = EpochConfirmation { caller, request, epochs, outstanding_replies };
        self.epoch_confirmations.insert(id, confirmation);
        for (replica, partitions) in replicas {
            let purpose = CallPurpose::ConfirmEpochs { confirmation: id };
            self.call_store(replica, TransferRequest::Confirm { partitions }, purpose);
        }
    }

    /// Returns those of the partitions that this store leads, with its current epochs.
    fn current_epochs(&self, partitions: &[PartitionEpoch]) -> Vec<PartitionEpoch> {
        let current = partitions.iter().filter_map(|PartitionEpoch { partition, .. }| {
            let epoch = self.led_partitions.get(partition)?.epoch;
            Some(PartitionEpoch { partition: *partition, epoch })
        });
        current.collect()
    }

    /// Groups the epochs by the replicas that must confirm them.
    fn epochs_by_replica(&self, epochs: &[PartitionEpoch]) -> BTreeMap<DiskId, Vec<PartitionEpoch>> {
        let mut by_replica: BTreeMap<DiskId, Vec<PartitionEpoch>> = BTreeMap::new();
        for epoch in epochs {
            for replica in self.confirming_replicas(epoch.partition) {
                by_replica.entry(replica).or_default().push(*epoch);
            }
        }
        by_replica
    }

    /// Handles a replica's reply to a confirmation; `None` if there was none.
    pub(crate) fn handle_epoch_confirmation(
        &mut self, id: EpochConfirmationId, reply: Option<TransferReply>,
    ) {
        let Some(confirmation) = self.epoch_confirmations.get_mut(&id) else { return };
        confirmation.outstanding_replies -= 1;
        let is_confirmed = reply == Some(TransferReply::Written);
        if is_confirmed && confirmation.outstanding_replies > 0 {
            return;
        }
        let Some(EpochConfirmation { caller, request, epochs, .. }) = self.epoch_confirmations.remove(&id)
        else {
            return;
        };
        if is_confirmed && epochs.iter().all(|epoch| self.is_primary_in(*epoch)) {
            // The request is processed again, since the missing turn may have been stored meanwhile.
            self.process_session_request(caller, request, EpochStatus::Confirmed);
        } else {
            self.send_unavailable(caller, UnavailableReason::EpochNotConfirmed);
        }
    }

    /// Whether this store leads a partition in exactly this epoch.
    fn is_primary_in(&self, expected: PartitionEpoch) -> bool {
        self.led_partitions.get(&expected.partition).is_some_and(|led| led.epoch == expected.epoch)
    }
}
