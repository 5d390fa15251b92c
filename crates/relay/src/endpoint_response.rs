//! The fifth stage: reads what an endpoint answered as the outcome of each push in the call. It owns nothing,
//! and must never judge an endpoint or look at a body that means nothing.

use juniperwing::interface::{LimitReport, Status};
use juniperwing::time::Span;
use juniperwing_settings::Settings;
use serde::Deserialize;

use crate::http::{Headers, Response};

/// How a push ended, and whether nothing more is owed for its notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PushResult {
    pub status: Status,
    pub is_final: bool,
}

impl PushResult {
    pub const fn from_status(status: Status) -> PushResult {
        PushResult { status, is_final: matches!(status, Status::Delivered) }
    }
}

#[derive(Deserialize)]
struct BatchItemResult {
    id: String,
    state: String,
}

/// The fates of the notifications with these ids, pushed in one call.
pub fn push_results(response: &Response, ids: &[&str], many: bool) -> Vec<PushResult> {
    let all = match response.status {
        200 if many => return batch_results(response, ids),
        200 => PushResult::from_status(Status::Delivered),
        429 | 503 if response.header("Slots-Taken") == Some("1") => PushResult::from_status(Status::Skipped),
        // Not even its connection is kept: there are too many.
        503 if !response.is_keep_alive => PushResult::from_status(Status::Crowded),
        429 | 503 => PushResult::from_status(Status::Busy),
        // All pushes are used up: not sent, its end is still owed.
        504 => PushResult::from_status(Status::Skipped),
        410 => PushResult { status: Status::Skipped, is_final: true },
        _ if is_rejected_as_malformed(response) => PushResult::from_status(Status::Skipped),
        _ => PushResult::from_status(Status::Error),
    };
    vec![all; ids.len()]
}

/// Whether the endpoint could not read the call, so that none of it ran.
pub fn is_rejected_as_malformed(response: &Response) -> bool {
    matches!(response.status, 400 | 413)
}

fn batch_results(response: &Response, ids: &[&str]) -> Vec<PushResult> {
    let lines: Vec<BatchItemResult> = serde_json::from_slice(&response.body).unwrap_or_default();
    let fate = |id: &&str| {
        let state = lines.iter().find(|line| line.id == *id).map(|line| line.state.as_str());
        match state {
            Some("delivered") => PushResult::from_status(Status::Delivered),
            Some("refused") => PushResult::from_status(Status::Busy),
            Some("over") => PushResult { status: Status::Skipped, is_final: true },
            Some("spent") => PushResult::from_status(Status::Skipped),
            // Failed, or not accounted for: it may have run.
            _ => PushResult::from_status(Status::Error),
        }
    };
    ids.iter().map(fate).collect()
}

/// How long the endpoint said to wait, by the head of its answer.
pub fn retry_after(headers: &Headers) -> Option<Span> {
    let secs = headers.get("Retry-After")?.parse().ok().filter(|secs: &f64| secs.is_finite())?;
    Some(Span::from_secs_f64(secs)).filter(|wait| *wait > Span::ZERO)
}

/// What the endpoint told of its limit.
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

#[cfg(test)]
mod tests {
    use expect_test::expect;

    use super::*;
    use crate::http;

    fn read(text: &str) -> Response {
        let text = text.replace('\n', "\r\n");
        http::parse_response(text.as_bytes(), true).expect("readable").expect("whole").0
    }

    #[test]
    fn each_answer_has_its_own_outcome() {
        let mut trace = String::new();
        for (head, many) in [
            ("200 OK\n", false),
            ("500 Internal Server Error\n", false),
            ("429 Too Many Requests\nRetry-After: 0.75\n", false),
            ("503 Service Unavailable\n", false),
            ("503 Service Unavailable\nRetry-After: inf\n", false),
            ("503 Service Unavailable\nConnection: close\n", false),
            ("503 Service Unavailable\nSlots-Taken: 1\n", false),
            ("504 Gateway Timeout\n", false),
            ("410 Gone\n", false),
            ("302 Found\n", false),
            ("413 Content Too Large\n", true),
            ("500 Internal Server Error\n", true),
            ("200 OK\n", true),
        ] {
            let response = read(&format!("HTTP/1.1 {head}Content-Length: 0\n\n"));
            let fate = push_results(&response, &["1"], many)[0];
            let wait = retry_after(&response.headers).map(|wait| wait.as_nanos() / 1_000_000);
            trace += &format!("{many:<5} {:?} over {} wait {wait:?}\n", fate.status, fate.is_final);
        }
        expect![[r#"
            false Delivered over true wait None
            false Error over false wait None
            false Busy over false wait Some(750)
            false Busy over false wait None
            false Busy over false wait None
            false Crowded over false wait None
            false Skipped over false wait None
            false Skipped over false wait None
            false Skipped over true wait None
            false Error over false wait None
            true  Skipped over false wait None
            true  Error over false wait None
            true  Error over false wait None
        "#]]
        .assert_eq(&trace);
    }

    #[test]
    fn each_in_a_call_of_several_has_its_own_state_and_a_wait_binds_whatever_became_of_them() {
        let states = ["delivered", "failed", "refused", "over", "spent", "odd"];
        let lines: Vec<String> =
            states.iter().map(|state| format!("{{\"id\":\"{state}\",\"state\":\"{state}\"}}")).collect();
        let body = format!("[{}]", lines.join(","));
        let head = format!("HTTP/1.1 200 OK\nRetry-After: 1.5\nContent-Length: {}\n\n", body.len());
        let response = read(&(head + &body));
        let mut ids = states.to_vec();
        ids.push("missing");
        let mut trace = String::new();
        for (id, fate) in ids.iter().zip(push_results(&response, &ids, true)) {
            trace += &format!("{id:<9} {:?} over {}\n", fate.status, fate.is_final);
        }
        trace += &format!("wait {:?}", retry_after(&response.headers).map(Span::as_secs_f64));
        expect![[r#"
            delivered Delivered over true
            failed    Error over false
            refused   Busy over false
            over      Skipped over true
            spent     Skipped over false
            odd       Error over false
            missing   Error over false
            wait Some(1.5)"#]]
        .assert_eq(&trace);
    }
}
