//! How the primary brings the others up to its version: by changes where they can be chained to what a replica
//! holds, else by the whole state.
//!
//! What is on its way to a replica is not sent again until it must have come, however large it is; changes made
//! meanwhile are sent behind it. So a replica that lags is not outrun by changes that come faster than a
//! snapshot is carried, and no more than a bounded number of bytes is on its way to it.

use std::collections::VecDeque;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::{NumberedChange, ReplicationBody, Version};

use crate::leadership::Peer;
use crate::replica::Replica;
use crate::state::ReplicatedState;

/// The most changes that are kept for replicas that lag.
const MAX_RETAINED_CHANGES: usize = 256;

/// Changes and snapshots on their way to one replica may be so many times as large as the state...
const MAX_STATES_IN_FLIGHT: usize = 2;
/// ... and this many bytes larger.
const MAX_BYTES_IN_FLIGHT: usize = 64 << 10;

/// A change that this primary made.
#[derive(Clone, Debug)]
pub(crate) struct RetainedChange {
    pub(crate) base: Version,
    pub(crate) version: Version,
    /// The change, encoded.
    pub(crate) change: Vec<u8>,
}

impl RetainedChange {
    fn to_numbered_change(&self) -> NumberedChange {
        NumberedChange { version: self.version, change: self.change.clone() }
    }
}

/// The newest changes in a row, together no larger than the state: past that, a snapshot is less.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentChanges {
    entries: VecDeque<RetainedChange>,
    total_bytes: usize,
}

impl RecentChanges {
    /// Adds a change; the oldest give way, but the newest always stays.
    pub(crate) fn push(&mut self, entry: RetainedChange, state_bytes: usize) {
        self.total_bytes += entry.change.len();
        self.entries.push_back(entry);
        while self.entries.len() > 1
            && (self.entries.len() > MAX_RETAINED_CHANGES || self.total_bytes > state_bytes)
        {
            if let Some(oldest) = self.entries.pop_front() {
                self.total_bytes -= oldest.change.len();
            }
        }
    }

    /// The changes that lead from `base` to the newest version; `None` if they are not all there.
    fn since(&self, base: Version) -> Option<impl Iterator<Item = &RetainedChange>> {
        let first = self.entries.iter().position(|entry| entry.base == base)?;
        Some(self.entries.iter().skip(first))
    }
}

/// What is on its way to a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateTransfer {
    /// What the replica held when it last made progress.
    acknowledged: Version,
    /// What it will hold.
    target: Version,
    /// Bytes that it has not confirmed.
    bytes_in_flight: usize,
    /// When it counts as lost.
    lost_at: Time,
}

/// What is known when it is decided what to send.
struct TransferPlanner<'a> {
    now: Time,
    epoch: EpochNumber,
    latest: Version,
    state: &'a [u8],
    changes: &'a RecentChanges,
    resend_interval: Span,
    link_bytes_per_ms: f64,
}

impl TransferPlanner<'_> {
    /// What a replica that holds `held` is to be sent now.
    fn next_transfer(&self, peer: &mut Peer, acknowledged: Version) -> Option<ReplicationBody> {
        peer.transfer = peer.transfer.and_then(|transfer| self.remaining_transfer(transfer, acknowledged));
        let base = peer.transfer.map_or(acknowledged, |transfer| transfer.target);
        if base == self.latest {
            return None;
        }
        let body = match self.changes.since(base) {
            Some(changes) => self.changes_message(base, changes),
            None if peer.transfer.is_none() => self.snapshot_message(),
            // A newer snapshot goes out when the one on its way has come.
            None => return None,
        };
        let bytes = payload_bytes(&body);
        let bytes_in_flight = bytes + peer.transfer.map_or(0, |transfer| transfer.bytes_in_flight);
        if peer.transfer.is_some()
            && bytes_in_flight > MAX_STATES_IN_FLIGHT * self.state.len() + MAX_BYTES_IN_FLIGHT
        {
            return None;
        }
        let lost_at = peer.transfer.map_or(self.now + self.resend_interval, |transfer| transfer.lost_at)
            + self.transfer_time(bytes);
        peer.transfer = Some(StateTransfer { acknowledged, target: self.latest, bytes_in_flight, lost_at });
        Some(body)
    }

    /// What is left of a shipment; `None` if all has come, or the rest counts as lost.
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

    /// How long the slowest link takes.
    fn transfer_time(&self, bytes: usize) -> Span {
        Span::from_millis((bytes as f64 / self.link_bytes_per_ms) as u64)
    }

    /// The one change that is lacking, or all of them in one message, lest they come in another order.
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

fn payload_bytes(body: &ReplicationBody) -> usize {
    match body {
        ReplicationBody::Write { change, .. } => change.len(),
        ReplicationBody::Changes { changes, .. } => changes.iter().map(|entry| entry.change.len()).sum(),
        ReplicationBody::Snapshot { state, .. } => state.len(),
        _ => 0,
    }
}

impl<S: ReplicatedState> Replica<S> {
    /// Sends each keeper that lacks the latest version the changes, or the whole state.
    pub(crate) fn catch_up(&mut self, now: Time) {
        let timings = self.settings.timings;
        let latest = self.latest.version;
        let Some(leadership) = &mut self.leadership else { return };
        let planner = TransferPlanner {
            now,
            epoch: self.acceptor.accepted.number,
            latest,
            state: &self.latest.encoded,
            changes: &leadership.recent_changes,
            resend_interval: timings.ack_timeout.mul_f64(0.5),
            link_bytes_per_ms: timings.min_link_bytes_per_ms,
        };
        let mut messages = Vec::new();
        for peer in leadership.peers.values_mut() {
            let Some(acknowledged) = peer.durable_version else { continue };
            if acknowledged == latest {
                peer.behind_since = None;
                peer.out_of_sync_since = None;
                continue;
            }
            peer.behind_since.get_or_insert(now);
            if !self.acceptor.accepted.in_sync.contains(&peer.voter.disk) {
                peer.out_of_sync_since.get_or_insert(now);
            }
            let is_unresponsive = now.since(peer.last_reply_at) > timings.ack_timeout;
            if !is_unresponsive {
                let body = planner.next_transfer(peer, acknowledged);
                messages.extend(body.map(|body| (peer.voter.address, body)));
            }
        }
        messages.into_iter().for_each(|(to, body)| self.send(to, body));
    }
}
