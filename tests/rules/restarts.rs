//! Starts, stops and other terms while a relay runs.

use expect_test::expect;
use juniperwing::interface::{CallStatus, Event, NotificationHistory, NotificationId};
use juniperwing::time::Span;

use crate::helper::{Rig, terms};

/// Before a planned restart: what would be out of time by the next process is handed back at once, with a time to come
/// back; the rest is held for it. What is out may end.
#[test]
fn with_no_slots_any_more_what_the_next_process_could_not_push_in_time_is_handed_back_at_once() {
    let mut rig = Rig::new(1, 1, &[("a", "z")]);
    for (id, ttl) in [(1, 16_000), (2, 2_000), (3, 16_000)] {
        rig.accept(id, "safe", None, ttl);
    }
    rig.accept(4, "once", Some("k"), 16_000);
    rig.accept(5, "once", Some("k"), 1_500);
    rig.pass(100);
    rig.give(Event::SlotLimitChanged(0));
    rig.accept(6, "safe", None, 2_200);
    rig.accept(7, "safe", None, 2_400);
    rig.pass(50);
    rig.end(1, CallStatus::Delivered);
    rig.accept(8, "mark", None, 900);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        100    throttle 5
        100    throttle 2
        100    throttle 6
        150    throttle 8
    "#]]
    .assert_eq(&rig.trace);
}

/// What an earlier life left untried has waited longest: it goes before what has come since, past its objective too.
#[test]
fn what_a_restart_finds_untried_goes_before_what_has_come_since() {
    let mut rig = Rig::new(1, 1, &[("a", "z")]);
    for id in [1, 2] {
        rig.resume(
            id,
            "safe",
            None,
            NotificationHistory { is_recovered: true, ..NotificationHistory::default() },
        );
    }
    rig.accept(3, "safe", None, 16_000);
    rig.pass(2_100);
    rig.accept(4, "safe", None, 16_000);
    for id in [1, 2, 4] {
        rig.end(id, CallStatus::Delivered);
    }
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        2100   push 2 to a for 13900 ms
        2100   push 4 to a for 16000 ms
        2100   push 3 to a for 13900 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A push that was out when the relay was killed may have run.
#[test]
fn after_a_restart_what_may_have_run_goes_again_only_where_that_is_safe() {
    let mut rig = Rig::new(4, 1, &[("a", "z"), ("b", "y")]);
    rig.pass(5_000);
    let out = |rig: &Rig, ms| NotificationHistory {
        push_count: 1,
        first_possible_run: Some(rig.ago(ms)),
        last_doubtful_end: Some(rig.ago(0).sent_at),
        has_final_answer: false,
        is_recovered: true,
    };
    for (id, topic, past) in [
        (1, "once", out(&rig, 1_000)),
        (2, "once", NotificationHistory::default()),
        (3, "mark", out(&rig, 1_000)),
        (4, "mark", out(&rig, 4_500)),
        (5, "safe", NotificationHistory { push_count: 8, ..out(&rig, 1_000) }),
        (6, "once", NotificationHistory { has_final_answer: true, ..out(&rig, 1_000) }),
        (7, "once", NotificationHistory::default()),
    ] {
        rig.resume(id, topic, Some("k").filter(|_| topic == "once"), past);
    }
    rig.pass(400);
    rig.end(2, CallStatus::Delivered);
    rig.pass(400);
    rig.give(Event::FinalAnswerAcknowledged(NotificationId(6)));
    rig.pass(400);
    expect![[r#"
        0      subscribe
        5000   expire 1
        5000   push 3 to a for 16000 ms
        5000   expire 4
        5000   expire 5
        5300   push 2 to b for 15700 ms
        5800   push 7 to a for 15200 ms
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_relay_that_stops_makes_no_further_calls() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.accept(1, "safe", None, 16_000);
    rig.give(Event::SlotLimitChanged(0));
    rig.accept(2, "safe", None, 16_000);
    rig.end(1, CallStatus::Busy);
    rig.pass(1_000);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Other terms while it runs: fewer slots than calls out only mean no new ones; what was taken keeps its effect;
/// waits stay; the way back is the same step.
#[test]
fn other_terms_take_effect_in_a_running_relay_both_ways() {
    let mut rig = Rig::new(3, 1, &[("a", "z"), ("b", "y")]);
    let mut fewer = terms(2, 1);
    fewer.fleet.home_zone = Some("y".into());
    for id in 1..=3 {
        rig.accept(id, "once", None, 16_000);
    }
    rig.give(Event::ConfigChanged(fewer));
    rig.accept(4, "safe", None, 16_000);
    rig.pass(10);
    rig.end(1, CallStatus::Delivered);
    rig.end(2, CallStatus::Delivered);
    rig.pass(10);
    rig.end(3, CallStatus::TimedOut);
    rig.pass(10);
    rig.refuse(4, Span::from_millis(300));
    rig.give(Event::ConfigChanged(terms(2, 3)));
    rig.accept(5, "safe", None, 16_000);
    rig.accept(6, "safe", None, 16_000);
    rig.pass(20_000);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to b for 16000 ms
        10     push 3 to b for 15990 ms
        20     expire 3
        20     push 4 to b for 15980 ms
        30     recall what is not out to a
        30     recall what is not out to b
        1520   push 4 to a for 14480 ms
        3020   push 5 to b for 13010 ms
        6020   b set aside
        16020  throttle 6
    "#]]
    .assert_eq(&rig.trace);
}

/// Rates listed from now on are gone by at once, and no longer once they are not: the list itself has not changed.
#[test]
fn listed_rates_come_and_go_with_the_terms() {
    let mut rig = Rig::new(8, 1, &[("a", "z")]);
    for listed in [false, true, false] {
        let mut other = terms(2, 8);
        other.fleet.has_listed_rates = listed;
        rig.give(Event::ConfigChanged(other));
        for id in 1..=2 {
            rig.accept(id, "safe", None, 16_000);
        }
        rig.pass(1_500);
        for id in rig.out_now() {
            rig.end(id, CallStatus::Delivered);
        }
    }
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to a for 16000 ms
        1500   push 1 to a for 16000 ms
        2500   push 2 to a for 15000 ms
        3000   push 1 to a for 16000 ms
        3000   push 2 to a for 16000 ms
    "#]]
    .assert_eq(&rig.trace);
}
