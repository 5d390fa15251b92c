//! However an answer's end is told, the client gets it whole and can tell that it is, or can tell that it is not.

use std::sync::Arc;

use http::StatusCode;

use crate::endpoint::{Endpoint, Received, Step, declined};
use crate::support::{Answer, Bench, connect, read, request, soon};

const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

/// Headers that frame `EVENTS`, and its bytes framed by them.
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

fn head(request: &Received, version: &str, status: &str, framing: &str) -> Vec<u8> {
    let id = request.id();
    let framing = framing.replace("LENGTH", &EVENTS.len().to_string());
    format!("{version} {status}\r\nX-Request-Id: {id}\r\nX-Server-Signature: s\r\n{framing}\r\n").into_bytes()
}

async fn answer_to(path: &str, script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static) -> Answer {
    let endpoint = Endpoint::start("i-1", script).await;
    let bench = Bench::with(&[&endpoint]).await;
    let answer = read(bench.send(request("POST", path, "9c41", "")).await).await;
    assert_eq!(endpoint.received().len(), 1, "{path}");
    answer
}

// Guards: `is_delimited` and the removal of the length in `attempt::accept`.
#[tokio::test]
async fn every_framing_reaches_the_client_whole() {
    for path in ["/i/x", "/n/x", "/e/x", "/r/x"] {
        for (version, framing, body) in framings() {
            for status in ["200 OK", "500 Internal Server Error"] {
                let body = body.clone();
                let answer = answer_to(path, move |request| {
                    let bytes = [&head(request, version, status, framing), body.as_bytes()].concat();
                    vec![Step::Send(bytes), Step::Close]
                });
                let answer = answer.await;
                let told = format!("{path} {version} {status} {framing}");
                assert_eq!(answer.status.as_str(), &status[..3], "{told}");
                assert_eq!(answer.body.as_deref(), Some(EVENTS.as_bytes()), "{told}");
                let framed = answer.header("content-length").parse() == Ok(EVENTS.len());
                assert!(framed || answer.header("transfer-encoding") == "chunked", "{told}");
            }
        }
    }
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_not_whole_if_that_is_reset() {
    for path in ["/n/x", "/e/x"] {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let go_on = Arc::new(tokio::sync::Notify::new());
            let waits = Arc::clone(&go_on);
            let endpoint = Endpoint::start("i-1", move |request| {
                let bytes = [&head(request, version, "200 OK", ""), EVENTS.as_bytes()].concat();
                vec![Step::Send(bytes), Step::Wait(Arc::clone(&waits)), Step::Reset]
            })
            .await;
            let bench = Bench::with(&[&endpoint]).await;
            let mut client = connect(bench.frontend).await;
            let asked = client.send_request(request("POST", path, "9c41", ""));
            endpoint.arrival().await;
            let answer = if path == "/e/x" {
                // The stream has begun when it is reset.
                let answer = soon(asked).await.unwrap();
                go_on.notify_one();
                answer
            } else {
                go_on.notify_one();
                soon(asked).await.unwrap()
            };
            let answer = read(answer).await;
            let whole_success = answer.status == StatusCode::OK && answer.body.is_some();
            assert!(!whole_success, "{path} {version}: {answer:?}");
        }
    }
}

// Guard: `ends_with_connection` in `Source::next`.
#[tokio::test]
async fn a_stream_without_length_that_ends_within_an_event_is_broken_off() {
    let cut = || [EVENTS, "id: 3\nda"].concat();
    let answer = answer_to("/e/x", move |request| {
        let bytes = [&head(request, "HTTP/1.1", "200 OK", ""), cut().as_bytes()].concat();
        vec![Step::Send(bytes), Step::Close]
    })
    .await;
    assert_eq!((answer.status, answer.body), (StatusCode::OK, None));
}

#[tokio::test]
async fn a_stream_without_length_that_ends_within_an_event_is_resumed_behind_the_last_whole_one() {
    let script = |request: &Received| match request.header("last-event-id") {
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
    let endpoints = [Endpoint::start("i-1", script).await, Endpoint::start("i-2", script).await];
    let bench = Bench::with(&[&endpoints[0], &endpoints[1]]).await;
    let answer = read(bench.send(request("POST", "/r/x", "9c41", "")).await).await;
    let whole = format!("{EVENTS}id: 3\ndata: three\n\n");
    assert_eq!(answer.body.as_deref(), Some(whole.as_bytes()));
}

/// Answers that no client may see, each with the guard that refuses it.
#[tokio::test]
async fn answers_that_are_no_plain_ones_are_not_passed_on() {
    let heads = [
        // `has_other_transfer_coding` in `attempt`.
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        // The check of all ids in `check_head`.
        "X-Request-Id: another\r\nContent-Length: 2\r\n",
        // The HTTP library.
        "Content-Length: 2\r\nContent-Length: 3\r\n",
        "Content-Length: 2, 3\r\n",
        "X-Folded: a\r\n b\r\nContent-Length: 2\r\n",
        "X-Bare: a\rContent-Length: 0\r\nContent-Length: 2\r\n",
    ];
    for framing in heads {
        let answer = answer_to("/n/x", move |request| {
            let bytes =
                [&head(request, "HTTP/1.1", "200 OK", framing), &b"2\r\nhi\r\n0\r\n\r\n"[..]].concat();
            vec![Step::Send(bytes), Step::Close]
        })
        .await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{framing}");
        assert_eq!(answer.header("x-server-signature"), "", "{framing}");
    }
    // `is_informational` in `is_valid_response`.
    let answer = answer_to("/n/x", |request| {
        vec![
            Step::Send(head(request, "HTTP/1.1", "101 Switching Protocols", "Upgrade: other\r\n")),
            Step::Hang,
        ]
    })
    .await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
}

#[tokio::test]
async fn answers_without_body_take_none_from_what_follows() {
    for (method, status) in [
        ("HEAD", "200 OK"),
        ("GET", "204 No Content"),
        ("GET", "304 Not Modified"),
        ("HEAD", "304 Not Modified"),
    ] {
        for framing in ["Content-Length: LENGTH\r\n", "Transfer-Encoding: chunked\r\n", ""] {
            let endpoint = Endpoint::start("i-1", move |request| {
                vec![Step::Send(head(request, "HTTP/1.1", status, framing))]
            })
            .await;
            let bench = Bench::with(&[&endpoint]).await;
            let mut client = connect(bench.frontend).await;
            for id in ["a", "b"] {
                let told = format!("{method} {status} {framing} {id}");
                soon(client.ready()).await.expect(&told);
                let answer = soon(client.send_request(request(method, "/i/x", id, ""))).await.expect(&told);
                let answer = read(answer).await;
                assert_eq!(answer.status.as_str(), &status[..3], "{told}");
                assert_eq!(answer.header("x-request-id"), id, "{told}");
                assert_eq!(answer.body.as_deref(), Some(&b""[..]), "{told}");
            }
            assert_eq!(*endpoint.connections.lock().unwrap(), 1, "{method} {status} {framing}");
        }
    }
}
