//! The health of an endpoint and the calls in flight to it.

use std::sync::Arc;

use crate::interface::{DestinationId, EndpointEntry, NotificationId, Readiness, RelayConfig};
use crate::message::Call;
use crate::time::{Span, Time};

/// A call with at least one outcome missing.
pub(crate) struct InFlightCall {
    pub(crate) destination: DestinationId,
    pub(crate) sent_at: Time,
    /// The time since the previous call to the endpoint.
    pub(crate) idle_before: Span,
    pub(crate) overdue_at: Time,
    /// The notifications without an outcome.
    pub(crate) notifications: Vec<NotificationId>,
    pub(crate) has_outcome: bool,
}

impl InFlightCall {
    /// Whether it is overdue and has no outcome.
    pub(crate) fn is_overdue(&self, now: Time) -> bool {
        !self.has_outcome && self.overdue_at <= now
    }
}

/// A limit on how long connections may be idle.
#[derive(Clone, Copy)]
pub(crate) struct IdleLimit {
    pub(crate) max_idle: Span,
    pub(crate) learned_at: Time,
}

/// An endpoint.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) config: Arc<RelayConfig>,
    pub(crate) entry: EndpointEntry,
    /// In order of sending.
    pub(crate) calls: Vec<InFlightCall>,
    pub(crate) last_sent_at: Time,
    pub(crate) last_delivered_at: Option<Time>,
    /// Failures minus deliveries since the last recovery from an ejection; not below zero.
    pub(crate) consecutive_failures: usize,
    /// The time of the first refused connection since the last delivery.
    pub(crate) refused_since: Option<Time>,
    pub(crate) idle_limit: Option<IdleLimit>,
    /// The earliest time for the next trial call; `None` if the endpoint is not ejected.
    pub(crate) ejected_until: Option<Time>,
    /// The interval between this relay's calls during an outage if the endpoint were at full capacity.
    pub(crate) recovery_interval: Span,
}

impl Endpoint {
    pub(crate) fn new(config: Arc<RelayConfig>) -> Self {
        Endpoint { config, ..Endpoint::default() }
    }

    /// Records that a call was sent.
    pub(crate) fn record_call(&mut self, call: &Call, now: Time) {
        let idle_before = now.since(std::mem::replace(&mut self.last_sent_at, now));
        self.calls.push(InFlightCall {
            destination: call.destination,
            sent_at: now,
            idle_before,
            overdue_at: now + call.overdue_after,
            notifications: call.pushes.iter().map(|push| push.notification).collect(),
            has_outcome: false,
        });
    }

    /// Whether it was removed from the list and has no call in flight.
    pub(crate) fn is_removable(&self) -> bool {
        self.entry.readiness == Readiness::Deleted && self.calls.is_empty()
    }
}
