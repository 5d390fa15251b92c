//! Slot-time scheduling: a free slot goes to the waiting destination with the least slot time recently used.

use std::collections::{BTreeMap, VecDeque};

use juniperwing_clock::{Span, Time};

/// The period over which slot time is counted.
const SLOT_TIME_MEMORY: Span = Span::from_millis(10_000);
/// The maximum number of calls kept for each destination; above it, calls that have ended are dropped early.
const MAX_CALLS_PER_DESTINATION: usize = 16_384;

#[derive(Debug)]
struct Call {
    began_at: Time,
    ended_at: Option<Time>,
    expected_duration: Span,
}

impl Call {
    /// The slot time used since `since`. A call in flight counts with at least its expected duration, and any call
    /// with at most its expected duration or `stuck_after`, whichever is longer.
    fn slot_time(&self, since: Time, now: Time, stuck_after: Span) -> Span {
        let end = self.ended_at.unwrap_or(now.max(self.began_at + self.expected_duration));
        let end = end.min(self.began_at + self.expected_duration.max(stuck_after));
        end.since(self.began_at.max(since))
    }
}

/// The slot time of each destination, including calls in flight, and the destinations that wait for a slot.
#[derive(Debug, Default)]
pub struct SlotTimes<Key> {
    slots_in_use: usize,
    /// In order of their start.
    calls: BTreeMap<Key, VecDeque<Call>>,
    /// The earliest time at which each waiting destination may use a slot.
    waiting: BTreeMap<Key, Time>,
}

impl<Key: Ord> SlotTimes<Key> {
    /// Records that a destination waits for a slot, which it may use at or after `from`.
    pub fn set_waiting(&mut self, key: Key, from: Time) {
        self.waiting.insert(key, from);
    }

    /// Records that a call takes a slot; its destination no longer waits.
    pub fn begin_call(&mut self, now: Time, key: Key, expected_duration: Span) {
        self.slots_in_use += 1;
        self.waiting.remove(&key);
        let calls = self.calls.entry(key).or_default();
        let memory = if calls.len() < MAX_CALLS_PER_DESTINATION { SLOT_TIME_MEMORY } else { Span::ZERO };
        calls.retain(|call| call.ended_at.is_none_or(|at| now.since(at) < memory));
        calls.push_back(Call { began_at: now, ended_at: None, expected_duration });
    }

    /// Records that a call released its slot. Calls of a destination are interchangeable, so the oldest in flight is
    /// ended. Does nothing if none is in flight.
    pub fn end_call(&mut self, now: Time, key: &Key) {
        let mut calls = self.calls.get_mut(key).into_iter().flatten();
        if let Some(call) = calls.find(|call| call.ended_at.is_none()) {
            call.ended_at = Some(now);
            self.slots_in_use -= 1;
        }
    }

    /// The number of slots in use.
    pub fn slots_in_use(&self) -> usize {
        self.slots_in_use
    }

    /// The calls in flight with their start times, grouped by destination.
    pub fn calls_in_flight(&self) -> impl Iterator<Item = (&Key, Time)> {
        let calls = self.calls.iter().flat_map(|(key, calls)| calls.iter().map(move |call| (key, call)));
        calls.filter(|(_, call)| call.ended_at.is_none()).map(|(key, call)| (key, call.began_at))
    }

    /// The waiting destinations that may use a slot at `now`.
    pub fn waiting_destinations(&self, now: Time) -> impl Iterator<Item = &Key> {
        self.waiting.iter().filter(move |(_, from)| **from <= now).map(|(key, _)| key)
    }

    /// The destination that gets the next free slot: the one with the least slot time, and the lowest key among equals.
    pub fn next_destination(&self, now: Time, stuck_after: Span) -> Option<&Key> {
        self.waiting_destinations(now).min_by_key(|key| (self.recent_slot_time(now, key, stuck_after), *key))
    }

    /// The slot time that a destination used recently. A call in flight counts with at least its expected duration,
    /// and any call with at most its expected duration or `stuck_after`, whichever is longer.
    pub fn recent_slot_time(&self, now: Time, key: &Key, stuck_after: Span) -> Span {
        let since = now - SLOT_TIME_MEMORY;
        let calls = self.calls.get(key).into_iter().flatten();
        calls
            .map(|call| call.slot_time(since, now, stuck_after))
            .fold(Span::ZERO, |sum, slot_time| sum + slot_time)
    }
}
