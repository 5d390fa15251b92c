//! Replication of instances between keepers: what each peer still has to receive, and what it has confirmed.

use std::collections::BTreeMap;

use juniperwing_protocol::registry::{Instance, Refresh};
use juniperwing_protocol::replication::Voter;
use juniperwing_protocol::{DiskId, InstanceId};

/// Maximum number of batches in flight to one peer.
const MAX_IN_FLIGHT: usize = 4;

/// Number of a change of instances; increases with every change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangeNumber(u64);

/// Number of a batch; unique within an [`Exchange`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchNumber(u64);

/// Instances to be sent to a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The peer.
    pub to: Voter,
    /// Identifies the batch in the peer's reply.
    pub number: BatchNumber,
    /// Instances that are new or have changed.
    pub changed: Vec<Instance>,
    /// Instances that sent another heartbeat but are otherwise unchanged.
    pub refreshed: Vec<Refresh>,
    /// Whether the reply must confirm that the peer's relays have applied everything sent to it.
    pub needs_confirmation: bool,
}

#[derive(Clone, Debug)]
struct PeerProgress<Connection> {
    voter: Voter,
    changed: BTreeMap<InstanceId, Instance>,
    refreshed: BTreeMap<InstanceId, u64>,
    /// The first change that the peer has not confirmed and whose confirmation no batch in flight requests.
    first_unconfirmed: Option<ChangeNumber>,
    /// Batches without a reply, each with the first change that its reply confirms, if any.
    in_flight: BTreeMap<BatchNumber, Option<ChangeNumber>>,
    /// Whether the next batch must contain all instances.
    needs_snapshot: bool,
    /// Whether the last batch was replied to; `true` before the first reply or failure.
    is_reachable: bool,
    connection: Option<Connection>,
}

/// Progress of replication to all peers. `Connection` identifies the connection over which a peer replies.
#[derive(Clone, Debug)]
pub struct Exchange<Connection> {
    newest_change: ChangeNumber,
    newest_batch: BatchNumber,
    peers: BTreeMap<DiskId, PeerProgress<Connection>>,
}

impl<Connection> Default for Exchange<Connection> {
    fn default() -> Self {
        Exchange {
            newest_change: ChangeNumber::default(),
            newest_batch: BatchNumber::default(),
            peers: BTreeMap::new(),
        }
    }
}

impl<Connection: Copy + PartialEq> Exchange<Connection> {
    /// Replaces the set of peers; a new peer is sent a snapshot.
    pub fn set_peers(&mut self, others: &[Voter]) {
        self.peers.retain(|_, peer| others.contains(&peer.voter));
        for voter in others {
            let entry = self.peers.entry(voter.disk);
            entry.or_insert_with(|| PeerProgress::new(voter.clone()));
        }
    }

    /// The number of the newest change.
    pub fn newest_change(&self) -> ChangeNumber {
        self.newest_change
    }

    /// Queues changed instances for all peers and returns the number of the change.
    pub fn record_changes(&mut self, instances: &[Instance]) -> ChangeNumber {
        if instances.is_empty() {
            return self.newest_change;
        }
        self.newest_change.0 += 1;
        for peer in self.peers.values_mut() {
            peer.first_unconfirmed.get_or_insert(self.newest_change);
            for instance in instances {
                peer.refreshed.remove(&instance.id);
                peer.changed.insert(instance.id.clone(), instance.clone());
            }
        }
        self.newest_change
    }

    /// Queues a heartbeat that changed nothing else for all peers.
    pub fn record_refresh(&mut self, refresh: &Refresh) {
        for peer in self.peers.values_mut() {
            peer.refreshed.insert(refresh.id.clone(), refresh.sequence);
        }
    }

    /// Batches to send now: changes at once, all else only if `is_periodic`, that is when the periodic batch is due.
    ///
    /// `instances` returns all instances; it is called for a peer that needs a snapshot.
    pub fn next_batches<'registry>(
        &mut self, is_periodic: bool, instances: impl Fn() -> Vec<&'registry Instance>,
    ) -> Vec<Batch> {
        let mut batches = Vec::new();
        for peer in self.peers.values_mut() {
            if !peer.is_due(is_periodic) {
                continue;
            }
            if std::mem::take(&mut peer.needs_snapshot) {
                peer.refreshed.clear();
                let snapshot = instances().into_iter();
                peer.changed.extend(snapshot.map(|instance| (instance.id.clone(), instance.clone())));
            }
            self.newest_batch.0 += 1;
            let number = self.newest_batch;
            let needs_confirmation = peer.first_unconfirmed.is_some();
            peer.in_flight.insert(number, peer.first_unconfirmed.take());
            let refreshed = std::mem::take(&mut peer.refreshed).into_iter();
            batches.push(Batch {
                to: peer.voter.clone(),
                number,
                changed: std::mem::take(&mut peer.changed).into_values().collect(),
                refreshed: refreshed.map(|(id, sequence)| Refresh { id, sequence }).collect(),
                needs_confirmation,
            });
        }
        batches
    }

    /// Handles a reply which says that the peer's relays have applied everything sent so far.
    ///
    /// Another connection than before may lead to a restarted keeper without any state, so earlier confirmations of
    /// the peer no longer count and it is sent a snapshot.
    pub fn handle_reply(&mut self, disk: DiskId, number: BatchNumber, connection: Connection) {
        let Some(peer) = self.peers.get_mut(&disk) else { return };
        peer.in_flight.remove(&number);
        peer.is_reachable = true;
        if peer.connection.replace(connection).is_some_and(|previous| previous != connection) {
            peer.needs_snapshot = true;
            peer.first_unconfirmed = Some(ChangeNumber::default());
        }
    }

    /// Handles a reply which says that some relay of the peer has not applied everything yet.
    ///
    /// No instance is sent again; the next periodic batch requests confirmation again.
    pub fn handle_not_applied(&mut self, disk: DiskId, number: BatchNumber, connection: Connection) {
        let Some(peer) = self.peers.get_mut(&disk) else { return };
        let unconfirmed = peer.in_flight.get(&number).copied().flatten();
        self.handle_reply(disk, number, connection);
        let Some(peer) = self.peers.get_mut(&disk) else { return };
        peer.require_confirmation_from(unconfirmed);
    }

    /// Handles the loss of a batch or of its reply: the peer is sent a snapshot.
    pub fn handle_failure(&mut self, disk: DiskId, number: BatchNumber) {
        let Some(peer) = self.peers.get_mut(&disk) else { return };
        let unconfirmed = peer.in_flight.remove(&number).flatten();
        peer.require_confirmation_from(unconfirmed);
        peer.is_reachable = false;
        peer.needs_snapshot = true;
    }

    /// Whether every reachable peer has confirmed all changes up to `number`.
    ///
    /// A peer counts as reachable if it replied to the last batch or if `has_recent_message` holds for it.
    pub fn is_confirmed_by_reachable_peers(
        &self, number: ChangeNumber, has_recent_message: impl Fn(DiskId) -> bool,
    ) -> bool {
        self.peers
            .values()
            .filter(|peer| peer.is_reachable || has_recent_message(peer.voter.disk))
            .all(|peer| peer.has_confirmed(number))
    }

    /// The peers that have confirmed all changes up to `number`.
    pub fn confirmed_peers(&self, number: ChangeNumber) -> impl Iterator<Item = DiskId> {
        let confirmed = self.peers.values().filter(move |peer| peer.has_confirmed(number));
        confirmed.map(|peer| peer.voter.disk)
    }
}

impl<Connection> PeerProgress<Connection> {
    fn new(voter: Voter) -> Self {
        PeerProgress {
            voter,
            changed: BTreeMap::new(),
            refreshed: BTreeMap::new(),
            // It has confirmed nothing, not even the changes recorded before it became a peer.
            first_unconfirmed: Some(ChangeNumber::default()),
            in_flight: BTreeMap::new(),
            needs_snapshot: true,
            is_reachable: true,
            connection: None,
        }
    }

    /// Requests confirmation of the changes from `first` on again.
    fn require_confirmation_from(&mut self, first: Option<ChangeNumber>) {
        self.first_unconfirmed = [self.first_unconfirmed, first].into_iter().flatten().min();
    }

    fn has_confirmed(&self, number: ChangeNumber) -> bool {
        let is_unrequested = self.first_unconfirmed.is_some_and(|first| first <= number);
        let is_in_flight = self.in_flight.values().flatten().any(|first| *first <= number);
        !is_unrequested && !is_in_flight
    }

    fn is_due(&self, is_periodic: bool) -> bool {
        let has_updates = self.needs_snapshot || !self.changed.is_empty() || !self.refreshed.is_empty();
        let is_waiting = has_updates || self.first_unconfirmed.is_some();
        if !self.is_reachable {
            return is_periodic && is_waiting && self.in_flight.is_empty();
        }
        self.in_flight.len() < MAX_IN_FLIGHT && (!self.changed.is_empty() || (is_periodic && is_waiting))
    }
}
