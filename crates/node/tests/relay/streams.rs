//! Forwarding of event streams.

use std::sync::Arc;

use http::StatusCode;
use tokio::sync::Notify;

use crate::endpoint::{
    FakeEndpoint, ReceivedRequest, Step, chunk, declined, last_chunk, start_pair, stream_head,
};
use crate::support::{RelayHarness, next_chunk, read, request, wait_until, with_headers, with_timeout};

const FIRST: &str = "id: 1\ndata: one\n\n";
const SECOND: &str = "id: 2\r\ndata: two\r\n\r\n";
const THIRD: &str = "id: 3\ndata: three\n\n";

/// Starts an endpoint that sends three events in chunks whose boundaries are within events, and waits between chunks.
async fn endpoint_with_split_events(gate: Arc<Notify>) -> Arc<FakeEndpoint> {
    FakeEndpoint::start("i-1", move |request| {
        let wait = || Step::Wait(Arc::clone(&gate));
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
    .await
}

#[tokio::test]
async fn events_are_forwarded_one_by_one_and_only_when_complete() {
    let proceed = Arc::new(Notify::new());
    let endpoint = endpoint_with_split_events(Arc::clone(&proceed)).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let sent = harness.send(request("POST", "/e/x", "9c41", ""));
    tokio::pin!(sent);
    // Not even the head is forwarded before the first complete event.
    tokio::select! {
        biased;
        _ = &mut sent => panic!("a part of an event was forwarded"),
        _ = endpoint.next_request() => {}
    }
    proceed.notify_one();
    let response = sent.await;
    assert_eq!(
        (response.status(), &response.headers()["x-server-signature"]),
        (StatusCode::OK, &"s1".parse().unwrap())
    );
    let mut body = response.into_body();
    assert_eq!(next_chunk(&mut body).await.unwrap().unwrap(), FIRST);
    proceed.notify_one();
    assert_eq!(next_chunk(&mut body).await.unwrap().unwrap(), SECOND);
    proceed.notify_one();
    assert_eq!(next_chunk(&mut body).await.unwrap().unwrap(), THIRD);
    assert!(next_chunk(&mut body).await.is_none());
}

#[tokio::test]
async fn a_broken_stream_does_not_look_complete() {
    let endpoints = start_pair(|_, request| {
        vec![stream_head(request, "s1"), chunk(FIRST), chunk("id: 2\ndata: tw"), Step::Close]
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoints[0], &endpoints[1]]).await;
    let mut body = harness.send(request("POST", "/e/x", "9c41", "")).await.into_body();
    assert_eq!(next_chunk(&mut body).await.unwrap().unwrap(), FIRST);
    assert!(next_chunk(&mut body).await.unwrap().is_err());
    let sent: usize = endpoints.iter().map(|endpoint| endpoint.received().len()).sum();
    assert_eq!(sent, 1, "it is not retryable");
}

#[tokio::test]
async fn a_resumable_stream_is_resumed_elsewhere_within_the_same_response() {
    let endpoints = start_pair(|calls, request| match calls {
        0 => vec![stream_head(request, "s1"), chunk(FIRST), chunk("id: 2\ndata: tw"), Step::Reset],
        _ => vec![stream_head(request, "s2"), chunk(SECOND), chunk(THIRD), last_chunk()],
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoints[0], &endpoints[1]]).await;
    let response = read(harness.send(request("POST", "/r/x", "9c41", "in")).await).await;
    assert_eq!(response.header("x-server-signature"), "s1");
    let expected = format!("{FIRST}{SECOND}{THIRD}");
    assert_eq!(response.body.as_deref(), Some(expected.as_bytes()));
    let received: Vec<ReceivedRequest> = endpoints.iter().flat_map(|endpoint| endpoint.received()).collect();
    assert_eq!(received.len(), 2);
    let resumed = received.iter().find(|request| request.header("last-event-id").is_some()).unwrap();
    assert_eq!((resumed.header("last-event-id"), resumed.id()), (Some("1"), "9c41"));
    assert_eq!(resumed.body, b"in");
}

#[tokio::test]
async fn events_repeated_by_a_resumed_stream_are_forwarded_once() {
    let endpoints = start_pair(|calls, request| match calls {
        0 => vec![stream_head(request, "s1"), chunk(FIRST), chunk(SECOND), Step::Reset],
        _ => vec![stream_head(request, "s2"), chunk(SECOND), chunk(THIRD), last_chunk()],
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoints[0], &endpoints[1]]).await;
    let response = read(harness.send(request("POST", "/r/x", "9c41", "")).await).await;
    let expected = format!("{FIRST}{SECOND}{THIRD}");
    assert_eq!(response.body.as_deref(), Some(expected.as_bytes()));
}

#[tokio::test]
async fn a_stream_that_no_endpoint_resumes_is_aborted() {
    let endpoints = start_pair(|calls, request| match calls {
        0 => vec![stream_head(request, "s1"), chunk(FIRST), Step::Reset],
        _ => declined(request),
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoints[0], &endpoints[1]]).await;
    let response = read(harness.send(request("POST", "/r/x", "9c41", "")).await).await;
    assert_eq!((response.status, response.body), (StatusCode::OK, None));
}

#[tokio::test]
async fn a_stream_declined_before_its_first_event_is_retried_elsewhere() {
    let endpoints = start_pair(|calls, request| match calls {
        0 => declined(request),
        _ => vec![stream_head(request, "s2"), chunk(FIRST), last_chunk()],
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoints[0], &endpoints[1]]).await;
    let response = read(harness.send(request("POST", "/e/x", "9c41", "")).await).await;
    assert_eq!(response.body.as_deref(), Some(FIRST.as_bytes()));
}

#[tokio::test]
async fn a_client_disconnect_ends_the_stream_at_the_endpoint() {
    let endpoint =
        FakeEndpoint::start("i-1", |request| vec![stream_head(request, "s1"), chunk(FIRST), Step::Hang])
            .await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let response = harness.send(request("POST", "/e/x", "9c41", "")).await;
    let mut body = response.into_body();
    assert_eq!(next_chunk(&mut body).await.unwrap().unwrap(), FIRST);
    drop(body);
    with_timeout(endpoint.client_disconnected()).await;
}

// Covers `Exchange::memory`: until its end a stream retains its request body for a resumption, and a stored turn its
// output.
#[tokio::test]
async fn a_stream_reserves_memory_for_its_bodies_until_its_end() {
    let proceed = Arc::new(Notify::new());
    let gate = Arc::clone(&proceed);
    let endpoint = FakeEndpoint::start("i-1", move |request| {
        vec![
            stream_head(request, "s"),
            chunk("id: 1\ndata: first\n\n"),
            Step::Wait(Arc::clone(&gate)),
            last_chunk(),
        ]
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let body = "x".repeat(10_000);
    let sent = with_headers(request("POST", "/k/x", "t1", &body), &[("program", "p1")]);
    let mut stream = harness.send(sent).await.into_body();
    next_chunk(&mut stream).await.unwrap().unwrap();
    let reserved = harness.state.memory.reserved_bytes();
    assert!(reserved >= body.len() + "first\n".len(), "{reserved} bytes are reserved");
    proceed.notify_one();
    assert!(next_chunk(&mut stream).await.is_none());
    drop(stream);
    wait_until(|| harness.state.memory.reserved_bytes() == 0).await;
}
