//! Routing: maps programs and partitions to their primaries according to the store map.

use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_protocol::session::PartitionEpoch;
use juniperwing_protocol::subscription::StoreMap;
use juniperwing_protocol::{EpochNumber, PartitionId, ProgramId};

use crate::sync::watch;

/// The primary of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PartitionPrimary {
    pub(super) partition: PartitionId,
    pub(super) epoch: EpochNumber,
    pub(super) address: SocketAddr,
}

/// The partitions that one store leads; never empty.
pub(super) struct LedPartitions {
    pub(super) address: SocketAddr,
    pub(super) partitions: Vec<PartitionEpoch>,
}

/// Returns the primary of a program's partition; `None` if the map names none.
pub(super) fn primary_of(map: &StoreMap, program: &ProgramId) -> Option<PartitionPrimary> {
    let partition = map.partition_of(&program.0)?;
    let assignment = map.assignment(partition)?;
    let address = map.store(assignment.primary)?.address;
    Some(PartitionPrimary { partition, epoch: assignment.epoch, address })
}

/// Returns the in-sync replicas of a program's partition, the primary among them.
pub(super) fn replicas_of(map: &StoreMap, program: &ProgramId) -> Vec<PartitionPrimary> {
    let Some(partition) = map.partition_of(&program.0) else { return Vec::new() };
    let Some(assignment) = map.assignment(partition) else { return Vec::new() };
    let addresses = assignment.in_sync.iter().filter_map(|disk| Some(map.store(*disk)?.address));
    addresses.map(|address| PartitionPrimary { partition, epoch: assignment.epoch, address }).collect()
}

/// Waits until the map names a primary or epoch other than `current` for a program.
pub(super) async fn wait_until_replaced(
    map: &mut watch::Receiver<Arc<StoreMap>>, program: &ProgramId, current: PartitionPrimary,
) {
    while map.changed().await.is_ok() {
        if primary_of(&map.borrow_and_update(), program).is_some_and(|newest| newest != current) {
            return;
        }
    }
    // The sender of the map is gone, so it will not change again.
    pending().await
}

/// Groups all partitions by their primary; `None` if there are no partitions or a primary is not in the map's list of
/// stores.
pub(super) fn partitions_by_primary(map: &StoreMap) -> Option<Vec<LedPartitions>> {
    let mut by_primary = BTreeMap::new();
    for (number, assignment) in map.partitions.iter().enumerate() {
        let address = map.store(assignment.primary)?.address;
        let led = by_primary
            .entry(assignment.primary)
            .or_insert_with(|| LedPartitions { address, partitions: Vec::new() });
        let partition = PartitionId(u16::try_from(number).ok()?);
        led.partitions.push(PartitionEpoch { partition, epoch: assignment.epoch });
    }
    (!by_primary.is_empty()).then(|| by_primary.into_values().collect())
}
