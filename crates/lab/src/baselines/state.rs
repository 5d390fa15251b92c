//! The state of a baseline: notifications, keys, endpoints and retries.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use juniperwing::interface::{
    DestinationId, EndpointEntry, EndpointId, EndpointListUpdate, Notification, Readiness,
};
use juniperwing::time::{Span, Time};

/// The number of consecutive failures that open a circuit breaker.
const BREAKER_FAILURES: u32 = 5;
/// How long it stays open.
const BREAKER_OPEN_TIME: Span = Span::from_millis(5_000);
/// The retries that an accepted notification adds to the budget.
const RETRIES_PER_NOTIFICATION: f64 = 0.1;
/// The maximum of the retry budget.
const MAX_RETRY_BUDGET: f64 = 10.0;

/// A push that may have been executed.
#[derive(Clone)]
pub(super) struct PossibleExecution {
    pub(super) sent_at: Time,
    pub(super) zone: Arc<str>,
}

/// The latest push of a notification.
pub(super) struct LatestPush {
    pub(super) sent_at: Time,
    pub(super) endpoint: EndpointId,
    /// Whether the relay has cancelled it.
    pub(super) is_cancelled: bool,
}

/// A notification without final answer, or one that the next of its key still waits for.
pub(super) struct PendingNotification {
    pub(super) notification: Notification,
    /// The end of its backoff.
    pub(super) ready_at: Time,
    pub(super) push_count: u32,
    pub(super) first_possible_execution: Option<PossibleExecution>,
    /// The call with its push in flight.
    pub(super) call: Option<u64>,
    pub(super) latest_push: LatestPush,
    pub(super) has_final_answer: bool,
}

impl PendingNotification {
    pub(super) fn new(now: Time, notification: Notification) -> PendingNotification {
        let history = &notification.history;
        let first_possible_execution = history
            .first_possible_execution
            .clone()
            .map(|run| PossibleExecution { sent_at: run.sent_at, zone: run.zone });
        PendingNotification {
            ready_at: now,
            push_count: history.push_count,
            first_possible_execution,
            call: None,
            latest_push: LatestPush { sent_at: now, endpoint: EndpointId::default(), is_cancelled: false },
            has_final_answer: history.has_final_answer,
            notification,
        }
    }

    /// The key by which it is ordered.
    pub(super) fn ordering_key(&self) -> Option<&String> {
        self.notification.key.as_ref().filter(|_| self.notification.topic.is_ordered)
    }
}

/// The notifications of one key.
#[derive(Default)]
pub(super) struct KeyQueue {
    /// In the order of acceptance.
    pub(super) waiting: VecDeque<u64>,
    /// The time until which a push of the key may still be executing.
    pub(super) cooldown_until: Time,
}

impl KeyQueue {
    pub(super) fn extend_cooldown(&mut self, until: Time) {
        self.cooldown_until = self.cooldown_until.max(until);
    }
}

/// A circuit breaker of one endpoint.
#[derive(Default)]
pub(super) struct CircuitBreaker {
    failures: u32,
    open_until: Time,
}

impl CircuitBreaker {
    pub(super) fn record(&mut self, now: Time, is_success: bool) {
        if is_success {
            self.failures = 0;
            return;
        }
        self.failures += 1;
        if self.failures >= BREAKER_FAILURES {
            // Half-open after the open time: one further failure opens it again.
            (self.failures, self.open_until) = (BREAKER_FAILURES - 1, now + BREAKER_OPEN_TIME);
        }
    }

    pub(super) fn is_open(&self, now: Time) -> bool {
        now < self.open_until
    }
}

/// The budget of retries, to which each accepted notification adds.
pub(super) struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { available: MAX_RETRY_BUDGET }
    }
}

impl RetryBudget {
    pub(super) fn earn(&mut self) {
        self.available = (self.available + RETRIES_PER_NOTIFICATION).min(MAX_RETRY_BUDGET);
    }

    pub(super) fn spend(&mut self) {
        self.available -= 1.0;
    }

    pub(super) fn is_exhausted(&self) -> bool {
        self.available < 1.0
    }
}

/// The endpoint list as a relay knows it.
#[derive(Default)]
pub(super) struct EndpointList {
    pub(super) entries: BTreeMap<EndpointId, EndpointEntry>,
    /// Endpoints in service, by destination.
    pub(super) serving: BTreeMap<DestinationId, Vec<EndpointId>>,
}

impl EndpointList {
    /// Applies an update. Returns whether the relay must subscribe again instead.
    pub(super) fn apply(&mut self, update: EndpointListUpdate) -> bool {
        let entries = match update {
            EndpointListUpdate::Failed => return true,
            EndpointListUpdate::Changes(entries) => entries,
            EndpointListUpdate::Snapshot(entries) | EndpointListUpdate::CachedSnapshot(entries) => {
                self.entries.clear();
                entries
            }
        };
        for entry in entries {
            if entry.readiness == Readiness::Deleted {
                self.entries.remove(&entry.endpoint);
            } else {
                self.entries.insert(entry.endpoint.clone(), entry);
            }
        }
        self.serving.clear();
        for entry in self.entries.values().filter(|entry| entry.readiness == Readiness::Serving) {
            self.serving.entry(entry.destination).or_default().push(entry.endpoint.clone());
        }
        false
    }
}
