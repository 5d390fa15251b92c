//! The slot-time release: a freed slot goes to the waiting destination with the least recent slot time.

use std::collections::{BTreeMap, VecDeque};

use juniperwing_clock::{Span, Time};

/// Slot time counts for this long.
const MEMORY: Span = Span::from_millis(10_000);
/// Calls kept of each destination; beyond that, those that have ended are forgotten early.
const MOST_CALLS: usize = 16_384;

#[derive(Debug)]
struct Call {
    began: Time,
    ended: Option<Time>,
    usual: Span,
}

/// Slot time by destination, calls still out included, and which destinations wait for a slot.
#[derive(Debug, Default)]
pub struct SlotTimes<Key> {
    open: usize,
    calls: BTreeMap<Key, VecDeque<Call>>,
    /// From when what waits may go.
    waiting: BTreeMap<Key, Time>,
}

impl<Key: Ord> SlotTimes<Key> {
    /// A destination has something to send, which may go from a time on.
    pub fn set_waiting(&mut self, key: Key, from: Time) {
        self.waiting.insert(key, from);
    }

    /// A call takes a slot, likely for the `usual` span; its destination does not wait any more.
    pub fn begin_call(&mut self, now: Time, key: Key, usual: Span) {
        self.open += 1;
        self.waiting.remove(&key);
        let calls = self.calls.entry(key).or_default();
        let most = if calls.len() < MOST_CALLS { MEMORY } else { Span::ZERO };
        calls.retain(|call| call.ended.is_none_or(|end| now.since(end) < most));
        calls.push_back(Call { began: now, ended: None, usual });
    }

    /// A call gives its slot back: the oldest one out, for calls of one destination are alike.
    pub fn end_call(&mut self, now: Time, key: &Key) {
        let mut calls = self.calls.get_mut(key).into_iter().flatten();
        if let Some(call) = calls.find(|call| call.ended.is_none()) {
            (call.ended, self.open) = (Some(now), self.open - 1);
        }
    }

    /// How many slots are taken.
    pub fn slots_in_use(&self) -> usize {
        self.open
    }

    /// The calls still out, each with when it began, destination by destination.
    pub fn calls_in_flight(&self) -> impl Iterator<Item = (&Key, Time)> {
        let all = self.calls.iter().flat_map(|(key, calls)| calls.iter().map(move |call| (key, call)));
        all.filter(|(_, call)| call.ended.is_none()).map(|(key, call)| (key, call.began))
    }

    /// The destinations with something that may go now.
    pub fn waiting_destinations(&self, now: Time) -> impl Iterator<Item = &Key> {
        self.waiting.iter().filter(move |(_, from)| **from <= now).map(|(key, _)| key)
    }

    /// Whose a freed slot is: least slot time; at a tie, the first by key.
    pub fn next_destination(&self, now: Time, stuck_after: Span) -> Option<&Key> {
        self.waiting_destinations(now).min_by_key(|key| (self.recent_slot_time(now, key, stuck_after), *key))
    }

    /// A destination's recent slot time. A call still out counts with what it is likely to take, and one
    /// that is stuck with no more than its usual span or `stuck_after`, whichever is longer.
    pub fn recent_slot_time(&self, now: Time, key: &Key, stuck_after: Span) -> Span {
        let until = |call: &Call| call.ended.unwrap_or(now.max(call.began + call.usual));
        let until = |call: &Call| until(call).min(call.began + call.usual.max(stuck_after));
        let spent = |call: &Call| until(call).since(call.began.max(now - MEMORY));
        self.calls.get(key).into_iter().flatten().map(spent).fold(Span::ZERO, |sum, span| sum + span)
    }
}
