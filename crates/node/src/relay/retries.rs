//! The tries of one request: which endpoints have had it, and what is known of them.

use std::sync::Arc;

use http::Response;
use juniperwing_protocol::identity::InstanceId;

use super::RelayState;
use super::attempt_outcome::{AttemptFailure, ExecutionStatus, FailureCause};
use super::body::RelayBody;
use super::exchange::Exchange;
use super::trace::{AttemptEnd, RequestTrace};

/// RetryState of which nothing was sent, beyond those that the route allows.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// The tries of one request.
pub struct RetryState {
    /// Endpoints that are not asked again.
    pub excluded: Vec<InstanceId>,
    /// Endpoints that it was sent to.
    pub sent: u32,
    unsent: u32,
    fate: Option<ExecutionStatus>,
    /// The answer of an endpoint that failed, where others might not.
    pub failed: Option<Response<RelayBody>>,
    /// What becomes of the request.
    pub trace: Arc<RequestTrace>,
}

impl RetryState {
    /// No try yet.
    pub fn new(trace: Arc<RequestTrace>) -> RetryState {
        RetryState { excluded: Vec::new(), sent: 0, unsent: 0, fate: None, failed: None, trace }
    }

    /// Endpoints that it may still be sent to.
    pub fn left(&self, exchange: &Exchange) -> u32 {
        let may_send = exchange.route.max_retries.saturating_sub(self.sent);
        if self.unsent < MAX_UNSENT_ATTEMPTS { may_send } else { 0 }
    }

    /// Takes in a try that gave no answer.
    pub fn note(&mut self, core: &RelayState, endpoint: InstanceId, failure: AttemptFailure) {
        self.trace.attempt_ended(AttemptEnd::Failed(failure.cause));
        self.excluded.push(endpoint);
        self.fate = self.fate.max(Some(failure.fate));
        match failure.fate {
            ExecutionStatus::NotSent => self.unsent += 1,
            ExecutionStatus::DeclaredNotExecuted | ExecutionStatus::MayHaveRun => self.sent += 1,
        }
        if failure.fate == ExecutionStatus::MayHaveRun {
            self.trace.may_have_run();
        }
        match failure.cause {
            FailureCause::Declined | FailureCause::Misdirected => core.metrics.declined.add(),
            FailureCause::WrongRequest | FailureCause::InvalidResponse => core.metrics.unsound.add(),
            FailureCause::TimedOut => core.metrics.abandoned.add(),
            FailureCause::Broken | FailureCause::EndpointError => core.metrics.broken.add(),
            FailureCause::NoConnection | FailureCause::EndpointLeft | FailureCause::NoCapacity => {}
        }
    }

    /// The most that may have become of the request.
    pub fn fate(&self) -> ExecutionStatus {
        self.fate.unwrap_or(ExecutionStatus::NotSent)
    }
}
