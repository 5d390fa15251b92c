//! A client's request in the form in which it is forwarded.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};
use http::{Method, Uri};
use juniperwing_balancing::{Destination, PlacementRequest, PromptSection};
use juniperwing_clock::{Span, Time};
use juniperwing_configuration::Route;
use juniperwing_protocol::headers;
use juniperwing_protocol::identity::{InstanceId, ProgramId, RequestId};

use super::http_headers::{header_name, value_text};
use super::memory::MemoryReservation;
use super::sessions::TurnError;
use super::trace::RequestTrace;
use crate::clock::now;

/// The time before the deadline that is reserved for sending the response to the client.
const RESPONSE_ALLOWANCE: Span = Span::from_millis(15);
/// The numerically greatest, least urgent value of the `Priority` header.
const LOWEST_PRIORITY: u32 = 9;
/// How long a request waits for a slot, as a fraction of its route's latency target.
const QUEUE_WAIT_FRACTION_OF_TARGET: f64 = 0.25;
/// How long a request waits for a slot, as a fraction of the remaining time, if its route has no latency target or the
/// request belongs to a program, whose latency target applies to the program as a whole.
const QUEUE_WAIT_FRACTION_OF_REMAINING: f64 = 0.25;

/// A client's request with everything needed to forward it.
pub struct Exchange {
    /// The route.
    pub route: Arc<Route>,
    /// The service chosen for it.
    pub destination: Destination,
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub uri: Uri,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body; for stored turns preceded by the earlier turns.
    pub body: Bytes,
    /// The id of the last event that the client has of the stream that it resumes, if the relay has to know it.
    pub sent_event_id: Option<Bytes>,
    /// The value of the client's `X-Request-Id`.
    pub request_id_header: HeaderValue,
    /// The sections of the prompt.
    pub prompt: Vec<PromptSection>,
    /// The fraction of the prompt that is new in this turn.
    pub new_prompt_fraction: f64,
    /// The program to which the request belongs.
    pub program: Option<ProgramId>,
    /// The endpoint that ran the previous turn.
    pub previous_endpoint: Option<InstanceId>,
    /// The earlier of the client's deadline and the route's timeout.
    pub deadline: Time,
    /// Records what happens to the request.
    pub trace: Arc<RequestTrace>,
    /// The memory reserved for the body and for what is retained of the response.
    pub memory: MemoryReservation,
}

impl Exchange {
    /// The time left for attempts.
    pub fn remaining_time(&self) -> Span {
        self.deadline.since(now()) - RESPONSE_ALLOWANCE
    }

    /// Whether the request may be executed more than once.
    pub fn is_retryable(&self) -> bool {
        self.route.is_retryable()
    }

    /// Records why the stores were unavailable, if that is the error.
    pub fn record_turn_error(&self, error: TurnError) {
        if let TurnError::Unavailable { cause } = error {
            self.trace.record_store_failure(cause);
        }
    }

    /// The id of the request.
    pub fn request_id(&self) -> RequestId {
        RequestId::from(value_text(&self.request_id_header))
    }

    /// The id of the event after which an endpoint has to resume the stream, if there is one.
    pub fn last_event_id(&self) -> Option<Bytes> {
        let id = self.headers.get(headers::LAST_EVENT_ID).filter(|_| self.sent_event_id.is_some());
        id.map(|id| Bytes::copy_from_slice(id.as_bytes()))
    }

    /// Sets the id of the event after which an endpoint has to resume the stream; with `None` it sends all events.
    pub fn set_last_event_id(&mut self, id: Option<u64>) {
        let name = header_name(headers::LAST_EVENT_ID);
        match id {
            Some(id) => drop(self.headers.insert(name, HeaderValue::from(id))),
            None => drop(self.headers.remove(name)),
        }
    }

    /// Creates the request to the balancer for an attempt with the given timeout.
    pub fn placement_request(&self, excluded: Vec<InstanceId>, attempt_timeout: Span) -> PlacementRequest {
        PlacementRequest {
            destination: self.destination.clone(),
            priority: self.route.priority,
            excluded,
            prompt: self.prompt.clone(),
            new_prompt_fraction: self.new_prompt_fraction,
            previous_endpoint: self.previous_endpoint.clone(),
            program: self.program.clone(),
            attempt_timeout,
        }
    }

    /// The maximum time that the request may wait for a slot.
    pub fn max_queue_wait(&self) -> Span {
        let remaining = self.remaining_time();
        match (&self.program, self.route.target_latency) {
            (None, Some(target)) => target.mul_f64(QUEUE_WAIT_FRACTION_OF_TARGET).min(remaining),
            _ => remaining.mul_f64(QUEUE_WAIT_FRACTION_OF_REMAINING),
        }
    }

    /// The headers to be sent to an endpoint.
    pub fn headers_for(&self, endpoint: &InstanceId) -> HeaderMap {
        let mut headers = self.headers.clone();
        let remaining_ms = self.deadline.since(now()).as_millis();
        headers.insert(header_name(headers::DEADLINE_MS), HeaderValue::from(remaining_ms));
        let priority = self.route.priority.min(LOWEST_PRIORITY);
        headers.insert(header_name(headers::PRIORITY), HeaderValue::from(priority));
        if let Ok(id) = HeaderValue::from_str(&endpoint.0) {
            headers.insert(header_name(headers::EXPECT_INSTANCE), id);
        }
        headers
    }
}
