//! A single simulated keeper with the planner and the tracker of real keepers.

use std::sync::Arc;

use juniperwing_clock::Time;
use juniperwing_control::{
    ControlChange, ControlState, PlanInput, RetireDecision, RetirementState, StoreTracker,
    completed_retirements, decide_retire, extend_retirement_to_new_disk, plan_store_map, retirement_state,
};
use juniperwing_protocol::subscription::{CaughtUp, StoreMap, StoreNode};
use juniperwing_protocol::{DiskId, NodeName};
use juniperwing_replication::ReplicatedState;

use super::node::REQUIRED_REPLICAS;

/// The keeper that reports stores.
const KEEPER: DiskId = DiskId(1_000_000);

pub struct Keepers {
    state: ControlState,
    tracker: StoreTracker,
}

impl Keepers {
    pub fn new(now: Time) -> Self {
        Keepers { state: ControlState::default(), tracker: StoreTracker::new(now) }
    }

    /// Processes the reachable stores; returns the map if a new one is planned.
    pub fn run(
        &mut self, now: Time, reachable: Vec<StoreNode>, caught_up: &[CaughtUp],
    ) -> Option<Arc<StoreMap>> {
        self.tracker.record_report(now, KEEPER, reachable);
        let view = self.tracker.tick(now, &self.state.store_map.stores);
        if let Some(renewal) = extend_retirement_to_new_disk(&self.state, &view) {
            self.state.apply(&renewal);
        }
        let input = PlanInput {
            state: &self.state,
            view: &view,
            caught_up_reports: caught_up,
            required_replicas: REQUIRED_REPLICAS,
        };
        if let Some(map) = plan_store_map(input) {
            self.state.apply(&ControlChange::SetStoreMap(Arc::clone(&map)));
            return Some(map);
        }
        for disk in completed_retirements(&self.state, REQUIRED_REPLICAS) {
            self.state.apply(&ControlChange::CompleteRetirement(disk));
        }
        None
    }

    /// Requests the retirement of a machine; returns whether the request is accepted.
    pub fn retire(&mut self, now: Time, node: &NodeName) -> bool {
        let view = self.tracker.tick(now, &self.state.store_map.stores);
        match decide_retire(&self.state, &view, node, REQUIRED_REPLICAS) {
            RetireDecision::Accept(change) => self.state.apply(&change),
            RetireDecision::AlreadyAccepted => {}
            _ => return false,
        }
        true
    }

    /// Whether a machine may be removed together with its disk.
    pub fn is_retired(&mut self, now: Time, node: &NodeName) -> bool {
        let view = self.tracker.tick(now, &self.state.store_map.stores);
        retirement_state(&self.state, &view, node) == Some(RetirementState::Completed)
    }
}
