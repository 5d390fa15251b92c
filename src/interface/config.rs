//! Configuration of a relay.

use std::sync::Arc;

use crate::time::Span;

/// A relay's configuration: given at its start, and again whenever it changes.
#[derive(Clone, Debug, Default)]
pub struct RelayConfig {
    /// The group of relays that it belongs to.
    pub fleet: Fleet,
    /// What it may use.
    pub limits: RelayLimits,
    /// The quantities in the rules of the service.
    pub rules: RuleParameters,
}

/// The group of relays that this one belongs to.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// How many relays there are, this one included.
    pub relay_count: usize,
    /// Whether the rates of list entries are enforced limits, in calls a second over all relays, and not estimates.
    pub has_listed_rates: bool,
    /// Whether updates of the endpoint list have to be requested.
    pub is_list_on_request: bool,
    /// Whether the relay is bound by what discovery has as soon as discovery has it, requested or not.
    pub is_list_pushed: bool,
    /// The shortest interval between two calls of [`Relay::handle`](crate::Relay::handle).
    pub tick: Span,
    /// The relay's own zone, where pushes to endpoints in other zones have a price.
    pub home_zone: Option<Arc<str>>,
}

/// What this relay may use.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayLimits {
    /// Upper limit of calls in flight.
    pub slots: usize,
    /// Upper limit of pushes for one notification.
    pub max_pushes: u32,
    /// Upper limit of pending notifications, sent or not; beyond it the front end rejects submissions.
    pub max_pending: usize,
    /// The longest retry delay that a client respects; zero if none may be given.
    pub max_retry_after: Span,
    /// Whether endpoints may be probed.
    pub can_probe: bool,
    /// Whether a push may be cancelled.
    pub can_cancel: bool,
    /// The time after which endpoints close idle connections; the longest span if that is unknown.
    pub idle_timeout: Span,
}

/// The quantities in the rules of the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuleParameters {
    /// Without a subscription, a relay that has not requested the list for this long counts as notified.
    pub list_refresh_interval: Span,
    /// The least fraction of its capacity that a destination has right after an outage, above 0 up to 1.
    pub warm_up_initial_fraction: f64,
    /// How long after its return a destination has all of its capacity again, at the latest.
    pub warm_up_duration: Span,
    /// A destination that is warming up fails under load above this many times its present capacity...
    pub overload_factor: f64,
    /// ...sustained for this long.
    pub overload_duration: Span,
    /// How long a key has no push after one that may still be executing.
    pub key_cooldown: Span,
}
