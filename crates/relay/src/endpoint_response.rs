//! Interprets the response of an endpoint as the result of each push in the call.
//!
//! It does not evaluate the endpoint's health, and reads no body except that of a batch.

use juniperwing::interface::{CallStatus, RateLimitReport};
use juniperwing::time::Span;
use juniperwing_settings::Settings;
use serde::Deserialize;

use crate::http::{Headers, Response};

/// How a push ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PushResult {
    /// The status that is reported to the core.
    pub status: CallStatus,
    /// Whether the notification is complete.
    pub is_final: bool,
}

impl PushResult {
    /// The result with this status; final if the notification was delivered.
    pub const fn from_status(status: CallStatus) -> PushResult {
        PushResult { status, is_final: matches!(status, CallStatus::Delivered) }
    }

    /// The push was not run, and the notification is complete.
    const FINAL_WITHOUT_RUN: PushResult = PushResult { status: CallStatus::Skipped, is_final: true };
}

/// The state of one notification in the response to a batch.
#[derive(Deserialize)]
struct BatchItemResult {
    id: String,
    state: String,
}

/// The results of the notifications with these ids, which were pushed in one call; `is_batch`: whether the call
/// named each.
pub fn push_results(response: &Response, ids: &[&str], is_batch: bool) -> Vec<PushResult> {
    let result = match response.status {
        200 if is_batch => return batch_results(response, ids),
        200 => PushResult::from_status(CallStatus::Delivered),
        429 | 503 if response.header("Slots-Taken") == Some("1") => {
            PushResult::from_status(CallStatus::Skipped)
        }
        // The endpoint has too many connections and does not even keep this one.
        503 if !response.is_keep_alive => PushResult::from_status(CallStatus::ConnectionLimitReached),
        429 | 503 => PushResult::from_status(CallStatus::Busy),
        // The pushes of the notification are used up: this one was not sent, and its outcome is still missing.
        504 => PushResult::from_status(CallStatus::Skipped),
        410 => PushResult::FINAL_WITHOUT_RUN,
        _ if is_rejected_as_malformed(response) => PushResult::from_status(CallStatus::Skipped),
        _ => PushResult::from_status(CallStatus::Error),
    };
    vec![result; ids.len()]
}

/// Whether the endpoint could not parse the call, so that no notification in it was run.
pub fn is_rejected_as_malformed(response: &Response) -> bool {
    matches!(response.status, 400 | 413)
}

fn batch_results(response: &Response, ids: &[&str]) -> Vec<PushResult> {
    let items: Vec<BatchItemResult> = serde_json::from_slice(&response.body).unwrap_or_default();
    let result = |id: &&str| {
        let state = items.iter().find(|item| item.id == *id).map(|item| item.state.as_str());
        match state {
            Some("delivered") => PushResult::from_status(CallStatus::Delivered),
            Some("refused") => PushResult::from_status(CallStatus::Busy),
            Some("over") => PushResult::FINAL_WITHOUT_RUN,
            Some("spent") => PushResult::from_status(CallStatus::Skipped),
            // Failed, or missing from the response: it may have run.
            _ => PushResult::from_status(CallStatus::Error),
        }
    };
    ids.iter().map(result).collect()
}

/// The delay before the next call that the head of an endpoint's response requests.
pub fn retry_after(headers: &Headers) -> Option<Span> {
    let secs = headers.get("Retry-After")?.parse().ok().filter(|secs: &f64| secs.is_finite())?;
    Some(Span::from_secs_f64(secs)).filter(|wait| *wait > Span::ZERO)
}

/// What the endpoint reports of its rate limit.
pub fn limit_report(response: &Response, settings: &Settings) -> Option<RateLimitReport> {
    let fields = response.header("Server-Load")?.strip_prefix("TEXT")?;
    let value = |name: &str| {
        let mut pairs = fields.split(',').filter_map(|pair| pair.trim().split_once('='));
        pairs.find(|(known, _)| known.trim() == name)?.1.trim().parse().ok()
    };
    settings.rate_limit_by_name(value).filter(|limit| {
        (0.0..=1.0).contains(&limit.remaining_fraction) && (0.0..1e9).contains(&limit.rate_per_second)
    })
}
