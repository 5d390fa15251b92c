//! Submissions of notifications and the responses to them.

use juniperwing::time::Span;

use crate::http::Request;
use crate::journal::Attributes;

/// The maximum length of an id, a key or a name, in bytes.
const MAX_VALUE_BYTES: usize = 256;

/// A notification as a client submitted it.
#[derive(Debug, PartialEq)]
pub struct Submission {
    /// The attributes set by the client.
    pub attributes: Attributes,
    /// The remaining time in which it may be delivered.
    pub time_left: Span,
    /// The body of the notification.
    pub body: Vec<u8>,
}

/// The response to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionResponse {
    /// Accepted; its final outcome follows later.
    Accepted,
    /// Rejected by a rate limit, with the delay after which the client should retry; zero if none is advised.
    Throttled(Span),
    /// Rejected for lack of capacity.
    Unavailable,
    /// Expired in the event loop iteration in which it was submitted.
    Expired,
    /// Malformed, or with a topic that is not in the settings.
    Malformed,
    /// The destination is not on the endpoint list.
    UnknownDestination,
}

/// A header whose value is too long or is not UTF-8.
struct InvalidHeader;

impl Submission {
    /// Parses a request; `None` if a required value is missing or any value is invalid.
    pub fn parse(request: Request) -> Option<Submission> {
        let first_segment = request.path.split('/').find(|segment| !segment.is_empty()).map(str::to_owned);
        let destination = parse_destination(request.header("Envelope")?)?;
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

/// Parses the destination number in an `Envelope` header.
fn parse_destination(envelope: &str) -> Option<u64> {
    let mut fields = envelope.split([',', ';']).filter_map(|field| field.trim().split_once('='));
    fields.find(|(name, _)| name.trim() == "dest")?.1.trim().parse().ok()
}

/// Returns the value of a header; `None` if it is missing or empty.
fn header_value(request: &Request, name: &str) -> Result<Option<String>, InvalidHeader> {
    match request.header(name).filter(|value| !value.is_empty()) {
        Some(value) if value.len() > MAX_VALUE_BYTES => Err(InvalidHeader),
        // A key that is not UTF-8 must not be dropped: the notification would be pushed without it.
        None if request.is_header_not_utf8(name) => Err(InvalidHeader),
        value => Ok(value.map(str::to_owned)),
    }
}
