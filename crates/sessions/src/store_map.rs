//! Application of the store maps that the keepers publish.

use std::sync::Arc;

use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::PartitionId;
use juniperwing_protocol::subscription::StoreMap;

use crate::store::Store;

impl Store {
    /// Applies a map unless it is not newer than the current one, or is older than the version on disk.
    pub(crate) fn handle_store_map(&mut self, map: Arc<StoreMap>) {
        if map.version <= self.map.version || map.version < self.durable_map_version.durable() {
            return;
        }
        let previous = std::mem::replace(&mut self.map, map);
        check(Invariant::StoreMapVersionNeverDecreases, previous.version < self.map.version, || {
            format!("disk {}, map {} after {}", self.disk.0, self.map.version, previous.version)
        });
        let count = self.map.partitions.len().max(previous.partitions.len()) as u16;
        for partition in (0..count).map(PartitionId) {
            if previous.assignment(partition) != self.map.assignment(partition) {
                self.handle_reassignment(partition);
            }
        }
        self.resume_transfers();
    }

    fn handle_reassignment(&mut self, partition: PartitionId) {
        let assignment = self.map.assignment(partition);
        let is_primary = assignment.is_some_and(|assignment| assignment.primary == self.disk);
        if is_primary {
            self.update_led_partition(partition);
            self.reevaluate_writes(partition);
        } else if self.led_partitions.remove(&partition).is_some() {
            self.abandon_writes(partition);
        }
        if !is_primary || self.is_synchronized(partition) {
            self.resume_requests(partition);
        }
    }
}
