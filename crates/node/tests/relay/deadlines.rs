//! Time: what endpoints are told of it, and that every request ends when its route's time is over.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use juniperwing_clock::Span;
use juniperwing_protocol::registry::InstanceState;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::endpoint::{Endpoint, Received, Step, chunk, last_chunk, ok, stream_head};
use crate::support::{Bench, instance, next_piece, read, request, soon, with_headers};

const FIRST: &str = "id: 1\ndata: one\n\n";
/// The time-out of the routes in [`short`].
const TIMEOUT_MS: u64 = 300;
/// What a client waits here: much longer than the route allows.
const CLIENT_MS: &str = "60000";
/// Far below the client's time. That an answer comes within half a second is judged on machines that are not busy.
const ENDED_BY: Duration = Duration::from_secs(10);

/// Routes of every kind whose time is short.
fn short() -> String {
    let route = |prefix: &str, kind: &str, more: &str| {
        format!(
            r#"{{"name":"{prefix}","hostname":"h.example","pathPrefix":"/{prefix}/","routeType":"{kind}",
            "timeoutMs":{TIMEOUT_MS},"targetLatencyMs":200,"priority":1,"backend":"s","maxRetries":2{more}}}"#
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

fn patient(method: &str, path: &str, id: &str) -> Request<Full<Bytes>> {
    with_headers(request(method, path, id, ""), &[("x-deadline-ms", CLIENT_MS)])
}

fn told_ms(received: &Received) -> u64 {
    received.header("x-deadline-ms").expect("endpoints are always told").parse().unwrap()
}

fn plain_or_stream(request: &Received) -> Vec<Step> {
    match request.line.contains("/e/") || request.line.contains("/k/") {
        true => vec![stream_head(request, "s"), chunk(FIRST), last_chunk()],
        false => ok(request, ""),
    }
}

// Guard: `headers_for` sets X-Deadline-Ms from the exchange's deadline.
#[tokio::test]
async fn endpoints_are_told_no_more_time_than_client_and_route_leave() {
    let endpoint = Endpoint::start("i-1", plain_or_stream).await;
    let bench = Bench::with(&[&endpoint]).await;
    let paths = [("GET", "/i/x"), ("POST", "/n/x"), ("POST", "/e/x"), ("POST", "/k/x")];
    for (client, most) in [(Some("8000"), 8_000), (Some("750.5"), 750), (None, 10_000)] {
        for (method, path) in paths {
            let mut sent = request(method, path, "9c41", "");
            sent.headers_mut().remove("x-deadline-ms");
            if let Some(client) = client {
                sent = with_headers(sent, &[("x-deadline-ms", client)]);
            }
            assert_eq!(read(bench.send(sent).await).await.status, StatusCode::OK, "{path}");
            let told = told_ms(&soon(endpoint.arrival()).await);
            assert!((1..=most).contains(&told), "{path}: {told} of {most}");
        }
    }
    bench.configure(2, &short());
    for (method, path) in paths {
        read(bench.send(patient(method, path, "9c42")).await).await;
        let told = told_ms(&soon(endpoint.arrival()).await);
        assert!(told <= TIMEOUT_MS, "{path}: {told}");
    }
}

// Guard: `headers_for` counts from the deadline at every sending.
#[tokio::test]
async fn a_resend_is_told_what_is_left_then() {
    let endpoints = [
        Endpoint::start("i-1", |_| vec![Step::Hang]).await,
        Endpoint::start("i-2", |request| ok(request, "well")).await,
    ];
    let bench = Bench::with(&[&endpoints[0]]).await;
    // Of two that are equally free, the one in the relay's own zone is chosen.
    let mut elsewhere = instance(&endpoints[1], InstanceState::Ready, 1);
    elsewhere.zone = "b".into();
    bench.tell(false, vec![elsewhere]);
    bench.warm_up("/i/", Span::from_millis(40));
    let sent = with_headers(request("GET", "/i/x", "9c41", ""), &[("x-deadline-ms", "1200")]);
    assert_eq!(read(bench.send(sent).await).await.status, StatusCode::OK);
    let [first, second] = endpoints.map(|endpoint| told_ms(&endpoint.received()[0]));
    // The first try lasted for half of the time.
    assert!(second + 500 <= first, "first {first}, then {second}");
}

// Guard: the deadline is the shorter of the client's and the route's, in every wait.
#[tokio::test]
async fn silence_is_answered_when_the_routes_time_is_over() {
    let endpoint = Endpoint::start("i-1", |_| vec![Step::Hang]).await;
    let bench = Bench::with(&[&endpoint]).await;
    bench.configure(2, &short());
    for (method, path) in [("GET", "/i/x"), ("POST", "/n/x"), ("POST", "/e/x"), ("POST", "/k/x")] {
        let begun = Instant::now();
        let answer = read(bench.send(patient(method, path, "9c41")).await).await;
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT, "{path}");
        assert!(begun.elapsed() < ENDED_BY, "{path}");
    }
}

// Guard: `timeout_at(self.until, ...)` around what a stream waits for.
#[tokio::test]
async fn a_stream_under_way_ends_when_its_time_is_over() {
    let endpoint =
        Endpoint::start("i-1", |request| vec![stream_head(request, "s"), chunk(FIRST), Step::Hang]).await;
    let bench = Bench::with(&[&endpoint]).await;
    bench.configure(2, &short());
    let begun = Instant::now();
    let mut body = bench.send(patient("POST", "/e/x", "9c41")).await.into_body();
    assert_eq!(next_piece(&mut body).await.unwrap().unwrap(), FIRST);
    assert!(next_piece(&mut body).await.unwrap().is_err(), "it must not look complete");
    assert!(begun.elapsed() < ENDED_BY);
    soon(endpoint.left.notified()).await;
    assert_eq!(
        bench.state.metrics.aborted_streams.get(),
        1,
        "the stream ended itself, before its connection was cut"
    );
}

// Guard: `timeout` around `read_body`.
#[tokio::test]
async fn a_body_that_does_not_come_is_answered_when_its_time_is_over() {
    let bench = Bench::with(&[]).await;
    bench.configure(2, &short());
    let begun = Instant::now();
    let mut client = soon(TcpStream::connect(bench.frontend)).await.unwrap();
    let head = "POST /n/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 9c41\r\nX-Deadline-Ms: 60000\r\n";
    client.write_all(format!("{head}Content-Length: 10\r\n\r\nabc").as_bytes()).await.unwrap();
    let mut answer = [0; 12];
    soon(client.read_exact(&mut answer)).await.unwrap();
    assert_eq!(&answer, b"HTTP/1.1 408");
    assert!(begun.elapsed() < ENDED_BY);
}

// Guard: `ClientConnection::check` cuts an answer whose time is over.
#[tokio::test]
async fn a_client_that_does_not_read_holds_no_endpoint_beyond_its_time() {
    let text = "x".repeat(60_000);
    let endpoint = Endpoint::start("i-1", move |request| {
        let events = (0..400).map(|number| chunk(&format!("id: {number}\ndata: {text}\n\n")));
        [stream_head(request, "s")].into_iter().chain(events).chain([last_chunk()]).collect()
    })
    .await;
    let bench = Bench::with(&[&endpoint]).await;
    bench.configure(2, &short());
    // Little may lie between the two.
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(8 << 10).unwrap();
    let mut client = soon(socket.connect(bench.frontend)).await.unwrap();
    let head = "POST /e/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 9c41\r\nX-Deadline-Ms: 60000\r\n";
    client.write_all(format!("{head}Budget: 1080\r\nContent-Length: 0\r\n\r\n").as_bytes()).await.unwrap();
    soon(endpoint.arrival()).await;
    // The turn is settled when the relay lets go of the stream. The client is still there.
    soon(bench.stores.told.notified()).await;
    drop(client);
}

// Guard: `OpenTurn::complete` is given no more than what is left.
#[tokio::test]
async fn a_turn_is_kept_within_its_time() {
    let endpoint = Endpoint::start("i-1", plain_or_stream).await;
    let bench = Bench::with(&[&endpoint]).await;
    bench.configure(2, &short());
    let answer = read(bench.send(patient("POST", "/k/x", "9c41")).await).await;
    assert_eq!(answer.status, StatusCode::OK);
    let within = bench.stores.finish_within.lock().unwrap()[0];
    assert!(within <= Duration::from_millis(TIMEOUT_MS + 100), "{within:?}");
}
