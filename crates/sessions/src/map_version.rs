//! The map version that a store must not fall behind, on its disk.
//!
//! A store that is the only one in sync may have to decide alone (`lost_copies` of the map). That ends with its own
//! report that another store has caught up: the keepers may then make the other one primary without its knowledge.
//! A store that was killed after the report has forgotten it, and a keeper that lags behind could tell it the old
//! map, by which it would decide alone once more. Therefore the version of the map by which the report is given is
//! on disk before the report, and after a start older maps count for nothing.

/// The newest version on disk, and the one that is being written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DurableMapVersion {
    durable: u64,
    in_flight: Option<u64>,
}

impl DurableMapVersion {
    /// The version found on disk at the start.
    pub(crate) fn recover(&mut self, version: u64) {
        self.durable = self.durable.max(version);
    }

    /// The newest version on disk.
    pub(crate) fn durable(&self) -> u64 {
        self.durable
    }

    /// Asks for a version on disk; `true` if it is to be written now.
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

    /// The disk has refused; the next report asks again.
    pub(crate) fn fail_write(&mut self) {
        self.in_flight = None;
    }
}
