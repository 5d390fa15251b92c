//! What each other keeper still has to be told of instances, and what it has confirmed.

use std::collections::BTreeMap;

use juniperwing_protocol::registry::{Instance, Refresh};
use juniperwing_protocol::replication::Voter;
use juniperwing_protocol::{DiskId, InstanceId};

/// Batches on their way to one keeper at a time.
const MAX_IN_FLIGHT: usize = 4;

/// Counts changes of instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangeNumber(u64);

/// Names a batch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchNumber(u64);

/// A batch to be sent to another keeper.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Who is to be told.
    pub to: Voter,
    /// Names it.
    pub number: BatchNumber,
    /// Instances that are new or have changed.
    pub changed: Vec<Instance>,
    /// Instances heard of again.
    pub refreshed: Vec<Refresh>,
    /// Whether the answer has to say that the relays there have applied all that was told.
    pub needs_confirmation: bool,
}

#[derive(Clone, Debug)]
struct PeerProgress<Connection> {
    voter: Voter,
    changed: BTreeMap<InstanceId, Instance>,
    refreshed: BTreeMap<InstanceId, u64>,
    /// The first change that it has not confirmed and that no batch on its way to it asks about.
    first_unconfirmed: Option<ChangeNumber>,
    /// Batches without an answer yet, each with the first change in it, if there is one.
    in_flight: BTreeMap<BatchNumber, Option<ChangeNumber>>,
    /// Whether it must be told all instances.
    needs_snapshot: bool,
    /// Whether it answered the last batch; assumed until one fails.
    is_reachable: bool,
    connection: Option<Connection>,
}

/// What all other keepers have to be told. `Connection` tells apart the connections over which they answer.
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
    /// Goes by these keepers from now on; a new one is told everything.
    pub fn set_peers(&mut self, others: &[Voter]) {
        self.peers.retain(|_, counterpart| others.contains(&counterpart.voter));
        for voter in others {
            let known = self.peers.entry(voter.disk);
            known.or_insert_with(|| PeerProgress::new(voter.clone()));
        }
    }

    /// The number of the newest change.
    pub fn newest_change(&self) -> ChangeNumber {
        self.newest_change
    }

    /// Changes that all others have to be told.
    pub fn record_changes(&mut self, instances: &[Instance]) -> ChangeNumber {
        if instances.is_empty() {
            return self.newest_change;
        }
        self.newest_change.0 += 1;
        for counterpart in self.peers.values_mut() {
            counterpart.first_unconfirmed.get_or_insert(self.newest_change);
            for instance in instances {
                counterpart.refreshed.remove(&instance.id);
                counterpart.changed.insert(instance.id.clone(), instance.clone());
            }
        }
        self.newest_change
    }

    /// An instance was heard of again.
    pub fn record_refresh(&mut self, refresh: &Refresh) {
        for counterpart in self.peers.values_mut() {
            counterpart.refreshed.insert(refresh.id.clone(), refresh.sequence);
        }
    }

    /// Batches to be sent now: changes at once, all else only where `regular`.
    pub fn next_batches<'registry>(
        &mut self, regular: bool, instances: impl Fn() -> Vec<&'registry Instance>,
    ) -> Vec<Batch> {
        let mut batches = Vec::new();
        for counterpart in self.peers.values_mut() {
            if !counterpart.is_due(regular) {
                continue;
            }
            if std::mem::take(&mut counterpart.needs_snapshot) {
                counterpart.refreshed.clear();
                let whole = instances().into_iter();
                counterpart.changed.extend(whole.map(|instance| (instance.id.clone(), instance.clone())));
            }
            self.newest_batch.0 += 1;
            let number = self.newest_batch;
            let confirm = counterpart.first_unconfirmed.is_some();
            counterpart.in_flight.insert(number, counterpart.first_unconfirmed.take());
            let refreshed = std::mem::take(&mut counterpart.refreshed).into_iter();
            batches.push(Batch {
                to: counterpart.voter.clone(),
                number,
                changed: std::mem::take(&mut counterpart.changed).into_values().collect(),
                refreshed: refreshed.map(|(id, sequence)| Refresh { id, sequence }).collect(),
                needs_confirmation: confirm,
            });
        }
        batches
    }

    /// A batch was answered over this connection, and the relays there have applied what was told. A connection
    /// not seen before may lead to a keeper that has started again and knows nothing: what it confirmed is void.
    pub fn handle_reply(&mut self, disk: DiskId, number: BatchNumber, connection: Connection) {
        let Some(counterpart) = self.peers.get_mut(&disk) else { return };
        counterpart.in_flight.remove(&number);
        counterpart.is_reachable = true;
        if counterpart.connection.replace(connection).is_some_and(|before| before != connection) {
            counterpart.needs_snapshot = true;
            counterpart.first_unconfirmed = Some(ChangeNumber::default());
        }
    }

    /// A batch was answered over this connection, but some relay there has not applied what was told. It need
    /// not be told again; whether it is applied is asked again with the next regular batch.
    pub fn handle_not_applied(&mut self, disk: DiskId, number: BatchNumber, connection: Connection) {
        let Some(counterpart) = self.peers.get_mut(&disk) else { return };
        let unconfirmed = counterpart.in_flight.get(&number).copied().flatten();
        self.handle_reply(disk, number, connection);
        let Some(counterpart) = self.peers.get_mut(&disk) else { return };
        counterpart.first_unconfirmed =
            [counterpart.first_unconfirmed, unconfirmed].into_iter().flatten().min();
    }

    /// A batch was not answered: all it said has to be said again.
    pub fn handle_failure(&mut self, disk: DiskId, number: BatchNumber) {
        let Some(counterpart) = self.peers.get_mut(&disk) else { return };
        let unconfirmed = counterpart.in_flight.remove(&number).flatten();
        counterpart.first_unconfirmed =
            [counterpart.first_unconfirmed, unconfirmed].into_iter().flatten().min();
        counterpart.is_reachable = false;
        counterpart.needs_snapshot = true;
    }

    /// Whether every keeper that can be reached has confirmed all changes up to `number`. Besides those that
    /// answer, those count that were heard of a short while ago.
    pub fn is_confirmed_by_reachable_peers(
        &self, number: ChangeNumber, is_heard: impl Fn(DiskId) -> bool,
    ) -> bool {
        self.peers
            .values()
            .filter(|counterpart| counterpart.is_reachable || is_heard(counterpart.voter.disk))
            .all(|counterpart| counterpart.has_confirmed(number))
    }

    /// The keepers that have confirmed all changes up to `number`.
    pub fn confirmed_peers(&self, number: ChangeNumber) -> impl Iterator<Item = DiskId> {
        let confirmed = self.peers.values().filter(move |known| known.has_confirmed(number));
        confirmed.map(|counterpart| counterpart.voter.disk)
    }
}

impl<Connection> PeerProgress<Connection> {
    fn new(voter: Voter) -> Self {
        PeerProgress {
            voter,
            changed: BTreeMap::new(),
            refreshed: BTreeMap::new(),
            // It has confirmed nothing, not even what was noted before it came.
            first_unconfirmed: Some(ChangeNumber::default()),
            in_flight: BTreeMap::new(),
            needs_snapshot: true,
            is_reachable: true,
            connection: None,
        }
    }

    fn has_confirmed(&self, number: ChangeNumber) -> bool {
        let waits = self.first_unconfirmed.is_some_and(|pending| pending <= number);
        let unanswered = self.in_flight.values().flatten().any(|first| *first <= number);
        !waits && !unanswered
    }

    fn is_due(&self, regular: bool) -> bool {
        let has_news = self.needs_snapshot || !self.changed.is_empty() || !self.refreshed.is_empty();
        let waits = has_news || self.first_unconfirmed.is_some();
        if !self.is_reachable {
            return regular && waits && self.in_flight.is_empty();
        }
        self.in_flight.len() < MAX_IN_FLIGHT && (!self.changed.is_empty() || (regular && waits))
    }
}
