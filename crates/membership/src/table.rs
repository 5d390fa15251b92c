//! The table of members: the newest record of each, with the timeouts of suspicions and of dead members.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_clock::{Span, Time};

use crate::digest::{self, Buckets, HashRange};
use crate::member::{MemberId, Record, Status};

/// Maximum number of members, dead ones included; further ones are ignored.
pub const MAX_MEMBERS: usize = 4_096;

/// The key of a member in the table. Sorted by hash, so that ranges of hashes can be listed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    hash: u64,
    id: MemberId,
}

impl Key {
    fn of(id: &MemberId) -> Self {
        Key { hash: digest::hash_of(id), id: id.clone() }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    /// When a suspicion times out or a dead member is removed.
    expiry: Option<Time>,
}

/// The known members.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<Key, Entry>,
    expiries: BTreeSet<(Time, Key)>,
    buckets: Buckets,
    live_count: usize,
}

impl Table {
    /// The record of `id`.
    pub fn get(&self, id: &MemberId) -> Option<&Record> {
        self.entries.get(&Key::of(id)).map(|entry| &entry.record)
    }

    /// The record of `id`, if it is live.
    pub fn get_live(&self, id: &MemberId) -> Option<&Record> {
        self.get(id).filter(|record| record.status.is_live())
    }

    /// Whether another member can be inserted.
    pub fn has_capacity(&self) -> bool {
        self.entries.len() < MAX_MEMBERS
    }

    /// The number of live members.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// The checksums of the live members.
    pub fn buckets(&self) -> &Buckets {
        &self.buckets
    }

    /// All records, ordered by the hash of their names.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// The records of a range of hashes, each with its hash.
    pub fn range(&self, range: HashRange) -> impl Iterator<Item = (u64, &Record)> {
        let lowest = MemberId { node: "".into(), role: crate::member::Role::Relay };
        let from = Key { hash: range.first, id: lowest };
        self.entries
            .range(from..)
            .take_while(move |(key, _)| key.hash <= range.last)
            .map(|(key, entry)| (key.hash, &entry.record))
    }

    /// Inserts or replaces a record, which expires at `expiry` if that is given.
    pub fn insert(&mut self, record: Record, expiry: Option<Time>) {
        let key = Key::of(&record.member.id);
        self.remove_entry(&key);
        if record.status.is_live() {
            self.buckets.toggle(&record);
            self.live_count += 1;
        }
        if let Some(time) = expiry {
            self.expiries.insert((time, key.clone()));
        }
        self.entries.insert(key, Entry { record, expiry });
    }

    /// Removes the record of `id`.
    pub fn remove(&mut self, id: &MemberId) {
        self.remove_entry(&Key::of(id));
    }

    /// The next record that has expired by `now`; it stays in the table, without an expiry.
    pub fn pop_expired(&mut self, now: Time) -> Option<Record> {
        let (time, _) = self.expiries.first()?;
        if *time > now {
            return None;
        }
        let (_, key) = self.expiries.pop_first()?;
        let entry = self.entries.get_mut(&key)?;
        entry.expiry = None;
        Some(entry.record.clone())
    }

    /// Extends every suspicion by `span`.
    pub fn extend_suspicions(&mut self, span: Span) {
        for (key, entry) in &mut self.entries {
            let Some(time) = entry.expiry else { continue };
            if entry.record.status != Status::Suspect {
                continue;
            }
            self.expiries.remove(&(time, key.clone()));
            self.expiries.insert((time + span, key.clone()));
            entry.expiry = Some(time + span);
        }
    }

    fn remove_entry(&mut self, key: &Key) {
        let Some(entry) = self.entries.remove(key) else { return };
        if entry.record.status.is_live() {
            self.buckets.toggle(&entry.record);
            self.live_count -= 1;
        }
        if let Some(time) = entry.expiry {
            self.expiries.remove(&(time, key.clone()));
        }
    }
}
