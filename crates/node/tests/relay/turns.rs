//! Turns of agent programs.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use juniperwing_node::relay::TurnError;
use juniperwing_node::sessions_client::StoreFailureReason;
use juniperwing_protocol::identity::RequestId;
use tokio::sync::Notify;

use crate::endpoint::{Endpoint, Received, Step, chunk, declined, last_chunk, stream_head};
use crate::support::{Bench, kept_turn, next_piece, read, request, soon, with_headers};

const FIRST: &str = "id: 1\ndata: one\n\n";
const SECOND: &str = "id: 2\ndata: two\ndata: more\n\n";

fn two_events(request: &Received) -> Vec<Step> {
    vec![stream_head(request, "s"), chunk(FIRST), chunk(SECOND), last_chunk()]
}

fn turn(path: &str, id: &str, body: &str) -> Request<Full<Bytes>> {
    let headers = [("program", "p1"), ("session", "q1"), ("budget", "1080"), ("x-token-count", "1840,135")];
    with_headers(request("POST", path, id, body), &headers)
}

#[tokio::test]
async fn a_kept_turn_brings_the_turns_before_it_and_is_kept_before_its_end() {
    let endpoint = Endpoint::start("i-1", two_events).await;
    let bench = Bench::with(&[&endpoint]).await;
    let chain = vec![kept_turn("t1", None, "in1", "out1\n"), kept_turn("t2", Some("t1"), "in2", "out2\n")];
    *bench.stores.chain.lock().unwrap() = Some(Ok(chain));
    let hold = Arc::new(Notify::new());
    *bench.stores.hold.lock().unwrap() = Some(Arc::clone(&hold));
    let sent = with_headers(turn("/k/x", "t3", "in3"), &[("previous", "t2")]);
    let mut body = bench.send(sent).await.into_body();
    let mut events = Vec::new();
    while events.len() < FIRST.len() + SECOND.len() {
        events.extend_from_slice(&next_piece(&mut body).await.unwrap().unwrap());
    }
    soon(bench.stores.told.notified()).await;
    let end = next_piece(&mut body);
    tokio::pin!(end);
    tokio::select! {
        biased;
        _ = &mut end => panic!("the end came before the turn was kept"),
        () = std::future::ready(()) => {}
    }
    hold.notify_one();
    assert!(end.await.is_none());
    assert_eq!(endpoint.received()[0].body, b"in1out1\nin2out2\nin3");
    let begun = bench.stores.begun.lock().unwrap()[0].clone();
    assert_eq!((&*begun.program.0, &*begun.request.0), ("p1", "t3"));
    assert_eq!(
        (begun.previous, begun.budget, begun.max_tokens),
        (Some(RequestId::from("t2")), Some(1080), 135)
    );
    let finished = bench.stores.finished.lock().unwrap()[0].clone();
    assert_eq!(finished.tokens, 6, "a stride of three for each event");
    let kept = finished.stored_turn.unwrap();
    assert_eq!((&*kept.input, &*kept.output), (&b"in3"[..], &b"one\ntwo\nmore\n"[..]));
    assert_eq!((kept.previous, kept.endpoint.as_deref()), (Some(RequestId::from("t2")), Some("i-1")));
    assert_eq!(kept.retention_ms, 60_000);
    assert!(bench.stores.later.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_turn_that_could_not_be_kept_does_not_look_complete() {
    let endpoint = Endpoint::start("i-1", two_events).await;
    let bench = Bench::with(&[&endpoint]).await;
    *bench.stores.fail_finish.lock().unwrap() = true;
    let answer = read(bench.send(turn("/k/x", "t1", "in")).await).await;
    assert_eq!((answer.status, answer.body), (StatusCode::OK, None));
    assert_eq!(bench.stores.later.lock().unwrap()[0].tokens, 6);
}

#[tokio::test]
async fn a_turn_that_is_not_kept_is_settled_at_what_it_generated() {
    let endpoint = Endpoint::start("i-1", two_events).await;
    let bench = Bench::with(&[&endpoint]).await;
    let answer = read(bench.send(turn("/e/x", "t1", "in")).await).await;
    assert_eq!(answer.status, StatusCode::OK);
    soon(bench.stores.told.notified()).await;
    let later = bench.stores.later.lock().unwrap()[0].clone();
    assert_eq!((&*later.request.0, later.tokens, later.stored_turn), ("t1", 6, None));
}

#[tokio::test]
async fn a_turn_that_breaks_off_is_settled_at_what_was_handed_out() {
    let endpoint =
        Endpoint::start("i-1", |request| vec![stream_head(request, "s"), chunk(FIRST), Step::Reset]).await;
    let bench = Bench::with(&[&endpoint]).await;
    let answer = read(bench.send(turn("/k/x", "t1", "in")).await).await;
    assert_eq!(answer.body, None);
    soon(bench.stores.told.notified()).await;
    assert_eq!(bench.stores.later.lock().unwrap()[0].tokens, 3);
    assert!(bench.stores.finished.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_turn_that_did_not_run_gives_its_reservation_back() {
    let endpoint = Endpoint::start("i-1", declined).await;
    let bench = Bench::with(&[&endpoint]).await;
    let answer = read(bench.send(turn("/e/x", "t1", "in")).await).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    soon(bench.stores.told.notified()).await;
    assert_eq!(bench.stores.later.lock().unwrap()[0].tokens, 0);
}

#[tokio::test]
async fn what_the_stores_deny_does_not_run() {
    let endpoint = Endpoint::start("i-1", two_events).await;
    let bench = Bench::with(&[&endpoint]).await;
    let denials = [
        (TurnError::BudgetExhausted, StatusCode::PAYMENT_REQUIRED),
        (TurnError::UnknownTurn, StatusCode::NOT_FOUND),
        (
            TurnError::Unavailable { cause: StoreFailureReason::TimedOut.into() },
            StatusCode::SERVICE_UNAVAILABLE,
        ),
    ];
    for (fault, status) in denials {
        *bench.stores.chain.lock().unwrap() = Some(Err(fault));
        let answer = read(bench.send(turn("/k/x", "t1", "in")).await).await;
        assert_eq!(answer.status, status);
    }
    assert!(endpoint.received().is_empty());
    // Only where the answer is not certain may there be a reservation to give back.
    assert_eq!(bench.stores.later.lock().unwrap().len(), 1);
}

#[tokio::test]
async fn a_turn_without_budget_on_a_route_that_keeps_nothing_does_not_ask_the_stores() {
    let endpoint = Endpoint::start("i-1", two_events).await;
    let bench = Bench::with(&[&endpoint]).await;
    let answer = read(bench.send(request("POST", "/e/x", "t1", "in")).await).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(bench.stores.begun.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_client_that_goes_away_leaves_its_turn_settled() {
    let endpoint =
        Endpoint::start("i-1", |request| vec![stream_head(request, "s"), chunk(FIRST), Step::Hang]).await;
    let bench = Bench::with(&[&endpoint]).await;
    let mut body = bench.send(turn("/k/x", "t1", "in")).await.into_body();
    next_piece(&mut body).await.unwrap().unwrap();
    drop(body);
    soon(bench.stores.told.notified()).await;
    assert_eq!(bench.stores.later.lock().unwrap()[0].tokens, 3);
}
