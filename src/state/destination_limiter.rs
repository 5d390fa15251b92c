//! The retry-after delay, backoff and rate limit of a destination.

use std::sync::Arc;

use crate::interface::RelayConfig;
use crate::message::RecentLoad;
use crate::time::{Span, Time};

/// The slow start of a destination after an outage.
#[derive(Clone, Copy)]
pub(crate) struct Recovery {
    pub(crate) since: Time,
    /// The earliest time for this relay's first call.
    pub(crate) first_call_at: Time,
    /// The number of deliveries since then; each doubles the rate.
    pub(crate) deliveries: i32,
}

/// Limits the calls of this relay to one destination.
#[derive(Default)]
pub(crate) struct DestinationLimiter {
    pub(crate) config: Arc<RelayConfig>,
    /// No call is sent before this time, because the destination requested a delay.
    pub(crate) retry_after_until: Time,
    /// No call is sent before this time, because calls were refused.
    pub(crate) backoff_until: Time,
    pub(crate) calls_in_flight: usize,
    /// The limit on calls in flight, adjusted by call outcomes.
    pub(crate) concurrency_window: f64,
    pub(crate) last_sent_at: Time,
    /// The reported rate limit, or else the listed one, in calls per second over all relays; zero if there is none.
    pub(crate) rate_per_second: f64,
    pub(crate) is_rate_reported: bool,
    pub(crate) consecutive_refusals: i32,
    /// The minimum interval between this relay's calls, to stay within the rate limit.
    pub(crate) pacing_interval: Span,
    pub(crate) recent_load: RecentLoad,
    /// The interval between this relay's calls after an outage if the destination were at full capacity.
    pub(crate) recovery_interval: Span,
    pub(crate) recovery: Option<Recovery>,
}

impl DestinationLimiter {
    pub(crate) fn new(config: Arc<RelayConfig>) -> Self {
        let concurrency_window = (config.limits.slots as f64 / 2.0).max(1.0);
        DestinationLimiter { concurrency_window, config, ..DestinationLimiter::default() }
    }
}
