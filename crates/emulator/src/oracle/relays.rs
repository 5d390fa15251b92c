//! What relays bring into force.

use juniperwing_clock::Time;

use super::view::{RelayLife, View, lives_through};
use super::{Findings, Property};
use crate::stability::millis;

/// How soon a configuration is in force (`configApplyMs`).
const APPLY_MS: u64 = 2_000;
/// How long a relay must have run (`contactMs`).
const CONTACT_MS: u64 = 3_000;

pub(super) fn judge(view: &View<'_>, findings: &mut Findings) {
    for life in &view.lives {
        start(view, life, findings);
        order(view, life, findings);
        in_time(view, life, findings);
    }
}

fn start(view: &View<'_>, life: &RelayLife, findings: &mut Findings) {
    let Some((at, Some(order))) = life.configurations.first() else { return };
    let (generation, newest) = (view.generation(*order), view.acknowledged_before(life.began));
    if newest.is_some_and(|newest| generation < newest) {
        let detail = format!("edge-{} begins with {generation}, {newest:?} is acknowledged", life.relay);
        findings.add(Property::RelayStartsWithOlder, *at, detail);
    }
}

fn order(view: &View<'_>, life: &RelayLife, findings: &mut Findings) {
    let mut newest = 0;
    for (at, order) in &life.configurations {
        let Some(order) = order else {
            findings.add(Property::NeverSent, *at, format!("told to edge-{}", life.relay));
            continue;
        };
        let generation = view.generation(*order);
        if generation < newest {
            let detail = format!("edge-{}: {generation} after {newest}", life.relay);
            findings.add(Property::RelayWentBack, *at, detail);
        }
        newest = newest.max(generation);
    }
}

fn in_time(view: &View<'_>, life: &RelayLife, findings: &mut Findings) {
    for order in view.orders.values() {
        let Some(at) = order.acknowledged_at() else { continue };
        let (from, until) = (millis(at), millis(at) + APPLY_MS);
        let in_touch =
            view.is_stable(from, until) && lives_through(life, from.saturating_sub(CONTACT_MS), until);
        let held = generation_at(view, life, Time::from_nanos(until * 1_000_000));
        if in_touch && held < order.generation {
            let detail = format!(
                "edge-{} holds {held}, {} was acknowledged {APPLY_MS} ms before",
                life.relay, order.generation
            );
            findings.add(Property::LateAtRelay, Time::from_nanos(until * 1_000_000), detail);
        }
    }
}

fn generation_at(view: &View<'_>, life: &RelayLife, moment: Time) -> u64 {
    let told = life.configurations.iter().take_while(|(at, _)| *at <= moment);
    told.filter_map(|(_, order)| order.map(|order| view.generation(order))).max().unwrap_or(0)
}
