//! State of reconciliation: when tables are compared and unreachable members are contacted next.

use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};
use juniperwing_random::Rng;

use crate::jitter::jitter;
use crate::member::MemberId;
use crate::settings::{MAX_SEEDS, Timings};

/// Maximum number of pages sent in reply to one digest.
pub(crate) const MAX_PAGES_PER_DIGEST: usize = 16;

/// Maximum number of pages and page replies per probe interval, beyond the one that every request is granted.
pub(crate) const MAX_PAGES_PER_INTERVAL: usize = 64;

/// Fraction by which the interval between contacts of seeds varies: many machines start at the same moment.
pub(crate) const CONTACT_JITTER: f64 = 0.5;

/// Fraction by which the interval between comparisons varies.
pub(crate) const SYNC_JITTER: f64 = 0.2;

/// The state of reconciliation.
#[derive(Clone, Debug)]
pub(crate) struct Reconciler {
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) next_sync_at: Time,
    /// Interval to the next comparison: short after one that found unknown members, then doubled up to the maximum.
    pub(crate) current_sync_interval: Span,
    /// The member to compare with next; `None` for a random one.
    pub(crate) preferred_peer: Option<MemberId>,
    pub(crate) next_contact_at: Time,
    pub(crate) contact_interval: Span,
    /// Whether this member is still fetching the table that the others already have. Records from a table sync are
    /// not disseminated meanwhile.
    pub(crate) is_catching_up: bool,
    /// Pages and page replies that may still be sent in this probe interval.
    pub(crate) remaining_pages: usize,
}

impl Reconciler {
    /// Seeds are contacted at the first tick; the address `local` is excluded.
    pub fn new(
        now: Time, mut seeds: Vec<SocketAddr>, local: SocketAddr, timings: &Timings, rng: &mut Rng,
    ) -> Self {
        seeds.retain(|seed| *seed != local);
        Reconciler {
            seeds,
            next_sync_at: now + jitter(rng, timings.probe_interval, SYNC_JITTER),
            current_sync_interval: timings.probe_interval,
            preferred_peer: None,
            next_contact_at: now,
            contact_interval: timings.join_interval,
            is_catching_up: true,
            remaining_pages: MAX_PAGES_PER_INTERVAL,
        }
    }

    /// Replaces the seeds and contacts them at the next tick; the address `local` is excluded.
    pub fn set_seeds(&mut self, now: Time, mut seeds: Vec<SocketAddr>, local: SocketAddr) {
        seeds.retain(|seed| *seed != local);
        seeds.truncate(MAX_SEEDS);
        self.seeds = seeds;
        self.next_contact_at = now;
    }

    /// Whether this member is still fetching the table that the others already have.
    pub fn is_catching_up(&self) -> bool {
        self.is_catching_up
    }

    /// Handles a datagram of a member that was unknown or not live: the tables may differ in many members, so they are
    /// compared next.
    pub fn handle_new_sender(&mut self, id: &MemberId) {
        self.schedule_sync_with(id.clone());
    }

    /// Handles a comparison that found a member that was unknown or not live: there may be more, so the next comparison
    /// is due soon.
    pub fn handle_new_member(&mut self, now: Time, timings: &Timings) {
        self.current_sync_interval = timings.probe_interval;
        self.next_sync_at = self.next_sync_at.min(now + timings.probe_interval);
    }

    pub(crate) fn schedule_sync_with(&mut self, id: MemberId) {
        self.preferred_peer = Some(id);
        self.next_sync_at = Time::default();
    }
}
