//! Timeouts of keepers, derived from the time bounds of the settings.

use std::time::Duration;

use juniperwing_clock::Span;

use super::Bounds;
use crate::link::LINK_TIMEOUT;

/// Timeout after which callers of the control listener (endpoints and operators) give up. It is part of the protocol
/// with them and does not depend on the bounds.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Part of [`CALLER_TIMEOUT`] reserved for the response to a deregistration.
const REPLY_MARGIN: Duration = Duration::from_millis(250);
/// Difference between the timeouts of a call and of the call nested in it, which allows for the hop between processes.
const HOP_ALLOWANCE: Duration = Duration::from_millis(50);
/// Fraction of `contactMs` for which evidence of contact is valid. The rest is reserved for detecting a loss and
/// reconnecting.
const CONTACT_WINDOW_FRACTION: f64 = 0.4;
/// Minimum time for which evidence of contact is valid: two reports between keepers, 450 ms apart, must fit.
const MIN_CONTACT_WINDOW: Span = Span::from_millis(900);
/// Fraction of `configApplyMs` for which the acknowledgement of a configuration waits for subscribers.
const CONFIGURATION_WAIT_FRACTION: f64 = 0.25;
/// Maximum time that such an acknowledgement waits, whatever the bounds: the rest of [`CALLER_TIMEOUT`] is reserved for
/// committing.
const MAX_CONFIGURATION_WAIT: Duration = Duration::from_millis(500);
/// Minimum of `contactMs`: the minimum window, plus time for detecting a loss and reconnecting.
const MIN_CONTACT_MS: u64 = 1_200;
/// Minimum of `drainMs` and `configApplyMs`: the loss of a subscriber cannot be detected earlier.
const MIN_PROPAGATION_MS: u64 = LINK_TIMEOUT.as_millis() as u64;

/// The timeouts of a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlTimings {
    /// How long a reply or a message of another keeper is valid as evidence of contact.
    pub contact_window: Span,
    /// Timeout for propagating the termination of an endpoint; after it the request of the endpoint is rejected.
    pub propagation_timeout: Duration,
    /// Timeout of a call to another keeper.
    pub peer_reply_timeout: Duration,
    /// Timeout of a keeper's wait for its own subscribers, after which it reports to another keeper that some have not
    /// applied a change.
    pub subscriber_apply_timeout: Duration,
    /// Timeout of a confirmation that the committed state is current, after which it is requested again.
    pub confirmation_timeout: Duration,
    /// Timeout of the wait for subscribers to apply a configuration, after which it is acknowledged nevertheless.
    pub configuration_apply_timeout: Duration,
}

impl ControlTimings {
    /// Derives the timeouts from the bounds.
    pub fn from_bounds(bounds: &Bounds) -> ControlTimings {
        let propagation_timeout = CALLER_TIMEOUT - REPLY_MARGIN;
        let peer_reply_timeout = propagation_timeout - HOP_ALLOWANCE;
        let configuration_wait =
            Duration::from_millis(bounds.config_apply_ms).mul_f64(CONFIGURATION_WAIT_FRACTION);
        let contact_window = Span::from_millis(bounds.contact_ms).mul_f64(CONTACT_WINDOW_FRACTION);
        ControlTimings {
            contact_window: contact_window.max(MIN_CONTACT_WINDOW),
            propagation_timeout,
            peer_reply_timeout,
            subscriber_apply_timeout: peer_reply_timeout - HOP_ALLOWANCE,
            confirmation_timeout: LINK_TIMEOUT,
            configuration_apply_timeout: configuration_wait.min(MAX_CONFIGURATION_WAIT),
        }
    }
}

impl Bounds {
    /// Describes the bounds that keepers cannot meet, with their keys. Keepers run nevertheless, on a best-effort basis.
    pub fn unachievable_bounds(&self) -> Vec<String> {
        let minimums = [
            ("contactMs", self.contact_ms, MIN_CONTACT_MS),
            ("drainMs", self.drain_ms, MIN_PROPAGATION_MS),
            ("configApplyMs", self.config_apply_ms, MIN_PROPAGATION_MS),
            ("ackMs", self.ack_ms, CALLER_TIMEOUT.as_millis() as u64),
        ];
        let unachievable = minimums.into_iter().filter(|(_, given, minimum)| given < minimum);
        unachievable
            .map(|(key, given, minimum)| format!("bounds.{key}: {given} is too short, {minimum} at least"))
            .collect()
    }
}
