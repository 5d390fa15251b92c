//! The transfer of state to a lagging replica: the changes that it lacks if they are retained, otherwise the
//! complete state.
//!
//! Data in flight to a replica is not resent before it must have arrived, regardless of its size; later
//! changes are sent after it. A replica can therefore catch up even if changes are made faster than a
//! snapshot is transferred, and the number of bytes in flight to it is bounded.

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::{NumberedChange, ReplicationBody, Version};

use crate::recent_changes::{RecentChanges, RetainedChange};

/// The variable part of the limit of bytes in flight to one replica, as a multiple of the size of the state.
const MAX_STATES_IN_FLIGHT: usize = 2;
/// The constant part of the limit of bytes in flight to one replica.
const MAX_BYTES_IN_FLIGHT: usize = 64 << 10;

/// The data in flight to a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateTransfer {
    /// The version that the replica had when it last made progress.
    acknowledged: Version,
    /// The version that it will have once the data has arrived.
    target: Version,
    /// Bytes that it has not acknowledged.
    bytes_in_flight: usize,
    /// When these bytes count as lost.
    lost_at: Time,
}

/// The input of the decision on the next transfer.
pub(crate) struct TransferPlanner<'a> {
    pub(crate) now: Time,
    pub(crate) epoch: EpochNumber,
    /// The primary's version.
    pub(crate) latest: Version,
    /// The primary's state, encoded.
    pub(crate) state: &'a [u8],
    pub(crate) changes: &'a RecentChanges,
    /// The time that an acknowledgement may take in addition to the transfer.
    pub(crate) resend_interval: Span,
    /// Bytes per millisecond on the slowest link.
    pub(crate) link_bytes_per_ms: f64,
}

impl TransferPlanner<'_> {
    /// Returns the message to send now to a replica that has acknowledged the version `acknowledged`, and
    /// updates the data in flight to it.
    pub(crate) fn next_message(
        &self, in_flight: &mut Option<StateTransfer>, acknowledged: Version,
    ) -> Option<ReplicationBody> {
        *in_flight = in_flight.and_then(|transfer| self.remaining_transfer(transfer, acknowledged));
        let base = in_flight.map_or(acknowledged, |transfer| transfer.target);
        if base == self.latest {
            return None;
        }
        let body = match self.changes.since(base) {
            Some(changes) => self.changes_message(base, changes),
            None if in_flight.is_none() => self.snapshot_message(),
            // A newer snapshot is sent when the one in flight has arrived.
            None => return None,
        };
        let bytes = payload_bytes(&body);
        let bytes_in_flight = bytes + in_flight.map_or(0, |transfer| transfer.bytes_in_flight);
        if in_flight.is_some() && bytes_in_flight > self.max_bytes_in_flight() {
            return None;
        }
        let first_lost_at = in_flight.map_or(self.now + self.resend_interval, |transfer| transfer.lost_at);
        let lost_at = first_lost_at + self.transfer_time(bytes);
        *in_flight = Some(StateTransfer { acknowledged, target: self.latest, bytes_in_flight, lost_at });
        Some(body)
    }

    /// The remainder of a transfer; `None` if all of it has arrived or the remainder counts as lost.
    fn remaining_transfer(
        &self, mut transfer: StateTransfer, acknowledged: Version,
    ) -> Option<StateTransfer> {
        if acknowledged != transfer.acknowledged {
            transfer.acknowledged = acknowledged;
            let remaining = self.changes.since(acknowledged);
            let remaining =
                remaining.map(|changes| changes.take_while(|entry| entry.base != transfer.target));
            transfer.bytes_in_flight = remaining.map_or(transfer.bytes_in_flight, |remaining| {
                remaining.map(|entry| entry.change.len()).sum()
            });
            transfer.lost_at = self.now + self.resend_interval + self.transfer_time(transfer.bytes_in_flight);
        }
        Some(transfer).filter(|transfer| transfer.target != acknowledged && self.now < transfer.lost_at)
    }

    fn max_bytes_in_flight(&self) -> usize {
        MAX_STATES_IN_FLIGHT * self.state.len() + MAX_BYTES_IN_FLIGHT
    }

    /// The transfer time on the slowest link.
    fn transfer_time(&self, bytes: usize) -> Span {
        Span::from_millis((bytes as f64 / self.link_bytes_per_ms) as u64)
    }

    /// A message with the missing changes. All of them are in one message so that they cannot be reordered.
    fn changes_message<'m>(
        &self, base: Version, changes: impl Iterator<Item = &'m RetainedChange>,
    ) -> ReplicationBody {
        let epoch = self.epoch;
        let mut changes: Vec<NumberedChange> = changes.map(RetainedChange::to_numbered_change).collect();
        match changes.len() {
            1 => {
                let NumberedChange { version, change } = changes.remove(0);
                ReplicationBody::Write { epoch, base, version, change }
            }
            _ => ReplicationBody::Changes { epoch, base, changes },
        }
    }

    fn snapshot_message(&self) -> ReplicationBody {
        ReplicationBody::Snapshot { epoch: self.epoch, version: self.latest, state: self.state.to_vec() }
    }
}

/// The size of the changes or the state in a message.
fn payload_bytes(body: &ReplicationBody) -> usize {
    match body {
        ReplicationBody::Write { change, .. } => change.len(),
        ReplicationBody::Changes { changes, .. } => changes.iter().map(|entry| entry.change.len()).sum(),
        ReplicationBody::Snapshot { state, .. } => state.len(),
        _ => 0,
    }
}
