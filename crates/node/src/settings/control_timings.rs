//! The times that keepers go by, derived from the bounds of the settings.

use std::time::Duration;

use juniperwing_clock::Span;

use super::Bounds;
use crate::link::LINK_TIMEOUT;

/// Callers of the control listener, endpoints and operators, move on after so long without an answer. Part of
/// the protocol, not of the bounds.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What is left of a caller's patience when the answer to an end must be on its way.
const REPLY_MARGIN: Duration = Duration::from_millis(250);
/// How much sooner than a keeper answers its caller the other keepers must have answered it.
const HOP_ALLOWANCE: Duration = Duration::from_millis(50);
/// The share of `contactMs` for which evidence of contact counts. The rest is for losing and finding it again.
const CONTACT_WINDOW_FRACTION: f64 = 0.4;
/// The shortest time for which evidence of contact counts: two reports between keepers, 450 ms apart, must fit.
const MIN_CONTACT_WINDOW: Span = Span::from_millis(900);
/// The share of `configApplyMs` for which an acknowledgement of a configuration waits for subscribers.
const CONFIGURATION_WAIT_FRACTION: f64 = 0.25;
/// The longest that such an acknowledgement waits, whatever the bounds allow: the rest of the caller's patience is
/// for committing.
const MAX_CONFIGURATION_WAIT: Duration = Duration::from_millis(500);
/// The shortest `contactMs`: a little more than the shortest window, for losing contact and finding it again.
const MIN_CONTACT_MS: u64 = 1_200;
/// The shortest `drainMs` and `configApplyMs`: before that, a subscriber that is cut off cannot be known to be.
const MIN_PROPAGATION_MS: u64 = LINK_TIMEOUT.as_millis() as u64;

/// The times that a keeper goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlTimings {
    /// For how long an answer, or a message, of another keeper is evidence of contact.
    pub contact_window: Span,
    /// How long an end of an endpoint may take to spread before the endpoint is refused.
    pub propagation_timeout: Duration,
    /// When another keeper's answer is given up.
    pub peer_reply_timeout: Duration,
    /// How long a keeper waits for its own subscribers before it tells another keeper that some lack a change.
    pub subscriber_apply_timeout: Duration,
    /// How long a confirmation that the committed state is current may take before it is asked for again.
    pub confirmation_timeout: Duration,
    /// How long subscribers have for applying a configuration before it is acknowledged all the same.
    pub configuration_apply_timeout: Duration,
}

impl ControlTimings {
    /// Computes them.
    pub fn of(bounds: &Bounds) -> ControlTimings {
        let spread_within = CALLER_TIMEOUT - REPLY_MARGIN;
        let peer_answers_within = spread_within - HOP_ALLOWANCE;
        let configuration =
            Duration::from_millis(bounds.config_apply_ms).mul_f64(CONFIGURATION_WAIT_FRACTION);
        let contact_window = Span::from_millis(bounds.contact_ms).mul_f64(CONTACT_WINDOW_FRACTION);
        ControlTimings {
            contact_window: contact_window.max(MIN_CONTACT_WINDOW),
            propagation_timeout: spread_within,
            peer_reply_timeout: peer_answers_within,
            subscriber_apply_timeout: peer_answers_within - HOP_ALLOWANCE,
            confirmation_timeout: LINK_TIMEOUT,
            configuration_apply_timeout: configuration.min(MAX_CONFIGURATION_WAIT),
        }
    }
}

impl Bounds {
    /// Bounds that keepers cannot meet, each with its key. They serve all the same, as fast as they can.
    pub fn too_short(&self) -> Vec<String> {
        let least = [
            ("contactMs", self.contact_ms, MIN_CONTACT_MS),
            ("drainMs", self.drain_ms, MIN_PROPAGATION_MS),
            ("configApplyMs", self.config_apply_ms, MIN_PROPAGATION_MS),
            ("ackMs", self.ack_ms, CALLER_TIMEOUT.as_millis() as u64),
        ];
        let too_short = least.into_iter().filter(|(_, given, least)| given < least);
        too_short
            .map(|(key, given, least)| format!("bounds.{key}: {given} is too short, {least} at least"))
            .collect()
    }
}
