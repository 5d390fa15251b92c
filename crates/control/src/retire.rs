//! Decides whether a store machine may be retired, and tracks retirements.

use juniperwing_protocol::subscription::StoreNode;
use juniperwing_protocol::{DiskId, NodeName};

use crate::state::{ControlChange, ControlState, Retirement, RetirementState};
use crate::tracker::StoreView;

/// The decision on an order to retire a store machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetireDecision {
    /// The retirement is active or completed.
    AlreadyAccepted,
    /// Propose this change.
    Accept(ControlChange),
    /// This keeper has not received reports for long enough to reject the order.
    StoresUncertain,
    /// No store machine has this name.
    UnknownMachine,
    /// Too few other machines would remain.
    TooFewRemaining {
        /// The number of other machines that may hold replicas.
        others: usize,
    },
}

/// Decides whether the store machine `node` may be retired.
pub fn decide_retire(
    state: &ControlState, view: &StoreView, node: &NodeName, required_replicas: usize,
) -> RetireDecision {
    let newest_store = known_stores(state, view).into_iter().rfind(|store| store.node == *node);
    let Some(store) = newest_store else {
        return match newest_retirement(state, node) {
            Some(_) => RetireDecision::AlreadyAccepted,
            None if view.is_past_grace_period => RetireDecision::UnknownMachine,
            None => RetireDecision::StoresUncertain,
        };
    };
    if state.is_retiring(store.disk) || has_active_retirement(state, node) {
        return RetireDecision::AlreadyAccepted;
    }
    let others = remaining_machines(state, view, node);
    if others >= required_replicas {
        RetireDecision::Accept(ControlChange::BeginRetirement(store.clone()))
    } else if view.is_past_grace_period {
        RetireDecision::TooFewRemaining { others }
    } else {
        RetireDecision::StoresUncertain
    }
}

/// The state of a machine's retirement; `None` if no retirement was ordered, or only that of an earlier
/// machine with the same name.
pub fn retirement_state(state: &ControlState, view: &StoreView, node: &NodeName) -> Option<RetirementState> {
    let newest = newest_retirement(state, node)?;
    let is_unretired = |store: &&StoreNode| store.node == *node && !state.is_retiring(store.disk);
    let is_new_machine =
        newest.state == RetirementState::Completed && view.alive.values().any(|s| is_unretired(&s));
    (!is_new_machine).then_some(newest.state)
}

/// Extends an active retirement to the machine's new disk, if it has returned with one. The new disk must not
/// be assigned replicas either.
pub fn extend_retirement_to_new_disk(state: &ControlState, view: &StoreView) -> Option<ControlChange> {
    let needs_retirement =
        |store: &&StoreNode| !state.is_retiring(store.disk) && has_active_retirement(state, &store.node);
    let store = view.alive.values().find(needs_retirement)?;
    Some(ControlChange::BeginRetirement(store.clone()))
}

fn newest_retirement<'state>(state: &'state ControlState, node: &NodeName) -> Option<&'state Retirement> {
    state.retirements.iter().rfind(|retirement| retirement.store.node == *node)
}

fn has_active_retirement(state: &ControlState, node: &NodeName) -> bool {
    newest_retirement(state, node).is_some_and(|newest| newest.state == RetirementState::Active)
}

/// Stores whose retirement is active and can be completed: they hold no replica any more, and every partition
/// has enough other replicas.
pub fn completed_retirements(state: &ControlState, required_replicas: usize) -> Vec<DiskId> {
    let partitions = &state.store_map.partitions;
    let has_enough_others = |disk: DiskId| {
        partitions.iter().all(|assignment| {
            let others = assignment.in_sync.iter().filter(|replica| **replica != disk).count();
            others >= required_replicas
        })
    };
    let holds_replica = |disk: DiskId| {
        partitions
            .iter()
            .any(|assignment| assignment.in_sync.contains(&disk) || assignment.joining.contains(&disk))
    };
    let active = state
        .retirements
        .iter()
        .filter(|retirement: &&Retirement| retirement.state == RetirementState::Active);
    active
        .map(|retirement| retirement.store.disk)
        .filter(|disk| !holds_replica(*disk) && has_enough_others(*disk))
        .collect()
}

/// All known stores: those of the store map, followed by the live ones.
fn known_stores<'state>(state: &'state ControlState, view: &'state StoreView) -> Vec<&'state StoreNode> {
    state.store_map.stores.iter().chain(view.alive.values()).collect()
}

/// The number of other store machines that may hold replicas.
fn remaining_machines(state: &ControlState, view: &StoreView, node: &NodeName) -> usize {
    let mut others: Vec<&NodeName> = known_stores(state, view)
        .into_iter()
        .filter(|store| store.node != *node && !state.is_retiring(store.disk))
        .filter(|store| view.alive.contains_key(&store.disk) || !view.replaceable.contains(&store.disk))
        .map(|store| &store.node)
        .collect();
    others.sort();
    others.dedup();
    others.len()
}
