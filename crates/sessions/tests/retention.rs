//! What a store retains, and for how long: programs by their turns, chains by the turns that continue them.

mod harness;

use harness::{TURN_BEGUN, TestStore, begin, finish_stored};
use juniperwing_clock::Span;
use juniperwing_protocol::session::SessionReply;

/// Longer than any retention in these tests, with the slack and the interval between sweeps.
const PAST_ALL_RETENTION: Span = Span::from_millis(1_000_000);

// Guards against a program that disappears without a trace in the metrics.
#[test]
fn programs_that_expire_are_counted_with_their_reservations() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, finish_stored("a", None)), SessionReply::TurnFinished);
    assert!(matches!(store.call(2, begin("b", Some("a"), Some(100))), SessionReply::TurnBegun { .. }));
    store.advance_time(PAST_ALL_RETENTION);
    let statistics = store.state_machine.statistics();
    assert_eq!((statistics.expired_programs, statistics.expired_reservations), (1, 1));
    assert_eq!(store.call(3, begin("c", None, Some(100))), TURN_BEGUN, "a new program");
}
