//! Retries: which requests are sent to another endpoint, and which are not.

use http::StatusCode;
use juniperwing_clock::Span;

use crate::endpoint::{FakeEndpoint, Step, declined, ok, response, start_pair};
use crate::support::{RelayHarness, read, request, with_headers, with_timeout};

#[tokio::test]
async fn non_idempotent_requests_are_not_retried_after_a_reset_of_a_reused_connection() {
    let endpoint = FakeEndpoint::start("i-1", |request| match request.id() {
        "first" => ok(request, ""),
        _ => vec![Step::Reset],
    })
    .await;
    let other = FakeEndpoint::start("i-2", |request| ok(request, "")).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    read(harness.send(request("POST", "/n/x", "first", "")).await).await;
    harness.publish_in_other_zone(&other);
    let response = read(harness.send(request("POST", "/n/x", "second", "")).await).await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(endpoint.received().len(), 2);
    assert_eq!(*endpoint.connections.lock().unwrap(), 1, "the idle connection was reused");
    assert!(other.received().is_empty());
}

#[tokio::test]
async fn idempotent_requests_are_retried_elsewhere_after_a_reset() {
    let endpoints = start_pair(|earlier_requests, request| match earlier_requests {
        0 => vec![Step::Reset],
        _ => ok(request, "well"),
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoints[0], &endpoints[1]]).await;
    assert_eq!(harness.get("/i/x").await.status, StatusCode::OK);
    assert_eq!(endpoints.map(|endpoint| endpoint.received().len()), [1, 1]);
}

#[tokio::test]
async fn a_declined_request_is_retried_even_if_not_idempotent() {
    let endpoints = start_pair(|earlier_requests, request| match earlier_requests {
        0 => declined(request),
        _ => ok(request, "well"),
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoints[0], &endpoints[1]]).await;
    let response = read(harness.send(request("POST", "/n/x", "9c41", "")).await).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(endpoints.map(|endpoint| endpoint.received().len()), [1, 1]);
}

#[tokio::test]
async fn a_request_declined_by_all_is_rejected_with_retry_after() {
    let endpoints = [FakeEndpoint::start("i-1", declined).await, FakeEndpoint::start("i-2", declined).await];
    let harness = RelayHarness::with_endpoints(&[&endpoints[0], &endpoints[1]]).await;
    let response = read(harness.send(request("POST", "/n/x", "9c41", "")).await).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.header("retry-after").parse::<f64>().unwrap() > 0.0);
}

#[tokio::test]
async fn a_slow_attempt_is_abandoned_at_its_timeout_and_retried_elsewhere() {
    let endpoints = start_pair(|earlier_requests, request| match earlier_requests {
        0 => vec![Step::Hang],
        _ => ok(request, "well"),
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoints[0], &endpoints[1]]).await;
    harness.record_latencies("/i/", Span::from_millis(40));
    let started_at = std::time::Instant::now();
    let sent = with_headers(request("GET", "/i/x", "9c41", ""), &[("x-deadline-ms", "1200")]);
    let response = read(harness.send(sent).await).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(endpoints.each_ref().map(|endpoint| endpoint.received().len()), [1, 1]);
    let waited = started_at.elapsed().as_millis();
    assert!(waited >= 500, "waited {waited} ms instead of half of the remaining time");
    // The connection of the abandoned attempt is closed.
    with_timeout(async {
        tokio::select! {
            () = endpoints[0].client_disconnected() => {}
            () = endpoints[1].client_disconnected() => {}
        }
    })
    .await;
}

#[tokio::test]
async fn non_idempotent_requests_wait_until_the_deadline() {
    let endpoint = FakeEndpoint::start("i-1", |_| vec![Step::Hang]).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    harness.record_latencies("/n/", Span::from_millis(10));
    let started_at = std::time::Instant::now();
    let sent = with_headers(request("POST", "/n/x", "9c41", ""), &[("x-deadline-ms", "300")]);
    let response = read(harness.send(sent).await).await;
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(started_at.elapsed().as_millis() >= 250);
}

#[tokio::test]
async fn requests_with_too_little_time_are_rejected_unsent() {
    let endpoint = FakeEndpoint::start("i-1", |request| ok(request, "")).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    harness.record_latencies("/n/", Span::from_millis(900));
    let sent = with_headers(request("POST", "/n/x", "9c41", ""), &[("x-deadline-ms", "300")]);
    let response = read(harness.send(sent).await).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.header("retry-after").parse::<f64>().unwrap() > 0.0);
    assert!(endpoint.received().is_empty());
}

#[tokio::test]
async fn an_endpoint_with_errors_does_not_attract_non_idempotent_requests() {
    let failing =
        FakeEndpoint::start("i-1", |request| vec![response(request, "500 Internal Server Error", "", "oh")])
            .await;
    let healthy = FakeEndpoint::start("i-2", |request| ok(request, "")).await;
    let harness = RelayHarness::with_endpoints(&[&failing]).await;
    harness.publish_in_other_zone(&healthy);
    for (id, status) in [("first", StatusCode::INTERNAL_SERVER_ERROR), ("second", StatusCode::OK)] {
        let response = read(harness.send(request("POST", "/n/x", id, "")).await).await;
        assert_eq!(response.status, status, "{id}");
    }
}
