//! Request smuggling: of a request that two parsers could read differently, an endpoint gets what the client sent as
//! one request, or nothing.

use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::endpoint::{FakeEndpoint, ok};
use crate::hostile::wire::split_head;
use crate::support::{RelayHarness, with_timeout};

/// A smuggled request, which must not reach the endpoint.
const SMUGGLED: &str =
    "POST /n/evil HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: evil\r\nContent-Length: 0\r\n\r\n";

/// A request with additional headers.
fn post(headers: &str, body: &str) -> String {
    format!(
        "POST /n/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 9c41\r\nX-Deadline-Ms: 5000\r\n{headers}\r\n{body}"
    )
}

/// Sends bytes to a relay. Returns the statuses of all responses, and the ids and bodies that reached the endpoint.
async fn send(bytes: &str) -> (Vec<String>, Vec<(String, Vec<u8>)>) {
    let endpoint: Arc<FakeEndpoint> = FakeEndpoint::start("i-1", |request| ok(request, "")).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let mut stream = TcpStream::connect(harness.frontend).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut responses = Vec::new();
    let read = async {
        let mut statuses = Vec::new();
        loop {
            while let Some(split) = split_head(&responses) {
                let (head, rest) = split.unwrap();
                statuses.push(head.line[9..12].to_owned());
                let length = head.header("content-length").map_or(0, |length| length.parse().unwrap());
                responses = rest[length..].to_vec();
            }
            // The relay responds to complete requests, and closes the connection when the client does.
            if !statuses.is_empty() {
                let _ = stream.shutdown().await;
            }
            if stream.read_buf(&mut responses).await.unwrap_or(0) == 0 {
                return statuses;
            }
        }
    };
    let statuses = with_timeout(read).await;
    let received = endpoint.received();
    (statuses, received.into_iter().map(|request| (request.id().to_owned(), request.body)).collect())
}

#[tokio::test]
async fn ambiguous_requests_are_refused_unsent() {
    let requests = [
        // Refused by the HTTP library.
        post("Content-Length: 3\r\nContent-Length: 5\r\n", "abcde"),
        post("Content-Length: 3, 5\r\n", "abcde"),
        post("Content-Length: +3\r\n", "abc"),
        post("Content-Length: 0x3\r\n", "abc"),
        post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"),
        post("Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n"),
        post("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "0\r\n\r\n"),
        post("Content-Length : 3\r\n", "abc"),
        post("X-Folded: a\r\n b\r\n", ""),
        post("X-Bare: a\rX-More: b\r\n", ""),
        post("X-Null: a\0b\r\n", ""),
        post("Transfer-Encoding: chunked\r\n", "fffffffffffffffff\r\n"),
        post("Transfer-Encoding: chunked\r\n", "3 \r\nabcd\r\n0\r\n\r\n"),
        post("Transfer-Encoding: chunked\r\n", "-3\r\nabc\r\n0\r\n\r\n"),
        post("", "").replace("HTTP/1.1\r\n", "HTTP/1.0\r\nTransfer-Encoding: chunked\r\n"),
        // Refused by `check_unambiguous`.
        post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
        post("X-Request-Id: other\r\n", ""),
        post("Host: other.example\r\n", ""),
    ];
    for request in requests {
        // The ambiguous request must not reach the endpoint. `SMUGGLED` may, where it is a valid next request for every
        // parser.
        let (statuses, received) = send(&format!("{request}{SMUGGLED}")).await;
        let own: Vec<_> = received.iter().filter(|(id, _)| id != "evil").collect();
        assert!(own.is_empty(), "{request:?}: {own:?}");
        assert!(statuses.is_empty() || statuses[0] == "400", "{request:?}: {statuses:?}");
    }
}

#[tokio::test]
async fn a_body_that_is_a_request_stays_a_body() {
    let length = SMUGGLED.len();
    let chunked = format!("{length:x}\r\n{SMUGGLED}\r\n0\r\n\r\n");
    let with_trailer = format!("{length:x}\r\n{SMUGGLED}\r\n0\r\nX-Request-Id: evil\r\n\r\n");
    let requests = [
        post(&format!("Content-Length: {length}\r\n"), SMUGGLED),
        post(&format!("Content-Length: {length}\r\nContent-Length: {length}\r\n"), SMUGGLED),
        post("Transfer-Encoding: chunked\r\n", &chunked),
        post("Transfer-Encoding: Chunked\r\nConnection: Transfer-Encoding, Content-Length\r\n", &chunked),
        // Trailers are not headers.
        post("Transfer-Encoding: chunked\r\nTrailer: X-Request-Id\r\n", &with_trailer),
    ];
    for request in requests {
        let (statuses, received) = send(&request).await;
        assert_eq!(statuses, ["200"], "{request:?}");
        assert_eq!(received, [("9c41".to_owned(), SMUGGLED.as_bytes().to_vec())], "{request:?}");
    }
}

#[tokio::test]
async fn with_length_and_chunks_the_chunks_count_and_nothing_after_them_is_read() {
    let tail = format!("0\r\n\r\n{SMUGGLED}");
    let framed = format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", tail.len());
    let (statuses, received) = send(&post(&framed, &tail)).await;
    assert_eq!(statuses, ["200"]);
    assert_eq!(received, [("9c41".to_owned(), Vec::new())]);
}

// Covers the check of the HTTP version in `respond`.
#[tokio::test]
async fn http_1_0_clients_get_no_streams() {
    let request = post("", "").replace("/n/x HTTP/1.1", "/e/x HTTP/1.0");
    let (statuses, received) = send(&request).await;
    assert_eq!(statuses, ["505"]);
    assert!(received.is_empty());
}
