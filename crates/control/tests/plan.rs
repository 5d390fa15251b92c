//! The store map: the first one, losses, returns, and what may never happen.

mod common;

use std::collections::BTreeMap;

use common::{REQUIRED, Tier, check_successor, store, store_on};
use juniperwing_control::{
    ControlState, PARTITION_COUNT, PlanInput, StoreView, plan_store_map, unrecoverable_partitions,
};
use juniperwing_protocol::DiskId;
use proptest::prelude::*;

#[test]
fn the_first_map_waits_for_stores() {
    let state = ControlState::default();
    let mut view = StoreView::default();
    view.alive.insert(DiskId(1), store(1));
    view.alive.insert(DiskId(2), store(2));
    let planned = |view: &StoreView| {
        plan_store_map(PlanInput { state: &state, view, caught_up_reports: &[], required_copies: REQUIRED })
    };
    assert_eq!(planned(&view), None);
    view.is_initial_wait_over = true;
    assert!(planned(&view).is_some());
    view.alive.remove(&DiskId(2));
    assert_eq!(planned(&view), None);
}

#[test]
fn the_first_map_spreads_replicas_and_primaries() {
    let tier = Tier::of(1..=6);
    assert_eq!(tier.partitions().len(), usize::from(PARTITION_COUNT));
    let mut primaries: BTreeMap<DiskId, usize> = BTreeMap::new();
    for assignment in tier.partitions() {
        assert_eq!(assignment.in_sync.len(), REQUIRED + 1);
        let zones: Vec<_> = assignment.in_sync.iter().map(|disk| disk.0 % 3).collect();
        assert!((0..3).all(|zone| zones.contains(&zone)), "a replica in each zone");
        *primaries.entry(assignment.primary).or_default() += 1;
    }
    let share = usize::from(PARTITION_COUNT) / 6;
    assert!(primaries.values().all(|count| (share - 1..=share + 2).contains(count)), "{primaries:?}");
}

#[test]
fn a_settled_map_stays() {
    let mut tier = Tier::of(1..=4);
    assert_eq!(tier.step(&[]), None);
}

#[test]
fn a_lost_store_leaves_and_another_in_sync_takes_its_partitions() {
    let mut tier = Tier::of(1..=3);
    let before = tier.state.store_map.clone();
    tier.lose(1);
    let after = tier.step(&[]).unwrap();
    check_successor(&before, &after, &[]);
    assert!(after.partitions.iter().all(|held| !held.in_sync.contains(&DiskId(1))));
    assert_eq!(tier.step(&[]), None, "one change covers all partitions");
}

#[test]
fn a_store_that_is_only_unseen_keeps_its_place() {
    let mut tier = Tier::of(1..=3);
    tier.view.alive.remove(&DiskId(1));
    assert_eq!(tier.step(&[]), None);
    tier.bring(store(1));
    assert_eq!(tier.step(&[]), None);
}

#[test]
fn the_last_copy_is_waited_for() {
    let mut tier = Tier::of(1..=3);
    tier.lose(1);
    tier.step(&[]).unwrap();
    tier.lose(2);
    tier.step(&[]).unwrap();
    tier.lose(3);
    tier.step(&[]);
    assert!(tier.partitions().iter().all(|held| held.in_sync == [DiskId(3)]));
    // The others are back: they hold less, and must not decide.
    tier.bring(store(1));
    tier.bring(store(2));
    tier.step(&[]);
    assert!(tier.partitions().iter().all(|held| held.in_sync == [DiskId(3)] && held.primary == DiskId(3)));
    tier.bring(store(3));
    tier.settle();
    assert!(tier.partitions().iter().all(|held| held.in_sync.len() == 3));
}

#[test]
fn of_copies_lost_together_the_first_to_return_goes_on() {
    let mut tier = Tier::of(1..=2);
    tier.lose(1);
    tier.lose(2);
    assert_eq!(tier.step(&[]), None);
    tier.bring(store(2));
    tier.step(&[]).unwrap();
    assert!(tier.partitions().iter().all(|held| held.primary == DiskId(2) && held.in_sync == [DiskId(2)]));
}

#[test]
fn fewer_copies_are_enough_only_while_the_others_are_lost_beyond_doubt() {
    // Guards: `are_others_lost` and `others_seen` in `allowed_lost_replicas`.
    let mut tier = Tier::of(1..=2);
    let allowed =
        |tier: &Tier, copies: u16| tier.partitions().iter().all(|held| held.lost_replicas == copies);
    tier.lose(1);
    tier.step(&[]).unwrap();
    assert!(allowed(&tier, 0), "it may only have hiccuped");
    tier.lose_surely(1);
    let before = tier.state.store_map.clone();
    let after = tier.step(&[]).unwrap();
    check_successor(&before, &after, &[]);
    assert!(allowed(&tier, 1), "in an epoch of its own");
    // Long lost, and no longer named by the map: it stays so.
    tier.lose_long(1);
    tier.settle();
    assert!(allowed(&tier, 1) && tier.state.store_map.store(DiskId(1)).is_none());
    tier.bring(store(1));
    tier.step(&[]).unwrap();
    assert!(allowed(&tier, 0) && tier.partitions().iter().all(|held| held.joining == [DiskId(1)]));
    tier.settle();
    assert!(allowed(&tier, 0) && tier.partitions().iter().all(|held| held.in_sync.len() == 2));
}

#[test]
fn fewer_copies_are_not_enough_while_another_store_can_hold_one() {
    let mut tier = Tier::of(1..=4);
    tier.lose_surely(1);
    tier.lose_surely(2);
    tier.step(&[]).unwrap();
    assert!(tier.partitions().iter().all(|held| held.lost_replicas == 0));
    assert!(tier.partitions().iter().all(|held| held.in_sync.len() + held.joining.len() >= REQUIRED));
}

#[test]
fn a_keeper_that_has_seen_nothing_yet_allows_nothing_and_takes_nothing_back() {
    // Guard: `missing <= before` in `allowed_lost_replicas`.
    let mut tier = Tier::of(1..=2);
    tier.lose(1);
    tier.step(&[]).unwrap();
    tier.view.lost.clear();
    assert_eq!(tier.step(&[]), None);
    tier.lose_surely(1);
    tier.step(&[]).unwrap();
    tier.view.lost.clear();
    tier.view.confirmed_lost.clear();
    assert_eq!(tier.step(&[]), None);
}

#[test]
fn a_store_that_was_taken_out_joins_again_and_is_let_in_by_report() {
    let mut tier = Tier::of(1..=3);
    tier.lose(1);
    tier.step(&[]).unwrap();
    tier.bring(store(1));
    tier.step(&[]).unwrap();
    assert!(tier.partitions().iter().all(|held| held.joining == [DiskId(1)]));
    let reports = tier.all_caught_up();
    let before = tier.state.store_map.clone();
    let after = tier.step(&reports).unwrap();
    check_successor(&before, &after, &reports);
    assert!(after.partitions.iter().all(|held| held.in_sync.len() == 3 && held.joining.is_empty()));
}

#[test]
fn a_report_of_an_older_epoch_lets_nobody_in() {
    let mut tier = Tier::of(1..=3);
    tier.lose(1);
    tier.step(&[]).unwrap();
    tier.bring(store(1));
    tier.step(&[]).unwrap();
    let mut reports = tier.all_caught_up();
    reports.iter_mut().for_each(|report| report.epoch.0 -= 1);
    assert_eq!(tier.step(&reports), None);
}

#[test]
fn a_report_does_not_count_once_its_primary_is_lost() {
    let mut tier = Tier::of(1..=3);
    tier.lose(1);
    tier.step(&[]).unwrap();
    tier.bring(store(1));
    tier.step(&[]).unwrap();
    let reports = tier.all_caught_up();
    tier.lose(2);
    tier.step(&reports).unwrap();
    for held in tier.partitions().iter().filter(|held| held.primary == DiskId(3)) {
        assert!(!held.in_sync.contains(&DiskId(2)));
    }
    let orphaned = |disk: u64| tier.partitions().iter().any(|held| held.primary == DiskId(disk));
    assert!(!orphaned(1) && !orphaned(2));
}

#[test]
fn a_lost_disk_is_gone_for_good() {
    let mut tier = Tier::of(1..=3);
    tier.view.alive.remove(&DiskId(1));
    // The same machine with another disk, at once: nobody waits for the old one.
    tier.bring(store_on(11, 1));
    tier.step(&[]).unwrap();
    assert!(tier.partitions().iter().all(|held| !held.in_sync.contains(&DiskId(1))));
    assert!(tier.partitions().iter().all(|held| held.joining == [DiskId(11)]));
    tier.settle();
    assert!(!tier.holders().contains(&DiskId(1)));
    assert_eq!(tier.state.store_map.store(DiskId(1)), None);
}

#[test]
fn partitions_without_any_copy_are_told_and_left() {
    let mut tier = Tier::of(1..=2);
    tier.view.alive.clear();
    tier.bring(store_on(11, 1));
    tier.bring(store_on(12, 2));
    assert_eq!(unrecoverable_partitions(&tier.state, &tier.view).len(), usize::from(PARTITION_COUNT));
    tier.step(&[]);
    assert!(tier.partitions().iter().all(|held| held.in_sync.iter().all(|disk| disk.0 < 10)));
}

#[test]
fn a_lost_store_is_replaced_only_after_some_time() {
    let mut tier = Tier::of(1..=4);
    tier.lose(1);
    tier.step(&[]).unwrap();
    assert!(tier.partitions().iter().all(|held| held.joining.is_empty()));
    tier.lose_long(1);
    tier.settle();
    assert!(tier.partitions().iter().all(|held| held.in_sync.len() == 3));
}

#[test]
fn too_few_copies_are_filled_up_at_once() {
    let mut tier = Tier::of(1..=4);
    tier.lose(1);
    tier.lose(2);
    tier.step(&[]).unwrap();
    for held in tier.partitions().iter().filter(|held| held.in_sync.len() < REQUIRED) {
        assert!(!held.joining.is_empty());
    }
}

#[test]
fn primaries_are_balanced_slowly_and_only_when_calm() {
    let mut tier = Tier::of(1..=3);
    tier.lose(1);
    tier.step(&[]).unwrap();
    tier.bring(store(1));
    tier.settle();
    assert!(tier.partitions().iter().all(|held| held.primary != DiskId(1)));
    tier.view.is_stable = true;
    let before = tier.state.store_map.clone();
    let after = tier.step(&[]).unwrap();
    let moved =
        before.partitions.iter().zip(&after.partitions).filter(|(old, new)| old.primary != new.primary);
    assert!((1..=4).contains(&moved.count()));
    tier.settle();
    let own = tier.partitions().iter().filter(|held| held.primary == DiskId(1)).count();
    assert!((9..=12).contains(&own), "{own}");
}

#[derive(Clone, Debug)]
enum Happening {
    Lose(u64),
    LoseSurely(u64),
    Return(u64),
    Wipe(u64),
    CatchUp { share: usize },
    Calm(bool),
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        (1_u64..=5).prop_map(Happening::Lose),
        (1_u64..=5).prop_map(Happening::LoseSurely),
        (1_u64..=5).prop_map(Happening::Return),
        (1_u64..=5).prop_map(Happening::Wipe),
        (1_usize..4).prop_map(|share| Happening::CatchUp { share }),
        any::<bool>().prop_map(Happening::Calm),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn whatever_happens_only_a_holder_of_everything_decides(
        happenings in prop::collection::vec(happening(), 1..60),
    ) {
        let mut tier = Tier::of(1..=5);
        let mut disks: BTreeMap<u64, u64> = (1..=5).map(|machine| (machine, machine)).collect();
        for happening in happenings {
            let mut reports = Vec::new();
            match happening {
                Happening::Lose(machine) => tier.lose(disks[&machine]),
                Happening::LoseSurely(machine) => tier.lose_surely(disks[&machine]),
                Happening::Return(machine) => tier.bring(store_on(disks[&machine], machine)),
                Happening::Wipe(machine) => {
                    tier.view.alive.remove(&DiskId(disks[&machine]));
                    let disk = disks[&machine] + 100;
                    disks.insert(machine, disk);
                    tier.bring(store_on(disk, machine));
                }
                Happening::CatchUp { share } => {
                    reports = tier.all_caught_up().into_iter().step_by(share).collect();
                }
                Happening::Calm(calm) => tier.view.is_stable = calm,
            }
            let before = tier.state.store_map.clone();
            if let Some(after) = tier.step(&reports) {
                check_successor(&before, &after, &reports);
            }
        }
    }
}
