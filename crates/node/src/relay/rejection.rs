//! Why the relay itself ends a request, and the status that follows.

use http::StatusCode;
use juniperwing_clock::Span;

use super::attempt_outcome::ExecutionStatus;

/// Why the relay ends a request without a response of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Too little time is left until the deadline.
    DeadlineTooClose,
    /// The request was sent to as many endpoints as its route allows.
    RetriesExhausted,
    /// No endpoint is ready.
    NoEndpoint,
    /// All endpoints and the queue are full.
    Overloaded,
    /// The connection to the only endpoint that may execute the request broke.
    ConnectionBroken,
    /// The stores of turns and budgets cannot be reached.
    StoresUnreachable,
    /// The relay has no configuration yet.
    NotConfigured,
    /// No route is known, and all keepers are unreachable: a newer configuration may have one.
    KeepersUnreachable,
    /// The relay has no memory or connections left.
    NoCapacity,
    /// The process ends.
    ShuttingDown,
}

impl Rejection {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Rejection::DeadlineTooClose => "deadline too close",
            Rejection::RetriesExhausted => "retries exhausted",
            Rejection::NoEndpoint => "no endpoint",
            Rejection::Overloaded => "overloaded",
            Rejection::ConnectionBroken => "connection broken",
            Rejection::StoresUnreachable => "stores unreachable",
            Rejection::NotConfigured => "not configured",
            Rejection::KeepersUnreachable => "keepers unreachable",
            Rejection::NoCapacity => "no capacity",
            Rejection::ShuttingDown => "shutting down",
        }
    }

    /// The status of the final response. It says that the request was not executed only where that is known.
    pub fn status(self, execution: ExecutionStatus) -> StatusCode {
        match (execution, self) {
            (ExecutionStatus::MayHaveRun, Rejection::DeadlineTooClose) => StatusCode::GATEWAY_TIMEOUT,
            (ExecutionStatus::MayHaveRun, _) => StatusCode::BAD_GATEWAY,
            (ExecutionStatus::NotSent | ExecutionStatus::DeclaredNotExecuted, _) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    /// After what time the client should send a request again that was not executed.
    pub fn retry_after(self) -> Span {
        let millis = match self {
            Rejection::DeadlineTooClose
            | Rejection::ConnectionBroken
            | Rejection::RetriesExhausted
            | Rejection::ShuttingDown => 50,
            Rejection::Overloaded => 150,
            Rejection::StoresUnreachable => 200,
            Rejection::NoEndpoint | Rejection::NoCapacity => 300,
            Rejection::NotConfigured | Rejection::KeepersUnreachable => 500,
        };
        Span::from_millis(millis)
    }
}
