//! Requests of one service that wait for a slot.

use std::collections::{BTreeMap, VecDeque};

use juniperwing_clock::{Span, Time};
use juniperwing_restart::SlotTimes;

use crate::placement_request::{Destination, PlacementRequest, Ticket};

/// A call that lasts longer than this and its usual time counts as stuck: no more slot time adds up.
const STUCK_AFTER: Span = Span::from_millis(1_000);

/// The waiting requests, by rank and destination, and the slot time of the destinations.
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

    pub(crate) fn push(&mut self, ticket: Ticket, ask: PlacementRequest) {
        let rank = self.waiting.entry(ask.priority).or_default();
        rank.entry(ask.destination.clone()).or_default().push_back((ticket, ask));
        self.length += 1;
    }

    /// Takes a request out; `None` if it does not wait.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<PlacementRequest> {
        let mut found = None;
        for rank in self.waiting.values_mut() {
            for line in rank.values_mut() {
                if let Some(place) = line.iter().position(|(held, _)| *held == ticket) {
                    found = line.remove(place).map(|(_, ask)| ask);
                }
            }
            rank.retain(|_, line| !line.is_empty());
        }
        self.waiting.retain(|_, rank| !rank.is_empty());
        self.length -= usize::from(found.is_some());
        found
    }

    /// Requests in the order in which a freed slot goes to them: the most urgent rank first, within it the
    /// destination with the least recent slot time, within it the first that came. One of each destination.
    pub(crate) fn order(&self, now: Time) -> Vec<(Ticket, &PlacementRequest)> {
        let mut heads = Vec::new();
        for rank in self.waiting.values() {
            let mut destinations: Vec<_> = rank.iter().collect();
            destinations.sort_by_key(|(key, _)| (self.slot_times.spent(now, key, STUCK_AFTER), *key));
            let first = destinations.into_iter().filter_map(|(_, line)| line.front());
            heads.extend(first.map(|(ticket, ask)| (*ticket, ask)));
        }
        heads
    }

    /// All that wait.
    pub(crate) fn all(&self) -> impl Iterator<Item = (Ticket, &PlacementRequest)> {
        let lines = self.waiting.values().flat_map(BTreeMap::values);
        lines.flatten().map(|(ticket, ask)| (*ticket, ask))
    }

    pub(crate) fn begin(&mut self, now: Time, destination: &Destination, usual: Span) {
        self.slot_times.begin(now, destination.clone(), usual);
    }

    pub(crate) fn end(&mut self, now: Time, destination: &Destination) {
        self.slot_times.end(now, destination);
    }
}
