//! Decides on orders to empty a store machine.

use juniperwing_protocol::subscription::StoreNode;
use juniperwing_protocol::{DiskId, NodeName};

use crate::state::{ControlChange, ControlState, Retirement, RetirementState};
use crate::tracker::StoreView;

/// What becomes of an order to empty a store machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetireDecision {
    /// It is under way, or done.
    AlreadyAccepted,
    /// This change is to be made.
    Accept(ControlChange),
    /// This keeper has not seen the stores for long enough to refuse anything.
    StoresUncertain,
    /// No store machine has that name.
    UnknownMachine,
    /// Too few others would remain.
    TooFewRemaining {
        /// How many others there are.
        others: usize,
    },
}

/// Decides whether the store machine `node` may be emptied.
pub fn decide_retire(
    state: &ControlState, view: &StoreView, node: &NodeName, required_copies: usize,
) -> RetireDecision {
    let present = known_stores(state, view).into_iter().rfind(|store| store.node == *node);
    let Some(store) = present else {
        return match newest_retirement(state, node) {
            Some(_) => RetireDecision::AlreadyAccepted,
            None if view.is_settled => RetireDecision::UnknownMachine,
            None => RetireDecision::StoresUncertain,
        };
    };
    if state.is_retiring(store.disk) || has_active_retirement(state, node) {
        return RetireDecision::AlreadyAccepted;
    }
    let others = remaining_machines(state, view, node);
    if others >= required_copies {
        RetireDecision::Accept(ControlChange::BeginRetirement(store.clone()))
    } else if view.is_settled {
        RetireDecision::TooFewRemaining { others }
    } else {
        RetireDecision::StoresUncertain
    }
}

/// How far the emptying of a machine has come; `None` if it was never asked for, or only for an earlier machine
/// of that name.
pub fn retirement_state(state: &ControlState, view: &StoreView, node: &NodeName) -> Option<RetirementState> {
    let newest = newest_retirement(state, node)?;
    let another = |store: &&StoreNode| store.node == *node && !state.is_retiring(store.disk);
    let came_anew = newest.state == RetirementState::Completed && view.alive.values().any(|s| another(&s));
    (!came_anew).then_some(newest.state)
}

/// A machine that is being emptied and has come back with another disk: that disk is to be given nothing either.
pub fn retirement_of_replaced_disk(state: &ControlState, view: &StoreView) -> Option<ControlChange> {
    let renewed =
        |store: &&StoreNode| !state.is_retiring(store.disk) && has_active_retirement(state, &store.node);
    let store = view.alive.values().find(renewed)?;
    Some(ControlChange::BeginRetirement(store.clone()))
}

fn newest_retirement<'state>(state: &'state ControlState, node: &NodeName) -> Option<&'state Retirement> {
    state.retirements.iter().rfind(|retirement| retirement.store.node == *node)
}

fn has_active_retirement(state: &ControlState, node: &NodeName) -> bool {
    newest_retirement(state, node).is_some_and(|newest| newest.state == RetirementState::Active)
}

/// Stores that hold nothing any more and whose retirement is still under way.
pub fn completed_retirements(state: &ControlState, required_copies: usize) -> Vec<DiskId> {
    let partitions = &state.store_map.partitions;
    let enough = |disk: DiskId| {
        partitions.iter().all(|assignment| {
            let copies = assignment.in_sync.iter().filter(|holder| **holder != disk).count();
            copies >= required_copies
        })
    };
    let holds = |disk: DiskId| {
        partitions
            .iter()
            .any(|assignment| assignment.in_sync.contains(&disk) || assignment.joining.contains(&disk))
    };
    let active = state
        .retirements
        .iter()
        .filter(|retirement: &&Retirement| retirement.state == RetirementState::Active);
    active.map(|retirement| retirement.store.disk).filter(|disk| !holds(*disk) && enough(*disk)).collect()
}

/// The store machines of which something is known, those alive last.
fn known_stores<'state>(state: &'state ControlState, view: &'state StoreView) -> Vec<&'state StoreNode> {
    state.store_map.stores.iter().chain(view.alive.values()).collect()
}

/// How many other store machines may hold replicas.
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
