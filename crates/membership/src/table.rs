//! The members that are known, what is held of each, and when that is to be looked at again.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_clock::{Span, Time};

use crate::digest::{self, Buckets, HashRange};
use crate::member::{MemberId, Record, Status};

/// The most members that are held, dead ones included; further ones are not taken in.
pub const MAX_MEMBERS: usize = 4_096;

/// A member's place in the table. Sorted by hash, so that ranges can be listed.
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
    /// When a suspicion or the memory of a dead member ends.
    expiry: Option<Time>,
}

/// The members that are known.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<Key, Entry>,
    expiries: BTreeSet<(Time, Key)>,
    buckets: Buckets,
    live_count: usize,
}

impl Table {
    /// What is held of `id`.
    pub fn get(&self, id: &MemberId) -> Option<&Record> {
        self.entries.get(&Key::of(id)).map(|entry| &entry.record)
    }

    /// What is held of `id`, if it is live.
    pub fn get_live(&self, id: &MemberId) -> Option<&Record> {
        self.get(id).filter(|record| record.status.is_live())
    }

    /// Whether another member can be taken in.
    pub fn has_capacity(&self) -> bool {
        self.entries.len() < MAX_MEMBERS
    }

    /// How many members are live.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// The checksums of the live members.
    pub fn buckets(&self) -> &Buckets {
        &self.buckets
    }

    /// All records, in a fixed order that has no meaning.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// The records of a range.
    pub fn range(&self, range: HashRange) -> impl Iterator<Item = (u64, &Record)> {
        let lowest = MemberId { node: "".into(), role: crate::member::Role::Relay };
        let from = Key { hash: range.first, id: lowest };
        self.entries
            .range(from..)
            .take_while(move |(key, _)| key.hash <= range.last)
            .map(|(key, entry)| (key.hash, &entry.record))
    }

    /// Holds `record` from now on, until `expiry` if that is given.
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

    /// Forgets `id`.
    pub fn remove(&mut self, id: &MemberId) {
        self.remove_entry(&Key::of(id));
    }

    /// Takes the next record whose time has come by `now`; it stays in the table without a time.
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

    /// Lets every suspicion last longer by `span`.
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
