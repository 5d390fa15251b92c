//! Calls at an endpoint: admission, service and response.

use juniperwing::interface::CallStatus;
use juniperwing::time::{Span, Time};

use super::Simulation;
use super::state::{CallState, Response, SimulationEvent};
use crate::endpoint::{Admission, CallId};
use crate::metrics::benefit_fraction;
use crate::scenario::{FaultKind, Kind, Semantics};

/// The effect of faults on a call that reaches its endpoint.
enum FaultEffect {
    None,
    /// It gets no response.
    NoResponse,
    Response(CallStatus),
    /// It is served, and its connection breaks before the response.
    BreaksAfterService,
}

impl Simulation<'_> {
    pub(super) fn kind_of(&self, endpoint: usize) -> &Kind {
        let destination = self.endpoints[endpoint].plan.destination;
        &self.scenario.kinds[self.fleet.destinations[destination].kind]
    }

    fn has_fault(&self, endpoint: usize, kind: FaultKind) -> bool {
        self.endpoints[endpoint].faults.is_active(&self.fault_windows, kind, self.now)
    }

    /// Handles a call that has fully reached its endpoint.
    pub(super) fn handle_request(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let (endpoint, route, relay, count) = (call.endpoint, call.route, call.relay, call.items.len());
        let item_cost = self.kind_of(endpoint).item_cost;
        let weight = 1.0 + (item_cost.min + item_cost.max) / 2.0 * (count - 1) as f64;
        let destination = self.endpoints[endpoint].plan.destination;
        self.add_to_series(destination, |series| &mut series.reached, count as f64);
        if self.endpoints[endpoint].is_terminated || self.has_fault(endpoint, FaultKind::Down) {
            return self.respond(id, CallStatus::Reset, None);
        }
        if !self.routes[route].is_out() {
            self.rule_checker.record_route_load(self.now, relay, route, weight);
        }
        self.routes[route].record_load(self.now, weight, &self.overload_threshold);
        match self.fault_effect(id, endpoint, route) {
            FaultEffect::NoResponse => return self.set_call_state(id, CallState::Done),
            FaultEffect::Response(status) => return self.respond(id, status, None),
            FaultEffect::BreaksAfterService => {
                if let Some(call) = self.calls.get_mut(&id) {
                    call.breaks_after_service = true;
                }
            }
            FaultEffect::None => {}
        }
        self.admit(id, endpoint, route);
    }

    fn fault_effect(&mut self, id: CallId, endpoint: usize, route: usize) -> FaultEffect {
        if self.routes[route].is_overloaded() || self.has_fault(endpoint, FaultKind::Silent) {
            return FaultEffect::NoResponse;
        }
        if self.has_fault(endpoint, FaultKind::Errors) || self.has_failing_topic(id, endpoint) {
            return FaultEffect::Response(CallStatus::Error);
        }
        if self.has_fault(endpoint, FaultKind::Rejections) {
            return FaultEffect::Response(CallStatus::Busy);
        }
        let endpoint = &mut self.endpoints[endpoint];
        let unaffected =
            endpoint.faults.unaffected_probability(&self.fault_windows, FaultKind::Resets, self.now);
        if unaffected >= 1.0 {
            return FaultEffect::None;
        }
        // Half of the broken connections break before the service and half after it.
        let (affected, drawn) = (1.0 - unaffected, endpoint.draw_fraction());
        if drawn < affected / 2.0 {
            FaultEffect::Response(CallStatus::Reset)
        } else if drawn < affected {
            FaultEffect::BreaksAfterService
        } else {
            FaultEffect::None
        }
    }

    fn has_failing_topic(&self, id: CallId, endpoint: usize) -> bool {
        let faults = &self.endpoints[endpoint].faults;
        self.calls.get(&id).is_some_and(|call| {
            call.items.iter().any(|item| {
                let topic = self.notifications[item.notification].submission.topic;
                faults.fails_topic(&self.fault_windows, topic, self.now)
            })
        })
    }

    /// Serves, queues or rejects a call, according to the limit of its route and the capacity of its endpoint.
    fn admit(&mut self, id: CallId, endpoint: usize, route: usize) {
        let now = self.now;
        let kind = self.kind_of(endpoint);
        let (announced_wait_fraction, counts_rejected, noise) =
            (kind.announced_wait_fraction, kind.counts_rejected, kind.report_noise);
        let (endpoint, route) = (&mut self.endpoints[endpoint], &mut self.routes[route]);
        let fault_factor = endpoint.faults.factor(&self.fault_windows, FaultKind::Limit, now);
        let factor = fault_factor * route.capacity_fraction(now);
        let is_within_limit = route.limit.try_acquire(now, factor, counts_rejected);
        endpoint.make_report(now, noise, &mut route.limit, factor);
        if !is_within_limit {
            let is_announced = endpoint.draw_fraction() < announced_wait_fraction;
            let retry_after = is_announced.then(|| route.limit.time_until_available(now, factor));
            return self.respond(id, CallStatus::Busy, retry_after.filter(|span| *span > Span::ZERO));
        }
        match endpoint.admit(id) {
            Admission::Started => self.start_service(id),
            Admission::Queued => self.set_call_state(id, CallState::Queued),
            Admission::Rejected => self.respond(id, CallStatus::Busy, None),
        }
    }

    fn start_service(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.state = CallState::Running;
        let endpoint = &mut self.endpoints[call.endpoint];
        let destination = &self.fleet.destinations[endpoint.plan.destination];
        let item_cost = self.scenario.kinds[destination.kind].item_cost;
        let mut work_s = 0.0;
        for (n, item) in call.items.iter().enumerate() {
            let cost = if n == 0 {
                1.0
            } else {
                item_cost.min + (item_cost.max - item_cost.min) * endpoint.draw_fraction()
            };
            work_s += self.notifications[item.notification].work_s * cost;
        }
        // The service times of attempts for one notification vary by `attempt_cv`.
        let first = call.items.first();
        let topic = first.map_or(0, |item| self.notifications[item.notification].submission.topic);
        let work_s =
            endpoint.draw_service_time(work_s / destination.speed, self.fleet.topics[topic].attempt_cv);
        let fault_factor = endpoint.faults.factor(&self.fault_windows, FaultKind::Slow, now);
        let slowdown = fault_factor / self.routes[call.route].capacity_fraction(now);
        let start = endpoint.faults.resumes_at(&self.fault_windows, now).unwrap_or(now);
        let end = start + Span::from_secs_f64(work_s * slowdown);
        self.queue.schedule(end, SimulationEvent::ServiceFinished(id));
    }

    pub(super) fn handle_service_finished(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let (route, breaks_after_service) = (call.route, call.breaks_after_service);
        let endpoint = &mut self.endpoints[call.endpoint];
        if let Some(at) = endpoint.faults.resumes_at(&self.fault_windows, now) {
            return self.queue.schedule(at, SimulationEvent::ServiceFinished(id));
        }
        let is_silent = self.routes[route].is_overloaded()
            || endpoint.faults.is_active(&self.fault_windows, FaultKind::Silent, now);
        let is_error = endpoint.draw_fraction() < endpoint.plan.error_rate;
        if let Some(next) = endpoint.release() {
            self.start_service(next);
        }
        if is_silent {
            return self.set_call_state(id, CallState::Done);
        }
        if !is_error {
            self.record_executions(id);
        }
        let status = if is_error { CallStatus::Error } else { CallStatus::Delivered };
        self.respond(id, if breaks_after_service { CallStatus::Reset } else { status }, None);
    }

    /// Records the execution of all notifications of a call.
    fn record_executions(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let destination = self.endpoints[call.endpoint].plan.destination;
        let executed: Vec<(usize, u64)> =
            call.items.iter().map(|item| (item.notification, item.notification_id)).collect();
        for (notification, notification_id) in executed {
            self.record_execution(notification, notification_id, destination);
        }
    }

    fn record_execution(&mut self, index: usize, notification_id: u64, destination: usize) {
        let notification = &mut self.notifications[index];
        let submission = notification.submission;
        let topic = &self.scenario.topics[submission.topic];
        self.rule_checker.record_effect(
            self.now,
            index,
            notification_id,
            topic.semantics == Semantics::NonIdempotent,
        );
        let is_in_time = self.now <= notification.valid_until;
        if !is_in_time || std::mem::replace(&mut notification.is_delivered, true) {
            self.recorder.metrics.pushes.wasted += 1;
            return;
        }
        // A delivery after the client has given up earns no benefit.
        if !notification.is_finished {
            let latency = self.now.since(submission.at);
            self.recorder.record_delivery(&submission, latency, benefit_fraction(topic, latency));
            self.add_to_series(destination, |series| &mut series.delivered, 1.0);
        }
    }

    /// Sends the response of an endpoint, or breaks the connection.
    fn respond(&mut self, id: CallId, status: CallStatus, retry_after: Option<Span>) {
        let Some(call) = self.calls.get(&id) else { return };
        let (is_awaited, at) = (call.is_awaited, self.now + call.one_way_delay);
        let has_report = self.kind_of(call.endpoint).has_load_reports && status != CallStatus::Reset;
        let rate_limit =
            if has_report { self.endpoints[call.endpoint].latest_report(self.now) } else { None };
        if is_awaited && !self.has_fault(call.endpoint, FaultKind::ResponseLoss) {
            self.schedule_response(id, at, Response { status, retry_after, rate_limit });
        }
        self.set_call_state(id, CallState::Done);
    }

    pub(super) fn schedule_response(&mut self, call: CallId, at: Time, response: Response) {
        self.queue.schedule(at, SimulationEvent::ResponseReceived { call, response });
    }
}
