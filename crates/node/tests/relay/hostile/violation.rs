//! The violations that a test case can detect.

use snafu::Snafu;

/// A violation that a test case has detected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Violation {
    #[snafu(display("malformed HTTP head: {bytes:?}"))]
    MalformedHead { bytes: String },
    #[snafu(display("response body is not delimited: {head}"))]
    UndelimitedResponse { head: String },
    #[snafu(display("malformed chunk: {bytes:?}"))]
    MalformedChunk { bytes: String },
    #[snafu(display("unexpected bytes after the last response: {bytes:?}"))]
    UnexpectedBytes { bytes: String },
    #[snafu(display("request without id: {head}"))]
    MissingRequestId { head: String },
    #[snafu(display("request that no client sent: {head}"))]
    UnknownRequest { head: String },
    #[snafu(display("changed request: {head}"))]
    ChangedRequest { head: String },
    #[snafu(display("changed body of request {id}"))]
    ChangedRequestBody { id: String },
    #[snafu(display("request {id} may have been executed {executions} times"))]
    ExecutedRepeatedly { id: String, executions: usize },
    #[snafu(display("wrong response to request {id}: {source}: {response}"))]
    WrongResponse { id: String, source: ResponseViolation, response: String },
}

/// What is wrong with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ResponseViolation {
    #[snafu(display("id of another request"))]
    WrongId,
    #[snafu(display("success without the endpoint's signature"))]
    UnsignedSuccess,
    #[snafu(display("body differs from the endpoint's error"))]
    WrongError,
    #[snafu(display("signature on a response of the relay"))]
    SignedRelayResponse,
    #[snafu(display("status of a request not executed, but the request was executed"))]
    FalselyNotExecuted,
    #[snafu(display("unexpected status"))]
    UnexpectedStatus,
    #[snafu(display("body differs from the endpoint's"))]
    WrongBytes,
    #[snafu(display("truncated, but looks complete"))]
    UndetectedTruncation,
    #[snafu(display("ends within an event"))]
    PartialEvent,
}
