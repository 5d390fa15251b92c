//! The version of the map that a store must not fall behind, on its disk.
//!
//! A store that is the only one in sync may have to decide alone (`lost_replicas` of the map). That ends with its own
//! report that another store has caught up: the keepers may then make the other one primary without its knowledge.
//! A store that was killed after the report has forgotten it, and a keeper that lags behind could send it the old
//! map, by which it would decide alone once more. Therefore the version of the map by which the report is made is
//! on disk before the report, and after a start older maps are ignored.

/// The newest version on disk, and the one that is being written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DurableMapVersion {
    durable: u64,
    in_flight: Option<u64>,
}

impl DurableMapVersion {
    /// Takes over the version found on disk at the start.
    pub(crate) fn recover(&mut self, version: u64) {
        self.durable = self.durable.max(version);
    }

    /// The newest version on disk.
    pub(crate) fn durable(&self) -> u64 {
        self.durable
    }

    /// Whether this version is to be written now: it is newer than the one on disk, and no write is in flight.
    pub(crate) fn start_write(&mut self, version: u64) -> bool {
        if self.durable >= version || self.in_flight.is_some() {
            return false;
        }
        self.in_flight = Some(version);
        true
    }

    /// The version is on disk.
    pub(crate) fn complete_write(&mut self, version: u64) {
        self.in_flight = None;
        self.recover(version);
    }

    /// The write has failed; the next report starts another.
    pub(crate) fn fail_write(&mut self) {
        self.in_flight = None;
    }
}
