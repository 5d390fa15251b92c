//! The newest changes of a primary, retained for lagging replicas.

use std::collections::VecDeque;

use juniperwing_protocol::replication::{NumberedChange, Version};

/// The number of changes that are retained.
const MAX_RETAINED_CHANGES: usize = 256;

/// A change that this primary wrote.
#[derive(Clone, Debug)]
pub(crate) struct RetainedChange {
    /// The version that it was applied to.
    pub(crate) base: Version,
    /// The version that it produced.
    pub(crate) version: Version,
    /// The change, encoded.
    pub(crate) change: Vec<u8>,
}

impl RetainedChange {
    /// The change as it is sent.
    pub(crate) fn to_numbered_change(&self) -> NumberedChange {
        NumberedChange { version: self.version, change: self.change.clone() }
    }
}

/// The newest changes, in sequence. Their total size is limited to that of the state, because beyond it a
/// snapshot is smaller.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentChanges {
    entries: VecDeque<RetainedChange>,
    /// The size of all entries, encoded.
    total_bytes: usize,
}

impl RecentChanges {
    /// Appends a change and drops the oldest ones beyond the limits; the newest is always retained.
    pub(crate) fn push(&mut self, entry: RetainedChange, state_bytes: usize) {
        self.total_bytes += entry.change.len();
        self.entries.push_back(entry);
        while self.entries.len() > 1 && self.exceeds_limits(state_bytes) {
            if let Some(oldest) = self.entries.pop_front() {
                self.total_bytes -= oldest.change.len();
            }
        }
    }

    /// The changes that lead from `base` to the newest version; `None` if they are not all retained.
    pub(crate) fn since(&self, base: Version) -> Option<impl Iterator<Item = &RetainedChange>> {
        let first = self.entries.iter().position(|entry| entry.base == base)?;
        Some(self.entries.iter().skip(first))
    }

    fn exceeds_limits(&self, state_bytes: usize) -> bool {
        self.entries.len() > MAX_RETAINED_CHANGES || self.total_bytes > state_bytes
    }
}
