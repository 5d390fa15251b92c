//! Interprets the response of an endpoint as the result of each push in the call.
//!
//! It judges no endpoint, and reads no body but that of a batch.

use juniperwing::interface::{LimitReport, Status};
use juniperwing::time::Span;
use juniperwing_settings::Settings;
use serde::Deserialize;

use crate::http::{Headers, Response};

/// How a push ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PushResult {
    /// The status that is reported to the core.
    pub status: Status,
    /// Whether nothing more is owed for the notification.
    pub is_final: bool,
}

impl PushResult {
    /// The result with this status; final if the notification was delivered.
    pub const fn from_status(status: Status) -> PushResult {
        PushResult { status, is_final: matches!(status, Status::Delivered) }
    }

    /// The push was not run, and nothing more is owed for the notification.
    const NOT_OWED: PushResult = PushResult { status: Status::Skipped, is_final: true };
}

/// The state of one notification in the response to a batch.
#[derive(Deserialize)]
struct BatchItemResult {
    id: String,
    state: String,
}

/// The results of the notifications with these ids, which were pushed in one call; `is_batch` says whether the call
/// named each.
pub fn push_results(response: &Response, ids: &[&str], is_batch: bool) -> Vec<PushResult> {
    let result = match response.status {
        200 if is_batch => return batch_results(response, ids),
        200 => PushResult::from_status(Status::Delivered),
        429 | 503 if response.header("Slots-Taken") == Some("1") => PushResult::from_status(Status::Skipped),
        // The endpoint has too many connections and does not even keep this one.
        503 if !response.is_keep_alive => PushResult::from_status(Status::Crowded),
        429 | 503 => PushResult::from_status(Status::Busy),
        // The pushes of the notification are used up: this one was not sent, and its end is still owed.
        504 => PushResult::from_status(Status::Skipped),
        410 => PushResult::NOT_OWED,
        _ if is_rejected_as_malformed(response) => PushResult::from_status(Status::Skipped),
        _ => PushResult::from_status(Status::Error),
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
            Some("delivered") => PushResult::from_status(Status::Delivered),
            Some("refused") => PushResult::from_status(Status::Busy),
            Some("over") => PushResult::NOT_OWED,
            Some("spent") => PushResult::from_status(Status::Skipped),
            // Failed, or missing from the response: it may have run.
            _ => PushResult::from_status(Status::Error),
        }
    };
    ids.iter().map(result).collect()
}

/// How long the endpoint asks to wait before the next call, by the head of its response.
pub fn retry_after(headers: &Headers) -> Option<Span> {
    let secs = headers.get("Retry-After")?.parse().ok().filter(|secs: &f64| secs.is_finite())?;
    Some(Span::from_secs_f64(secs)).filter(|wait| *wait > Span::ZERO)
}

/// What the endpoint reports of its rate limit.
pub fn limit_report(response: &Response, settings: &Settings) -> Option<LimitReport> {
    let fields = response.header("Server-Load")?.strip_prefix("TEXT")?;
    let value = |name: &str| {
        let mut pairs = fields.split(',').filter_map(|pair| pair.trim().split_once('='));
        pairs.find(|(known, _)| known.trim() == name)?.1.trim().parse().ok()
    };
    settings
        .named_limit(value)
        .filter(|limit| (0.0..=1.0).contains(&limit.left) && (0.0..1e9).contains(&limit.rate))
}
