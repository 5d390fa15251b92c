//! Checks the history of a scenario for violated properties, based only on what clients observed.
//!
//! [`orders`] checks the responses to operators, [`relays`] the configurations that relays applied, [`endpoints`] the
//! acknowledgements of heartbeats and drains, [`liveness`] whether orders are acknowledged at all, and [`turns`] what the
//! clients of programs observed.

mod endpoints;
mod liveness;
mod observations;
mod orders;
mod relays;
mod turns;

use std::fmt;

use juniperwing_clock::Time;

use self::observations::Observations;
use crate::history::{Event, OrderId, RecordedEvent};
use crate::scenario::Scenario;

/// A property that every history must have. Each variant names its violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Property {
    /// Two orders on one base were acknowledged.
    TwoAcknowledged,
    /// An order was acknowledged and refused.
    AcknowledgedAndRefused,
    /// An order was refused although it is in force.
    RefusedButInForce,
    /// An order on the newest version was refused although no other order on it was ever in force.
    RefusedWithoutConflict,
    /// A read returned a configuration older than one acknowledged before.
    StaleRead,
    /// A read or a relay got a configuration that was never submitted.
    NeverSent,
    /// A read returned no configuration after one was acknowledged.
    ReadMissing,
    /// The configuration could not be read at the end of the scenario.
    NotReadable,
    /// The first configuration of a relay is older than one acknowledged before its start.
    RelayStartsWithOlder,
    /// A relay applied an older configuration after a newer one.
    RelayWentBack,
    /// A relay in contact has not applied an acknowledged configuration in time.
    LateAtRelay,
    /// An endpoint whose draining or termination was acknowledged is ready at a relay in contact.
    DrainedButReady,
    /// An endpoint whose heartbeats are acknowledged is not ready at a relay in contact.
    UnknownThoughAcknowledged,
    /// A valid order had no conclusive response in time while the core was stable.
    OrderWithoutAnswer,
    /// A turn that was answered completely and stored was denied with 404.
    StoredTurnDenied,
    /// An endpoint got a chain that is not the one that was answered.
    WrongChain,
    /// A turn that continues one that was never answered was sent to an endpoint.
    UnknownTurnContinued,
    /// Clients received more tokens of a program than its budget allows.
    BudgetExceeded,
    /// A turn that has run, or that runs later, was denied with 402.
    DeniedTurnRan,
    /// A turn was denied with 402 although the budget had room for it.
    DeniedWithinBudget,
    /// A turn was answered with 503 while the tier was stable.
    TurnNotServed,
    /// A process exited without a shutdown request.
    ProcessExited,
}

/// A violation of a property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated property.
    pub property: Property,
    /// When the violation was observed.
    pub at: Time,
    /// The processes and versions involved.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.since(Time::default()).as_secs_f64();
        write!(f, "{:?} at {at:.3} s: {}", self.property, self.detail)
    }
}

/// Collects violations.
#[derive(Debug, Default)]
pub(crate) struct Violations(Vec<Violation>);

impl Violations {
    fn add(&mut self, property: Property, at: Time, detail: String) {
        self.0.push(Violation { property, at, detail });
    }
}

/// Checks the history of a scenario and returns the violations in order of time.
pub fn check(scenario: &Scenario, history: &[RecordedEvent]) -> Vec<Violation> {
    let observations = Observations::index(scenario, history);
    let mut violations = Violations::default();
    orders::check(&observations, &mut violations);
    relays::check(&observations, &mut violations);
    endpoints::check(&observations, &mut violations);
    liveness::check(&observations, &mut violations);
    turns::check(&observations, &mut violations);
    for RecordedEvent { at, event } in history {
        if let Event::ProcessExited { process } = event {
            violations.add(Property::ProcessExited, *at, process.to_string());
        }
    }
    let mut violations = violations.0;
    violations.sort_by_key(|violation| violation.at);
    violations
}

fn order_name(order: OrderId) -> String {
    format!("order {order}")
}
