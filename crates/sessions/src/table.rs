//! The records of one partition.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::session::Turn;
use juniperwing_protocol::transfer::{Record, RecordKey};
use juniperwing_protocol::{ProgramId, RequestId};

use crate::event::Moment;
use crate::limits::{EXPIRY_SLACK, MAX_CHAIN_TURNS, PAGE_TARGET_BYTES};
use crate::merge::merge;
use crate::program::{ProgramRecords, RecordEntry, SegmentPosition, range_of, record_bytes, record_digest};

/// What is known of a turn and those before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chain {
    /// The turns, oldest first.
    Found(Vec<Turn>),
    /// The turn is not held.
    Unknown,
    /// The turn is held, but one before it is not.
    Broken,
}

/// Some of the records of a partition, in the order of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records.
    pub records: Vec<Record>,
    /// The last of them, if there may be more behind it.
    pub resume_after: Option<RecordKey>,
}

/// The records of one partition.
#[derive(Clone, Debug, Default)]
pub struct Table {
    programs: BTreeMap<ProgramId, ProgramRecords>,
    /// Which programs hold which turns.
    turns: BTreeSet<(RequestId, ProgramId)>,
    bytes: u64,
    /// The last version given to a record.
    last_version: u64,
}

impl Table {
    /// Merges a record; `true` if what is held has changed.
    pub fn merge(&mut self, record: &Record, moment: Moment) -> bool {
        let program = self.programs.entry(record.program.clone()).or_default();
        let held = program.records.get_mut(&record.request);
        let before = held.as_ref().map_or(0, |held| record_bytes(&held.record));
        let held = match held {
            Some(held) => {
                if !merge(&mut held.record, record) {
                    return false;
                }
                held
            }
            None => program.records.entry(record.request.clone()).or_insert(RecordEntry {
                record: record.clone(),
                version: 0,
                durable_version: 0,
                position: None,
                digest: 0,
            }),
        };
        self.last_version += 1;
        held.version = self.last_version;
        held.digest = record_digest(&held.record);
        self.bytes = self.bytes + record_bytes(&held.record) - before;
        if held.record.turn.is_some() {
            self.turns.insert((record.request.clone(), record.program.clone()));
        }
        program.expires_at = program.expires_at.max(expiry_time(record, moment));
        program.expires_at_ms =
            program.records.values().map(|held| held.record.expires_at_ms).max().unwrap_or(0);
        true
    }

    /// The record of a try.
    pub fn record(&self, program: &ProgramId, request: &RequestId) -> Option<&Record> {
        Some(&self.programs.get(program)?.records.get(request)?.record)
    }

    /// All records.
    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        let held = self.programs.values().flat_map(|program| program.records.values());
        held.map(|held| &held.record)
    }

    /// The records of a program.
    pub(crate) fn records_of(&self, program: &ProgramId) -> impl Iterator<Item = &Record> {
        let held = self.programs.get(program).into_iter().flat_map(|program| program.records.values());
        held.map(|held| &held.record)
    }

    /// Tokens of a program that count against its budget, those of the try `except` left out.
    pub fn tokens_except(&self, program: &ProgramId, except: &RequestId) -> u64 {
        self.programs.get(program).map_or(0, |held| held.tokens_except(except))
    }

    /// The chain that ends with `turn`, as `program` sees it: its own turns first, then those of others.
    pub fn chain(&self, program: &ProgramId, turn: &RequestId) -> Chain {
        let mut chain = Vec::new();
        let mut wanted = Some(turn);
        while let Some(request) = wanted {
            let Some(turn) = self.find_turn(program, request).filter(|_| chain.len() < MAX_CHAIN_TURNS)
            else {
                return if chain.is_empty() { Chain::Unknown } else { Chain::Broken };
            };
            chain.push(turn.clone());
            wanted = turn.previous.as_ref();
        }
        chain.reverse();
        Chain::Found(chain)
    }

    /// The chain that ends with `turn`, of whatever program.
    pub fn chain_in_any_program(&self, turn: &RequestId) -> Chain {
        match self.program_with_turn(turn) {
            Some(program) => self.chain(program, turn),
            None => Chain::Unknown,
        }
    }

    /// Whether the program itself holds the turn.
    pub fn has_turn(&self, program: &ProgramId, turn: &RequestId) -> bool {
        self.turn_of(program, turn).is_some()
    }

    fn find_turn(&self, program: &ProgramId, turn: &RequestId) -> Option<&Turn> {
        self.turn_of(program, turn).or_else(|| self.turn_of(self.program_with_turn(turn)?, turn))
    }

    fn turn_of(&self, program: &ProgramId, turn: &RequestId) -> Option<&Turn> {
        self.record(program, turn)?.turn.as_ref()
    }

    fn program_with_turn(&self, turn: &RequestId) -> Option<&ProgramId> {
        let from = (turn.clone(), ProgramId::from(""));
        let (request, program) = self.turns.range(from..).next()?;
        (request == turn).then_some(program)
    }

    /// The digests of `ranges` equal ranges of the hashes of programs, without programs that may be forgotten
    /// by `live_after_ms`.
    pub fn digests(&self, ranges: u16, live_after_ms: u64) -> Vec<u64> {
        self.sum_digests(ranges, live_after_ms, |held| held.digest)
    }

    /// The same of what is on disk: a record of which a newer version waits for the disk makes its range differ.
    pub fn durable_digests(&self, ranges: u16, live_after_ms: u64) -> Vec<u64> {
        let on_disk = |held: &RecordEntry| {
            if held.durable_version == held.version { held.digest } else { !held.digest }
        };
        self.sum_digests(ranges, live_after_ms, on_disk)
    }

    fn sum_digests(&self, ranges: u16, live_after_ms: u64, digest: impl Fn(&RecordEntry) -> u64) -> Vec<u64> {
        let mut digests = vec![0_u64; usize::from(ranges.max(1))];
        for (name, program) in self.programs.iter().filter(|(_, p)| p.expires_at_ms > live_after_ms) {
            let range = usize::from(range_of(name, ranges));
            for held in program.records.values() {
                digests[range] = digests[range].wrapping_add(digest(held));
            }
        }
        digests
    }

    /// The next page of the records of the `wanted` ranges.
    pub fn page(&self, ranges: u16, wanted: &[u16], live_after_ms: u64, after: Option<&RecordKey>) -> Page {
        let mut page = Page::default();
        let mut bytes = 0;
        let start = after.map_or(Bound::Unbounded, |key| Bound::Included(key.program.clone()));
        for (name, program) in self.programs.range((start, Bound::Unbounded)) {
            if program.expires_at_ms <= live_after_ms || !wanted.contains(&range_of(name, ranges)) {
                continue;
            }
            let start = match after {
                Some(key) if key.program == *name => Bound::Excluded(key.request.clone()),
                _ => Bound::Unbounded,
            };
            for (request, held) in program.records.range((start, Bound::Unbounded)) {
                bytes += record_bytes(&held.record);
                page.records.push(held.record.clone());
                if bytes >= PAGE_TARGET_BYTES {
                    page.resume_after = Some(RecordKey { program: name.clone(), request: request.clone() });
                    return page;
                }
            }
        }
        page
    }

    /// Bytes held, roughly.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    pub(crate) fn entry(&self, key: &RecordKey) -> Option<&RecordEntry> {
        self.programs.get(&key.program)?.records.get(&key.request)
    }

    pub(crate) fn entry_mut(&mut self, key: &RecordKey) -> Option<&mut RecordEntry> {
        self.programs.get_mut(&key.program)?.records.get_mut(&key.request)
    }

    /// The keys of the records that lie in segments that `chosen` picks.
    pub(crate) fn keys_in_segments(&self, chosen: impl Fn(u64) -> bool) -> Vec<RecordKey> {
        let mut keys = Vec::new();
        for (name, program) in &self.programs {
            for (request, held) in &program.records {
                if held.position.is_some_and(|place| chosen(place.segment)) {
                    keys.push(RecordKey { program: name.clone(), request: request.clone() });
                }
            }
        }
        keys
    }

    /// Forgets the programs that have expired; returns where their records lay on disk.
    pub(crate) fn remove_expired(&mut self, moment: Moment) -> Vec<SegmentPosition> {
        let expired: Vec<ProgramId> = self
            .programs
            .iter()
            .filter(|(_, program)| program.expires_at <= moment.now)
            .map(|(name, _)| name.clone())
            .collect();
        let mut places = Vec::new();
        for name in expired {
            let Some(program) = self.programs.remove(&name) else { continue };
            for (request, held) in program.records {
                self.bytes -= record_bytes(&held.record);
                self.turns.remove(&(request, name.clone()));
                places.extend(held.position);
            }
        }
        places
    }
}

/// When a record may go by the steady clock. The time of day is read once, when the record comes: a clock that
/// jumps later drops nothing.
fn expiry_time(record: &Record, moment: Moment) -> Time {
    let expires = Span::from_millis(record.expires_at_ms) + EXPIRY_SLACK;
    moment.now + (expires - Span::from_millis(moment.unix_time_ms))
}
