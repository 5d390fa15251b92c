//! A client's request as it is passed on, and the headers that concern only one connection.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Uri};
use juniperwing_balancing::{Destination, PlacementRequest, PromptSection};
use juniperwing_clock::{Span, Time};
use juniperwing_configuration::Route;
use juniperwing_protocol::headers;
use juniperwing_protocol::identity::{InstanceId, ProgramId, RequestId};

use super::attempt_outcome::header_name;
use super::memory::MemoryReservation;
use super::sessions::TurnError;
use super::trace::RequestTrace;
use crate::clock::now;

/// Kept back from the time left for the way back to the client.
const RESPONSE_ALLOWANCE: Span = Span::from_millis(15);
/// The least urgent `Priority`.
const LOWEST_PRIORITY: u32 = 9;
/// For how long a request waits for a slot, as a share of its objective.
const QUEUE_WAIT_FRACTION_OF_TARGET: f64 = 0.25;
/// The same for requests of programs, whose objective is the program's: a share of the time left.
const QUEUE_WAIT_FRACTION_OF_REMAINING: f64 = 0.25;

/// A client's request.
pub struct Exchange {
    /// Its route.
    pub route: Arc<Route>,
    /// The service chosen for it.
    pub destination: Destination,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, without those that concern only one connection.
    pub headers: HeaderMap,
    /// Its body; for kept turns, with the turns before it.
    pub body: Bytes,
    /// The try.
    pub request: HeaderValue,
    /// The parts of its prompt.
    pub prompt: Vec<PromptSection>,
    /// The share of its prompt that no turn before held.
    pub new_prompt_fraction: f64,
    /// The program.
    pub program: Option<ProgramId>,
    /// The endpoint that ran the turn before.
    pub hint: Option<InstanceId>,
    /// When the client, or the operator, gives it up.
    pub deadline: Time,
    /// What becomes of it.
    pub trace: Arc<RequestTrace>,
    /// The room that its body takes, and what is kept of its answer.
    pub held: MemoryReservation,
}

impl Exchange {
    /// The time left for tries.
    pub fn left(&self) -> Span {
        self.deadline.since(now()) - RESPONSE_ALLOWANCE
    }

    /// Whether it may run more than once.
    pub fn is_retryable(&self) -> bool {
        self.route.is_retryable()
    }

    /// The stores could not, or would not, do what it needs.
    pub fn note_stores(&self, fault: TurnError) {
        if let TurnError::Unavailable { trouble } = fault {
            self.trace.stores_failed(trouble);
        }
    }

    /// The id of the try.
    pub fn request_id(&self) -> RequestId {
        RequestId::from(text(&self.request))
    }

    /// The event behind which the client wants its stream to go on, where it may be taken up so.
    pub fn last_event_id(&self) -> Option<Bytes> {
        let id = self.headers.get(headers::LAST_EVENT_ID).filter(|_| self.is_retryable());
        id.map(|id| Bytes::copy_from_slice(id.as_bytes()))
    }

    /// What the balancer is asked for a try of it that may last for `time_out`.
    pub fn ask(&self, excluded: Vec<InstanceId>, time_out: Span) -> PlacementRequest {
        PlacementRequest {
            destination: self.destination.clone(),
            priority: self.route.priority,
            excluded,
            prompt: self.prompt.clone(),
            new_prompt_fraction: self.new_prompt_fraction,
            hint: self.hint.clone(),
            program: self.program.clone(),
            time_out,
        }
    }

    /// How long it may wait for a slot.
    pub fn patience(&self) -> Span {
        let left = self.left();
        match (&self.program, self.route.target_latency) {
            (None, Some(objective)) => objective.mul_f64(QUEUE_WAIT_FRACTION_OF_TARGET).min(left),
            _ => left.mul_f64(QUEUE_WAIT_FRACTION_OF_REMAINING),
        }
    }

    /// The headers for an endpoint.
    pub fn headers_for(&self, endpoint: &InstanceId) -> HeaderMap {
        let mut headers = self.headers.clone();
        let left = self.deadline.since(now()).as_nanos() / 1_000_000;
        headers.insert(header_name(headers::DEADLINE_MS), HeaderValue::from(left));
        let priority = self.route.priority.min(LOWEST_PRIORITY);
        headers.insert(header_name(headers::PRIORITY), HeaderValue::from(priority));
        if let Ok(id) = HeaderValue::from_str(&endpoint.0) {
            headers.insert(header_name(headers::EXPECT_INSTANCE), id);
        }
        headers
    }
}

/// A header as text; empty if it is missing or is none.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).map_or("", text)
}

/// A header as a number.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name).trim().parse().ok()
}

fn text(value: &HeaderValue) -> &str {
    value.to_str().unwrap_or("")
}

/// Whether a body is coded in another way than in chunks; the codes would be passed on as its bytes.
pub fn has_other_transfer_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    codings.next().is_some_and(|first| !first.as_bytes().eq_ignore_ascii_case(b"chunked"))
        || codings.next().is_some()
}

/// Removes the headers that concern only one connection.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    const HOP_BY_HOP: [HeaderName; 8] = [
        header::CONNECTION,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
        header::PROXY_AUTHENTICATE,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .flat_map(|value| text(value).split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name: &HeaderName| !name.as_str().starts_with("x-"))
        .collect();
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
}
