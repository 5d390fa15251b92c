//! Which other keepers this one exchanges messages with, judged by round trips.
//!
//! A keeper whose messages are lost may still hear the others, so hearing proves nothing about being heard.
//! Contact therefore rests on answers: an answer shows that the other keeper was reached after the question was
//! sent. The time that counts is that of the question, so answers that were delayed (by a frozen process or a
//! queue) prove nothing about the present.

use std::collections::HashMap;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::replication::{Epoch, Voter};
use juniperwing_protocol::{DiskId, EpochNumber};

/// Keepers that are remembered; more than ever take part.
const MAX_KEEPERS: usize = 256;

/// How many of `voters` keepers must have taken an end of an endpoint before it is acknowledged: a majority, and so
/// many that no relay misses it. Relays subscribe to one keeper more than the `tolerated` losses.
pub fn needed_confirmations(voters: usize, tolerated: usize) -> usize {
    let majority = voters / 2 + 1;
    majority.max(voters.saturating_sub(tolerated))
}

/// An answered question.
#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    request_sent_at: Time,
    /// The highest epoch that the other keeper knew when it answered.
    epoch: EpochNumber,
}

/// When each keeper was heard last, and when the newest question was sent that it has answered.
#[derive(Clone, Debug)]
pub struct Contact {
    window: Span,
    last_message_at: HashMap<DiskId, Time>,
    round_trips: HashMap<DiskId, RoundTrip>,
}

impl Contact {
    /// No contact yet. Evidence older than `window` does not count.
    pub fn new(window: Span) -> Self {
        Contact { window, last_message_at: HashMap::new(), round_trips: HashMap::new() }
    }

    /// A message came from a keeper.
    pub fn record_message(&mut self, now: Time, keeper: DiskId) {
        self.remove_stale(now);
        self.last_message_at.insert(keeper, now);
    }

    /// A keeper that knows `epoch` has answered a question that was sent at `asked_at`.
    pub fn record_reply(&mut self, now: Time, keeper: DiskId, asked_at: Time, epoch: EpochNumber) {
        self.record_message(now, keeper);
        let newest = self.round_trips.entry(keeper).or_insert(RoundTrip { request_sent_at: asked_at, epoch });
        if asked_at >= newest.request_sent_at {
            *newest = RoundTrip { request_sent_at: asked_at, epoch };
        }
    }

    /// Whether a keeper was heard within the window. Says nothing about whether it hears this one.
    pub fn has_recent_message(&self, now: Time, keeper: DiskId) -> bool {
        self.last_message_at.get(&keeper).is_some_and(|at| now.since(*at) <= self.window)
    }

    /// Whether a majority of the voters of `epoch`, `me` included where it votes, has answered a question that
    /// was sent within the window. Where the epoch still depends on the voters before it, a majority of those
    /// counts as well.
    pub fn has_majority(&self, now: Time, me: DiskId, epoch: &Epoch) -> bool {
        epoch.is_quorum(|disk| disk == me || self.has_recent_round_trip(now, disk, epoch.number))
    }

    /// The newest moment up to which contact is proved: a majority of the voters of `epoch` has answered a question
    /// that was sent then or later. `None` without contact. What the others told before that moment has been heard.
    pub fn confirmed_until(&self, now: Time, me: DiskId, epoch: &Epoch) -> Option<Time> {
        if !self.has_majority(now, me, epoch) {
            return None;
        }
        let present = self.majority_round_trip_at(now, me, epoch.number, &epoch.voters);
        if epoch.previous_voters.is_empty() {
            return Some(present);
        }
        Some(present.min(self.majority_round_trip_at(now, me, epoch.number, &epoch.previous_voters)))
    }

    /// The latest moment at which, or after which, a majority of `voters` was sent a question that it answered.
    fn majority_round_trip_at(&self, now: Time, me: DiskId, epoch: EpochNumber, voters: &[Voter]) -> Time {
        let asked_at = |voter: &Voter| match self.round_trips.get(&voter.disk) {
            _ if voter.disk == me => now,
            Some(known) if known.epoch <= epoch => known.request_sent_at,
            _ => Time::default(),
        };
        let mut times: Vec<Time> = voters.iter().map(asked_at).collect();
        times.sort_unstable();
        // With so many removed from the early end, what is left is the smallest majority.
        let outside = voters.len() - (voters.len() / 2 + 1);
        times.get(outside).copied().unwrap_or_default()
    }

    /// One that knows a higher epoch than this keeper may belong to another set of voters.
    fn has_recent_round_trip(&self, now: Time, keeper: DiskId, epoch: EpochNumber) -> bool {
        let round_trip = self.round_trips.get(&keeper);
        round_trip
            .is_some_and(|known| now.since(known.request_sent_at) <= self.window && known.epoch <= epoch)
    }

    /// How many keepers are remembered.
    pub fn len(&self) -> usize {
        self.last_message_at.len().max(self.round_trips.len())
    }

    /// Whether no keeper is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn remove_stale(&mut self, now: Time) {
        if self.len() < MAX_KEEPERS {
            return;
        }
        let window = self.window;
        self.last_message_at.retain(|_, at| now.since(*at) <= window);
        self.round_trips.retain(|_, known| now.since(known.request_sent_at) <= window);
    }
}
