//! Checks that orders and reads succeed while the core is stable.

use juniperwing_clock::Time;

use super::observations::Observations;
use super::{Property, Violations, order_name};
use crate::history::{Event, RecordedEvent};
use crate::stability::millis;

/// The time limit for a conclusive response to an order (`ackMs`), in milliseconds.
const MAX_REPLY_MS: u64 = 4_000;
/// How long the bootstrap of the tier may take, in milliseconds.
const BOOTSTRAP_MS: u64 = 4_000;
/// The time before the end of the scenario in which a read must succeed, in milliseconds.
const FINAL_READ_MS: u64 = 3_000;

pub(super) fn check(observations: &Observations<'_>, violations: &mut Violations) {
    for order in observations.orders.values() {
        let (from, until) = (millis(order.submitted_at), millis(order.submitted_at) + MAX_REPLY_MS);
        let is_in_time = |at: Time| millis(at) <= until;
        let is_conclusive = order
            .replies
            .iter()
            .any(|reply| is_in_time(reply.at) && (reply.status == 200 || reply.is_refusal()));
        if from >= BOOTSTRAP_MS && observations.is_stable(from, until) && !is_conclusive {
            violations.add(Property::OrderWithoutAnswer, order.submitted_at, order_name(order.id));
        }
    }
    check_final_read(observations, violations);
}

fn check_final_read(observations: &Observations<'_>, violations: &mut Violations) {
    let end_ms = observations.scenario.duration_ms;
    let last_read =
        observations.history.iter().rev().find(|RecordedEvent { event, .. }| {
            matches!(event, Event::ConfigurationRead { status: 200, .. })
        });
    let is_read = last_read.is_some_and(|recorded| millis(recorded.at) + FINAL_READ_MS >= end_ms);
    if !is_read && observations.is_stable(end_ms - FINAL_READ_MS, end_ms - 1) {
        violations.add(Property::NotReadable, Time::from_nanos(end_ms * 1_000_000), "no reply".to_owned());
    }
}
