//! Which other keepers were heard of a short while ago.

use std::collections::HashMap;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::DiskId;
use juniperwing_protocol::replication::Voter;

/// A keeper that said nothing for longer cannot be reached.
const SILENCE: Span = Span::from_millis(1_200);
/// After its start a keeper needs only a primary that it hears.
const START: Span = Span::from_millis(3_000);
/// Keepers that are remembered; more than ever take part.
const MAX_HEARD: usize = 256;

/// When each keeper was heard last.
pub(super) struct Contact {
    started: Time,
    heard: HashMap<DiskId, Time>,
}

impl Contact {
    pub(super) fn new(now: Time) -> Self {
        Contact { started: now, heard: HashMap::new() }
    }

    /// A keeper said something.
    pub(super) fn note(&mut self, now: Time, disk: DiskId) {
        if self.heard.len() >= MAX_HEARD {
            self.heard.retain(|_, at| now.since(*at) <= SILENCE);
        }
        self.heard.insert(disk, now);
    }

    /// Whether a keeper was heard a short while ago.
    pub(super) fn is_heard(&self, now: Time, disk: DiskId) -> bool {
        self.heard.get(&disk).is_some_and(|at| now.since(*at) <= SILENCE)
    }

    /// Whether more than half of the voters, this keeper included, are in reach; right after the start a
    /// primary in reach is enough.
    pub(super) fn is_among_most(&self, now: Time, me: DiskId, voters: &[Voter], primary: DiskId) -> bool {
        let reached = |disk: DiskId| disk == me || self.is_heard(now, disk);
        let count = voters.iter().filter(|voter| reached(voter.disk)).count();
        let starting = now.since(self.started) <= START && !voters.is_empty() && reached(primary);
        2 * count > voters.len() || starting
    }
}
