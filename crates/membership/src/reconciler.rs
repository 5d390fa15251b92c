//! State of reconciliation: when tables are compared and unreachable members are contacted next.

use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};

use crate::jitter::jitter;
use crate::member::MemberId;
use crate::settings::{MAX_SEEDS, Timings};
use juniperwing_random::Rng;

/// The most pages that answer one digest.
pub(crate) const MAX_PAGES_PER_DIGEST: usize = 16;

/// The most pages and answers sent in one probe interval, but for one per datagram that asks for some.
pub(crate) const MAX_PAGES_PER_INTERVAL: usize = 64;

/// How far the waits before seeds are asked again vary: many machines start at the same moment.
pub(crate) const CONTACT_JITTER: f64 = 0.5;

/// How far the interval between comparisons varies.
pub(crate) const SYNC_JITTER: f64 = 0.2;

/// The state of comparison.
#[derive(Clone, Debug)]
pub(crate) struct Reconciler {
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) next_sync_at: Time,
    /// From the last comparison to the next: short after one that brought unknown members, then longer.
    pub(crate) current_sync_interval: Span,
    /// With whom to compare next, if that is not left to chance.
    pub(crate) preferred_peer: Option<MemberId>,
    pub(crate) next_contact_at: Time,
    pub(crate) contact_interval: Span,
    pub(crate) is_catching_up: bool,
    pub(crate) remaining_pages: usize,
}

impl Reconciler {
    /// Seeds are asked at the first tick. `own` is left out of them.
    pub fn new(
        now: Time, mut seeds: Vec<SocketAddr>, own: SocketAddr, timings: &Timings, rng: &mut Rng,
    ) -> Self {
        seeds.retain(|seed| *seed != own);
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

    /// Takes other seeds and asks them at the next tick.
    pub fn set_seeds(&mut self, now: Time, mut seeds: Vec<SocketAddr>, own: SocketAddr) {
        seeds.retain(|seed| *seed != own);
        seeds.truncate(MAX_SEEDS);
        self.seeds = seeds;
        self.next_contact_at = now;
    }

    /// Whether this member still takes in what the others have long known, so that it is no news to them.
    pub fn is_catching_up(&self) -> bool {
        self.is_catching_up
    }

    /// A member that was not known or not there has sent a datagram; their tables may differ in much.
    pub fn handle_new_sender(&mut self, id: &MemberId) {
        self.schedule_sync_with(id.clone());
    }

    /// A comparison has brought a member that was not known or not there; others may well follow.
    pub fn handle_new_member(&mut self, now: Time, timings: &Timings) {
        self.current_sync_interval = timings.probe_interval;
        self.next_sync_at = self.next_sync_at.min(now + timings.probe_interval);
    }

    pub(crate) fn schedule_sync_with(&mut self, id: MemberId) {
        self.preferred_peer = Some(id);
        self.next_sync_at = Time::default();
    }
}
