//! Losses of stores that overlap beyond the tolerated number, with no more lost disks than are tolerated: service may
//! rest, but every acknowledged write is on an in-sync disk, and all partitions are served again once all are back.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{REQUIRED_REPLICAS, Tier, check_successor, store, store_on};
use juniperwing_control::{ControlChange, unrecoverable_partitions};
use juniperwing_protocol::DiskId;
use juniperwing_protocol::subscription::Assignment;
use juniperwing_replication::ReplicatedState;
use proptest::prelude::*;

/// Whether the primary of a partition can have a write confirmed on every disk that it needs.
fn can_acknowledge(tier: &Tier, assignment: &Assignment) -> bool {
    let is_live = |disk: &DiskId| tier.view.alive.contains_key(disk);
    let replicas = assignment.in_sync.len() + usize::from(assignment.lost_replicas);
    assignment.in_sync.iter().all(is_live) && replicas >= REQUIRED_REPLICAS
}

fn is_resting(tier: &Tier) -> bool {
    tier.partitions().iter().all(|assignment| !can_acknowledge(tier, assignment))
}

fn is_serving(tier: &Tier) -> bool {
    tier.partitions().iter().all(|assignment| can_acknowledge(tier, assignment))
}

// Two of three stores are killed and keep their disks, and the third loses its disk. The map once named the third one
// alone in sync, so that no partition was ever served again.
#[test]
fn a_partition_outlives_the_lost_disk_of_the_only_live_store() {
    for third in 1..=3_u64 {
        let mut tier = Tier::with_first_map(1..=3);
        let killed: Vec<u64> = (1..=3).filter(|machine| *machine != third).collect();
        for machine in &killed {
            tier.confirm_loss(*machine);
            tier.plan_until_stable();
        }
        assert!(is_resting(&tier), "one live disk is not enough for an acknowledgement");
        tier.lose_store(third);
        tier.plan_until_stable();
        tier.add_live_store(store_on(third + 10, third));
        tier.plan_until_stable();
        assert_eq!(unrecoverable_partitions(&tier.state, &tier.view), []);
        // The store that was in sync last is enough, whichever store was killed first.
        tier.add_live_store(store(killed[1]));
        tier.plan_until_stable();
        assert!(is_serving(&tier), "{:?}", tier.partitions());
        assert!(tier.partitions().iter().all(|assignment| assignment.in_sync.contains(&DiskId(killed[1]))));
    }
}

// The loss of the first store is long ago. It once disappeared from the map, so that the tier looked as if it had two
// machines and went on with one.
#[test]
fn a_store_that_was_lost_long_ago_still_counts() {
    let mut tier = Tier::with_first_map(1..=3);
    tier.make_replaceable(1);
    tier.plan_until_stable();
    assert!(is_serving(&tier) && tier.state.store_map.store(DiskId(1)).is_some());
    tier.make_replaceable(2);
    tier.plan_until_stable();
    assert!(is_resting(&tier));
    // A keeper that has received no reports yet plans the same.
    tier.view.lost.clear();
    tier.view.confirmed_lost.clear();
    tier.view.replaceable.clear();
    tier.plan_until_stable();
    assert!(is_resting(&tier));
}

#[test]
fn a_store_that_was_succeeded_no_longer_counts() {
    let mut tier = Tier::with_first_map(1..=2);
    tier.confirm_loss(1);
    tier.plan_until_stable();
    tier.view.succeeded.insert(DiskId(1));
    tier.add_live_store(store(3));
    tier.plan_until_stable();
    assert!(is_serving(&tier) && tier.state.store_map.store(DiskId(1)).is_none());
    tier.view.succeeded.clear();
    tier.confirm_loss(3);
    tier.plan_until_stable();
    assert!(is_serving(&tier), "a tier of two machines tolerates the loss of one");
}

// A retired machine that was taken away must not be mistaken for the one that a new machine succeeds.
#[test]
fn a_retired_store_leaves_the_map_when_it_is_gone() {
    let mut tier = Tier::with_first_map(1..=3);
    tier.state.apply(&ControlChange::BeginRetirement(store(1)));
    tier.plan_until_stable();
    tier.state.apply(&ControlChange::CompleteRetirement(DiskId(1)));
    tier.plan_until_stable();
    assert!(tier.state.store_map.store(DiskId(1)).is_some());
    tier.view.alive.remove(&DiskId(1));
    tier.plan_until_stable();
    assert!(tier.state.store_map.store(DiskId(1)).is_none());
    // The tier of two that is left goes on with one.
    tier.confirm_loss(2);
    tier.plan_until_stable();
    assert!(is_serving(&tier));
}

/// A tier whose disks hold numbered writes.
struct WrittenTier {
    tier: Tier,
    /// The disk of each machine.
    disks: BTreeMap<u64, u64>,
    /// The writes on each disk, by the index of the partition.
    written: BTreeMap<DiskId, Vec<BTreeSet<usize>>>,
    /// The acknowledged writes, by the index of the partition.
    acknowledged: Vec<BTreeSet<usize>>,
    writes: usize,
}

impl WrittenTier {
    fn new(machines: u64) -> Self {
        let tier = Tier::with_first_map(1..=machines);
        let partitions = tier.partitions().len();
        let disks: BTreeMap<u64, u64> = (1..=machines).map(|machine| (machine, machine)).collect();
        let empty = vec![BTreeSet::new(); partitions];
        let written = disks.values().map(|disk| (DiskId(*disk), empty.clone())).collect();
        WrittenTier { tier, disks, written, acknowledged: empty, writes: 0 }
    }

    /// Writes to every partition; the write is acknowledged where all disks that the map asks for confirm it.
    fn write(&mut self) {
        self.writes += 1;
        for (index, assignment) in self.tier.partitions().to_vec().iter().enumerate() {
            if !self.tier.view.alive.contains_key(&assignment.primary) {
                continue;
            }
            for disk in assignment.in_sync.iter().filter(|disk| self.tier.view.alive.contains_key(disk)) {
                self.written.get_mut(disk).expect("a disk")[index].insert(self.writes);
            }
            if can_acknowledge(&self.tier, assignment) {
                self.acknowledged[index].insert(self.writes);
            }
        }
    }

    /// Copies the primaries' records to all live joining replicas and commits plans until nothing changes.
    fn settle(&mut self) {
        for _ in 0..100 {
            let mut reports = self.tier.caught_up_reports();
            let assignments = self.tier.partitions().to_vec();
            reports.retain(|report| {
                let primary = assignments[usize::from(report.partition.0)].primary;
                let are_live =
                    [primary, report.replica].iter().all(|disk| self.tier.view.alive.contains_key(disk));
                if are_live {
                    let index = usize::from(report.partition.0);
                    let records = self.written[&primary][index].clone();
                    self.written.get_mut(&report.replica).expect("a disk")[index].extend(records);
                }
                are_live
            });
            let before = self.tier.state.store_map.clone();
            let Some(after) = self.tier.plan_and_commit(&reports) else { return };
            check_successor(&before, &after, &reports);
        }
        panic!("the map still changes after 100 plans");
    }

    fn lose(&mut self, machine: u64, is_long: bool) {
        let disk = self.disks[&machine];
        if is_long { self.tier.make_replaceable(disk) } else { self.tier.confirm_loss(disk) }
    }

    /// The machine returns, with an empty disk if `is_wiped`.
    fn bring_back(&mut self, machine: u64, is_wiped: bool) {
        if is_wiped {
            let disk = self.disks[&machine] + 100;
            self.disks.insert(machine, disk);
            self.written.insert(DiskId(disk), vec![BTreeSet::new(); self.acknowledged.len()]);
        }
        self.tier.add_live_store(store_on(self.disks[&machine], machine));
    }

    /// Every in-sync disk that still exists holds all acknowledged writes of its partition.
    fn check(&self) {
        for (index, assignment) in self.tier.partitions().iter().enumerate() {
            let exists = |disk: &&DiskId| self.disks.values().any(|known| *known == disk.0);
            let existing: Vec<&DiskId> = assignment.in_sync.iter().filter(exists).collect();
            assert!(!existing.is_empty(), "partition {index} is bound to lost disks: {assignment:?}");
            for disk in existing {
                let written = &self.written[disk][index];
                assert!(
                    self.acknowledged[index].is_subset(written),
                    "disk {} lacks acknowledged writes",
                    disk.0
                );
            }
        }
    }
}

// In KNOWN-RED.txt: a tier of two serves on one store after a tolerated loss, and what that store acknowledged alone is lost
// with its disk.
#[test]
fn two_stores_keep_what_one_acknowledged_alone_when_it_loses_its_disk() {
    let mut run = WrittenTier::new(2);
    run.lose(1, false);
    run.settle();
    run.write();
    run.lose(2, false);
    run.bring_back(2, true);
    run.bring_back(1, false);
    run.settle();
    run.check();
}

/// One event of a run; machines are counted from 0 and taken modulo the number of machines.
#[derive(Clone, Debug)]
enum LossEvent {
    Kill { machine: u64, is_long: bool },
    Return { machine: u64 },
    Wipe { machine: u64 },
    Settle,
}

fn loss_event() -> impl Strategy<Value = LossEvent> {
    prop_oneof![
        4 => (0_u64..5, any::<bool>()).prop_map(|(machine, is_long)| LossEvent::Kill { machine, is_long }),
        3 => (0_u64..5).prop_map(|machine| LossEvent::Return { machine }),
        1 => (0_u64..5).prop_map(|machine| LossEvent::Wipe { machine }),
        2 => Just(LossEvent::Settle),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn overlapping_losses_with_one_lost_disk_at_a_time_lose_no_acknowledged_write(
        machines in 3_u64..=5,
        events in prop::collection::vec(loss_event(), 1..40),
    ) {
        let mut run = WrittenTier::new(machines);
        // Another disk may be lost once all machines are back and caught up.
        let mut may_lose_disk = true;
        for event in events {
            run.write();
            match event {
                LossEvent::Kill { machine, is_long } => run.lose(machine % machines + 1, is_long),
                LossEvent::Return { machine } => run.bring_back(machine % machines + 1, false),
                LossEvent::Wipe { machine } if may_lose_disk => {
                    may_lose_disk = false;
                    run.lose(machine % machines + 1, false);
                    run.bring_back(machine % machines + 1, true);
                }
                LossEvent::Wipe { .. } => {}
                LossEvent::Settle => run.settle(),
            }
            let before = run.tier.state.store_map.clone();
            if let Some(after) = run.tier.plan_and_commit(&[]) {
                check_successor(&before, &after, &[]);
            }
            run.check();
            if run.tier.view.alive.len() as u64 == machines {
                run.settle();
                run.check();
                may_lose_disk = true;
            }
        }
        for machine in 1..=machines {
            run.bring_back(machine, false);
        }
        run.settle();
        run.check();
        assert!(is_serving(&run.tier), "{:?}", run.tier.partitions());
    }
}
