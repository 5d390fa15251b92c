//! Events that a front end reports to a relay.

use super::{EndpointId, EndpointListUpdate, Notification, NotificationId, RelayConfig};
use crate::time::Span;

/// How a push or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStatus {
    /// Delivered.
    Delivered,
    /// The destination responded with an error; the push may have been executed.
    Error,
    /// Rejected before the request was read; it was never executed.
    Busy,
    /// No response in time; the push may have been executed or may still be executing.
    TimedOut,
    /// No connection could be opened; it was never executed.
    NoConnection,
    /// Rejected by an endpoint that is up but has too many connections; it was never executed.
    ConnectionLimitReached,
    /// The connection was reset; the push may have been executed or may still be executing.
    Reset,
    /// Cancelled; the push may have been executed or may still be executing.
    Cancelled,
    /// Never sent.
    Skipped,
}

impl CallStatus {
    /// Whether a push with this status may have been executed.
    pub const fn may_have_executed(self) -> bool {
        !matches!(
            self,
            CallStatus::Busy
                | CallStatus::NoConnection
                | CallStatus::ConnectionLimitReached
                | CallStatus::Skipped
        )
    }

    /// Whether a push with this status may still be executing.
    pub const fn may_be_executing(self) -> bool {
        matches!(self, CallStatus::TimedOut | CallStatus::Reset | CallStatus::Cancelled)
    }
}

/// A destination's report of its rate limit.
#[derive(Clone, Copy, Debug)]
pub struct RateLimitReport {
    /// The remaining fraction of the limit, 0 to 1.
    pub remaining_fraction: f64,
    /// The limit in calls per second over all relays; zero if there is none.
    pub rate_per_second: f64,
}

/// How a push ended.
#[derive(Clone, Debug)]
pub struct PushOutcome {
    /// The notification that was pushed.
    pub notification: NotificationId,
    /// The zero-based index of the push among the notification's pushes.
    pub push_index: u32,
    /// The endpoint it was pushed to.
    pub endpoint: EndpointId,
    /// How the push ended.
    pub status: CallStatus,
    /// The time since the push was sent.
    pub elapsed: Span,
    /// Whether the notification has a final answer, from this push or an earlier one.
    pub has_final_answer: bool,
    /// The delay before the next call that the destination requested; possible with any status.
    pub retry_after: Option<Span>,
    /// The destination's report of its rate limit.
    pub rate_limit: Option<RateLimitReport>,
}

/// An event for a relay.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list arrived.
    EndpointListUpdated(EndpointListUpdate),
    /// A notification was accepted; it must receive exactly one final answer.
    Accepted(Notification),
    /// A push ended.
    PushEnded(PushOutcome),
    /// A response that arrived after its call had ended requests a delay before the next call.
    RetryAfterReported {
        /// The endpoint.
        endpoint: EndpointId,
        /// The requested delay.
        retry_after: Span,
    },
    /// The client withdrew the notification, which no longer needs a final answer.
    Withdrawn(NotificationId),
    /// The client received the final answer.
    FinalAnswerAcknowledged(NotificationId),
    /// The configuration was replaced. Earlier decisions remain in effect, and pending notifications keep their topic
    /// type.
    ConfigChanged(RelayConfig),
    /// The maximum number of calls in flight changed; the lower of this and the configured limit applies.
    SlotLimitChanged(usize),
    /// A requested wake-up is due.
    WakeUp,
    /// A probe ended.
    ProbeEnded {
        /// The probed endpoint.
        endpoint: EndpointId,
        /// How the probe ended.
        status: CallStatus,
        /// The destination's report of its rate limit.
        rate_limit: Option<RateLimitReport>,
    },
}
