//! What is known of tries, and which answers may follow from it.

use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use juniperwing_balancing::CallOutcome;
use juniperwing_clock::Span;

use super::body::RelayBody;

/// What is known of one try. Ordered: of several tries the highest counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExecutionStatus {
    /// No byte of it was written.
    NotSent,
    /// The endpoint has declared that it did not run it.
    DeclaredNotExecuted,
    /// It was sent, and the endpoint has not declared that it did not run it.
    MayHaveRun,
}

/// Why a try is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// No connection came up in time.
    NoConnection,
    /// The endpoint has left meanwhile.
    EndpointLeft,
    /// The endpoint is full, or declined for another reason.
    Declined,
    /// Another instance has the address.
    Misdirected,
    /// The connection broke.
    Broken,
    /// The answer belongs to another request.
    WrongRequest,
    /// The answer is not the endpoint's whole, plain, stamped one.
    InvalidResponse,
    /// The endpoint answered that it failed.
    EndpointError,
    /// No answer within the time-out.
    TimedOut,
    /// The relay has no room for the answer.
    NoCapacity,
}

impl FailureCause {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            FailureCause::NoConnection => "no connection",
            FailureCause::EndpointLeft => "endpoint left",
            FailureCause::Declined => "declined",
            FailureCause::Misdirected => "misdirected",
            FailureCause::Broken => "broken",
            FailureCause::WrongRequest => "answer of another request",
            FailureCause::InvalidResponse => "unsound answer",
            FailureCause::EndpointError => "endpoint error",
            FailureCause::TimedOut => "silent",
            FailureCause::NoCapacity => "no room for the answer",
        }
    }

    /// What it says of the endpoint.
    pub fn ending(self) -> CallOutcome {
        match self {
            FailureCause::Declined => CallOutcome::Overloaded,
            FailureCause::TimedOut => CallOutcome::TimedOut,
            FailureCause::EndpointLeft | FailureCause::Misdirected | FailureCause::NoCapacity => {
                CallOutcome::Cancelled
            }
            FailureCause::NoConnection
            | FailureCause::Broken
            | FailureCause::WrongRequest
            | FailureCause::InvalidResponse
            | FailureCause::EndpointError => CallOutcome::Failed,
        }
    }
}

/// A try that gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// What is known of it.
    pub fate: ExecutionStatus,
    /// Why.
    pub cause: FailureCause,
}

impl AttemptFailure {
    /// A try of which no byte was written.
    pub fn not_sent(cause: FailureCause) -> AttemptFailure {
        AttemptFailure { fate: ExecutionStatus::NotSent, cause }
    }

    /// A try that the endpoint declined.
    pub fn declined(cause: FailureCause) -> AttemptFailure {
        AttemptFailure { fate: ExecutionStatus::DeclaredNotExecuted, cause }
    }

    /// A try that may have run.
    pub fn may_have_run(cause: FailureCause) -> AttemptFailure {
        AttemptFailure { fate: ExecutionStatus::MayHaveRun, cause }
    }
}

/// Why the relay gives a request up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Too little time is left.
    DeadlineTooClose,
    /// It has been sent to as many endpoints as it may.
    RetriesExhausted,
    /// No endpoint is ready.
    NoEndpoint,
    /// Endpoints and queue are full.
    Full,
    /// The connection to the only endpoint that may run it broke.
    Broken,
    /// Turns and budgets cannot be reached.
    StoresUnreachable,
    /// The relay has no configuration yet.
    NotConfigured,
    /// No route is known, and all keepers are lost: a newer configuration may have one.
    KeepersUnreachable,
    /// The relay has no room.
    NoCapacity,
    /// The process ends.
    ShuttingDown,
}

impl Rejection {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Rejection::DeadlineTooClose => "too late",
            Rejection::RetriesExhausted => "no tries left",
            Rejection::NoEndpoint => "no endpoint",
            Rejection::Full => "full",
            Rejection::Broken => "broken",
            Rejection::StoresUnreachable => "no sessions",
            Rejection::NotConfigured => "not configured",
            Rejection::KeepersUnreachable => "out of touch",
            Rejection::NoCapacity => "no room",
            Rejection::ShuttingDown => "the relay ends",
        }
    }

    /// When the client should come back if the request has not run.
    fn retry_after(self) -> Span {
        let millis = match self {
            Rejection::DeadlineTooClose
            | Rejection::Broken
            | Rejection::RetriesExhausted
            | Rejection::ShuttingDown => 50,
            Rejection::Full => 150,
            Rejection::StoresUnreachable => 200,
            Rejection::NoEndpoint | Rejection::NoCapacity => 300,
            Rejection::NotConfigured | Rejection::KeepersUnreachable => 500,
        };
        Span::from_millis(millis)
    }

    /// The final answer: a promise that nothing has run only where that is known.
    pub fn answer(self, fate: ExecutionStatus) -> Response<RelayBody> {
        match (fate, self) {
            (ExecutionStatus::MayHaveRun, Rejection::DeadlineTooClose) => plain(StatusCode::GATEWAY_TIMEOUT),
            (ExecutionStatus::MayHaveRun, _) => plain(StatusCode::BAD_GATEWAY),
            (ExecutionStatus::NotSent | ExecutionStatus::DeclaredNotExecuted, _) => self.refusal(),
        }
    }

    fn refusal(self) -> Response<RelayBody> {
        let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
        let seconds = format!("{:.3}", self.retry_after().as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
        answer
    }
}

/// An answer of the relay's own.
pub fn plain(status: StatusCode) -> Response<RelayBody> {
    let mut answer = Response::new(RelayBody::text(status.canonical_reason().unwrap_or("")));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// A name from the list of header names.
pub(crate) fn header_name(name: &'static str) -> HeaderName {
    HeaderName::from_static(name)
}
