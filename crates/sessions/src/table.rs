//! The records of one partition.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::transfer::{Record, RecordKey, RecordState};
use juniperwing_protocol::{ProgramId, RequestId};

use crate::digest::record_digest;
use crate::event::ClockReading;
use crate::limits::EXPIRY_SLACK;
use crate::merge::merge;
use crate::program::{ProgramRecords, RecordEntry, SegmentPosition, record_bytes};

/// The records of one partition, by program and request.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub(crate) programs: BTreeMap<ProgramId, ProgramRecords>,
    /// The stored turns with the programs that have them.
    pub(crate) turns: BTreeSet<(RequestId, ProgramId)>,
    /// The sum of [`record_bytes`] over all records.
    bytes: u64,
    /// The last version assigned to a record; never decreases.
    last_version: u64,
}

impl Table {
    /// Merges a record; returns whether that changed the table.
    pub fn merge(&mut self, record: &Record, clock: ClockReading) -> bool {
        let program = self.programs.entry(record.program.clone()).or_default();
        let entry = program.records.get_mut(&record.request);
        let bytes_before = entry.as_ref().map_or(0, |entry| record_bytes(&entry.record));
        let entry = match entry {
            Some(entry) => {
                if !merge(&mut entry.record, record) {
                    return false;
                }
                entry
            }
            None => program.records.entry(record.request.clone()).or_insert(RecordEntry::new(record.clone())),
        };
        self.last_version += 1;
        entry.version = self.last_version;
        entry.digest = record_digest(&entry.record);
        self.bytes = self.bytes + record_bytes(&entry.record) - bytes_before;
        if entry.record.turn.is_some() {
            self.turns.insert((record.request.clone(), record.program.clone()));
        }
        program.expires_at = program.expires_at.max(expiry_time(record, clock));
        program.expires_at_ms =
            program.records.values().map(|entry| entry.record.expires_at_ms).max().unwrap_or(0);
        true
    }

    /// The record of a request.
    pub fn record(&self, program: &ProgramId, request: &RequestId) -> Option<&Record> {
        Some(&self.programs.get(program)?.records.get(request)?.record)
    }

    /// All records.
    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        let entries = self.programs.values().flat_map(|program| program.records.values());
        entries.map(|entry| &entry.record)
    }

    /// The records of a program.
    pub(crate) fn records_of(&self, program: &ProgramId) -> impl Iterator<Item = &Record> {
        let entries = self.programs.get(program).into_iter().flat_map(|program| program.records.values());
        entries.map(|entry| &entry.record)
    }

    /// When a program expires, in milliseconds since the Unix epoch; 0 if it is unknown.
    pub(crate) fn expires_at_ms(&self, program: &ProgramId) -> u64 {
        self.programs.get(program).map_or(0, |records| records.expires_at_ms)
    }

    /// The tokens of a program that count against its budget, excluding those of the request `except`.
    pub fn tokens_except(&self, program: &ProgramId, except: &RequestId) -> u64 {
        self.programs.get(program).map_or(0, |records| records.tokens_except(except))
    }

    /// The approximate size of all records in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    pub(crate) fn entry(&self, key: &RecordKey) -> Option<&RecordEntry> {
        self.programs.get(&key.program)?.records.get(&key.request)
    }

    pub(crate) fn entry_mut(&mut self, key: &RecordKey) -> Option<&mut RecordEntry> {
        self.programs.get_mut(&key.program)?.records.get_mut(&key.request)
    }

    /// The keys of the records in segments that `is_selected` accepts.
    pub(crate) fn keys_in_segments(&self, is_selected: impl Fn(u64) -> bool) -> Vec<RecordKey> {
        let mut keys = Vec::new();
        for (program, records) in &self.programs {
            for (request, entry) in &records.records {
                if entry.position.is_some_and(|position| is_selected(position.segment)) {
                    keys.push(RecordKey { program: program.clone(), request: request.clone() });
                }
            }
        }
        keys
    }

    /// Removes the programs that have expired; returns what was removed.
    pub(crate) fn remove_expired(&mut self, clock: ClockReading) -> ExpiredPrograms {
        let expired: Vec<ProgramId> = self
            .programs
            .iter()
            .filter(|(_, records)| records.expires_at <= clock.now)
            .map(|(program, _)| program.clone())
            .collect();
        let mut removed = ExpiredPrograms::default();
        for program in expired {
            let Some(records) = self.programs.remove(&program) else { continue };
            removed.programs += 1;
            for (request, entry) in records.records {
                self.bytes -= record_bytes(&entry.record);
                self.turns.remove(&(request, program.clone()));
                removed.reservations += u64::from(entry.record.state == RecordState::Reserved);
                removed.positions.extend(entry.position);
            }
        }
        removed
    }
}

/// The programs that expired at one time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExpiredPrograms {
    /// The number of programs.
    pub(crate) programs: u64,
    /// The number of their turns that were reserved and not committed.
    pub(crate) reservations: u64,
    /// The positions of their records on disk.
    pub(crate) positions: Vec<SegmentPosition>,
}

/// Converts the expiry of a record to the monotonic clock. This is done once, when the record arrives, so that a later
/// step of the wall clock does not expire it early.
fn expiry_time(record: &Record, clock: ClockReading) -> Time {
    let expires = Span::from_millis(record.expires_at_ms) + EXPIRY_SLACK;
    clock.now + (expires - Span::from_millis(clock.unix_time_ms))
}
