//! The endpoint list: its changes, and their propagation to relays.

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

    /// Subscribes a relay to the list. It receives the changes that it has missed, or a failure if the list is down.
    pub(super) fn subscribe(&mut self, relay: usize) {
        self.recorder.metrics.list_requests += 1;
        let is_down = self.is_list_down();
        let process = &mut self.relays[relay];
        let at = self.now + span_ms(self.scenario.list.response_ms.draw(&mut process.list_rng));
        let incarnation = process.incarnation;
        let input = if is_down {
            RelayInput::SubscriptionLost
        } else {
            process.is_subscribed = true;
            process.last_list_update_at = process.last_list_update_at.max(at);
            let missed = std::mem::take(&mut process.unreported_changes);
            let changes = missed.into_iter().map(|endpoint| (endpoint, self.readiness[endpoint]));
            RelayInput::EndpointChanges(changes.collect())
        };
        self.queue.schedule(at, SimulationEvent::RelayInput { relay, incarnation, input });
    }

    /// Ends the subscriptions of all relays.
    pub(super) fn end_subscriptions(&mut self) {
        for relay in 0..self.relays.len() {
            let process = &mut self.relays[relay];
            if process.is_running && std::mem::take(&mut process.is_subscribed) {
                self.enqueue_input(relay, RelayInput::SubscriptionLost);
            }
        }
    }

    /// Changes the list. Each relay is notified after a randomly drawn delay, and receives changes in order.
    fn publish_readiness(&mut self, endpoint: usize, readiness: Readiness) {
        self.readiness[endpoint] = readiness;
        let windows = self.fault_windows.iter();
        let stale =
            windows.filter(|window| window.kind == FaultKind::ListStale && window.is_active(self.now));
        let staleness = Span::from_secs_f64(stale.map(|window| window.size).sum());
        let is_down = self.is_list_down();
        for (relay, process) in self.relays.iter_mut().enumerate() {
            let delay = Span::from_secs_f64(self.scenario.list.change_delay_s.draw(&mut process.list_rng))
                + staleness;
            if !process.is_running || !process.is_subscribed || is_down {
                process.unreported_changes.insert(endpoint);
                continue;
            }
            process.last_list_update_at = process.last_list_update_at.max(self.now + delay);
            let (at, incarnation) = (process.last_list_update_at, process.incarnation);
            let input = RelayInput::EndpointChanges(vec![(endpoint, readiness)]);
            self.queue.schedule(at, SimulationEvent::RelayInput { relay, incarnation, input });
        }
    }

    /// Drains an endpoint and adds a new one that replaces it.
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
