//! Conversion of the core's commands to the wire protocol.

use juniperwing::interface::Command;

use crate::wire::Cmd;

/// The label of wake-ups.
const WAKE_UP_LABEL: &str = "wake";

/// Converts a command to its wire form; `None` if the protocol has no such command.
pub(crate) fn to_wire<'a>(relay: &'a str, command: &'a Command) -> Option<Cmd<'a>> {
    Some(match command {
        Command::Push { notification, endpoint, timeout, .. } => Cmd::Push {
            relay,
            notification: notification.0,
            endpoint: &endpoint.0,
            timeout_ns: timeout.as_nanos(),
        },
        Command::Cancel { notification, push_index } => {
            Cmd::Cancel { relay, notification: notification.0, push_index: *push_index }
        }
        Command::Throttle { notification, retry_after } => {
            Cmd::Throttle { relay, notification: notification.0, retry_after_ns: retry_after.as_nanos() }
        }
        Command::Expire(notification) => Cmd::Expire { relay, notification: notification.0 },
        Command::WakeAfter(delay) => {
            Cmd::WakeAfter { relay, delay_ns: delay.as_nanos(), label: WAKE_UP_LABEL }
        }
        Command::SubscribeToEndpointList => Cmd::SubscribeToEndpointList { relay, is_active: true },
        Command::CloseIdleConnections(endpoint) => Cmd::CloseIdleConnections { relay, endpoint: &endpoint.0 },
        Command::Log(line) => Cmd::Log { relay, line },
        Command::Probe(endpoint) => Cmd::Probe { relay, endpoint: &endpoint.0 },
        // In this protocol pushes are sent immediately, so none are left to cancel.
        Command::CancelUnsent(_) => return None,
    })
}
