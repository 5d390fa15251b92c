//! Turns of agent programs.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use juniperwing_node::relay::TurnError;
use juniperwing_node::sessions_client::StoreFailureReason;
use juniperwing_protocol::identity::RequestId;
use tokio::sync::Notify;

use crate::endpoint::{FakeEndpoint, ReceivedRequest, Step, chunk, declined, last_chunk, stream_head};
use crate::support::{RelayHarness, next_chunk, read, request, stored_turn, with_headers, with_timeout};

const FIRST: &str = "id: 1\ndata: one\n\n";
const SECOND: &str = "id: 2\ndata: two\ndata: more\n\n";

fn two_events(request: &ReceivedRequest) -> Vec<Step> {
    vec![stream_head(request, "s"), chunk(FIRST), chunk(SECOND), last_chunk()]
}

fn turn(path: &str, id: &str, body: &str) -> Request<Full<Bytes>> {
    let headers = [("program", "p1"), ("session", "q1"), ("budget", "1080"), ("x-token-count", "1840,135")];
    with_headers(request("POST", path, id, body), &headers)
}

#[tokio::test]
async fn a_stored_turn_is_sent_with_its_history_and_stored_before_its_end() {
    let endpoint = FakeEndpoint::start("i-1", two_events).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let earlier_turns =
        vec![stored_turn("t1", None, "in1", "out1\n"), stored_turn("t2", Some("t1"), "in2", "out2\n")];
    *harness.stores.begin_result.lock().unwrap() = Some(Ok(earlier_turns));
    let gate = Arc::new(Notify::new());
    *harness.stores.finish_gate.lock().unwrap() = Some(Arc::clone(&gate));
    let sent = with_headers(turn("/k/x", "t3", "in3"), &[("previous", "t2")]);
    let mut body = harness.send(sent).await.into_body();
    let mut events = Vec::new();
    while events.len() < FIRST.len() + SECOND.len() {
        events.extend_from_slice(&next_chunk(&mut body).await.unwrap().unwrap());
    }
    with_timeout(harness.stores.finish_called.notified()).await;
    let end = next_chunk(&mut body);
    tokio::pin!(end);
    tokio::select! {
        biased;
        _ = &mut end => panic!("the end came before the turn was stored"),
        () = std::future::ready(()) => {}
    }
    gate.notify_one();
    assert!(end.await.is_none());
    assert_eq!(endpoint.received()[0].body, b"in1out1\nin2out2\nin3");
    let begun = harness.stores.begun_turns.lock().unwrap()[0].clone();
    assert_eq!((&*begun.program.0, &*begun.request.0), ("p1", "t3"));
    assert_eq!(
        (begun.previous, begun.budget, begun.max_tokens),
        (Some(RequestId::from("t2")), Some(1080), 135)
    );
    let finished = harness.stores.finished_turns.lock().unwrap()[0].clone();
    assert_eq!(finished.tokens, 6, "three tokens for each event");
    let stored = finished.stored_turn.unwrap();
    assert_eq!((&*stored.input, &*stored.output), (&b"in3"[..], &b"one\ntwo\nmore\n"[..]));
    assert_eq!((stored.previous, stored.endpoint.as_deref()), (Some(RequestId::from("t2")), Some("i-1")));
    assert_eq!(stored.retention_ms, 60_000);
    assert!(harness.stores.background_finishes.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_turn_that_could_not_be_stored_does_not_look_complete() {
    let endpoint = FakeEndpoint::start("i-1", two_events).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    *harness.stores.fail_finish.lock().unwrap() = true;
    let response = read(harness.send(turn("/k/x", "t1", "in")).await).await;
    assert_eq!((response.status, response.body), (StatusCode::OK, None));
    assert_eq!(harness.stores.background_finishes.lock().unwrap()[0].tokens, 6);
}

#[tokio::test]
async fn a_turn_without_storage_is_committed_with_the_tokens_generated() {
    let endpoint = FakeEndpoint::start("i-1", two_events).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let response = read(harness.send(turn("/e/x", "t1", "in")).await).await;
    assert_eq!(response.status, StatusCode::OK);
    with_timeout(harness.stores.finish_called.notified()).await;
    let finished = harness.stores.background_finishes.lock().unwrap()[0].clone();
    assert_eq!((&*finished.request.0, finished.tokens, finished.stored_turn), ("t1", 6, None));
}

#[tokio::test]
async fn an_aborted_turn_is_committed_with_the_tokens_sent() {
    let endpoint =
        FakeEndpoint::start("i-1", |request| vec![stream_head(request, "s"), chunk(FIRST), Step::Reset])
            .await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let response = read(harness.send(turn("/k/x", "t1", "in")).await).await;
    assert_eq!(response.body, None);
    with_timeout(harness.stores.finish_called.notified()).await;
    assert_eq!(harness.stores.background_finishes.lock().unwrap()[0].tokens, 3);
    assert!(harness.stores.finished_turns.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_turn_that_did_not_run_releases_its_reservation() {
    let endpoint = FakeEndpoint::start("i-1", declined).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let response = read(harness.send(turn("/e/x", "t1", "in")).await).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    with_timeout(harness.stores.finish_called.notified()).await;
    assert_eq!(harness.stores.background_finishes.lock().unwrap()[0].tokens, 0);
}

#[tokio::test]
async fn turns_denied_by_the_stores_do_not_run() {
    let endpoint = FakeEndpoint::start("i-1", two_events).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let denials = [
        (TurnError::BudgetExhausted, StatusCode::PAYMENT_REQUIRED),
        (TurnError::UnknownTurn, StatusCode::NOT_FOUND),
        (
            TurnError::Unavailable { cause: StoreFailureReason::TimedOut.into() },
            StatusCode::SERVICE_UNAVAILABLE,
        ),
    ];
    for (error, status) in denials {
        *harness.stores.begin_result.lock().unwrap() = Some(Err(error));
        let response = read(harness.send(turn("/k/x", "t1", "in")).await).await;
        assert_eq!(response.status, status);
    }
    assert!(endpoint.received().is_empty());
    // Only after the uncertain result may there be a reservation to release.
    assert_eq!(harness.stores.background_finishes.lock().unwrap().len(), 1);
}

#[tokio::test]
async fn a_turn_without_budget_or_storage_does_not_call_the_stores() {
    let endpoint = FakeEndpoint::start("i-1", two_events).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let response = read(harness.send(request("POST", "/e/x", "t1", "in")).await).await;
    assert_eq!(response.status, StatusCode::OK);
    assert!(harness.stores.begun_turns.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_client_disconnect_commits_its_turn() {
    let endpoint =
        FakeEndpoint::start("i-1", |request| vec![stream_head(request, "s"), chunk(FIRST), Step::Hang]).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let mut body = harness.send(turn("/k/x", "t1", "in")).await.into_body();
    next_chunk(&mut body).await.unwrap().unwrap();
    drop(body);
    with_timeout(harness.stores.finish_called.notified()).await;
    assert_eq!(harness.stores.background_finishes.lock().unwrap()[0].tokens, 3);
}
