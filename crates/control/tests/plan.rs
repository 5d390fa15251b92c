//! Tests of store maps: the first one, losses, returns, rebalancing, and invariants under random events.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{REQUIRED_REPLICAS, Tier, check_successor, store, store_on};
use juniperwing_control::{
    ControlState, PARTITION_COUNT, PlanInput, StoreView, plan_store_map, unrecoverable_partitions,
};
use juniperwing_protocol::DiskId;
use juniperwing_protocol::subscription::Assignment;
use proptest::prelude::*;

fn disks(replicas: &[DiskId]) -> BTreeSet<u64> {
    replicas.iter().map(|disk| disk.0).collect()
}

#[test]
fn the_first_map_waits_for_enough_stores() {
    let state = ControlState::default();
    let mut view = StoreView::default();
    view.alive.insert(DiskId(1), store(1));
    view.alive.insert(DiskId(2), store(2));
    let planned = |view: &StoreView| {
        plan_store_map(PlanInput {
            state: &state,
            view,
            caught_up_reports: &[],
            required_replicas: REQUIRED_REPLICAS,
        })
    };
    assert_eq!(planned(&view), None);
    view.is_initial_wait_over = true;
    assert!(planned(&view).is_some());
    view.alive.remove(&DiskId(2));
    assert_eq!(planned(&view), None);
}

#[test]
fn the_first_map_spreads_replicas_and_primaries() {
    let tier = Tier::with_first_map(1..=6);
    assert_eq!(tier.partitions().len(), usize::from(PARTITION_COUNT));
    let mut primaries: BTreeMap<DiskId, usize> = BTreeMap::new();
    for assignment in tier.partitions() {
        assert_eq!(assignment.in_sync.len(), REQUIRED_REPLICAS + 1);
        let zones: Vec<_> = assignment.in_sync.iter().map(|disk| disk.0 % 3).collect();
        assert!((0..3).all(|zone| zones.contains(&zone)), "a replica in each zone");
        *primaries.entry(assignment.primary).or_default() += 1;
    }
    let even_count = usize::from(PARTITION_COUNT) / 6;
    assert!(
        primaries.values().all(|count| (even_count - 1..=even_count + 2).contains(count)),
        "{primaries:?}"
    );
}

#[test]
fn a_stable_map_does_not_change() {
    let mut tier = Tier::with_first_map(1..=4);
    assert_eq!(tier.plan_and_commit(&[]), None);
}

#[test]
fn a_lost_store_is_removed_and_an_in_sync_replica_becomes_primary() {
    let mut tier = Tier::with_first_map(1..=3);
    let before = tier.state.store_map.clone();
    tier.lose_store(1);
    let after = tier.plan_and_commit(&[]).unwrap();
    check_successor(&before, &after, &[]);
    assert!(after.partitions.iter().all(|assignment| !assignment.in_sync.contains(&DiskId(1))));
    assert_eq!(tier.plan_and_commit(&[]), None, "one change covers all partitions");
}

#[test]
fn an_unreported_store_that_is_not_lost_keeps_its_replicas() {
    let mut tier = Tier::with_first_map(1..=3);
    tier.view.alive.remove(&DiskId(1));
    assert_eq!(tier.plan_and_commit(&[]), None);
    tier.add_live_store(store(1));
    assert_eq!(tier.plan_and_commit(&[]), None);
}

#[test]
fn the_last_in_sync_replica_is_never_removed() {
    let mut tier = Tier::with_first_map(1..=2);
    tier.lose_store(1);
    tier.plan_and_commit(&[]).unwrap();
    tier.lose_store(2);
    tier.plan_and_commit(&[]);
    assert!(tier.partitions().iter().all(|assignment| assignment.in_sync == [DiskId(2)]));
    // The other one returns. It lacks the latest writes and must not become primary.
    tier.add_live_store(store(1));
    tier.plan_and_commit(&[]);
    assert!(
        tier.partitions()
            .iter()
            .all(|assignment| assignment.in_sync == [DiskId(2)] && assignment.primary == DiskId(2))
    );
    tier.add_live_store(store(2));
    tier.plan_until_stable();
    assert!(tier.partitions().iter().all(|assignment| assignment.in_sync.len() == 2));
}

/// Two stores lose power at the same time, and one of them also loses its disk. Milliseconds decide which of
/// them counts as lost first. The store that does must stay in sync, because the other one may have lost its
/// disk.
#[test]
fn of_replicas_that_fail_together_none_is_removed_before_one_is_reported() {
    let mut tier = Tier::with_first_map(1..=2);
    tier.lose_store(1);
    tier.view.alive.remove(&DiskId(2));
    assert_eq!(
        tier.plan_and_commit(&[]),
        None,
        "store 2 is not reported, though it does not count as lost yet"
    );
    tier.lose_store(2);
    assert_eq!(tier.plan_and_commit(&[]), None);
    // Store 2 returns with an empty disk, store 1 with its old one.
    tier.add_live_store(store_on(9, 2));
    tier.add_live_store(store(1));
    tier.plan_and_commit(&[]).unwrap();
    let is_led_by_store_1 = |assignment: &Assignment| assignment.primary == DiskId(1);
    assert!(tier.partitions().iter().all(is_led_by_store_1));
    assert_eq!(unrecoverable_partitions(&tier.state, &tier.view), []);
}

#[test]
fn of_replicas_lost_together_the_first_to_return_becomes_primary() {
    let mut tier = Tier::with_first_map(1..=2);
    tier.lose_store(1);
    tier.lose_store(2);
    assert_eq!(tier.plan_and_commit(&[]), None);
    tier.add_live_store(store(2));
    tier.plan_and_commit(&[]).unwrap();
    assert!(
        tier.partitions()
            .iter()
            .all(|assignment| assignment.primary == DiskId(2) && assignment.in_sync == [DiskId(2)])
    );
}

#[test]
fn fewer_replicas_suffice_only_while_the_loss_of_the_others_is_certain() {
    // Covers the conditions `are_others_lost` and `others_reported` in `allowed_lost_replicas`.
    let mut tier = Tier::with_first_map(1..=2);
    let allows_lost = |tier: &Tier, replicas: u16| {
        tier.partitions().iter().all(|assignment| assignment.lost_replicas == replicas)
    };
    tier.lose_store(1);
    tier.plan_and_commit(&[]).unwrap();
    assert!(allows_lost(&tier, 0), "the store may only have stalled");
    tier.confirm_loss(1);
    let before = tier.state.store_map.clone();
    let after = tier.plan_and_commit(&[]).unwrap();
    check_successor(&before, &after, &[]);
    assert!(allows_lost(&tier, 1), "the allowance changes the epoch");
    // Still allowed after the store became replaceable and is no longer listed by the map.
    tier.make_replaceable(1);
    tier.plan_until_stable();
    assert!(allows_lost(&tier, 1) && tier.state.store_map.store(DiskId(1)).is_none());
    tier.add_live_store(store(1));
    tier.plan_and_commit(&[]).unwrap();
    assert!(
        allows_lost(&tier, 0) && tier.partitions().iter().all(|assignment| assignment.joining == [DiskId(1)])
    );
    tier.plan_until_stable();
    assert!(
        allows_lost(&tier, 0) && tier.partitions().iter().all(|assignment| assignment.in_sync.len() == 2)
    );
}

#[test]
fn fewer_replicas_do_not_suffice_while_another_store_can_hold_one() {
    let mut tier = Tier::with_first_map(1..=4);
    tier.confirm_loss(1);
    tier.confirm_loss(2);
    tier.plan_and_commit(&[]).unwrap();
    assert!(tier.partitions().iter().all(|assignment| assignment.lost_replicas == 0));
    assert!(
        tier.partitions()
            .iter()
            .all(|assignment| assignment.in_sync.len() + assignment.joining.len() >= REQUIRED_REPLICAS)
    );
}

#[test]
fn a_keeper_without_reports_keeps_the_allowed_lost_replicas() {
    // Covers the condition `missing <= previously_allowed` in `allowed_lost_replicas`.
    let mut tier = Tier::with_first_map(1..=2);
    tier.lose_store(1);
    tier.plan_and_commit(&[]).unwrap();
    tier.view.lost.clear();
    assert_eq!(tier.plan_and_commit(&[]), None);
    tier.confirm_loss(1);
    tier.plan_and_commit(&[]).unwrap();
    tier.view.lost.clear();
    tier.view.confirmed_lost.clear();
    assert_eq!(tier.plan_and_commit(&[]), None);
}

#[test]
fn a_removed_store_joins_again_and_is_admitted_by_a_report() {
    let mut tier = Tier::with_first_map(1..=3);
    tier.lose_store(1);
    tier.plan_and_commit(&[]).unwrap();
    tier.add_live_store(store(1));
    tier.plan_and_commit(&[]).unwrap();
    assert!(tier.partitions().iter().all(|assignment| assignment.joining == [DiskId(1)]));
    let reports = tier.caught_up_reports();
    let before = tier.state.store_map.clone();
    let after = tier.plan_and_commit(&reports).unwrap();
    check_successor(&before, &after, &reports);
    assert!(
        after
            .partitions
            .iter()
            .all(|assignment| assignment.in_sync.len() == 3 && assignment.joining.is_empty())
    );
}

#[test]
fn a_report_of_an_older_epoch_admits_no_replica() {
    let mut tier = Tier::with_first_map(1..=3);
    tier.lose_store(1);
    tier.plan_and_commit(&[]).unwrap();
    tier.add_live_store(store(1));
    tier.plan_and_commit(&[]).unwrap();
    let mut reports = tier.caught_up_reports();
    reports.iter_mut().for_each(|report| report.epoch.0 -= 1);
    assert_eq!(tier.plan_and_commit(&reports), None);
}

#[test]
fn a_report_is_ignored_once_its_primary_is_lost() {
    let mut tier = Tier::with_first_map(1..=3);
    tier.lose_store(1);
    tier.plan_and_commit(&[]).unwrap();
    tier.add_live_store(store(1));
    tier.plan_and_commit(&[]).unwrap();
    let reports = tier.caught_up_reports();
    let before = tier.state.store_map.clone();
    tier.lose_store(2);
    let after = tier.plan_and_commit(&reports).unwrap();
    for (old, new) in before.partitions.iter().zip(&after.partitions) {
        assert_eq!(new.primary, DiskId(3));
        if old.primary == DiskId(2) {
            // Store 3 is the only live one that has all writes, and store 1 does not count until it has them from 3.
            assert_eq!(disks(&new.in_sync), [2, 3].into());
            assert_eq!(new.joining, [DiskId(1)]);
        } else {
            assert_eq!(disks(&new.in_sync), [1, 3].into());
        }
    }
    tier.plan_until_stable();
    let is_on_live_stores = |assignment: &Assignment| disks(&assignment.in_sync) == [1, 3].into();
    assert!(tier.partitions().iter().all(is_on_live_stores));
}

#[test]
fn a_replaced_disk_is_removed_at_once() {
    let mut tier = Tier::with_first_map(1..=3);
    tier.view.alive.remove(&DiskId(1));
    // The machine returns with another disk; the old disk is removed without waiting for the loss timeout.
    tier.add_live_store(store_on(11, 1));
    tier.plan_and_commit(&[]).unwrap();
    assert!(tier.partitions().iter().all(|assignment| !assignment.in_sync.contains(&DiskId(1))));
    assert!(tier.partitions().iter().all(|assignment| assignment.joining == [DiskId(11)]));
    tier.plan_until_stable();
    assert!(!tier.replica_disks().contains(&DiskId(1)));
    assert_eq!(tier.state.store_map.store(DiskId(1)), None);
}

#[test]
fn partitions_without_any_replica_are_reported_and_left_unassigned() {
    let mut tier = Tier::with_first_map(1..=2);
    tier.view.alive.clear();
    tier.add_live_store(store_on(11, 1));
    tier.add_live_store(store_on(12, 2));
    assert_eq!(unrecoverable_partitions(&tier.state, &tier.view).len(), usize::from(PARTITION_COUNT));
    tier.plan_and_commit(&[]);
    assert!(tier.partitions().iter().all(|assignment| assignment.in_sync.iter().all(|disk| disk.0 < 10)));
}

#[test]
fn a_lost_store_is_replaced_only_after_the_replacement_delay() {
    let mut tier = Tier::with_first_map(1..=4);
    tier.lose_store(1);
    tier.plan_and_commit(&[]).unwrap();
    assert!(tier.partitions().iter().all(|assignment| assignment.joining.is_empty()));
    tier.make_replaceable(1);
    tier.plan_until_stable();
    assert!(tier.partitions().iter().all(|assignment| assignment.in_sync.len() == 3));
}

#[test]
fn too_few_replicas_are_filled_up_at_once() {
    let mut tier = Tier::with_first_map(1..=4);
    tier.lose_store(1);
    tier.lose_store(2);
    tier.plan_and_commit(&[]).unwrap();
    for assignment in
        tier.partitions().iter().filter(|assignment| assignment.in_sync.len() < REQUIRED_REPLICAS)
    {
        assert!(!assignment.joining.is_empty());
    }
}

#[test]
fn primaries_are_balanced_in_small_steps_and_only_while_stable() {
    let mut tier = Tier::with_first_map(1..=3);
    tier.lose_store(1);
    tier.plan_and_commit(&[]).unwrap();
    tier.add_live_store(store(1));
    tier.plan_until_stable();
    assert!(tier.partitions().iter().all(|assignment| assignment.primary != DiskId(1)));
    tier.view.is_stable = true;
    let before = tier.state.store_map.clone();
    let after = tier.plan_and_commit(&[]).unwrap();
    let moved =
        before.partitions.iter().zip(&after.partitions).filter(|(old, new)| old.primary != new.primary);
    assert!((1..=4).contains(&moved.count()));
    tier.plan_until_stable();
    let primaries = tier.partitions().iter().filter(|assignment| assignment.primary == DiskId(1)).count();
    assert!((9..=12).contains(&primaries), "{primaries}");
}

#[derive(Clone, Debug)]
enum StoreEvent {
    Lose(u64),
    ConfirmLoss(u64),
    Return(u64),
    Wipe(u64),
    CatchUp { every: usize },
    SetStable(bool),
}

fn store_event() -> impl Strategy<Value = StoreEvent> {
    prop_oneof![
        (1_u64..=5).prop_map(StoreEvent::Lose),
        (1_u64..=5).prop_map(StoreEvent::ConfirmLoss),
        (1_u64..=5).prop_map(StoreEvent::Return),
        (1_u64..=5).prop_map(StoreEvent::Wipe),
        (1_usize..4).prop_map(|every| StoreEvent::CatchUp { every }),
        any::<bool>().prop_map(StoreEvent::SetStable),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn only_an_in_sync_replica_ever_becomes_primary(
        events in prop::collection::vec(store_event(), 1..60),
    ) {
        let mut tier = Tier::with_first_map(1..=5);
        let mut disks: BTreeMap<u64, u64> = (1..=5).map(|machine| (machine, machine)).collect();
        for event in events {
            let mut reports = Vec::new();
            match event {
                StoreEvent::Lose(machine) => tier.lose_store(disks[&machine]),
                StoreEvent::ConfirmLoss(machine) => tier.confirm_loss(disks[&machine]),
                StoreEvent::Return(machine) => tier.add_live_store(store_on(disks[&machine], machine)),
                StoreEvent::Wipe(machine) => {
                    tier.view.alive.remove(&DiskId(disks[&machine]));
                    let disk = disks[&machine] + 100;
                    disks.insert(machine, disk);
                    tier.add_live_store(store_on(disk, machine));
                }
                StoreEvent::CatchUp { every } => {
                    reports = tier.caught_up_reports().into_iter().step_by(every).collect();
                }
                StoreEvent::SetStable(is_stable) => tier.view.is_stable = is_stable,
            }
            let before = tier.state.store_map.clone();
            if let Some(after) = tier.plan_and_commit(&reports) {
                check_successor(&before, &after, &reports);
            }
        }
    }
}
