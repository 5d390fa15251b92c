//! Planned work cuts nothing that was read: ends of endpoints and of the relay, other configurations.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use juniperwing_protocol::registry::InstanceState;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::endpoint::{Endpoint, Step, answer, chunk, last_chunk, ok, stream_head};
use crate::support::{Bench, connect, instance, next_piece, read, request, soon, with_headers};

/// Requests that an endpoint of the capacity in `instance` takes from one relay.
const TAKEN: usize = 10;
/// The platform asks every second whether a relay is ready.
const TWO_CHECKS: Duration = Duration::from_secs(2);
/// Routes whose time is far longer than that for an end.
const PATIENT: &str = r#"{"generation":2,"routes":[
    {"name":"n","hostname":"h.example","pathPrefix":"/n/","routeType":"non_idempotent","timeoutMs":60000,"targetLatencyMs":4000,"priority":2,"backend":"s","maxRetries":2},
    {"name":"k","hostname":"h.example","pathPrefix":"/k/","routeType":"streaming","timeoutMs":60000,"targetLatencyMs":4000,"priority":0,"backend":"s","maxRetries":2,"resumable":false,"kept":true,"retentionS":60}],
    "backends":[{"name":"s","healthCheck":"/healthz","maxConnections":100,"protocol":"h1","tls":false}]}"#;
const NO_ROUTES: &str = r#"{"generation":2,"routes":[],"backends":[]}"#;

/// An endpoint that holds its answers back until it is told to go on.
async fn holding(id: &'static str) -> (Arc<Endpoint>, Arc<Notify>) {
    let go_on = Arc::new(Notify::new());
    let waits = Arc::clone(&go_on);
    let endpoint = Endpoint::start(id, move |request| {
        let wait = Step::Wait(Arc::clone(&waits));
        match request.line.contains("/e/") {
            true => vec![stream_head(request, "s"), chunk("id: 1\ndata: a\n\n"), wait, last_chunk()],
            false => vec![wait, answer(request, "200 OK", "", "done")],
        }
    });
    (endpoint.await, go_on)
}

// Guards: `attempt::send` asks whether the endpoint is ready; `ClusterView` removes it from the dispatcher and touches
// nothing that is under way there.
#[tokio::test]
async fn an_endpoint_that_ends_without_draining_finishes_what_it_has() {
    let (leaving, go_on) = holding("i-1").await;
    let staying = Endpoint::start("i-2", |request| ok(request, "")).await;
    let bench = Bench::with(&[&leaving]).await;
    let mut client = connect(bench.frontend).await;
    let plain = client.send_request(request("POST", "/n/x", "a1", ""));
    tokio::pin!(plain);
    tokio::select! {
        _ = &mut plain => panic!("it is held back"),
        _ = leaving.arrival() => {}
    }
    let mut stream = bench.send(request("POST", "/e/x", "a2", "")).await.into_body();
    next_piece(&mut stream).await.unwrap().unwrap();
    bench.tell(false, vec![instance(&leaving, InstanceState::Terminated, 2)]);
    // Neither a late heartbeat nor news of a drain that came late brings it back.
    bench.tell(false, vec![instance(&leaving, InstanceState::Ready, 3)]);
    bench.tell(false, vec![instance(&leaving, InstanceState::Draining, 4)]);
    assert_eq!(bench.get("/i/x").await.status, StatusCode::SERVICE_UNAVAILABLE, "there is no other");
    bench.tell(false, vec![instance(&staying, InstanceState::Ready, 1)]);
    assert_eq!(bench.get("/i/x").await.status, StatusCode::OK);
    go_on.notify_waiters();
    let plain = read(soon(plain).await.unwrap()).await;
    assert_eq!((plain.status, plain.body.as_deref()), (StatusCode::OK, Some(&b"done"[..])));
    assert!(next_piece(&mut stream).await.is_none(), "the stream ends as the endpoint's does");
    assert_eq!(leaving.received().len(), 2);
}

// Guard: a request goes on with the route that it was read under.
#[tokio::test]
async fn a_configuration_without_their_route_cuts_no_requests() {
    let (endpoint, go_on) = holding("i-1").await;
    let bench = Bench::with(&[&endpoint]).await;
    let mut client = connect(bench.frontend).await;
    let plain = client.send_request(request("POST", "/n/x", "a1", ""));
    tokio::pin!(plain);
    tokio::select! {
        _ = &mut plain => panic!("it is held back"),
        _ = endpoint.arrival() => {}
    }
    let mut stream = bench.send(request("POST", "/e/x", "a2", "")).await.into_body();
    next_piece(&mut stream).await.unwrap().unwrap();
    bench.configure(2, NO_ROUTES);
    assert_eq!(bench.get("/i/x").await.status, StatusCode::NOT_FOUND);
    go_on.notify_waiters();
    assert_eq!(read(soon(plain).await.unwrap()).await.body.as_deref(), Some(&b"done"[..]));
    assert!(next_piece(&mut stream).await.is_none());
}

// Guards: `finish_all` lets connections end after their answer; `serve` waits for `Connections::ended`.
#[tokio::test]
async fn a_stop_waits_for_requests_that_wait_for_stores_slots_and_endpoints() {
    let (endpoint, go_on) = holding("i-1").await;
    let bench = Arc::new(Bench::with(&[&endpoint]).await);
    let hold_begin = Arc::new(Notify::new());
    *bench.stores.hold_begin.lock().unwrap() = Some(Arc::clone(&hold_begin));
    let ask = |method: &'static str, path: &'static str, id: String| {
        let bench = Arc::clone(&bench);
        tokio::spawn(async move { read(bench.send(request(method, path, &id, "")).await).await })
    };
    let mut asked: Vec<_> = (0..TAKEN).map(|number| ask("GET", "/i/x", format!("held-{number}"))).collect();
    for _ in 0..TAKEN {
        soon(endpoint.arrival()).await;
    }
    asked.push(ask("GET", "/i/x", "for-a-slot".into()));
    asked.push(ask("POST", "/k/x", "for-the-stores".into()));
    soon(async {
        while bench.state.metrics.requests.get() < TAKEN as u64 + 2 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    bench.stop();
    soon(async {
        while bench.state.is_ready() {
            tokio::task::yield_now().await;
        }
    })
    .await;
    // A freed slot goes to the request that waits for one.
    soon(async {
        while endpoint.received().len() < TAKEN + 1 {
            go_on.notify_waiters();
            tokio::task::yield_now().await;
        }
    })
    .await;
    // The turn is still at the stores when new connections are no longer accepted.
    soon(async {
        while TcpStream::connect(bench.frontend).await.is_ok() {
            tokio::task::yield_now().await;
        }
    })
    .await;
    hold_begin.notify_waiters();
    let answers = async {
        let mut statuses = Vec::new();
        for answer in asked {
            let answer = answer.await.unwrap();
            assert_eq!(answer.header("connection"), "close");
            assert!(answer.body.is_some(), "whole");
            statuses.push(answer.status);
        }
        statuses
    };
    tokio::pin!(answers);
    let statuses = soon(async {
        loop {
            go_on.notify_waiters();
            tokio::select! {
                biased;
                statuses = &mut answers => break statuses,
                () = tokio::task::yield_now() => {}
            }
        }
    })
    .await;
    assert_eq!(statuses, [StatusCode::OK; TAKEN + 2]);
    let served = bench.served.lock().unwrap().take().unwrap();
    soon(served).await.unwrap().unwrap();
}

// Guard: `respond_before_end`.
#[tokio::test]
async fn what_is_not_done_at_the_end_is_answered_without_a_promise() {
    let (endpoint, _go_on) = holding("i-1").await;
    let bench = Bench::with(&[&endpoint]).await;
    bench.configure(2, PATIENT);
    *bench.stores.hold_begin.lock().unwrap() = Some(Arc::default());
    let patient = |path: &str| with_headers(request("POST", path, "9c41", ""), &[("x-deadline-ms", "60000")]);
    let at_endpoint = bench.try_send(patient("/n/x"));
    let at_stores = bench.try_send(patient("/k/x"));
    let stop = async {
        soon(endpoint.arrival()).await;
        while bench.stores.begun.lock().unwrap().is_empty() {
            tokio::task::yield_now().await;
        }
        bench.stop();
    };
    let (at_endpoint, at_stores, ()) = tokio::join!(at_endpoint, at_stores, stop);
    for answer in [at_endpoint, at_stores] {
        let answer = read(answer.expect("an answer, not a cut")).await;
        assert_eq!((answer.status, answer.header("connection")), (StatusCode::BAD_GATEWAY, "close"));
    }
    let served = bench.served.lock().unwrap().take().unwrap();
    soon(served).await.unwrap().unwrap();
}

// Guards: `MAX_ACCEPT_PERIOD`; connections that rest are not ended before it is over.
#[tokio::test]
async fn a_relay_that_stops_serves_until_the_platform_has_missed_two_checks() {
    let endpoint = Endpoint::start("i-1", |request| ok(request, "")).await;
    let bench = Bench::with(&[&endpoint]).await;
    let mut resting = connect(bench.frontend).await;
    soon(resting.ready()).await.unwrap();
    let begun = Instant::now();
    bench.stop();
    soon(async {
        while bench.state.is_ready() {
            tokio::task::yield_now().await;
        }
    })
    .await;
    let on_resting = soon(resting.send_request(request("GET", "/i/x", "a1", ""))).await.unwrap();
    let on_new = bench.send(request("GET", "/i/x", "a2", "")).await;
    for answer in [on_resting, on_new] {
        let answer = read(answer).await;
        assert_eq!((answer.status, answer.header("connection")), (StatusCode::OK, "close"));
    }
    soon(async {
        while TcpStream::connect(bench.frontend).await.is_ok() {
            tokio::task::yield_now().await;
        }
    })
    .await;
    assert!(begun.elapsed() >= TWO_CHECKS, "{:?}", begun.elapsed());
}
