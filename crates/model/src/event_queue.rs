//! The queue of pending events, ordered by time; events of the same time are in the order of scheduling.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use juniperwing::time::Time;

/// An event with its key; items are compared by the key alone.
struct Item<E> {
    /// Its time, and a sequence number that breaks ties.
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
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Item<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key.cmp(&other.key)
    }
}

/// The pending events, and the time of the latest one that was popped.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Item<E>>>,
    scheduled: u64,
    now: Time,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), scheduled: 0, now: Time::default() }
    }
}

impl<E> EventQueue<E> {
    /// The time of the latest event that was popped.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Schedules an event. A time in the past is replaced by the present time, so that time never goes back. An event
    /// at [`Time::NEVER`] is dropped.
    pub fn schedule(&mut self, at: Time, event: E) {
        if at < Time::NEVER {
            self.scheduled += 1;
            self.heap.push(Reverse(Item { key: (at.max(self.now), self.scheduled), event }));
        }
    }

    /// Removes the next event and advances the clock to its time.
    pub fn pop(&mut self) -> Option<(Time, E)> {
        let Reverse(item) = self.heap.pop()?;
        self.now = item.key.0;
        Some((self.now, item.event))
    }

    /// The number of pending events.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no event is pending.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
