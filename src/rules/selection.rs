//! Selects the notifications of the next call and their timeouts, and computes the interval between calls after an
//! outage.

use super::tuning::*;
use crate::interface::{DeduplicationScope, EndpointId, PossibleExecution, Semantics};
use crate::message::{Call, PlannedPush, RecentLoad};
use crate::state::{Destination, PendingNotification, ServingEndpoint, TopicAtEndpoint};
use crate::time::{Span, Time};

impl Destination {
    /// The interval between this relay's calls after an outage, by its recent load, to one of `share_count` equal
    /// shares of the destination's capacity.
    fn recovery_interval(&self, share_count: usize, now: Time) -> Span {
        let load =
            self.accepted_times.len() as f64 / (self.load_period(now).as_secs_f64() * share_count as f64);
        let rules = &self.config.rules;
        let relay_count = self.config.fleet.relay_count.max(1) as f64;
        let min_rate = MIN_RECOVERY_CALLS / (rules.overload_duration.as_secs_f64() * relay_count);
        let rate = (rules.overload_factor * load).max(min_rate / rules.warm_up_initial_fraction);
        Span::from_secs_f64(1.0 / rate)
    }

    /// The period that the recent load covers; shorter than the full memory for a destination seen only recently.
    fn load_period(&self, now: Time) -> Span {
        let rules = &self.config.rules;
        let age = now.since(self.first_seen_at.unwrap_or(now)) + rules.overload_duration;
        age.min(rules.warm_up_duration.mul_f64(LOAD_MEMORY_FACTOR))
    }

    /// Builds a call from these pushes.
    pub(super) fn plan_call(&self, endpoint: EndpointId, pushes: Vec<PlannedPush>, now: Time) -> Call {
        let accepted = self.accepted_times.len().max(1) as f64;
        Call {
            destination: self.id,
            endpoint,
            pushes,
            overdue_after: self.overdue_after(),
            endpoint_recovery_interval: self.recovery_interval(self.endpoints.len(), now),
            destination_recovery_interval: self.recovery_interval(1, now),
            recent_load: RecentLoad {
                calls: accepted / self.max_notifications_per_call as f64,
                period: self.load_period(now),
            },
            listed_rate_per_second: 0.0,
            expected_duration: self.latencies.median(),
            needs_fresh_connection: false,
        }
    }

    /// The latest time until which a notification waits for its call to fill up. Full calls are more efficient, because
    /// each call counts once against the rate limit and uses one slot.
    pub(super) fn batching_deadline(&self, pending: &PendingNotification) -> Time {
        let left = pending.notification.valid_until.since(pending.accepted_at);
        let latency = self.latencies.ninetieth_percentile().unwrap_or_default();
        let target = pending.notification.topic.latency_target.min(left);
        pending.accepted_at + (target - latency.mul_f64(BATCHING_RESERVE_FACTOR)).mul_f64(BATCHING_FRACTION)
    }

    /// Selects the pushes of the next call to an endpoint. Empty if nothing is ready, or if everything that is ready
    /// can still wait for the call to fill up.
    pub(super) fn select_pushes(&self, now: Time, endpoint: &ServingEndpoint) -> Vec<PlannedPush> {
        let mut ready = self.ready_for(now, endpoint);
        let is_full = ready.len() >= self.max_notifications_per_call;
        if !is_full && ready.iter().all(|pending| now < self.batching_deadline(pending)) {
            return Vec::new();
        }
        // Notifications that can still meet their latency target, and recovered ones, come first.
        ready.sort_by_key(|pending| {
            let expected = now.since(pending.accepted_at) + self.latencies.median();
            !pending.history.is_recovered && expected > pending.notification.topic.latency_target
        });
        self.fill_call(now, &ready)
    }

    /// The notifications that may go to an endpoint, in order of acceptance.
    fn ready_for(&self, now: Time, endpoint: &ServingEndpoint) -> Vec<&PendingNotification> {
        let has_untried = self.endpoints_tried < self.endpoints.len();
        let is_avoided = |pending: &PendingNotification| {
            pending.last_endpoint.as_ref() == Some(&endpoint.id)
                || self.is_failing_topic(pending, &endpoint.id, now)
        };
        let max_pushes = self.config.limits.max_pushes;
        let mut ready: Vec<_> = self.pending.iter().filter(|pending| pending.is_key_granted).collect();
        ready.retain(|pending| pending.can_run(now, Some(endpoint), max_pushes));
        ready.retain(|pending| !(has_untried && is_avoided(pending)));
        ready
    }

    /// Fills a call. A call must end by the earliest deadline in it, so a notification is added only if every push in
    /// the call still has its timeout or the 90th percentile of latency, whichever is shorter.
    fn fill_call(&self, now: Time, ready: &[&PendingNotification]) -> Vec<PlannedPush> {
        let assumed = self.config.rules.overload_duration.mul_f64(ASSUMED_LATENCY_FACTOR);
        let sufficient = self.latencies.ninetieth_percentile().unwrap_or(assumed);
        let (mut pushes, mut call_end, mut required) = (Vec::new(), Time::NEVER, Span::ZERO);
        for pending in ready {
            if pushes.len() >= self.max_notifications_per_call {
                break;
            }
            let first_ttl = call_end.min(pending.notification.valid_until);
            let timeout = self.push_timeout(now, pending);
            let required_by_all = required.max(timeout.min(sufficient));
            if pushes.is_empty() || now + required_by_all <= first_ttl {
                let send_by = pending.last_duplicate_at().unwrap_or(Time::NEVER);
                let send_within = send_by.since(now);
                pushes.push(PlannedPush { notification: pending.notification.id, timeout, send_within });
                (call_end, required) = (first_ttl, required_by_all);
            }
        }
        pushes.iter_mut().for_each(|push| push.timeout = push.timeout.min(call_end.since(now)));
        pushes
    }

    /// Whether an endpoint is avoided for the topic type of a notification, because pushes of that type failed or are
    /// overdue there. Each consecutive failure lengthens the avoidance.
    fn is_failing_topic(&self, pending: &PendingNotification, endpoint: &EndpointId, now: Time) -> bool {
        let topic = &pending.notification.topic.name;
        let key = TopicAtEndpoint { endpoint: endpoint.clone(), topic: topic.clone() };
        let failures = self.topic_failures.get(&key);
        let avoidance = |failures: u32| TOPIC_AVOIDANCE_PER_FAILURE.mul_f64(f64::from(failures));
        let is_overdue_there = |other: &PendingNotification| {
            other.last_endpoint.as_ref() == Some(endpoint)
                && other.notification.topic.name == *topic
                && other.in_flight.as_ref().is_some_and(|run| now.since(run.sent_at) > self.overdue_after())
        };
        failures.is_some_and(|failures| now.since(failures.last_at) < avoidance(failures.count))
            || self.pending.iter().any(is_overdue_there)
    }

    /// How long a call may last before it counts as overdue: well above the latency of deliveries, and longer after
    /// each call since the last delivery that was abandoned.
    pub(super) fn overdue_after(&self) -> Span {
        let cut_short = self.latencies.consecutive_censored();
        let latency = self.latencies.ninetieth_percentile();
        let min_factor = if latency.is_none() { UNKNOWN_LATENCY_OVERDUE_FACTOR } else { MIN_OVERDUE_FACTOR };
        let least = self.config.rules.overload_duration.mul_f64(min_factor);
        let growth = 2f64.powi(cut_short.min(8) as i32 / 2);
        latency.unwrap_or_default().mul_f64(OVERDUE_FACTOR).max(least).mul_f64(growth)
    }

    fn push_timeout(&self, now: Time, pending: &PendingNotification) -> Span {
        let left = pending.notification.valid_until.since(now);
        let pushes_left = if pending.is_retryable() {
            self.config.limits.max_pushes - pending.history.push_count
        } else {
            1
        };
        self.latencies.timeout(left, pushes_left)
    }
}

impl PendingNotification {
    /// Whether a push to `endpoint`, or to any endpoint if `None`, is allowed. Every push is checked here against its
    /// semantics, so that no notification is executed twice if they forbid it.
    pub(super) fn can_run(&self, now: Time, endpoint: Option<&ServingEndpoint>, max_pushes: u32) -> bool {
        let is_safe = match (&self.history.first_possible_execution, self.notification.topic.semantics) {
            (None, _) | (Some(_), Semantics::Idempotent) => true,
            (Some(_), Semantics::NonIdempotent) => false,
            (Some(PossibleExecution { zone, .. }), Semantics::Deduplicated { scope, .. }) => {
                let is_open = self.window_end().is_some_and(|end| now + DUPLICATE_ARRIVAL_MARGIN < end);
                let is_in_scope = scope == DeduplicationScope::All
                    || endpoint.is_none_or(|endpoint| endpoint.zone == *zone);
                is_open && is_in_scope
            }
        };
        is_safe && self.history.push_count < max_pushes && !self.is_finished && self.in_flight.is_none()
    }

    /// The end of the deduplication window; `None` if no push may have been executed or duplicates are not dropped.
    fn window_end(&self) -> Option<Time> {
        let run = self.history.first_possible_execution.as_ref()?;
        Some(run.sent_at + self.notification.topic.semantics.deduplication_window()?)
    }

    /// The latest time at which a duplicate may be sent; `None` if there is no deduplication window.
    pub(super) fn last_duplicate_at(&self) -> Option<Time> {
        self.window_end().map(|end| end - DUPLICATE_ARRIVAL_MARGIN)
    }
}
