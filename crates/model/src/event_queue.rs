//! The events to come, by time and, at one instant, in the order in which they were put. It owns nothing else,
//! and must never look into an event.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use juniperwing::time::Time;

/// An event with its place; the place alone orders it.
struct Item<E> {
    key: (Time, u64),
    event: E,
}

impl<E> PartialEq for Item<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl<E> Eq for Item<E> {}

impl<E> PartialOrd for Item<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Item<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

/// Events to come.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Item<E>>>,
    count: u64,
    now: Time,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), count: 0, now: Time::default() }
    }
}

impl<E> EventQueue<E> {
    /// The time of the event taken last.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Puts an event. One in the past comes now: time never goes back.
    pub fn schedule(&mut self, at: Time, event: E) {
        if at < Time::NEVER {
            self.count += 1;
            self.heap.push(Reverse(Item { key: (at.max(self.now), self.count), event }));
        }
    }

    /// The next event, to whose time the clock then moves.
    pub fn pop(&mut self) -> Option<(Time, E)> {
        let Reverse(item) = self.heap.pop()?;
        self.now = item.key.0;
        Some((item.key.0, item.event))
    }

    /// Events that wait.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn at(nanos: u64) -> Time {
        Time::from_nanos(nanos)
    }

    #[test]
    fn an_event_in_the_past_comes_now_and_one_that_never_comes_is_not_kept() {
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
        /// By time, and at one instant in the order put: the same as a stable sort.
        #[test]
        fn events_come_as_a_stable_sort_has_them(times in prop::collection::vec(0u64..20, 0..200)) {
            let mut queue = EventQueue::default();
            for (n, time) in times.iter().enumerate() {
                queue.schedule(at(*time), n);
            }
            let mut sorted: Vec<(Time, usize)> = times.iter().enumerate().map(|(n, t)| (at(*t), n)).collect();
            sorted.sort_by_key(|item| item.0);
            let taken: Vec<(Time, usize)> = std::iter::from_fn(|| queue.pop()).collect();
            prop_assert_eq!(taken, sorted);
        }
    }
}
