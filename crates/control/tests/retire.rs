//! Emptying a store machine.

mod common;

use common::{REQUIRED, Tier, store_on};
use juniperwing_control::{
    ControlChange, ControlState, RetireDecision, RetirementState, StoreView, completed_retirements,
    decide_retire, retirement_of_replaced_disk, retirement_state,
};
use juniperwing_protocol::{DiskId, NodeName};
use juniperwing_replication::ReplicatedState;

fn node(machine: u64) -> NodeName {
    NodeName::from(format!("store-{machine}").as_str())
}

fn decide(tier: &Tier, machine: u64) -> RetireDecision {
    decide_retire(&tier.state, &tier.view, &node(machine), REQUIRED)
}

fn begin(tier: &mut Tier, machine: u64) {
    match decide(tier, machine) {
        RetireDecision::Accept(change) => tier.state.apply(&change),
        other => panic!("{other:?}"),
    }
}

fn complete(tier: &mut Tier) {
    for disk in completed_retirements(&tier.state, REQUIRED) {
        tier.state.apply(&ControlChange::CompleteRetirement(disk));
    }
}

#[test]
fn unknown_machines_and_too_few_others_are_refused() {
    let tier = Tier::of(1..=2);
    assert_eq!(decide(&tier, 9), RetireDecision::UnknownMachine);
    assert_eq!(decide(&tier, 1), RetireDecision::TooFewRemaining { others: 1 });
}

#[test]
fn a_machine_under_way_does_not_count_as_another() {
    let mut tier = Tier::of(1..=4);
    begin(&mut tier, 1);
    begin(&mut tier, 2);
    assert_eq!(decide(&tier, 3), RetireDecision::TooFewRemaining { others: 1 });
    assert_eq!(decide(&tier, 1), RetireDecision::AlreadyAccepted);
}

#[test]
fn replicas_move_away_before_it_is_completed() {
    let mut tier = Tier::of(1..=4);
    begin(&mut tier, 1);
    tier.step(&[]).unwrap();
    let moving: Vec<_> =
        tier.partitions().iter().filter(|held| held.in_sync.contains(&DiskId(1))).cloned().collect();
    assert!(!moving.is_empty());
    assert!(moving.iter().all(|held| held.joining.len() == 1), "another joins first");
    complete(&mut tier);
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Active));
    tier.settle();
    assert!(!tier.holders().contains(&DiskId(1)));
    assert!(tier.partitions().iter().all(|held| held.in_sync.len() == REQUIRED + 1));
    complete(&mut tier);
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Completed));
    assert_eq!(decide(&tier, 1), RetireDecision::AlreadyAccepted);
}

#[test]
fn it_is_not_completed_while_a_partition_has_too_few_copies() {
    let mut tier = Tier::of(1..=3);
    tier.lose(3);
    tier.step(&[]).unwrap();
    begin(&mut tier, 1);
    tier.step(&[]);
    complete(&mut tier);
    assert!(tier.holders().contains(&DiskId(1)));
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Active));
}

#[test]
fn it_does_not_wait_for_a_store_that_was_lost_a_short_while_ago() {
    let mut tier = Tier::of(1..=5);
    let before = tier.partitions().to_vec();
    tier.lose(2);
    begin(&mut tier, 1);
    tier.settle();
    complete(&mut tier);
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Completed));
    let left = before.iter().zip(tier.partitions()).filter(|(old, _)| old.in_sync.contains(&DiskId(1)));
    assert!(left.map(|(_, new)| new.in_sync.len()).all(|copies| copies == REQUIRED + 1));
}

#[test]
fn a_completed_one_that_is_still_there_is_given_nothing() {
    let mut tier = Tier::of(1..=4);
    begin(&mut tier, 1);
    tier.settle();
    complete(&mut tier);
    tier.lose_long(2);
    tier.settle();
    assert!(!tier.holders().contains(&DiskId(1)));
}

#[test]
fn it_stays_completed_when_the_machine_is_gone() {
    let mut tier = Tier::of(1..=4);
    begin(&mut tier, 1);
    tier.settle();
    complete(&mut tier);
    tier.lose_long(1);
    tier.settle();
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Completed));
    assert_eq!(decide(&tier, 1), RetireDecision::AlreadyAccepted);
}

#[test]
fn a_keeper_that_has_seen_no_store_yet_refuses_nothing() {
    // Guard: `is_settled` in `decide_retire`.
    let tier = Tier::of(1..=2);
    let empty = StoreView::default();
    let unknown = decide_retire(&ControlState::default(), &empty, &node(1), REQUIRED);
    assert_eq!(unknown, RetireDecision::StoresUncertain);
    let too_few = decide_retire(&tier.state, &empty, &node(1), REQUIRED);
    assert_eq!(too_few, RetireDecision::StoresUncertain);
    let settled = StoreView { is_settled: true, ..empty };
    let unknown = decide_retire(&ControlState::default(), &settled, &node(1), REQUIRED);
    assert_eq!(unknown, RetireDecision::UnknownMachine);
}

#[test]
fn a_keeper_that_has_seen_no_store_yet_takes_an_order_by_the_map_and_knows_what_was_taken() {
    let mut tier = Tier::of(1..=3);
    tier.view = StoreView::default();
    begin(&mut tier, 1);
    assert_eq!(decide(&tier, 1), RetireDecision::AlreadyAccepted);
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Active));
}

#[test]
fn a_machine_that_came_anew_under_the_name_of_one_taken_away_is_another() {
    // Guard: `came_anew` in `retirement_state`.
    let mut tier = Tier::of(1..=4);
    begin(&mut tier, 1);
    tier.settle();
    complete(&mut tier);
    tier.lose_long(1);
    tier.bring(store_on(11, 1));
    tier.settle();
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), None);
    tier.lose_long(2);
    tier.settle();
    assert!(tier.holders().contains(&DiskId(11)));
    tier.bring(common::store(2));
    begin(&mut tier, 1);
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Active));
    tier.settle();
    complete(&mut tier);
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Completed));
    assert!(!tier.holders().contains(&DiskId(11)));
}

#[test]
fn a_machine_that_lost_its_disk_while_being_emptied_goes_on_being_emptied() {
    // Guards: `has_active_retirement` in `decide_retire`, and `retirement_of_replaced_disk`.
    let mut tier = Tier::of(1..=3);
    begin(&mut tier, 1);
    tier.view.alive.remove(&DiskId(1));
    tier.bring(store_on(11, 1));
    // The order that was taken is not refused, although too few would remain for another one.
    tier.lose_long(3);
    assert_eq!(decide(&tier, 1), RetireDecision::AlreadyAccepted);
    tier.bring(common::store(3));
    let renewed =
        retirement_of_replaced_disk(&tier.state, &tier.view).expect("another disk to be given nothing");
    tier.state.apply(&renewed);
    assert_eq!(retirement_of_replaced_disk(&tier.state, &tier.view), None);
    tier.settle();
    complete(&mut tier);
    assert!(!tier.holders().contains(&DiskId(1)) && !tier.holders().contains(&DiskId(11)));
    assert_eq!(retirement_state(&tier.state, &tier.view, &node(1)), Some(RetirementState::Completed));
    tier.settle();
    assert!(!tier.holders().contains(&DiskId(11)));
}
