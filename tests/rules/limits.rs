//! Waits, refusals and limits, told or listed.

use expect_test::expect;
use juniperwing::interface::{CallStatus, RateLimitReport};
use juniperwing::time::Span;

use crate::helper::Rig;

#[test]
fn waits_are_heeded_for_the_whole_destination() {
    let mut rig = Rig::new(4, 1, &[("a", "z"), ("b", "z")]);
    rig.accept(1, "safe", None, 16_000);
    rig.accept(2, "safe", None, 16_000);
    rig.refuse(1, Span::from_millis(800));
    rig.refuse(2, Span::from_millis(300));
    rig.pass(9_000);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to b for 16000 ms
        0      recall what is not out to a
        0      recall what is not out to b
        0      recall what is not out to a
        0      recall what is not out to b
        1500   push 2 to a for 14500 ms
        3000   push 1 to b for 13000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// The outcomes of one call may come one by one, each with its own wait; the longest stands.
#[test]
fn every_outcome_of_a_call_may_tell_a_wait() {
    let mut rig = Rig::new(4, 2, &[("a", "z")]);
    rig.accept(1, "safe", None, 16_000);
    rig.accept(2, "safe", None, 16_000);
    rig.end(1, CallStatus::Busy);
    rig.refuse(2, Span::from_millis(700));
    rig.pass(9_000);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to a for 16000 ms
        700    push 1 to a for 15300 ms
        700    push 2 to a for 15300 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Refused with no wait told: each time it comes back ever more rarely, for many others may do so too.
#[test]
fn refusals_in_a_row_are_met_with_longer_pauses() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.accept(1, "safe", None, 30_000);
    for _ in 0..3 {
        rig.end(1, CallStatus::Busy);
        rig.pass(9_000);
    }
    expect![[r#"
        0      subscribe
        0      push 1 to a for 30000 ms
        90     push 1 to a for 29910 ms
        11050  push 1 to a for 18950 ms
        14050  a set aside
        19580  push 1 to a for 10420 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// The same where a limit is told: what is refused uses it up too, so calls are spaced by up to four parts of it.
#[test]
fn refusals_above_a_told_limit_space_calls_in_equal_parts_of_it() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.limit = Some(RateLimitReport { remaining_fraction: 0.1, rate_per_second: 10.0 });
    rig.accept(1, "safe", None, 30_000);
    for _ in 0..3 {
        rig.end(1, CallStatus::Busy);
        rig.pass(4_000);
    }
    expect![[r#"
        0      subscribe
        0      push 1 to a for 30000 ms
        200    push 1 to a for 29800 ms
        4520   push 1 to a for 25480 ms
        9100   push 1 to a for 20900 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Refused calls use the limit up too, so a refusal spaces a relay's calls for longer than the pause after it:
/// until answers tell that more than half of the limit is left.
#[test]
fn a_pace_kept_after_a_refusal_shrinks_as_answers_tell_of_room() {
    let mut rig = Rig::new(1, 1, &[("a", "z")]);
    rig.limit = Some(RateLimitReport { remaining_fraction: 0.0, rate_per_second: 2.0 });
    for id in 1..=6 {
        rig.accept(id, "safe", None, 30_000);
    }
    rig.end(1, CallStatus::Busy);
    for (id, left) in [(2, 0.3), (3, 0.7), (4, 1.0), (5, 1.0), (6, 1.0)] {
        rig.pass_until_out(id);
        rig.limit = Some(RateLimitReport { remaining_fraction: left, rate_per_second: 2.0 });
        rig.end(id, CallStatus::Delivered);
    }
    expect![[r#"
        0      subscribe
        0      push 1 to a for 30000 ms
        1000   push 2 to a for 29000 ms
        2150   push 3 to a for 27850 ms
        3150   push 4 to a for 26850 ms
        3860   push 5 to a for 26140 ms
        4360   push 6 to a for 25640 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A relay that has just started was handed little for want of time, not of traffic: its calls to a
/// destination that refuses all are no rarer than those of one that was handed as much a second for longer.
#[test]
fn a_relay_that_has_just_started_tries_a_shut_destination_as_often_as_one_that_has_long_run() {
    let tries = |before: u64| {
        let mut rig = Rig::one_of(100, 4, 1, &[("a", "z")]);
        let (mut next, mut refused) = (1, 0);
        for second in 0..before + 24 {
            rig.accept(next, "safe", None, 16_000);
            next += 1;
            for _ in 0..50 {
                rig.pass(20);
                let status = if second < before { CallStatus::Delivered } else { CallStatus::Busy };
                refused += if second < before { 0 } else { rig.out_now().len() };
                rig.out_now().into_iter().for_each(|id| rig.end(id, status));
            }
        }
        refused
    };
    expect!["10 12"].assert_eq(&format!("{} {}", tries(2), tries(40)));
}

#[test]
fn a_wait_binds_whatever_became_of_the_push() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.accept(1, "safe", None, 16_000);
    rig.ends(1, CallStatus::Delivered, Some(Span::from_millis(700)));
    rig.accept(2, "safe", None, 16_000);
    rig.pass(3_000);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      recall what is not out to a
        840    push 2 to a for 15160 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A rate is listed and nothing is told in answers: what is refused is above the limit, no sign of an outage, and if
/// a wait is told sets a pace that grows with each and shrinks with deliveries. A short wait's end is no return.
#[test]
fn a_listed_rate_stands_in_for_a_told_limit() {
    let mut rig = Rig::listed(50, 20.0, &["a"]);
    rig.accept(1, "safe", None, 90_000);
    for wait in [0, 300, 300] {
        rig.pass_until_out(1);
        rig.ends(1, CallStatus::Busy, Some(Span::from_millis(wait)).filter(|wait| *wait > Span::ZERO));
    }
    for id in 1..=3 {
        rig.accept(id + 1, "safe", None, 90_000);
        rig.pass_until_out(id);
        rig.end(id, CallStatus::Delivered);
    }
    expect![[r#"
        0      subscribe
        50     push 1 to a for 89950 ms
        190    push 1 to a for 89810 ms
        190    recall what is not out to a
        5950   push 1 to a for 84050 ms
        5950   recall what is not out to a
        12720  push 2 to a for 83230 ms
        17520  push 1 to a for 72480 ms
        20920  push 3 to a for 86600 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Full queues behind a silence: refusals in a row, some with a wait and some without, with none delivered between,
/// are met as an outage is, though a rate is listed.
#[test]
fn refusals_in_a_row_keep_a_relay_to_its_part_though_a_rate_is_listed() {
    let mut rig = Rig::listed(50, 20.0, &["a"]);
    rig.accept(1, "safe", None, 60_000);
    for wait in [200, 0, 0] {
        rig.pass_until_out(1);
        rig.ends(1, CallStatus::Busy, Some(Span::from_millis(wait)).filter(|wait| *wait > Span::ZERO));
    }
    rig.pass_until_out(1);
    expect![[r#"
        0      subscribe
        50     push 1 to a for 59950 ms
        50     recall what is not out to a
        450    push 1 to a for 59550 ms
        7100   push 1 to a for 52900 ms
        15330  push 1 to a for 44670 ms
    "#]]
    .assert_eq(&rig.trace);
}
