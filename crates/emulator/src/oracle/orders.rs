//! The answers to operators.

use std::collections::BTreeMap;

use super::view::{Order, View};
use super::{Findings, Property, order_name};
use crate::history::Seen;

pub(super) fn judge(view: &View<'_>, findings: &mut Findings) {
    two_acknowledged(view, findings);
    for order in view.orders.values() {
        refused_wrongly(view, order, findings);
    }
    reads(view, findings);
}

fn two_acknowledged(view: &View<'_>, findings: &mut Findings) {
    let mut first: BTreeMap<u64, &Order> = BTreeMap::new();
    for order in view.orders.values() {
        let Some(at) = order.acknowledged_at() else { continue };
        let winner = first.entry(order.base).or_insert(order);
        if winner.id != order.id {
            let detail = format!("on {}: {} and {}", order.base, order_name(winner.id), order_name(order.id));
            findings.add(Property::TwoAcknowledged, at, detail);
        }
    }
}

fn refused_wrongly(view: &View<'_>, order: &Order, findings: &mut Findings) {
    let Some(refusal) = order.refused() else { return };
    let name = order_name(order.id);
    let by = format!("{name}, {} by core-{}", refusal.status, refusal.keeper);
    if order.acknowledged_at().is_some() {
        findings.add(Property::AcknowledgedAndRefused, refusal.at, by);
    } else if let Some(at) = order.in_force {
        findings.add(Property::RefusedButInForce, at.max(refusal.at), by);
    } else if view.acknowledged_before(refusal.asked) == Some(order.base) {
        let rivals = view.orders.values().filter(|other| other.base == order.base && other.id != order.id);
        let seen =
            rivals.filter(|rival| rival.in_force.is_some() || rival.acknowledged_at().is_some()).count();
        if seen == 0 {
            findings.add(Property::RefusedWithoutRival, refusal.at, by);
        }
    }
}

fn reads(view: &View<'_>, findings: &mut Findings) {
    for (at, seen) in view.history {
        let Seen::Read { status, asked, keeper, order } = seen else { continue };
        let acknowledged = view.acknowledged_before(*asked);
        match (status, order) {
            (200, None) => findings.add(Property::NeverSent, *at, format!("read from core-{keeper}")),
            (200, Some(order)) => {
                let generation = view.generation(*order);
                if acknowledged.is_some_and(|newest| generation < newest) {
                    let detail = format!("{generation} from core-{keeper}, {acknowledged:?} is acknowledged");
                    findings.add(Property::ReadOlder, *at, detail);
                }
            }
            (404, _) if acknowledged.is_some() => {
                let detail = format!("none at core-{keeper}, {acknowledged:?} is acknowledged");
                findings.add(Property::ReadMissing, *at, detail);
            }
            _ => {}
        }
    }
}
