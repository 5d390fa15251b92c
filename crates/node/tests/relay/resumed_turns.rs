//! Turns whose stream the client resumes with a request of its own: they are stored with all of their events.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use juniperwing_protocol::session::{OutputEvent, TurnKey};

use crate::endpoint::{FakeEndpoint, ReceivedRequest, Step, chunk, last_chunk, start_pair, stream_head};
use crate::support::{ClientResponse, RelayHarness, read, request, with_headers};

/// The number of events of the stream.
const EVENTS: usize = 5;
const TOKENS_PER_EVENT: u64 = 3;

fn events(range: std::ops::RangeInclusive<usize>) -> String {
    range.map(|number| format!("id: {number}\ndata: text {number}\n\n")).collect()
}

/// The output of the turn as the next turn has to contain it.
fn whole_output() -> String {
    (1..=EVENTS).map(|number| format!("text {number}\n")).collect()
}

/// A sound endpoint: it sends the events after `Last-Event-Id`, up to `last`, and breaks off if that is not the last one.
fn stream_up_to(last: usize, request: &ReceivedRequest) -> Vec<Step> {
    let after: usize = request.header("last-event-id").map_or(0, |id| id.parse().unwrap());
    let mut steps = vec![stream_head(request, "s")];
    steps.extend((after + 1..=last).map(|number| chunk(&events(number..=number))));
    steps.push(if last == EVENTS { last_chunk() } else { Step::Reset });
    steps
}

fn turn(path: &str, last_event_id: &str) -> Request<Full<Bytes>> {
    let headers = [
        ("program", "p1"),
        ("session", "q1"),
        ("budget", "1080"),
        ("x-token-count", "1840,135"),
        ("last-event-id", last_event_id),
    ];
    with_headers(request("POST", path, "t1", "in"), &headers)
}

/// Checks what the client gets that has the events up to `sent`, and what is stored and counted.
#[track_caller]
fn check(harness: &RelayHarness, response: &ClientResponse, sent: usize) {
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.body.as_deref(), Some(events(sent + 1..=EVENTS).as_bytes()), "each event once");
    let finished = harness.stores.finished_turns.lock().unwrap().pop().unwrap();
    assert_eq!(finished.tokens, (EVENTS - sent) as u64 * TOKENS_PER_EVENT, "the tokens of this request");
    let stored = finished.stored_turn.unwrap();
    assert_eq!(String::from_utf8_lossy(&stored.output), whole_output());
    assert_eq!(&*stored.input, b"in");
}

// Guards against a next turn that runs without the events before the cut: the answer of a turn whose client resumed
// its stream was stored without them.
#[tokio::test]
async fn a_turn_resumed_by_its_client_is_stored_with_all_events() {
    let endpoint = FakeEndpoint::start("i-1", |request| stream_up_to(EVENTS, request)).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    for sent in 0..=EVENTS {
        let response = read(harness.send(turn("/kr/x", &sent.to_string())).await).await;
        check(&harness, &response, sent);
    }
}

// Guards against the same loss on a route whose streams are not resumable: endpoints heed the header all the same.
#[tokio::test]
async fn a_turn_on_a_route_that_is_not_resumable_is_stored_with_all_events_too() {
    let endpoint = FakeEndpoint::start("i-1", |request| stream_up_to(EVENTS, request)).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let response = read(harness.send(turn("/k/x", "2")).await).await;
    check(&harness, &response, 2);
}

// Guards against the same loss where the endpoint breaks off as well, before or after the client's last event.
#[tokio::test]
async fn a_turn_resumed_by_its_client_and_then_by_the_relay_is_stored_with_all_events() {
    for sent in 0..=EVENTS {
        for broken_after in 1..EVENTS {
            let [one, two] = start_pair(move |earlier, request| {
                stream_up_to(if earlier == 0 { broken_after } else { EVENTS }, request)
            })
            .await;
            let harness = RelayHarness::with_endpoints(&[&one, &two]).await;
            let response = read(harness.send(turn("/kr/x", &sent.to_string())).await).await;
            check(&harness, &response, sent);
        }
    }
}

#[tokio::test]
async fn an_empty_event_id_names_no_event() {
    let endpoint = FakeEndpoint::start("i-1", |request| stream_up_to(EVENTS, request)).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let response = read(harness.send(turn("/kr/x", "")).await).await;
    check(&harness, &response, 0);
}

// Ids that are no numbers cannot be compared: the client has the events up to the one that it names.
#[tokio::test]
async fn a_turn_whose_event_ids_are_no_numbers_is_stored_with_all_events() {
    let named = |id: &str| format!("id: {id}\ndata: text {id}\n\n");
    let endpoint = FakeEndpoint::start("i-1", move |request| {
        let after = request.header("last-event-id").map(str::to_owned);
        let ids = ["a", "b", "c", "d"].into_iter().filter(|id| Some(*id) > after.as_deref());
        let events = ids.map(|id| chunk(&named(id)));
        [stream_head(request, "s")].into_iter().chain(events).chain([last_chunk()]).collect()
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    for (sent, rest) in [("a", "bcd"), ("c", "d"), ("d", "")] {
        let response = read(harness.send(turn("/kr/x", sent)).await).await;
        let expected: String = rest.chars().map(|id| named(&id.to_string())).collect();
        assert_eq!(response.body.as_deref(), Some(expected.as_bytes()));
        let stored = harness.stores.finished_turns.lock().unwrap().pop().unwrap().stored_turn.unwrap();
        assert_eq!(&*stored.output, b"text a\ntext b\ntext c\ntext d\n");
    }
    // An id of no event: what the client has is unknown, so the answer must not look complete.
    let response = read(harness.send(turn("/kr/x", "x")).await).await;
    assert_eq!((response.status, response.body), (StatusCode::OK, None));
    assert!(harness.stores.finished_turns.lock().unwrap().is_empty());
}

// The client has all events already, but did not see the end: the turn may not have been stored.
#[tokio::test]
async fn an_event_id_after_the_last_event_gets_the_end_only() {
    let endpoint = FakeEndpoint::start("i-1", |request| stream_up_to(EVENTS, request)).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let response = read(harness.send(turn("/kr/x", "99")).await).await;
    check(&harness, &response, EVENTS);
}

// What is not stored need not be generated again.
#[tokio::test]
async fn a_stream_that_is_not_stored_is_resumed_at_the_endpoint() {
    let endpoint = FakeEndpoint::start("i-1", |request| stream_up_to(EVENTS, request)).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let response = read(harness.send(turn("/r/x", "2")).await).await;
    assert_eq!(response.body.as_deref(), Some(events(3..=EVENTS).as_bytes()));
    assert_eq!(endpoint.received()[0].header("last-event-id"), Some("2"));
}

fn output_event(id: usize) -> OutputEvent {
    OutputEvent { id: id as u64, output: format!("text {id}\n").into_bytes().into() }
}

/// The events recorded of the last stream; they have been sent once its response has been read.
fn recorded_events(harness: &RelayHarness) -> (TurnKey, Vec<OutputEvent>) {
    let mut recorded = harness.stores.recorded_outputs.lock().unwrap().pop().unwrap();
    assert_eq!(&*recorded.request.0, "t1");
    let events = std::iter::from_fn(|| recorded.events.try_recv().ok()).collect();
    (recorded.turn, events)
}

// Guards against a client that waits while all that it has is generated again, and against a next turn that runs with
// what another model generated in its place.
#[tokio::test]
async fn a_turn_is_resumed_after_the_last_event_that_the_stores_know() {
    let endpoint = FakeEndpoint::start("i-1", |request| stream_up_to(EVENTS, request)).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    for sent in 0..=EVENTS {
        for known in 0..=sent {
            let known_events: Vec<OutputEvent> = (1..=known).map(output_event).collect();
            *harness.stores.known_output.lock().unwrap() = known_events;
            let response = read(harness.send(turn("/kr/x", &sent.to_string())).await).await;
            check(&harness, &response, sent);
            let search = harness.stores.output_searches.lock().unwrap().pop().unwrap();
            let last_event_id = endpoint.received().pop().unwrap().header("last-event-id").map(str::to_owned);
            assert_eq!(last_event_id, (known > 0).then(|| known.to_string()));
            let (recorded_turn, recorded) = recorded_events(&harness);
            assert_eq!((&search.turn, search.last_event_id), (&recorded_turn, sent as u64));
            let all: Vec<OutputEvent> = (1..=EVENTS).map(output_event).collect();
            assert_eq!(recorded, all, "also what an earlier request recorded");
        }
    }
    let regenerated = harness.state.metrics.regenerated_turns.get();
    // Whenever fewer events are known than the client has; the id 0 may be that of an event too.
    assert_eq!(regenerated, (1..=EVENTS).sum::<usize>() as u64 + 1);
}

// The tries of a turn have the same key; other turns of the program, and the same input elsewhere, have another one.
#[tokio::test]
async fn the_key_of_a_turn_is_that_of_its_other_tries_only() {
    let endpoint = FakeEndpoint::start("i-1", |request| stream_up_to(EVENTS, request)).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let first = || turn("/kr/x", "0");
    let requests = [
        first(),
        with_headers(first(), &[("last-event-id", "3"), ("x-deadline-ms", "7000")]),
        with_headers(first(), &[("session", "q2")]),
        with_headers(first(), &[("program", "p2")]),
        with_headers(first(), &[("previous", "t0")]),
        turn("/kr/y", "0"),
        first().map(|_| Full::new(Bytes::from("other"))),
    ];
    let mut keys = Vec::new();
    for request in requests {
        assert_eq!(read(harness.send(request).await).await.status, StatusCode::OK);
        keys.push(recorded_events(&harness).0);
    }
    assert_eq!(keys[0], keys[1]);
    let distinct: std::collections::BTreeSet<_> = keys.iter().collect();
    assert_eq!(distinct.len(), keys.len() - 1);
}

// Output is recorded only where a client may resume the stream, and only under a program's name.
#[tokio::test]
async fn output_that_no_client_can_resume_is_not_recorded() {
    let endpoint = FakeEndpoint::start("i-1", |request| stream_up_to(EVENTS, request)).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    for request in [turn("/k/x", "2"), turn("/r/x", "2"), request("POST", "/kr/x", "t1", "in")] {
        assert_eq!(read(harness.send(request).await).await.status, StatusCode::OK);
    }
    assert!(harness.stores.recorded_outputs.lock().unwrap().is_empty());
    assert!(harness.stores.output_searches.lock().unwrap().is_empty());
}
