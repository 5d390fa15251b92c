//! The list of endpoints.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{EndpointEntry, EndpointId, Readiness};

/// The known endpoints.
#[derive(Default)]
pub(crate) struct EndpointList {
    pub(crate) entries: BTreeMap<EndpointId, EndpointEntry>,
    /// The list stored by an earlier process, held back until discovery has responded or a request has failed.
    pub(crate) cached_snapshot: Option<Vec<EndpointEntry>>,
    /// The number of consecutive failed requests.
    pub(crate) consecutive_failures: i32,
    /// Whether a timer for the next request is set.
    pub(crate) is_retry_scheduled: bool,
}

impl EndpointList {
    /// The known entries that are absent from a complete list, marked as deleted.
    pub(crate) fn missing_from(&self, snapshot: &[EndpointEntry]) -> Vec<EndpointEntry> {
        let present: BTreeSet<&EndpointId> = snapshot.iter().map(|entry| &entry.endpoint).collect();
        let missing = self.entries.values().filter(|old| !present.contains(&old.endpoint));
        missing.map(|old| EndpointEntry { readiness: Readiness::Deleted, ..old.clone() }).collect()
    }
}
