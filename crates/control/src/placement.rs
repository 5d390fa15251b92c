//! Rendezvous hashing of partitions over stores, spread over zones.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_protocol::subscription::{Assignment, StoreNode};
use juniperwing_protocol::{DiskId, EpochNumber, PartitionId};

/// The number of partitions; fixed for the lifetime of a tier.
pub const PARTITION_COUNT: u16 = 32;

/// Replicas of a partition in addition to the required ones, if enough stores are eligible. After the loss of
/// one replica, the others are enough without copying data.
pub const EXTRA_REPLICAS: usize = 1;

/// The number of replicas and of primaries on each store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Load {
    replicas: BTreeMap<DiskId, usize>,
    primaries: BTreeMap<DiskId, usize>,
}

impl Load {
    /// The load that the assignments put on each store.
    pub(crate) fn of(partitions: &[Assignment]) -> Self {
        let mut load = Load::default();
        for assignment in partitions {
            load.add(assignment);
        }
        load
    }

    pub(crate) fn add(&mut self, assignment: &Assignment) {
        for disk in assignment.in_sync.iter().chain(&assignment.joining) {
            *self.replicas.entry(*disk).or_default() += 1;
        }
        *self.primaries.entry(assignment.primary).or_default() += 1;
    }

    pub(crate) fn replicas(&self, disk: DiskId) -> usize {
        self.replicas.get(&disk).copied().unwrap_or(0)
    }

    pub(crate) fn primaries(&self, disk: DiskId) -> usize {
        self.primaries.get(&disk).copied().unwrap_or(0)
    }

    /// Counts an additional replica.
    pub(crate) fn add_replica(&mut self, disk: DiskId) {
        *self.replicas.entry(disk).or_default() += 1;
    }

    /// Counts the move of a partition's primary.
    pub(crate) fn move_primary(&mut self, from: DiskId, to: DiskId) {
        if let Some(count) = self.primaries.get_mut(&from) {
            *count = count.saturating_sub(1);
        }
        *self.primaries.entry(to).or_default() += 1;
    }
}

/// The rendezvous weight of a store for a partition.
pub(crate) fn weight(partition: PartitionId, disk: DiskId) -> u64 {
    // The SplitMix64 finalizer. The result must be the same on all machines and in all releases.
    let mut mixed = disk.0 ^ u64::from(partition.0).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Selects a store for one more replica, in addition to `members`: preferably in a zone without a replica,
/// then on a store that does not exceed `max_replicas_per_store`, then by the highest rendezvous weight.
pub(crate) fn next_replica(
    partition: PartitionId, eligible: &BTreeMap<DiskId, StoreNode>, members: &[DiskId],
    member_zones: &BTreeSet<&str>, load: &Load, max_replicas_per_store: usize,
) -> Option<DiskId> {
    let candidates = eligible.values().filter(|store| !members.contains(&store.disk));
    let best = candidates.min_by_key(|store| {
        let same_zone = member_zones.contains(&*store.zone);
        let excess_replicas = load.replicas(store.disk).saturating_sub(max_replicas_per_store);
        (same_zone, excess_replicas, u64::MAX - weight(partition, store.disk))
    });
    best.map(|store| store.disk)
}

/// Replicas per store, rounded up, if all partitions were spread evenly over the eligible stores.
pub(crate) fn balanced_replicas_per_store(replicas: usize, eligible_stores: usize) -> usize {
    (usize::from(PARTITION_COUNT) * replicas).div_ceil(eligible_stores.max(1))
}

/// The initial assignment of all partitions.
pub(crate) fn initial_assignments(
    eligible: &BTreeMap<DiskId, StoreNode>, replicas: usize,
) -> Vec<Assignment> {
    let mut load = Load::default();
    let max_replicas_per_store = balanced_replicas_per_store(replicas, eligible.len());
    let mut assignments = Vec::new();
    for partition in (0..PARTITION_COUNT).map(PartitionId) {
        let members =
            initial_replicas(partition, eligible, replicas, &load, max_replicas_per_store.saturating_sub(1));
        let by_load = |disk: &&DiskId| (load.primaries(**disk), u64::MAX - weight(partition, **disk));
        let primary = members.iter().min_by_key(by_load).copied().unwrap_or_default();
        let assignment = Assignment {
            epoch: EpochNumber(1),
            primary,
            in_sync: members,
            joining: Vec::new(),
            lost_replicas: 0,
        };
        load.add(&assignment);
        assignments.push(assignment);
    }
    assignments
}

/// The initial in-sync replicas of a partition.
fn initial_replicas(
    partition: PartitionId, eligible: &BTreeMap<DiskId, StoreNode>, replicas: usize, load: &Load,
    max_replicas_per_store: usize,
) -> Vec<DiskId> {
    let mut members = Vec::new();
    let mut zones = BTreeSet::new();
    while members.len() < replicas {
        let next = next_replica(partition, eligible, &members, &zones, load, max_replicas_per_store);
        let Some(disk) = next else { break };
        zones.extend(eligible.get(&disk).map(|store| &*store.zone));
        members.push(disk);
    }
    members
}
