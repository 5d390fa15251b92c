//! Maps the response of an endpoint to the result of each push in the call.
//!
//! It does not evaluate the endpoint's health, and reads the body only of responses to batches.

use juniperwing::interface::{CallStatus, RateLimitReport};
use juniperwing::time::Span;
use juniperwing_settings::Settings;
use serde::Deserialize;

use crate::http::{Headers, Response};

/// The result of a push.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PushResult {
    /// The status that is reported to the core.
    pub status: CallStatus,
    /// Whether the notification needs no further push.
    pub is_final: bool,
}

impl PushResult {
    /// Returns the result with this status, which is final if the notification was delivered.
    pub const fn from_status(status: CallStatus) -> PushResult {
        PushResult { status, is_final: matches!(status, CallStatus::Delivered) }
    }

    /// The push was not run, and the notification needs no further push.
    const FINAL_WITHOUT_RUN: PushResult = PushResult { status: CallStatus::Skipped, is_final: true };
}

/// The state of one notification in the response to a batch.
#[derive(Deserialize)]
struct BatchItemResult {
    id: String,
    state: String,
}

/// Returns the results of the notifications with these ids, which were pushed in one call. `is_batch` tells whether the
/// call listed each notification by its id.
pub fn push_results(response: &Response, ids: &[&str], is_batch: bool) -> Vec<PushResult> {
    let result = match response.status {
        200 if is_batch => return batch_results(response, ids),
        200 => PushResult::from_status(CallStatus::Delivered),
        429 | 503 if response.header("Slots-Taken") == Some("1") => {
            PushResult::from_status(CallStatus::Skipped)
        }
        // The endpoint has too many connections and closes this one as well.
        503 if !response.is_keep_alive => PushResult::from_status(CallStatus::ConnectionLimitReached),
        429 | 503 => PushResult::from_status(CallStatus::Busy),
        // The notification has no pushes left: this one was not sent, and the final outcome is still pending.
        504 => PushResult::from_status(CallStatus::Skipped),
        410 => PushResult::FINAL_WITHOUT_RUN,
        _ if is_rejected_as_malformed(response) => PushResult::from_status(CallStatus::Skipped),
        _ => PushResult::from_status(CallStatus::Error),
    };
    vec![result; ids.len()]
}

/// Whether the endpoint could not parse the call, so that none of its notifications was run.
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
            // The push failed or is missing from the response: it may have run.
            _ => PushResult::from_status(CallStatus::Error),
        }
    };
    ids.iter().map(result).collect()
}

/// Returns the delay before the next call that an endpoint requests in its response headers.
pub fn retry_after(headers: &Headers) -> Option<Span> {
    let secs = headers.get("Retry-After")?.parse().ok().filter(|secs: &f64| secs.is_finite())?;
    Some(Span::from_secs_f64(secs)).filter(|wait| *wait > Span::ZERO)
}

/// Returns the rate limit that the endpoint reports in its response.
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
