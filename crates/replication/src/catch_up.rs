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
const MAX_CHANGES: usize = 256;

/// Changes and snapshots on their way to one replica may be so many times as large as the state...
const STATES_ON_THE_WAY: usize = 2;
/// ... and this many bytes larger.
const BYTES_ON_THE_WAY: usize = 64 << 10;

/// A change that this primary made.
#[derive(Clone, Debug)]
pub(crate) struct Made {
    pub(crate) base: Version,
    pub(crate) version: Version,
    /// The change, encoded.
    pub(crate) change: Vec<u8>,
}

impl Made {
    fn numbered(&self) -> NumberedChange {
        NumberedChange { version: self.version, change: self.change.clone() }
    }
}

/// The newest changes in a row, together no larger than the state: past that, a snapshot is less.
#[derive(Clone, Debug, Default)]
pub(crate) struct Changes {
    made: VecDeque<Made>,
    bytes: usize,
}

impl Changes {
    /// Adds a change; the oldest give way, but the newest always stays.
    pub(crate) fn push(&mut self, made: Made, state_bytes: usize) {
        self.bytes += made.change.len();
        self.made.push_back(made);
        while self.made.len() > 1 && (self.made.len() > MAX_CHANGES || self.bytes > state_bytes) {
            if let Some(oldest) = self.made.pop_front() {
                self.bytes -= oldest.change.len();
            }
        }
    }

    /// The changes that lead from `base` to the newest version; `None` if they are not all there.
    fn since(&self, base: Version) -> Option<impl Iterator<Item = &Made>> {
        let first = self.made.iter().position(|made| made.base == base)?;
        Some(self.made.iter().skip(first))
    }
}

/// What is on its way to a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shipment {
    /// What the replica held when it last made progress.
    held: Version,
    /// What it will hold.
    version: Version,
    /// Bytes that it has not confirmed.
    bytes: usize,
    /// When it counts as lost.
    until: Time,
}

/// What is known when it is decided what to send.
struct Sender<'a> {
    now: Time,
    epoch: EpochNumber,
    latest: Version,
    state: &'a [u8],
    changes: &'a Changes,
    resend: Span,
    bytes_per_ms: f64,
}

impl Sender<'_> {
    /// What a replica that holds `held` is to be sent now.
    fn send_to(&self, peer: &mut Peer, held: Version) -> Option<ReplicationBody> {
        peer.sent = peer.sent.and_then(|sent| self.on_the_way(sent, held));
        let base = peer.sent.map_or(held, |sent| sent.version);
        if base == self.latest {
            return None;
        }
        let body = match self.changes.since(base) {
            Some(changes) => self.write(base, changes),
            None if peer.sent.is_none() => self.snapshot(),
            // A newer snapshot goes out when the one on its way has come.
            None => return None,
        };
        let bytes = payload_bytes(&body);
        let on_the_way = bytes + peer.sent.map_or(0, |sent| sent.bytes);
        if peer.sent.is_some() && on_the_way > STATES_ON_THE_WAY * self.state.len() + BYTES_ON_THE_WAY {
            return None;
        }
        let until = peer.sent.map_or(self.now + self.resend, |sent| sent.until) + self.time_for(bytes);
        peer.sent = Some(Shipment { held, version: self.latest, bytes: on_the_way, until });
        Some(body)
    }

    /// What is left of a shipment; `None` if all has come, or the rest counts as lost.
    fn on_the_way(&self, mut sent: Shipment, held: Version) -> Option<Shipment> {
        if held != sent.held {
            sent.held = held;
            let left = self.changes.since(held);
            let left = left.map(|changes| changes.take_while(|made| made.base != sent.version));
            sent.bytes = left.map_or(sent.bytes, |left| left.map(|made| made.change.len()).sum());
            sent.until = self.now + self.resend + self.time_for(sent.bytes);
        }
        Some(sent).filter(|sent| sent.version != held && self.now < sent.until)
    }

    /// How long the slowest link takes.
    fn time_for(&self, bytes: usize) -> Span {
        Span::from_millis((bytes as f64 / self.bytes_per_ms) as u64)
    }

    /// The one change that is lacking, or all of them in one message, lest they come in another order.
    fn write<'m>(&self, base: Version, changes: impl Iterator<Item = &'m Made>) -> ReplicationBody {
        let epoch = self.epoch;
        let mut changes: Vec<NumberedChange> = changes.map(Made::numbered).collect();
        match changes.len() {
            1 => {
                let NumberedChange { version, change } = changes.remove(0);
                ReplicationBody::Write { epoch, base, version, change }
            }
            _ => ReplicationBody::Changes { epoch, base, changes },
        }
    }

    fn snapshot(&self) -> ReplicationBody {
        ReplicationBody::Snapshot { epoch: self.epoch, version: self.latest, state: self.state.to_vec() }
    }
}

fn payload_bytes(body: &ReplicationBody) -> usize {
    match body {
        ReplicationBody::Write { change, .. } => change.len(),
        ReplicationBody::Changes { changes, .. } => changes.iter().map(|made| made.change.len()).sum(),
        ReplicationBody::Snapshot { state, .. } => state.len(),
        _ => 0,
    }
}

impl<S: ReplicatedState> Replica<S> {
    /// Sends each keeper that lacks the latest version the changes, or the whole state.
    pub(crate) fn catch_up(&mut self, now: Time) {
        let timings = self.settings.timings;
        let latest = self.latest.version;
        let Some(office) = &mut self.office else { return };
        let sender = Sender {
            now,
            epoch: self.ballot.accepted.number,
            latest,
            state: &self.latest.encoded,
            changes: &office.changes,
            resend: timings.ack_timeout.mul_f64(0.5),
            bytes_per_ms: timings.min_link_bytes_per_ms,
        };
        let mut sends = Vec::new();
        for peer in office.peers.values_mut() {
            let Some(held) = peer.held else { continue };
            if held == latest {
                peer.behind_since = None;
                peer.lags_since = None;
                continue;
            }
            peer.behind_since.get_or_insert(now);
            if !self.ballot.accepted.in_sync.contains(&peer.voter.disk) {
                peer.lags_since.get_or_insert(now);
            }
            let is_gone = now.since(peer.last_answer) > timings.ack_timeout;
            if !is_gone {
                let body = sender.send_to(peer, held);
                sends.extend(body.map(|body| (peer.voter.address, body)));
            }
        }
        sends.into_iter().for_each(|(to, body)| self.send(to, body));
    }
}
