//! A tier's stores, for tests: the committed state and what is seen of the stores.

#![allow(dead_code)]

use std::collections::BTreeSet;
use std::sync::Arc;

use juniperwing_control::{ControlChange, ControlState, PlanInput, StoreView, plan_store_map};
use juniperwing_protocol::subscription::{Assignment, CaughtUp, StoreMap, StoreNode};
use juniperwing_protocol::{DiskId, PartitionId};
use juniperwing_replication::ReplicatedState;

/// Copies required in these tests: the loss of one is borne.
pub const REQUIRED: usize = 2;

/// A store on the machine of the same number, in one of three zones.
pub fn store(disk: u64) -> StoreNode {
    store_on(disk, disk)
}

/// A store on a machine.
pub fn store_on(disk: u64, machine: u64) -> StoreNode {
    StoreNode {
        disk: DiskId(disk),
        node: format!("store-{machine}").as_str().into(),
        zone: format!("zone-{}", machine % 3).as_str().into(),
        address: format!("10.0.0.{machine}:7000").parse().unwrap(),
    }
}

/// The stores of a tier.
pub struct Tier {
    pub state: ControlState,
    pub view: StoreView,
}

impl Tier {
    /// A tier whose first map is in force.
    pub fn of(stores: impl IntoIterator<Item = u64>) -> Self {
        let view = StoreView {
            alive: stores.into_iter().map(|disk| (DiskId(disk), store(disk))).collect(),
            is_initial_wait_over: true,
            is_settled: true,
            ..StoreView::default()
        };
        let mut tier = Tier { state: ControlState::default(), view };
        tier.step(&[]).expect("a first map");
        tier
    }

    /// Plans once and commits what comes of it.
    pub fn step(&mut self, caught_up: &[CaughtUp]) -> Option<Arc<StoreMap>> {
        let input = PlanInput {
            state: &self.state,
            view: &self.view,
            caught_up_reports: caught_up,
            required_copies: REQUIRED,
        };
        let map = plan_store_map(input)?;
        self.state.apply(&ControlChange::SetStoreMap(Arc::clone(&map)));
        Some(map)
    }

    /// Plans until nothing changes any more.
    pub fn settle(&mut self) {
        for _ in 0..100 {
            let caught_up = self.all_caught_up();
            if self.step(&caught_up).is_none() {
                return;
            }
        }
        panic!("the map never comes to rest");
    }

    /// Reports that every joining replica has caught up.
    pub fn all_caught_up(&self) -> Vec<CaughtUp> {
        let partitions = (0..).map(PartitionId).zip(&self.state.store_map.partitions);
        let report = |(partition, assignment): (PartitionId, &Assignment)| {
            let epoch = assignment.epoch;
            let joining = assignment.joining.clone().into_iter();
            joining.map(move |replica| CaughtUp { partition, epoch, replica }).collect::<Vec<_>>()
        };
        partitions.flat_map(report).collect()
    }

    /// A store falls silent for long enough to count as lost.
    pub fn lose(&mut self, disk: u64) {
        self.view.alive.remove(&DiskId(disk));
        self.view.lost.insert(DiskId(disk));
    }

    /// A store has been lost for long enough that nobody doubts it.
    pub fn lose_surely(&mut self, disk: u64) {
        self.lose(disk);
        self.view.confirmed_lost.insert(DiskId(disk));
    }

    /// A lost store has been lost for long.
    pub fn lose_long(&mut self, disk: u64) {
        self.lose_surely(disk);
        self.view.replaceable.insert(DiskId(disk));
    }

    /// A store is there, whether it was before or not.
    pub fn bring(&mut self, node: StoreNode) {
        self.view.lost.remove(&node.disk);
        self.view.confirmed_lost.remove(&node.disk);
        self.view.replaceable.remove(&node.disk);
        self.view.alive.insert(node.disk, node);
    }

    pub fn partitions(&self) -> &[Assignment] {
        &self.state.store_map.partitions
    }

    /// The disks that hold something.
    pub fn holders(&self) -> BTreeSet<DiskId> {
        let disks = self.partitions().iter().flat_map(|held| held.in_sync.iter().chain(&held.joining));
        disks.copied().collect()
    }
}

/// What must hold between a map and the one that follows it.
pub fn check_successor(before: &StoreMap, after: &StoreMap, caught_up: &[CaughtUp]) {
    assert!(after.version > before.version);
    for (index, (old, new)) in before.partitions.iter().zip(&after.partitions).enumerate() {
        assert_eq!(new == old, new.epoch == old.epoch, "an epoch for each change, none without");
        assert!(new.epoch >= old.epoch);
        assert!(!new.in_sync.is_empty());
        assert!(new.in_sync.contains(&new.primary));
        assert!(old.in_sync.contains(&new.primary), "only who holds everything becomes primary");
        for member in new.in_sync.iter().filter(|member| !old.in_sync.contains(member)) {
            let reported = |report: &CaughtUp| {
                report.partition == PartitionId(index as u16)
                    && report.replica == *member
                    && report.epoch == old.epoch
            };
            assert!(caught_up.iter().any(reported), "nobody is in sync without a report");
            assert_eq!(new.primary, old.primary, "a report counts only with the primary that gave it");
        }
        assert!(new.joining.iter().all(|joining| !new.in_sync.contains(joining)));
        if new.lost_replicas > 0 {
            assert!(
                new.joining.is_empty(),
                "nothing is acknowledged on fewer copies while one is being made"
            );
            assert!(
                new.in_sync.len() + usize::from(new.lost_replicas) <= REQUIRED,
                "no more than are missing"
            );
        }
        let members: BTreeSet<_> = new.in_sync.iter().chain(&new.joining).collect();
        assert_eq!(members.len(), new.in_sync.len() + new.joining.len(), "nobody twice");
    }
}
