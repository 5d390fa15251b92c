//! The requests for one service that wait for a slot.

use std::collections::{BTreeMap, VecDeque};

use juniperwing_clock::{Span, Time};
use juniperwing_restart::SlotTimes;

use crate::placement_request::{Destination, PlacementRequest, Ticket};

/// A call that exceeds its expected duration by more than this counts as stuck, and its slot time stops growing.
const STUCK_CALL_ALLOWANCE: Span = Span::from_millis(1_000);

/// The queued requests by priority and destination, and the slot times of the destinations.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    slot_times: SlotTimes<Destination>,
    waiting: BTreeMap<u32, BTreeMap<Destination, VecDeque<(Ticket, PlacementRequest)>>>,
    length: usize,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    pub(crate) fn push(&mut self, ticket: Ticket, request: PlacementRequest) {
        let by_destination = self.waiting.entry(request.priority).or_default();
        by_destination.entry(request.destination.clone()).or_default().push_back((ticket, request));
        self.length += 1;
    }

    /// Removes a request; `None` if it is not queued.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<PlacementRequest> {
        let mut removed = None;
        for by_destination in self.waiting.values_mut() {
            for requests in by_destination.values_mut() {
                if let Some(index) = requests.iter().position(|(queued, _)| *queued == ticket) {
                    removed = requests.remove(index).map(|(_, request)| request);
                }
            }
            by_destination.retain(|_, requests| !requests.is_empty());
        }
        self.waiting.retain(|_, by_destination| !by_destination.is_empty());
        self.length -= usize::from(removed.is_some());
        removed
    }

    /// Returns the first request of each destination, in the order in which they get free slots: by priority, then by
    /// the recent slot time of the destination, least first.
    pub(crate) fn next_by_destination(&self, now: Time) -> Vec<(Ticket, &PlacementRequest)> {
        let mut next = Vec::new();
        for by_destination in self.waiting.values() {
            let mut destinations: Vec<_> = by_destination.iter().collect();
            destinations.sort_by_key(|(key, _)| {
                (self.slot_times.recent_slot_time(now, key, STUCK_CALL_ALLOWANCE), *key)
            });
            let first = destinations.into_iter().filter_map(|(_, requests)| requests.front());
            next.extend(first.map(|(ticket, request)| (*ticket, request)));
        }
        next
    }

    /// All queued requests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Ticket, &PlacementRequest)> {
        let requests = self.waiting.values().flat_map(BTreeMap::values);
        requests.flatten().map(|(ticket, request)| (*ticket, request))
    }

    /// Records the start of a call, whose slot time is charged to its destination.
    pub(crate) fn begin_call(&mut self, now: Time, destination: &Destination, expected_duration: Span) {
        self.slot_times.begin_call(now, destination.clone(), expected_duration);
    }

    /// Records the end of a call.
    pub(crate) fn end_call(&mut self, now: Time, destination: &Destination) {
        self.slot_times.end_call(now, destination);
    }
}
