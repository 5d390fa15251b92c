//! The output of streams in flight: recorded piece by piece, and found by a client's next try of the same turn.

mod harness;

use harness::{LIMITS, TestStore};
use juniperwing_clock::Span;
use juniperwing_protocol::session::{
    FindOutput, OutputEvent, RecordOutput, SessionCall, SessionReply, TurnKey,
};
use juniperwing_protocol::{ProgramId, RequestId};
use juniperwing_sessions::Limits;

fn turn(session: &str) -> TurnKey {
    TurnKey {
        program: ProgramId::from("p"),
        session: session.into(),
        previous: None,
        target: "h.example/kept/a".into(),
        input_digest: 1,
    }
}

fn events(ids: std::ops::RangeInclusive<u64>, text: &str) -> Vec<OutputEvent> {
    ids.map(|id| OutputEvent { id, output: format!("{text}{id}\n").into_bytes().into() }).collect()
}

/// Records events of a request; returns the number of events that the store has of it.
fn record(store: &mut TestStore, request: &str, first: u32, events: Vec<OutputEvent>) -> u32 {
    record_retained(store, request, first, events, 0)
}

fn record_retained(
    store: &mut TestStore, request: &str, first: u32, events: Vec<OutputEvent>, retention_ms: u64,
) -> u32 {
    let record =
        RecordOutput { turn: turn("s"), request: RequestId::from(request), first, events, retention_ms };
    match store.call(1, SessionCall::RecordOutput(record)) {
        SessionReply::OutputRecorded { events } => events,
        reply => panic!("{reply:?}"),
    }
}

fn find(store: &mut TestStore, session: &str, last_event_id: u64) -> Vec<OutputEvent> {
    match store.call(2, SessionCall::FindOutput(FindOutput { turn: turn(session), last_event_id })) {
        SessionReply::OutputFound { events } => events,
        reply => panic!("{reply:?}"),
    }
}

#[test]
fn output_is_found_up_to_the_clients_last_event() {
    let mut store = TestStore::leading();
    assert_eq!(record(&mut store, "a", 0, events(1..=3, "a")), 3);
    assert_eq!(record(&mut store, "a", 3, events(4..=6, "a")), 6);
    for last in 0..=9 {
        assert_eq!(find(&mut store, "s", last), events(1..=last.min(6), "a"));
    }
    assert_eq!(find(&mut store, "other", 6), Vec::new());
}

// A reply may be lost, and a piece may be sent again or out of order: what is found has no gap and nothing twice.
#[test]
fn pieces_that_overlap_or_leave_a_gap_keep_the_output_whole() {
    let mut store = TestStore::leading();
    assert_eq!(record(&mut store, "a", 2, events(3..=4, "a")), 0, "the start is missing");
    assert_eq!(record(&mut store, "a", 0, events(1..=2, "a")), 2);
    assert_eq!(record(&mut store, "a", 0, events(1..=3, "a")), 3);
    assert_eq!(record(&mut store, "a", 0, events(1..=2, "a")), 3);
    assert_eq!(record(&mut store, "a", 5, events(6..=7, "a")), 3, "a gap");
    assert_eq!(find(&mut store, "s", 9), events(1..=3, "a"));
}

// Guards against the answer of one try with the start of another: tries of a turn may differ.
#[test]
fn of_several_tries_the_latest_that_has_the_clients_event_is_found() {
    let mut store = TestStore::leading();
    record(&mut store, "a", 0, events(1..=8, "a"));
    record(&mut store, "b", 0, events(1..=5, "b"));
    assert_eq!(find(&mut store, "s", 5), events(1..=5, "b"));
    assert_eq!(find(&mut store, "s", 7), events(1..=7, "a"), "the other has no event 7");
    assert_eq!(find(&mut store, "s", 9), events(1..=8, "a"), "the one that comes closest");
}

#[test]
fn output_expires_some_time_after_the_last_event() {
    let mut store = TestStore::leading();
    record(&mut store, "a", 0, events(1..=1, "a"));
    store.advance_time(Span::from_millis(50_000));
    record(&mut store, "a", 1, events(2..=2, "a"));
    store.advance_time(Span::from_millis(50_000));
    assert_eq!(find(&mut store, "s", 2), events(1..=2, "a"));
    store.advance_time(Span::from_millis(20_000));
    assert_eq!(find(&mut store, "s", 2), Vec::new());
    assert_eq!(store.state_machine.statistics().output_log_bytes, 0);
}

// Guards against a stream that is silent for long and then cut: its client still holds its beginning.
#[test]
fn output_is_held_for_as_long_as_the_client_may_resume_the_stream() {
    let mut store = TestStore::leading();
    record_retained(&mut store, "a", 0, events(1..=2, "a"), 300_000);
    store.advance_time(Span::from_millis(299_000));
    assert_eq!(find(&mut store, "s", 2), events(1..=2, "a"));
    store.advance_time(Span::from_millis(20_000));
    assert_eq!(find(&mut store, "s", 2), Vec::new());
}

// Whatever relays record, the memory is bounded, and turns are admitted all the same.
#[test]
fn the_streams_that_began_first_are_dropped_at_the_limit() {
    let (mut store, _) = TestStore::with_limits(Limits { memory_bytes: 100_000, ..LIMITS });
    for number in 0..200 {
        record(&mut store, &format!("r{number}"), 0, events(number..=number, "a"));
        let bytes = store.state_machine.statistics().output_log_bytes;
        assert!(bytes <= 10_000, "{bytes} bytes");
    }
    assert_eq!(find(&mut store, "s", 199), events(199..=199, "a"));
    // One stream that exceeds the limit by itself is dropped too.
    let large = OutputEvent { id: 1, output: vec![b'x'; 20_000].into() };
    record(&mut store, "large", 0, vec![large]);
    assert_eq!(store.state_machine.statistics().output_log_bytes, 0);
}

// A replica that does not lead the partition, or knows no map yet, holds output as well.
#[test]
fn output_is_recorded_and_found_at_any_replica() {
    let mut store = TestStore::leading();
    store.handle(juniperwing_sessions::Event::StoreMap(harness::map(2, 2, harness::OTHER)));
    assert_eq!(record(&mut store, "a", 0, events(1..=2, "a")), 2);
    assert_eq!(find(&mut store, "s", 2), events(1..=2, "a"));
}
