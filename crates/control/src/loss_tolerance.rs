//! How many live in-sync replicas a partition needs before it goes on without the lost ones.
//!
//! The fault model allows the loss of `tolerated_losses` machines at once. Losses may overlap beyond that as long as
//! no more than `tolerated_losses` disks are lost: service may rest then, but nothing acknowledged may be lost. A
//! partition therefore goes on without a lost replica only while at least [`min_live_replicas`] others are live. With
//! enough machines this is the required number of replicas, so that every acknowledged write is on
//! `tolerated_losses` + 1 disks. A tier of fewer machines could not serve at all after a tolerated loss; there, fewer
//! replicas must do.

use std::collections::BTreeSet;

use juniperwing_protocol::subscription::StoreNode;
use juniperwing_protocol::{DiskId, NodeName};

use crate::state::ControlState;
use crate::tracker::StoreView;

/// The fewest live in-sync replicas with which a partition goes on without its lost replicas, in a tier of this number
/// of store machines. At least 1.
pub(crate) fn min_live_replicas(machines: usize, required_replicas: usize) -> usize {
    let tolerated_losses = required_replicas.saturating_sub(1);
    machines.saturating_sub(tolerated_losses).min(required_replicas).max(1)
}

/// The store machines in service, whether live or lost: all but those whose retirement is completed, and lost ones that
/// a new machine has succeeded.
pub(crate) fn machines_in_service<'input>(
    state: &'input ControlState, view: &'input StoreView,
) -> BTreeSet<&'input NodeName> {
    let known = state.store_map.stores.iter().chain(view.alive.values());
    let in_service =
        known.filter(|store| !state.is_retired(store.disk) && !view.succeeded.contains(&store.disk));
    in_service.map(|store| &store.node).collect()
}

/// The long-lost stores that a map must go on listing, so that the machines in service are still counted by keepers
/// that have seen nothing else: all without which [`min_live_replicas`] would be lower.
pub(crate) fn long_lost_stores_to_list<'input>(
    machines: usize, required_replicas: usize, long_lost: impl Iterator<Item = &'input StoreNode>,
) -> BTreeSet<DiskId> {
    let min_live = min_live_replicas(machines, required_replicas);
    let mut listed_machines = machines;
    let mut to_list = BTreeSet::new();
    for store in long_lost {
        if min_live_replicas(listed_machines.saturating_sub(1), required_replicas) == min_live {
            listed_machines -= 1;
        } else {
            to_list.insert(store.disk);
        }
    }
    to_list
}
