//! Events: what a front end reports to the relay.

use super::{EndpointId, EndpointListUpdate, Notification, NotificationId, RelayConfig};
use crate::time::Span;

/// How a push or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStatus {
    /// Delivered.
    Delivered,
    /// The destination responded with an error; the push may have been executed.
    Error,
    /// Rejected before it was read; it was never executed.
    Busy,
    /// No response in time; it may have been executed or still be executing.
    TimedOut,
    /// No connection could be opened; it was never executed.
    NoConnection,
    /// Rejected by an endpoint that is up but has too many connections; it was never executed.
    ConnectionLimitReached,
    /// The connection broke; it may have been executed.
    Reset,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// Not sent at all.
    Skipped,
}

impl CallStatus {
    /// Whether a push with this status may have been executed.
    pub const fn may_have_run(self) -> bool {
        !matches!(
            self,
            CallStatus::Busy
                | CallStatus::NoConnection
                | CallStatus::ConnectionLimitReached
                | CallStatus::Skipped
        )
    }

    /// Whether a push with this status may still be executing.
    pub const fn may_be_running(self) -> bool {
        matches!(self, CallStatus::TimedOut | CallStatus::Reset | CallStatus::Cancelled)
    }
}

/// A destination's report of its rate limit.
#[derive(Clone, Copy, Debug)]
pub struct RateLimitReport {
    /// The fraction of the limit that is left, 0 to 1.
    pub remaining_fraction: f64,
    /// The limit in calls a second, over all relays; zero if there is none.
    pub rate_per_second: f64,
}

/// How a push ended.
#[derive(Clone, Debug)]
pub struct PushOutcome {
    /// The notification pushed.
    pub notification: NotificationId,
    /// Which of its pushes, counted from 0.
    pub push_index: u32,
    /// The endpoint it was pushed to.
    pub endpoint: EndpointId,
    /// How the push ended.
    pub status: CallStatus,
    /// How long ago it was sent.
    pub elapsed: Span,
    /// Whether the notification has its final answer, by this push or earlier.
    pub has_final_answer: bool,
    /// The delay before the next call that the destination requested, whatever the push's outcome.
    pub retry_after: Option<Span>,
    /// The destination's report of its rate limit.
    pub rate_limit: Option<RateLimitReport>,
}

/// Something that happened to this relay.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list arrived.
    EndpointListUpdated(EndpointListUpdate),
    /// A notification was accepted; it must get exactly one final answer.
    Accepted(Notification),
    /// A push ended.
    PushEnded(PushOutcome),
    /// A response to a call that had already ended requests a delay before the next call.
    RetryAfterReported {
        /// The endpoint.
        endpoint: EndpointId,
        /// The delay that it requests.
        retry_after: Span,
    },
    /// The client has withdrawn the notification; it needs no final answer any more.
    Withdrawn(NotificationId),
    /// The client has received the final answer that the relay gave.
    FinalAnswerAcknowledged(NotificationId),
    /// The configuration was replaced. Decisions already made stand; a notification keeps its topic type.
    ConfigChanged(RelayConfig),
    /// The upper limit of calls in flight, which overrides the configuration's.
    SlotLimitChanged(usize),
    /// A wake-up that was requested.
    WakeUp,
    /// A probe ended.
    ProbeEnded {
        /// The endpoint probed.
        endpoint: EndpointId,
        /// How the probe ended.
        status: CallStatus,
        /// The destination's report of its rate limit.
        rate_limit: Option<RateLimitReport>,
    },
}
