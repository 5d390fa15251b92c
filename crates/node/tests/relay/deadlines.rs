//! Deadlines: endpoints are sent the remaining time, and every request ends at its deadline.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use juniperwing_clock::Span;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::endpoint::{FakeEndpoint, ReceivedRequest, Step, chunk, last_chunk, ok, stream_head};
use crate::support::{RelayHarness, next_chunk, read, request, with_headers, with_timeout};

const FIRST: &str = "id: 1\ndata: one\n\n";
/// The timeout of the routes in [`short_timeout_routes`].
const ROUTE_TIMEOUT_MS: u64 = 300;
/// The deadline sent by the clients, in milliseconds: much longer than the route's timeout.
const CLIENT_DEADLINE_MS: &str = "60000";
/// The bound on the duration of a request. It is far below the client's deadline, but generous for busy machines: on an
/// idle machine responses arrive within half a second.
const MAX_DURATION: Duration = Duration::from_secs(10);

/// Routes of every type with a short timeout.
fn short_timeout_routes() -> String {
    let route = |prefix: &str, kind: &str, more: &str| {
        format!(
            r#"{{"name":"{prefix}","hostname":"h.example","pathPrefix":"/{prefix}/","routeType":"{kind}",
            "timeoutMs":{ROUTE_TIMEOUT_MS},"targetLatencyMs":200,"priority":1,"backend":"s","maxRetries":2{more}}}"#
        )
    };
    let routes = [
        route("i", "idempotent", ""),
        route("n", "non_idempotent", ""),
        route("e", "streaming", r#","resumable":false"#),
        route("k", "streaming", r#","resumable":false,"kept":true,"retentionS":60"#),
    ];
    let routes = routes.join(",");
    format!(
        r#"{{"generation":2,"routes":[{routes}],
        "backends":[{{"name":"s","healthCheck":"/healthz","maxConnections":100,"protocol":"h1","tls":false}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

fn request_with_long_deadline(method: &str, path: &str, id: &str) -> Request<Full<Bytes>> {
    with_headers(request(method, path, id, ""), &[("x-deadline-ms", CLIENT_DEADLINE_MS)])
}

fn deadline_header_ms(received: &ReceivedRequest) -> u64 {
    received.header("x-deadline-ms").expect("endpoints always get a deadline").parse().unwrap()
}

fn plain_or_stream(request: &ReceivedRequest) -> Vec<Step> {
    match request.line.contains("/e/") || request.line.contains("/k/") {
        true => vec![stream_head(request, "s"), chunk(FIRST), last_chunk()],
        false => ok(request, ""),
    }
}

// Covers `Exchange::headers_for`, which sets `X-Deadline-Ms` from the deadline.
#[tokio::test]
async fn endpoints_get_the_shorter_deadline_of_client_and_route() {
    let endpoint = FakeEndpoint::start("i-1", plain_or_stream).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let paths = [("GET", "/i/x"), ("POST", "/n/x"), ("POST", "/e/x"), ("POST", "/k/x")];
    for (client, max_ms) in [(Some("8000"), 8_000), (Some("750.5"), 750), (None, 10_000)] {
        for (method, path) in paths {
            let mut sent = request(method, path, "9c41", "");
            sent.headers_mut().remove("x-deadline-ms");
            if let Some(client) = client {
                sent = with_headers(sent, &[("x-deadline-ms", client)]);
            }
            assert_eq!(read(harness.send(sent).await).await.status, StatusCode::OK, "{path}");
            let deadline_ms = deadline_header_ms(&with_timeout(endpoint.next_request()).await);
            assert!((1..=max_ms).contains(&deadline_ms), "{path}: {deadline_ms} of {max_ms}");
        }
    }
    harness.configure(2, &short_timeout_routes());
    for (method, path) in paths {
        read(harness.send(request_with_long_deadline(method, path, "9c42")).await).await;
        let deadline_ms = deadline_header_ms(&with_timeout(endpoint.next_request()).await);
        assert!(deadline_ms <= ROUTE_TIMEOUT_MS, "{path}: {deadline_ms}");
    }
}

// Covers `Exchange::headers_for`, which computes the remaining time for every attempt.
#[tokio::test]
async fn a_retry_carries_the_remaining_time() {
    let endpoints = [
        FakeEndpoint::start("i-1", |_| vec![Step::Hang]).await,
        FakeEndpoint::start("i-2", |request| ok(request, "well")).await,
    ];
    let harness = RelayHarness::with_endpoints(&[&endpoints[0]]).await;
    harness.publish_in_other_zone(&endpoints[1]);
    harness.record_latencies("/i/", Span::from_millis(40));
    let sent = with_headers(request("GET", "/i/x", "9c41", ""), &[("x-deadline-ms", "1200")]);
    assert_eq!(read(harness.send(sent).await).await.status, StatusCode::OK);
    let [first, second] = endpoints.map(|endpoint| deadline_header_ms(&endpoint.received()[0]));
    // The first attempt took half of the time.
    assert!(second + 500 <= first, "first {first}, then {second}");
}

// Guards the trials of `LatencyModels::begin_attempt`. A burst left a fitted median above the route's timeout; the route was
// answered with 503 for as long as the relay ran, since no request was sent that could have corrected the fit.
#[tokio::test]
async fn a_route_is_served_again_although_the_median_exceeds_its_timeout() {
    let endpoint = FakeEndpoint::start("i-1", plain_or_stream).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    harness.configure(2, &short_timeout_routes());
    for (method, path, prefix) in [("GET", "/i/x", "/i/"), ("POST", "/n/x", "/n/"), ("POST", "/e/x", "/e/")] {
        harness.record_latencies(prefix, Span::from_millis(2 * ROUTE_TIMEOUT_MS));
        let status = async || {
            let sent = request_with_long_deadline(method, path, "9c43");
            read(harness.send(sent).await).await.status
        };
        assert_eq!(status().await, StatusCode::SERVICE_UNAVAILABLE, "{path}: the cutoff holds at first");
        let started_at = Instant::now();
        while status().await != StatusCode::OK {
            assert!(started_at.elapsed() < MAX_DURATION, "{path}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(status().await, StatusCode::OK, "{path}: the trial has shown that there is time");
    }
}

// Covers the deadline in every wait for an endpoint: the shorter of the client's deadline and the route's timeout.
#[tokio::test]
async fn requests_to_unresponsive_endpoints_end_at_the_route_timeout() {
    let endpoint = FakeEndpoint::start("i-1", |_| vec![Step::Hang]).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    harness.configure(2, &short_timeout_routes());
    for (method, path) in [("GET", "/i/x"), ("POST", "/n/x"), ("POST", "/e/x"), ("POST", "/k/x")] {
        let started_at = Instant::now();
        let response = read(harness.send(request_with_long_deadline(method, path, "9c41")).await).await;
        assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT, "{path}");
        assert!(started_at.elapsed() < MAX_DURATION, "{path}");
    }
}

// Covers `timeout_at(self.deadline, ...)` around the waits of a stream.
#[tokio::test]
async fn a_stream_in_flight_ends_at_its_deadline() {
    let endpoint =
        FakeEndpoint::start("i-1", |request| vec![stream_head(request, "s"), chunk(FIRST), Step::Hang]).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    harness.configure(2, &short_timeout_routes());
    let started_at = Instant::now();
    let mut body = harness.send(request_with_long_deadline("POST", "/e/x", "9c41")).await.into_body();
    assert_eq!(next_chunk(&mut body).await.unwrap().unwrap(), FIRST);
    assert!(next_chunk(&mut body).await.unwrap().is_err(), "the response must not look complete");
    assert!(started_at.elapsed() < MAX_DURATION);
    with_timeout(endpoint.client_disconnected()).await;
    assert_eq!(
        harness.state.metrics.aborted_streams.get(),
        1,
        "the stream ended itself, before its connection was aborted"
    );
}

// Covers the timeout in `read_body`.
#[tokio::test]
async fn an_incomplete_body_is_answered_at_the_deadline() {
    let harness = RelayHarness::with_endpoints(&[]).await;
    harness.configure(2, &short_timeout_routes());
    let started_at = Instant::now();
    let mut client = with_timeout(TcpStream::connect(harness.frontend)).await.unwrap();
    let head = "POST /n/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 9c41\r\nX-Deadline-Ms: 60000\r\n";
    client.write_all(format!("{head}Content-Length: 10\r\n\r\nabc").as_bytes()).await.unwrap();
    let mut response = [0; 12];
    with_timeout(client.read_exact(&mut response)).await.unwrap();
    assert_eq!(&response, b"HTTP/1.1 408");
    assert!(started_at.elapsed() < MAX_DURATION);
}

// Covers `ClientConnection::enforce_limits`, which aborts a response that is past its deadline.
#[tokio::test]
async fn a_client_that_does_not_read_occupies_no_endpoint_beyond_its_deadline() {
    let text = "x".repeat(60_000);
    let endpoint = FakeEndpoint::start("i-1", move |request| {
        let events = (0..400).map(|number| chunk(&format!("id: {number}\ndata: {text}\n\n")));
        [stream_head(request, "s")].into_iter().chain(events).chain([last_chunk()]).collect()
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    harness.configure(2, &short_timeout_routes());
    // Small, so that little of the response fits into socket buffers.
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(8 << 10).unwrap();
    let mut client = with_timeout(socket.connect(harness.frontend)).await.unwrap();
    let head = "POST /e/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 9c41\r\nX-Deadline-Ms: 60000\r\n";
    client.write_all(format!("{head}Budget: 1080\r\nContent-Length: 0\r\n\r\n").as_bytes()).await.unwrap();
    with_timeout(endpoint.next_request()).await;
    // The turn is committed when the relay drops the stream, while the client is still connected.
    with_timeout(harness.stores.finish_called.notified()).await;
    drop(client);
}

// Covers the remaining time that is passed to `OpenTurn::store`.
#[tokio::test]
async fn a_turn_is_stored_within_its_deadline() {
    let endpoint = FakeEndpoint::start("i-1", plain_or_stream).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    harness.configure(2, &short_timeout_routes());
    let response = read(harness.send(request_with_long_deadline("POST", "/k/x", "9c41")).await).await;
    assert_eq!(response.status, StatusCode::OK);
    let within = harness.stores.finish_timeouts.lock().unwrap()[0];
    assert!(within <= Duration::from_millis(ROUTE_TIMEOUT_MS + 100), "{within:?}");
}
