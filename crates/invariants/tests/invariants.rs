//! Violations are counted, reported, and fail tests.

use std::collections::BTreeSet;
use std::panic::catch_unwind;
use std::sync::{Arc, Mutex};

use juniperwing_invariants::{Invariant, Violation, check, report_to, violations};

#[test]
fn each_invariant_has_a_name_and_a_counter_of_its_own() {
    let names: BTreeSet<&str> = Invariant::ALL.iter().map(|invariant| invariant.name()).collect();
    assert_eq!(names.len(), Invariant::ALL.len());
    for (place, invariant) in Invariant::ALL.iter().enumerate() {
        assert_eq!(*invariant as usize, place, "{} has the counter of another one", invariant.name());
    }
}

#[test]
fn a_violation_is_counted_and_reported_and_panics_in_tests() {
    let reported: Arc<Mutex<Vec<Violation>>> = Arc::default();
    let seen = Arc::clone(&reported);
    assert!(report_to(Box::new(move |violation| seen.lock().unwrap().push(violation.clone()))));
    check(Invariant::EventIdsIncrease, true, || unreachable!("details of what holds"));
    let violated = catch_unwind(|| check(Invariant::EventIdsIncrease, false, || "request r-1".to_owned()));
    assert_eq!(violated.is_err(), cfg!(debug_assertions));
    assert_eq!(violations(Invariant::EventIdsIncrease), 1);
    assert_eq!(violations(Invariant::StoredTurnIsImmutable), 0);
    let expected = Violation { invariant: Invariant::EventIdsIncrease, details: "request r-1".to_owned() };
    assert_eq!(*reported.lock().unwrap(), [expected]);
}
