//! Planned maintenance aborts no request that the relay has read: endpoint drains, relay shutdowns and new
//! configurations.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use juniperwing_protocol::registry::InstanceState;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::endpoint::{FakeEndpoint, Step, chunk, last_chunk, ok, response, stream_head};
use crate::support::{
    ClientResponse, RelayHarness, connect, instance, next_chunk, read, request, wait_until, with_headers,
    with_timeout,
};

/// The number of concurrent requests that a relay sends to an endpoint with the capacity set in `instance`.
const MAX_CONCURRENT_REQUESTS: usize = 10;
/// The time of two readiness checks: the platform checks a relay every second.
const TWO_READINESS_CHECKS: Duration = Duration::from_secs(2);
/// Routes whose timeout is much longer than the grace period.
const LONG_TIMEOUT_ROUTES: &str = r#"{"generation":2,"routes":[
    {"name":"n","hostname":"h.example","pathPrefix":"/n/","routeType":"non_idempotent","timeoutMs":60000,"targetLatencyMs":4000,"priority":2,"backend":"s","maxRetries":2},
    {"name":"k","hostname":"h.example","pathPrefix":"/k/","routeType":"streaming","timeoutMs":60000,"targetLatencyMs":4000,"priority":0,"backend":"s","maxRetries":2,"resumable":false,"kept":true,"retentionS":60}],
    "backends":[{"name":"s","healthCheck":"/healthz","maxConnections":100,"protocol":"h1","tls":false}]}"#;
const NO_ROUTES: &str = r#"{"generation":2,"routes":[],"backends":[]}"#;

/// An endpoint that responds only when notified.
async fn blocking_endpoint(id: &'static str) -> (Arc<FakeEndpoint>, Arc<Notify>) {
    let proceed = Arc::new(Notify::new());
    let gate = Arc::clone(&proceed);
    let endpoint = FakeEndpoint::start(id, move |request| {
        let wait = Step::Wait(Arc::clone(&gate));
        match request.line.contains("/e/") {
            true => vec![stream_head(request, "s"), chunk("id: 1\ndata: a\n\n"), wait, last_chunk()],
            false => vec![wait, response(request, "200 OK", "", "done")],
        }
    });
    (endpoint.await, proceed)
}

// Covers the check in `attempt::send` that the endpoint is ready, and the removal of the endpoint from the dispatcher
// by
// `ClusterView`, which must not affect calls in flight.
#[tokio::test]
async fn an_endpoint_terminated_without_drain_completes_its_requests() {
    let (leaving, proceed) = blocking_endpoint("i-1").await;
    let staying = FakeEndpoint::start("i-2", |request| ok(request, "")).await;
    let harness = RelayHarness::with_endpoints(&[&leaving]).await;
    let mut client = connect(harness.frontend).await;
    let plain = client.send_request(request("POST", "/n/x", "a1", ""));
    tokio::pin!(plain);
    tokio::select! {
        _ = &mut plain => panic!("the endpoint does not respond yet"),
        _ = leaving.next_request() => {}
    }
    let mut stream = harness.send(request("POST", "/e/x", "a2", "")).await.into_body();
    next_chunk(&mut stream).await.unwrap().unwrap();
    harness.publish_instances(false, vec![instance(&leaving, InstanceState::Terminated, 2)]);
    // Neither a late heartbeat nor a late update about a drain restores it.
    harness.publish_instances(false, vec![instance(&leaving, InstanceState::Ready, 3)]);
    harness.publish_instances(false, vec![instance(&leaving, InstanceState::Draining, 4)]);
    assert_eq!(
        harness.get("/i/x").await.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "there is no other endpoint"
    );
    harness.publish_instances(false, vec![instance(&staying, InstanceState::Ready, 1)]);
    assert_eq!(harness.get("/i/x").await.status, StatusCode::OK);
    proceed.notify_waiters();
    let plain = read(with_timeout(plain).await.unwrap()).await;
    assert_eq!((plain.status, plain.body.as_deref()), (StatusCode::OK, Some(&b"done"[..])));
    assert!(next_chunk(&mut stream).await.is_none(), "the stream ends as the endpoint's does");
    assert_eq!(leaving.received().len(), 2);
}

// Relies on requests keeping the route of the configuration that was in force when they were read.
#[tokio::test]
async fn removing_a_route_does_not_abort_its_requests() {
    let (endpoint, proceed) = blocking_endpoint("i-1").await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let mut client = connect(harness.frontend).await;
    let plain = client.send_request(request("POST", "/n/x", "a1", ""));
    tokio::pin!(plain);
    tokio::select! {
        _ = &mut plain => panic!("the endpoint does not respond yet"),
        _ = endpoint.next_request() => {}
    }
    let mut stream = harness.send(request("POST", "/e/x", "a2", "")).await.into_body();
    next_chunk(&mut stream).await.unwrap().unwrap();
    harness.configure(2, NO_ROUTES);
    assert_eq!(harness.get("/i/x").await.status, StatusCode::NOT_FOUND);
    proceed.notify_waiters();
    assert_eq!(read(with_timeout(plain).await.unwrap()).await.body.as_deref(), Some(&b"done"[..]));
    assert!(next_chunk(&mut stream).await.is_none());
}

/// Returns the statuses of responses, each of which must be complete and close its connection. Meanwhile, notifies the
/// endpoint repeatedly so that it responds.
async fn statuses_of_closing_responses(
    sent: Vec<JoinHandle<ClientResponse>>, proceed: &Notify,
) -> Vec<StatusCode> {
    let statuses = async {
        let mut statuses = Vec::new();
        for response in sent {
            let response = response.await.unwrap();
            assert_eq!(response.header("connection"), "close");
            assert!(response.body.is_some(), "complete");
            statuses.push(response.status);
        }
        statuses
    };
    tokio::pin!(statuses);
    loop {
        proceed.notify_waiters();
        tokio::select! {
            biased;
            statuses = &mut statuses => return statuses,
            () = tokio::task::yield_now() => {}
        }
    }
}

// Covers `close_all_when_idle`, which closes connections only after their response, and the wait of `drain` for
// `Connections::all_closed`.
#[tokio::test]
async fn shutdown_waits_for_requests_pending_at_stores_queue_and_endpoints() {
    let (endpoint, proceed) = blocking_endpoint("i-1").await;
    let harness = Arc::new(RelayHarness::with_endpoints(&[&endpoint]).await);
    let begin_gate = Arc::new(Notify::new());
    *harness.stores.begin_gate.lock().unwrap() = Some(Arc::clone(&begin_gate));
    let send = |method: &'static str, path: &'static str, id: String| {
        let harness = Arc::clone(&harness);
        tokio::spawn(async move { read(harness.send(request(method, path, &id, "")).await).await })
    };
    let mut sent: Vec<_> =
        (0..MAX_CONCURRENT_REQUESTS).map(|number| send("GET", "/i/x", format!("held-{number}"))).collect();
    for _ in 0..MAX_CONCURRENT_REQUESTS {
        with_timeout(endpoint.next_request()).await;
    }
    sent.push(send("GET", "/i/x", "for-a-slot".into()));
    sent.push(send("POST", "/k/x", "for-the-stores".into()));
    wait_until(|| harness.state.metrics.requests.get() >= MAX_CONCURRENT_REQUESTS as u64 + 2).await;
    harness.stop();
    harness.wait_until_not_ready().await;
    // A free slot is granted to the queued request.
    wait_until(|| {
        proceed.notify_waiters();
        endpoint.received().len() > MAX_CONCURRENT_REQUESTS
    })
    .await;
    // The turn is still pending at the stores when new connections are no longer accepted.
    harness.wait_until_not_accepting().await;
    begin_gate.notify_waiters();
    let statuses = with_timeout(statuses_of_closing_responses(sent, &proceed)).await;
    assert_eq!(statuses, [StatusCode::OK; MAX_CONCURRENT_REQUESTS + 2]);
    harness.wait_until_shut_down().await;
}

// Covers `respond_before_termination`.
#[tokio::test]
async fn requests_open_at_the_end_of_the_grace_period_get_502() {
    let (endpoint, _proceed) = blocking_endpoint("i-1").await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    harness.configure(2, LONG_TIMEOUT_ROUTES);
    *harness.stores.begin_gate.lock().unwrap() = Some(Arc::default());
    let request_to =
        |path: &str| with_headers(request("POST", path, "9c41", ""), &[("x-deadline-ms", "60000")]);
    let at_endpoint = harness.try_send(request_to("/n/x"));
    let at_stores = harness.try_send(request_to("/k/x"));
    let stop = async {
        with_timeout(endpoint.next_request()).await;
        wait_until(|| !harness.stores.begun_turns.lock().unwrap().is_empty()).await;
        harness.stop();
    };
    let (at_endpoint, at_stores, ()) = tokio::join!(at_endpoint, at_stores, stop);
    for response in [at_endpoint, at_stores] {
        let response = read(response.expect("a response instead of a closed connection")).await;
        assert_eq!((response.status, response.header("connection")), (StatusCode::BAD_GATEWAY, "close"));
    }
    harness.wait_until_shut_down().await;
}

// Covers `MAX_ACCEPT_PERIOD`, before whose end no idle connections are closed.
#[tokio::test]
async fn a_stopping_relay_accepts_until_two_readiness_checks_have_failed() {
    let endpoint = FakeEndpoint::start("i-1", |request| ok(request, "")).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let mut idle = connect(harness.frontend).await;
    with_timeout(idle.ready()).await.unwrap();
    let started_at = Instant::now();
    harness.stop();
    harness.wait_until_not_ready().await;
    let on_idle = with_timeout(idle.send_request(request("GET", "/i/x", "a1", ""))).await.unwrap();
    let on_new = harness.send(request("GET", "/i/x", "a2", "")).await;
    for response in [on_idle, on_new] {
        let response = read(response).await;
        assert_eq!((response.status, response.header("connection")), (StatusCode::OK, "close"));
    }
    harness.wait_until_not_accepting().await;
    assert!(started_at.elapsed() >= TWO_READINESS_CHECKS, "{:?}", started_at.elapsed());
}
