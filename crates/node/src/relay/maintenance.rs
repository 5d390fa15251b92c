//! The periodic tasks of a relay: closing expired connections and logging counters.

use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::state::RelayState;

/// The interval between checks for expired connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// The shortest time between two log lines with the counters.
const COUNTERS_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Closes expired connections and logs counters until the future is dropped.
pub async fn run(state: Arc<RelayState>, log: Logger) {
    let mut ticks = interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut logged_at, mut logged_requests) = (Instant::now(), 0);
    loop {
        ticks.tick().await;
        state.connections.sweep(&state.cluster.snapshot().limits());
        state.pool.sweep(|endpoint| state.dispatcher.is_ready(endpoint));
        state.check_idle();
        let requests = state.metrics.requests.get();
        if requests != logged_requests && logged_at.elapsed() >= COUNTERS_LOG_INTERVAL {
            (logged_at, logged_requests) = (Instant::now(), requests);
            state.metrics.log(&log);
        }
    }
}
