//! Commands: what a relay requests of its front end.

use super::{EndpointId, NotificationId};
use crate::time::Span;

/// The longest delay of a wake-up that a relay requests; a front end need not support longer ones.
pub const MAX_WAKE_DELAY: Span = Span::from_millis(3_600_000);

/// Something that the front end is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Push a notification to an endpoint.
    Push {
        /// The notification.
        notification: NotificationId,
        /// The endpoint.
        endpoint: EndpointId,
        /// When to abandon the push.
        timeout: Span,
        /// If the push is not sent within this time, because its connection is not up, it must not be sent at all.
        send_within: Span,
    },
    /// Cancel a push.
    Cancel {
        /// The notification.
        notification: NotificationId,
        /// Which of its pushes, counted from 0.
        push_index: u32,
    },
    /// Final answer: rejected without any effect, so that the client may retry.
    Throttle {
        /// The notification.
        notification: NotificationId,
        /// When the client should retry; zero if nothing is advised.
        retry_after: Span,
    },
    /// Final answer: expired; whether it was executed is unknown.
    Expire(NotificationId),
    /// Send [`Event::WakeUp`](super::Event::WakeUp) after this delay.
    WakeAfter(Span),
    /// Subscribe to updates of the endpoint list.
    SubscribeToEndpointList,
    /// Probe an endpoint.
    Probe(EndpointId),
    /// Close this relay's idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Drop the pushes to an endpoint that are not sent yet because their connection is not up.
    CancelUnsent(EndpointId),
    /// Write a line to the operators' log.
    Log(String),
}
