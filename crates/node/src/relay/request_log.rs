//! One log line for each request that failed, was aborted or was slow.
//!
//! From a client's `X-Request-Id` the line gives the route, the configuration, every endpoint that was tried with
//! time and outcome, why the stores failed, and why the request ended as it did.

use std::sync::Arc;

use juniperwing_clock::Span;
use slog::{Logger, info};

use super::trace::{AttemptRecord, Outcome, RequestTrace, TraceRecord};
use crate::rate_limit::RateLimit;

/// The number of lines for failed requests in a second; further ones are counted.
const MAX_FAILED_LINES_PER_SECOND: u32 = 100;
/// The number of lines for slow requests in a second; further ones are counted.
const MAX_SLOW_LINES_PER_SECOND: u32 = 10;

/// Writes log lines for requests.
#[derive(Debug)]
pub struct RequestLog {
    log: Logger,
    failed: RateLimit,
    slow: RateLimit,
}

impl RequestLog {
    /// A request log that writes to `log`.
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
        if !has_failed && !record.is_slow() {
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
            "stores" => record.store_failure.map(|failure| failure.to_string()).unwrap_or_default(),
            "response_ms" => record.responded_after.map(millis), "duration_ms" => millis(trace.elapsed()),
            "suppressed" => suppressed);
    }
}

/// Writes the log line of a request when dropped: at the end of its response, or when its client has disconnected.
#[derive(Debug)]
pub struct PendingLogEntry {
    trace: Arc<RequestTrace>,
    log: Arc<RequestLog>,
}

impl PendingLogEntry {
    /// The log entry of a request that has just been read.
    pub fn new(trace: Arc<RequestTrace>, log: Arc<RequestLog>) -> Self {
        PendingLogEntry { trace, log }
    }
}

impl Drop for PendingLogEntry {
    fn drop(&mut self) {
        self.log.write(&self.trace);
    }
}

/// Every attempt as `endpoint@start+duration=end`, with times in milliseconds.
fn describe_attempts(record: &TraceRecord) -> String {
    let attempts: Vec<String> = record.attempts.iter().map(describe_attempt).collect();
    attempts.join(" ")
}

fn describe_attempt(attempt: &AttemptRecord) -> String {
    let (endpoint, start) = (&attempt.endpoint.0, millis(attempt.started_after));
    match attempt.end {
        None => format!("{endpoint}@{start}=in flight"),
        Some((ended_after, end)) => {
            let duration = millis(ended_after - attempt.started_after);
            format!("{endpoint}@{start}+{duration}={}", end.name())
        }
    }
}

fn millis(span: Span) -> u64 {
    span.as_nanos() / 1_000_000
}
