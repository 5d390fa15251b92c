//! Endpoints: draining, idle connections and health checks by call outcomes.

use super::tuning::{
    EJECTION_THRESHOLD, IDLE_LIMIT_FRACTION, IDLE_LIMIT_MEMORY, MAX_IDLE_EVIDENCE_AGE_FACTOR,
    MIN_IDLE_FACTOR, MIN_OUTAGE_FACTOR, TRIAL_DELAY_FACTOR,
};
use crate::interface::{CallStatus, Command, PushOutcome, RateLimitReport, Readiness};
use crate::message::{Call, Component, Message};
use crate::outbox::Outbox;
use crate::state::{Endpoint, IdleLimit};
use crate::time::{Span, Time};

impl Endpoint {
    pub(crate) fn handle(&mut self, message: Message, outbox: &mut Outbox) {
        match message {
            Message::EndpointChanged(entry) => self.entry = entry,
            Message::CallProposed(call) => self.handle_call_proposed(call, outbox),
            Message::CallSent(call) => {
                self.ejected_until = self.ejected_until.map(|_| self.next_trial_at(outbox));
                let timer = Component::Endpoint(call.endpoint.clone());
                outbox.set_timer(timer, outbox.now + call.overdue_after);
                self.record_call(&call, outbox.now);
            }
            Message::PushEnded { outcome, .. } => self.handle_push_ended(outcome, outbox),
            Message::IdleLimited { max_idle, .. } => {
                let known = self.max_idle(outbox.now);
                let max_idle = known.map_or(max_idle, |known| known.min(max_idle));
                self.idle_limit = Some(IdleLimit { max_idle, learned_at: outbox.now });
                outbox.commands.push(Command::CloseIdleConnections(self.entry.endpoint.clone()));
            }
            Message::RetryAfterReported(retry_after) => {
                let destination = self.entry.destination;
                let message = Message::RetryAfterReported(retry_after);
                outbox.send(Component::DestinationLimiter(destination), message);
                outbox.send(Component::Destination(destination), Message::CancelUnsent);
            }
            _ => self.eject_if_unhealthy(outbox),
        }
    }

    /// The listed rate limit in calls per second over all relays; zero if there is none.
    fn listed_rate_per_second(&self) -> f64 {
        if self.config.fleet.has_listed_rates { self.entry.rate_per_second } else { 0.0 }
    }

    fn handle_call_proposed(&mut self, mut call: Call, outbox: &mut Outbox) {
        call.listed_rate_per_second = self.listed_rate_per_second();
        self.recovery_interval = call.endpoint_recovery_interval;
        let until = self.accepts_calls_from(outbox.now);
        if until > outbox.now {
            let destination = Component::Destination(call.destination);
            return outbox.send(destination, Message::CallDeclined { until });
        }
        let idle = outbox.now.since(self.last_sent_at);
        call.needs_fresh_connection = self.max_idle(outbox.now).is_some_and(|max_idle| idle >= max_idle);
        outbox.send(Component::DestinationLimiter(call.destination), Message::CallProposed(call));
    }

    /// How long connections may be idle; `None` if no limit is known.
    fn max_idle(&self, now: Time) -> Option<Span> {
        let limit = self.idle_limit.filter(|limit| now.since(limit.learned_at) < IDLE_LIMIT_MEMORY)?;
        Some(limit.max_idle)
    }

    /// Returns the earliest time at which a call may be sent; never to an endpoint that is draining or was removed.
    fn accepts_calls_from(&self, now: Time) -> Time {
        let max_notifications = self.entry.kind.max_notifications_per_call;
        if self.entry.readiness != Readiness::Serving {
            Time::NEVER
        } else if self
            .calls
            .last()
            .is_some_and(|call| call.sent_at == now && call.notifications.len() < max_notifications)
        {
            // A second call in the same round would be merged into the first.
            now + Span::from_nanos(1)
        } else if let Some(next_trial_at) = self.ejected_until {
            // Wait for a call still in flight, which detects the recovery without using another slot.
            let delay_factor = if self.calls.is_empty() { 0.0 } else { TRIAL_DELAY_FACTOR };
            next_trial_at + self.config.rules.overload_duration.mul_f64(delay_factor)
        } else {
            now
        }
    }

    fn next_trial_at(&self, outbox: &mut Outbox) -> Time {
        let rules = &self.config.rules;
        let interval = self.recovery_interval.mul_f64(1.0 / rules.warm_up_initial_fraction);
        let interval = interval.max(rules.overload_duration);
        outbox.now + interval.mul_f64(0.75 + outbox.random_fraction() / 2.0)
    }

    fn handle_push_ended(&mut self, outcome: PushOutcome, outbox: &mut Outbox) {
        let is_in_call = |id| id == outcome.notification;
        let Some(index) =
            self.calls.iter().position(|call| call.notifications.iter().any(|id| is_in_call(*id)))
        else {
            return;
        };
        let call = &mut self.calls[index];
        call.notifications.retain(|id| !is_in_call(*id));
        let (destination, sent_at) = (call.destination, call.sent_at);
        let is_rarely_used = call.idle_before > self.config.limits.idle_timeout;
        let is_first_of_call = !std::mem::replace(&mut call.has_outcome, true);
        if call.notifications.is_empty() {
            self.calls.remove(index);
            outbox.send(Component::DestinationLimiter(destination), Message::CallEnded(destination));
            outbox.send(Component::Slots, Message::CallEnded(destination));
            // Idle connections must not use up the endpoint's connection limit: close them if connections are
            // scarce, or if this relay calls so rarely that the endpoint would close them first.
            if is_rarely_used || self.max_idle(outbox.now) == Some(Span::ZERO) {
                outbox.commands.push(Command::CloseIdleConnections(self.entry.endpoint.clone()));
            }
        }
        if is_first_of_call {
            // Calls whose connections are not established yet would otherwise be sent during the requested delay.
            if outcome.retry_after.is_some() {
                outbox.send(Component::Destination(destination), Message::CancelUnsent);
            }
            self.update_health(sent_at, outcome.status, outcome.rate_limit, outbox);
        }
        let message = |outcome| Message::PushEnded { outcome, is_first_of_call };
        outbox.send(Component::DestinationLimiter(destination), message(outcome.clone()));
        outbox.send(Component::Destination(destination), message(outcome));
    }

    /// Updates the endpoint's health from the outcome of a call.
    fn update_health(
        &mut self, sent_at: Time, status: CallStatus, rate_limit: Option<RateLimitReport>,
        outbox: &mut Outbox,
    ) {
        if status == CallStatus::Delivered {
            self.handle_delivery(sent_at, outbox);
        }
        if status == CallStatus::ConnectionLimitReached {
            self.handle_connection_shortage(outbox);
        }
        if self.indicates_outage(status, rate_limit, outbox.now) {
            self.consecutive_failures += 1;
        }
        if status == CallStatus::NoConnection {
            self.refused_since = self.refused_since.or(Some(outbox.now));
        }
        self.eject_if_unhealthy(outbox);
    }

    fn indicates_outage(&self, status: CallStatus, rate_limit: Option<RateLimitReport>, now: Time) -> bool {
        match status {
            CallStatus::Delivered | CallStatus::ConnectionLimitReached | CallStatus::Skipped => false,
            // A rejection by a rate limit shows that the endpoint is up.
            CallStatus::Busy => {
                let has_listed_rate = self.listed_rate_per_second() > 0.0;
                !rate_limit.map_or(has_listed_rate, RateLimitReport::is_nearly_exhausted)
            }
            // The endpoint counts as up while a call in flight is not overdue.
            CallStatus::NoConnection => self.calls.iter().all(|call| call.is_overdue(now)),
            CallStatus::Error | CallStatus::TimedOut | CallStatus::Reset | CallStatus::Cancelled => true,
        }
    }

    /// Handles the delivery of a call that was sent at `sent_at`.
    fn handle_delivery(&mut self, sent_at: Time, outbox: &mut Outbox) {
        let now = outbox.now;
        let min_outage = self.config.rules.overload_duration.mul_f64(MIN_OUTAGE_FACTOR);
        // From this relay's point of view, too short to be an outage: no slow start is needed.
        let is_brief = self.last_delivered_at.is_some_and(|at| now.since(at) < min_outage);
        let was_ejected = self.ejected_until.take().is_some();
        // A single connection refused some time ago is enough: with many relays, most see no more of an outage.
        let refused_since = self.refused_since.take();
        let was_unreachable = refused_since.is_some_and(|at| now.since(at) >= min_outage);
        if (was_ejected || was_unreachable) && !is_brief {
            outbox.commands.push(Command::Log(format!("{} is back", self.entry.endpoint.0)));
            let message = Message::Recovered { at: now, is_seen_by_all: was_ejected };
            outbox.send(Component::DestinationLimiter(self.entry.destination), message);
        }
        self.limit_idle_connections(sent_at, outbox);
        // An endpoint that refuses a connection shortly before a delivery is up but short of connections.
        if refused_since.is_some() && !was_unreachable && !was_ejected {
            self.handle_connection_shortage(outbox);
        }
        self.last_delivered_at = Some(now);
        self.consecutive_failures = if was_ejected { 0 } else { self.consecutive_failures.saturating_sub(1) };
    }

    /// Limits idle connections at all endpoints if connections break unnoticed while idle. The evidence is a call lost
    /// after an idle period while a call sent later is delivered.
    fn limit_idle_connections(&self, delivered_sent_at: Time, outbox: &mut Outbox) {
        let (now, overload_duration) = (outbox.now, self.config.rules.overload_duration);
        let min_idle = overload_duration.mul_f64(MIN_IDLE_FACTOR);
        let max_age = overload_duration.mul_f64(MAX_IDLE_EVIDENCE_AGE_FACTOR);
        let latest_lost = self.calls.iter().rfind(|call| {
            call.is_overdue(now) && call.sent_at < delivered_sent_at && call.idle_before >= min_idle
        });
        if let Some(lost) = latest_lost.filter(|call| now.since(call.sent_at) < max_age) {
            let max_idle = lost.idle_before.mul_f64(IDLE_LIMIT_FRACTION);
            outbox.send(Component::EndpointList, Message::IdleLimited { max_idle, kind: None });
        }
    }

    /// Leaves no connection idle at endpoints of this kind, because the idle connections of many relays would use up
    /// the endpoint's connection limit.
    fn handle_connection_shortage(&self, outbox: &mut Outbox) {
        if self.max_idle(outbox.now) != Some(Span::ZERO) {
            let kind = Some(self.entry.kind.clone());
            outbox.send(Component::EndpointList, Message::IdleLimited { max_idle: Span::ZERO, kind });
        }
    }

    /// Ejects the endpoint after enough failures or overdue calls. Overdue calls count before they time out, unless a
    /// delivery was recent.
    fn eject_if_unhealthy(&mut self, outbox: &mut Outbox) {
        let (now, overload_duration) = (outbox.now, self.config.rules.overload_duration);
        let mut overdue = self.calls.iter().filter(|call| call.is_overdue(now)).count();
        let recent_delivery = self.last_delivered_at.filter(|at| now.since(*at) < overload_duration);
        if let Some(delivered_at) = recent_delivery.filter(|_| overdue > 0) {
            let timer = Component::Endpoint(self.entry.endpoint.clone());
            outbox.set_timer(timer, delivered_at + overload_duration);
            overdue = 0;
        }
        if self.ejected_until.is_none() && self.consecutive_failures + overdue >= EJECTION_THRESHOLD {
            self.ejected_until = Some(self.next_trial_at(outbox));
            outbox.commands.push(Command::Log(format!("{} set aside", self.entry.endpoint.0)));
        }
    }
}
