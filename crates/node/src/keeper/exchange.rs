//! What each other keeper still has to be told of instances, and what it has confirmed.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use juniperwing_protocol::registry::{Instance, Refresh};
use juniperwing_protocol::replication::Voter;
use juniperwing_protocol::{DiskId, InstanceId};

use crate::link::LinkId;

/// Batches on their way to one keeper at a time.
const MAX_IN_FLIGHT: usize = 4;

/// Counts changes of instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ChangeNumber(u64);

/// A batch to be sent to another keeper.
pub(super) struct Batch {
    pub(super) to: Voter,
    pub(super) first: ChangeNumber,
    pub(super) changed: Vec<Instance>,
    pub(super) refreshed: Vec<Refresh>,
}

#[derive(Default)]
struct Counterpart {
    changed: BTreeMap<InstanceId, Instance>,
    refreshed: HashMap<InstanceId, u64>,
    pending: Option<ChangeNumber>,
    in_flight: BTreeSet<ChangeNumber>,
    /// Whether it must be told all instances.
    needs_whole: bool,
    is_reachable: bool,
    link: Option<LinkId>,
}

/// What all other keepers have to be told.
#[derive(Default)]
pub(super) struct Exchange {
    newest: ChangeNumber,
    counterparts: BTreeMap<DiskId, (Voter, Counterpart)>,
}

impl Exchange {
    /// Goes by these keepers from now on; a new one is told everything.
    pub(super) fn set_keepers(&mut self, others: &[Voter]) {
        self.counterparts.retain(|_, (voter, _)| others.contains(voter));
        for voter in others {
            self.counterparts.entry(voter.disk).or_insert_with(|| {
                let counterpart = Counterpart { needs_whole: true, ..Counterpart::default() };
                (voter.clone(), counterpart)
            });
        }
    }

    /// The number of the newest change.
    pub(super) fn newest(&self) -> ChangeNumber {
        self.newest
    }

    /// Changes that all others have to be told.
    pub(super) fn note_changed(&mut self, instances: &[Instance]) -> ChangeNumber {
        if instances.is_empty() {
            return self.newest;
        }
        self.newest.0 += 1;
        for (_, counterpart) in self.counterparts.values_mut() {
            counterpart.pending.get_or_insert(self.newest);
            for instance in instances {
                counterpart.refreshed.remove(&instance.id);
                counterpart.changed.insert(instance.id.clone(), instance.clone());
            }
        }
        self.newest
    }

    /// An instance was heard of again.
    pub(super) fn note_refreshed(&mut self, refresh: &Refresh) {
        for (_, counterpart) in self.counterparts.values_mut() {
            counterpart.refreshed.insert(refresh.id.clone(), refresh.sequence);
        }
    }

    /// Batches to be sent now: changes at once, all else only where `regular`.
    pub(super) fn batches<'registry>(
        &mut self, regular: bool, instances: impl Fn() -> Vec<&'registry Instance>,
    ) -> Vec<Batch> {
        let newest = self.newest;
        let mut batches = Vec::new();
        for (voter, counterpart) in self.counterparts.values_mut() {
            if !counterpart.is_due(regular) {
                continue;
            }
            if std::mem::take(&mut counterpart.needs_whole) {
                counterpart.refreshed.clear();
                let whole = instances().into_iter();
                counterpart.changed.extend(whole.map(|instance| (instance.id.clone(), instance.clone())));
            }
            let first = counterpart.pending.take().unwrap_or(ChangeNumber(newest.0 + 1));
            counterpart.in_flight.insert(first);
            let refreshed = std::mem::take(&mut counterpart.refreshed).into_iter();
            batches.push(Batch {
                to: voter.clone(),
                first,
                changed: std::mem::take(&mut counterpart.changed).into_values().collect(),
                refreshed: refreshed.map(|(id, sequence)| Refresh { id, sequence }).collect(),
            });
        }
        batches
    }

    /// A batch was answered over this link. A link not seen before may lead to a keeper that has started again
    /// and knows nothing.
    pub(super) fn answered(&mut self, disk: DiskId, first: ChangeNumber, link: LinkId) {
        let Some((_, counterpart)) = self.counterparts.get_mut(&disk) else { return };
        counterpart.in_flight.remove(&first);
        counterpart.is_reachable = true;
        if counterpart.link.replace(link).is_some_and(|before| before != link) {
            counterpart.needs_whole = true;
        }
    }

    /// A batch was not answered: all it said has to be said again.
    pub(super) fn failed(&mut self, disk: DiskId, first: ChangeNumber) {
        let Some((_, counterpart)) = self.counterparts.get_mut(&disk) else { return };
        counterpart.in_flight.remove(&first);
        counterpart.is_reachable = false;
        counterpart.needs_whole = true;
    }

    /// Whether every keeper that can be reached has confirmed all changes up to `number`.
    pub(super) fn have_confirmed(&self, number: ChangeNumber) -> bool {
        let counterparts = self.counterparts.values().map(|(_, counterpart)| counterpart);
        counterparts.filter(|counterpart| counterpart.is_reachable).all(|counterpart| {
            let awaits = |waiting: &ChangeNumber| *waiting <= number;
            !counterpart.pending.as_ref().is_some_and(awaits)
                && !counterpart.in_flight.first().is_some_and(awaits)
        })
    }
}

impl Counterpart {
    fn is_due(&self, regular: bool) -> bool {
        let waits = self.needs_whole || !self.changed.is_empty() || !self.refreshed.is_empty();
        if !self.is_reachable {
            return regular && waits && self.in_flight.is_empty();
        }
        self.in_flight.len() < MAX_IN_FLIGHT && (!self.changed.is_empty() || (regular && waits))
    }
}
