//! One attempt of a request at one endpoint.

use std::collections::VecDeque;

use bytes::Bytes;
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Method, Request, StatusCode, Version, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use juniperwing_balancing::ServerLoad;
use juniperwing_protocol::headers;

use super::attempt_outcome::{AttemptFailure, FailureCause};
use super::dispatcher::Slot;
use super::exchange::Exchange;
use super::http_headers::{has_other_transfer_coding, header_text};
use super::memory::MemoryReservation;
use super::state::RelayState;
use super::upstream::Connection;
use crate::clock::duration;

/// The maximum size in bytes of a response that is buffered completely before it is forwarded.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 16 << 20;

/// An endpoint's response whose head is valid and whose body has not been read yet.
pub struct EndpointResponse {
    /// The head.
    pub parts: response::Parts,
    /// The body.
    pub body: Incoming,
    /// The connection on which the response arrives.
    pub connection: Connection,
    /// Whether the body is delimited only by the end of the connection. A reset is an error, not an end.
    pub ends_with_connection: bool,
}

/// Returns an idle connection to the endpoint of a slot, or establishes one.
///
/// # Errors
///
/// If no connection is established in time, in which case nothing was sent.
pub async fn connect(
    state: &RelayState, exchange: &Exchange, slot: &Slot,
) -> Result<Connection, AttemptFailure> {
    if let Some(connection) = state.pool.take_idle(slot.endpoint()) {
        return Ok(connection);
    }
    let address = state.cluster.snapshot().address(slot.endpoint());
    let address = address.ok_or(AttemptFailure::not_sent(FailureCause::EndpointRemoved))?;
    state.metrics.connects.increment();
    let connection = state.pool.connect(address, duration(exchange.remaining_time())).await;
    connection.ok_or_else(|| {
        state.metrics.connect_failures.increment();
        state.pool.close_idle(slot.endpoint());
        AttemptFailure::not_sent(FailureCause::ConnectFailed)
    })
}

/// Sends the request and waits for the head of the response.
///
/// # Errors
///
/// If there is no valid response; the error says whether the request may have been executed.
pub async fn send(
    state: &RelayState, exchange: &Exchange, slot: &Slot, mut connection: Connection,
) -> Result<EndpointResponse, AttemptFailure> {
    loop {
        // The endpoint may have been removed while the connection was established.
        if !state.dispatcher.is_ready(slot.endpoint()) {
            return Err(AttemptFailure::not_sent(FailureCause::EndpointRemoved));
        }
        exchange.trace.check_may_send(exchange.is_retryable());
        match connection.sender.try_send_request(endpoint_request(exchange, slot)).await {
            Ok(response) => {
                let (parts, body) = response.into_parts();
                check_response_head(state, exchange, slot, &parts, &connection)?;
                return Ok(normalize_framing(exchange, parts, body, connection));
            }
            Err(mut error) => {
                if error.take_message().is_none() {
                    return Err(AttemptFailure::possibly_executed(FailureCause::ConnectionBroken));
                }
                if !connection.was_used {
                    return Err(AttemptFailure::not_sent(FailureCause::ConnectFailed));
                }
                // The endpoint closed the idle connection before any byte was written, so the request can be sent on
                // another one.
                connection = connect(state, exchange, slot).await?;
            }
        }
    }
}

fn endpoint_request(exchange: &Exchange, slot: &Slot) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(exchange.body.clone()));
    *request.method_mut() = exchange.method.clone();
    *request.uri_mut() = exchange.uri.clone();
    *request.headers_mut() = exchange.headers_for(slot.endpoint());
    request
}

/// Removes what the head says about the endpoint's framing, because the relay frames the forwarded response itself.
fn normalize_framing(
    exchange: &Exchange, mut parts: response::Parts, body: Incoming, connection: Connection,
) -> EndpointResponse {
    let ends_with_connection = !is_delimited(exchange, &parts);
    // As HTTP/1.0 the forwarded response would end with its connection, so that the client could not detect an abort.
    parts.version = Version::HTTP_11;
    if parts.headers.contains_key(TRANSFER_ENCODING) {
        // The chunks delimit the body. A forwarded `Content-Length` that differs would split the response for the
        // client.
        parts.headers.remove(CONTENT_LENGTH);
    }
    EndpointResponse { parts, body, connection, ends_with_connection }
}

/// Checks that the response belongs to the request and may be forwarded.
fn check_response_head(
    state: &RelayState, exchange: &Exchange, slot: &Slot, parts: &response::Parts, connection: &Connection,
) -> Result<(), AttemptFailure> {
    let is_declined = parts.headers.contains_key(headers::NOT_EXECUTED);
    let is_misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    let mut ids = parts.headers.get_all(headers::REQUEST_ID).iter().peekable();
    let matches_request = match ids.peek() {
        Some(_) => ids.all(|id| *id == exchange.request_id_header),
        // On a new connection, a refusal without an id can belong to no other request.
        None => !connection.was_used && (is_declined || is_misdirected),
    };
    if !matches_request {
        return Err(AttemptFailure::possibly_executed(FailureCause::MismatchedResponse));
    }
    if let Some(load) = ServerLoad::parse(header_text(&parts.headers, headers::SERVER_LOAD)) {
        state.dispatcher.record_load(slot.endpoint(), load);
    }
    if is_misdirected {
        if is_from_other_instance(parts, slot) {
            state.cluster.handle_misdirected(slot.endpoint());
        }
        return Err(AttemptFailure::declined(FailureCause::Misdirected));
    }
    if is_declined {
        return Err(AttemptFailure::declined(FailureCause::Declined));
    }
    if !is_valid_response(parts) {
        return Err(AttemptFailure::possibly_executed(FailureCause::InvalidResponse));
    }
    Ok(())
}

fn is_from_other_instance(parts: &response::Parts, slot: &Slot) -> bool {
    header_text(&parts.headers, headers::INSTANCE_ID) != &*slot.endpoint().0
}

/// Whether a response may be forwarded. A successful one needs the endpoint's signature and must have no content
/// coding.
fn is_valid_response(parts: &response::Parts) -> bool {
    // The relay never requests an upgrade, so 101 is not a valid response.
    if parts.status.is_informational() || has_other_transfer_coding(&parts.headers) {
        return false;
    }
    let is_signed = parts.headers.contains_key(headers::SERVER_SIGNATURE);
    let is_plain = !parts.headers.contains_key(CONTENT_ENCODING);
    !parts.status.is_success() || is_signed && is_plain
}

/// Whether the body is delimited by something other than the end of the connection.
fn is_delimited(exchange: &Exchange, parts: &response::Parts) -> bool {
    let has_no_body = exchange.method == Method::HEAD
        || matches!(parts.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let is_framed =
        parts.headers.contains_key(TRANSFER_ENCODING) || parts.headers.contains_key(CONTENT_LENGTH);
    has_no_body || is_framed
}

/// Reads a complete body, and reserves memory for it.
///
/// # Errors
///
/// If the body ends early, is too large, or exceeds the memory budget for all bodies.
pub async fn read_complete_body(
    body: &mut Incoming, memory: &mut MemoryReservation,
) -> Result<VecDeque<Bytes>, AttemptFailure> {
    let (mut chunks, mut length) = (VecDeque::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| AttemptFailure::possibly_executed(FailureCause::InvalidResponse))?;
        let Ok(chunk) = frame.into_data() else { continue };
        length += chunk.len();
        if length > MAX_BUFFERED_RESPONSE_BYTES {
            return Err(AttemptFailure::possibly_executed(FailureCause::InvalidResponse));
        }
        if !memory.grow(chunk.len()) {
            return Err(AttemptFailure::possibly_executed(FailureCause::NoMemory));
        }
        chunks.push_back(chunk);
    }
    Ok(chunks)
}
