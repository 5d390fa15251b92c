//! Readiness and shutdown of a relay.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::sync::Notify;

use crate::endpoint::{FakeEndpoint, Step, chunk, last_chunk, ok, stream_head};
use crate::support::{RelayHarness, connect, instance, next_chunk, read, request, with_timeout};
use juniperwing_node::subscriber::UpdateSink;
use juniperwing_protocol::registry::InstanceState;

async fn readiness(harness: &RelayHarness) -> StatusCode {
    let mut client = connect(harness.readiness).await;
    let response = with_timeout(client.send_request(request("GET", "/readyz", "r", ""))).await.unwrap();
    response.status()
}

#[tokio::test]
async fn a_relay_is_ready_once_configuration_endpoints_and_stores_are_known() {
    let endpoint = FakeEndpoint::start("i-1", |request| ok(request, "")).await;
    let harness = RelayHarness::start().await;
    assert_eq!(readiness(&harness).await, StatusCode::SERVICE_UNAVAILABLE);
    harness.configure_all_routes(1);
    assert_eq!(readiness(&harness).await, StatusCode::SERVICE_UNAVAILABLE);
    harness.publish_instances(true, vec![instance(&endpoint, InstanceState::Ready, 1)]);
    assert_eq!(readiness(&harness).await, StatusCode::SERVICE_UNAVAILABLE, "a route stores turns");
    harness.publish_store_map();
    assert_eq!(readiness(&harness).await, StatusCode::OK);
}

#[tokio::test]
async fn a_configuration_is_never_followed_by_an_older_one() {
    let endpoint = FakeEndpoint::start("i-1", |request| ok(request, "")).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    harness.configure_all_routes(5);
    harness.configure(3, r#"{"generation":2,"routes":[],"backends":[]}"#);
    assert_eq!(harness.get("/i/x").await.status, StatusCode::OK);
    harness.configure(6, r#"{"generation":9,"routes":[],"backends":[]}"#);
    assert_eq!(harness.get("/i/x").await.status, StatusCode::NOT_FOUND);
}

// Covers `ClusterView::is_disconnected`: known routes stay valid, but an unknown route may exist in a newer
// configuration.
#[tokio::test]
async fn without_keepers_known_routes_are_served_and_unknown_ones_get_503() {
    let endpoint = FakeEndpoint::start("i-1", |request| ok(request, "")).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    assert_eq!(harness.get("/nowhere").await.status, StatusCode::NOT_FOUND);
    harness.cluster.handle_connection_change(false);
    assert_eq!(harness.get("/nowhere").await.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(harness.get("/i/x").await.status, StatusCode::OK);
    harness.cluster.handle_connection_change(true);
    assert_eq!(harness.get("/nowhere").await.status, StatusCode::NOT_FOUND);
}

// Without a configuration, requests are rejected temporarily before the route lookup, which would respond with 404.
#[tokio::test]
async fn without_a_configuration_no_route_is_denied() {
    let harness = RelayHarness::start().await;
    for path in ["/i/x", "/nowhere"] {
        assert_eq!(harness.get(path).await.status, StatusCode::SERVICE_UNAVAILABLE);
    }
}

#[tokio::test]
async fn requests_read_before_shutdown_complete() {
    let proceed = Arc::new(Notify::new());
    let gate = Arc::clone(&proceed);
    let endpoint = FakeEndpoint::start("i-1", move |request| {
        vec![
            stream_head(request, "s"),
            chunk("id: 1\ndata: a\n\n"),
            Step::Wait(Arc::clone(&gate)),
            chunk("id: 2\ndata: b\n\n"),
            last_chunk(),
        ]
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let mut body = harness.send(request("POST", "/e/x", "9c41", "")).await.into_body();
    next_chunk(&mut body).await.unwrap().unwrap();
    let mut idle = connect(harness.frontend).await;
    with_timeout(idle.ready()).await.unwrap();
    harness.stop();
    while readiness(&harness).await == StatusCode::OK {
        tokio::task::yield_now().await;
    }
    // The platform still directs new connections to this relay for a while. They are served, then closed.
    let late = read(harness.send(request("GET", "/nowhere", "9c42", "")).await).await;
    assert_eq!((late.status, late.header("connection")), (StatusCode::NOT_FOUND, "close"));
    proceed.notify_one();
    assert_eq!(next_chunk(&mut body).await.unwrap().unwrap(), "id: 2\ndata: b\n\n");
    assert!(next_chunk(&mut body).await.is_none());
    harness.wait_until_shut_down().await;
}

// Covers `Relay::serve`, which waits for `SessionStore::background_commits_done`: the reservation of a turn that is not
// committed counts in full.
#[tokio::test]
async fn shutdown_waits_for_background_commits() {
    let harness = RelayHarness::start().await;
    let commits_done = Arc::new(Notify::new());
    *harness.stores.background_commits_gate.lock().unwrap() = Some(Arc::clone(&commits_done));
    harness.stop();
    let served = harness.served.lock().unwrap().take().unwrap();
    tokio::pin!(served);
    // Much longer than the shutdown of a relay without connections.
    let is_waiting = tokio::time::timeout(Duration::from_secs(4), served.as_mut()).await.is_err();
    assert!(is_waiting, "the shutdown ended while a turn was being committed");
    commits_done.notify_one();
    with_timeout(served).await.unwrap().unwrap();
}
