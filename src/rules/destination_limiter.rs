//! Limits calls to a destination: retry-after delays, rate limits, backoff, and slow start after an outage.

use super::backoff::backoff;
use super::tuning::*;
use crate::interface::{CallStatus, Command, PushOutcome, RateLimitReport};
use crate::message::{Call, Component, Message, RecentLoad};
use crate::outbox::Outbox;
use crate::state::{DestinationLimiter, Recovery};
use crate::time::{Span, Time};

impl RateLimitReport {
    /// Whether there is a limit and less than [`NEARLY_EXHAUSTED_FRACTION`] of it remains.
    pub(super) fn is_nearly_exhausted(self) -> bool {
        self.rate_per_second > 0.0 && self.remaining_fraction < NEARLY_EXHAUSTED_FRACTION
    }
}

impl DestinationLimiter {
    pub(crate) fn handle(&mut self, message: Message, outbox: &mut Outbox) {
        match message {
            Message::CallProposed(call) => self.handle_call_proposed(call, outbox),
            Message::RetryAfterReported(retry_after) => self.extend_retry_after(retry_after, outbox.now),
            Message::CallEnded(_) => self.calls_in_flight = self.calls_in_flight.saturating_sub(1),
            Message::Recovered { at, is_seen_by_all } => self.start_recovery(at, is_seen_by_all, outbox),
            Message::PushEnded { outcome, is_first_of_call } => {
                self.handle_push_ended(&outcome, is_first_of_call, outbox);
            }
            _ => {}
        }
    }

    fn handle_call_proposed(&mut self, call: Call, outbox: &mut Outbox) {
        self.recovery_interval = call.destination_recovery_interval;
        self.recent_load = call.recent_load;
        if !self.is_rate_reported {
            self.rate_per_second = call.listed_rate_per_second;
        }
        let until = self.accepts_calls_from(outbox.now, call.pushes.len());
        if until > outbox.now {
            let destination = Component::Destination(call.destination);
            return outbox.send(destination, Message::CallDeclined { until });
        }
        self.calls_in_flight += 1;
        self.last_sent_at = outbox.now;
        Self::send_call(call, outbox);
    }

    fn send_call(call: Call, outbox: &mut Outbox) {
        if call.needs_fresh_connection {
            outbox.commands.push(Command::CloseIdleConnections(call.endpoint.clone()));
        }
        outbox.commands.extend(call.pushes.iter().map(|push| Command::Push {
            notification: push.notification,
            endpoint: call.endpoint.clone(),
            timeout: push.timeout,
            send_within: push.send_within,
        }));
        outbox.send(Component::Endpoint(call.endpoint.clone()), Message::CallSent(call.clone()));
        outbox.send(Component::Slots, Message::CallSent(call.clone()));
        outbox.send(Component::Destination(call.destination), Message::CallSent(call));
    }

    fn extend_retry_after(&mut self, retry_after: Span, now: Time) {
        self.retry_after_until = self.retry_after_until.max(now + retry_after);
    }

    /// Starts a slow start at `at`. If other relays may do so at the same time, the first call is delayed randomly.
    fn start_recovery(&mut self, at: Time, is_seen_by_all: bool, outbox: &mut Outbox) {
        let max_delay = if is_seen_by_all {
            self.equal_share_interval().min(self.config.rules.warm_up_duration)
        } else {
            Span::ZERO
        };
        let first_call_at = at + max_delay.mul_f64(outbox.random_fraction());
        self.recovery = Some(Recovery { since: at, first_call_at, deliveries: 0 });
    }

    fn handle_push_ended(&mut self, outcome: &PushOutcome, is_first_of_call: bool, outbox: &mut Outbox) {
        if let Some(retry_after) = outcome.retry_after {
            self.extend_retry_after(retry_after, outbox.now);
            // All relays may have received this delay, and would otherwise all resume at full rate when it ends.
            let rate = outcome.rate_limit.map_or(self.rate_per_second, |limit| limit.rate_per_second);
            let min_outage = self.config.rules.overload_duration.mul_f64(MIN_OUTAGE_FACTOR);
            let is_rate_limit_delay = rate > 0.0 && retry_after < min_outage;
            if is_first_of_call && !is_rate_limit_delay {
                self.start_recovery(self.retry_after_until, true, outbox);
            }
        }
        if is_first_of_call {
            self.adjust_limits(outcome, outbox);
        }
    }

    /// The interval between this relay's calls right after an outage, if all relays send an equal share.
    fn equal_share_interval(&self) -> Span {
        self.recovery_interval.mul_f64(1.0 / self.config.rules.warm_up_initial_fraction)
    }

    /// The time that `count` calls take at the rate limit; zero if there is no limit.
    fn time_for_calls(&self, count: f64) -> Span {
        if self.rate_per_second > 0.0 {
            Span::from_secs_f64(count / self.rate_per_second)
        } else {
            Span::ZERO
        }
    }

    /// Returns the earliest time at which a call may be sent: not during a retry-after delay or a backoff, within the
    /// rate limit, and after an outage within this relay's share of the destination's capacity.
    fn accepts_calls_from(&self, now: Time, push_count: usize) -> Time {
        if self.calls_in_flight as f64 >= self.concurrency_window {
            return Time::NEVER;
        }
        let rules = &self.config.rules;
        let paced = self.last_sent_at + self.time_for_calls(1.0).max(self.pacing_interval);
        let from = paced.max(self.retry_after_until).max(self.backoff_until);
        let is_warming_up = |recovery: &Recovery| now.since(recovery.since) < rules.warm_up_duration;
        let Some(recovery) = self.recovery.filter(is_warming_up) else { return from };
        let progress = now.since(recovery.since).as_secs_f64() / rules.warm_up_duration.as_secs_f64();
        let initial = rules.warm_up_initial_fraction;
        let capacity_fraction = initial + (1.0 - initial) * progress;
        let slow_start = rules.overload_duration.mul_f64(0.5f64.powi(recovery.deliveries));
        let interval = self.recovery_interval.mul_f64(1.0 / capacity_fraction).max(slow_start);
        let weight = 1.0 + FURTHER_NOTIFICATION_WEIGHT * push_count.saturating_sub(1) as f64;
        from.max(recovery.first_call_at).max(self.last_sent_at + interval.mul_f64(weight))
    }

    /// Adjusts pacing, backoff and the concurrency window to the outcome of a call.
    fn adjust_limits(&mut self, outcome: &PushOutcome, outbox: &mut Outbox) {
        let (status, rate_limit) = (outcome.status, outcome.rate_limit);
        if let Some(limit) = rate_limit {
            (self.rate_per_second, self.is_rate_reported) = (limit.rate_per_second, true);
        }
        let retry_after = outcome.retry_after.unwrap_or_default();
        let is_above_listed_rate = self.rate_per_second > 0.0 && retry_after > Span::ZERO;
        let is_above_limit = rate_limit.map_or(is_above_listed_rate, RateLimitReport::is_nearly_exhausted);
        let is_backing_off = outbox.now < self.backoff_until;
        match status {
            CallStatus::Busy if is_above_limit && !is_backing_off => {
                self.handle_limit_exceeded(rate_limit.is_some(), retry_after, outbox);
            }
            CallStatus::Delivered => self.handle_delivery(rate_limit),
            CallStatus::Busy | CallStatus::NoConnection | CallStatus::ConnectionLimitReached
                if !is_backing_off =>
            {
                self.handle_refusal(outcome, outbox);
            }
            CallStatus::TimedOut | CallStatus::Reset => self.shrink_window(WINDOW_LOSS_FACTOR),
            _ => {}
        }
    }

    fn shrink_window(&mut self, factor: f64) {
        self.concurrency_window = (self.concurrency_window * factor).max(1.0);
    }

    /// Lengthens the pacing interval. A backoff alone is not enough, because rejected calls count against the rate
    /// limit too.
    fn handle_limit_exceeded(&mut self, is_limit_reported: bool, retry_after: Span, outbox: &mut Outbox) {
        let equal_share = self.time_for_calls(self.config.fleet.relay_count as f64);
        let (own_share, growth) = if is_limit_reported {
            let RecentLoad { calls, period } = self.recent_load;
            ((period + equal_share).mul_f64(1.0 / calls).min(equal_share), PACING_GROWTH)
        } else {
            // Pace by the requested delay: all relays resume when it ends and would otherwise exhaust the limit again.
            let wait = retry_after.mul_f64(PACING_WAIT_FACTOR);
            (self.time_for_calls(MIN_BACKOFF_CALLS).max(wait), PACING_GROWTH_WITHOUT_LIMIT)
        };
        let longest = equal_share.mul_f64(MAX_PACING_FACTOR).max(own_share);
        self.pacing_interval = self.pacing_interval.mul_f64(growth).max(own_share).min(longest);
        let jitter = 0.5 + outbox.random_fraction();
        self.backoff_until = outbox.now + self.pacing_interval.mul_f64(jitter);
        if !is_limit_reported {
            self.back_off(CallStatus::Busy, 2, outbox);
        }
    }

    fn handle_delivery(&mut self, rate_limit: Option<RateLimitReport>) {
        if self.rate_per_second > 0.0 {
            let remaining = rate_limit.map_or(ASSUMED_REMAINING_FRACTION, |limit| limit.remaining_fraction);
            let change = 2f64.powf(TARGET_REMAINING_FRACTION - remaining);
            self.pacing_interval = self.pacing_interval.mul_f64(change);
        }
        self.consecutive_refusals = 0;
        self.concurrency_window += 1.0 / self.concurrency_window;
        if let Some(recovery) = &mut self.recovery {
            recovery.deliveries += 1;
        }
    }

    fn handle_refusal(&mut self, outcome: &PushOutcome, outbox: &mut Outbox) {
        let is_likely_limit = if outcome.status == CallStatus::Busy {
            outcome.rate_limit.is_some_and(|limit| limit.rate_per_second > 0.0)
        } else {
            // An endpoint at its connection limit refuses immediately; an unreachable one does not.
            outcome.elapsed < self.config.rules.overload_duration.mul_f64(IMMEDIATE_REFUSAL_FACTOR)
        };
        self.back_off(outcome.status, if is_likely_limit { 1 } else { 2 }, outbox);
        self.shrink_window(WINDOW_REFUSAL_FACTOR);
    }

    /// Backs off after a refusal; `growth` multiplies the number of consecutive refusals. The backoff keeps growing
    /// because a relay with little traffic cannot distinguish a limit from an outage, after which the calls of all
    /// relays add up.
    fn back_off(&mut self, status: CallStatus, growth: i32, outbox: &mut Outbox) {
        let first = MIN_BACKOFF.max(self.time_for_calls(MIN_BACKOFF_CALLS));
        let longest = match status {
            CallStatus::ConnectionLimitReached => Span::ZERO,
            // No limit was reported, so keeping to the equal share loses nothing.
            CallStatus::NoConnection => self.equal_share_interval(),
            _ => self.equal_share_interval().min(self.config.rules.warm_up_duration),
        };
        let delay = backoff(first, growth * self.consecutive_refusals, longest, outbox);
        self.backoff_until = self.backoff_until.max(outbox.now + delay);
        self.consecutive_refusals += 1;
    }
}
