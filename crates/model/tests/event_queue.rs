//! The order of events in the queue.

use juniperwing::time::Time;
use juniperwing_model::event_queue::EventQueue;
use proptest::prelude::*;

fn at(nanos: u64) -> Time {
    Time::from_nanos(nanos)
}

#[test]
fn past_events_come_now_and_events_at_never_are_dropped() {
    let mut queue = EventQueue::default();
    queue.schedule(at(5), "first");
    assert_eq!(queue.pop(), Some((at(5), "first")));
    queue.schedule(at(2), "late");
    queue.schedule(Time::NEVER, "never");
    assert_eq!(queue.pop(), Some((at(5), "late")));
    assert_eq!(queue.pop(), None);
}

#[test]
fn a_million_pending_events_come_in_order() {
    let mut queue = EventQueue::default();
    (0..1_000_000u64).for_each(|n| queue.schedule(at(n * 7_919 % 1_000_003), n));
    let mut last = Time::default();
    while let Some((time, _)) = queue.pop() {
        assert!(last <= time);
        last = time;
    }
    assert!(queue.is_empty());
}

proptest! {
    /// Events are ordered by time, and those of the same time by the order of scheduling.
    #[test]
    fn events_come_in_the_order_of_a_stable_sort(times in prop::collection::vec(0u64..20, 0..200)) {
        let mut queue = EventQueue::default();
        for (n, time) in times.iter().enumerate() {
            queue.schedule(at(*time), n);
        }
        let mut sorted: Vec<(Time, usize)> = times.iter().enumerate().map(|(n, t)| (at(*t), n)).collect();
        sorted.sort_by_key(|item| item.0);
        let popped: Vec<(Time, usize)> = std::iter::from_fn(|| queue.pop()).collect();
        prop_assert_eq!(popped, sorted);
    }
}
