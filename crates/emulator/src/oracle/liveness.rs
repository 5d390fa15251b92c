//! Whether orders are acknowledged in calm times.

use juniperwing_clock::Time;

use super::view::View;
use super::{Findings, Property, order_name};
use crate::history::Seen;
use crate::stability::millis;

/// How soon an operator expects an answer (`ackMs`).
const ANSWER_MS: u64 = 4_000;
/// Before this the tier may still be forming, in milliseconds.
const FORMED_MS: u64 = 4_000;
/// Within this time before the end of the day, the configuration must have been read.
const READ_WITHIN_MS: u64 = 3_000;

pub(super) fn judge(view: &View<'_>, findings: &mut Findings) {
    for order in view.orders.values() {
        let (from, until) = (millis(order.made), millis(order.made) + ANSWER_MS);
        let in_time = |at: Time| millis(at) <= until;
        let clear = order
            .answers
            .iter()
            .any(|answer| in_time(answer.at) && (answer.status == 200 || answer.is_refusal()));
        if from >= FORMED_MS && view.is_stable(from, until) && !clear {
            findings.add(Property::OrderWithoutAnswer, order.made, order_name(order.id));
        }
    }
    readable(view, findings);
}

fn readable(view: &View<'_>, findings: &mut Findings) {
    let end = view.day.length_ms;
    let last_read =
        view.history.iter().rev().find(|(_, seen)| matches!(seen, Seen::Read { status: 200, .. }));
    let is_read = last_read.is_some_and(|(at, _)| millis(*at) + READ_WITHIN_MS >= end);
    if !is_read && view.is_stable(end - READ_WITHIN_MS, end - 1) {
        findings.add(Property::NotReadable, Time::from_nanos(end * 1_000_000), "no answer".to_owned());
    }
}
