//! The waits and limits of a destination.

use std::sync::Arc;

use crate::interface::RelayConfig;
use crate::message::RecentLoad;
use crate::time::{Span, Time};

/// The slow start of a destination after an outage.
#[derive(Clone, Copy)]
pub(crate) struct Recovery {
    pub(crate) since: Time,
    /// When this relay may send its first call.
    pub(crate) first_call_at: Time,
    /// Deliveries since; the rate doubles with each.
    pub(crate) deliveries: i32,
}

/// Limits the calls of this relay to one destination.
#[derive(Default)]
pub(crate) struct DestinationLimiter {
    pub(crate) config: Arc<RelayConfig>,
    /// No call before then: the destination requested a delay.
    pub(crate) retry_after_until: Time,
    /// No call before then: calls were refused.
    pub(crate) backoff_until: Time,
    pub(crate) calls_in_flight: usize,
    /// Upper limit of calls in flight, by the latest outcomes.
    pub(crate) concurrency_window: f64,
    pub(crate) last_sent_at: Time,
    /// The rate limit, reported or else listed, in calls a second over all relays; zero if there is none.
    pub(crate) rate_per_second: f64,
    pub(crate) is_rate_reported: bool,
    pub(crate) consecutive_refusals: i32,
    /// The interval that this relay keeps between its calls on account of the rate limit.
    pub(crate) pacing_interval: Span,
    pub(crate) recent_load: RecentLoad,
    /// The interval between this relay's calls after an outage, were the destination at full capacity.
    pub(crate) recovery_interval: Span,
    pub(crate) recovery: Option<Recovery>,
}

impl DestinationLimiter {
    pub(crate) fn new(config: Arc<RelayConfig>) -> Self {
        let concurrency_window = (config.limits.slots as f64 / 2.0).max(1.0);
        DestinationLimiter { concurrency_window, config, ..DestinationLimiter::default() }
    }
}
