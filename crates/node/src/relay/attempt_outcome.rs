//! What is known of an attempt that brought no response.

use juniperwing_balancing::CallOutcome;

/// Whether a request was executed, as far as an attempt shows. Ordered: of several attempts the greatest counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExecutionStatus {
    /// No byte of the request was written.
    NotSent,
    /// The endpoint has declared that it did not execute the request.
    DeclaredNotExecuted,
    /// The request was sent, and the endpoint has not declared that it did not execute it.
    MayHaveRun,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// No connection was established in time.
    ConnectFailed,
    /// The endpoint was removed in the meantime.
    EndpointRemoved,
    /// The endpoint is overloaded, or declined for another reason.
    Declined,
    /// Another instance has the endpoint's address.
    Misdirected,
    /// The connection broke.
    ConnectionBroken,
    /// The response belongs to another request.
    WrongRequest,
    /// The response is incomplete, encoded, not signed or malformed.
    InvalidResponse,
    /// The endpoint responded with a server error.
    ServerError,
    /// No response within the timeout of the attempt.
    TimedOut,
    /// The relay has no memory for the response.
    NoCapacity,
}

impl FailureCause {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            FailureCause::ConnectFailed => "connect failed",
            FailureCause::EndpointRemoved => "endpoint removed",
            FailureCause::Declined => "declined",
            FailureCause::Misdirected => "misdirected",
            FailureCause::ConnectionBroken => "connection broken",
            FailureCause::WrongRequest => "response of another request",
            FailureCause::InvalidResponse => "invalid response",
            FailureCause::ServerError => "server error",
            FailureCause::TimedOut => "timed out",
            FailureCause::NoCapacity => "no memory for the response",
        }
    }

    /// What the failure says about the endpoint.
    pub fn call_outcome(self) -> CallOutcome {
        match self {
            FailureCause::Declined => CallOutcome::Overloaded,
            FailureCause::TimedOut => CallOutcome::TimedOut,
            FailureCause::EndpointRemoved | FailureCause::Misdirected | FailureCause::NoCapacity => {
                CallOutcome::Cancelled
            }
            FailureCause::ConnectFailed
            | FailureCause::ConnectionBroken
            | FailureCause::WrongRequest
            | FailureCause::InvalidResponse
            | FailureCause::ServerError => CallOutcome::Failed,
        }
    }
}

/// An attempt that brought no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Whether the request was executed, as far as is known.
    pub execution: ExecutionStatus,
    /// Why the attempt failed.
    pub cause: FailureCause,
}

impl AttemptFailure {
    /// An attempt of which no byte was written.
    pub fn not_sent(cause: FailureCause) -> AttemptFailure {
        AttemptFailure { execution: ExecutionStatus::NotSent, cause }
    }

    /// An attempt that the endpoint declared not executed.
    pub fn declined(cause: FailureCause) -> AttemptFailure {
        AttemptFailure { execution: ExecutionStatus::DeclaredNotExecuted, cause }
    }

    /// An attempt that may have been executed.
    pub fn may_have_run(cause: FailureCause) -> AttemptFailure {
        AttemptFailure { execution: ExecutionStatus::MayHaveRun, cause }
    }
}
