//! Quorum contact: which other keepers this one can exchange messages with, based on round trips.
//!
//! A keeper whose outgoing messages are lost may still receive from the others, so an incoming message does not prove
//! that this keeper can be reached. Contact is therefore based on replies: a reply shows that the peer was reached
//! after the request had been sent. A round trip has the time of its request, not that of its reply, so that replies
//! delayed by a paused process or a queue are no evidence of current contact.

use std::collections::BTreeMap;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::replication::{Epoch, Voter};
use juniperwing_protocol::{DiskId, EpochNumber};

/// Number of entries at which stale ones are removed; larger than any group of keepers.
const MAX_KEEPERS: usize = 256;

/// The number of `voters` keepers that must have applied the termination of an endpoint before it is acknowledged.
///
/// It is a majority, and large enough to overlap with the keepers that any relay subscribes to: a relay subscribes to
/// `tolerated_failures + 1` keepers.
pub fn required_confirmations(voters: usize, tolerated_failures: usize) -> usize {
    let majority = voters / 2 + 1;
    majority.max(voters.saturating_sub(tolerated_failures))
}

/// A request that was replied to.
#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    request_sent_at: Time,
    /// The highest epoch that the peer knew when it replied.
    epoch: EpochNumber,
}

/// For each keeper, the time of its last message and of the newest request that it has replied to.
#[derive(Clone, Debug)]
pub struct Contact {
    window: Span,
    last_message_at: BTreeMap<DiskId, Time>,
    round_trips: BTreeMap<DiskId, RoundTrip>,
}

impl Contact {
    /// A tracker without entries. Messages and round trips older than `window` do not count.
    pub fn new(window: Span) -> Self {
        Contact { window, last_message_at: BTreeMap::new(), round_trips: BTreeMap::new() }
    }

    /// Records that a message of `keeper` was received at `now`.
    pub fn record_message(&mut self, now: Time, keeper: DiskId) {
        self.remove_stale(now);
        self.last_message_at.insert(keeper, now);
    }

    /// Records that `keeper`, which knows `epoch`, replied to a request sent at `request_sent_at`.
    pub fn record_reply(&mut self, now: Time, keeper: DiskId, request_sent_at: Time, epoch: EpochNumber) {
        self.record_message(now, keeper);
        let newest = self.round_trips.entry(keeper).or_insert(RoundTrip { request_sent_at, epoch });
        if request_sent_at >= newest.request_sent_at {
            *newest = RoundTrip { request_sent_at, epoch };
        }
    }

    /// Whether a message of `keeper` was received within the window. It does not show that messages to `keeper`
    /// arrive.
    pub fn has_recent_message(&self, now: Time, keeper: DiskId) -> bool {
        self.last_message_at.get(&keeper).is_some_and(|at| now.since(*at) <= self.window)
    }

    /// Whether a majority of the voters of `epoch`, including `local_disk` if it is one, has replied to a request sent
    /// within the window. While the epoch still depends on the previous voters, a majority of those is required as well.
    pub fn has_majority(&self, now: Time, local_disk: DiskId, epoch: &Epoch) -> bool {
        epoch.is_quorum(|disk| disk == local_disk || self.has_recent_round_trip(now, disk, epoch.number))
    }

    /// The latest time up to which contact is proved: a majority of the voters of `epoch` has replied to a request
    /// sent then or later, so whatever they sent before that time has been received. `None` without contact.
    pub fn confirmed_until(&self, now: Time, local_disk: DiskId, epoch: &Epoch) -> Option<Time> {
        if !self.has_majority(now, local_disk, epoch) {
            return None;
        }
        let current = self.majority_round_trip_at(now, local_disk, epoch.number, &epoch.voters);
        if epoch.previous_voters.is_empty() {
            return Some(current);
        }
        Some(current.min(self.majority_round_trip_at(now, local_disk, epoch.number, &epoch.previous_voters)))
    }

    /// The latest time such that a majority of `voters` has replied to a request sent then or later.
    fn majority_round_trip_at(
        &self, now: Time, local_disk: DiskId, epoch: EpochNumber, voters: &[Voter],
    ) -> Time {
        let request_sent_at = |voter: &Voter| match self.round_trips.get(&voter.disk) {
            _ if voter.disk == local_disk => now,
            Some(round_trip) if round_trip.epoch <= epoch => round_trip.request_sent_at,
            _ => Time::default(),
        };
        let mut times: Vec<Time> = voters.iter().map(request_sent_at).collect();
        times.sort_unstable();
        // The voters after this many with the oldest requests are the smallest majority.
        let minority = voters.len() - (voters.len() / 2 + 1);
        times.get(minority).copied().unwrap_or_default()
    }

    /// A keeper that knows a higher epoch than this one may belong to another set of voters, so it does not count.
    fn has_recent_round_trip(&self, now: Time, keeper: DiskId, epoch: EpochNumber) -> bool {
        self.round_trips.get(&keeper).is_some_and(|round_trip| {
            now.since(round_trip.request_sent_at) <= self.window && round_trip.epoch <= epoch
        })
    }

    /// The number of keepers with an entry.
    pub fn len(&self) -> usize {
        self.last_message_at.len().max(self.round_trips.len())
    }

    /// Whether no keeper has an entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn remove_stale(&mut self, now: Time) {
        if self.len() < MAX_KEEPERS {
            return;
        }
        let window = self.window;
        self.last_message_at.retain(|_, at| now.since(*at) <= window);
        self.round_trips.retain(|_, round_trip| now.since(round_trip.request_sent_at) <= window);
    }
}
