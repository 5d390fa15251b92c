//! Calls on the way: from the push to the endpoint that serves it, and its answer.

use juniperwing::interface::{EndpointId, Status};
use juniperwing::time::Span;
use rand::Rng;

use super::Simulation;
use super::state::{Call, CallItem, CallState, SimulationEvent};
use crate::endpoint::{Admission, CallId};
use crate::fleet::span_ms as ms;
use crate::judge::PushTarget;
use crate::metrics::value_fraction;
use crate::scenario::{Effect, FaultKind};

impl Simulation<'_> {
    pub(super) fn send_push(&mut self, relay: usize, endpoint: &EndpointId, pushes: &[(u64, Span)]) {
        let now = self.now;
        let Some(index) = self.endpoint_indices.get(&endpoint.0).copied() else {
            self.recorder.metrics.invalid_commands += pushes.len() as u64;
            return;
        };
        let (route, zone) = (self.endpoints[index].plan.route, self.endpoints[index].plan.zone);
        let to = PushTarget { endpoint: index, zone, route };
        let mut items = Vec::new();
        for (ntf, _) in pushes {
            let Some(pending) = self.nodes[relay].pending.get_mut(ntf) else {
                // The judge sees what was sent for something that is over; nobody else does.
                self.judge.handle_push(now, relay, *ntf, 0, to);
                self.recorder.metrics.invalid_commands += 1;
                continue;
            };
            let (push, notification) = (pending.push_count, pending.notification);
            pending.push_count += 1;
            pending.in_flight = Some((now, zone));
            self.judge.handle_push(now, relay, *ntf, push, to);
            if self.notifications[notification].destination != self.endpoints[index].plan.destination {
                self.recorder.metrics.invalid_commands += 1;
            }
            let ordered = self.notifications[notification].key.is_some();
            items.push(CallItem { ntf: *ntf, notification, push, is_in_flight: true, is_ordered: ordered });
        }
        if items.is_empty() {
            return;
        }
        self.recorder.metrics.pushes.sent += items.len() as u64;
        self.recorder.metrics.pushes.calls += 1;
        self.recorder.second_at(now).pushes += items.len() as u64;
        self.next_call += 1;
        let id = self.next_call;
        let one_way = self.one_way(relay, index);
        let node = &mut self.nodes[relay];
        let call = Call {
            relay,
            endpoint: index,
            route,
            items,
            sent_at: now,
            one_way_delay: one_way,
            is_connected: false,
            is_awaited: true,
            state: CallState::InTransit,
            breaks_after_service: false,
        };
        if node.calls.len() >= node.plan.allowance.slots {
            // More calls than slots: not sent at all.
            node.calls.insert(id);
            self.calls.insert(id, Call { state: CallState::Done, ..call });
            self.queue.schedule(
                now,
                SimulationEvent::ResponseReceived {
                    call: id,
                    status: Status::Skipped,
                    wait: None,
                    limit: None,
                },
            );
            return;
        }
        node.calls.insert(id);
        let idle = node.idle_connections.get_mut(&index).and_then(Vec::pop).is_some();
        let cut = self.endpoints[index].faults.is_active(&self.fault_windows, FaultKind::CutThere, now);
        self.calls.insert(id, Call { is_connected: idle, ..call });
        for (ntf, time_out) in pushes {
            self.queue.schedule(now + *time_out, SimulationEvent::PushTimeout { call: id, ntf: *ntf });
        }
        if !idle {
            self.recorder.metrics.connections += 1;
            let within = ms(self.scenario.network.connect_timeout_ms);
            self.queue.schedule(now + within, SimulationEvent::ConnectTimeout(id));
        }
        if cut {
            // Lost on the way: it reaches nobody.
            self.set_call_state(id, CallState::Done);
        } else {
            let next = if idle {
                SimulationEvent::RequestReceived(id)
            } else {
                SimulationEvent::ConnectionRequest(id)
            };
            self.queue.schedule(now + one_way, next);
        }
    }

    /// How long a message takes between a relay and an endpoint just now.
    fn one_way(&mut self, relay: usize, endpoint: usize) -> Span {
        let network = &self.scenario.network;
        let (node, plan) = (&mut self.nodes[relay], &self.endpoints[endpoint].plan);
        let range = if node.plan.zone == plan.zone { network.near_ms } else { network.far_ms };
        let base = range.least + (range.most - range.least) * (node.plan.distance + plan.distance) / 2.0;
        ms(base * (1.0 + network.jitter * node.network_rng.random::<f64>()))
    }

    /// A connection is asked for at the endpoint.
    pub(super) fn handle_connection_request(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        if !call.is_awaited {
            return self.set_call_state(id, CallState::Done);
        }
        let endpoint = &mut self.endpoints[call.endpoint];
        let faults = &endpoint.faults;
        let refuses = endpoint.is_terminated || faults.is_active(&self.fault_windows, FaultKind::Down, now);
        if refuses || endpoint.connections >= endpoint.plan.connections {
            let status = if refuses { Status::NoConnection } else { Status::Crowded };
            self.queue.schedule(
                now + call.one_way_delay,
                SimulationEvent::ResponseReceived { call: id, status, wait: None, limit: None },
            );
            return self.set_call_state(id, CallState::Done);
        }
        endpoint.connections += 1;
        call.is_connected = true;
        let slow = faults.factor(&self.fault_windows, FaultKind::Handshakes, now);
        let trips = 2.0 * self.scenario.network.handshake_rtts * slow;
        let kind = &self.scenario.kind[self.fleet.destinations[endpoint.plan.destination].kind];
        let work = ms(kind.handshake_work_ms * slow);
        self.queue
            .schedule(now + call.one_way_delay.mul_f64(trips) + work, SimulationEvent::RequestReceived(id));
    }

    /// The last byte of a call reaches the endpoint.
    pub(super) fn handle_request(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let (index, route, relay) = (call.endpoint, call.route, call.relay);
        let destination = self.endpoints[index].plan.destination;
        let kind = &self.scenario.kind[self.fleet.destinations[destination].kind];
        let count = call.items.len();
        let item = (kind.item_cost.least + kind.item_cost.most) / 2.0;
        let weight = 1.0 + item * (count - 1) as f64;
        let (tells_wait, refused_count, noise) = (kind.tells_wait, kind.refused_count, kind.report_noise);
        let failing = call.items.iter().any(|item| {
            self.endpoints[index].faults.fails_topic(
                &self.fault_windows,
                self.notifications[item.notification].topic,
                now,
            )
        });
        self.add_to_series(destination, |w| &mut w.reached, count as f64);
        let endpoint = &mut self.endpoints[index];
        if endpoint.is_terminated || endpoint.faults.is_active(&self.fault_windows, FaultKind::Down, now) {
            return self.respond(id, Status::Reset, None);
        }
        if !self.routes[route].is_out() {
            self.judge.record_route_load(now, relay, route, weight);
        }
        let (window, multiple) = (self.rule_parameters.tip_after, self.rule_parameters.fall_multiple);
        let overloaded =
            self.routes[route].record_load(now, weight, window, multiple, self.rule_parameters.fall_slack);
        let endpoint = &mut self.endpoints[index];
        let faults = &endpoint.faults;
        if overloaded
            || self.routes[route].is_overloaded
            || faults.is_active(&self.fault_windows, FaultKind::Silent, now)
        {
            // Taken, and never answered.
            return self.set_call_state(id, CallState::Done);
        }
        if faults.is_active(&self.fault_windows, FaultKind::Errors, now) || failing {
            return self.respond(id, Status::Error, None);
        }
        if faults.is_active(&self.fault_windows, FaultKind::Refuses, now) {
            return self.respond(id, Status::Busy, None);
        }
        let unaffected = faults.unaffected_probability(&self.fault_windows, FaultKind::Resets, now);
        if unaffected < 1.0 {
            let broken = 1.0 - unaffected;
            let drawn = endpoint.draw_fraction();
            if drawn < broken / 2.0 {
                return self.respond(id, Status::Reset, None);
            }
            if let Some(call) = self.calls.get_mut(&id) {
                call.breaks_after_service = drawn < broken;
            }
        }
        let factor = endpoint.faults.factor(&self.fault_windows, FaultKind::Limit, now)
            * self.routes[route].capacity_fraction(now);
        let limit = &mut self.routes[route].limit;
        let within = limit.try_acquire(now, factor, refused_count);
        endpoint.make_report(now, noise, limit, factor);
        if !within {
            let wait =
                (endpoint.draw_fraction() < tells_wait).then(|| limit.time_until_available(now, factor));
            return self.respond(id, Status::Busy, wait.filter(|wait| *wait > Span::ZERO));
        }
        match endpoint.admit(id) {
            Admission::Started => self.start_service(id),
            Admission::Queued => self.set_call_state(id, CallState::Queued),
            Admission::Rejected => self.respond(id, Status::Busy, None),
        }
    }

    /// A call begins to be served.
    fn start_service(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.state = CallState::Running;
        let endpoint = &mut self.endpoints[call.endpoint];
        let destination = &self.fleet.destinations[endpoint.plan.destination];
        let item_cost = self.scenario.kind[destination.kind].item_cost;
        let mut work = 0.0;
        for (n, item) in call.items.iter().enumerate() {
            let part = if n == 0 {
                1.0
            } else {
                item_cost.least + (item_cost.most - item_cost.least) * endpoint.draw_fraction()
            };
            work += self.notifications[item.notification].work * part;
        }
        // Each try differs a little from the last, for the same notification.
        let first = call.items.first().map_or(0, |item| self.notifications[item.notification].topic);
        let work = endpoint.draw_service_time(work / destination.speed, self.fleet.topics[first].try_cv);
        let slow = endpoint.faults.factor(&self.fault_windows, FaultKind::Slow, now)
            / self.routes[call.route].capacity_fraction(now);
        let from = endpoint.faults.resumes_at(&self.fault_windows, now).unwrap_or(now);
        self.queue.schedule(from + Span::from_secs_f64(work * slow), SimulationEvent::ServiceFinished(id));
    }

    pub(super) fn handle_service_finished(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let (index, route, breaks) = (call.endpoint, call.route, call.breaks_after_service);
        let endpoint = &mut self.endpoints[index];
        if let Some(at) = endpoint.faults.resumes_at(&self.fault_windows, now) {
            return self.queue.schedule(at, SimulationEvent::ServiceFinished(id));
        }
        let silent = self.routes[route].is_overloaded
            || endpoint.faults.is_active(&self.fault_windows, FaultKind::Silent, now);
        let error = endpoint.draw_fraction() < endpoint.plan.error_rate;
        if let Some(next) = endpoint.release() {
            self.start_service(next);
        }
        if silent {
            return self.set_call_state(id, CallState::Done);
        }
        let status = if error { Status::Error } else { Status::Delivered };
        if !error {
            self.record_execution(id);
        }
        self.respond(id, if breaks { Status::Reset } else { status }, None);
    }

    /// What a call carried has run.
    fn record_execution(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let destination = self.endpoints[call.endpoint].plan.destination;
        let ran: Vec<(usize, u64)> = call.items.iter().map(|item| (item.notification, item.ntf)).collect();
        for (index, ntf) in ran {
            let notification = &mut self.notifications[index];
            let topic = &self.scenario.topic[notification.topic];
            self.judge.record_effect(self.now, index, ntf, topic.effect == Effect::OnceOnly);
            let spent = self.now.since(notification.submitted_at);
            let in_time = self.now <= notification.valid_until;
            let first = in_time && !std::mem::replace(&mut notification.is_delivered, true);
            if !first {
                self.recorder.metrics.pushes.wasted += 1;
                continue;
            }
            let (born, share) = (notification.submitted_at, value_fraction(topic, spent));
            let (topic, account, benefit, done) =
                (notification.topic, notification.account, notification.benefit, notification.is_finished);
            // What its client gave up on before is delivered all the same, but no benefit to anybody.
            if !done {
                self.recorder.record_delivery(born, spent, topic, account, benefit, share);
                self.add_to_series(destination, |w| &mut w.delivered, 1.0);
            }
        }
    }

    /// The endpoint answers a call, or its connection breaks.
    fn respond(&mut self, id: CallId, status: Status, wait: Option<Span>) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let endpoint = &self.endpoints[call.endpoint];
        let cut = endpoint.faults.is_active(&self.fault_windows, FaultKind::CutBack, now);
        let kind = &self.scenario.kind[self.fleet.destinations[endpoint.plan.destination].kind];
        let limit = if kind.reports && status != Status::Reset { endpoint.latest_report(now) } else { None };
        if !cut && call.is_awaited {
            self.queue.schedule(
                now + call.one_way_delay,
                SimulationEvent::ResponseReceived { call: id, status, wait, limit },
            );
        }
        self.set_call_state(id, CallState::Done);
    }

    /// Notes where a call is; one that is done and that nobody waits for is forgotten.
    fn set_call_state(&mut self, id: CallId, state: CallState) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.state = state;
            if state == CallState::Done && !call.is_awaited {
                self.calls.remove(&id);
            }
        }
    }
}
