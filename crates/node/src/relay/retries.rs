//! The state of one request's attempts: which endpoints were tried, and whether it may have been executed.

use std::sync::Arc;

use http::Response;
use juniperwing_protocol::identity::InstanceId;

use super::attempt_outcome::{AttemptFailure, ExecutionStatus, FailureCause};
use super::body::RelayBody;
use super::exchange::Exchange;
use super::metrics::Metrics;
use super::trace::{AttemptEnd, RequestTrace};

/// The maximum number of attempts that failed before anything was sent. They do not count towards the route's limit.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// The attempts of one request so far.
pub struct RetryState {
    /// Endpoints that were tried and do not get the request again.
    pub excluded: Vec<InstanceId>,
    /// The last error response of an endpoint, to be forwarded if no other attempt succeeds.
    pub error_response: Option<Response<RelayBody>>,
    /// Records what happens to the request.
    pub trace: Arc<RequestTrace>,
    sent: u32,
    unsent: u32,
    execution: ExecutionStatus,
}

impl RetryState {
    /// The state before the first attempt.
    pub fn new(trace: Arc<RequestTrace>) -> RetryState {
        RetryState {
            excluded: Vec::new(),
            error_response: None,
            trace,
            sent: 0,
            unsent: 0,
            execution: ExecutionStatus::NotSent,
        }
    }

    /// The number of attempts that may still be made.
    pub fn attempts_left(&self, exchange: &Exchange) -> u32 {
        let unused = exchange.route.max_retries.saturating_sub(self.sent);
        if self.unsent < MAX_UNSENT_ATTEMPTS { unused } else { 0 }
    }

    /// Records an attempt that yielded no response.
    pub fn record_failure(&mut self, metrics: &Metrics, endpoint: InstanceId, failure: AttemptFailure) {
        self.trace.end_attempt(AttemptEnd::Failed(failure.cause));
        self.excluded.push(endpoint);
        self.execution = self.execution.max(failure.execution);
        match failure.execution {
            ExecutionStatus::NotSent => self.unsent += 1,
            ExecutionStatus::NotExecuted | ExecutionStatus::PossiblyExecuted => self.sent += 1,
        }
        if failure.execution == ExecutionStatus::PossiblyExecuted {
            self.trace.record_possibly_executed();
        }
        match failure.cause {
            FailureCause::Declined | FailureCause::Misdirected => metrics.declined.increment(),
            FailureCause::MismatchedResponse | FailureCause::InvalidResponse => {
                metrics.invalid_responses.increment();
            }
            FailureCause::TimedOut => metrics.timed_out.increment(),
            FailureCause::ConnectionBroken | FailureCause::ServerError => metrics.failed.increment(),
            FailureCause::ConnectFailed | FailureCause::EndpointRemoved | FailureCause::NoMemory => {}
        }
    }

    /// Whether the request was executed, as far as its attempts tell.
    pub fn execution(&self) -> ExecutionStatus {
        self.execution
    }
}
