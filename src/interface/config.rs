//! Configuration of a relay.

use std::sync::Arc;

use crate::time::Span;

/// The configuration of a relay, passed at its start and whenever it changes.
#[derive(Clone, Debug, Default)]
pub struct RelayConfig {
    /// The group of relays that this relay belongs to.
    pub fleet: Fleet,
    /// Resource limits and permitted operations.
    pub limits: RelayLimits,
    /// Parameters of the push rules.
    pub rules: RuleParameters,
}

/// The group of relays that this one belongs to.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The number of relays, including this one.
    pub relay_count: usize,
    /// Whether the rates of list entries are enforced limits, in calls per second over all relays, rather than
    /// estimates.
    pub has_listed_rates: bool,
    /// Whether the relay must subscribe to receive updates of the endpoint list.
    pub is_list_on_request: bool,
    /// Whether a change of the endpoint list binds the relay as soon as discovery has it, even if the relay has not
    /// received it.
    pub is_list_pushed: bool,
    /// The shortest interval between two calls of [`Relay::handle`](crate::Relay::handle).
    pub tick: Span,
    /// The zone of the relay, if pushes to endpoints in other zones incur a cost.
    pub home_zone: Option<Arc<str>>,
}

/// Resource limits and permitted operations of a relay.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayLimits {
    /// Maximum number of calls in flight.
    pub slots: usize,
    /// Maximum number of pushes of one notification.
    pub max_pushes: u32,
    /// Maximum number of pending notifications, sent or not; above it the front end rejects submissions.
    pub max_pending: usize,
    /// The longest retry delay that clients respect; zero if clients must not be given a delay.
    pub max_retry_after: Span,
    /// Whether endpoints may be probed.
    pub can_probe: bool,
    /// Whether pushes may be cancelled.
    pub can_cancel: bool,
    /// The time after which endpoints close idle connections; the longest span if unknown.
    pub idle_timeout: Span,
}

/// Parameters of the push rules.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuleParameters {
    /// A relay without a subscription counts as notified of list changes once its last request is this old.
    pub list_refresh_interval: Span,
    /// The minimum fraction of its capacity that a destination has right after an outage, above 0 and at most 1.
    pub warm_up_initial_fraction: f64,
    /// The maximum time from the end of an outage until the destination is back at full capacity.
    pub warm_up_duration: Span,
    /// A warming-up destination fails under a load above this multiple of its current capacity...
    pub overload_factor: f64,
    /// ...sustained for this long.
    pub overload_duration: Span,
    /// How long no push of a key is sent after a push of that key ended while possibly still executing.
    pub key_cooldown: Span,
}
