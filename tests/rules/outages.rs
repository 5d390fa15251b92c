//! Endpoints that fall silent, fail or come back.

use expect_test::expect;
use juniperwing::interface::CallStatus;

use crate::helper::Rig;

/// A silent endpoint is set aside before any time-out, then tried by a trickle that doubles when it is back.
#[test]
fn a_silent_destination_gets_a_trickle_and_is_not_pushed_over() {
    let mut rig = Rig::new(8, 1, &[("a", "z")]);
    rig.warm(1, 20, 100);
    for id in 100..103 {
        rig.accept(id, "safe", None, 30_000);
    }
    rig.pass(500);
    for id in 103..116 {
        rig.accept(id, "safe", None, 30_000);
    }
    rig.pass(2_900);
    rig.end(rig.oldest(), CallStatus::Delivered);
    rig.pass(2_000);
    expect![[r#"
        2000   push 100 to a for 3750 ms
        2000   push 101 to a for 3750 ms
        2000   push 102 to a for 3750 ms
        2500   push 103 to a for 3750 ms
        2500   push 104 to a for 3750 ms
        2500   push 105 to a for 3750 ms
        2500   push 106 to a for 3750 ms
        2500   push 107 to a for 3750 ms
        2750   cancel push 0 of 100
        2750   cancel push 0 of 101
        2750   cancel push 0 of 102
        2760   push 100 to a for 4177 ms
        2760   push 101 to a for 4177 ms
        2760   a set aside
        5400   a is back
        5640   push 102 to a for 3765 ms
        6390   push 108 to a for 3263 ms
        6390   cancel push 1 of 102
        6390   cancel push 0 of 104
        6390   cancel push 0 of 105
        6390   cancel push 0 of 106
        6390   cancel push 0 of 107
        6400   a set aside
    "#]]
    .assert_eq(&rig.trace);
}

/// A full call outweighs the first budget of a returning endpoint; it must still go, or nothing ever would.
#[test]
fn a_returning_endpoint_gets_full_calls_too() {
    let mut rig = Rig::new(8, 4, &[("a", "z")]);
    rig.warm(1, 6, 400);
    for id in 100..112 {
        rig.accept(id, "safe", None, 30_000);
    }
    rig.pass(5_000);
    rig.end(100, CallStatus::Delivered);
    rig.pass(2_000);
    expect![[r#"
        8400   push 100 to a for 3750 ms
        8400   push 101 to a for 3750 ms
        8400   push 102 to a for 3750 ms
        8400   push 103 to a for 3750 ms
        8400   push 104 to a for 3750 ms
        8400   push 105 to a for 3750 ms
        8400   push 106 to a for 3750 ms
        8400   push 107 to a for 3750 ms
        8400   push 108 to a for 3750 ms
        8400   push 109 to a for 3750 ms
        8400   push 110 to a for 3750 ms
        8400   push 111 to a for 3750 ms
        10400  a set aside
        13400  a is back
    "#]]
    .assert_eq(&rig.trace);
}

/// Most pushes fail at once, but not all: a delivery in between must not clear the endpoint.
#[test]
fn failures_with_a_delivery_between_set_an_endpoint_aside() {
    let mut rig = Rig::new(8, 1, &[("a", "z")]);
    for (id, status) in
        [CallStatus::Error, CallStatus::Error, CallStatus::Delivered, CallStatus::Error, CallStatus::Error]
            .into_iter()
            .enumerate()
    {
        rig.accept(id as u64, "once", None, 16_000);
        rig.pass(50);
        rig.end(id as u64, status);
    }
    expect![[r#"
        0      subscribe
        0      push 0 to a for 16000 ms
        50     expire 0
        50     push 1 to a for 16000 ms
        100    expire 1
        100    push 2 to a for 16000 ms
        150    push 3 to a for 16000 ms
        200    expire 3
        200    push 4 to a for 16000 ms
        250    a set aside
        250    expire 4
    "#]]
    .assert_eq(&rig.trace);
}

/// Nobody listens at one of two: it is left out like any that fails, and the other does not wait for it.
#[test]
fn an_endpoint_that_refuses_all_connections_is_set_aside() {
    let mut rig = Rig::new(4, 1, &[("a", "z"), ("b", "z")]);
    rig.warm(1, 6, 100);
    for id in 10..18 {
        rig.accept(id, "safe", None, 16_000);
        rig.pass(400);
        if rig.trace.contains(&format!("push {id} to a")) {
            rig.end(id, CallStatus::NoConnection);
            rig.pass(200);
        }
        rig.end(id, CallStatus::Delivered);
    }
    expect![[r#"
        600    push 10 to a for 2000 ms
        1090   push 10 to b for 2215 ms
        1200   push 11 to a for 2000 ms
        1730   push 11 to b for 2210 ms
        1800   push 12 to a for 2000 ms
        2200   a set aside
        2300   push 12 to b for 2214 ms
        2400   push 13 to b for 2000 ms
        2800   push 14 to b for 2000 ms
        3200   push 15 to b for 2000 ms
        3600   push 16 to b for 2000 ms
        4000   push 17 to a for 2000 ms
        4510   push 17 to b for 2212 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Of many relays most see no more of an outage than one refused connection, while together they hold enough to
/// push a cold destination over.
#[test]
fn one_refused_connection_is_enough_to_come_back_slowly() {
    let mut rig = Rig::one_of(100, 8, 1, &[("a", "z"), ("b", "z")]);
    for id in 1..=8 {
        rig.accept(id, "safe", None, 16_000);
    }
    rig.out_now().into_iter().for_each(|id| rig.end(id, CallStatus::NoConnection));
    rig.pass(6_000);
    for _ in 0..40 {
        rig.out_now().into_iter().for_each(|id| rig.end(id, CallStatus::Delivered));
        rig.pass(50);
    }
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      push 2 to b for 16000 ms
        0      push 3 to a for 16000 ms
        0      push 4 to b for 16000 ms
        90     push 2 to a for 15910 ms
        90     push 1 to b for 15910 ms
        90     push 4 to a for 15910 ms
        3090   a set aside
        6000   a is back
        6000   b is back
        6000   push 3 to b for 10000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// One of two endpoints answers for one topic type and not for another: what is of the other goes to its sibling,
/// and the first keeps its part of the rest.
#[test]
fn an_endpoint_that_fails_one_topic_type_is_left_out_for_that_type() {
    let mut rig = Rig::new(8, 1, &[("a", "z"), ("b", "z")]);
    rig.warm(1, 6, 100);
    rig.accept(10, "safe", None, 16_000);
    rig.accept(11, "mark", None, 16_000);
    rig.pass(100);
    rig.end(11, CallStatus::Delivered);
    rig.pass_until_out(10);
    rig.end(10, CallStatus::TimedOut);
    for (id, topic) in [(20, "safe"), (21, "mark"), (22, "safe"), (23, "mark"), (24, "safe")] {
        rig.pass(100);
        rig.accept(id, topic, None, 16_000);
        rig.pass(50);
        rig.end(id, CallStatus::Delivered);
    }
    expect![[r#"
        600    push 10 to a for 2000 ms
        600    push 11 to b for 2000 ms
        700    push 10 to b for 2271 ms
        800    push 20 to b for 2000 ms
        950    push 21 to a for 2000 ms
        1100   push 22 to b for 2000 ms
        1250   push 23 to a for 2000 ms
        1400   push 24 to b for 2000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// Where no connection is to be had, a relay that sees little keeps to its part in full, longer than a cold
/// destination takes to warm up: many such relays, one notification each, would push it over together.
#[test]
fn no_connection_pauses_up_to_the_part_in_full() {
    let mut rig = Rig::listed(300, 5.0, &["a", "b"]);
    rig.pass(20_000);
    rig.accept(1, "safe", None, 90_000);
    for _ in 0..3 {
        rig.pass_until_out(1);
        rig.pass(1_000);
        rig.end(1, CallStatus::NoConnection);
    }
    rig.pass_until_out(1);
    expect![[r#"
        0      subscribe
        20000  push 1 to a for 90000 ms
        21540  push 1 to b for 88460 ms
        71710  push 1 to a for 38290 ms
        72710  throttle 1
    "#]]
    .assert_eq(&rig.trace);
}
