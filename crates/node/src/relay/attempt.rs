//! One try of a request at one endpoint.

use std::collections::VecDeque;

use bytes::Bytes;
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, StatusCode, Version, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use juniperwing_balancing::ServerLoad;
use juniperwing_protocol::headers;

use super::RelayState;
use super::attempt_outcome::{AttemptFailure, FailureCause};
use super::dispatcher::Slot;
use super::exchange::{Exchange, has_other_transfer_coding, header_text};
use super::memory::MemoryReservation;
use super::upstream::Connection;
use crate::clock::duration;

/// The largest answer that is read whole before it is passed on.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 16 << 20;

/// An endpoint's answer whose head is sound, with its body still to come.
pub struct Answer {
    /// The head.
    pub parts: response::Parts,
    /// The body.
    pub body: Incoming,
    /// The connection that it comes over.
    pub connection: Connection,
    /// Whether only the end of the connection ends the body. A reset is an error, not an end.
    pub ends_with_connection: bool,
}

/// A connection to the endpoint of a slot: one that is kept, or a new one.
///
/// # Errors
///
/// If none comes up in time; nothing was sent.
pub async fn connect(
    core: &RelayState, exchange: &Exchange, slot: &Slot,
) -> Result<Connection, AttemptFailure> {
    let kept = core.pool.take(slot.endpoint());
    if let Some(connection) = kept {
        return Ok(connection);
    }
    let address = core.world.snapshot().address(slot.endpoint());
    let address = address.ok_or(AttemptFailure::not_sent(FailureCause::EndpointLeft))?;
    core.metrics.connections.add();
    let connection = core.pool.connect(address, duration(exchange.left())).await;
    connection.ok_or_else(|| {
        core.metrics.connections_failed.add();
        core.pool.forget(slot.endpoint());
        AttemptFailure::not_sent(FailureCause::NoConnection)
    })
}

/// Sends the request and waits for the head of its answer.
///
/// # Errors
///
/// What is known of the try if there is no sound answer.
pub async fn send(
    core: &RelayState, exchange: &Exchange, slot: &Slot, mut connection: Connection,
) -> Result<Answer, AttemptFailure> {
    loop {
        // Endpoints may have left while the connection came up.
        if !core.dispatcher.is_ready(slot.endpoint()) {
            return Err(AttemptFailure::not_sent(FailureCause::EndpointLeft));
        }
        exchange.trace.sending(exchange.is_retryable());
        match connection.sender.try_send_request(request(exchange, slot)).await {
            Ok(answer) => {
                let (parts, body) = answer.into_parts();
                check_head(core, exchange, slot, &parts, &connection)?;
                return Ok(accept(exchange, parts, body, connection));
            }
            Err(mut error) => {
                if error.take_message().is_none() {
                    return Err(AttemptFailure::may_have_run(FailureCause::Broken));
                }
                if !connection.used {
                    return Err(AttemptFailure::not_sent(FailureCause::NoConnection));
                }
                // The endpoint closed the connection before a byte was written: another one will do.
                connection = connect(core, exchange, slot).await?;
            }
        }
    }
}

/// An answer as it is passed on: framed anew, so that what the endpoint told of its framing must not stay.
fn accept(exchange: &Exchange, mut parts: response::Parts, body: Incoming, connection: Connection) -> Answer {
    let ends_with_connection = !is_delimited(exchange, &parts);
    // The client's side of an HTTP/1.0 answer would end with the connection too, also if it breaks off.
    parts.version = Version::HTTP_11;
    if parts.headers.contains_key(TRANSFER_ENCODING) {
        // The chunks count: another length would split the answer in two for the client.
        parts.headers.remove(CONTENT_LENGTH);
    }
    Answer { parts, body, connection, ends_with_connection }
}

fn request(exchange: &Exchange, slot: &Slot) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(exchange.body.clone()));
    *request.method_mut() = exchange.method.clone();
    *request.uri_mut() = exchange.uri.clone();
    *request.headers_mut() = exchange.headers_for(slot.endpoint());
    request
}

/// Whether the head is one that may be passed on.
fn check_head(
    core: &RelayState, exchange: &Exchange, slot: &Slot, parts: &response::Parts, connection: &Connection,
) -> Result<(), AttemptFailure> {
    let declined = parts.headers.contains_key(headers::NOT_EXECUTED);
    let misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    let mut ids = parts.headers.get_all(headers::REQUEST_ID).iter().peekable();
    let own = match ids.peek() {
        Some(_) => ids.all(|id| *id == exchange.request),
        // Nothing of another request can come first on a new connection.
        None => !connection.used && (declined || misdirected),
    };
    if !own {
        return Err(AttemptFailure::may_have_run(FailureCause::WrongRequest));
    }
    if let Some(load) = ServerLoad::read(header_text(&parts.headers, headers::SERVER_LOAD)) {
        core.dispatcher.tell(slot.endpoint(), load);
    }
    if misdirected {
        if expects_other(parts, slot) {
            core.world.misdirected(slot.endpoint());
        }
        return Err(AttemptFailure::declined(FailureCause::Misdirected));
    }
    if declined {
        return Err(AttemptFailure::declined(FailureCause::Declined));
    }
    if !is_valid_response(parts) {
        return Err(AttemptFailure::may_have_run(FailureCause::InvalidResponse));
    }
    Ok(())
}

/// Whether another instance answered at the address.
fn expects_other(parts: &response::Parts, slot: &Slot) -> bool {
    header_text(&parts.headers, headers::INSTANCE_ID) != &*slot.endpoint().0
}

/// Whether an answer may be passed on. A success counts only with the endpoint's stamp and as plain bytes.
fn is_valid_response(parts: &response::Parts) -> bool {
    // No upgrade is ever asked for: 101 is no answer.
    if parts.status.is_informational() || has_other_transfer_coding(&parts.headers) {
        return false;
    }
    let stamped = parts.headers.contains_key(headers::SERVER_SIGNATURE);
    let plain = !parts.headers.contains_key(CONTENT_ENCODING);
    !parts.status.is_success() || stamped && plain
}

/// Whether the end of the body is told otherwise than by the end of the connection.
fn is_delimited(exchange: &Exchange, parts: &response::Parts) -> bool {
    let bodiless = exchange.method == Method::HEAD
        || matches!(parts.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let framed = parts.headers.contains_key(TRANSFER_ENCODING) || parts.headers.contains_key(CONTENT_LENGTH);
    bodiless || framed
}

/// Reads a body to its end; `held` is the room that it takes.
///
/// # Errors
///
/// If it ends early, or is too large to be held, alone or with all others.
pub async fn read_complete_body(
    body: &mut Incoming, held: &mut MemoryReservation,
) -> Result<VecDeque<Bytes>, AttemptFailure> {
    let (mut pieces, mut length) = (VecDeque::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| AttemptFailure::may_have_run(FailureCause::InvalidResponse))?;
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        if length > MAX_BUFFERED_RESPONSE_BYTES {
            return Err(AttemptFailure::may_have_run(FailureCause::InvalidResponse));
        }
        if !held.grow(data.len()) {
            return Err(AttemptFailure::may_have_run(FailureCause::NoCapacity));
        }
        pieces.push_back(data);
    }
    Ok(pieces)
}

/// The seconds for which the endpoint keeps the connection; 0 if it closes it.
pub fn keep_alive(headers: &HeaderMap) -> Option<u64> {
    let connection = header_text(headers, "connection");
    if connection.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")) {
        return Some(0);
    }
    let told = header_text(headers, "keep-alive");
    let timeout = told.split(',').find_map(|option| option.trim().strip_prefix("timeout="));
    timeout.unwrap_or(told).trim().parse().ok()
}
