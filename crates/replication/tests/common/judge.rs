//! Judges what keepers show, acknowledge and refuse.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_protocol::replication::Version;
use juniperwing_replication::{ProposeError, ProposeToken, ReadError, ReadToken};

use super::log::Log;

#[derive(Debug, Default)]
pub struct Judge {
    /// The longest committed list shown so far; every other must be a beginning of it.
    committed: Vec<u64>,
    /// The version of each committed list that was shown.
    versions: BTreeMap<u64, Version>,
    /// What each proposal under way was computed on.
    bases: BTreeMap<ProposeToken, Version>,
    /// The newest version that each life of a keeper has shown.
    shown: BTreeMap<usize, Version>,
    /// The length of the newest acknowledged list.
    newest: u64,
    acknowledged: BTreeSet<u64>,
    refused: BTreeSet<u64>,
    /// Reads under way, and what was acknowledged before each.
    reads: BTreeMap<ReadToken, u64>,
    pub reads_confirmed: u64,
}

impl Judge {
    pub fn begin_life(&mut self, index: usize) {
        self.shown.remove(&index);
    }

    pub fn ends_life(&mut self, index: usize) {
        self.shown.remove(&index);
    }

    /// A keeper shows a committed state.
    pub fn show(&mut self, index: usize, version: Version, state: &Log) {
        assert_eq!(state.0.len() as u64, version.sequence, "the sequence counts all writes");
        let common = state.0.len().min(self.committed.len());
        assert_eq!(state.0[..common], self.committed[..common], "a committed write is lost");
        if state.0.len() > self.committed.len() {
            self.committed = state.0.clone();
        }
        let same = *self.versions.entry(version.sequence).or_insert(version);
        assert_eq!(same, version, "two versions of one list");
        let before = self.shown.insert(index, version);
        assert!(before.is_none_or(|before| before <= version), "keeper {index} goes back");
        let refused = state.0.iter().find(|entry| self.refused.contains(entry));
        assert_eq!(refused, None, "a refused change is in force");
    }

    pub fn proposal_begins(&mut self, token: ProposeToken, base: Version) {
        self.bases.insert(token, base);
    }

    pub fn proposed(&mut self, token: ProposeToken, outcome: Result<Version, ProposeError>) {
        let base = self.bases.remove(&token);
        match outcome {
            Ok(version) => {
                let base = base.expect("a proposal under way");
                assert_eq!(base.sequence + 1, version.sequence, "made on another base");
                let shown = self.versions.get(&base.sequence);
                assert!(shown.is_none_or(|shown| *shown == base), "made on a base that is not in force");
                let place = version.sequence as usize - 1;
                assert_eq!(self.committed.get(place), Some(&token.0), "acknowledged, not committed");
                assert!(self.acknowledged.insert(token.0), "acknowledged twice");
                self.newest = self.newest.max(version.sequence);
            }
            Err(ProposeError::Unknown) => {}
            Err(_) => {
                assert!(!self.committed.contains(&token.0), "refused, and in force");
                self.refused.insert(token.0);
            }
        }
    }

    pub fn read_begins(&mut self, token: ReadToken) {
        self.reads.insert(token, self.newest);
    }

    pub fn read_done(&mut self, token: ReadToken, outcome: Result<(), ReadError>, shown: Option<Version>) {
        let floor = self.reads.remove(&token).expect("a read under way");
        if outcome.is_ok() {
            let shown = shown.expect("a committed state");
            assert!(shown.sequence >= floor, "read {} after {floor} was acknowledged", shown.sequence);
            self.reads_confirmed += 1;
        }
    }

    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }
}
