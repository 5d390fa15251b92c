//! Scenarios whose first fault starts while an order or a turn is being decided.
//!
//! The time between a write, its acknowledgement by other replicas and the response is a few milliseconds, and a fault
//! at a random time rarely falls into it. Since a scenario runs the same until its first fault, it is run once without
//! faults, and then all faults are shifted so that the first one starts shortly before or at an acknowledgement.

use juniperwing_random::Rng;

use crate::history::{Event, RecordedEvent};
use crate::scenario::{Fault, Scenario};
use crate::simulation::run;
use crate::stability::millis;

/// One seed in this many has a targeted scenario.
const TARGETED_SEED_INTERVAL: u64 = 3;
/// The maximum time from the start of the first fault to the acknowledgement of an order, in milliseconds.
const MAX_ORDER_LEAD_MS: u64 = 45;
/// The maximum time from the start of the first fault to the acknowledgement of a turn, in milliseconds. A turn takes
/// fewer steps than an order.
const MAX_TURN_LEAD_MS: u64 = 14;

/// What scenarios simulate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suite {
    /// Keepers, with operators, endpoints and relays as clients.
    Keepers,
    /// Keepers and stores, with programs as further clients.
    Tier,
}

/// The scenario of a seed; every third one is targeted.
pub fn scenario_for_seed(suite: Suite, seed: u64) -> Scenario {
    let scenario = match suite {
        Suite::Keepers => Scenario::generate(seed),
        Suite::Tier => Scenario::generate_tier(seed),
    };
    if seed.is_multiple_of(TARGETED_SEED_INTERVAL) { target_acknowledgement(&scenario) } else { scenario }
}

/// Shifts all faults so that the first one starts at an acknowledgement, or shortly before.
fn target_acknowledgement(scenario: &Scenario) -> Scenario {
    let mut rng = Rng::for_purpose(scenario.seed, 3_002);
    let Some(first) = scenario.faults.first() else { return scenario.clone() };
    let max_lead_ms = if scenario.stores == 0 { MAX_ORDER_LEAD_MS } else { MAX_TURN_LEAD_MS };
    let fault_free = Scenario { faults: Vec::new(), ..scenario.clone() };
    let acknowledged: Vec<u64> = run(&fault_free, false)
        .iter()
        .filter(|RecordedEvent { event, .. }| is_acknowledgement(scenario, event))
        .map(|recorded| millis(recorded.at))
        .filter(|at_ms| *at_ms > first.start_ms + max_lead_ms)
        .collect();
    // Considers only the first few, to keep the scenario short.
    let candidates = &acknowledged[..acknowledged.len().min(8)];
    let Some(target_ms) = rng.choose(candidates) else { return scenario.clone() };
    let shift_ms = target_ms - rng.below(max_lead_ms) - first.start_ms;
    let shifted = |fault: &Fault| Fault { start_ms: fault.start_ms + shift_ms, ..*fault };
    let faults = scenario.faults.iter().map(shifted).collect();
    // The fault-free tail keeps its duration; operators become read-only later, so nothing before the fault changes.
    Scenario { faults, duration_ms: scenario.duration_ms + shift_ms, ..scenario.clone() }
}

/// Whether an event follows a write that the scenario targets: of an order, or, if there are stores, of a turn.
fn is_acknowledgement(scenario: &Scenario, event: &Event) -> bool {
    match event {
        Event::OrderReplied { status: 200, .. } => scenario.stores == 0,
        Event::TurnBegun { .. } | Event::TurnAnswered { stored_attempt: Some(_), .. } => true,
        _ => false,
    }
}
