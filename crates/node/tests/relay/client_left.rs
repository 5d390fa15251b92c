//! A client that has left: nothing is sent for it any more, and endpoints at work for it are let go of.
//!
//! A client that closes only its sending side has left too: over HTTP/1.1 its FIN cannot be told from that of a
//! client that closes its connection.

use std::sync::Arc;

use juniperwing_clock::Span;
use juniperwing_protocol::registry::InstanceState;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::endpoint::{Endpoint, Received, Step, chunk, ok, stream_head};
use crate::support::{Bench, instance, request, soon};

/// Requests that an endpoint of the capacity in `instance` takes from one relay.
const TAKEN: usize = 10;

/// A client that has sent the head of a request, and of its body what is given.
async fn client(bench: &Bench, line: &str, id: &str, length: usize, body: &str) -> TcpStream {
    let mut client = soon(TcpStream::connect(bench.frontend)).await.unwrap();
    let head = format!(
        "{line} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 60000\r\nBudget: 1080\r\n"
    );
    client.write_all(format!("{head}Content-Length: {length}\r\n\r\n{body}").as_bytes()).await.unwrap();
    client
}

/// Waits until the relay serves so many connections of clients.
async fn connections(bench: &Bench, wanted: usize) {
    soon(async {
        while bench.state.connections.count() != wanted {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

/// Waits until the relay has read so many requests.
async fn requests(bench: &Bench, wanted: u64) {
    soon(async {
        while bench.state.metrics.requests.get() != wanted {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

fn ids(endpoint: &Endpoint) -> Vec<String> {
    endpoint.received().iter().map(|received| received.id().to_owned()).collect()
}

/// Answers `probe`, and works on everything else until it is let go of.
fn works(request: &Received) -> Vec<Step> {
    match request.id() {
        "probe" => ok(request, ""),
        _ => vec![Step::Hang],
    }
}

// Guard: half-closed connections end (`http1::Builder::half_close` is left off), and with them `serve_request`.
#[tokio::test]
async fn endpoints_at_work_are_let_go_of() {
    let endpoint = Endpoint::start("i-1", works).await;
    let bench = Bench::with(&[&endpoint]).await;
    for line in ["GET /i/x", "POST /n/x", "POST /e/x", "POST /r/x", "POST /k/x"] {
        let client = client(&bench, line, "9c41", 2, "in").await;
        soon(endpoint.arrival()).await;
        drop(client);
        soon(endpoint.left.notified()).await;
        connections(&bench, 0).await;
    }
    assert_eq!(endpoint.received().len(), 5, "nothing was sent again");
}

// Guard: as above.
#[tokio::test]
async fn a_client_that_closes_its_sending_side_has_left() {
    let endpoint = Endpoint::start("i-1", works).await;
    let bench = Bench::with(&[&endpoint]).await;
    let mut client = client(&bench, "GET /i/x", "9c41", 0, "").await;
    soon(endpoint.arrival()).await;
    client.shutdown().await.unwrap();
    soon(endpoint.left.notified()).await;
    assert_eq!(soon(client.read(&mut [0; 8])).await.unwrap_or(0), 0);
}

// Guard: as above, while the answer is under way.
#[tokio::test]
async fn a_stream_under_way_is_let_go_of() {
    let endpoint = Endpoint::start("i-1", |request| {
        vec![stream_head(request, "s"), chunk("id: 1\ndata: one\n\n"), Step::Hang]
    })
    .await;
    let bench = Bench::with(&[&endpoint]).await;
    for line in ["POST /e/x", "POST /r/x", "POST /k/x"] {
        let mut client = client(&bench, line, "9c41", 0, "").await;
        soon(client.read(&mut [0; 64])).await.unwrap();
        drop(client);
        soon(endpoint.left.notified()).await;
    }
    assert_eq!(endpoint.received().len(), 3, "nothing was sent again");
}

// Guard: as above: a slot that is given to a request that is gone goes to the next.
#[tokio::test]
async fn a_request_that_waits_for_a_slot_is_not_sent() {
    let go_on = Arc::new(Notify::new());
    let waits = Arc::clone(&go_on);
    let endpoint = Endpoint::start("i-1", move |request| match request.id() {
        "probe" => ok(request, ""),
        _ => vec![Step::Wait(Arc::clone(&waits)), crate::endpoint::answer(request, "200 OK", "", "")],
    })
    .await;
    let bench = Bench::with(&[&endpoint]).await;
    let mut held = Vec::new();
    for _ in 0..TAKEN {
        held.push(client(&bench, "GET /i/x", "held", 0, "").await);
        soon(endpoint.arrival()).await;
    }
    let waiting = client(&bench, "GET /i/x", "waiting", 0, "").await;
    requests(&bench, TAKEN as u64 + 1).await;
    assert_eq!(endpoint.received().len(), TAKEN, "all slots are taken");
    drop(waiting);
    connections(&bench, TAKEN).await;
    go_on.notify_waiters();
    let probe = soon(client(&bench, "GET /i/x", "probe", 0, "")).await;
    while soon(endpoint.arrival()).await.id() != "probe" {}
    drop(probe);
    assert!(!ids(&endpoint).contains(&"waiting".to_owned()));
}

// Guards: as above, and `OpenTurn`, which gives its reservation back when it is dropped.
#[tokio::test]
async fn a_turn_that_waits_for_the_stores_is_not_sent() {
    let endpoint = Endpoint::start("i-1", works).await;
    let bench = Bench::with(&[&endpoint]).await;
    let hold = Arc::new(Notify::new());
    *bench.stores.hold_begin.lock().unwrap() = Some(Arc::clone(&hold));
    let waiting = client(&bench, "POST /k/x", "waiting", 2, "in").await;
    soon(async {
        while bench.stores.begun.lock().unwrap().is_empty() {
            tokio::task::yield_now().await;
        }
    })
    .await;
    drop(waiting);
    connections(&bench, 0).await;
    assert_eq!(bench.stores.later.lock().unwrap()[0].tokens, 0);
    hold.notify_waiters();
    bench.send(request("GET", "/i/x", "probe", "")).await;
    assert_eq!(ids(&endpoint), ["probe"]);
}

// Guard: `read_body` gives up a body that ends early.
#[tokio::test]
async fn a_request_whose_body_breaks_off_is_not_sent() {
    let endpoint = Endpoint::start("i-1", works).await;
    let bench = Bench::with(&[&endpoint]).await;
    for line in ["POST /i/x", "POST /n/x", "POST /k/x"] {
        let client = client(&bench, line, "9c41", 10, "abc").await;
        drop(client);
        connections(&bench, 0).await;
    }
    bench.send(request("GET", "/i/x", "probe", "")).await;
    assert_eq!(ids(&endpoint), ["probe"]);
}

// Guard: the first; the restart timer goes with the request.
#[tokio::test]
async fn no_second_try_is_made() {
    let silent = Endpoint::start("i-1", works).await;
    let other = Endpoint::start("i-2", works).await;
    let bench = Bench::with(&[&silent]).await;
    // Of two that are equally free, the one in the relay's own zone is chosen.
    let mut elsewhere = instance(&other, InstanceState::Ready, 1);
    elsewhere.zone = "b".into();
    bench.tell(false, vec![elsewhere]);
    bench.warm_up("/i/", Span::from_millis(1));
    let client = client(&bench, "GET /i/x", "9c41", 0, "").await;
    soon(silent.arrival()).await;
    drop(client);
    soon(silent.left.notified()).await;
    connections(&bench, 0).await;
    assert_eq!((silent.received().len(), other.received().len()), (1, 0));
}
