//! Denials: a request is denied only when all other replicas have confirmed the epochs since it came.
//!
//! Without it, a primary that does not know yet that it was superseded could deny what its successor knows. Such a
//! primary never gets its epoch confirmed.

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

/// A request that is to be denied, while the other replicas confirm that this store still leads.
#[derive(Clone, Debug)]
pub(crate) struct EpochConfirmation {
    caller: CallerId,
    request: SessionRequest,
    /// The partitions that the denial is about, with this store's epochs.
    epochs: Vec<PartitionEpoch>,
    /// The number of replicas that have not replied.
    outstanding_replies: usize,
}

/// Whether the epochs by which a request is decided have been confirmed since it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EpochCertainty {
    Unconfirmed,
    Confirmed,
}

impl Store {
    /// Denies a request in its own partition.
    pub(crate) fn deny(
        &mut self, caller: CallerId, request: SessionRequest, reply: SessionReply, certainty: EpochCertainty,
    ) {
        let partitions = vec![PartitionEpoch { partition: request.partition, epoch: request.epoch }];
        self.deny_in_partitions(caller, request, partitions, reply, certainty);
    }

    /// Denies a request if all other replicas of the partitions have confirmed the epochs; else requests that first.
    pub(crate) fn deny_in_partitions(
        &mut self, caller: CallerId, request: SessionRequest, partitions: Vec<PartitionEpoch>,
        reply: SessionReply, certainty: EpochCertainty,
    ) {
        if certainty == EpochCertainty::Confirmed {
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
        let id = EpochConfirmationId(self.next_number());
        let outstanding_replies = replicas.len();
        let confirmation = EpochConfirmation { caller, request, epochs, outstanding_replies };
        self.epoch_confirmations.insert(id, confirmation);
        for (replica, partitions) in replicas {
            let purpose = CallPurpose::ConfirmEpochs { confirmation: id };
            self.call_store(replica, TransferRequest::Confirm { partitions }, purpose);
        }
    }

    /// The partitions that this store leads among these, with its epochs.
    fn current_epochs(&self, partitions: &[PartitionEpoch]) -> Vec<PartitionEpoch> {
        let current = partitions.iter().filter_map(|PartitionEpoch { partition, .. }| {
            let epoch = self.led_partitions.get(partition)?.epoch;
            Some(PartitionEpoch { partition: *partition, epoch })
        });
        current.collect()
    }

    /// The replicas that must confirm these epochs, each with those of its partitions.
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
            // Decided anew: what was missing may have come meanwhile.
            self.decide(caller, request, EpochCertainty::Confirmed);
        } else {
            self.send_unavailable(caller, UnavailableReason::EpochNotConfirmed);
        }
    }

    /// Whether this store leads a partition in exactly this epoch.
    fn is_primary_in(&self, expected: PartitionEpoch) -> bool {
        self.led_partitions.get(&expected.partition).is_some_and(|led| led.epoch == expected.epoch)
    }
}
