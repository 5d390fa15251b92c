//! The list of endpoints: its changes, and when relays are notified of them.

use juniperwing::interface::Readiness;
use juniperwing::time::Span;

use super::Simulation;
use super::state::{RelayInput, SimulationEvent};
use crate::endpoint::Endpoint;
use crate::fleet::{EndpointPlan, endpoint_id, span_ms};
use crate::scenario::FaultKind;

impl Simulation<'_> {
    fn is_list_down(&self) -> bool {
        let mut windows = self.fault_windows.iter();
        windows.any(|window| window.kind == FaultKind::ListDown && window.is_active(self.now))
    }

    /// A relay subscribes to the list and receives the changes that it has missed, or that the list cannot be reached.
    pub(super) fn subscribe(&mut self, relay: usize) {
        self.recorder.metrics.list_requests += 1;
        let is_down = self.is_list_down();
        let node = &mut self.nodes[relay];
        let at = self.now + span_ms(self.scenario.list.response_ms.draw(&mut node.list_rng));
        let incarnation = node.incarnation;
        let input = if is_down {
            RelayInput::SubscriptionLost
        } else {
            node.is_subscribed = true;
            node.last_list_update_at = node.last_list_update_at.max(at);
            let missed = std::mem::take(&mut node.unreported_changes);
            let changes = missed.into_iter().map(|endpoint| (endpoint, self.readiness[endpoint]));
            RelayInput::EndpointChanges(changes.collect())
        };
        self.queue.schedule(at, SimulationEvent::RelayInput { relay, incarnation, input });
    }

    /// Ends the subscriptions of all relays.
    pub(super) fn end_subscriptions(&mut self) {
        for relay in 0..self.nodes.len() {
            let node = &mut self.nodes[relay];
            if node.is_running && std::mem::take(&mut node.is_subscribed) {
                self.enqueue_input(relay, RelayInput::SubscriptionLost);
            }
        }
    }

    /// Changes the list; each relay is notified after a delay of its own, of one change after the other.
    fn publish_readiness(&mut self, endpoint: usize, readiness: Readiness) {
        self.readiness[endpoint] = readiness;
        let windows = self.fault_windows.iter();
        let stale =
            windows.filter(|window| window.kind == FaultKind::ListStale && window.is_active(self.now));
        let staleness = Span::from_secs_f64(stale.map(|window| window.size).sum());
        let is_down = self.is_list_down();
        for (relay, node) in self.nodes.iter_mut().enumerate() {
            let delay =
                Span::from_secs_f64(self.scenario.list.change_delay_s.draw(&mut node.list_rng)) + staleness;
            if !node.is_running || !node.is_subscribed || is_down {
                node.unreported_changes.insert(endpoint);
                continue;
            }
            node.last_list_update_at = node.last_list_update_at.max(self.now + delay);
            let (at, incarnation) = (node.last_list_update_at, node.incarnation);
            let input = RelayInput::EndpointChanges(vec![(endpoint, readiness)]);
            self.queue.schedule(at, SimulationEvent::RelayInput { relay, incarnation, input });
        }
    }

    /// An endpoint drains, and a new one replaces it.
    pub(super) fn replace_endpoint(&mut self, endpoint: usize, terminates_after: Span) {
        if self.readiness[endpoint] != Readiness::Serving {
            return;
        }
        let new = self.endpoints.len();
        let replaced = &self.endpoints[endpoint];
        let plan = EndpointPlan { id: endpoint_id(new), ..replaced.plan.clone() };
        let (route, faults) = (plan.route, replaced.faults.clone());
        self.endpoint_indices.insert(plan.id.0.clone(), new);
        self.endpoints.push(Endpoint::new(plan, faults, new, &self.rng_streams));
        self.routes[route].endpoints.push(new);
        self.readiness.push(Readiness::Serving);
        self.publish_readiness(new, Readiness::Serving);
        self.publish_readiness(endpoint, Readiness::Draining);
        self.queue.schedule(self.now + terminates_after, SimulationEvent::EndpointTerminated(endpoint));
    }

    pub(super) fn terminate_endpoint(&mut self, endpoint: usize) {
        self.endpoints[endpoint].is_terminated = true;
        self.publish_readiness(endpoint, Readiness::Deleted);
        self.update_route_outage(self.endpoints[endpoint].plan.route);
    }
}
