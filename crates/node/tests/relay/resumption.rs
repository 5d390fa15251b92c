//! Streams resumed after an event: by the client, by the relay, and by both.

use std::sync::Arc;

use http::StatusCode;
use tokio::sync::Notify;

use crate::endpoint::{FakeEndpoint, ReceivedRequest, Step, chunk, last_chunk, ok, stream_head};
use crate::support::{RelayHarness, next_chunk, read, request, with_headers, with_timeout};

const THIRD: &str = "id: 3\ndata: three\n\n";
/// An event with which the version of the model's weights changes.
const FOURTH: &str = "versions: 7\nid: 4\ndata: four\n\n";
const FIFTH: &str = "id: 5\ndata: five\n\n";

type Script = fn(&ReceivedRequest) -> Vec<Step>;

/// Starts two endpoints, of which the first gets the first request.
async fn endpoints_in_order(first: Script, second: Script) -> (RelayHarness, [Arc<FakeEndpoint>; 2]) {
    let endpoints = [FakeEndpoint::start("i-1", first).await, FakeEndpoint::start("i-2", second).await];
    let harness = RelayHarness::with_endpoints(&[&endpoints[0]]).await;
    harness.publish_in_other_zone(&endpoints[1]);
    (harness, endpoints)
}

fn request_after_second_event(path: &str) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    with_headers(request("POST", path, "9c41", "in"), &[("last-event-id", "2")])
}

// Covers the forwarding of the client's `Last-Event-Id`, from which `StreamPosition` then advances.
#[tokio::test]
async fn client_and_relay_each_resume_after_their_last_event() {
    let first: Script = |request| {
        vec![stream_head(request, "s1"), chunk(THIRD), chunk("versions: 7\nid: 4\nda"), Step::Reset]
    };
    let second: Script =
        |request| vec![stream_head(request, "s2"), chunk(FOURTH), chunk(FIFTH), last_chunk()];
    let (harness, endpoints) = endpoints_in_order(first, second).await;
    let response = read(harness.send(request_after_second_event("/r/x")).await).await;
    assert_eq!((response.status, response.header("x-server-signature")), (StatusCode::OK, "s1"));
    let expected = format!("{THIRD}{FOURTH}{FIFTH}");
    assert_eq!(
        response.body.as_deref(),
        Some(expected.as_bytes()),
        "the truncated event arrives once and complete"
    );
    let last_event_ids =
        endpoints.map(|endpoint| endpoint.received()[0].header("last-event-id").unwrap().to_owned());
    assert_eq!(last_event_ids, ["2", "3"]);
}

// Covers `StreamPosition`, which starts as the client's `Last-Event-Id`.
#[tokio::test]
async fn events_that_the_client_has_are_not_repeated() {
    let first: Script =
        |request| vec![stream_head(request, "s1"), chunk("id: 2\ndata: two\n\n"), chunk(THIRD), last_chunk()];
    let (harness, _endpoints) = endpoints_in_order(first, first).await;
    let response = read(harness.send(request_after_second_event("/r/x")).await).await;
    assert_eq!(response.body.as_deref(), Some(THIRD.as_bytes()));
    // A stream that is not resumable is forwarded as the endpoint sends it.
    let response = read(harness.send(request_after_second_event("/e/x")).await).await;
    assert_eq!(response.body.as_deref(), Some(format!("id: 2\ndata: two\n\n{THIRD}").as_bytes()));
}

// A retry before the first event carries the client's `Last-Event-Id`.
#[tokio::test]
async fn a_retry_before_the_first_event_resumes_after_the_clients_last_event() {
    let first: Script = |request| vec![stream_head(request, "s1"), chunk("id: 3\nda"), Step::Reset];
    let second: Script = |request| vec![stream_head(request, "s2"), chunk(THIRD), last_chunk()];
    let (harness, endpoints) = endpoints_in_order(first, second).await;
    let response = read(harness.send(request_after_second_event("/r/x")).await).await;
    assert_eq!(response.body.as_deref(), Some(THIRD.as_bytes()));
    assert_eq!(response.header("x-server-signature"), "s2", "the first endpoint that sent an event");
    assert_eq!(endpoints[1].received()[0].header("last-event-id"), Some("2"));
}

// Covers `EventSplitter`, which splits only at empty lines and keeps every line.
#[tokio::test]
async fn events_with_another_version_are_forwarded_unchanged() {
    let script: Script = |request| {
        let parts = ["ver", "sions:", " 7\n", "id: 4\ndata: four\n", "\nid: 5\ndata: five\n\n"];
        let chunks = parts.iter().map(|part| chunk(part));
        [stream_head(request, "s1")].into_iter().chain(chunks).chain([last_chunk()]).collect()
    };
    let (harness, _endpoints) = endpoints_in_order(script, script).await;
    for path in ["/e/x", "/r/x", "/k/x"] {
        let response = read(harness.send(request("POST", path, "9c41", "")).await).await;
        assert_eq!(response.body.as_deref(), Some(format!("{FOURTH}{FIFTH}").as_bytes()), "{path}");
    }
    let stored = harness.stores.finished_turns.lock().unwrap()[0].stored_turn.clone().unwrap();
    assert_eq!(&*stored.output, b"four\nfive\n", "only data is stored");
}

// Covers `ForwardedStream`, which ends only when its source does.
#[tokio::test]
async fn a_stream_ends_no_sooner_than_at_the_endpoint() {
    let proceed = Arc::new(Notify::new());
    let gate = Arc::clone(&proceed);
    let endpoint = FakeEndpoint::start("i-1", move |request| match request.line.contains("/i/") {
        true => ok(request, ""),
        false => {
            vec![stream_head(request, "s1"), chunk(THIRD), Step::Wait(Arc::clone(&gate)), last_chunk()]
        }
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    for path in ["/e/x", "/r/x", "/k/x"] {
        let mut body = harness.send(request("POST", path, "9c41", "")).await.into_body();
        assert_eq!(next_chunk(&mut body).await.unwrap().unwrap(), THIRD);
        // Other requests are served meanwhile, which gives a premature end time to arrive.
        for _ in 0..4 {
            assert_eq!(harness.get("/i/x").await.status, StatusCode::OK);
        }
        tokio::select! {
            biased;
            _ = next_chunk(&mut body) => panic!("{path}: the end came before the endpoint's"),
            () = std::future::ready(()) => {}
        }
        proceed.notify_one();
        assert!(with_timeout(next_chunk(&mut body)).await.is_none(), "{path}");
    }
}
