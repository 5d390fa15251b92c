//! What a case may violate.

use snafu::Snafu;

/// What a case has violated.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Violation {
    #[snafu(display("not HTTP: {bytes:?}"))]
    MalformedHead { bytes: String },
    #[snafu(display("a response without a clear end: {head}"))]
    UndelimitedResponse { head: String },
    #[snafu(display("not a chunk: {bytes:?}"))]
    MalformedChunk { bytes: String },
    #[snafu(display("unexpected bytes: {bytes:?}"))]
    UnexpectedBytes { bytes: String },
    #[snafu(display("a request without id: {head}"))]
    MissingRequestId { head: String },
    #[snafu(display("a request that no client sent: {head}"))]
    UnknownRequest { head: String },
    #[snafu(display("a changed request: {head}"))]
    ChangedRequest { head: String },
    #[snafu(display("other bytes in the body of {id}"))]
    ChangedRequestBody { id: String },
    #[snafu(display("{id} may have been executed {executions} times"))]
    ExecutedRepeatedly { id: String, executions: usize },
    #[snafu(display("{id}: {source}: {response}"))]
    WrongResponse { id: String, source: ResponseViolation, response: String },
}

/// What is wrong with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ResponseViolation {
    #[snafu(display("it has another id"))]
    OtherId,
    #[snafu(display("a success without its signature"))]
    UnsignedSuccess,
    #[snafu(display("another error than the endpoint's"))]
    OtherError,
    #[snafu(display("a signature on a response of the relay"))]
    SignedRelayResponse,
    #[snafu(display("it was executed after all"))]
    ExecutedAfterAll,
    #[snafu(display("an unexpected status"))]
    UnexpectedStatus,
    #[snafu(display("other bytes than the endpoint's"))]
    OtherBytes,
    #[snafu(display("it looks complete and is not"))]
    FalselyComplete,
    #[snafu(display("part of an event"))]
    PartialEvent,
}
