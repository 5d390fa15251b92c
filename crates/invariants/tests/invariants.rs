//! Violations are counted and reported, and panic in debug builds.

use std::collections::BTreeSet;
use std::panic::catch_unwind;
use std::sync::{Arc, Mutex};

use juniperwing_invariants::{Invariant, Violation, check, set_reporter, violations};

#[test]
fn names_and_counters_of_invariants_are_distinct() {
    let names: BTreeSet<&str> = Invariant::ALL.iter().map(|invariant| invariant.name()).collect();
    assert_eq!(names.len(), Invariant::ALL.len());
    for (index, invariant) in Invariant::ALL.iter().enumerate() {
        assert_eq!(*invariant as usize, index, "{} has the counter of another invariant", invariant.name());
    }
}

#[test]
fn violation_is_counted_and_reported_and_panics_in_debug_builds() {
    let reported: Arc<Mutex<Vec<Violation>>> = Arc::default();
    let reporter_log = Arc::clone(&reported);
    assert!(set_reporter(Box::new(move |violation| reporter_log.lock().unwrap().push(violation.clone()))));
    check(Invariant::EventIdsIncrease, true, || unreachable!("details are evaluated for violations only"));
    let violated = catch_unwind(|| check(Invariant::EventIdsIncrease, false, || "request r-1".to_owned()));
    assert_eq!(violated.is_err(), cfg!(debug_assertions));
    assert_eq!(violations(Invariant::EventIdsIncrease), 1);
    assert_eq!(violations(Invariant::StoredTurnIsImmutable), 0);
    let expected = Violation { invariant: Invariant::EventIdsIncrease, details: "request r-1".to_owned() };
    assert_eq!(*reported.lock().unwrap(), [expected]);
}
