//! Computes the successor of the current store map.
//!
//! A store enters `in_sync` of a partition only with the first map, or after the partition's primary has
//! reported that it caught up. From that report on, the primary must wait for the store's acknowledgement of
//! every further write, even before the map lists the store as in sync: the map that admits it may be
//! committed at any time, and may make it primary next. A store is removed from `in_sync` when it is lost and
//! enough other in-sync stores are reported (`loss_tolerance`): otherwise the partition rests, and its
//! acknowledged writes remain bound to all disks that hold them. The last one is never removed.
//!
//! Writes may be acknowledged on fewer replicas than required (`lost_replicas`) only in a tier that has too few
//! machines to keep the required number after a tolerated loss, and only while no other store can hold a
//! replica because the loss of all others is certain. As soon as one of them returns, the full number is
//! required again.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use juniperwing_protocol::subscription::{Assignment, CaughtUp, StoreMap, StoreNode};
use juniperwing_protocol::{DiskId, EpochNumber, PartitionId};

use crate::loss_tolerance::{long_lost_stores_to_list, machines_in_service, min_live_replicas};
use crate::placement::{
    EXTRA_REPLICAS, Load, PARTITION_COUNT, balanced_replicas_per_store, initial_assignments, next_replica,
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
    /// Reports of the partitions' primaries; those of other epochs than the current one are ignored.
    pub caught_up_reports: &'input [CaughtUp],
    /// The number of replicas that must hold every acknowledged write.
    pub required_replicas: usize,
}

/// Returns the store map to propose; `None` if the current one stays.
pub fn plan_store_map(input: PlanInput) -> Option<Arc<StoreMap>> {
    let planner = Planner::new(input);
    let current = &input.state.store_map;
    let partitions = if current.partitions.is_empty() {
        planner.initial_assignments()?
    } else {
        planner.next_assignments(&current.partitions)
    };
    let stores = planner.listed_stores(&partitions);
    if partitions == current.partitions && stores == current.stores {
        return None;
    }
    Some(Arc::new(StoreMap { version: current.version + 1, stores, partitions }))
}

/// Partitions whose in-sync replicas were all on disks that have been replaced.
pub fn unrecoverable_partitions(state: &ControlState, view: &StoreView) -> Vec<PartitionId> {
    let replaced = replaced_disks(&state.store_map.stores, &view.alive);
    let is_lost = |assignment: &Assignment| assignment.in_sync.iter().all(|disk| replaced.contains(disk));
    let partitions = (0..PARTITION_COUNT).map(PartitionId).zip(&state.store_map.partitions);
    partitions.filter(|(_, assignment)| is_lost(assignment)).map(|(partition, _)| partition).collect()
}

/// Disks whose machine has returned with another disk, so that they will not return.
fn replaced_disks(map_stores: &[StoreNode], alive: &BTreeMap<DiskId, StoreNode>) -> BTreeSet<DiskId> {
    let is_replaced = |store: &&StoreNode| {
        !alive.contains_key(&store.disk) && alive.values().any(|other| other.node == store.node)
    };
    map_stores.iter().filter(is_replaced).map(|store| store.disk).collect()
}

/// Computes the assignments of one plan.
struct Planner<'input> {
    input: PlanInput<'input>,
    /// Live stores that are not retiring; only these are assigned replicas.
    eligible: BTreeMap<DiskId, StoreNode>,
    /// Disks of the current map that will not return.
    replaced: BTreeSet<DiskId>,
    /// The number of replicas that each partition should have.
    target_replicas: usize,
    /// The number of store machines in service, live or lost.
    machines: usize,
    /// The fewest live in-sync replicas with which a partition goes on without its lost ones.
    min_live_replicas: usize,
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
        let machines = machines_in_service(input.state, input.view).len();
        let min_live_replicas = min_live_replicas(machines, input.required_replicas);
        Planner { input, eligible, replaced, target_replicas, machines, min_live_replicas }
    }

    /// The assignments of a tier's first map; `None` while too few stores have joined.
    fn initial_assignments(&self) -> Option<Vec<Assignment>> {
        let is_ready =
            self.input.view.is_initial_wait_over && self.eligible.len() >= self.input.required_replicas;
        is_ready.then(|| initial_assignments(&self.eligible, self.target_replicas))
    }

    /// Computes the successors of the `current` assignments. Each changed assignment gets the next epoch.
    fn next_assignments(&self, current: &[Assignment]) -> Vec<Assignment> {
        let mut load = Load::of(current);
        let mut next = Vec::with_capacity(current.len());
        for (partition, assignment) in (0..).map(PartitionId).zip(current) {
            let mut planned = assignment.clone();
            planned.joining.retain(|disk| !self.is_lost(*disk));
            self.admit_caught_up_replicas(partition, assignment, &mut planned);
            self.remove_lost_replicas(&mut planned);
            self.remove_retiring_replicas(&mut planned);
            self.choose_primary(&mut planned, &mut load);
            self.add_joining_replicas(partition, &mut planned, &mut load);
            planned.lost_replicas = self.allowed_lost_replicas(&planned, assignment.lost_replicas);
            next.push(planned);
        }
        if self.input.view.is_stable && next == *current {
            self.balance_primaries(&mut next, &mut load);
        }
        for (planned, assignment) in next.iter_mut().zip(current) {
            if planned != assignment {
                planned.epoch = EpochNumber(assignment.epoch.0 + 1);
            }
        }
        next
    }

    /// Removes lost stores, but never all of `in_sync`, and while fewer than `min_live_replicas` in-sync stores
    /// are reported only those whose disk was replaced: if losses overlap, any of the lost stores may be the
    /// only one whose disk survives, and what the live ones acknowledge alone could be lost with them.
    fn remove_lost_replicas(&self, planned: &mut Assignment) {
        retain_unless_empty(&mut planned.in_sync, |disk| !self.replaced.contains(&disk));
        let live = planned.in_sync.iter().filter(|disk| self.is_alive(**disk)).count();
        if live >= self.min_live_replicas {
            planned.in_sync.retain(|disk| !self.is_lost(*disk));
        }
    }

    fn is_lost(&self, disk: DiskId) -> bool {
        self.input.view.lost.contains(&disk) || self.replaced.contains(&disk)
    }

    fn is_alive(&self, disk: DiskId) -> bool {
        self.input.view.alive.contains_key(&disk)
    }

    /// Moves stores that caught up in the current epoch to `in_sync`, provided that the primary stays.
    fn admit_caught_up_replicas(
        &self, partition: PartitionId, current: &Assignment, planned: &mut Assignment,
    ) {
        let primary_stays = planned.in_sync.contains(&current.primary) && self.is_alive(current.primary);
        if !primary_stays {
            return;
        }
        for report in self.input.caught_up_reports {
            let is_current = report.partition == partition && report.epoch == current.epoch;
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
        let live_others =
            planned.in_sync.iter().filter(|disk| !is_retiring(**disk) && self.is_alive(**disk)).count();
        if live_others >= self.target_replicas.max(self.input.required_replicas) {
            planned.in_sync.retain(|disk| !is_retiring(*disk));
        }
    }

    /// Chooses another primary if the current one is not in sync, or is lost while another in-sync store is
    /// reported.
    fn choose_primary(&self, planned: &mut Assignment, load: &mut Load) {
        let must_move =
            self.is_lost(planned.primary) && planned.in_sync.iter().any(|disk| self.is_alive(*disk));
        if planned.in_sync.contains(&planned.primary) && !must_move {
            return;
        }
        let is_retiring = |disk: DiskId| self.input.state.is_retiring(disk);
        let preference =
            |disk: &&DiskId| (!self.is_alive(**disk), is_retiring(**disk), load.primaries(**disk), **disk);
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

    /// The number of required replicas that may be missing: 0 while another store can hold one, and in a tier
    /// with enough machines. Once allowed, this remains allowed until another store is reported, even on a
    /// keeper that has received no reports yet.
    fn allowed_lost_replicas(&self, planned: &Assignment, previously_allowed: u16) -> u16 {
        if planned.in_sync.len() < self.min_live_replicas {
            return 0;
        }
        let missing = self.input.required_replicas.saturating_sub(planned.in_sync.len());
        let missing = u16::try_from(missing).unwrap_or(u16::MAX);
        let others_reported = self.eligible.keys().any(|disk| !planned.in_sync.contains(disk));
        if others_reported || !planned.joining.is_empty() {
            return 0;
        }
        if missing <= previously_allowed || self.are_others_lost(planned) { missing } else { 0 }
    }

    /// Whether every store that is not in sync is replaced, retiring or confirmed lost.
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

    /// Whether another replica should join. While enough replicas remain, a recently lost store is expected
    /// to return and is not replaced, unless a store is retiring: the operator's time limit applies to a
    /// retirement.
    fn lacks_replicas(&self, planned: &Assignment) -> bool {
        let members = planned.in_sync.iter().chain(&planned.joining);
        let staying = members.filter(|disk| self.eligible.contains_key(disk)).count();
        let is_unreported = |disk: DiskId| !self.is_alive(disk) && !self.is_lost(disk);
        let unreported = planned.in_sync.iter().filter(|disk| is_unreported(**disk)).count();
        if staying + unreported >= self.target_replicas {
            return false;
        }
        let has_retiring = planned.in_sync.iter().any(|disk| self.input.state.is_retiring(*disk));
        let returning = if has_retiring { 0 } else { self.returning_stores(planned) };
        staying < self.input.required_replicas || staying + unreported + returning < self.target_replicas
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
            let Some(least_loaded) = candidates.min_by_key(|disk| (load.primaries(**disk), **disk)).copied()
            else {
                continue;
            };
            if load.primaries(assignment.primary) >= load.primaries(least_loaded) + 2 {
                load.move_primary(assignment.primary, least_loaded);
                assignment.primary = least_loaded;
                moves += 1;
            }
        }
    }

    /// The stores that the map lists: live stores, lost ones that may return, and all that hold a replica.
    fn listed_stores(&self, partitions: &[Assignment]) -> Vec<StoreNode> {
        let holders: BTreeSet<DiskId> = partitions
            .iter()
            .flat_map(|assignment| assignment.in_sync.iter().chain(&assignment.joining))
            .copied()
            .collect();
        let view = self.input.view;
        let may_return = |disk: DiskId| {
            let is_gone = self.replaced.contains(&disk) || self.input.state.is_retired(disk);
            !is_gone && !view.succeeded.contains(&disk)
        };
        let known = self.input.state.store_map.stores.iter();
        let long_lost = known.clone().filter(|store| {
            view.replaceable.contains(&store.disk) && !holders.contains(&store.disk) && may_return(store.disk)
        });
        let long_lost_to_list =
            long_lost_stores_to_list(self.machines, self.input.required_replicas, long_lost);
        let mut listed: BTreeMap<DiskId, StoreNode> = BTreeMap::new();
        for store in known {
            let is_recent = !view.replaceable.contains(&store.disk) && may_return(store.disk);
            let is_needed = long_lost_to_list.contains(&store.disk);
            if holders.contains(&store.disk) || is_recent || is_needed {
                listed.insert(store.disk, store.clone());
            }
        }
        // The address of a live store may have changed.
        listed.extend(view.alive.iter().map(|(disk, store)| (*disk, store.clone())));
        listed.into_values().collect()
    }
}

/// Retains the disks for which `keep` is true, or all disks if there are none.
fn retain_unless_empty(disks: &mut Vec<DiskId>, keep: impl Fn(DiskId) -> bool) {
    if disks.iter().any(|disk| keep(*disk)) {
        disks.retain(|disk| keep(*disk));
    }
}
