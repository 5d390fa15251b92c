//! Commands that a relay issues to its front end.

use super::{EndpointId, NotificationId};
use crate::time::Span;

/// The longest wake-up delay that a relay requests; a front end need not support longer ones.
pub const MAX_WAKE_DELAY: Span = Span::from_millis(3_600_000);

/// An action for the front end to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Push a notification to an endpoint.
    Push {
        /// The notification.
        notification: NotificationId,
        /// The endpoint.
        endpoint: EndpointId,
        /// How long the push may take before it is abandoned.
        timeout: Span,
        /// If the connection is not established within this time, the push must not be sent at all.
        send_within: Span,
    },
    /// Cancel a push.
    Cancel {
        /// The notification.
        notification: NotificationId,
        /// The zero-based index of the push among the notification's pushes.
        push_index: u32,
    },
    /// Final answer: the notification was rejected without being executed, and the client may retry it.
    Throttle {
        /// The notification.
        notification: NotificationId,
        /// The delay after which the client should retry; zero if no delay is suggested.
        retry_after: Span,
    },
    /// Final answer: the notification expired, and may have been executed.
    Expire(NotificationId),
    /// Send [`Event::WakeUp`](super::Event::WakeUp) after this delay.
    WakeAfter(Span),
    /// Subscribe to updates of the endpoint list.
    SubscribeToEndpointList,
    /// Probe an endpoint.
    Probe(EndpointId),
    /// Close this relay's idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Cancel the pushes to an endpoint that have not been sent yet because their connection is not established.
    CancelUnsent(EndpointId),
    /// Write a line to the log.
    Log(String),
}
