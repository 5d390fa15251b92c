//! The pending notifications of a destination, its endpoints and its latencies.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use juniperwing_restart::LatencyModel;

use crate::interface::{
    DestinationId, EndpointEntry, EndpointId, Notification, NotificationHistory, NotificationId,
    PossibleExecution, Readiness, RelayConfig,
};
use crate::message::Call;
use crate::time::Time;

/// A notification without a final answer, or with one that its client has not acknowledged.
#[derive(Debug, Default)]
pub(crate) struct PendingNotification {
    pub(crate) notification: Notification,
    /// Its history, including before a restart. While `has_final_answer` is set, the next notification of its key waits
    /// for the acknowledgement.
    pub(crate) history: NotificationHistory,
    pub(crate) accepted_at: Time,
    /// Whether it may be pushed as far as ordering is concerned: it is unordered, or its key was granted to it.
    pub(crate) is_key_granted: bool,
    /// The push in flight.
    pub(crate) in_flight: Option<PossibleExecution>,
    /// The endpoint of the latest push.
    pub(crate) last_endpoint: Option<EndpointId>,
    /// Whether no further push is needed.
    pub(crate) is_finished: bool,
}

impl PendingNotification {
    /// Whether its semantics ever allow another push after one that may have been executed.
    pub(crate) fn is_retryable(&self) -> bool {
        self.notification.topic.semantics.is_retryable()
    }

    /// Its key, if its topic type is ordered.
    pub(crate) fn ordering_key(&self) -> Option<String> {
        self.notification.key.clone().filter(|_| self.notification.topic.is_ordered)
    }
}

/// An endpoint that accepts calls.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServingEndpoint {
    pub(crate) id: EndpointId,
    pub(crate) zone: Arc<str>,
}

/// A topic type at one endpoint.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TopicAtEndpoint {
    pub(crate) endpoint: EndpointId,
    /// The name of the topic type.
    pub(crate) topic: String,
}

/// Consecutive failures of a topic type; only pushes that may have been executed count.
#[derive(Clone, Copy, Default)]
pub(crate) struct TopicFailures {
    pub(crate) count: u32,
    pub(crate) last_at: Time,
}

/// A destination.
#[derive(Default)]
pub(crate) struct Destination {
    pub(crate) config: Arc<RelayConfig>,
    pub(crate) id: DestinationId,
    pub(crate) max_notifications_per_call: usize,
    /// Sorted by id.
    pub(crate) endpoints: Vec<ServingEndpoint>,
    /// The index at which the rotation over the endpoints starts.
    pub(crate) rotation_start: usize,
    /// The number of endpoints tried for the offered slot so far.
    pub(crate) endpoints_tried: usize,
    /// The earliest time at which an endpoint that declined accepts a call; [`Time::NEVER`] if unknown.
    pub(crate) slot_usable_from: Time,
    /// In order of acceptance.
    pub(crate) pending: Vec<PendingNotification>,
    /// The times of recently accepted notifications.
    pub(crate) accepted_times: VecDeque<Time>,
    /// The time of the first message, from which on accepted notifications are recorded.
    pub(crate) first_seen_at: Option<Time>,
    pub(crate) latencies: LatencyModel,
    pub(crate) topic_failures: BTreeMap<TopicAtEndpoint, TopicFailures>,
}

impl Destination {
    pub(crate) fn new(id: DestinationId, config: Arc<RelayConfig>) -> Self {
        Destination { id, config, ..Destination::default() }
    }

    /// Applies a new or changed list entry of one of its endpoints.
    pub(crate) fn update_endpoint(&mut self, entry: EndpointEntry) {
        self.max_notifications_per_call = entry.kind.max_notifications_per_call.max(1);
        self.endpoints.retain(|endpoint| endpoint.id != entry.endpoint);
        if entry.readiness == Readiness::Serving {
            self.endpoints.push(ServingEndpoint { id: entry.endpoint, zone: entry.zone });
            self.endpoints.sort();
        }
        self.topic_failures
            .retain(|key, _| self.endpoints.iter().any(|endpoint| endpoint.id == key.endpoint));
    }

    /// Adds a notification that was accepted at `now`.
    pub(crate) fn add_pending(&mut self, notification: Notification, now: Time, is_key_granted: bool) {
        self.pending.push(PendingNotification {
            history: notification.history.clone(),
            is_finished: notification.history.has_final_answer,
            notification,
            accepted_at: now,
            is_key_granted,
            ..PendingNotification::default()
        });
        self.accepted_times.push_back(now);
    }

    /// Records that a call was sent. Returns `false` and records nothing if its endpoint no longer accepts calls.
    pub(crate) fn record_call(&mut self, call: &Call, now: Time) -> bool {
        let Some(index) = self.endpoints.iter().position(|endpoint| endpoint.id == call.endpoint) else {
            return false;
        };
        self.rotation_start = index + 1;
        let is_in_call = |id: NotificationId| call.pushes.iter().any(|push| push.notification == id);
        let mut call_end = Time::NEVER;
        for pending in self.pending.iter_mut().filter(|pending| is_in_call(pending.notification.id)) {
            pending.history.push_count += 1;
            pending.in_flight =
                Some(PossibleExecution { sent_at: now, zone: self.endpoints[index].zone.clone() });
            pending.last_endpoint = Some(call.endpoint.clone());
            call_end = call_end.min(pending.notification.valid_until);
        }
        self.latencies.record_attempt(now, call_end.since(now));
        true
    }

    pub(crate) fn is_pending(&self, id: NotificationId) -> bool {
        self.pending.iter().any(|pending| pending.notification.id == id)
    }

    /// Applies `change` to the pending notification with this id, if there is one.
    pub(crate) fn update_pending(
        &mut self, id: NotificationId, change: impl FnMut(&mut PendingNotification),
    ) {
        self.pending.iter_mut().filter(|pending| pending.notification.id == id).for_each(change);
    }
}
