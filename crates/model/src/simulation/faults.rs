//! The begin and end of faults, and the resulting outages of routes.

use std::collections::BTreeSet;

use juniperwing::time::Span;

use super::Simulation;
use super::state::SimulationEvent;
use crate::faults::FaultWindow;
use crate::route::OutageTransition;
use crate::scenario::FaultKind;

impl Simulation<'_> {
    /// Handles the begin or the end of a fault.
    pub(super) fn handle_fault_boundary(&mut self, fault: usize) {
        let window = self.fault_windows[fault].clone();
        if self.now < window.to {
            self.begin_fault(fault, &window);
        }
        let endpoints = self.affected[fault].endpoints.iter();
        let routes: BTreeSet<usize> =
            endpoints.map(|endpoint| self.endpoints[*endpoint].plan.route).collect();
        routes.into_iter().for_each(|route| self.update_route_outage(route));
    }

    /// Executes the actions of a fault at its begin. Other effects are computed while the fault is active.
    fn begin_fault(&mut self, fault: usize, window: &FaultWindow) {
        match window.kind {
            FaultKind::ListDown => self.end_subscriptions(),
            FaultKind::RelayKill | FaultKind::RelayLoss => {
                let (is_storage_kept, restart_after) =
                    (window.kind == FaultKind::RelayKill, Span::from_secs_f64(window.size));
                for relay in self.affected[fault].relays.clone() {
                    self.stop_relay(relay, is_storage_kept, restart_after);
                }
            }
            FaultKind::Deploy => self.schedule_deployment(fault, window),
            _ => {}
        }
    }

    /// Schedules the replacement of endpoints, one after the other, evenly over the duration of the fault.
    fn schedule_deployment(&mut self, fault: usize, window: &FaultWindow) {
        let endpoints = &self.affected[fault].endpoints;
        let interval = window.to.since(window.from).mul_f64(1.0 / endpoints.len().max(1) as f64);
        let terminates_after = Span::from_secs_f64(window.size);
        for (n, endpoint) in endpoints.iter().copied().enumerate() {
            let at = window.from + interval.mul_f64(n as f64);
            self.queue.schedule(at, SimulationEvent::EndpointDrain { endpoint, terminates_after });
        }
    }

    /// Updates whether all endpoints of a route are unavailable, and passes outages and recoveries to the rule checker.
    pub(super) fn update_route_outage(&mut self, route: usize) {
        let (now, windows) = (self.now, &self.fault_windows);
        let endpoints = self.routes[route].endpoints.iter().map(|endpoint| &self.endpoints[*endpoint]);
        let mut live = endpoints.filter(|endpoint| !endpoint.is_terminated).peekable();
        let is_out = live.peek().is_some() && live.all(|endpoint| endpoint.faults.is_outage(windows, now));
        let min_outage = Span::from_secs_f64(self.scenario.rules.min_outage_s);
        let state = &mut self.routes[route];
        match state.set_outage(is_out, now, min_outage) {
            Some(OutageTransition::Began) => self.rule_checker.handle_route_outage(route),
            Some(OutageTransition::Ended) => {
                self.rule_checker.handle_route_recovery(now, route, Some(&state.plan));
            }
            Some(OutageTransition::Brief) => self.rule_checker.handle_route_recovery(now, route, None),
            None => {}
        }
    }
}
