//! Schedules are determined by their seeds and leave stateful machines time to catch up.

use juniperwing_soak::schedule::{CATCH_UP_MS, Schedule};

const LENGTH_MS: u64 = 25_000;

#[test]
fn same_seed_gives_same_schedule() {
    assert_eq!(Schedule::draw(7, LENGTH_MS), Schedule::draw(7, LENGTH_MS));
    assert_ne!(Schedule::draw(7, LENGTH_MS).faults, Schedule::draw(8, LENGTH_MS).faults);
}

#[test]
fn stateful_faults_within_tolerance_do_not_overlap() {
    for schedule in (0..200).map(|seed| Schedule::draw(seed, LENGTH_MS)) {
        if !schedule.is_within_tolerance() {
            continue;
        }
        let stateful = schedule.faults.iter().filter(|fault| fault.kind.takes_down_stateful_machine());
        let stateful: Vec<_> = stateful.collect();
        for pair in stateful.windows(2) {
            let ready_at = pair[0].starts_at + pair[0].duration_ms + CATCH_UP_MS;
            assert!(
                pair[1].starts_at >= ready_at,
                "seed {}: {} and {}",
                schedule.seed,
                pair[0].kind,
                pair[1].kind
            );
        }
    }
}

#[test]
fn at_most_one_disk_is_lost_beyond_tolerance() {
    for schedule in (0..200).map(|seed| Schedule::draw(seed, LENGTH_MS)) {
        let lost = schedule.faults.iter().filter(|fault| fault.kind.loses_disk()).count();
        assert!(schedule.is_within_tolerance() || lost <= 1, "seed {}: {lost} disks", schedule.seed);
    }
}
