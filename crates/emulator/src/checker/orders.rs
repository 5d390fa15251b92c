//! Checks the responses to operators.

use std::collections::BTreeMap;

use super::observations::{Observations, Order};
use super::{Property, Violations, order_name};
use crate::history::Event;

pub(super) fn check(observations: &Observations<'_>, violations: &mut Violations) {
    check_conflicting_acknowledgements(observations, violations);
    for order in observations.orders.values() {
        check_refusal(observations, order, violations);
    }
    check_reads(observations, violations);
}

/// Checks that at most one order on each base was acknowledged.
fn check_conflicting_acknowledgements(observations: &Observations<'_>, violations: &mut Violations) {
    let mut first: BTreeMap<u64, &Order> = BTreeMap::new();
    for order in observations.orders.values() {
        let Some(at) = order.acknowledged_at() else { continue };
        let acknowledged = first.entry(order.base).or_insert(order);
        if acknowledged.id != order.id {
            let detail =
                format!("on {}: {} and {}", order.base, order_name(acknowledged.id), order_name(order.id));
            violations.add(Property::TwoAcknowledged, at, detail);
        }
    }
}

/// Checks that a refused order is neither acknowledged nor in force, and that it had a conflict.
fn check_refusal(observations: &Observations<'_>, order: &Order, violations: &mut Violations) {
    let Some(refusal) = order.refusal() else { return };
    let name = order_name(order.id);
    let detail = format!("{name}, {} by core-{}", refusal.status, refusal.keeper);
    if order.acknowledged_at().is_some() {
        violations.add(Property::AcknowledgedAndRefused, refusal.at, detail);
    } else if let Some(at) = order.in_force {
        violations.add(Property::RefusedButInForce, at.max(refusal.at), detail);
    } else if observations.acknowledged_before(refusal.requested_at) == Some(order.base) {
        let conflicting =
            observations.orders.values().filter(|other| other.base == order.base && other.id != order.id);
        let conflicts =
            conflicting.filter(|other| other.in_force.is_some() || other.acknowledged_at().is_some()).count();
        if conflicts == 0 {
            violations.add(Property::RefusedWithoutConflict, refusal.at, detail);
        }
    }
}

/// Checks that no read returned less than was acknowledged before it.
fn check_reads(observations: &Observations<'_>, violations: &mut Violations) {
    for (at, event) in observations.history {
        let Event::ConfigurationRead { status, requested_at, keeper, order } = event else { continue };
        let acknowledged = observations.acknowledged_before(*requested_at);
        match (status, order) {
            (200, None) => violations.add(Property::NeverSent, *at, format!("read from core-{keeper}")),
            (200, Some(order)) => {
                let generation = observations.generation(*order);
                if acknowledged.is_some_and(|newest| generation < newest) {
                    let detail = format!("{generation} from core-{keeper}, {acknowledged:?} is acknowledged");
                    violations.add(Property::StaleRead, *at, detail);
                }
            }
            (404, _) if acknowledged.is_some() => {
                let detail = format!("none at core-{keeper}, {acknowledged:?} is acknowledged");
                violations.add(Property::ReadMissing, *at, detail);
            }
            _ => {}
        }
    }
}
