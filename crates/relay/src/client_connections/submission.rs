//! A notification as a client submits it, and the response to it.

use juniperwing::time::Span;

use crate::http::Request;
use crate::journal::Attributes;

/// The longest id, key or name that is accepted, in bytes.
const MAX_VALUE_BYTES: usize = 256;

/// A notification as a client submitted it.
#[derive(Debug, PartialEq)]
pub struct Submission {
    /// Its attributes, as the client set them.
    pub attributes: Attributes,
    /// For how long it may be delivered.
    pub time_left: Span,
    /// Its body.
    pub body: Vec<u8>,
}

/// The response to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionResponse {
    /// Accepted; its final outcome follows later.
    Accepted,
    /// Rejected by a rate limit, with the delay after which the client is to retry; zero if none is advised.
    Throttled(Span),
    /// Rejected for lack of capacity.
    Unavailable,
    /// Expired in the iteration in which it was submitted.
    Expired,
    /// Malformed, or naming what the settings do not know.
    Malformed,
    /// For a destination that is not on the endpoint list.
    UnknownDestination,
}

/// A header is there, but is too long or is no text.
struct UnusableHeader;

impl Submission {
    /// Parses a request; `None` if anything needed is missing or unusable.
    pub fn parse(request: Request) -> Option<Submission> {
        let first_segment = request.path.split('/').find(|segment| !segment.is_empty()).map(str::to_owned);
        let destination = destination_of(request.header("Envelope")?)?;
        let key = form_urlencoded::parse(request.query.as_bytes()).find(|(name, _)| name == "key");
        let key = key.map(|(_, key)| key.into_owned()).filter(|key| !key.is_empty());
        if key.as_ref().is_some_and(|key| key.len() > MAX_VALUE_BYTES) {
            return None;
        }
        let attributes = Attributes {
            id: header_value(&request, "Request-Id").ok()??,
            topic: header_value(&request, "Request-Class").ok()?.or(first_segment)?,
            account: header_value(&request, "Tenant").ok()?,
            key,
            idempotency_key: header_value(&request, "Idempotency-Key").ok()?,
            destination,
        };
        let time_left = Span::from_millis(request.header("Request-Timeout-Ms")?.parse().ok()?);
        Some(Submission { attributes, time_left, body: request.body })
    }
}

/// The number of the destination in an `Envelope` header.
fn destination_of(envelope: &str) -> Option<u64> {
    let mut fields = envelope.split([',', ';']).filter_map(|field| field.trim().split_once('='));
    fields.find(|(name, _)| name.trim() == "dest")?.1.trim().parse().ok()
}

/// The value of a header; `None` if it is missing or empty.
fn header_value(request: &Request, name: &str) -> Result<Option<String>, UnusableHeader> {
    match request.header(name).filter(|value| !value.is_empty()) {
        Some(value) if value.len() > MAX_VALUE_BYTES => Err(UnusableHeader),
        // A key that is no text must not be dropped: the notification would be pushed without it.
        None if request.is_header_not_text(name) => Err(UnusableHeader),
        value => Ok(value.map(str::to_owned)),
    }
}
