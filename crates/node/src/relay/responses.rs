//! Responses that the relay itself generates.

use http::{HeaderValue, Response, StatusCode, header};

use super::attempt_outcome::ExecutionStatus;
use super::body::RelayBody;
use super::rejection::Rejection;
use super::state::RelayState;
use super::trace::{Outcome, RequestTrace};

/// Creates a response with a status and its canonical reason as text.
pub fn status_response(status: StatusCode) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::text(status.canonical_reason().unwrap_or("")));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Counts a rejected request and creates its final response.
pub fn reject(
    state: &RelayState, trace: &RequestTrace, rejection: Rejection, execution: ExecutionStatus,
) -> Response<RelayBody> {
    state.metrics.count_rejection(rejection);
    let response = rejection_response(rejection, execution);
    trace.finish(Outcome::Rejected(rejection, response.status()));
    response
}

fn rejection_response(rejection: Rejection, execution: ExecutionStatus) -> Response<RelayBody> {
    let mut response = status_response(rejection.status(execution));
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = format!("{:.3}", rejection.retry_after().as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
