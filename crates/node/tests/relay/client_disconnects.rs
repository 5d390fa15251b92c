//! After a client disconnects, its requests in flight are cancelled and nothing more is sent to endpoints for it.
//!
//! A client that closes only its sending side counts as disconnected: in HTTP/1.1 its FIN cannot be told from that of a
//! client that closes the connection.

use std::sync::Arc;

use juniperwing_clock::Span;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::endpoint::{FakeEndpoint, ReceivedRequest, Step, chunk, ok, stream_head};
use crate::support::{RelayHarness, request, wait_until, with_timeout};

/// The number of concurrent requests that a relay sends to an endpoint with the capacity set in `instance`.
const MAX_CONCURRENT_REQUESTS: usize = 10;

/// Connects a client that sends the head of a request and `body`, which may be only a part of `length` bytes.
async fn connect_client(
    harness: &RelayHarness, line: &str, id: &str, length: usize, body: &str,
) -> TcpStream {
    let mut client = with_timeout(TcpStream::connect(harness.frontend)).await.unwrap();
    let head = format!(
        "{line} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 60000\r\nBudget: 1080\r\n"
    );
    client.write_all(format!("{head}Content-Length: {length}\r\n\r\n{body}").as_bytes()).await.unwrap();
    client
}

/// Waits until the relay has the expected number of client connections.
async fn wait_for_connections(harness: &RelayHarness, expected: usize) {
    wait_until(|| harness.state.connections.count() == expected).await;
}

/// Waits until the relay has read the expected number of requests.
async fn wait_for_requests(harness: &RelayHarness, expected: u64) {
    wait_until(|| harness.state.metrics.requests.get() == expected).await;
}

fn received_ids(endpoint: &FakeEndpoint) -> Vec<String> {
    endpoint.received().iter().map(|received| received.id().to_owned()).collect()
}

/// Responds to the request `probe`, and hangs on all others.
fn hang_unless_probe(request: &ReceivedRequest) -> Vec<Step> {
    match request.id() {
        "probe" => ok(request, ""),
        _ => vec![Step::Hang],
    }
}

// Relies on `http1::Builder::half_close` being off: a half-closed connection is closed, which drops `handle_request`.
#[tokio::test]
async fn a_client_disconnect_cancels_the_request_at_the_endpoint() {
    let endpoint = FakeEndpoint::start("i-1", hang_unless_probe).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    for line in ["GET /i/x", "POST /n/x", "POST /e/x", "POST /r/x", "POST /k/x"] {
        let client = connect_client(&harness, line, "9c41", 2, "in").await;
        with_timeout(endpoint.next_request()).await;
        drop(client);
        with_timeout(endpoint.client_disconnected()).await;
        wait_for_connections(&harness, 0).await;
    }
    assert_eq!(endpoint.received().len(), 5, "nothing was sent again");
}

// Relies on `half_close` being off, as above.
#[tokio::test]
async fn a_half_closed_client_connection_counts_as_disconnected() {
    let endpoint = FakeEndpoint::start("i-1", hang_unless_probe).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let mut client = connect_client(&harness, "GET /i/x", "9c41", 0, "").await;
    with_timeout(endpoint.next_request()).await;
    client.shutdown().await.unwrap();
    with_timeout(endpoint.client_disconnected()).await;
    assert_eq!(with_timeout(client.read(&mut [0; 8])).await.unwrap_or(0), 0);
}

// Relies on `half_close` being off, as above. The client disconnects while its response is in flight.
#[tokio::test]
async fn a_client_disconnect_cancels_a_stream_in_flight() {
    let endpoint = FakeEndpoint::start("i-1", |request| {
        vec![stream_head(request, "s"), chunk("id: 1\ndata: one\n\n"), Step::Hang]
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    for line in ["POST /e/x", "POST /r/x", "POST /k/x"] {
        let mut client = connect_client(&harness, line, "9c41", 0, "").await;
        with_timeout(client.read(&mut [0; 64])).await.unwrap();
        drop(client);
        with_timeout(endpoint.client_disconnected()).await;
    }
    assert_eq!(endpoint.received().len(), 3, "nothing was sent again");
}

// Relies on `half_close` being off, as above. A slot that is granted to a cancelled request goes to the next one.
#[tokio::test]
async fn a_queued_request_is_not_sent_after_a_disconnect() {
    let proceed = Arc::new(Notify::new());
    let gate = Arc::clone(&proceed);
    let endpoint = FakeEndpoint::start("i-1", move |request| match request.id() {
        "probe" => ok(request, ""),
        _ => vec![Step::Wait(Arc::clone(&gate)), crate::endpoint::response(request, "200 OK", "", "")],
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let mut in_flight = Vec::new();
    for _ in 0..MAX_CONCURRENT_REQUESTS {
        in_flight.push(connect_client(&harness, "GET /i/x", "held", 0, "").await);
        with_timeout(endpoint.next_request()).await;
    }
    let waiting = connect_client(&harness, "GET /i/x", "waiting", 0, "").await;
    wait_for_requests(&harness, MAX_CONCURRENT_REQUESTS as u64 + 1).await;
    assert_eq!(endpoint.received().len(), MAX_CONCURRENT_REQUESTS, "all slots are taken");
    drop(waiting);
    wait_for_connections(&harness, MAX_CONCURRENT_REQUESTS).await;
    proceed.notify_waiters();
    let probe = with_timeout(connect_client(&harness, "GET /i/x", "probe", 0, "")).await;
    while with_timeout(endpoint.next_request()).await.id() != "probe" {}
    drop(probe);
    assert!(!received_ids(&endpoint).contains(&"waiting".to_owned()));
}

// Relies on `half_close` being off, as above, and on `OpenTurn` releasing its reservation when dropped.
#[tokio::test]
async fn a_turn_pending_at_the_stores_is_not_sent_after_a_disconnect() {
    let endpoint = FakeEndpoint::start("i-1", hang_unless_probe).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let gate = Arc::new(Notify::new());
    *harness.stores.begin_gate.lock().unwrap() = Some(Arc::clone(&gate));
    let waiting = connect_client(&harness, "POST /k/x", "waiting", 2, "in").await;
    wait_until(|| !harness.stores.begun_turns.lock().unwrap().is_empty()).await;
    drop(waiting);
    wait_for_connections(&harness, 0).await;
    assert_eq!(harness.stores.background_finishes.lock().unwrap()[0].tokens, 0);
    gate.notify_waiters();
    harness.send(request("GET", "/i/x", "probe", "")).await;
    assert_eq!(received_ids(&endpoint), ["probe"]);
}

// Covers `read_body`, which fails if a body ends early.
#[tokio::test]
async fn a_request_with_an_incomplete_body_is_not_sent() {
    let endpoint = FakeEndpoint::start("i-1", hang_unless_probe).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    for line in ["POST /i/x", "POST /n/x", "POST /k/x"] {
        let client = connect_client(&harness, line, "9c41", 10, "abc").await;
        drop(client);
        wait_for_connections(&harness, 0).await;
    }
    harness.send(request("GET", "/i/x", "probe", "")).await;
    assert_eq!(received_ids(&endpoint), ["probe"]);
}

// Relies on `half_close` being off, as above. The timeout that starts a retry is dropped with the request.
#[tokio::test]
async fn a_disconnect_cancels_retries() {
    let silent = FakeEndpoint::start("i-1", hang_unless_probe).await;
    let other = FakeEndpoint::start("i-2", hang_unless_probe).await;
    let harness = RelayHarness::with_endpoints(&[&silent]).await;
    harness.publish_in_other_zone(&other);
    harness.record_latencies("/i/", Span::from_millis(1));
    let client = connect_client(&harness, "GET /i/x", "9c41", 0, "").await;
    with_timeout(silent.next_request()).await;
    drop(client);
    with_timeout(silent.client_disconnected()).await;
    wait_for_connections(&harness, 0).await;
    assert_eq!((silent.received().len(), other.received().len()), (1, 0));
}
