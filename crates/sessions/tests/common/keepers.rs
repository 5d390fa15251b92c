//! The keepers as one, with the planner and the tracker that they run.

use std::sync::Arc;

use juniperwing_clock::Time;
use juniperwing_control::{
    ControlChange, ControlState, PlanInput, RetireDecision, RetirementState, StoreTracker,
    completed_retirements, decide_retire, plan_store_map, retirement_of_replaced_disk, retirement_state,
};
use juniperwing_protocol::subscription::{CaughtUp, StoreMap, StoreNode};
use juniperwing_protocol::{DiskId, NodeName};
use juniperwing_replication::ReplicatedState;

use super::node::REQUIRED;

/// The keeper that reports.
const KEEPER: DiskId = DiskId(1_000_000);

pub struct Keepers {
    state: ControlState,
    tracker: StoreTracker,
}

impl Keepers {
    pub fn new(now: Time) -> Self {
        Keepers { state: ControlState::default(), tracker: StoreTracker::new(now) }
    }

    /// Looks at the stores that are there; returns the map if another one comes into force.
    pub fn look(
        &mut self, now: Time, present: Vec<StoreNode>, caught_up: &[CaughtUp],
    ) -> Option<Arc<StoreMap>> {
        self.tracker.record_report(now, KEEPER, present);
        let view = self.tracker.tick(now, &self.state.store_map.stores);
        if let Some(renewed) = retirement_of_replaced_disk(&self.state, &view) {
            self.state.apply(&renewed);
        }
        let input = PlanInput {
            state: &self.state,
            view: &view,
            caught_up_reports: caught_up,
            required_replicas: REQUIRED,
        };
        if let Some(map) = plan_store_map(input) {
            self.state.apply(&ControlChange::SetStoreMap(Arc::clone(&map)));
            return Some(map);
        }
        for disk in completed_retirements(&self.state, REQUIRED) {
            self.state.apply(&ControlChange::CompleteRetirement(disk));
        }
        None
    }

    /// The operator orders a machine to be emptied; whether the order is taken.
    pub fn retire(&mut self, now: Time, node: &NodeName) -> bool {
        let view = self.tracker.tick(now, &self.state.store_map.stores);
        match decide_retire(&self.state, &view, node, REQUIRED) {
            RetireDecision::Accept(change) => self.state.apply(&change),
            RetireDecision::AlreadyAccepted => {}
            _ => return false,
        }
        true
    }

    /// Whether a machine may be taken away with its disk.
    pub fn is_emptied(&mut self, now: Time, node: &NodeName) -> bool {
        let view = self.tracker.tick(now, &self.state.store_map.stores);
        retirement_state(&self.state, &view, node) == Some(RetirementState::Completed)
    }
}
