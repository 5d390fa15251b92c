//! The components of a relay and the messages they exchange.

use std::sync::Arc;

use crate::interface::{
    DestinationId, DestinationKind, EndpointEntry, EndpointId, EndpointListUpdate, Notification,
    NotificationId, PushOutcome,
};
use crate::time::{Span, Time};

/// The components, in the order in which their inboxes are processed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Component {
    EndpointList,
    KeyQueues,
    Endpoint(EndpointId),
    DestinationLimiter(DestinationId),
    Destination(DestinationId),
    Slots,
}

/// A message from one component, or the front end, to another.
#[derive(Debug)]
pub(crate) enum Message {
    /// A timer of the component has expired, or the component must re-evaluate its state.
    TimerExpired,
    EndpointListUpdated(EndpointListUpdate),
    /// The list entry of an endpoint is new or has changed.
    EndpointChanged(EndpointEntry),
    Accepted(Notification),
    Withdrawn(NotificationId),
    FinalAnswerAcknowledged(NotificationId),
    /// A notification is appended to the queue of its key.
    KeyRequested {
        key: String,
        notification: NotificationId,
        destination: DestinationId,
    },
    /// The notification is the first of its key and may be pushed.
    KeyGranted(NotificationId),
    /// A notification is removed from the queue of its key. `last_uncertain_end` is the latest time at which one of
    /// its pushes ended while possibly still executing.
    KeyReleased {
        key: String,
        notification: NotificationId,
        last_uncertain_end: Option<Time>,
    },
    /// A destination has something to send.
    SlotRequested(DestinationId),
    /// A slot is free. The destination responds with [`Message::SlotDeclined`], or proposes a call, which is forwarded
    /// from component to component until it is sent or declined.
    SlotOffered,
    /// The destination has nothing to send before `until`.
    SlotDeclined {
        destination: DestinationId,
        until: Time,
    },
    /// There are no slots before `until`.
    SlotsUnavailable {
        until: Time,
    },
    CallProposed(Call),
    /// The proposed call may not be sent before `until`.
    CallDeclined {
        until: Time,
    },
    CallSent(Call),
    /// All outcomes of a call are known.
    CallEnded(DestinationId),
    /// A push ended. `is_first_of_call` is set if its call had no outcome before. Only the first outcome of a call
    /// counts for health and limits, because all pushes of a call succeed or fail together.
    PushEnded {
        outcome: PushOutcome,
        is_first_of_call: bool,
    },
    /// An endpoint requested a delay outside the outcome of a push.
    RetryAfterReported(Span),
    /// Cancel the pushes to the destination that have not been sent yet.
    CancelUnsent,
    /// All slots are in use while destinations wait for one: overdue calls may be cancelled, and non-idempotent pushes
    /// too if `includes_non_idempotent` is set, which means that most slots are stuck.
    ShedLoad {
        includes_non_idempotent: bool,
    },
    /// The destination recovers from an outage at `at`, which may be in the future. `is_seen_by_all` is set if other
    /// relays may observe the recovery at the same time.
    Recovered {
        at: Time,
        is_seen_by_all: bool,
    },
    /// Connections must not stay idle for `max_idle` or longer; applies to endpoints of `kind`, or to all if `None`.
    IdleLimited {
        max_idle: Span,
        kind: Option<Arc<DestinationKind>>,
    },
}

/// A notification in a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedPush {
    pub(crate) notification: NotificationId,
    pub(crate) timeout: Span,
    /// The push must be sent within this time or not at all.
    pub(crate) send_within: Span,
}

/// The recent load of a destination.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentLoad {
    /// The number of full calls needed to deliver it.
    pub(crate) calls: f64,
    /// The period over which it was measured.
    pub(crate) period: Span,
}

/// Notifications to push to an endpoint in one call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) destination: DestinationId,
    pub(crate) endpoint: EndpointId,
    pub(crate) pushes: Vec<PlannedPush>,
    /// How long the call may last before it counts as overdue.
    pub(crate) overdue_after: Span,
    /// The interval between this relay's calls to the endpoint after an outage.
    pub(crate) endpoint_recovery_interval: Span,
    /// The interval between this relay's calls to the destination after an outage.
    pub(crate) destination_recovery_interval: Span,
    pub(crate) recent_load: RecentLoad,
    /// The listed rate limit in calls a second over all relays; zero if there is none.
    pub(crate) listed_rate_per_second: f64,
    /// The median duration of calls to the destination; zero if unknown.
    pub(crate) expected_duration: Span,
    /// Whether idle connections must be closed before the call is sent.
    pub(crate) needs_fresh_connection: bool,
}
