//! When a relay is ready, and how it ends.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::sync::Notify;

use crate::endpoint::{Endpoint, Step, chunk, last_chunk, ok, stream_head};
use crate::support::{Bench, connect, instance, next_piece, read, request, soon};
use juniperwing_node::subscriber::UpdateSink;
use juniperwing_protocol::registry::InstanceState;

async fn readiness(bench: &Bench) -> StatusCode {
    let mut client = connect(bench.readiness).await;
    let answer = soon(client.send_request(request("GET", "/readyz", "r", ""))).await.unwrap();
    answer.status()
}

#[tokio::test]
async fn a_relay_is_ready_once_configuration_endpoints_and_stores_are_known() {
    let endpoint = Endpoint::start("i-1", |request| ok(request, "")).await;
    let bench = Bench::empty().await;
    assert_eq!(readiness(&bench).await, StatusCode::SERVICE_UNAVAILABLE);
    bench.configure_all(1);
    assert_eq!(readiness(&bench).await, StatusCode::SERVICE_UNAVAILABLE);
    bench.tell(true, vec![instance(&endpoint, InstanceState::Ready, 1)]);
    assert_eq!(readiness(&bench).await, StatusCode::SERVICE_UNAVAILABLE, "a route keeps turns");
    bench.stores_known();
    assert_eq!(readiness(&bench).await, StatusCode::OK);
}

#[tokio::test]
async fn a_configuration_is_never_followed_by_an_older_one() {
    let endpoint = Endpoint::start("i-1", |request| ok(request, "")).await;
    let bench = Bench::with(&[&endpoint]).await;
    bench.configure_all(5);
    bench.configure(3, r#"{"generation":2,"routes":[],"backends":[]}"#);
    assert_eq!(bench.get("/i/x").await.status, StatusCode::OK);
    bench.configure(6, r#"{"generation":9,"routes":[],"backends":[]}"#);
    assert_eq!(bench.get("/i/x").await.status, StatusCode::NOT_FOUND);
}

/// Guard: `ClusterView::is_out_of_touch`. What a relay holds serves on; that it lacks a route proves nothing then.
#[tokio::test]
async fn a_relay_that_has_lost_all_keepers_serves_on_and_denies_no_route() {
    let endpoint = Endpoint::start("i-1", |request| ok(request, "")).await;
    let bench = Bench::with(&[&endpoint]).await;
    assert_eq!(bench.get("/nowhere").await.status, StatusCode::NOT_FOUND);
    bench.cluster.handle_connection_change(false);
    assert_eq!(bench.get("/nowhere").await.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(bench.get("/i/x").await.status, StatusCode::OK);
    bench.cluster.handle_connection_change(true);
    assert_eq!(bench.get("/nowhere").await.status, StatusCode::NOT_FOUND);
}

/// Guard: a relay without a configuration gives requests up before it looks for a route.
#[tokio::test]
async fn a_relay_that_knows_no_configuration_denies_nothing() {
    let bench = Bench::empty().await;
    for path in ["/i/x", "/nowhere"] {
        assert_eq!(bench.get(path).await.status, StatusCode::SERVICE_UNAVAILABLE);
    }
}

#[tokio::test]
async fn what_was_read_before_a_stop_is_finished() {
    let go_on = Arc::new(Notify::new());
    let waits = Arc::clone(&go_on);
    let endpoint = Endpoint::start("i-1", move |request| {
        vec![
            stream_head(request, "s"),
            chunk("id: 1\ndata: a\n\n"),
            Step::Wait(Arc::clone(&waits)),
            chunk("id: 2\ndata: b\n\n"),
            last_chunk(),
        ]
    })
    .await;
    let bench = Bench::with(&[&endpoint]).await;
    let mut body = bench.send(request("POST", "/e/x", "9c41", "")).await.into_body();
    next_piece(&mut body).await.unwrap().unwrap();
    let mut idle = connect(bench.frontend).await;
    soon(idle.ready()).await.unwrap();
    bench.stop();
    while readiness(&bench).await == StatusCode::OK {
        tokio::task::yield_now().await;
    }
    // The platform still sends new connections for a moment: they are served, and closed.
    let late = read(bench.send(request("GET", "/nowhere", "9c42", "")).await).await;
    assert_eq!((late.status, late.header("connection")), (StatusCode::NOT_FOUND, "close"));
    go_on.notify_one();
    assert_eq!(next_piece(&mut body).await.unwrap().unwrap(), "id: 2\ndata: b\n\n");
    assert!(next_piece(&mut body).await.is_none());
    let served = bench.served.lock().unwrap().take().unwrap();
    soon(served).await.unwrap().unwrap();
}

// Guard: `Relay::serve` waits for `Sessions::settled`. A turn that nobody settles counts at its most.
#[tokio::test]
async fn a_relay_that_ends_waits_for_turns_that_are_being_settled() {
    let bench = Bench::empty().await;
    let settled = Arc::new(Notify::new());
    *bench.stores.hold_settled.lock().unwrap() = Some(Arc::clone(&settled));
    bench.stop();
    let served = bench.served.lock().unwrap().take().unwrap();
    tokio::pin!(served);
    // Far longer than the end of a relay without connections takes.
    let waits = tokio::time::timeout(Duration::from_secs(4), served.as_mut()).await.is_err();
    assert!(waits, "it has ended while a turn was being settled");
    settled.notify_one();
    soon(served).await.unwrap().unwrap();
}
