//! Tests of the detection of lost stores, on traces of keepers' reports.

mod common;

use common::{store, store_on};
use juniperwing_clock::{Span, Time};
use juniperwing_control::StoreTracker;
use juniperwing_protocol::DiskId;

const KEEPER: DiskId = DiskId(100);
const OTHER_KEEPER: DiskId = DiskId(101);

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

/// A tracker that has run for ten seconds, with reports of two stores every 100 ms.
fn tracker_after_ten_seconds() -> StoreTracker {
    let mut tracker = StoreTracker::new(at(0));
    for millis in (0..=10_000).step_by(100) {
        tracker.record_report(at(millis), KEEPER, vec![store(1), store(2)]);
        tracker.tick(at(millis), &[store(1), store(2)]);
    }
    tracker
}

#[test]
fn a_store_that_no_keeper_reports_is_lost_after_the_timeout() {
    let mut tracker = tracker_after_ten_seconds();
    tracker.record_report(at(10_100), KEEPER, vec![store(1)]);
    let view = tracker.tick(at(10_100), &[store(1), store(2)]);
    assert!(!view.alive.contains_key(&DiskId(2)) && view.lost.is_empty());
    assert_eq!(tracker.next_loss_at(), at(10_400));
    let view = tracker.tick(at(10_400), &[store(1), store(2)]);
    assert_eq!(view.lost.into_iter().collect::<Vec<_>>(), [DiskId(2)]);
    assert!(view.confirmed_lost.is_empty() && view.replaceable.is_empty() && !view.is_stable);
    assert_eq!(tracker.next_loss_at(), at(11_100));
    tracker.record_report(at(11_000), KEEPER, vec![store(1)]);
    let view = tracker.tick(at(11_100), &[store(1), store(2)]);
    assert_eq!(view.confirmed_lost.into_iter().collect::<Vec<_>>(), [DiskId(2)]);
}

#[test]
fn a_store_that_another_keeper_reports_is_alive() {
    let mut tracker = tracker_after_ten_seconds();
    tracker.record_report(at(10_100), OTHER_KEEPER, vec![store(2)]);
    tracker.record_report(at(10_100), KEEPER, vec![store(1)]);
    tracker.tick(at(10_100), &[store(1), store(2)]);
    let view = tracker.tick(at(10_600), &[store(1), store(2)]);
    assert_eq!(view.alive.len(), 2);
    assert!(view.lost.is_empty());
}

#[test]
fn reports_of_a_silent_keeper_expire() {
    let mut tracker = tracker_after_ten_seconds();
    tracker.record_report(at(10_100), OTHER_KEEPER, vec![store(2)]);
    for millis in (10_100..=11_800).step_by(100) {
        tracker.record_report(at(millis), KEEPER, vec![store(1)]);
        tracker.tick(at(millis), &[store(1), store(2)]);
    }
    let view = tracker.tick(at(11_800), &[store(1), store(2)]);
    assert!(view.lost.contains(&DiskId(2)));
}

#[test]
fn no_store_is_lost_right_after_the_start() {
    let mut tracker = StoreTracker::new(at(0));
    for millis in (0..2_000).step_by(100) {
        let view = tracker.tick(at(millis), &[store(1)]);
        assert!(view.lost.is_empty());
    }
    assert!(tracker.tick(at(2_000), &[store(1)]).lost.contains(&DiskId(1)));
}

#[test]
fn no_store_is_lost_right_after_a_pause_of_the_process() {
    let mut tracker = tracker_after_ten_seconds();
    let view = tracker.tick(at(15_000), &[store(1), store(2)]);
    assert!(view.alive.is_empty() && view.lost.is_empty());
    let view = tracker.tick(at(15_900), &[store(1), store(2)]);
    assert!(view.lost.is_empty());
}

#[test]
fn the_first_map_waits_for_other_stores_to_join() {
    let mut tracker = StoreTracker::new(at(0));
    tracker.record_report(at(500), KEEPER, Vec::new());
    assert!(!tracker.tick(at(500), &[]).is_initial_wait_over);
    tracker.record_report(at(1_000), KEEPER, vec![store(1)]);
    assert!(!tracker.tick(at(1_900), &[]).is_initial_wait_over);
    assert!(tracker.tick(at(2_500), &[]).is_initial_wait_over);
}

// Guards `record_successors`: a store that was replaced by another machine must not be waited for, while one that only
// stays away must.
#[test]
fn a_new_machine_succeeds_the_store_that_is_missing_for_longest() {
    let mut tracker = tracker_after_ten_seconds();
    let listed = [store(1), store(2), store(3)];
    tracker.record_report(at(10_100), KEEPER, vec![store(1), store(3)]);
    assert!(tracker.tick(at(10_100), &listed).succeeded.is_empty(), "no machine is new");
    tracker.record_report(at(10_200), KEEPER, vec![store(3)]);
    tracker.tick(at(10_200), &listed);
    tracker.record_report(at(10_300), KEEPER, vec![store(3), store(4)]);
    let succeeded = tracker.tick(at(10_300), &listed).succeeded;
    assert_eq!(succeeded.into_iter().collect::<Vec<_>>(), [DiskId(2)]);
    // The pair stays once the map lists the new machine, and ends when the old one is back.
    let listed = [store(1), store(2), store(3), store(4)];
    assert!(tracker.tick(at(10_400), &listed).succeeded.contains(&DiskId(2)));
    tracker.record_report(at(10_500), KEEPER, vec![store(2), store(3), store(4)]);
    assert!(tracker.tick(at(10_500), &listed).succeeded.is_empty());
    // A machine that returns with another disk is not new.
    tracker.record_report(at(10_600), KEEPER, vec![store(2), store(3), store(4), store_on(11, 1)]);
    assert!(tracker.tick(at(10_600), &listed).succeeded.is_empty());
}
