//! Checks the head of a client's request, reads its body, and builds an [`Exchange`] from them.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, EXPECT, HOST};
use http::{HeaderMap, Request, StatusCode, Uri, request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use juniperwing_balancing::{Destination, PromptSection};
use juniperwing_clock::Time;
use juniperwing_configuration::{Limits, Route};
use juniperwing_protocol::headers;
use juniperwing_protocol::identity::ProgramId;
use tokio::time::timeout;

use super::exchange::Exchange;
use super::http_headers::{has_other_transfer_coding, header_number, header_text, remove_hop_by_hop};
use super::memory::{MemoryBudget, MemoryReservation};
use super::rejection::Rejection;
use super::trace::RequestTrace;
use super::turn::TurnRejection;
use crate::clock::{duration, now, random};

/// The bytes of a header line besides name and value: the separator and the line ending.
const HEADER_LINE_OVERHEAD_BYTES: usize = 4;

/// Why a request is not forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// Permanently, with this status.
    Refused(StatusCode),
    /// Temporarily: the client may retry.
    Rejected(Rejection),
}

impl From<TurnRejection> for RequestError {
    fn from(rejection: TurnRejection) -> Self {
        match rejection {
            TurnRejection::Permanent(status) => RequestError::Refused(status),
            TurnRejection::Temporary(rejection) => RequestError::Rejected(rejection),
        }
    }
}

/// Checks the head of a request.
///
/// # Errors
///
/// If the head or the announced body is too large, or an endpoint might parse the request differently.
pub fn check_head(request: &Request<Incoming>, limits: &Limits) -> Result<(), RequestError> {
    let lines = request.headers().iter();
    let head_bytes: usize =
        lines.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD_BYTES).sum();
    if head_bytes as u64 > limits.max_header_bytes {
        return Err(RequestError::Refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
    }
    if header_number(request.headers(), CONTENT_LENGTH.as_str()) > Some(limits.max_body_bytes) {
        return Err(RequestError::Refused(StatusCode::PAYLOAD_TOO_LARGE));
    }
    check_unambiguous(request.headers())
}

/// Checks that an endpoint cannot parse the request differently, which would allow request smuggling.
fn check_unambiguous(headers: &HeaderMap) -> Result<(), RequestError> {
    let count = |name: &str| headers.get_all(name).iter().count();
    if count(headers::REQUEST_ID) != 1 || count(HOST.as_str()) > 1 || has_other_transfer_coding(headers) {
        return Err(RequestError::Refused(StatusCode::BAD_REQUEST));
    }
    Ok(())
}

/// Reads the complete body, and reserves memory for it.
///
/// # Errors
///
/// If the body is too large, incomplete, or does not arrive by the deadline, or if the memory budget is exceeded.
pub async fn read_body(
    memory: &Arc<MemoryBudget>, mut body: Incoming, limits: &Limits, deadline: Time,
) -> Result<(Bytes, MemoryReservation), RequestError> {
    let mut memory = memory.reserve(0).ok_or(RequestError::Rejected(Rejection::NoCapacity))?;
    let read = read_chunks(&mut body, &mut memory, limits);
    let in_time = timeout(duration(deadline.since(now())), read).await;
    let mut chunks = in_time.map_err(|_| RequestError::Refused(StatusCode::REQUEST_TIMEOUT))??;
    let body = match chunks.len() {
        0 => Bytes::new(),
        1 => chunks.swap_remove(0),
        _ => Bytes::from(chunks.concat()),
    };
    Ok((body, memory))
}

async fn read_chunks(
    body: &mut Incoming, memory: &mut MemoryReservation, limits: &Limits,
) -> Result<Vec<Bytes>, RequestError> {
    let (mut chunks, mut length) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestError::Refused(StatusCode::BAD_REQUEST))?;
        let Ok(chunk) = frame.into_data() else { continue };
        length += chunk.len();
        if length as u64 > limits.max_body_bytes {
            return Err(RequestError::Refused(StatusCode::PAYLOAD_TOO_LARGE));
        }
        if !memory.grow(chunk.len()) {
            return Err(RequestError::Rejected(Rejection::NoCapacity));
        }
        chunks.push(chunk);
    }
    Ok(chunks)
}

/// Builds the exchange for a request that has been read.
///
/// # Errors
///
/// If the request has no id, or a target that cannot be forwarded.
pub fn exchange(
    route: Arc<Route>, parts: request::Parts, body: Bytes, deadline: Time, trace: &Arc<RequestTrace>,
    memory: MemoryReservation,
) -> Result<Exchange, RequestError> {
    let bad_request = || RequestError::Refused(StatusCode::BAD_REQUEST);
    let mut headers = parts.headers;
    let request_id_header = headers.get(headers::REQUEST_ID).cloned().ok_or_else(bad_request)?;
    remove_hop_by_hop(&mut headers);
    // The body is forwarded as a whole, with a length that the HTTP library sets.
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    let program = Some(header_text(&headers, headers::PROGRAM)).filter(|program| !program.is_empty());
    let destination = Destination {
        service: route.service_for(random()).clone(),
        host: route.hostname.clone(),
        prefix: route.path_prefix.clone(),
    };
    let sent_event_id = headers.get(headers::LAST_EVENT_ID).filter(|_| tracks_sent_events(&route));
    // An empty id says that the client has no event.
    let sent_event_id = sent_event_id.filter(|id| !id.is_empty());
    Ok(Exchange {
        sent_event_id: sent_event_id.map(|id| Bytes::copy_from_slice(id.as_bytes())),
        destination,
        method: parts.method,
        uri: origin_form(&parts.uri).ok_or_else(bad_request)?,
        request_id_header,
        prompt: PromptSection::parse_list(header_text(&headers, headers::PROMPT_PREFIX)),
        program: program.map(ProgramId::from),
        previous_endpoint: None,
        new_prompt_fraction: 1.0,
        headers,
        body,
        deadline,
        route,
        trace: Arc::clone(trace),
        memory,
    })
}

/// Whether the relay has to know which events the client has: to resume a stream within its response, or to store a
/// turn with all events.
fn tracks_sent_events(route: &Route) -> bool {
    route.route_type.is_streaming() && (route.is_retryable() || route.stores_turns)
}

/// Converts a request target to origin form, that is, without its authority.
fn origin_form(uri: &Uri) -> Option<Uri> {
    if uri.authority().is_none() {
        return Some(uri.clone());
    }
    Uri::builder().path_and_query(uri.path_and_query()?.clone()).build().ok()
}
