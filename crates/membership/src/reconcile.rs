//! Comparison of whole tables, and contact with seeds and dead members.

use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};

use crate::digest::{Buckets, HashRange};
use crate::jitter::jitter;
use crate::member::{MemberId, Record, Status};
use crate::membership::Membership;
use crate::settings::{MAX_SEEDS, Timings};
use crate::wire::{DatagramBuilder, MAX_DATAGRAM_BYTES, Message};
use juniperwing_random::Rng;

/// The most pages that answer one digest.
const MAX_PAGES_PER_DIGEST: usize = 16;

/// The most pages and answers sent in one probe interval, but for one per datagram that asks for some.
const MAX_PAGES_PER_INTERVAL: usize = 64;

/// How far the waits before seeds are asked again vary: many machines start at the same moment.
const CONTACT_JITTER: f64 = 0.5;

/// How far the interval between comparisons varies.
const SYNC_JITTER: f64 = 0.2;

/// The state of comparison.
#[derive(Clone, Debug)]
pub struct Reconciler {
    seeds: Vec<SocketAddr>,
    next_sync_at: Time,
    /// From the last comparison to the next: short after one that brought unknown members, then longer.
    current_sync_interval: Span,
    /// With whom to compare next, if that is not left to chance.
    preferred_peer: Option<MemberId>,
    next_contact_at: Time,
    contact_interval: Span,
    is_catching_up: bool,
    remaining_pages: usize,
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

    fn schedule_sync_with(&mut self, id: MemberId) {
        self.preferred_peer = Some(id);
        self.next_sync_at = Time::default();
    }
}

impl Membership {
    /// When seeds are to be asked again, if that cannot wait for the next probe.
    pub(crate) fn next_contact_at(&self) -> Time {
        let lonely = self.table.live_count() <= 1 && !self.reconciler.seeds.is_empty();
        if lonely { self.reconciler.next_contact_at } else { Time::NEVER }
    }

    /// Compares tables with another member if it is time.
    pub(crate) fn sync_if_due(&mut self, now: Time) {
        self.reconciler.remaining_pages = MAX_PAGES_PER_INTERVAL;
        if now < self.reconciler.next_sync_at {
            return;
        }
        let wait = self.reconciler.current_sync_interval;
        self.reconciler.next_sync_at = now + jitter(&mut self.rng, wait, SYNC_JITTER);
        self.reconciler.current_sync_interval = (wait + wait).min(self.timings.sync_interval);
        let partner = self.reconciler.preferred_peer.take();
        if partner.is_none() && wait >= self.timings.sync_interval {
            // It has had long enough for that.
            self.reconciler.is_catching_up = false;
        }
        let record = partner.and_then(|id| self.table.get_live(&id).cloned());
        let record = record.or_else(|| self.pick_random_live(1, None).pop());
        if let Some(record) = record {
            self.send_digest(record.member.gossip_address);
        }
    }

    /// Contacts seeds that are not known as live members, and one dead member, if it is time.
    pub(crate) fn contact_unreached_if_due(&mut self, now: Time) {
        if now < self.reconciler.next_contact_at {
            return;
        }
        let wait = jitter(&mut self.rng, self.reconciler.contact_interval, CONTACT_JITTER);
        self.reconciler.next_contact_at = now + wait;
        let doubled = self.reconciler.contact_interval + self.reconciler.contact_interval;
        self.reconciler.contact_interval = doubled.min(self.timings.reconnect_interval);
        for seed in self.unreached_seeds() {
            self.send_digest(seed);
        }
        if let Some(dead) = self.pick_random_dead() {
            self.send_digest_to_dead(&dead);
        }
    }

    fn unreached_seeds(&self) -> Vec<SocketAddr> {
        let mut seeds = self.reconciler.seeds.clone();
        for record in self.table.records() {
            if record.status.is_live() {
                seeds.retain(|seed| *seed != record.member.gossip_address);
            }
        }
        seeds
    }

    fn pick_random_dead(&mut self) -> Option<Record> {
        let dead = |record: &&Record| record.status == Status::Dead;
        let count = self.table.records().filter(dead).count();
        let index = self.rng.index(count);
        self.table.records().filter(dead).nth(index).cloned()
    }

    fn send_digest(&mut self, to: SocketAddr) {
        let buckets = self.table.buckets().clone();
        self.send(to, &Message::Digest { buckets }, Vec::new());
    }

    /// With the record of its death, so that it can refute that at once if it lives.
    fn send_digest_to_dead(&mut self, dead: &Record) {
        let buckets = self.table.buckets().clone();
        self.send(dead.member.gossip_address, &Message::Digest { buckets }, vec![dead.clone()]);
    }

    /// Answers a digest with pages of the ranges that differ, beginning at a random one.
    pub(crate) fn handle_digest(&mut self, from: SocketAddr, buckets: &Buckets) {
        let mut ranges = self.table.buckets().differing(buckets);
        if ranges.is_empty() {
            self.reconciler.is_catching_up = false;
            return;
        }
        let start = self.rng.index(ranges.len());
        ranges.rotate_left(start);
        let allowed = self.allowed_pages();
        let pages = ranges.into_iter().flat_map(|range| self.pages_in(range));
        let mut pages: Vec<Page> = pages.take(allowed + 1).collect();
        let more = pages.len() > allowed;
        pages.truncate(allowed);
        self.reconciler.remaining_pages = self.reconciler.remaining_pages.saturating_sub(pages.len());
        for Page { range, records } in pages {
            self.send_bare(from, &Message::Page { range, has_more: more }, &records);
        }
    }

    /// How many pages may be sent now; always one, as that is no more than was received.
    fn allowed_pages(&self) -> usize {
        MAX_PAGES_PER_DIGEST.min(self.reconciler.remaining_pages).max(1)
    }

    /// The live members of `range`, in pages that fit into a datagram each.
    fn pages_in(&self, range: HashRange) -> Vec<Page> {
        let widest = Message::Page { range: HashRange { first: u64::MAX, last: u64::MAX }, has_more: true };
        let mut pages = Vec::new();
        let mut first = range.first;
        let mut last = range.first;
        let mut records: Vec<Record> = Vec::new();
        let mut filled = DatagramBuilder::new(&self.local_record, &widest);
        for (place, record) in self.table.range(range) {
            if !record.status.is_live() {
                continue;
            }
            if !filled.push(record) {
                pages.push(Page { range: HashRange { first, last }, records: std::mem::take(&mut records) });
                first = last.saturating_add(1);
                filled = DatagramBuilder::new(&self.local_record, &widest);
                filled.push(record);
            }
            last = place;
            records.push(record.clone());
        }
        pages.push(Page { range: HashRange { first, last: range.last }, records });
        pages
    }

    /// Answers a page with what its sender lacks.
    pub(crate) fn handle_page(
        &mut self, from: SocketAddr, sender: MemberId, range: HashRange, more: bool, listed: &[Record],
    ) {
        if more {
            self.reconciler.schedule_sync_with(sender);
        } else {
            self.reconciler.is_catching_up = false;
        }
        let mut lacking = Vec::new();
        for (_, held) in self.table.range(range) {
            let theirs = listed.iter().find(|record| record.member.id == held.member.id);
            let lacks = theirs.map_or(held.status.is_live(), |theirs| held.supersedes(theirs));
            if lacks {
                lacking.push(held.clone());
            }
        }
        self.send_records(from, &Message::PageReply, &lacking);
    }

    /// Corrects an answer where this member knows better.
    pub(crate) fn handle_page_reply(&mut self, from: SocketAddr, records: &[Record]) {
        let mut better = Vec::new();
        for record in records {
            let held = self.table.get(&record.member.id);
            better.extend(held.filter(|held| held.supersedes(record)).cloned());
        }
        self.send_records(from, &Message::Correction, &better);
    }

    /// Sends records in as many datagrams as are needed and allowed.
    fn send_records(&mut self, to: SocketAddr, message: &Message, records: &[Record]) {
        let mut allowed = self.allowed_pages();
        let mut rest = records;
        while !rest.is_empty() && allowed > 0 {
            let mut filled = DatagramBuilder::new(&self.local_record, message);
            let count = rest.iter().take_while(|record| filled.push(record)).count();
            debug_assert!(count > 0 && filled.len() <= MAX_DATAGRAM_BYTES);
            let (now, later) = rest.split_at(count.max(1));
            self.send_bare(to, message, now);
            rest = later;
            allowed -= 1;
            self.reconciler.remaining_pages = self.reconciler.remaining_pages.saturating_sub(1);
        }
    }
}

/// The live members of a range, as many as fit into a datagram.
struct Page {
    range: HashRange,
    records: Vec<Record>,
}
