//! Streams of events.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use http::StatusCode;
use tokio::sync::Notify;

use crate::endpoint::{Endpoint, Received, Step, chunk, declined, last_chunk, stream_head};
use crate::support::{Bench, next_piece, read, request, soon, with_headers};

const FIRST: &str = "id: 1\ndata: one\n\n";
const SECOND: &str = "id: 2\r\ndata: two\r\n\r\n";
const THIRD: &str = "id: 3\ndata: three\n\n";

/// Two endpoints that play one script, which is told how many requests came before.
async fn pair(script: impl Fn(usize, &Received) -> Vec<Step> + Send + Sync + 'static) -> [Arc<Endpoint>; 2] {
    let calls = AtomicUsize::new(0);
    let script = Arc::new(move |request: &Received| script(calls.fetch_add(1, Ordering::SeqCst), request));
    let (one, two) = (Arc::clone(&script), script);
    [Endpoint::start("i-1", move |r| one(r)).await, Endpoint::start("i-2", move |r| two(r)).await]
}

#[tokio::test]
async fn events_pass_one_by_one_and_a_part_of_one_is_held_back() {
    let go_on = Arc::new(Notify::new());
    let waits = Arc::clone(&go_on);
    let endpoint = Endpoint::start("i-1", move |request| {
        let wait = || Step::Wait(Arc::clone(&waits));
        vec![
            stream_head(request, "s1"),
            chunk("id: 1\nda"),
            wait(),
            chunk("ta: one\n\nid: 2\r\ndata: t"),
            wait(),
            chunk("wo\r\n\r\n"),
            wait(),
            chunk(THIRD),
            last_chunk(),
        ]
    })
    .await;
    let bench = Bench::with(&[&endpoint]).await;
    let asked = bench.send(request("POST", "/e/x", "9c41", ""));
    tokio::pin!(asked);
    // Not even the head comes before the first whole event.
    tokio::select! {
        biased;
        _ = &mut asked => panic!("a part of an event was passed on"),
        _ = endpoint.arrival() => {}
    }
    go_on.notify_one();
    let answer = asked.await;
    assert_eq!(
        (answer.status(), &answer.headers()["x-server-signature"]),
        (StatusCode::OK, &"s1".parse().unwrap())
    );
    let mut body = answer.into_body();
    assert_eq!(next_piece(&mut body).await.unwrap().unwrap(), FIRST);
    go_on.notify_one();
    assert_eq!(next_piece(&mut body).await.unwrap().unwrap(), SECOND);
    go_on.notify_one();
    assert_eq!(next_piece(&mut body).await.unwrap().unwrap(), THIRD);
    assert!(next_piece(&mut body).await.is_none());
}

#[tokio::test]
async fn a_stream_that_breaks_off_does_not_look_complete() {
    let endpoints = pair(|_, request| {
        vec![stream_head(request, "s1"), chunk(FIRST), chunk("id: 2\ndata: tw"), Step::Close]
    })
    .await;
    let bench = Bench::with(&[&endpoints[0], &endpoints[1]]).await;
    let mut body = bench.send(request("POST", "/e/x", "9c41", "")).await.into_body();
    assert_eq!(next_piece(&mut body).await.unwrap().unwrap(), FIRST);
    assert!(next_piece(&mut body).await.unwrap().is_err());
    let sent: usize = endpoints.iter().map(|endpoint| endpoint.received().len()).sum();
    assert_eq!(sent, 1, "it may not repeat");
}

#[tokio::test]
async fn a_resumable_stream_goes_on_elsewhere_within_the_same_answer() {
    let endpoints = pair(|calls, request| match calls {
        0 => vec![stream_head(request, "s1"), chunk(FIRST), chunk("id: 2\ndata: tw"), Step::Reset],
        _ => vec![stream_head(request, "s2"), chunk(SECOND), chunk(THIRD), last_chunk()],
    })
    .await;
    let bench = Bench::with(&[&endpoints[0], &endpoints[1]]).await;
    let answer = read(bench.send(request("POST", "/r/x", "9c41", "in")).await).await;
    assert_eq!(answer.header("x-server-signature"), "s1");
    let whole = format!("{FIRST}{SECOND}{THIRD}");
    assert_eq!(answer.body.as_deref(), Some(whole.as_bytes()));
    let received: Vec<Received> = endpoints.iter().flat_map(|endpoint| endpoint.received()).collect();
    assert_eq!(received.len(), 2);
    let resumed = received.iter().find(|request| request.header("last-event-id").is_some()).unwrap();
    assert_eq!((resumed.header("last-event-id"), resumed.id()), (Some("1"), "9c41"));
    assert_eq!(resumed.body, b"in");
}

#[tokio::test]
async fn a_resumed_stream_that_repeats_events_shows_them_once() {
    let endpoints = pair(|calls, request| match calls {
        0 => vec![stream_head(request, "s1"), chunk(FIRST), chunk(SECOND), Step::Reset],
        _ => vec![stream_head(request, "s2"), chunk(SECOND), chunk(THIRD), last_chunk()],
    })
    .await;
    let bench = Bench::with(&[&endpoints[0], &endpoints[1]]).await;
    let answer = read(bench.send(request("POST", "/r/x", "9c41", "")).await).await;
    let whole = format!("{FIRST}{SECOND}{THIRD}");
    assert_eq!(answer.body.as_deref(), Some(whole.as_bytes()));
}

#[tokio::test]
async fn a_stream_that_nobody_resumes_breaks_off() {
    let endpoints = pair(|calls, request| match calls {
        0 => vec![stream_head(request, "s1"), chunk(FIRST), Step::Reset],
        _ => declined(request),
    })
    .await;
    let bench = Bench::with(&[&endpoints[0], &endpoints[1]]).await;
    let answer = read(bench.send(request("POST", "/r/x", "9c41", "")).await).await;
    assert_eq!((answer.status, answer.body), (StatusCode::OK, None));
}

#[tokio::test]
async fn a_stream_that_is_declined_before_its_first_event_goes_elsewhere() {
    let endpoints = pair(|calls, request| match calls {
        0 => declined(request),
        _ => vec![stream_head(request, "s2"), chunk(FIRST), last_chunk()],
    })
    .await;
    let bench = Bench::with(&[&endpoints[0], &endpoints[1]]).await;
    let answer = read(bench.send(request("POST", "/e/x", "9c41", "")).await).await;
    assert_eq!(answer.body.as_deref(), Some(FIRST.as_bytes()));
}

#[tokio::test]
async fn a_client_that_goes_away_ends_the_request_at_the_endpoint() {
    let endpoint =
        Endpoint::start("i-1", |request| vec![stream_head(request, "s1"), chunk(FIRST), Step::Hang]).await;
    let bench = Bench::with(&[&endpoint]).await;
    let answer = bench.send(request("POST", "/e/x", "9c41", "")).await;
    let mut body = answer.into_body();
    assert_eq!(next_piece(&mut body).await.unwrap().unwrap(), FIRST);
    drop(body);
    soon(endpoint.left.notified()).await;
}

// Guard: `Exchange::held`. A stream holds its body for a resumption, and a kept turn its output, to the end.
#[tokio::test]
async fn a_stream_holds_the_room_of_its_bodies_until_its_end() {
    let go_on = Arc::new(Notify::new());
    let waits = Arc::clone(&go_on);
    let endpoint = Endpoint::start("i-1", move |request| {
        vec![
            stream_head(request, "s"),
            chunk("id: 1\ndata: first\n\n"),
            Step::Wait(Arc::clone(&waits)),
            last_chunk(),
        ]
    })
    .await;
    let bench = Bench::with(&[&endpoint]).await;
    let body = "x".repeat(10_000);
    let sent = with_headers(request("POST", "/k/x", "t1", &body), &[("program", "p1")]);
    let mut stream = bench.send(sent).await.into_body();
    next_piece(&mut stream).await.unwrap().unwrap();
    let held = bench.state.memory.reserved_bytes();
    assert!(held >= body.len() + "first\n".len(), "{held} bytes are held");
    go_on.notify_one();
    assert!(next_piece(&mut stream).await.is_none());
    drop(stream);
    soon(async {
        while bench.state.memory.reserved_bytes() > 0 {
            tokio::task::yield_now().await;
        }
    })
    .await;
}
