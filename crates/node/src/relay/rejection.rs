//! The reasons for which the relay itself rejects a request, and the resulting status.

use http::StatusCode;
use juniperwing_clock::Span;

use super::attempt_outcome::ExecutionStatus;

/// Why the relay ends a request without a response from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Too little time is left until the deadline.
    DeadlineTooClose,
    /// The request was sent to as many endpoints as its route allows.
    RetriesExhausted,
    /// No endpoint is ready.
    NoEndpoint,
    /// All endpoints are full, and the queue is full or the request waited too long in it.
    Overloaded,
    /// An attempt failed after which the request may have been executed, and it must not be executed twice.
    ConnectionBroken,
    /// The stores of turns and budgets cannot be reached.
    StoresUnreachable,
    /// The relay has no configuration yet.
    NotConfigured,
    /// No route matched, but all keepers are unreachable and a newer configuration may contain one.
    KeepersUnreachable,
    /// The relay has no memory or connections left.
    NoCapacity,
    /// The process is shutting down.
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

    /// The status of the final response. It implies that the request was not executed only if that is certain.
    pub fn status(self, execution: ExecutionStatus) -> StatusCode {
        match (execution, self) {
            (ExecutionStatus::PossiblyExecuted, Rejection::DeadlineTooClose) => StatusCode::GATEWAY_TIMEOUT,
            (ExecutionStatus::PossiblyExecuted, _) => StatusCode::BAD_GATEWAY,
            (ExecutionStatus::NotSent | ExecutionStatus::NotExecuted, _) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The delay after which the client should retry a request that was not executed.
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
