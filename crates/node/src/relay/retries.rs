//! The attempts of one request: which endpoints have had it, and what is known of its execution.

use std::sync::Arc;

use http::Response;
use juniperwing_protocol::identity::InstanceId;

use super::attempt_outcome::{AttemptFailure, ExecutionStatus, FailureCause};
use super::body::RelayBody;
use super::exchange::Exchange;
use super::metrics::Metrics;
use super::trace::{AttemptEnd, RequestTrace};

/// The number of attempts of which nothing was sent that are made beyond those of the route.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// The attempts of one request so far.
pub struct RetryState {
    /// Endpoints that do not get the request again.
    pub excluded: Vec<InstanceId>,
    /// The response of an endpoint that failed, kept for the case that no other one does better.
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

    /// The number of endpoints to which the request may still be sent.
    pub fn attempts_left(&self, exchange: &Exchange) -> u32 {
        let may_send = exchange.route.max_retries.saturating_sub(self.sent);
        if self.unsent < MAX_UNSENT_ATTEMPTS { may_send } else { 0 }
    }

    /// Records an attempt that brought no response.
    pub fn record_failure(&mut self, metrics: &Metrics, endpoint: InstanceId, failure: AttemptFailure) {
        self.trace.end_attempt(AttemptEnd::Failed(failure.cause));
        self.excluded.push(endpoint);
        self.execution = self.execution.max(failure.execution);
        match failure.execution {
            ExecutionStatus::NotSent => self.unsent += 1,
            ExecutionStatus::DeclaredNotExecuted | ExecutionStatus::MayHaveRun => self.sent += 1,
        }
        if failure.execution == ExecutionStatus::MayHaveRun {
            self.trace.record_may_have_run();
        }
        match failure.cause {
            FailureCause::Declined | FailureCause::Misdirected => metrics.declined.increment(),
            FailureCause::WrongRequest | FailureCause::InvalidResponse => {
                metrics.invalid_responses.increment();
            }
            FailureCause::TimedOut => metrics.timed_out.increment(),
            FailureCause::ConnectionBroken | FailureCause::ServerError => metrics.failed.increment(),
            FailureCause::ConnectFailed | FailureCause::EndpointRemoved | FailureCause::NoCapacity => {}
        }
    }

    /// Whether the request was executed, as far as its attempts show.
    pub fn execution(&self) -> ExecutionStatus {
        self.execution
    }
}
