//! Writes one log line for each request that failed, was aborted, was slow or resumed a stream.
//!
//! The line is found by the client's `X-Request-Id`. It contains the route, the configuration's generation, every
//! attempt with its endpoint, times and outcome, the failure of the stores, the event after which the client resumed
//! the stream, the last event that the stores knew of it, the sizes of the turn's history and stored output, and the
//! reason for the outcome.

use std::sync::Arc;

use juniperwing_clock::Span;
use slog::{Logger, info};

use super::trace::{AttemptRecord, Outcome, RequestTrace, TraceRecord};
use crate::rate_limit::RateLimit;

/// The maximum number of lines per second for failed requests. Further ones are only counted.
const MAX_FAILED_LINES_PER_SECOND: u32 = 100;
/// The maximum number of lines per second for slow requests and resumed streams. Further ones are only counted.
const MAX_SLOW_LINES_PER_SECOND: u32 = 10;

/// Writes log lines for requests.
#[derive(Debug)]
pub struct RequestLog {
    log: Logger,
    failed: RateLimit,
    slow: RateLimit,
}

impl RequestLog {
    /// Creates a request log that writes to `log`.
    pub fn new(log: Logger) -> Self {
        RequestLog {
            log,
            failed: RateLimit::per_second(MAX_FAILED_LINES_PER_SECOND),
            slow: RateLimit::per_second(MAX_SLOW_LINES_PER_SECOND),
        }
    }

    fn write(&self, trace: &RequestTrace) {
        let record = trace.lock();
        let has_failed = record.has_failed();
        if !has_failed && !record.is_slow() && record.resumed_after.is_none() {
            return;
        }
        let limit = if has_failed { &self.failed } else { &self.slow };
        let Some(suppressed) = limit.try_acquire() else { return };
        let outcome = record.outcome;
        info!(self.log, "request finished";
            "request" => &record.request_id,
            "outcome" => outcome.map_or("client disconnected", Outcome::name),
            "reason" => outcome.map_or("", Outcome::reason),
            "status" => outcome.and_then(Outcome::status).map_or(0, |status| status.as_u16()),
            "route" => record.route.as_ref().map_or("", |route| &route.name.0),
            "generation" => record.generation, "attempts" => describe_attempts(&record),
            "resumed_after" => record.resumed_after.as_deref().unwrap_or_default(),
            "known_up_to" => record.known_output,
            "history_bytes" => record.history_bytes,
            "stored_events" => record.stored_turn.map(|turn| turn.events),
            "stored_bytes" => record.stored_turn.map(|turn| turn.output_bytes),
            "stores" => record.store_failure.map(|failure| failure.to_string()).unwrap_or_default(),
            "response_ms" => record.responded_after.map(Span::as_millis), "duration_ms" => trace.elapsed().as_millis(),
            "suppressed" => suppressed);
    }
}

/// Writes the log line of a request when dropped: at the end of its response, or when its client disconnects.
#[derive(Debug)]
pub struct PendingLogEntry {
    trace: Arc<RequestTrace>,
    log: Arc<RequestLog>,
}

impl PendingLogEntry {
    /// Creates the log entry of a request whose head has just been read.
    pub fn new(trace: Arc<RequestTrace>, log: Arc<RequestLog>) -> Self {
        PendingLogEntry { trace, log }
    }
}

impl Drop for PendingLogEntry {
    fn drop(&mut self) {
        self.log.write(&self.trace);
    }
}

/// Formats every attempt as `endpoint@start+duration=end`, with times in milliseconds.
fn describe_attempts(record: &TraceRecord) -> String {
    let attempts: Vec<String> = record.attempts.iter().map(describe_attempt).collect();
    attempts.join(" ")
}

fn describe_attempt(attempt: &AttemptRecord) -> String {
    let (endpoint, start) = (&attempt.endpoint.0, attempt.started_after.as_millis());
    match attempt.end {
        None => format!("{endpoint}@{start}=in flight"),
        Some((ended_after, end)) => {
            let duration = (ended_after - attempt.started_after).as_millis();
            format!("{endpoint}@{start}+{duration}={}", end.name())
        }
    }
}
