//! Checks the configurations that relays apply.

use juniperwing_clock::Time;

use super::observations::{ConfigurationUpdate, Observations, RelayIncarnation, runs_throughout};
use super::{Property, Violations};
use crate::stability::millis;

/// The time limit until an acknowledged configuration is in force at all relays (`configApplyMs`), in milliseconds.
const MAX_APPLY_MS: u64 = 2_000;
/// How long a relay must have run to be in contact (`contactMs`), in milliseconds.
const CONTACT_MS: u64 = 3_000;

pub(super) fn check(observations: &Observations<'_>, violations: &mut Violations) {
    for incarnation in &observations.relay_incarnations {
        check_first_configuration(observations, incarnation, violations);
        check_monotonic(observations, incarnation, violations);
        check_apply_time(observations, incarnation, violations);
    }
}

/// Checks that the first configuration is not older than what was acknowledged before the relay started.
fn check_first_configuration(
    observations: &Observations<'_>, incarnation: &RelayIncarnation, violations: &mut Violations,
) {
    let Some(ConfigurationUpdate { at, order: Some(order) }) = incarnation.configurations.first() else {
        return;
    };
    let (generation, newest) =
        (observations.generation(*order), observations.acknowledged_before(incarnation.started_at));
    if newest.is_some_and(|newest| generation < newest) {
        let detail =
            format!("edge-{} begins with {generation}, {newest:?} is acknowledged", incarnation.relay);
        violations.add(Property::RelayStartsWithOlder, *at, detail);
    }
}

/// Checks that configurations were submitted, and that their generations never decrease.
fn check_monotonic(
    observations: &Observations<'_>, incarnation: &RelayIncarnation, violations: &mut Violations,
) {
    let mut newest = 0;
    for ConfigurationUpdate { at, order } in &incarnation.configurations {
        let Some(order) = order else {
            violations.add(Property::NeverSent, *at, format!("applied at edge-{}", incarnation.relay));
            continue;
        };
        let generation = observations.generation(*order);
        if generation < newest {
            let detail = format!("edge-{}: {generation} after {newest}", incarnation.relay);
            violations.add(Property::RelayWentBack, *at, detail);
        }
        newest = newest.max(generation);
    }
}

/// Checks that a relay in contact applies acknowledged configurations in time.
fn check_apply_time(
    observations: &Observations<'_>, incarnation: &RelayIncarnation, violations: &mut Violations,
) {
    for order in observations.orders.values() {
        let Some(at) = order.acknowledged_at() else { continue };
        let (from, until) = (millis(at), millis(at) + MAX_APPLY_MS);
        let is_in_contact = observations.is_stable(from, until)
            && runs_throughout(incarnation, from.saturating_sub(CONTACT_MS), until);
        let applied_generation =
            generation_at(observations, incarnation, Time::from_nanos(until * 1_000_000));
        if is_in_contact && applied_generation < order.generation {
            let detail = format!(
                "edge-{} holds {applied_generation}, {} was acknowledged {MAX_APPLY_MS} ms before",
                incarnation.relay, order.generation
            );
            violations.add(Property::LateAtRelay, Time::from_nanos(until * 1_000_000), detail);
        }
    }
}

/// The newest generation that a relay had applied at a moment; 0 if there is none.
fn generation_at(observations: &Observations<'_>, incarnation: &RelayIncarnation, moment: Time) -> u64 {
    let updates = incarnation.configurations.iter().take_while(|update| update.at <= moment);
    updates.filter_map(|update| update.order).map(|order| observations.generation(order)).max().unwrap_or(0)
}
