//! The outcome of an attempt that yielded no response.

use juniperwing_balancing::CallOutcome;

/// What an attempt tells about the execution of a request. The variants are ordered: the greatest of several attempts
/// applies to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExecutionStatus {
    /// No byte of the request was written.
    NotSent,
    /// The endpoint has declared that it did not execute the request.
    NotExecuted,
    /// The request was sent, and the endpoint did not declare it not executed.
    PossiblyExecuted,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// No connection was established in time.
    ConnectFailed,
    /// The endpoint was removed after it had been chosen.
    EndpointRemoved,
    /// The endpoint is overloaded, or declined for another reason.
    Declined,
    /// Another instance responded at the endpoint's address.
    Misdirected,
    /// The connection broke.
    ConnectionBroken,
    /// The response belongs to another request.
    MismatchedResponse,
    /// The response is incomplete, encoded, not signed or malformed.
    InvalidResponse,
    /// The endpoint responded with a server error.
    ServerError,
    /// No response within the timeout of the attempt.
    TimedOut,
    /// The relay has no memory left for the response.
    NoMemory,
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
            FailureCause::MismatchedResponse => "response of another request",
            FailureCause::InvalidResponse => "invalid response",
            FailureCause::ServerError => "server error",
            FailureCause::TimedOut => "timed out",
            FailureCause::NoMemory => "no memory for the response",
        }
    }

    /// The outcome that the balancer records for the endpoint.
    pub fn call_outcome(self) -> CallOutcome {
        match self {
            FailureCause::Declined => CallOutcome::Overloaded,
            FailureCause::TimedOut => CallOutcome::TimedOut,
            FailureCause::EndpointRemoved | FailureCause::Misdirected | FailureCause::NoMemory => {
                CallOutcome::Cancelled
            }
            FailureCause::ConnectFailed
            | FailureCause::ConnectionBroken
            | FailureCause::MismatchedResponse
            | FailureCause::InvalidResponse
            | FailureCause::ServerError => CallOutcome::Failed,
        }
    }
}

/// An attempt that yielded no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Whether the request was executed, as far as is known.
    pub execution: ExecutionStatus,
    /// Why the attempt failed.
    pub cause: FailureCause,
}

impl AttemptFailure {
    /// A failure before any byte of the request was written.
    pub fn not_sent(cause: FailureCause) -> AttemptFailure {
        AttemptFailure { execution: ExecutionStatus::NotSent, cause }
    }

    /// A failure of a request that the endpoint declared not executed.
    pub fn declined(cause: FailureCause) -> AttemptFailure {
        AttemptFailure { execution: ExecutionStatus::NotExecuted, cause }
    }

    /// A failure of a request that may have been executed.
    pub fn possibly_executed(cause: FailureCause) -> AttemptFailure {
        AttemptFailure { execution: ExecutionStatus::PossiblyExecuted, cause }
    }
}
