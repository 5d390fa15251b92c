//! Test harness for store maps: the committed state of a tier and its view of the stores.

#![allow(dead_code)]

use std::collections::BTreeSet;
use std::sync::Arc;

use juniperwing_control::{ControlChange, ControlState, PlanInput, StoreView, plan_store_map};
use juniperwing_protocol::subscription::{Assignment, CaughtUp, StoreMap, StoreNode};
use juniperwing_protocol::{DiskId, PartitionId};
use juniperwing_replication::ReplicatedState;

/// The required replicas in these tests: one store may be lost.
pub const REQUIRED_REPLICAS: usize = 2;

/// A store on the machine of the same number, in one of three zones.
pub fn store(disk: u64) -> StoreNode {
    store_on(disk, disk)
}

/// A store with the given disk, on the given machine.
pub fn store_on(disk: u64, machine: u64) -> StoreNode {
    StoreNode {
        disk: DiskId(disk),
        node: format!("store-{machine}").as_str().into(),
        zone: format!("zone-{}", machine % 3).as_str().into(),
        address: format!("10.0.0.{machine}:7000").parse().unwrap(),
    }
}

/// A tier with its committed state and its view of the stores.
pub struct Tier {
    pub state: ControlState,
    pub view: StoreView,
}

impl Tier {
    /// A tier whose first store map is committed.
    pub fn with_first_map(stores: impl IntoIterator<Item = u64>) -> Self {
        let view = StoreView {
            alive: stores.into_iter().map(|disk| (DiskId(disk), store(disk))).collect(),
            is_initial_wait_over: true,
            is_past_grace_period: true,
            ..StoreView::default()
        };
        let mut tier = Tier { state: ControlState::default(), view };
        tier.plan_and_commit(&[]).expect("a first map");
        tier
    }

    /// Plans once and commits the resulting map; `None` if the current one stays.
    pub fn plan_and_commit(&mut self, caught_up: &[CaughtUp]) -> Option<Arc<StoreMap>> {
        let input = PlanInput {
            state: &self.state,
            view: &self.view,
            caught_up_reports: caught_up,
            required_replicas: REQUIRED_REPLICAS,
        };
        let map = plan_store_map(input)?;
        self.state.apply(&ControlChange::SetStoreMap(Arc::clone(&map)));
        Some(map)
    }

    /// Plans and commits until the map no longer changes.
    pub fn plan_until_stable(&mut self) {
        for _ in 0..100 {
            let caught_up = self.caught_up_reports();
            if self.plan_and_commit(&caught_up).is_none() {
                return;
            }
        }
        panic!("the map still changes after 100 plans");
    }

    /// Reports that every joining replica has caught up in the current epoch.
    pub fn caught_up_reports(&self) -> Vec<CaughtUp> {
        let partitions = (0..).map(PartitionId).zip(&self.state.store_map.partitions);
        let report = |(partition, assignment): (PartitionId, &Assignment)| {
            let epoch = assignment.epoch;
            let joining = assignment.joining.clone().into_iter();
            joining.map(move |replica| CaughtUp { partition, epoch, replica }).collect::<Vec<_>>()
        };
        partitions.flat_map(report).collect()
    }

    /// Marks a store as lost.
    pub fn lose_store(&mut self, disk: u64) {
        self.view.alive.remove(&DiskId(disk));
        self.view.lost.insert(DiskId(disk));
    }

    /// Marks the loss of a store as certain.
    pub fn confirm_loss(&mut self, disk: u64) {
        self.lose_store(disk);
        self.view.confirmed_lost.insert(DiskId(disk));
    }

    /// Marks a store as lost for long enough to be replaced.
    pub fn make_replaceable(&mut self, disk: u64) {
        self.confirm_loss(disk);
        self.view.replaceable.insert(DiskId(disk));
    }

    /// Marks a store as alive; it may be new, lost or already alive.
    pub fn add_live_store(&mut self, node: StoreNode) {
        self.view.lost.remove(&node.disk);
        self.view.confirmed_lost.remove(&node.disk);
        self.view.replaceable.remove(&node.disk);
        self.view.alive.insert(node.disk, node);
    }

    pub fn partitions(&self) -> &[Assignment] {
        &self.state.store_map.partitions
    }

    /// The disks that hold a replica, in sync or joining.
    pub fn replica_disks(&self) -> BTreeSet<DiskId> {
        let disks = self
            .partitions()
            .iter()
            .flat_map(|assignment| assignment.in_sync.iter().chain(&assignment.joining));
        disks.copied().collect()
    }
}

/// Asserts the invariants between a store map and its successor.
pub fn check_successor(before: &StoreMap, after: &StoreMap, caught_up: &[CaughtUp]) {
    assert!(after.version > before.version);
    for (index, (old, new)) in before.partitions.iter().zip(&after.partitions).enumerate() {
        assert_eq!(new == old, new.epoch == old.epoch, "the epoch changes exactly when the assignment does");
        assert!(new.epoch >= old.epoch);
        assert!(!new.in_sync.is_empty());
        assert!(new.in_sync.contains(&new.primary));
        assert!(old.in_sync.contains(&new.primary), "only an in-sync replica may become primary");
        for member in new.in_sync.iter().filter(|member| !old.in_sync.contains(member)) {
            let reported = |report: &CaughtUp| {
                report.partition == PartitionId(index as u16)
                    && report.replica == *member
                    && report.epoch == old.epoch
            };
            assert!(caught_up.iter().any(reported), "a replica is in sync without a report");
            assert_eq!(new.primary, old.primary, "a report is valid only while its primary stays");
        }
        assert!(new.joining.iter().all(|joining| !new.in_sync.contains(joining)));
        if new.lost_replicas > 0 {
            assert!(new.joining.is_empty(), "fewer replicas must not be allowed while another one joins");
            assert!(
                new.in_sync.len() + usize::from(new.lost_replicas) <= REQUIRED_REPLICAS,
                "more lost replicas allowed than are missing"
            );
        }
        let members: BTreeSet<_> = new.in_sync.iter().chain(&new.joining).collect();
        assert_eq!(members.len(), new.in_sync.len() + new.joining.len(), "a store holds two replicas");
    }
}
