//! Handles one client request, from its head to the head of the response.

use std::convert::Infallible;
use std::sync::Arc;

use http::header::{CONNECTION, HOST};
use http::{HeaderValue, Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use juniperwing_clock::Span;
use juniperwing_configuration::Route;
use juniperwing_protocol::headers;

use super::attempt_outcome::ExecutionStatus;
use super::body::RelayBody;
use super::connections::ClientConnection;
use super::forward::forward;
use super::http_headers::header_text;
use super::rejection::Rejection;
use super::request_log::PendingLogEntry;
use super::request_reader::{RequestError, check_head, exchange, read_body};
use super::responses::{reject, status_response};
use super::snapshot::ActiveConfiguration;
use super::state::RelayState;
use super::trace::{Outcome, RequestTrace};
use super::turn::{OpenTurn, TurnRejection};
use crate::clock::now;

/// Handles a request. It is rejected if `has_capacity` is false, because its connection exceeds the limit.
pub async fn handle_request(
    state: Arc<RelayState>, connection: Arc<ClientConnection>, request: Request<Incoming>, has_capacity: bool,
) -> Result<Response<RelayBody>, Infallible> {
    let open_request = connection.open_request();
    state.metrics.requests.increment();
    let trace = RequestTrace::start(header_text(request.headers(), headers::REQUEST_ID));
    // Written when dropped with this future, if the client disconnects before the response.
    let log_entry = PendingLogEntry::new(Arc::clone(&trace), Arc::clone(&state.request_log));
    let mut response = if has_capacity {
        respond_before_termination(&state, &connection, request, &trace).await
    } else {
        error_response(&state, &trace, RequestError::Rejected(Rejection::NoCapacity))
    };
    trace.record_response(response.status(), response.headers());
    response.body_mut().attach(open_request, log_entry);
    if state.shutdown.is_started() || !has_capacity {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Responds to a request. If the shutdown terminates first, the status leaves open whether the request was executed.
async fn respond_before_termination(
    state: &Arc<RelayState>, connection: &ClientConnection, request: Request<Incoming>,
    trace: &Arc<RequestTrace>,
) -> Response<RelayBody> {
    tokio::select! {
        biased;
        response = respond(state, connection, request, trace) => {
            response.unwrap_or_else(|error| error_response(state, trace, error))
        }
        () = state.shutdown.terminating() => {
            reject(state, trace, Rejection::ShuttingDown, ExecutionStatus::PossiblyExecuted)
        }
    }
}

fn error_response(state: &RelayState, trace: &RequestTrace, error: RequestError) -> Response<RelayBody> {
    match error {
        RequestError::Refused(status) => {
            trace.finish(Outcome::Refused(status));
            status_response(status)
        }
        RequestError::Rejected(rejection) => reject(state, trace, rejection, ExecutionStatus::NotSent),
    }
}

async fn respond(
    state: &Arc<RelayState>, connection: &ClientConnection, request: Request<Incoming>,
    trace: &Arc<RequestTrace>,
) -> Result<Response<RelayBody>, RequestError> {
    let received_at = now();
    let snapshot = state.cluster.snapshot();
    let active = snapshot.configuration.as_ref().ok_or(RequestError::Rejected(Rejection::NotConfigured))?;
    let route = find_route(state, active, &request)?;
    trace.record_route(&route, active.generation);
    let limits = active.table.limits();
    check_head(&request, limits)?;
    // An HTTP/1.0 client could not tell the end of a stream from a broken connection.
    if request.version() < Version::HTTP_11 && route.route_type.is_streaming() {
        return Err(RequestError::Refused(StatusCode::HTTP_VERSION_NOT_SUPPORTED));
    }
    let (parts, body) = request.into_parts();
    let deadline = received_at + time_allowed(&route, &parts.headers);
    let (body, memory) = read_body(&state.memory, body, limits, deadline).await?;
    let mut exchange = exchange(route, parts, body, deadline, trace, memory)?;
    if exchange.sent_event_id.is_some() {
        trace.record_client_resumption(header_text(&exchange.headers, headers::LAST_EVENT_ID));
    }
    let turn = OpenTurn::begin(&state.sessions, &mut exchange, &active.table).await;
    let turn = turn.inspect_err(|rejection| {
        if matches!(rejection, TurnRejection::Permanent(_)) {
            state.metrics.refused_turns.increment();
        }
    })?;
    if exchange.route.stores_turns && exchange.last_event_id() != exchange.sent_event_id {
        state.metrics.regenerated_turns.increment();
    }
    // The body now includes the earlier turns.
    let body_bytes = exchange.body.len();
    if !exchange.memory.grow(body_bytes) {
        return Err(RequestError::Rejected(Rejection::NoCapacity));
    }
    let response = forward(state, exchange, turn).await;
    connection.set_response_deadline(deadline);
    Ok(response)
}

fn find_route(
    state: &RelayState, active: &ActiveConfiguration, request: &Request<Incoming>,
) -> Result<Arc<Route>, RequestError> {
    let authority = request.uri().authority().map_or("", |authority| authority.as_str());
    let host = if authority.is_empty() { header_text(request.headers(), HOST.as_str()) } else { authority };
    let route = active.table.lookup(host, request.uri().path());
    route.cloned().ok_or_else(|| {
        if state.cluster.is_disconnected() {
            return RequestError::Rejected(Rejection::KeepersUnreachable);
        }
        state.metrics.no_route.increment();
        RequestError::Refused(StatusCode::NOT_FOUND)
    })
}

/// The shorter of the client's deadline and the route's timeout.
fn time_allowed(route: &Route, headers: &http::HeaderMap) -> Span {
    let deadline_ms: Option<f64> = header_text(headers, headers::DEADLINE_MS).trim().parse().ok();
    deadline_ms.map_or(route.timeout, |millis| Span::from_secs_f64(millis / 1_000.0).min(route.timeout))
}
