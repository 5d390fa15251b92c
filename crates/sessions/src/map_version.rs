//! The durable map version, below which a store ignores maps.
//!
//! A store that is the only one in sync may be allowed to acknowledge writes alone (`lost_replicas` in the map). That
//! permission ends when it reports that another store has caught up: the keepers may then make the other store primary
//! without its knowledge. A store that is killed after the report loses its memory of it, and a keeper that lags behind
//! could send it the old map, by which it would again acknowledge writes alone. Therefore the version of the map that
//! the report refers to is written to disk before the report is sent, and older maps are ignored after a restart.

/// The newest map version on disk and the version that is being written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DurableMapVersion {
    durable: u64,
    in_flight: Option<u64>,
}

impl DurableMapVersion {
    /// Recovers the version found on disk at startup.
    pub(crate) fn recover(&mut self, version: u64) {
        self.durable = self.durable.max(version);
    }

    /// The newest version on disk.
    pub(crate) fn durable(&self) -> u64 {
        self.durable
    }

    /// Starts a write of this version and returns `true`, unless it is not newer than the one on disk or a write is in
    /// flight.
    pub(crate) fn start_write(&mut self, version: u64) -> bool {
        if self.durable >= version || self.in_flight.is_some() {
            return false;
        }
        self.in_flight = Some(version);
        true
    }

    /// Records that the version is on disk.
    pub(crate) fn complete_write(&mut self, version: u64) {
        self.in_flight = None;
        self.recover(version);
    }

    /// Records that the write failed; the next report starts another.
    pub(crate) fn fail_write(&mut self) {
        self.in_flight = None;
    }
}
