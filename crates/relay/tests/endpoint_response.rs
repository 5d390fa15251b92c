//! Interpretation of endpoint responses.

use expect_test::expect;
use juniperwing::time::Span;
use juniperwing_relay::endpoint_response::{push_results, retry_after};
use juniperwing_relay::http::{self, Response};

fn parse(text: &str) -> Response {
    let text = text.replace('\n', "\r\n");
    http::parse_response(text.as_bytes(), true).expect("a valid response").expect("a complete response").0
}

#[test]
fn each_status_has_its_push_result() {
    let mut trace = String::new();
    for (head, is_batch) in [
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
        let response = parse(&format!("HTTP/1.1 {head}Content-Length: 0\n\n"));
        let result = push_results(&response, &["1"], is_batch)[0];
        let retry_after = retry_after(&response.headers).map(|delay| delay.as_millis());
        trace += &format!(
            "{is_batch:<5} {:?} final {} retry_after_ms {retry_after:?}\n",
            result.status, result.is_final
        );
    }
    expect![[r#"
        false Delivered final true retry_after_ms None
        false Error final false retry_after_ms None
        false Busy final false retry_after_ms Some(750)
        false Busy final false retry_after_ms None
        false Busy final false retry_after_ms None
        false ConnectionLimitReached final false retry_after_ms None
        false Skipped final false retry_after_ms None
        false Skipped final false retry_after_ms None
        false Skipped final true retry_after_ms None
        false Error final false retry_after_ms None
        true  Skipped final false retry_after_ms None
        true  Error final false retry_after_ms None
        true  Error final false retry_after_ms None
    "#]]
    .assert_eq(&trace);
}

#[test]
fn each_push_of_a_batch_has_its_own_result_and_retry_after_applies_to_all() {
    let states = ["delivered", "failed", "refused", "over", "spent", "unknown"];
    let items: Vec<String> =
        states.iter().map(|state| format!("{{\"id\":\"{state}\",\"state\":\"{state}\"}}")).collect();
    let body = format!("[{}]", items.join(","));
    let head = format!("HTTP/1.1 200 OK\nRetry-After: 1.5\nContent-Length: {}\n\n", body.len());
    let response = parse(&(head + &body));
    let mut ids = states.to_vec();
    ids.push("missing");
    let mut trace = String::new();
    for (id, result) in ids.iter().zip(push_results(&response, &ids, true)) {
        trace += &format!("{id:<9} {:?} final {}\n", result.status, result.is_final);
    }
    trace += &format!("retry_after {:?}", retry_after(&response.headers).map(Span::as_secs_f64));
    expect![[r#"
        delivered Delivered final true
        failed    Error final false
        refused   Busy final false
        over      Skipped final true
        spent     Skipped final false
        unknown   Error final false
        missing   Error final false
        retry_after Some(1.5)"#]]
    .assert_eq(&trace);
}
