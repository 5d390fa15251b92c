//! Checks the consistency of committed states, acknowledgements, rejections and reads.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_protocol::replication::Version;
use juniperwing_replication::{ProposeError, ProposeToken, ReadError, ReadToken};

use super::log::Log;

#[derive(Debug, Default)]
pub struct ConsistencyChecker {
    /// The longest committed list so far; every other one must be a prefix of it.
    committed: Vec<u64>,
    /// The version of each committed list, by its length.
    versions: BTreeMap<u64, Version>,
    /// The base of each pending proposal.
    pending_proposals: BTreeMap<ProposeToken, Version>,
    /// The newest committed version of each running process.
    committed_by_process: BTreeMap<usize, Version>,
    /// The length of the newest acknowledged list.
    acknowledged_length: u64,
    acknowledged: BTreeSet<u64>,
    rejected: BTreeSet<u64>,
    /// Each pending read with the length of the list that had been acknowledged before it.
    pending_reads: BTreeMap<ReadToken, u64>,
    pub confirmed_reads: u64,
}

impl ConsistencyChecker {
    pub fn process_started(&mut self, machine: usize) {
        self.committed_by_process.remove(&machine);
    }

    pub fn process_ended(&mut self, machine: usize) {
        self.committed_by_process.remove(&machine);
    }

    /// Checks a committed state that a keeper reports.
    pub fn state_committed(&mut self, machine: usize, version: Version, state: &Log) {
        assert_eq!(
            state.0.len() as u64,
            version.sequence,
            "the sequence number differs from the number of writes"
        );
        let common = state.0.len().min(self.committed.len());
        assert_eq!(state.0[..common], self.committed[..common], "a committed write was lost");
        if state.0.len() > self.committed.len() {
            self.committed = state.0.clone();
        }
        let first = *self.versions.entry(version.sequence).or_insert(version);
        assert_eq!(first, version, "one committed list has two versions");
        let before = self.committed_by_process.insert(machine, version);
        assert!(before.is_none_or(|before| before <= version), "the version of keeper {machine} decreases");
        let rejected = state.0.iter().find(|entry| self.rejected.contains(entry));
        assert_eq!(rejected, None, "a rejected change has taken effect");
    }

    pub fn proposal_started(&mut self, token: ProposeToken, base: Version) {
        self.pending_proposals.insert(token, base);
    }

    pub fn proposal_completed(&mut self, token: ProposeToken, outcome: Result<Version, ProposeError>) {
        let base = self.pending_proposals.remove(&token);
        match outcome {
            Ok(version) => {
                let base = base.expect("a pending proposal");
                assert_eq!(base.sequence + 1, version.sequence, "the change was applied to another base");
                let committed = self.versions.get(&base.sequence);
                assert!(committed.is_none_or(|committed| *committed == base), "the base is not committed");
                let position = version.sequence as usize - 1;
                assert_eq!(
                    self.committed.get(position),
                    Some(&token.0),
                    "the acknowledged change is not committed"
                );
                assert!(self.acknowledged.insert(token.0), "the change was acknowledged twice");
                self.acknowledged_length = self.acknowledged_length.max(version.sequence);
            }
            Err(ProposeError::Unknown) => {}
            Err(_) => {
                assert!(!self.committed.contains(&token.0), "the rejected change has taken effect");
                self.rejected.insert(token.0);
            }
        }
    }

    pub fn read_started(&mut self, token: ReadToken) {
        self.pending_reads.insert(token, self.acknowledged_length);
    }

    /// A read has completed at a keeper whose committed version is `committed`.
    pub fn read_completed(
        &mut self, token: ReadToken, outcome: Result<(), ReadError>, committed: Option<Version>,
    ) {
        let min_length = self.pending_reads.remove(&token).expect("a pending read");
        if outcome.is_ok() {
            let length = committed.expect("a committed state").sequence;
            assert!(
                length >= min_length,
                "a read returned length {length}, but {min_length} was acknowledged before it"
            );
            self.confirmed_reads += 1;
        }
    }

    pub fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }
}
