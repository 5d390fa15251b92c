//! Reconciliation: comparison of tables by digests, and contact with seeds and dead members.

use std::net::SocketAddr;

use juniperwing_clock::Time;

use crate::digest::{Buckets, HashRange};
use crate::jitter::jitter;
use crate::member::{MemberId, Record, Status};
use crate::membership::Membership;
use crate::reconciler::{CONTACT_JITTER, MAX_PAGES_PER_DIGEST, MAX_PAGES_PER_INTERVAL, SYNC_JITTER};
use crate::wire::{DatagramBuilder, MAX_DATAGRAM_BYTES, Message};

impl Membership {
    /// When seeds are contacted next, if that cannot wait for the next probe.
    pub(crate) fn next_contact_at(&self) -> Time {
        let is_alone = self.table.live_count() <= 1 && !self.reconciler.seeds.is_empty();
        if is_alone { self.reconciler.next_contact_at } else { Time::NEVER }
    }

    /// Compares tables with another member if a comparison is due.
    pub(crate) fn sync_if_due(&mut self, now: Time) {
        self.reconciler.remaining_pages = MAX_PAGES_PER_INTERVAL;
        if now < self.reconciler.next_sync_at {
            return;
        }
        let wait = self.reconciler.current_sync_interval;
        self.reconciler.next_sync_at = now + jitter(&mut self.rng, wait, SYNC_JITTER);
        self.reconciler.current_sync_interval = (wait + wait).min(self.timings.sync_interval);
        let peer = self.reconciler.preferred_peer.take();
        if peer.is_none() && wait >= self.timings.sync_interval {
            // The interval has reached its maximum, which leaves enough time to catch up.
            self.reconciler.is_catching_up = false;
        }
        let record = peer.and_then(|id| self.table.get_live(&id).cloned());
        let record = record.or_else(|| self.pick_random_live(1, None).pop());
        if let Some(record) = record {
            self.send_digest(record.member.gossip_address);
        }
    }

    /// Contacts seeds that are not live members, and one dead member, if that is due.
    pub(crate) fn contact_unreachable_if_due(&mut self, now: Time) {
        if now < self.reconciler.next_contact_at {
            return;
        }
        let wait = jitter(&mut self.rng, self.reconciler.contact_interval, CONTACT_JITTER);
        self.reconciler.next_contact_at = now + wait;
        let doubled = self.reconciler.contact_interval + self.reconciler.contact_interval;
        self.reconciler.contact_interval = doubled.min(self.timings.reconnect_interval);
        for seed in self.seeds_without_live_member() {
            self.send_digest(seed);
        }
        if let Some(dead) = self.pick_random_dead() {
            self.send_digest_to_dead(&dead);
        }
    }

    fn seeds_without_live_member(&self) -> Vec<SocketAddr> {
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

    /// Sends a digest with the record of the member's death, which it refutes at once if it is alive.
    fn send_digest_to_dead(&mut self, dead: &Record) {
        let buckets = self.table.buckets().clone();
        self.send(dead.member.gossip_address, &Message::Digest { buckets }, vec![dead.clone()]);
    }

    /// Replies to a digest with pages of the ranges that differ, beginning at a random one.
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
        let has_more = pages.len() > allowed;
        pages.truncate(allowed);
        self.reconciler.remaining_pages = self.reconciler.remaining_pages.saturating_sub(pages.len());
        for Page { range, records } in pages {
            self.send_bare(from, &Message::Page { range, has_more }, &records);
        }
    }

    /// The number of pages that may be sent now. At least one: a single page per datagram received does not amplify
    /// traffic.
    fn allowed_pages(&self) -> usize {
        MAX_PAGES_PER_DIGEST.min(self.reconciler.remaining_pages).max(1)
    }

    /// The live members of `range`, in pages of one datagram each.
    fn pages_in(&self, range: HashRange) -> Vec<Page> {
        let largest_header =
            Message::Page { range: HashRange { first: u64::MAX, last: u64::MAX }, has_more: true };
        let mut pages = Vec::new();
        let mut first = range.first;
        let mut last = range.first;
        let mut records: Vec<Record> = Vec::new();
        let mut datagram = DatagramBuilder::new(&self.local_record, &largest_header);
        for (hash, record) in self.table.range(range) {
            if !record.status.is_live() {
                continue;
            }
            if !datagram.push(record) {
                pages.push(Page { range: HashRange { first, last }, records: std::mem::take(&mut records) });
                first = last.saturating_add(1);
                datagram = DatagramBuilder::new(&self.local_record, &largest_header);
                datagram.push(record);
            }
            last = hash;
            records.push(record.clone());
        }
        pages.push(Page { range: HashRange { first, last: range.last }, records });
        pages
    }

    /// Replies to a page with the records that its sender is missing.
    pub(crate) fn handle_page(
        &mut self, from: SocketAddr, sender: MemberId, range: HashRange, has_more: bool, received: &[Record],
    ) {
        if has_more {
            self.reconciler.schedule_sync_with(sender);
        } else {
            self.reconciler.is_catching_up = false;
        }
        let mut missing = Vec::new();
        for (_, known) in self.table.range(range) {
            let theirs = received.iter().find(|record| record.member.id == known.member.id);
            let is_missing = theirs.map_or(known.status.is_live(), |theirs| known.supersedes(theirs));
            if is_missing {
                missing.push(known.clone());
            }
        }
        self.send_records(from, &Message::PageReply, &missing);
    }

    /// Replies to a page reply with the records that supersede those in it.
    pub(crate) fn handle_page_reply(&mut self, from: SocketAddr, records: &[Record]) {
        let mut superseding = Vec::new();
        for record in records {
            let known = self.table.get(&record.member.id);
            superseding.extend(known.filter(|known| known.supersedes(record)).cloned());
        }
        self.send_records(from, &Message::Correction, &superseding);
    }

    /// Sends records in as many datagrams as needed, up to the allowed number.
    fn send_records(&mut self, to: SocketAddr, message: &Message, records: &[Record]) {
        let mut allowed = self.allowed_pages();
        let mut rest = records;
        while !rest.is_empty() && allowed > 0 {
            let mut datagram = DatagramBuilder::new(&self.local_record, message);
            let count = rest.iter().take_while(|record| datagram.push(record)).count();
            debug_assert!(count > 0 && datagram.len() <= MAX_DATAGRAM_BYTES);
            let (chunk, remaining) = rest.split_at(count.max(1));
            self.send_bare(to, message, chunk);
            rest = remaining;
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
