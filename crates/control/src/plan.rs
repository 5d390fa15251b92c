//! The store map that should follow the one in force.
//!
//! A store enters `in_sync` of a partition only at the first map, or after the partition's primary has
//! reported that it has caught up. From that report on, the primary must wait for the store's confirmation of
//! every further write, also before the map says so: the map that lets it in may come into force at any time,
//! and make it primary next. A store leaves `in_sync` when it is lost; the last one never does.
//!
//! Fewer copies than required are enough (`lost_copies`) only while no other store could hold one, because all
//! others are lost beyond doubt: the fault model allows no further loss of a disk until they have been back for
//! the catch-up time. From the moment at which one of them is back, the full number is asked for again.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use juniperwing_protocol::subscription::{Assignment, CaughtUp, StoreMap, StoreNode};
use juniperwing_protocol::{DiskId, EpochNumber, PartitionId};

use crate::placement::{EXTRA_REPLICAS, Load, PARTITION_COUNT, first_assignments, next_replica};
use crate::state::ControlState;
use crate::tracker::StoreView;

/// Primaries that are moved for balance by one change of the map.
const MAX_PRIMARY_MOVES_PER_PLAN: usize = 4;

/// What a plan is computed from.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'input> {
    /// The committed state.
    pub state: &'input ControlState,
    /// Which stores are alive.
    pub view: &'input StoreView,
    /// Reports of the partitions' primaries; those of other epochs than the present ones do not count.
    pub caught_up_reports: &'input [CaughtUp],
    /// Copies that must exist of everything that is acknowledged.
    pub required_copies: usize,
}

/// The map that should come into force now; `None` if the present one stays.
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

/// Partitions of which every copy that counts was on disks that are gone for good.
pub fn unrecoverable_partitions(state: &ControlState, view: &StoreView) -> Vec<PartitionId> {
    let gone = replaced_disks(&state.store_map.stores, &view.alive);
    let lost = |assignment: &Assignment| assignment.in_sync.iter().all(|disk| gone.contains(disk));
    let partitions = (0..PARTITION_COUNT).map(PartitionId).zip(&state.store_map.partitions);
    partitions.filter(|(_, assignment)| lost(assignment)).map(|(partition, _)| partition).collect()
}

/// Disks whose machine is back with another one.
fn replaced_disks(placed: &[StoreNode], alive: &BTreeMap<DiskId, StoreNode>) -> BTreeSet<DiskId> {
    let replaced = |store: &&StoreNode| {
        !alive.contains_key(&store.disk) && alive.values().any(|other| other.node == store.node)
    };
    placed.iter().filter(replaced).map(|store| store.disk).collect()
}

struct Planner<'input> {
    input: PlanInput<'input>,
    /// Stores that may be given replicas.
    eligible: BTreeMap<DiskId, StoreNode>,
    replaced: BTreeSet<DiskId>,
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
        let gone = replaced_disks(&input.state.store_map.stores, alive);
        let wanted = input.required_copies + EXTRA_REPLICAS;
        let replicas = wanted.min(eligible.len());
        Planner { input, eligible, replaced: gone, target_replicas: replicas }
    }

    fn first_assignments(&self) -> Option<Vec<Assignment>> {
        let ready = self.input.view.is_initial_wait_over && self.eligible.len() >= self.input.required_copies;
        ready.then(|| first_assignments(&self.eligible, self.target_replicas))
    }

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

    /// Removes stores that are lost; `in_sync` never becomes empty by it.
    fn remove_lost_replicas(&self, planned: &mut Assignment) {
        let lost = &self.input.view.lost;
        planned.joining.retain(|disk| !lost.contains(disk) && !self.replaced.contains(disk));
        retain_unless_empty(&mut planned.in_sync, |disk| !self.replaced.contains(&disk));
        retain_unless_empty(&mut planned.in_sync, |disk| !lost.contains(&disk));
    }

    /// Lets stores in that have caught up in the present epoch with a primary that stays.
    fn admit_caught_up_replicas(
        &self, partition: PartitionId, present: &Assignment, planned: &mut Assignment,
    ) {
        let primary_stays = planned.in_sync.contains(&present.primary)
            && self.input.view.alive.contains_key(&present.primary);
        if !primary_stays {
            return;
        }
        for report in self.input.caught_up_reports {
            let counts = report.partition == partition && report.epoch == present.epoch;
            if counts && planned.joining.contains(&report.replica) {
                planned.joining.retain(|disk| *disk != report.replica);
                planned.in_sync.push(report.replica);
            }
        }
    }

    /// Removes stores that are being emptied, once enough others hold everything.
    fn remove_retiring_replicas(&self, planned: &mut Assignment) {
        let retiring = |disk: DiskId| self.input.state.is_retiring(disk);
        planned.joining.retain(|disk| !retiring(*disk));
        let others = planned
            .in_sync
            .iter()
            .filter(|disk| !retiring(**disk) && self.input.view.alive.contains_key(disk))
            .count();
        let enough = self.target_replicas.max(self.input.required_copies);
        if others >= enough {
            planned.in_sync.retain(|disk| !retiring(*disk));
        }
    }

    /// Makes sure that the primary is in sync, and moves it only if it is not.
    fn choose_primary(&self, planned: &mut Assignment, load: &mut Load) {
        if planned.in_sync.contains(&planned.primary) {
            return;
        }
        let alive = |disk: DiskId| self.input.view.alive.contains_key(&disk);
        let retiring = |disk: DiskId| self.input.state.is_retiring(disk);
        let order = |disk: &&DiskId| (!alive(**disk), retiring(**disk), load.primaries(**disk), **disk);
        if let Some(chosen) = planned.in_sync.iter().min_by_key(order).copied() {
            load.move_primary(planned.primary, chosen);
            planned.primary = chosen;
        }
    }

    /// Gives the partition further replicas while it has too few.
    fn add_joining_replicas(&self, partition: PartitionId, planned: &mut Assignment, load: &mut Load) {
        let share =
            (usize::from(PARTITION_COUNT) * self.target_replicas).div_ceil(self.eligible.len().max(1));
        while self.lacks_replicas(planned) {
            let members: Vec<DiskId> = planned.in_sync.iter().chain(&planned.joining).copied().collect();
            let zones: BTreeSet<&str> =
                members.iter().filter_map(|disk| self.eligible.get(disk)).map(|store| &*store.zone).collect();
            let next = next_replica(partition, &self.eligible, &members, &zones, load, share);
            let Some(disk) = next else { return };
            planned.joining.push(disk);
            load.add_replica(disk);
        }
    }

    /// How many of the required copies may be missing: none while another store could hold one. Once this is
    /// allowed it stays so until another store is seen, also at a keeper that has seen nothing yet.
    fn allowed_lost_replicas(&self, planned: &Assignment, before: u16) -> u16 {
        let missing = self.input.required_copies.saturating_sub(planned.in_sync.len());
        let missing = u16::try_from(missing).unwrap_or(u16::MAX);
        let others_seen = self.eligible.keys().any(|disk| !planned.in_sync.contains(disk));
        if others_seen || !planned.joining.is_empty() {
            return 0;
        }
        if missing <= before || self.are_others_lost(planned) { missing } else { 0 }
    }

    /// Whether every store beside those in sync is lost beyond doubt, gone or being emptied.
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

    /// Whether another replica should join. While enough copies are left, the place of a store that was lost
    /// only now is kept for it, except where a store is being emptied: the operator set a time for that.
    fn lacks_replicas(&self, planned: &Assignment) -> bool {
        let members = planned.in_sync.iter().chain(&planned.joining);
        let staying = members.filter(|disk| self.eligible.contains_key(disk)).count();
        let unseen = planned.in_sync.iter().filter(|disk| !self.input.view.alive.contains_key(disk)).count();
        if staying + unseen >= self.target_replicas {
            return false;
        }
        let emptied = planned.in_sync.iter().any(|disk| self.input.state.is_retiring(*disk));
        let returning = if emptied { 0 } else { self.returning_stores(planned) };
        staying < self.input.required_copies || staying + unseen + returning < self.target_replicas
    }

    /// Stores that were lost a short while ago and may come back.
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

    /// Moves a few primaries from the store that has most of them to others that are in sync.
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

    /// The stores that the map has to name: those alive and those that hold something.
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
        // Those alive may have another address now.
        named.extend(self.input.view.alive.iter().map(|(disk, store)| (*disk, store.clone())));
        named.into_values().collect()
    }
}

/// Keeps those that `keep` names, or all if that would leave none.
fn retain_unless_empty(disks: &mut Vec<DiskId>, keep: impl Fn(DiskId) -> bool) {
    if disks.iter().any(|disk| keep(*disk)) {
        disks.retain(|disk| keep(*disk));
    }
}
