//! The list of endpoints.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{EndpointEntry, EndpointId, Readiness};

/// The list of endpoints, as far as it is known.
#[derive(Default)]
pub(crate) struct EndpointList {
    pub(crate) entries: BTreeMap<EndpointId, EndpointEntry>,
    /// The list of an earlier process, until discovery has answered or is known to be unreachable.
    pub(crate) cached_snapshot: Option<Vec<EndpointEntry>>,
    /// Failed requests in a row.
    pub(crate) consecutive_failures: i32,
    /// Whether a timer for the next request runs.
    pub(crate) is_retry_scheduled: bool,
}

impl EndpointList {
    /// The entries that a complete list leaves out, as deleted.
    pub(crate) fn missing_from(&self, snapshot: &[EndpointEntry]) -> Vec<EndpointEntry> {
        let present: BTreeSet<&EndpointId> = snapshot.iter().map(|entry| &entry.endpoint).collect();
        let missing = self.entries.values().filter(|old| !present.contains(&old.endpoint));
        missing.map(|old| EndpointEntry { readiness: Readiness::Deleted, ..old.clone() }).collect()
    }
}
