//! Placement of partitions on stores: plans store maps and completes retirements.

use std::sync::Arc;

use juniperwing_control::{
    ControlChange, ControlState, PlanInput, completed_retirements, extend_retirement_to_new_disk,
    plan_store_map, unrecoverable_partitions,
};
use juniperwing_protocol::replication::Version;
use juniperwing_replication::Versioned;
use slog::{info, warn};
use tokio::time::timeout;

use super::controller::{Controller, State};
use crate::clock;

/// A change to propose, and the committed version that it was computed on.
struct PlannedChange {
    base: Version,
    change: ControlChange,
}

impl Controller {
    /// Plans store maps for the lifetime of the keeper.
    pub(super) async fn run_planning_loop(self: Arc<Self>) {
        loop {
            let next_loss_at = self.lock().tracker.next_loss_at();
            let delay = clock::duration(next_loss_at.since(clock::now()));
            // Waits for an update of the stores, or until the time at which one counts as lost.
            let _ = timeout(delay, self.planning_requested.notified()).await;
            self.plan_store_map_change().await;
        }
    }

    /// Updates the view of the stores and, as primary, proposes the next change of the store map or a retirement.
    async fn plan_store_map_change(self: &Arc<Self>) {
        let Some(PlannedChange { base, change }) = self.next_store_change() else { return };
        match self.propose(base, change).await {
            Ok(_) => self.planning_requested.notify_one(),
            // The next planning round computes the change again.
            Err(error) => info!(self.log, "store map change failed"; "error" => error.to_string()),
        }
    }

    fn next_store_change(&self) -> Option<PlannedChange> {
        let state = &mut *self.lock();
        let committed = state.consensus.committed()?.clone();
        state.refresh_store_view(&committed.state);
        let replica = &state.consensus.replica;
        if !replica.is_primary() || replica.latest().version != committed.version {
            return None;
        }
        let change = match extend_retirement_to_new_disk(&committed.state, &state.store_view) {
            Some(change) => change,
            None => {
                self.log_unrecoverable_partitions(state);
                self.planned_change(state, &committed)?
            }
        };
        Some(PlannedChange { base: committed.version, change })
    }

    fn planned_change(&self, state: &State, committed: &Versioned<ControlState>) -> Option<ControlChange> {
        let input = PlanInput {
            state: &committed.state,
            view: &state.store_view,
            caught_up_reports: &state.caught_up_reports,
            required_replicas: self.required_replicas,
        };
        if let Some(map) = plan_store_map(input) {
            return Some(ControlChange::SetStoreMap(map));
        }
        let retired = completed_retirements(&committed.state, self.required_replicas).into_iter().next()?;
        Some(ControlChange::CompleteRetirement(retired))
    }

    fn log_unrecoverable_partitions(&self, state: &mut State) {
        let Some(committed) = state.consensus.committed() else { return };
        let lost = unrecoverable_partitions(&committed.state, &state.store_view).len();
        if lost > 0 && lost != state.unrecoverable_partitions {
            warn!(self.log, "partitions lost all replicas"; "partitions" => lost);
        }
        state.unrecoverable_partitions = lost;
    }
}

impl State {
    /// Advances the view of the stores, and drops caught-up reports of past epochs.
    fn refresh_store_view(&mut self, committed: &ControlState) {
        let store_map = &committed.store_map;
        self.store_view = self.tracker.tick(clock::now(), &store_map.stores);
        // A report of an epoch that this keeper does not know yet is retained.
        self.caught_up_reports.retain(|report| {
            store_map.assignment(report.partition).is_some_and(|assignment| assignment.epoch <= report.epoch)
        });
    }
}
