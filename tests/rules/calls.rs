//! Slots, and calls that carry several.

use expect_test::expect;
use juniperwing::interface::CallStatus;

use crate::helper::Rig;

/// When all slots are taken, calls long overdue are called off; once-only ones never are.
#[test]
fn overdue_calls_are_called_off_for_want_of_slots() {
    let mut rig = Rig::new(4, 1, &[("a", "z"), ("b", "z")]);
    rig.warm(1, 20, 100);
    rig.accept(100, "once", None, 16_000);
    for id in 101..106 {
        rig.accept(id, "safe", None, 16_000);
    }
    rig.pass(1_000);
    expect![[r#"
        2000   push 100 to a for 16000 ms
        2000   push 101 to b for 2000 ms
        2000   push 102 to a for 2000 ms
        2000   push 103 to b for 2000 ms
        2750   cancel push 0 of 101
        2750   cancel push 0 of 102
        2750   cancel push 0 of 103
        2760   push 101 to a for 2177 ms
        2760   push 102 to b for 2177 ms
        2760   push 103 to a for 2177 ms
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn calls_are_filled_before_they_go() {
    let mut rig = Rig::new(4, 3, &[("a", "z")]);
    for id in 1..=4 {
        rig.accept(id, "safe", None, 16_000);
        rig.pass(10);
    }
    rig.pass(1_000);
    expect![[r#"
        0      subscribe
        20     push 1 to a for 15980 ms
        20     push 2 to a for 15980 ms
        20     push 3 to a for 15980 ms
        1030   push 4 to a for 15000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A call ends with the first TTL in it, so only those go together whom that leaves enough: their own time-out,
/// or what nine in ten calls last (here 900 ms).
#[test]
fn a_call_ends_with_the_first_ttl_in_it_and_costs_nobody_much() {
    let mut rig = Rig::new(8, 4, &[("a", "z")]);
    rig.warm(1, 6, 200);
    rig.warm(7, 1, 500);
    rig.accept(10, "once", None, 600);
    rig.accept(11, "once", None, 16_000);
    rig.accept(12, "safe", None, 900);
    rig.accept(13, "safe", None, 16_000);
    rig.pass(1_050);
    expect![[r#"
        8700   push 10 to a for 600 ms
        8710   push 11 to a for 15990 ms
        8710   push 13 to a for 1998 ms
        8720   push 12 to a for 880 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Once-only pushes hang in most slots while others wait: they are given up, or the relay would stand still.
#[test]
fn once_only_pushes_are_called_off_where_most_slots_are_stuck() {
    let mut rig = Rig::new(3, 1, &[("a", "z")]);
    rig.warm(1, 20, 100);
    rig.accept(100, "once", None, 16_000);
    rig.pass(50);
    rig.accept(101, "once", None, 16_000);
    rig.pass(50);
    rig.accept(102, "safe", None, 16_000);
    rig.accept(103, "safe", None, 16_000);
    rig.pass(3_000);
    expect![[r#"
        2000   push 100 to a for 16000 ms
        2050   push 101 to a for 16000 ms
        2100   push 102 to a for 2000 ms
        2850   cancel push 0 of 102
        2860   push 102 to a for 2177 ms
        3500   a set aside
        3610   cancel push 0 of 100
        3610   cancel push 0 of 101
        3620   expire 100
        3620   expire 101
    "#]]
    .assert_eq(&rig.trace);
}

/// Filling must leave time within the objective for the call itself: where calls last long, they wait less.
#[test]
fn calls_that_last_long_wait_less_to_be_filled() {
    let mut rig = Rig::new(4, 10, &[("a", "z")]);
    for id in 1..=8 {
        rig.accept(id, "safe", None, 16_000);
        rig.pass_until_out(id);
        rig.pass(400);
        rig.end(id, CallStatus::Delivered);
    }
    expect![[r#"
        0      subscribe
        1000   push 1 to a for 15000 ms
        2400   push 2 to a for 15000 ms
        3800   push 3 to a for 15000 ms
        5200   push 4 to a for 15000 ms
        6600   push 5 to a for 15000 ms
        7600   push 6 to a for 2566 ms
        8600   push 7 to a for 2566 ms
        9600   push 8 to a for 2566 ms
    "#]]
    .assert_eq(&rig.trace);
}
