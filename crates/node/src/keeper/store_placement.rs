//! Placement of partitions on stores: which stores are alive, which replicas caught up, and the resulting map.

use std::sync::Arc;

use juniperwing_control::{
    ControlChange, PlanInput, completed_retirements, plan_store_map, retirement_of_replaced_disk,
    unrecoverable_partitions,
};
use juniperwing_protocol::registry::RegistryMessage;
use juniperwing_protocol::replication::{Version, Voter};
use juniperwing_protocol::subscription::{CaughtUp, StoreNode};
use juniperwing_protocol::{DiskId, EpochNumber, Message};
use slog::{info, warn};
use tokio::time::timeout;

use super::consensus::PrimaryLocation;
use super::controller::{Controller, State};
use crate::clock;

/// The number of caught-up reports that are kept until they are used.
const MAX_CAUGHT_UP_REPORTS: usize = 1_024;

/// A change to propose, and the committed version that it was computed on.
struct PlannedChange {
    base: Version,
    change: ControlChange,
}

impl Controller {
    /// Records which stores another keeper can reach. Returns the highest epoch known here, for the reply.
    pub(super) fn handle_reachable_stores(&self, keeper: DiskId, stores: Vec<StoreNode>) -> EpochNumber {
        let mut state = self.lock();
        let now = clock::now();
        state.contact.record_message(now, keeper);
        state.tracker.record_report(now, keeper, stores);
        let epoch = state.consensus.replica.epoch().number;
        drop(state);
        self.planning_requested.notify_one();
        epoch
    }

    /// Reports to the other voters which stores this keeper can reach. Their replies are evidence of contact.
    pub(super) fn report_reachable_stores(self: &Arc<Self>) {
        let from = self.local_voter.disk;
        let stores = {
            let mut state = self.lock();
            let stores = state.subscribers.subscribed_stores();
            state.tracker.record_report(clock::now(), from, stores.clone());
            stores
        };
        let others = self.other_voters(&self.lock());
        for voter in others {
            let message = RegistryMessage::ReachableStores { from, stores: stores.clone() };
            tokio::spawn(Arc::clone(self).send_reachable_stores(voter, message));
        }
        self.forward_caught_up_reports();
        self.planning_requested.notify_one();
    }

    async fn send_reachable_stores(self: Arc<Self>, voter: Voter, report: RegistryMessage) {
        let sent_at = clock::now();
        let timeout = self.control_timings.peer_reply_timeout;
        let reply = self.peers.call(voter.address, Message::Registry(report), timeout).await;
        if let Ok(Message::Registry(RegistryMessage::ReachableStoresReply { epoch })) = reply {
            self.lock().contact.record_reply(clock::now(), voter.disk, sent_at, epoch);
        }
    }

    /// Records replicas that caught up, as reported by the partitions' primaries. A report holds until the
    /// partition's epoch changes, so it is kept until then, whichever keeper is primary.
    pub(super) fn handle_caught_up_reports(self: &Arc<Self>, reports: Vec<CaughtUp>) {
        let mut state = self.lock();
        for report in reports {
            if state.caught_up_reports.len() < MAX_CAUGHT_UP_REPORTS
                && !state.caught_up_reports.contains(&report)
            {
                state.caught_up_reports.push(report);
            }
        }
        drop(state);
        self.planning_requested.notify_one();
    }

    /// Forwards the current reports to the primary keeper, if that is another one.
    pub(super) fn forward_caught_up_reports(self: &Arc<Self>) {
        let PrimaryLocation::Remote(address) = self.primary_location() else { return };
        let reports = self.lock().caught_up_reports.clone();
        if !reports.is_empty() {
            self.peers.send(address, Message::Registry(RegistryMessage::CaughtUp(reports)));
        }
    }

    /// Plans store maps for the lifetime of the keeper.
    pub(super) async fn run_planning_loop(self: Arc<Self>) {
        loop {
            let next_loss_at = self.lock().tracker.next_loss_at();
            let delay = clock::duration(next_loss_at.since(clock::now()));
            // Whichever comes first: an update of the stores, or the time at which one counts as lost.
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
        state.store_view = state.tracker.tick(clock::now(), &committed.state.store_map.stores);
        let placed = &committed.state.store_map;
        // A report of an epoch that this keeper does not know yet is retained.
        state.caught_up_reports.retain(|report| {
            placed.assignment(report.partition).is_some_and(|assignment| assignment.epoch <= report.epoch)
        });
        let replica = &state.consensus.replica;
        if !replica.is_primary() || replica.latest().version != committed.version {
            return None;
        }
        if let Some(change) = retirement_of_replaced_disk(&committed.state, &state.store_view) {
            return Some(PlannedChange { base: committed.version, change });
        }
        self.log_unrecoverable_partitions(state);
        let input = PlanInput {
            state: &committed.state,
            view: &state.store_view,
            caught_up_reports: &state.caught_up_reports,
            required_replicas: self.required_replicas,
        };
        if let Some(map) = plan_store_map(input) {
            let change = ControlChange::SetStoreMap(map);
            return Some(PlannedChange { base: committed.version, change });
        }
        let retired = completed_retirements(&committed.state, self.required_replicas).into_iter().next()?;
        let change = ControlChange::CompleteRetirement(retired);
        Some(PlannedChange { base: committed.version, change })
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
