//! Computes the store map that follows the one in force.
//!
//! A store enters `in_sync` of a partition only with the first map, or after the partition's primary has
//! reported that it caught up. From that report on, the primary must wait for the store's acknowledgement of
//! every further write, even before the map names the store: the map that admits it may come into force at any
//! time, and may make it primary next. A store leaves `in_sync` when it is lost and another one of them is seen; the
//! last one never does.
//!
//! Fewer replicas than required suffice (`lost_replicas`) only while no other store could hold one, because the
//! loss of all others is certain: the fault model allows no further loss of a disk until they have been back for
//! the catch-up time. As soon as one of them returns, the full number is required again.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use juniperwing_protocol::subscription::{Assignment, CaughtUp, StoreMap, StoreNode};
use juniperwing_protocol::{DiskId, EpochNumber, PartitionId};

use crate::placement::{
    EXTRA_REPLICAS, Load, PARTITION_COUNT, balanced_replicas_per_store, first_assignments, next_replica,
};
use crate::state::ControlState;
use crate::tracker::StoreView;

/// The number of primaries that one plan moves to balance the load.
const MAX_PRIMARY_MOVES_PER_PLAN: usize = 4;

/// The input of [`plan_store_map`].
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'input> {
    /// The committed state.
    pub state: &'input ControlState,
    /// The live and the lost stores.
    pub view: &'input StoreView,
    /// Reports of the partitions' primaries; only those of the present epochs count.
    pub caught_up_reports: &'input [CaughtUp],
    /// The number of replicas that must hold every acknowledged write.
    pub required_replicas: usize,
}

/// The store map to propose now; `None` if the present one stays in force.
pub fn plan_store_map(input: PlanInput) -> Option<Arc<StoreMap>> {
    let planner = Planner::new(input);
    let present = &input.state.store_map;
    let partitions = if present.partitions.is_empty() {
        planner.first_assignments()?
    } else {
        planner.next_assignments(&present.partitions)
    };
    let stores = planner.named_stores(&partitions);
    if partitions == present.partitions && stores == present.stores {
        return None;
    }
    Some(Arc::new(StoreMap { version: present.version + 1, stores, partitions }))
}

/// Partitions whose in-sync replicas were all on disks that have been replaced.
pub fn unrecoverable_partitions(state: &ControlState, view: &StoreView) -> Vec<PartitionId> {
    let replaced = replaced_disks(&state.store_map.stores, &view.alive);
    let is_lost = |assignment: &Assignment| assignment.in_sync.iter().all(|disk| replaced.contains(disk));
    let partitions = (0..PARTITION_COUNT).map(PartitionId).zip(&state.store_map.partitions);
    partitions.filter(|(_, assignment)| is_lost(assignment)).map(|(partition, _)| partition).collect()
}

/// Disks whose machine came back with another disk: they will not return.
fn replaced_disks(placed: &[StoreNode], alive: &BTreeMap<DiskId, StoreNode>) -> BTreeSet<DiskId> {
    let is_replaced = |store: &&StoreNode| {
        !alive.contains_key(&store.disk) && alive.values().any(|other| other.node == store.node)
    };
    placed.iter().filter(is_replaced).map(|store| store.disk).collect()
}

/// Computes the assignments of one plan.
struct Planner<'input> {
    input: PlanInput<'input>,
    /// Live stores that are not retiring: they may be given replicas.
    eligible: BTreeMap<DiskId, StoreNode>,
    /// Disks of the present map that will not return.
    replaced: BTreeSet<DiskId>,
    /// The number of replicas that each partition should have.
    target_replicas: usize,
}

impl<'input> Planner<'input> {
    fn new(input: PlanInput<'input>) -> Self {
        let alive = &input.view.alive;
        let eligible: BTreeMap<DiskId, StoreNode> = alive
            .iter()
            .filter(|(disk, _)| !input.state.is_retiring(**disk))
            .map(|(disk, store)| (*disk, store.clone()))
            .collect();
        let replaced = replaced_disks(&input.state.store_map.stores, alive);
        let target_replicas = (input.required_replicas + EXTRA_REPLICAS).min(eligible.len());
        Planner { input, eligible, replaced, target_replicas }
    }

    /// The assignments of a tier's first map; `None` while too few stores have joined.
    fn first_assignments(&self) -> Option<Vec<Assignment>> {
        let is_ready =
            self.input.view.is_initial_wait_over && self.eligible.len() >= self.input.required_replicas;
        is_ready.then(|| first_assignments(&self.eligible, self.target_replicas))
    }

    /// The assignments that follow `present`. Each changed assignment gets the next epoch.
    fn next_assignments(&self, present: &[Assignment]) -> Vec<Assignment> {
        let mut load = Load::of(present);
        let mut next = Vec::with_capacity(present.len());
        for (partition, assignment) in (0..).map(PartitionId).zip(present) {
            let mut planned = assignment.clone();
            self.remove_lost_replicas(&mut planned);
            self.admit_caught_up_replicas(partition, assignment, &mut planned);
            self.remove_retiring_replicas(&mut planned);
            self.choose_primary(&mut planned, &mut load);
            self.add_joining_replicas(partition, &mut planned, &mut load);
            planned.lost_replicas = self.allowed_lost_replicas(&planned, assignment.lost_replicas);
            next.push(planned);
        }
        if self.input.view.is_stable && next == *present {
            self.balance_primaries(&mut next, &mut load);
        }
        for (planned, assignment) in next.iter_mut().zip(present) {
            if planned != assignment {
                planned.epoch = EpochNumber(assignment.epoch.0 + 1);
            }
        }
        next
    }

    /// Removes lost stores, but never all of `in_sync`, and no store that may still return while none of the others is
    /// seen: where several vanish at nearly the same time, the one that counts as lost first may be the one that keeps
    /// its disk.
    fn remove_lost_replicas(&self, planned: &mut Assignment) {
        let lost = &self.input.view.lost;
        planned.joining.retain(|disk| !lost.contains(disk) && !self.replaced.contains(disk));
        retain_unless_empty(&mut planned.in_sync, |disk| !self.replaced.contains(&disk));
        if planned.in_sync.iter().any(|disk| self.input.view.alive.contains_key(disk)) {
            planned.in_sync.retain(|disk| !lost.contains(disk));
        }
    }

    /// Moves stores to `in_sync` that caught up in the present epoch with a primary that stays.
    fn admit_caught_up_replicas(
        &self, partition: PartitionId, present: &Assignment, planned: &mut Assignment,
    ) {
        let primary_stays = planned.in_sync.contains(&present.primary)
            && self.input.view.alive.contains_key(&present.primary);
        if !primary_stays {
            return;
        }
        for report in self.input.caught_up_reports {
            let is_current = report.partition == partition && report.epoch == present.epoch;
            if is_current && planned.joining.contains(&report.replica) {
                planned.joining.retain(|disk| *disk != report.replica);
                planned.in_sync.push(report.replica);
            }
        }
    }

    /// Removes retiring stores once enough other replicas are in sync.
    fn remove_retiring_replicas(&self, planned: &mut Assignment) {
        let is_retiring = |disk: DiskId| self.input.state.is_retiring(disk);
        planned.joining.retain(|disk| !is_retiring(*disk));
        let live_others = planned
            .in_sync
            .iter()
            .filter(|disk| !is_retiring(**disk) && self.input.view.alive.contains_key(disk))
            .count();
        if live_others >= self.target_replicas.max(self.input.required_replicas) {
            planned.in_sync.retain(|disk| !is_retiring(*disk));
        }
    }

    /// Chooses another primary if the present one is not in sync.
    fn choose_primary(&self, planned: &mut Assignment, load: &mut Load) {
        if planned.in_sync.contains(&planned.primary) {
            return;
        }
        let is_alive = |disk: DiskId| self.input.view.alive.contains_key(&disk);
        let is_retiring = |disk: DiskId| self.input.state.is_retiring(disk);
        let preference =
            |disk: &&DiskId| (!is_alive(**disk), is_retiring(**disk), load.primaries(**disk), **disk);
        if let Some(chosen) = planned.in_sync.iter().min_by_key(preference).copied() {
            load.move_primary(planned.primary, chosen);
            planned.primary = chosen;
        }
    }

    /// Adds joining replicas while the partition has too few.
    fn add_joining_replicas(&self, partition: PartitionId, planned: &mut Assignment, load: &mut Load) {
        let max_replicas_per_store = balanced_replicas_per_store(self.target_replicas, self.eligible.len());
        while self.lacks_replicas(planned) {
            let members: Vec<DiskId> = planned.in_sync.iter().chain(&planned.joining).copied().collect();
            let zones: BTreeSet<&str> =
                members.iter().filter_map(|disk| self.eligible.get(disk)).map(|store| &*store.zone).collect();
            let next =
                next_replica(partition, &self.eligible, &members, &zones, load, max_replicas_per_store);
            let Some(disk) = next else { return };
            planned.joining.push(disk);
            load.add_replica(disk);
        }
    }

    /// The number of required replicas that may be missing: 0 while another store could hold one. Once allowed, it
    /// stays allowed until another store is reported, also at a keeper that has no reports yet.
    fn allowed_lost_replicas(&self, planned: &Assignment, before: u16) -> u16 {
        let missing = self.input.required_replicas.saturating_sub(planned.in_sync.len());
        let missing = u16::try_from(missing).unwrap_or(u16::MAX);
        let others_seen = self.eligible.keys().any(|disk| !planned.in_sync.contains(disk));
        if others_seen || !planned.joining.is_empty() {
            return 0;
        }
        if missing <= before || self.are_others_lost(planned) { missing } else { 0 }
    }

    /// Whether the loss of every store that is not in sync is certain, or the store is replaced or retiring.
    fn are_others_lost(&self, planned: &Assignment) -> bool {
        let view = self.input.view;
        let known =
            self.input.state.store_map.stores.iter().map(|store| &store.disk).chain(view.alive.keys());
        let mut others = known.filter(|disk| !planned.in_sync.contains(disk));
        others.all(|disk| {
            view.confirmed_lost.contains(disk)
                || self.replaced.contains(disk)
                || self.input.state.is_retiring(*disk)
        })
    }

    /// Whether another replica should join. While enough replicas are left, a recently lost store is expected
    /// back, unless a store is retiring: the operator set a time limit for that.
    fn lacks_replicas(&self, planned: &Assignment) -> bool {
        let members = planned.in_sync.iter().chain(&planned.joining);
        let staying = members.filter(|disk| self.eligible.contains_key(disk)).count();
        let unseen = planned.in_sync.iter().filter(|disk| !self.input.view.alive.contains_key(disk)).count();
        if staying + unseen >= self.target_replicas {
            return false;
        }
        let has_retiring = planned.in_sync.iter().any(|disk| self.input.state.is_retiring(*disk));
        let returning = if has_retiring { 0 } else { self.returning_stores(planned) };
        staying < self.input.required_replicas || staying + unseen + returning < self.target_replicas
    }

    /// The number of recently lost stores that may return.
    fn returning_stores(&self, planned: &Assignment) -> usize {
        let view = self.input.view;
        let recent = view.lost.difference(&view.replaceable);
        let expected = recent.filter(|disk| {
            !planned.in_sync.contains(disk)
                && !self.replaced.contains(disk)
                && !self.input.state.is_retiring(**disk)
        });
        expected.count()
    }

    /// Moves a few primaries to in-sync stores with fewer primaries.
    fn balance_primaries(&self, planned: &mut [Assignment], load: &mut Load) {
        let mut moves = 0;
        for assignment in planned {
            if moves == MAX_PRIMARY_MOVES_PER_PLAN {
                return;
            }
            let candidates = assignment.in_sync.iter().filter(|disk| self.eligible.contains_key(disk));
            let Some(least) = candidates.min_by_key(|disk| (load.primaries(**disk), **disk)).copied() else {
                continue;
            };
            if load.primaries(assignment.primary) >= load.primaries(least) + 2 {
                load.move_primary(assignment.primary, least);
                assignment.primary = least;
                moves += 1;
            }
        }
    }

    /// The stores that the map names: live stores, recently lost ones, and all that hold a replica.
    fn named_stores(&self, partitions: &[Assignment]) -> Vec<StoreNode> {
        let holders: BTreeSet<DiskId> = partitions
            .iter()
            .flat_map(|assignment| assignment.in_sync.iter().chain(&assignment.joining))
            .copied()
            .collect();
        let mut named: BTreeMap<DiskId, StoreNode> = BTreeMap::new();
        for store in &self.input.state.store_map.stores {
            let recent =
                !self.input.view.replaceable.contains(&store.disk) && !self.replaced.contains(&store.disk);
            if holders.contains(&store.disk) || recent {
                named.insert(store.disk, store.clone());
            }
        }
        // A live store may have another address now.
        named.extend(self.input.view.alive.iter().map(|(disk, store)| (*disk, store.clone())));
        named.into_values().collect()
    }
}

/// Retains the disks for which `keep` holds, or all if it holds for none.
fn retain_unless_empty(disks: &mut Vec<DiskId>, keep: impl Fn(DiskId) -> bool) {
    if disks.iter().any(|disk| keep(*disk)) {
        disks.retain(|disk| keep(*disk));
    }
}
