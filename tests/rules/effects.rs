//! What an effect, an order or a withdrawal allows.

use expect_test::expect;
use juniperwing::interface::{CallStatus, Event, NotificationId};

use crate::helper::Rig;

#[test]
fn once_only_has_one_push_that_may_have_run() {
    let mut rig = Rig::new(4, 1, &[("a", "z"), ("b", "z")]);
    rig.accept(1, "once", None, 16_000);
    rig.end(1, CallStatus::NoConnection);
    rig.pass(300);
    rig.end(1, CallStatus::Error);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        90     push 1 to b for 15910 ms
        300    expire 1
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn collapsible_restarts_only_in_its_group_and_window() {
    let mut rig = Rig::new(4, 1, &[("a", "z"), ("b", "y"), ("c", "z")]);
    rig.accept(1, "mark", None, 16_000);
    rig.end(1, CallStatus::Reset);
    rig.pass(3_700);
    rig.end(1, CallStatus::Error);
    rig.pass(200);
    rig.end(1, CallStatus::Error);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 1 to c for 16000 ms
        3700   push 1 to a for 12300 ms
        3900   expire 1
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn one_key_goes_one_at_a_time_and_rests_after_doubt() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    for id in 1..=3 {
        rig.accept(id, "once", Some("k"), 16_000);
    }
    rig.pass(100);
    rig.end(1, CallStatus::Reset);
    rig.pass(400);
    rig.end(2, CallStatus::Delivered);
    rig.pass(10);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        100    expire 1
        400    push 2 to a for 15600 ms
        500    push 3 to a for 15500 ms
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn what_is_withdrawn_or_settled_is_passed_over() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.accept(1, "safe", None, 16_000);
    rig.give(Event::Withdrawn(NotificationId(1)));
    rig.end(1, CallStatus::TimedOut);
    rig.give(Event::Withdrawn(NotificationId(1)));
    rig.pass(1_000);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// On sockets a notice takes time: whoever hears of the end later must not see the next of the key before it.
#[test]
fn the_next_of_a_key_waits_until_the_end_before_it_was_heard() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.hears = false;
    rig.accept(1, "once", Some("k"), 16_000);
    rig.accept(2, "once", Some("k"), 16_000);
    rig.end(1, CallStatus::Error);
    rig.pass(500);
    rig.give(Event::FinalAnswerAcknowledged(NotificationId(1)));
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      expire 1
        500    push 2 to a for 15500 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A copy over a new connection takes its time: the end of the window is for its arrival, not its sending.
#[test]
fn a_copy_is_sent_early_enough_to_arrive_in_its_window() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.warm(1, 6, 400);
    rig.accept(10, "mark", None, 16_000);
    rig.accept(11, "mark", None, 16_000);
    rig.pass(3_500);
    rig.end(10, CallStatus::Error);
    rig.pass(350);
    rig.end(11, CallStatus::Error);
    expect![[r#"
        2400   push 10 to a for 2666 ms
        2400   push 11 to a for 2666 ms
        5900   push 10 to a for 2500 ms
        6250   expire 11
    "#]]
    .assert_eq(&rig.trace);
}

/// One answer never comes, with others of its key behind it: called off long before its TTL, and they go on.
#[test]
fn a_push_in_order_whose_answer_does_not_come_is_called_off_for_those_behind_it() {
    let mut rig = Rig::new(8, 1, &[("a", "z"), ("b", "z")]);
    rig.warm(1, 6, 100);
    for id in 10..13 {
        rig.accept(id, "once", Some("k"), 16_000);
    }
    rig.accept(20, "once", Some("nobody-behind"), 16_000);
    rig.pass(4_000);
    expect![[r#"
        600    push 10 to a for 16000 ms
        600    push 20 to b for 16000 ms
        2100   cancel push 0 of 10
        2110   expire 10
        2410   push 11 to a for 14190 ms
    "#]]
    .assert_eq(&rig.trace);
}
