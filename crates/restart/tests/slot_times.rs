//! Slot-time scheduling.

use juniperwing_clock::{Span, Time};
use juniperwing_restart::SlotTimes;
use proptest::prelude::*;

const STUCK_AFTER: Span = Span::from_millis(1_000);
const EXPECTED_DURATION: Span = Span::from_millis(100);

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

/// Two destinations that wait for a slot.
fn two_waiting() -> SlotTimes<&'static str> {
    let mut slots = SlotTimes::default();
    slots.set_waiting("models", at(0));
    slots.set_waiting("tools", at(0));
    slots
}

#[test]
fn a_freed_slot_goes_to_the_destination_with_the_least_slot_time() {
    let mut slots = two_waiting();
    slots.begin_call(at(0), "models", EXPECTED_DURATION);
    slots.end_call(at(300), &"models");
    slots.begin_call(at(300), "tools", EXPECTED_DURATION);
    slots.end_call(at(400), &"tools");
    slots.set_waiting("models", at(400));
    assert_eq!(slots.next_destination(at(400), STUCK_AFTER), Some(&"models"), "tools do not wait");
    slots.set_waiting("tools", at(400));
    assert_eq!(slots.next_destination(at(400), STUCK_AFTER), Some(&"tools"));
    assert_eq!(slots.recent_slot_time(at(400), &"models", STUCK_AFTER), Span::from_millis(300));
}

#[test]
fn calls_in_flight_count_with_their_expected_duration() {
    let mut slots = two_waiting();
    slots.begin_call(at(0), "models", Span::from_millis(500));
    slots.set_waiting("models", at(0));
    slots.begin_call(at(0), "tools", Span::from_millis(100));
    slots.set_waiting("tools", at(0));
    assert_eq!(slots.next_destination(at(0), STUCK_AFTER), Some(&"tools"), "before either has any slot time");
    slots.end_call(at(10), &"models");
    assert_eq!(
        slots.next_destination(at(10), STUCK_AFTER),
        Some(&"models"),
        "an ended call counts with its duration"
    );
}

#[test]
fn a_stuck_call_counts_up_to_a_bound() {
    let mut slots = two_waiting();
    slots.begin_call(at(0), "models", EXPECTED_DURATION);
    assert_eq!(slots.recent_slot_time(at(9_000), &"models", STUCK_AFTER), STUCK_AFTER);
    assert_eq!(slots.recent_slot_time(at(9_000), &"models", Span::ZERO), EXPECTED_DURATION);
}

#[test]
fn slot_time_expires() {
    let mut slots = two_waiting();
    slots.begin_call(at(0), "models", EXPECTED_DURATION);
    slots.end_call(at(4_000), &"models");
    assert_eq!(slots.recent_slot_time(at(11_000), &"models", STUCK_AFTER), Span::ZERO);
    assert_eq!(slots.recent_slot_time(at(10_500), &"models", STUCK_AFTER), Span::from_millis(500));
}

#[test]
fn no_destination_gets_a_slot_before_it_may_use_one() {
    let mut slots = SlotTimes::default();
    assert_eq!(slots.next_destination(at(0), STUCK_AFTER), None);
    slots.set_waiting("models", at(100));
    assert_eq!(slots.next_destination(at(99), STUCK_AFTER), None);
    assert_eq!(slots.next_destination(at(100), STUCK_AFTER), Some(&"models"));
}

#[test]
fn an_end_without_a_call_in_flight_changes_nothing() {
    let mut slots = two_waiting();
    slots.end_call(at(0), &"models");
    slots.begin_call(at(0), "models", EXPECTED_DURATION);
    slots.end_call(at(1), &"models");
    slots.end_call(at(2), &"models");
    assert_eq!(slots.slots_in_use(), 0);
    assert_eq!(slots.calls_in_flight().count(), 0);
}

#[test]
fn the_calls_kept_of_a_destination_are_bounded() {
    let mut slots = two_waiting();
    slots.begin_call(at(0), "models", EXPECTED_DURATION);
    slots.begin_call(at(0), "tools", EXPECTED_DURATION);
    for _ in 0..17_000 {
        slots.begin_call(at(0), "tools", EXPECTED_DURATION);
        slots.end_call(at(10), &"tools");
    }
    assert_eq!(slots.slots_in_use(), 2);
    assert!(slots.recent_slot_time(at(10), &"tools", STUCK_AFTER) < Span::from_millis(10 * 17_000));
    assert_eq!(
        slots.calls_in_flight().filter(|(key, _)| **key == "tools").count(),
        1,
        "calls in flight are kept"
    );
}

proptest! {
    /// The slots in use equal the calls in flight, and the next destination has the least slot time of those that wait.
    #[test]
    fn the_next_destination_has_the_least_slot_time(
        events in prop::collection::vec((0..3u8, 0..4u8, 0..2_000u64), 0..200),
    ) {
        let mut slots = SlotTimes::default();
        let mut now = Time::default();
        for (event, key, millis) in events {
            now = now + Span::from_millis(millis);
            match event {
                0 => slots.set_waiting(key, now),
                1 => slots.begin_call(now, key, EXPECTED_DURATION),
                _ => slots.end_call(now, &key),
            }
            prop_assert_eq!(slots.slots_in_use(), slots.calls_in_flight().count());
            let least = slots.waiting_destinations(now).map(|key| slots.recent_slot_time(now, key, STUCK_AFTER)).min();
            let next = slots.next_destination(now, STUCK_AFTER);
            prop_assert_eq!(next.map(|key| slots.recent_slot_time(now, key, STUCK_AFTER)), least);
        }
    }
}
