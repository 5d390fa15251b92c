//! Rendezvous hashing of partitions over stores, spread over zones.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_protocol::subscription::{Assignment, StoreNode};
use juniperwing_protocol::{DiskId, EpochNumber, PartitionId};

/// The number of partitions; it never changes in the life of a tier.
pub const PARTITION_COUNT: u16 = 32;

/// Replicas of a partition beyond those required, where there are stores for them: after a loss the others
/// are enough without copying.
pub const EXTRA_REPLICAS: usize = 1;

/// How many replicas and how many primaries each store has.
#[derive(Clone, Debug, Default)]
pub(crate) struct Load {
    replicas: BTreeMap<DiskId, usize>,
    primaries: BTreeMap<DiskId, usize>,
}

impl Load {
    /// Counts what a store map's partitions put on each store.
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

    /// Counts a further replica.
    pub(crate) fn add_replica(&mut self, disk: DiskId) {
        *self.replicas.entry(disk).or_default() += 1;
    }

    /// Counts that a partition's primary moves.
    pub(crate) fn move_primary(&mut self, from: DiskId, to: DiskId) {
        if let Some(count) = self.primaries.get_mut(&from) {
            *count = count.saturating_sub(1);
        }
        *self.primaries.entry(to).or_default() += 1;
    }
}

/// The rendezvous weight of a store for a partition.
pub(crate) fn weight(partition: PartitionId, disk: DiskId) -> u64 {
    // The finaliser of SplitMix64: the same on every machine and in every version.
    let mut mixed = disk.0 ^ u64::from(partition.0).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The store that should be the next replica beside `members`: one in a zone that has none, then one that is
/// not loaded beyond its share, then the one of the highest weight.
pub(crate) fn next_replica(
    partition: PartitionId, eligible: &BTreeMap<DiskId, StoreNode>, members: &[DiskId],
    member_zones: &BTreeSet<&str>, load: &Load, share: usize,
) -> Option<DiskId> {
    let candidates = eligible.values().filter(|store| !members.contains(&store.disk));
    let best = candidates.min_by_key(|store| {
        let same_zone = member_zones.contains(&*store.zone);
        let beyond_share = load.replicas(store.disk).saturating_sub(share);
        (same_zone, beyond_share, u64::MAX - weight(partition, store.disk))
    });
    best.map(|store| store.disk)
}

/// The first assignment of all partitions.
pub(crate) fn first_assignments(eligible: &BTreeMap<DiskId, StoreNode>, replicas: usize) -> Vec<Assignment> {
    let mut load = Load::default();
    let share = (usize::from(PARTITION_COUNT) * replicas).div_ceil(eligible.len().max(1));
    let mut assignments = Vec::new();
    for partition in (0..PARTITION_COUNT).map(PartitionId) {
        let members = first_members(partition, eligible, replicas, &load, share.saturating_sub(1));
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

fn first_members(
    partition: PartitionId, eligible: &BTreeMap<DiskId, StoreNode>, replicas: usize, load: &Load,
    share: usize,
) -> Vec<DiskId> {
    let mut members = Vec::new();
    let mut zones = BTreeSet::new();
    while members.len() < replicas {
        let next = next_replica(partition, eligible, &members, &zones, load, share);
        let Some(disk) = next else { break };
        zones.extend(eligible.get(&disk).map(|store| &*store.zone));
        members.push(disk);
    }
    members
}
