//! The slot-time release: a freed slot goes to the waiting destination with the least recent slot time.

use std::collections::{BTreeMap, VecDeque};

use juniperwing_clock::{Span, Time};

/// Slot time counts for this long.
const SLOT_TIME_MEMORY: Span = Span::from_millis(10_000);
/// Calls kept of each destination; beyond that, those that have ended are dropped early.
const MAX_CALLS_PER_DESTINATION: usize = 16_384;

#[derive(Debug)]
struct Call {
    began_at: Time,
    ended_at: Option<Time>,
    expected_duration: Span,
}

impl Call {
    /// The slot time since `since`. A call in flight counts with its expected duration, and one that is stuck with no
    /// more than that or `stuck_after`, whichever is longer.
    fn slot_time(&self, since: Time, now: Time, stuck_after: Span) -> Span {
        let end = self.ended_at.unwrap_or(now.max(self.began_at + self.expected_duration));
        let end = end.min(self.began_at + self.expected_duration.max(stuck_after));
        end.since(self.began_at.max(since))
    }
}

/// Slot time by destination, calls in flight included, and which destinations wait for a slot.
#[derive(Debug, Default)]
pub struct SlotTimes<Key> {
    slots_in_use: usize,
    /// In order of their beginning.
    calls: BTreeMap<Key, VecDeque<Call>>,
    /// From when a destination may use a slot.
    waiting: BTreeMap<Key, Time>,
}

impl<Key: Ord> SlotTimes<Key> {
    /// A destination has something to send, which may be sent from a time on.
    pub fn set_waiting(&mut self, key: Key, from: Time) {
        self.waiting.insert(key, from);
    }

    /// A call takes a slot; its destination does not wait any more.
    pub fn begin_call(&mut self, now: Time, key: Key, expected_duration: Span) {
        self.slots_in_use += 1;
        self.waiting.remove(&key);
        let calls = self.calls.entry(key).or_default();
        let memory = if calls.len() < MAX_CALLS_PER_DESTINATION { SLOT_TIME_MEMORY } else { Span::ZERO };
        calls.retain(|call| call.ended_at.is_none_or(|at| now.since(at) < memory));
        calls.push_back(Call { began_at: now, ended_at: None, expected_duration });
    }

    /// A call releases its slot: the oldest in flight, for calls of one destination are alike. Without one in flight
    /// nothing changes.
    pub fn end_call(&mut self, now: Time, key: &Key) {
        let mut calls = self.calls.get_mut(key).into_iter().flatten();
        if let Some(call) = calls.find(|call| call.ended_at.is_none()) {
            call.ended_at = Some(now);
            self.slots_in_use -= 1;
        }
    }

    /// How many slots are in use.
    pub fn slots_in_use(&self) -> usize {
        self.slots_in_use
    }

    /// The calls in flight, each with when it began, destination by destination.
    pub fn calls_in_flight(&self) -> impl Iterator<Item = (&Key, Time)> {
        let calls = self.calls.iter().flat_map(|(key, calls)| calls.iter().map(move |call| (key, call)));
        calls.filter(|(_, call)| call.ended_at.is_none()).map(|(key, call)| (key, call.began_at))
    }

    /// The destinations with something that may be sent now.
    pub fn waiting_destinations(&self, now: Time) -> impl Iterator<Item = &Key> {
        self.waiting.iter().filter(move |(_, from)| **from <= now).map(|(key, _)| key)
    }

    /// The destination that gets a freed slot: least slot time; at a tie, the first by key.
    pub fn next_destination(&self, now: Time, stuck_after: Span) -> Option<&Key> {
        self.waiting_destinations(now).min_by_key(|key| (self.recent_slot_time(now, key, stuck_after), *key))
    }

    /// A destination's recent slot time. A call in flight counts with its expected duration, and one that is stuck with
    /// no more than that or `stuck_after`, whichever is longer.
    pub fn recent_slot_time(&self, now: Time, key: &Key, stuck_after: Span) -> Span {
        let since = now - SLOT_TIME_MEMORY;
        let calls = self.calls.get(key).into_iter().flatten();
        calls
            .map(|call| call.slot_time(since, now, stuck_after))
            .fold(Span::ZERO, |sum, slot_time| sum + slot_time)
    }
}
