//! What is sent to a replica that lags: the changes that it lacks where they are retained, otherwise the
//! complete state.
//!
//! What is in flight to a replica is not sent again before it must have arrived, however large it is; later
//! changes are sent behind it. So changes that come faster than a snapshot is transferred do not keep a
//! replica from catching up, and the number of bytes in flight to it is bounded.

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::{NumberedChange, ReplicationBody, Version};

use crate::recent_changes::{RecentChanges, RetainedChange};

/// The limit of bytes in flight to one replica, as a multiple of the size of the state...
const MAX_STATES_IN_FLIGHT: usize = 2;
/// ... plus this number of bytes.
const MAX_BYTES_IN_FLIGHT: usize = 64 << 10;

/// What is in flight to a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateTransfer {
    /// The version that the replica had when it last made progress.
    acknowledged: Version,
    /// The version that it will have.
    target: Version,
    /// Bytes that it has not acknowledged.
    bytes_in_flight: usize,
    /// When they count as lost.
    lost_at: Time,
}

/// What the decision on the next transfer depends on.
pub(crate) struct TransferPlanner<'a> {
    pub(crate) now: Time,
    pub(crate) epoch: EpochNumber,
    /// The primary's version.
    pub(crate) latest: Version,
    /// The primary's state, encoded.
    pub(crate) state: &'a [u8],
    pub(crate) changes: &'a RecentChanges,
    /// How long an acknowledgement may take in addition to the transfer.
    pub(crate) resend_interval: Span,
    /// Bytes per millisecond on the slowest link.
    pub(crate) link_bytes_per_ms: f64,
}

impl TransferPlanner<'_> {
    /// The message to send now to a replica that has acknowledged `acknowledged`; updates what is in flight
    /// to it.
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

    /// What is left of a transfer; `None` if all of it has arrived or the rest counts as lost.
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

    /// How long the slowest link takes.
    fn transfer_time(&self, bytes: usize) -> Span {
        Span::from_millis((bytes as f64 / self.link_bytes_per_ms) as u64)
    }

    /// One missing change, or all of them in one message so that they cannot be reordered.
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
