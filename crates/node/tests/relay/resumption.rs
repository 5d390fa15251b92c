//! Streams taken up behind an event: by the client, by the relay, and by one after the other.

use std::sync::Arc;

use http::StatusCode;
use juniperwing_protocol::registry::InstanceState;
use tokio::sync::Notify;

use crate::endpoint::{Endpoint, Received, Step, chunk, last_chunk, ok, stream_head};
use crate::support::{Bench, instance, next_piece, read, request, soon, with_headers};

const THIRD: &str = "id: 3\ndata: three\n\n";
/// An event at which the version of the weights changes.
const FOURTH: &str = "versions: 7\nid: 4\ndata: four\n\n";
const FIFTH: &str = "id: 5\ndata: five\n\n";

type Script = fn(&Received) -> Vec<Step>;

/// Two endpoints, of which the first is asked first.
async fn in_turn(first: Script, second: Script) -> (Bench, [Arc<Endpoint>; 2]) {
    let endpoints = [Endpoint::start("i-1", first).await, Endpoint::start("i-2", second).await];
    let bench = Bench::with(&[&endpoints[0]]).await;
    // Of two that are equally free, the one in the relay's own zone is chosen.
    let mut elsewhere = instance(&endpoints[1], InstanceState::Ready, 1);
    elsewhere.zone = "b".into();
    bench.tell(false, vec![elsewhere]);
    (bench, endpoints)
}

fn behind_second(path: &str) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    with_headers(request("POST", path, "9c41", "in"), &[("last-event-id", "2")])
}

// Guards: the client's headers are passed on; `ForwardedStream::last_id` rises from the client's.
#[tokio::test]
async fn a_client_goes_on_behind_its_last_event_and_the_relay_behind_its_own() {
    let first: Script = |request| {
        vec![stream_head(request, "s1"), chunk(THIRD), chunk("versions: 7\nid: 4\nda"), Step::Reset]
    };
    let second: Script =
        |request| vec![stream_head(request, "s2"), chunk(FOURTH), chunk(FIFTH), last_chunk()];
    let (bench, endpoints) = in_turn(first, second).await;
    let answer = read(bench.send(behind_second("/r/x")).await).await;
    assert_eq!((answer.status, answer.header("x-server-signature")), (StatusCode::OK, "s1"));
    let whole = format!("{THIRD}{FOURTH}{FIFTH}");
    assert_eq!(answer.body.as_deref(), Some(whole.as_bytes()), "the cut event comes once, and whole");
    let named = endpoints.map(|endpoint| endpoint.received()[0].header("last-event-id").unwrap().to_owned());
    assert_eq!(named, ["2", "3"]);
}

// Guard: `last_event_id` is where `ForwardedStream::last_id` begins.
#[tokio::test]
async fn events_that_the_client_has_are_not_repeated() {
    let first: Script =
        |request| vec![stream_head(request, "s1"), chunk("id: 2\ndata: two\n\n"), chunk(THIRD), last_chunk()];
    let (bench, _endpoints) = in_turn(first, first).await;
    let answer = read(bench.send(behind_second("/r/x")).await).await;
    assert_eq!(answer.body.as_deref(), Some(THIRD.as_bytes()));
    // What may not be taken up is passed on as the endpoint gives it.
    let answer = read(bench.send(behind_second("/e/x")).await).await;
    assert_eq!(answer.body.as_deref(), Some(format!("id: 2\ndata: two\n\n{THIRD}").as_bytes()));
}

// Guard: the client's Last-Event-Id goes with a resend before the first event.
#[tokio::test]
async fn a_resend_before_the_first_event_goes_on_behind_the_clients_event() {
    let first: Script = |request| vec![stream_head(request, "s1"), chunk("id: 3\nda"), Step::Reset];
    let second: Script = |request| vec![stream_head(request, "s2"), chunk(THIRD), last_chunk()];
    let (bench, endpoints) = in_turn(first, second).await;
    let answer = read(bench.send(behind_second("/r/x")).await).await;
    assert_eq!(answer.body.as_deref(), Some(THIRD.as_bytes()));
    assert_eq!(answer.header("x-server-signature"), "s2", "the first that gave an event");
    assert_eq!(endpoints[1].received()[0].header("last-event-id"), Some("2"));
}

// Guard: `EventSplitter` cuts at empty lines only and passes every line on.
#[tokio::test]
async fn an_event_with_another_version_passes_unchanged_however_it_comes() {
    let script: Script = |request| {
        let pieces = ["ver", "sions:", " 7\n", "id: 4\ndata: four\n", "\nid: 5\ndata: five\n\n"];
        let pieces = pieces.iter().map(|piece| chunk(piece));
        [stream_head(request, "s1")].into_iter().chain(pieces).chain([last_chunk()]).collect()
    };
    let (bench, _endpoints) = in_turn(script, script).await;
    for path in ["/e/x", "/r/x", "/k/x"] {
        let answer = read(bench.send(request("POST", path, "9c41", "")).await).await;
        assert_eq!(answer.body.as_deref(), Some(format!("{FOURTH}{FIFTH}").as_bytes()), "{path}");
    }
    let kept = bench.stores.finished.lock().unwrap()[0].stored_turn.clone().unwrap();
    assert_eq!(&*kept.output, b"four\nfive\n", "only data is kept");
}

// Guard: `ForwardedStream` ends with its source's end.
#[tokio::test]
async fn a_stream_ends_no_sooner_than_at_the_endpoint() {
    let go_on = Arc::new(Notify::new());
    let waits = Arc::clone(&go_on);
    let endpoint = Endpoint::start("i-1", move |request| match request.line.contains("/i/") {
        true => ok(request, ""),
        false => {
            vec![stream_head(request, "s1"), chunk(THIRD), Step::Wait(Arc::clone(&waits)), last_chunk()]
        }
    })
    .await;
    let bench = Bench::with(&[&endpoint]).await;
    for path in ["/e/x", "/r/x", "/k/x"] {
        let mut body = bench.send(request("POST", path, "9c41", "")).await.into_body();
        assert_eq!(next_piece(&mut body).await.unwrap().unwrap(), THIRD);
        // Time for an end that comes too soon: others are served meanwhile.
        for _ in 0..4 {
            assert_eq!(bench.get("/i/x").await.status, StatusCode::OK);
        }
        tokio::select! {
            biased;
            _ = next_piece(&mut body) => panic!("{path}: the end came before the endpoint's"),
            () = std::future::ready(()) => {}
        }
        go_on.notify_one();
        assert!(soon(next_piece(&mut body)).await.is_none(), "{path}");
    }
}
