//! The list of endpoints and the troubles that begin and end.

use std::collections::BTreeSet;

use juniperwing::interface::Readiness;
use juniperwing::time::Span;

use super::Simulation;
use super::setup::new_endpoint;
use super::state::{RelayInput, SimulationEvent};
use crate::endpoint::OutageTransition;
use crate::fleet::{EndpointPlan, endpoint_id, span_ms as ms};
use crate::scenario::FaultKind;

impl Simulation<'_> {
    fn is_list_down(&self) -> bool {
        self.fault_windows
            .iter()
            .any(|window| window.kind == FaultKind::ListDown && window.is_active(self.now))
    }

    pub(super) fn subscribe(&mut self, relay: usize) {
        self.recorder.metrics.list_requests += 1;
        let down = self.is_list_down();
        let node = &mut self.nodes[relay];
        let at = self.now + ms(self.scenario.list.answer_ms.draw(&mut node.list_rng));
        let incarnation = node.incarnation;
        let input = if down {
            RelayInput::SubscriptionLost
        } else {
            node.is_subscribed = true;
            let missed = std::mem::take(&mut node.unreported_changes);
            node.last_list_update_at = node.last_list_update_at.max(at);
            RelayInput::EndpointChanges(
                missed.into_iter().map(|endpoint| (endpoint, self.readiness[endpoint])).collect(),
            )
        };
        self.queue.schedule(at, SimulationEvent::RelayInput { relay, incarnation, input });
    }

    /// The list changes; each relay hears of it in its own time, of one change after the other.
    pub(super) fn publish_readiness(&mut self, endpoint: usize, readiness: Readiness) {
        self.readiness[endpoint] = readiness;
        let stale = self
            .fault_windows
            .iter()
            .filter(|window| window.kind == FaultKind::ListStale && window.is_active(self.now));
        let later = Span::from_secs_f64(stale.map(|window| window.size).sum());
        let down = self.is_list_down();
        for relay in 0..self.nodes.len() {
            let node = &mut self.nodes[relay];
            let after = Span::from_secs_f64(self.scenario.list.notice_s.draw(&mut node.list_rng)) + later;
            if !node.is_running || !node.is_subscribed || down {
                node.unreported_changes.insert(endpoint);
                continue;
            }
            node.last_list_update_at = node.last_list_update_at.max(self.now + after);
            let (at, incarnation) = (node.last_list_update_at, node.incarnation);
            let input = RelayInput::EndpointChanges(vec![(endpoint, readiness)]);
            self.queue.schedule(at, SimulationEvent::RelayInput { relay, incarnation, input });
        }
    }

    pub(super) fn handle_fault_boundary(&mut self, index: usize) {
        let window = self.fault_windows[index].clone();
        let begins = self.now < window.to;
        match window.kind {
            FaultKind::ListDown if begins => {
                for relay in 0..self.nodes.len() {
                    if self.nodes[relay].is_running && std::mem::take(&mut self.nodes[relay].is_subscribed) {
                        self.enqueue_input(relay, RelayInput::SubscriptionLost);
                    }
                }
            }
            FaultKind::Kill | FaultKind::Lose if begins => {
                let relays = self.faulted_relays[index].clone();
                let kept = window.kind == FaultKind::Kill;
                relays
                    .into_iter()
                    .for_each(|relay| self.stop_relay(relay, kept, Span::from_secs_f64(window.size)));
            }
            FaultKind::Deploy if begins => {
                let ends = self.faulted_endpoints[index].clone();
                let each = window.to.since(window.from).mul_f64(1.0 / ends.len().max(1) as f64);
                for (n, endpoint) in ends.into_iter().enumerate() {
                    let at = window.from + each.mul_f64(n as f64);
                    self.queue.schedule(
                        at,
                        SimulationEvent::EndpointDrain {
                            endpoint,
                            terminates_after: Span::from_secs_f64(window.size),
                        },
                    );
                }
            }
            _ => {}
        }
        let routes: BTreeSet<usize> =
            self.faulted_endpoints[index].iter().map(|end| self.endpoints[*end].plan.route).collect();
        routes.into_iter().for_each(|route| self.update_route_outage(route));
    }

    /// Whether all of a lane is out just now.
    pub(super) fn update_route_outage(&mut self, route: usize) {
        let (now, fault_windows) = (self.now, &self.fault_windows);
        let mut live = self.routes[route]
            .endpoints
            .iter()
            .map(|e| &self.endpoints[*e])
            .filter(|e| !e.is_terminated)
            .peekable();
        let out = live.peek().is_some() && live.all(|end| end.faults.is_outage(fault_windows, now));
        let record = &mut self.routes[route];
        let least = Span::from_secs_f64(self.scenario.rules.least_outage_s);
        match record.set_outage(out, now, least) {
            Some(OutageTransition::Began) => self.judge.handle_route_outage(route),
            Some(OutageTransition::Ended) => {
                let cold = Some((record.plan.capacity, record.plan.cold));
                self.judge.handle_route_recovery(now, route, cold);
            }
            Some(OutageTransition::Brief) => self.judge.handle_route_recovery(now, route, None),
            None => {}
        }
    }

    /// An endpoint drains, and another takes its place.
    pub(super) fn replace_endpoint(&mut self, endpoint: usize, terminates_after: Span) {
        if self.readiness[endpoint] != Readiness::Serving {
            return;
        }
        let index = self.endpoints.len();
        let plan = EndpointPlan { id: endpoint_id(index), ..self.endpoints[endpoint].plan.clone() };
        let (route, faults) = (plan.route, self.endpoints[endpoint].faults.clone());
        self.endpoint_indices.insert(plan.id.0.clone(), index);
        self.endpoints.push(new_endpoint(plan, faults, index, &self.rng_streams));
        self.routes[route].endpoints.push(index);
        self.readiness.push(Readiness::Serving);
        self.publish_readiness(index, Readiness::Serving);
        self.publish_readiness(endpoint, Readiness::Draining);
        self.queue.schedule(self.now + terminates_after, SimulationEvent::EndpointTerminated(endpoint));
    }
}
