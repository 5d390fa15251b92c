//! Tests of the retirement of store machines.

mod common;

use common::{REQUIRED_REPLICAS, Tier, store_on};
use juniperwing_control::{
    ControlChange, ControlState, RetireDecision, RetirementState, StoreView, completed_retirements,
    decide_retire, extend_retirement_to_new_disk, retirement_state,
};
use juniperwing_protocol::{DiskId, NodeName};
use juniperwing_replication::ReplicatedState;

fn node(machine: u64) -> NodeName {
    NodeName::from(format!("store-{machine}").as_str())
}

fn decide(tier: &Tier, machine: u64) -> RetireDecision {
    decide_retire(&tier.state, &tier.view, &node(machine), REQUIRED_REPLICAS)
}

fn begin(tier: &mut Tier, machine: u64) {
    match decide(tier, machine) {
        RetireDecision::Accept(change) => tier.state.apply(&change),
        other => panic!("{other:?}"),
    }
}

fn complete(tier: &mut Tier) {
    for disk in completed_retirements(&tier.state, REQUIRED_REPLICAS) {
        tier.state.apply(&ControlChange::CompleteRetirement(disk));
    }
}

#[test]
fn orders_for_unknown_machines_or_with_too_few_others_are_rejected() {
    let tier = Tier::with_first_map(1..=2);
    assert_eq!(decide(&tier, 9), RetireDecision::UnknownMachine);
    assert_eq!(decide(&tier, 1), RetireDecision::TooFewRemaining { others: 1 });
}

#[test]
fn a_retiring_machine_does_not_count_as_remaining() {
    let mut tier = Tier::with_first_map(1..=4);
    begin(&mut tier, 1);
    begin(&mut tier, 2);
    assert_eq!(decide(&tier, 3), RetireDecision::TooFewRemaining { others: 1 });
    assert_eq!(decide(&tier, 1), RetireDecision::AlreadyAccepted);
}

#[test]
fn replicas_move_away_before_the_retirement_completes() {
    let mut tier = Tier::with_first_map(1..=4);
    begin(&mut tier, 1);
    tier.plan_and_commit(&[]).unwrap();
    let moving: Vec<_> = tier
        .partitions()
        .iter()
        .filter(|assignment| assignment.in_sync.contains(&DiskId(1)))
        .cloned()
        .collect();
    assert!(!moving.is_empty());
    assert!(moving.iter().all(|assignment| assignment.joining.len() == 1), "another replica joins first");
    complete(&mut tier);
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Active));
    tier.plan_until_stable();
    assert!(!tier.replica_disks().contains(&DiskId(1)));
    assert!(tier.partitions().iter().all(|assignment| assignment.in_sync.len() == REQUIRED_REPLICAS + 1));
    complete(&mut tier);
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Completed));
    assert_eq!(decide(&tier, 1), RetireDecision::AlreadyAccepted);
}

#[test]
fn a_retirement_does_not_complete_while_a_partition_has_too_few_replicas() {
    let mut tier = Tier::with_first_map(1..=3);
    tier.lose_store(3);
    tier.plan_and_commit(&[]).unwrap();
    begin(&mut tier, 1);
    tier.plan_and_commit(&[]);
    complete(&mut tier);
    assert!(tier.replica_disks().contains(&DiskId(1)));
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Active));
}

#[test]
fn a_retirement_does_not_wait_for_a_recently_lost_store() {
    let mut tier = Tier::with_first_map(1..=5);
    let before = tier.partitions().to_vec();
    tier.lose_store(2);
    begin(&mut tier, 1);
    tier.plan_until_stable();
    complete(&mut tier);
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Completed));
    let moved = before.iter().zip(tier.partitions()).filter(|(old, _)| old.in_sync.contains(&DiskId(1)));
    assert!(moved.map(|(_, new)| new.in_sync.len()).all(|replicas| replicas == REQUIRED_REPLICAS + 1));
}

#[test]
fn a_retired_machine_that_is_still_alive_is_assigned_no_replicas() {
    let mut tier = Tier::with_first_map(1..=4);
    begin(&mut tier, 1);
    tier.plan_until_stable();
    complete(&mut tier);
    tier.make_replaceable(2);
    tier.plan_until_stable();
    assert!(!tier.replica_disks().contains(&DiskId(1)));
}

#[test]
fn a_retirement_stays_completed_after_the_machine_is_removed() {
    let mut tier = Tier::with_first_map(1..=4);
    begin(&mut tier, 1);
    tier.plan_until_stable();
    complete(&mut tier);
    tier.make_replaceable(1);
    tier.plan_until_stable();
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Completed));
    assert_eq!(decide(&tier, 1), RetireDecision::AlreadyAccepted);
}

#[test]
fn a_keeper_without_reports_rejects_no_retirement() {
    // Covers the checks of `is_past_grace_period` in `decide_retire`.
    let tier = Tier::with_first_map(1..=2);
    let empty = StoreView::default();
    let unknown = decide_retire(&ControlState::default(), &empty, &node(1), REQUIRED_REPLICAS);
    assert_eq!(unknown, RetireDecision::StoresUncertain);
    let too_few = decide_retire(&tier.state, &empty, &node(1), REQUIRED_REPLICAS);
    assert_eq!(too_few, RetireDecision::StoresUncertain);
    let past_grace_period = StoreView { is_past_grace_period: true, ..empty };
    let unknown = decide_retire(&ControlState::default(), &past_grace_period, &node(1), REQUIRED_REPLICAS);
    assert_eq!(unknown, RetireDecision::UnknownMachine);
}

#[test]
fn a_keeper_without_reports_accepts_a_retirement_by_the_store_map() {
    let mut tier = Tier::with_first_map(1..=3);
    tier.view = StoreView::default();
    begin(&mut tier, 1);
    assert_eq!(decide(&tier, 1), RetireDecision::AlreadyAccepted);
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Active));
}

#[test]
fn a_new_machine_under_the_name_of_a_retired_one_is_not_retired() {
    // Covers the check of `is_new_machine` in `retirement_state`.
    let mut tier = Tier::with_first_map(1..=4);
    begin(&mut tier, 1);
    tier.plan_until_stable();
    complete(&mut tier);
    tier.make_replaceable(1);
    tier.add_live_store(store_on(11, 1));
    tier.plan_until_stable();
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), None);
    tier.make_replaceable(2);
    tier.plan_until_stable();
    assert!(tier.replica_disks().contains(&DiskId(11)));
    tier.add_live_store(common::store(2));
    begin(&mut tier, 1);
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Active));
    tier.plan_until_stable();
    complete(&mut tier);
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Completed));
    assert!(!tier.replica_disks().contains(&DiskId(11)));
}

#[test]
fn a_retirement_continues_after_the_machine_lost_its_disk() {
    // Covers the check of `has_active_retirement` in `decide_retire`, and `extend_retirement_to_new_disk`.
    let mut tier = Tier::with_first_map(1..=3);
    begin(&mut tier, 1);
    tier.view.alive.remove(&DiskId(1));
    tier.add_live_store(store_on(11, 1));
    // The order was accepted and is not rejected now, although too few machines would remain for a new order.
    tier.make_replaceable(3);
    assert_eq!(decide(&tier, 1), RetireDecision::AlreadyAccepted);
    tier.add_live_store(common::store(3));
    let extended =
        extend_retirement_to_new_disk(&tier.state, &tier.view).expect("the retirement of the new disk");
    tier.state.apply(&extended);
    assert_eq!(extend_retirement_to_new_disk(&tier.state, &tier.view), None);
    tier.plan_until_stable();
    complete(&mut tier);
    assert!(!tier.replica_disks().contains(&DiskId(1)) && !tier.replica_disks().contains(&DiskId(11)));
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Completed));
    tier.plan_until_stable();
    assert!(!tier.replica_disks().contains(&DiskId(11)));
}
