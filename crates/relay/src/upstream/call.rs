//! A call to an endpoint: one push, a batch of pushes, or a probe.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use juniperwing::interface::{CallStatus, EndpointId, NotificationId, RateLimitReport};
use juniperwing::time::{Span, Time};
use serde::Serialize;

use crate::endpoint_response::PushResult;
use crate::http;

/// The maximum size of the JSON around the values of a batch item, in bytes.
const MAX_ITEM_OVERHEAD_BYTES: usize = 32;

/// A notification to be pushed.
pub struct PushRequest<'a> {
    /// The notification.
    pub notification: NotificationId,
    /// The id assigned by the client.
    pub id: &'a str,
    /// The key by which the endpoint detects duplicates.
    pub idempotency_key: Option<&'a str>,
    /// The body of the notification.
    pub body: &'a [u8],
    /// The index of this push among those of its notification, from 0.
    pub push_index: u32,
    /// Whether later notifications with the same key wait for this one.
    pub is_ordered: bool,
    /// The time after which the push times out.
    pub timeout: Span,
    /// The time after which the push must not be sent any more.
    pub send_within: Span,
}

impl PushRequest<'_> {
    /// Returns the maximum size of its item in the body of a batch, in bytes.
    pub(super) fn max_encoded_item_bytes(&self) -> usize {
        let escaped_text_bytes = 2 * (self.id.len() + self.idempotency_key.map_or(0, str::len));
        self.body.len().div_ceil(3) * 4 + escaped_text_bytes + MAX_ITEM_OVERHEAD_BYTES
    }

    fn encode_item(&self) -> Vec<u8> {
        let item = BatchItem { id: self.id, key: self.idempotency_key, body: STANDARD.encode(self.body) };
        serde_json::to_vec(&item).expect("an item can be serialised")
    }

    /// Encodes the message of a call with only this notification.
    pub(super) fn encode_message(&self, host: &str) -> Vec<u8> {
        let timeout_ms = format_millis(self.timeout);
        let mut headers =
            vec![("Host", host), ("Request-Timeout-Ms", timeout_ms.as_str()), ("Request-Id", self.id)];
        headers.extend(self.idempotency_key.map(|key| ("Idempotency-Key", key)));
        http::encode_message("POST /hook HTTP/1.1", &headers, self.body)
    }
}

/// A notification in the body of a batch.
#[derive(Serialize)]
struct BatchItem<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

/// A push in a call in progress.
pub(super) struct InFlightPush {
    pub(super) notification: NotificationId,
    pub(super) id: String,
    pub(super) push_index: u32,
    pub(super) is_ordered: bool,
    pub(super) deadline: Time,
    pub(super) send_by: Time,
    /// The encoded batch item, until the batch is written.
    encoded_item: Vec<u8>,
    /// Whether the push has no outcome yet.
    pub(super) is_pending: bool,
}

impl InFlightPush {
    pub(super) fn new(request: &PushRequest<'_>, is_batch: bool, now: Time) -> InFlightPush {
        InFlightPush {
            notification: request.notification,
            id: request.id.to_owned(),
            push_index: request.push_index,
            is_ordered: request.is_ordered,
            deadline: now + request.timeout,
            send_by: now + request.send_within,
            encoded_item: if is_batch { request.encode_item() } else { Vec::new() },
            is_pending: true,
        }
    }

    /// Whether it is too late to send the push.
    pub(super) fn is_late_to_send(&self, now: Time) -> bool {
        self.is_pending && self.send_by <= now
    }

    /// Whether the push has timed out.
    pub(super) fn is_overdue(&self, now: Time) -> bool {
        self.is_pending && self.deadline <= now
    }
}

/// A request to be written once the connection is established.
pub(super) enum UnwrittenRequest {
    /// The message of a single push or of a probe.
    Encoded(Vec<u8>),
    /// A batch to this host, with the pushes that are still pending when it is written.
    BatchTo(String),
}

pub(super) struct Call {
    pub(super) endpoint: EndpointId,
    pub(super) zone: Arc<str>,
    pub(super) started_at: Time,
    /// The deadline for establishing the connection.
    pub(super) connect_by: Time,
    /// The deadline for completing a response that has begun.
    pub(super) complete_by: Time,
    /// Whether the call is a single push whose response began with status 200 before its timeout.
    pub(super) has_success_status: bool,
    /// Whether the retry-after in the head of an incomplete response has been reported.
    pub(super) is_retry_after_reported: bool,
    pub(super) is_batch: bool,
    /// The request; `None` once it is written.
    pub(super) unwritten: Option<UnwrittenRequest>,
    /// The pushes; empty for a probe.
    pub(super) pushes: Vec<InFlightPush>,
}

impl Call {
    /// Returns the earliest deadline of its pushes, its connection and its response.
    pub(super) fn next_deadline(&self) -> Time {
        let is_unwritten = self.unwritten.is_some();
        let deadline = |push: &InFlightPush| {
            if is_unwritten { push.deadline.min(push.send_by) } else { push.deadline }
        };
        let pending = self.pushes.iter().filter(|push| push.is_pending);
        let earliest = pending.map(deadline).min().unwrap_or(Time::NEVER);
        earliest.min(self.connect_by).min(self.complete_by)
    }

    pub(super) fn is_probe(&self) -> bool {
        self.pushes.is_empty()
    }

    pub(super) fn has_pending_pushes(&self) -> bool {
        self.pushes.iter().any(|push| push.is_pending)
    }

    /// Encodes a batch of the pushes that are still pending, and removes the others from the call.
    pub(super) fn encode_batch(&mut self, host: &str, now: Time) -> Vec<u8> {
        self.pushes.retain(|push| push.is_pending);
        let times_left = self.pushes.iter().map(|push| push.deadline.since(now));
        let timeout_ms = format_millis(times_left.max().unwrap_or_default());
        let items = self.pushes.iter_mut().map(|push| std::mem::take(&mut push.encoded_item));
        let body = [b"[", items.collect::<Vec<_>>().join(&b',').as_slice(), b"]"].concat();
        let headers =
            [("Host", host), ("Request-Timeout-Ms", &timeout_ms), ("Content-Type", "application/json")];
        http::encode_message("POST /hook/batch HTTP/1.1", &headers, &body)
    }

    /// Returns the outcome of a push, or of the probe if `push` is `None`, that ended without a response.
    pub(super) fn outcome_without_response(
        &self, push: Option<&InFlightPush>, status: CallStatus, now: Time,
    ) -> CallOutcome {
        CallOutcome {
            notification: push.map(|push| push.notification),
            push_index: push.map_or(0, |push| push.push_index),
            endpoint: self.endpoint.clone(),
            result: PushResult::from_status(status),
            elapsed: now.since(self.started_at),
            retry_after: None,
            limit: None,
        }
    }
}

/// The outcome of a push or of a probe.
#[derive(Debug)]
pub struct CallOutcome {
    /// `None` for a probe.
    pub notification: Option<NotificationId>,
    /// The index of the push among those of its notification, from 0.
    pub push_index: u32,
    /// The endpoint of the call.
    pub endpoint: EndpointId,
    /// The result.
    pub result: PushResult,
    /// The time since the call started.
    pub elapsed: Span,
    /// The delay before the next call, if the endpoint requested one in its response.
    pub retry_after: Option<Span>,
    /// The rate limit reported by the endpoint.
    pub limit: Option<RateLimitReport>,
}

/// Formats a span in milliseconds for a header: rounded down, at least 1.
fn format_millis(span: Span) -> String {
    span.as_millis().max(1).to_string()
}
