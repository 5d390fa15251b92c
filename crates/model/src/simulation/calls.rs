//! Calls in transit from a relay to an endpoint.

use juniperwing::interface::{CallStatus, EndpointId};
use juniperwing::time::Span;
use rand::Rng;

use super::Simulation;
use super::state::{Call, CallItem, CallState, PushRequest, Response, SentPush, SimulationEvent};
use crate::endpoint::CallId;
use crate::fleet::span_ms;
use crate::rule_checker::PushTarget;
use crate::scenario::FaultKind;

impl Simulation<'_> {
    /// Sends pushes to an endpoint in one call.
    pub(super) fn send_pushes(&mut self, relay: usize, endpoint: &EndpointId, pushes: &[PushRequest]) {
        let Some(endpoint) = self.endpoint_indices.get(&endpoint.0).copied() else {
            self.recorder.metrics.invalid_commands += pushes.len() as u64;
            return;
        };
        let items: Vec<CallItem> =
            pushes.iter().filter_map(|push| self.start_push(relay, endpoint, push.notification_id)).collect();
        if items.is_empty() {
            return;
        }
        self.recorder.metrics.pushes.sent += items.len() as u64;
        self.recorder.metrics.pushes.calls += 1;
        self.recorder.second_at(self.now).pushes += items.len() as u64;
        self.last_call += 1;
        let id = self.last_call;
        let one_way_delay = self.draw_one_way_delay(relay, endpoint);
        let call = Call {
            relay,
            endpoint,
            route: self.endpoints[endpoint].plan.route,
            items,
            sent_at: self.now,
            one_way_delay,
            is_connected: false,
            is_awaited: true,
            state: CallState::InTransit,
            breaks_after_service: false,
        };
        let process = &mut self.relays[relay];
        let has_slot = process.calls.len() < process.plan.limits.slots;
        process.calls.insert(id);
        if has_slot {
            self.send_call(id, call, pushes);
        } else {
            self.calls.insert(id, Call { state: CallState::Done, ..call });
            self.schedule_response(id, self.now, Response::of(CallStatus::Skipped));
        }
    }

    /// Records a push of a notification. `None` if the relay has no such notification.
    fn start_push(&mut self, relay: usize, endpoint: usize, notification_id: u64) -> Option<CallItem> {
        let plan = &self.endpoints[endpoint].plan;
        let target = PushTarget { endpoint, zone: plan.zone, route: plan.route };
        let Some(pending) = self.relays[relay].pending.get_mut(&notification_id) else {
            // A push of a finished notification is recorded by the rule checker only.
            self.rule_checker.handle_push(self.now, relay, notification_id, 0, target);
            self.recorder.metrics.invalid_commands += 1;
            return None;
        };
        let (push, index) = (pending.push_count, pending.notification);
        pending.push_count += 1;
        pending.in_flight = Some(SentPush { at: self.now, zone: target.zone });
        self.rule_checker.handle_push(self.now, relay, notification_id, push, target);
        let notification = &self.notifications[index];
        if notification.destination != plan.destination {
            self.recorder.metrics.invalid_commands += 1;
        }
        let is_ordered = notification.key.is_some();
        Some(CallItem { notification_id, notification: index, push, is_in_flight: true, is_ordered })
    }

    /// Sends a call over an idle connection, or opens one for it.
    fn send_call(&mut self, id: CallId, call: Call, pushes: &[PushRequest]) {
        let (relay, endpoint, one_way_delay) = (call.relay, call.endpoint, call.one_way_delay);
        let idle = &mut self.relays[relay].idle_connections;
        let is_connected = idle.get_mut(&endpoint).and_then(Vec::pop).is_some();
        self.calls.insert(id, Call { is_connected, ..call });
        for push in pushes {
            let timeout = SimulationEvent::PushTimeout { call: id, notification_id: push.notification_id };
            self.queue.schedule(self.now + push.timeout, timeout);
        }
        if !is_connected {
            self.recorder.metrics.connections += 1;
            let timeout = span_ms(self.scenario.network.connect_timeout_ms);
            self.queue.schedule(self.now + timeout, SimulationEvent::ConnectTimeout(id));
        }
        if self.endpoints[endpoint].faults.is_active(&self.fault_windows, FaultKind::RequestLoss, self.now) {
            // The request is lost.
            return self.set_call_state(id, CallState::Done);
        }
        let next = if is_connected {
            SimulationEvent::RequestReceived(id)
        } else {
            SimulationEvent::ConnectionRequest(id)
        };
        self.queue.schedule(self.now + one_way_delay, next);
    }

    fn draw_one_way_delay(&mut self, relay: usize, endpoint: usize) -> Span {
        let network = &self.scenario.network;
        let (process, plan) = (&mut self.relays[relay], &self.endpoints[endpoint].plan);
        let range = if process.plan.zone == plan.zone {
            network.same_zone_delay_ms
        } else {
            network.cross_zone_delay_ms
        };
        let distance = process.plan.distance + plan.distance;
        let base_ms = range.min + (range.max - range.min) * distance / 2.0;
        span_ms(base_ms * (1.0 + network.jitter * process.network_rng.random::<f64>()))
    }

    /// Handles a connection request that reaches its endpoint.
    pub(super) fn handle_connection_request(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if !call.is_awaited {
            return self.set_call_state(id, CallState::Done);
        }
        let endpoint = &mut self.endpoints[call.endpoint];
        let faults = &endpoint.faults;
        let is_down =
            endpoint.is_terminated || faults.is_active(&self.fault_windows, FaultKind::Down, self.now);
        if is_down || endpoint.connections >= endpoint.plan.max_connections {
            let status = if is_down { CallStatus::NoConnection } else { CallStatus::ConnectionLimitReached };
            let at = self.now + call.one_way_delay;
            self.schedule_response(id, at, Response::of(status));
            return self.set_call_state(id, CallState::Done);
        }
        endpoint.connections += 1;
        call.is_connected = true;
        let slowdown = faults.factor(&self.fault_windows, FaultKind::Handshakes, self.now);
        let one_way_trips = 2.0 * self.scenario.network.handshake_rtts * slowdown;
        let kind = &self.scenario.kinds[self.fleet.destinations[endpoint.plan.destination].kind];
        let work = span_ms(kind.handshake_work_ms * slowdown);
        let ready_at = self.now + call.one_way_delay.mul_f64(one_way_trips) + work;
        self.queue.schedule(ready_at, SimulationEvent::RequestReceived(id));
    }

    /// Sets the state of a call, and removes a finished one that no relay waits for.
    pub(super) fn set_call_state(&mut self, id: CallId, state: CallState) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.state = state;
            if state == CallState::Done && !call.is_awaited {
                self.calls.remove(&id);
            }
        }
    }
}
