//! Shrinks scenarios: removes faults that are not needed to reproduce a violation.

use crate::checker::{Property, Violation, check};
use crate::scenario::{Fault, Scenario};
use crate::simulation::run;

/// Runs a scenario and returns its violations in order of time.
pub fn run_and_check(scenario: &Scenario) -> Vec<Violation> {
    check(scenario, &run(scenario, false))
}

/// Removes faults one by one as long as the scenario still violates the property.
pub fn shrink(scenario: &Scenario, property: Property) -> Scenario {
    let is_violated_by =
        |scenario: &Scenario| run_and_check(scenario).iter().any(|violation| violation.property == property);
    let mut smallest = scenario.clone();
    loop {
        let smaller = candidates(&smallest).into_iter().find(|candidate| is_violated_by(candidate));
        match smaller {
            Some(smaller) => smallest = smaller,
            None => return smallest,
        }
    }
}

/// The scenarios that have one fault less.
fn candidates(scenario: &Scenario) -> Vec<Scenario> {
    let without = |index: usize| {
        let mut faults: Vec<Fault> = scenario.faults.clone();
        faults.remove(index);
        // The duration stays, so that clients draw the same random numbers.
        Scenario { faults, ..scenario.clone() }
    };
    (0..scenario.faults.len()).map(without).collect()
}
