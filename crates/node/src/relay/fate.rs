//! What is known of tries, and which answers may follow from it.

use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use juniperwing_balancing::Ending;
use juniperwing_clock::Span;

use super::body::RelayBody;

/// What is known of one try. Ordered: of several tries the highest counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    /// No byte of it was written.
    NotSent,
    /// The endpoint has declared that it did not run it.
    DeclaredNotExecuted,
    /// It was sent, and the endpoint has not declared that it did not run it.
    MayHaveRun,
}

/// Why a try is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
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
    Unsound,
    /// The endpoint answered that it failed.
    EndpointError,
    /// No answer within the time-out.
    Silent,
    /// The relay has no room for the answer.
    NoRoom,
}

impl Cause {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Cause::NoConnection => "no connection",
            Cause::EndpointLeft => "endpoint left",
            Cause::Declined => "declined",
            Cause::Misdirected => "misdirected",
            Cause::Broken => "broken",
            Cause::WrongRequest => "answer of another request",
            Cause::Unsound => "unsound answer",
            Cause::EndpointError => "endpoint error",
            Cause::Silent => "silent",
            Cause::NoRoom => "no room for the answer",
        }
    }

    /// What it says of the endpoint.
    pub fn ending(self) -> Ending {
        match self {
            Cause::Declined => Ending::Full,
            Cause::Silent => Ending::Silent,
            Cause::EndpointLeft | Cause::Misdirected | Cause::NoRoom => Ending::Abandoned,
            Cause::NoConnection
            | Cause::Broken
            | Cause::WrongRequest
            | Cause::Unsound
            | Cause::EndpointError => Ending::Failed,
        }
    }
}

/// A try that gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What is known of it.
    pub fate: Fate,
    /// Why.
    pub cause: Cause,
}

impl Failure {
    /// A try of which no byte was written.
    pub fn not_sent(cause: Cause) -> Failure {
        Failure { fate: Fate::NotSent, cause }
    }

    /// A try that the endpoint declined.
    pub fn declined(cause: Cause) -> Failure {
        Failure { fate: Fate::DeclaredNotExecuted, cause }
    }

    /// A try that may have run.
    pub fn may_have_run(cause: Cause) -> Failure {
        Failure { fate: Fate::MayHaveRun, cause }
    }
}

/// Why the relay gives a request up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUp {
    /// Too little time is left.
    TooLate,
    /// It has been sent to as many endpoints as it may.
    NoTriesLeft,
    /// No endpoint is ready.
    NoEndpoint,
    /// Endpoints and queue are full.
    Full,
    /// The connection to the only endpoint that may run it broke.
    Broken,
    /// Turns and budgets cannot be reached.
    NoSessions,
    /// The relay has no configuration yet.
    NotConfigured,
    /// No route is known, and all keepers are lost: a newer configuration may have one.
    OutOfTouch,
    /// The relay has no room.
    NoRoom,
    /// The process ends.
    Ending,
}

impl GivenUp {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            GivenUp::TooLate => "too late",
            GivenUp::NoTriesLeft => "no tries left",
            GivenUp::NoEndpoint => "no endpoint",
            GivenUp::Full => "full",
            GivenUp::Broken => "broken",
            GivenUp::NoSessions => "no sessions",
            GivenUp::NotConfigured => "not configured",
            GivenUp::OutOfTouch => "out of touch",
            GivenUp::NoRoom => "no room",
            GivenUp::Ending => "the relay ends",
        }
    }

    /// When the client should come back if the request has not run.
    fn retry_after(self) -> Span {
        let millis = match self {
            GivenUp::TooLate | GivenUp::Broken | GivenUp::NoTriesLeft | GivenUp::Ending => 50,
            GivenUp::Full => 150,
            GivenUp::NoSessions => 200,
            GivenUp::NoEndpoint | GivenUp::NoRoom => 300,
            GivenUp::NotConfigured | GivenUp::OutOfTouch => 500,
        };
        Span::from_millis(millis)
    }

    /// The final answer: a promise that nothing has run only where that is known.
    pub fn answer(self, fate: Fate) -> Response<RelayBody> {
        match (fate, self) {
            (Fate::MayHaveRun, GivenUp::TooLate) => plain(StatusCode::GATEWAY_TIMEOUT),
            (Fate::MayHaveRun, _) => plain(StatusCode::BAD_GATEWAY),
            (Fate::NotSent | Fate::DeclaredNotExecuted, _) => self.refusal(),
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
