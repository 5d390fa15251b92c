//! The components of a relay and the messages that they exchange.

use std::sync::Arc;

use crate::interface::{
    DestinationId, DestinationKind, EndpointEntry, EndpointId, EndpointListUpdate, Notification,
    NotificationId, PushOutcome,
};
use crate::time::{Span, Time};

/// The components, in the order in which their inboxes are emptied.
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
    /// A timer of the component has expired, or it has to look at its state again.
    TimerExpired,
    EndpointListUpdated(EndpointListUpdate),
    /// The list entry of an endpoint is new or has changed.
    EndpointChanged(EndpointEntry),
    Accepted(Notification),
    Withdrawn(NotificationId),
    FinalAnswerAcknowledged(NotificationId),
    /// A notification joins the queue of its key.
    KeyRequested {
        key: String,
        notification: NotificationId,
        destination: DestinationId,
    },
    /// The notification is the first of its key and may be pushed.
    KeyGranted(NotificationId),
    /// A notification leaves the queue of its key; `last_doubtful_end` is when a push of it last ended that may
    /// still be executing.
    KeyReleased {
        key: String,
        notification: NotificationId,
        last_doubtful_end: Option<Time>,
    },
    /// A destination has something to send.
    SlotRequested(DestinationId),
    /// A slot is free. The destination answers with [`Message::SlotDeclined`], or proposes a call, which passes
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
    /// A push ended. `is_first_of_call`: its call had no outcome before. Only the first outcome of a call counts for health
    /// and limits: all pushes of a call succeed or fail together.
    PushEnded {
        outcome: PushOutcome,
        is_first_of_call: bool,
    },
    /// A wait was reported apart from any outcome.
    RetryAfterReported(Span),
    /// Pushes not sent yet to endpoints of the destination are to be dropped.
    CancelUnsent,
    /// All slots are in use and others wait: overdue calls may be cancelled, non-idempotent pushes too if
    /// `includes_non_idempotent` (most slots are stuck).
    ShedLoad {
        includes_non_idempotent: bool,
    },
    /// The destination has recovered from an outage at `at`, or will have. `is_seen_by_all`: other relays may notice
    /// at the same moment.
    Recovered {
        at: Time,
        is_seen_by_all: bool,
    },
    /// Connections must not be idle for `max_idle`, at endpoints of one kind or of all kinds.
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
    /// It must have been sent within this time.
    pub(crate) send_within: Span,
}

/// The recent load of a destination.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentLoad {
    /// How many full calls would carry it.
    pub(crate) calls: f64,
    /// The period over which it was measured.
    pub(crate) period: Span,
}

/// Notifications that are to be pushed to an endpoint as one call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) destination: DestinationId,
    pub(crate) endpoint: EndpointId,
    pub(crate) pushes: Vec<PlannedPush>,
    /// The call is overdue when it has lasted this long.
    pub(crate) overdue_after: Span,
    /// The interval between this relay's calls after an outage, to the endpoint.
    pub(crate) endpoint_recovery_interval: Span,
    /// The same to the destination.
    pub(crate) destination_recovery_interval: Span,
    pub(crate) recent_load: RecentLoad,
    /// The listed rate limit in calls a second over all relays; zero if there is none.
    pub(crate) listed_rate_per_second: f64,
    /// The usual duration of such a call.
    pub(crate) expected_duration: Span,
    /// It must not use a connection that has been idle.
    pub(crate) needs_fresh_connection: bool,
}
