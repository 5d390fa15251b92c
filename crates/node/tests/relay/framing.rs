//! Whatever framing an endpoint uses, the client can tell whether the response is complete.

use std::sync::Arc;

use http::StatusCode;

use crate::endpoint::{FakeEndpoint, ReceivedRequest, Step, declined};
use crate::support::{ClientResponse, RelayHarness, connect, read, request, with_timeout};

const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

/// HTTP versions, framing headers and the correspondingly framed bytes of `EVENTS`.
fn framings() -> [(&'static str, &'static str, String); 6] {
    let length = EVENTS.len();
    let chunks = format!("{length:x}\r\n{EVENTS}\r\n0\r\n\r\n");
    [
        ("HTTP/1.1", "Content-Length: LENGTH\r\n", EVENTS.to_owned()),
        ("HTTP/1.1", "Content-Length: LENGTH\r\nContent-Length: LENGTH\r\n", EVENTS.to_owned()),
        ("HTTP/1.1", "Transfer-Encoding: chunked\r\n", chunks.clone()),
        ("HTTP/1.1", "Content-Length: 5\r\nTransfer-Encoding: Chunked\r\n", chunks),
        ("HTTP/1.1", "", EVENTS.to_owned()),
        ("HTTP/1.0", "", EVENTS.to_owned()),
    ]
}

fn head(request: &ReceivedRequest, version: &str, status: &str, framing: &str) -> Vec<u8> {
    let id = request.id();
    let framing = framing.replace("LENGTH", &EVENTS.len().to_string());
    format!("{version} {status}\r\nX-Request-Id: {id}\r\nX-Server-Signature: s\r\n{framing}\r\n").into_bytes()
}

async fn response_to(
    path: &str, script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) -> ClientResponse {
    let endpoint = FakeEndpoint::start("i-1", script).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let response = read(harness.send(request("POST", path, "9c41", "")).await).await;
    assert_eq!(endpoint.received().len(), 1, "{path}");
    response
}

// Covers `is_delimited`, and the removal of `Content-Length` in `attempt::normalize_framing`.
#[tokio::test]
async fn every_framing_reaches_the_client_complete() {
    for path in ["/i/x", "/n/x", "/e/x", "/r/x"] {
        for (version, framing, body) in framings() {
            for status in ["200 OK", "500 Internal Server Error"] {
                let body = body.clone();
                let response = response_to(path, move |request| {
                    let bytes = [&head(request, version, status, framing), body.as_bytes()].concat();
                    vec![Step::Send(bytes), Step::Close]
                });
                let response = response.await;
                let context = format!("{path} {version} {status} {framing}");
                assert_eq!(response.status.as_str(), &status[..3], "{context}");
                assert_eq!(response.body.as_deref(), Some(EVENTS.as_bytes()), "{context}");
                let framed = response.header("content-length").parse() == Ok(EVENTS.len());
                assert!(framed || response.header("transfer-encoding") == "chunked", "{context}");
            }
        }
    }
}

#[tokio::test]
async fn a_response_delimited_by_its_connection_is_incomplete_after_a_reset() {
    for path in ["/n/x", "/e/x"] {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let proceed = Arc::new(tokio::sync::Notify::new());
            let gate = Arc::clone(&proceed);
            let endpoint = FakeEndpoint::start("i-1", move |request| {
                let bytes = [&head(request, version, "200 OK", ""), EVENTS.as_bytes()].concat();
                vec![Step::Send(bytes), Step::Wait(Arc::clone(&gate)), Step::Reset]
            })
            .await;
            let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
            let mut client = connect(harness.frontend).await;
            let sent = client.send_request(request("POST", path, "9c41", ""));
            endpoint.next_request().await;
            let response = if path == "/e/x" {
                // The stream is reset after it has begun.
                let response = with_timeout(sent).await.unwrap();
                proceed.notify_one();
                response
            } else {
                proceed.notify_one();
                with_timeout(sent).await.unwrap()
            };
            let response = read(response).await;
            let is_complete_success = response.status == StatusCode::OK && response.body.is_some();
            assert!(!is_complete_success, "{path} {version}: {response:?}");
        }
    }
}

// Covers the use of `ends_with_connection` in `EventSource::next`.
#[tokio::test]
async fn an_undelimited_stream_that_ends_within_an_event_is_aborted() {
    let truncated = || [EVENTS, "id: 3\nda"].concat();
    let response = response_to("/e/x", move |request| {
        let bytes = [&head(request, "HTTP/1.1", "200 OK", ""), truncated().as_bytes()].concat();
        vec![Step::Send(bytes), Step::Close]
    })
    .await;
    assert_eq!((response.status, response.body), (StatusCode::OK, None));
}

#[tokio::test]
async fn an_undelimited_stream_that_ends_within_an_event_is_resumed_after_the_last_complete_one() {
    let script = |request: &ReceivedRequest| match request.header("last-event-id") {
        None => {
            let bytes = [&head(request, "HTTP/1.1", "200 OK", ""), EVENTS.as_bytes(), b"id: 3\nda"].concat();
            vec![Step::Send(bytes), Step::Close]
        }
        Some("2") => {
            let bytes = [&head(request, "HTTP/1.1", "200 OK", ""), &b"id: 3\ndata: three\n\n"[..]].concat();
            vec![Step::Send(bytes), Step::Close]
        }
        Some(_) => declined(request),
    };
    let endpoints = [FakeEndpoint::start("i-1", script).await, FakeEndpoint::start("i-2", script).await];
    let harness = RelayHarness::with_endpoints(&[&endpoints[0], &endpoints[1]]).await;
    let response = read(harness.send(request("POST", "/r/x", "9c41", "")).await).await;
    let expected = format!("{EVENTS}id: 3\ndata: three\n\n");
    assert_eq!(response.body.as_deref(), Some(expected.as_bytes()));
}

/// Responses that must not reach a client, grouped by the check that rejects them.
#[tokio::test]
async fn malformed_responses_are_not_forwarded() {
    let heads = [
        // Rejected by `has_other_transfer_coding` in `attempt::is_valid_response`.
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        // Rejected by `check_response_head`, which checks all ids.
        "X-Request-Id: another\r\nContent-Length: 2\r\n",
        // Rejected by the HTTP library.
        "Content-Length: 2\r\nContent-Length: 3\r\n",
        "Content-Length: 2, 3\r\n",
        "X-Folded: a\r\n b\r\nContent-Length: 2\r\n",
        "X-Bare: a\rContent-Length: 0\r\nContent-Length: 2\r\n",
    ];
    for framing in heads {
        let response = response_to("/n/x", move |request| {
            let bytes =
                [&head(request, "HTTP/1.1", "200 OK", framing), &b"2\r\nhi\r\n0\r\n\r\n"[..]].concat();
            vec![Step::Send(bytes), Step::Close]
        })
        .await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{framing}");
        assert_eq!(response.header("x-server-signature"), "", "{framing}");
    }
    // Rejected by `is_informational` in `is_valid_response`.
    let response = response_to("/n/x", |request| {
        vec![
            Step::Send(head(request, "HTTP/1.1", "101 Switching Protocols", "Upgrade: other\r\n")),
            Step::Hang,
        ]
    })
    .await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
}

#[tokio::test]
async fn responses_without_body_consume_no_following_bytes() {
    for (method, status) in [
        ("HEAD", "200 OK"),
        ("GET", "204 No Content"),
        ("GET", "304 Not Modified"),
        ("HEAD", "304 Not Modified"),
    ] {
        for framing in ["Content-Length: LENGTH\r\n", "Transfer-Encoding: chunked\r\n", ""] {
            let endpoint = FakeEndpoint::start("i-1", move |request| {
                vec![Step::Send(head(request, "HTTP/1.1", status, framing))]
            })
            .await;
            let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
            let mut client = connect(harness.frontend).await;
            for id in ["a", "b"] {
                let context = format!("{method} {status} {framing} {id}");
                with_timeout(client.ready()).await.expect(&context);
                let response =
                    with_timeout(client.send_request(request(method, "/i/x", id, ""))).await.expect(&context);
                let response = read(response).await;
                assert_eq!(response.status.as_str(), &status[..3], "{context}");
                assert_eq!(response.header("x-request-id"), id, "{context}");
                assert_eq!(response.body.as_deref(), Some(&b""[..]), "{context}");
            }
            assert_eq!(*endpoint.connections.lock().unwrap(), 1, "{method} {status} {framing}");
        }
    }
}
