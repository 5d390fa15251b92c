//! Connections: idle, short or not to be had.

use std::fmt::Write;

use expect_test::expect;
use juniperwing::interface::CallStatus;
use juniperwing::time::Span;

use crate::helper::{Rig, terms};

/// Calls after an idle spell are lost while later ones are answered: connections die unseen while idle.
#[test]
fn connections_that_die_while_idle_are_closed_before_the_next_call() {
    let mut rig = Rig::new(8, 1, &[("a", "z")]);
    rig.warm(1, 6, 100);
    rig.pass(2_000);
    rig.accept(10, "safe", None, 16_000);
    rig.pass(800);
    rig.accept(11, "safe", None, 16_000);
    rig.pass(100);
    rig.end(11, CallStatus::Delivered);
    rig.pass(2_500);
    rig.accept(12, "safe", None, 16_000);
    expect![[r#"
        2600   push 10 to a for 2000 ms
        3400   push 11 to a for 2000 ms
        3500   close idle connections to a
        6000   close idle connections to a
        6000   push 12 to a for 2000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// The few connections of a destination are taken by others: refused once, delivered next. None is left idle there.
#[test]
fn where_connections_are_short_none_is_left_idle() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.warm(1, 6, 100);
    rig.accept(10, "safe", None, 16_000);
    for status in [CallStatus::NoConnection, CallStatus::Delivered] {
        rig.end(10, status);
        rig.pass(1_000);
    }
    rig.accept(11, "safe", None, 16_000);
    expect![[r#"
        600    push 10 to a for 2000 ms
        690    push 10 to a for 2272 ms
        1600   close idle connections to a
        2600   close idle connections to a
        2600   push 11 to a for 2000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// An endpoint that says it has no room for a connection is up: no sign of an outage, and none is left idle.
#[test]
fn an_endpoint_short_of_connections_is_no_endpoint_in_trouble() {
    let mut rig = Rig::new(4, 1, &[("a", "z")]);
    rig.accept(1, "safe", None, 16_000);
    for status in [
        CallStatus::ConnectionLimitReached,
        CallStatus::ConnectionLimitReached,
        CallStatus::ConnectionLimitReached,
        CallStatus::ConnectionLimitReached,
        CallStatus::Delivered,
    ] {
        rig.end(1, status);
        rig.pass(2_400);
    }
    rig.accept(2, "safe", None, 16_000);
    rig.end(2, CallStatus::Delivered);
    expect![[r#"
        0      subscribe
        0      push 1 to a for 16000 ms
        0      close idle connections to a
        90     close idle connections to a
        90     push 1 to a for 15910 ms
        2400   close idle connections to a
        4450   close idle connections to a
        4450   push 1 to a for 11550 ms
        4800   close idle connections to a
        6990   close idle connections to a
        6990   push 1 to a for 9010 ms
        7200   close idle connections to a
        8780   close idle connections to a
        8780   push 1 to a for 7220 ms
        9600   close idle connections to a
        12000  close idle connections to a
        12000  push 2 to a for 16000 ms
        12000  close idle connections to a
    "#]]
    .assert_eq(&rig.trace);
}

/// A connection that its endpoint would have closed before this relay came again is closed at once: of few
/// connections, idle ones are the most where many relays each come seldom.
#[test]
fn a_connection_used_seldom_is_not_left_idle() {
    let mut terms = terms(50, 8);
    terms.limits.idle_timeout = Span::from_millis(5_000);
    let mut rig = Rig::with(terms, 1, &[("a", "z")]);
    for (id, ms) in [(1, 100), (2, 1_000), (3, 6_000), (4, 1_000)] {
        rig.pass(ms);
        rig.accept(id, "safe", None, 16_000);
        rig.end(id, CallStatus::Delivered);
    }
    expect![[r#"
        0      subscribe
        100    push 1 to a for 16000 ms
        1100   push 2 to a for 16000 ms
        7100   push 3 to a for 16000 ms
        7100   close idle connections to a
        8100   push 4 to a for 16000 ms
    "#]]
    .assert_eq(&rig.trace);
}

/// A connection refused at once may be a full table and is tried again soon; one that did not come up for long is
/// out of reach, and the second in a row pauses nearly to the relay's part.
#[test]
fn a_connection_that_does_not_come_up_pauses_longer_than_one_refused_at_once() {
    let mut trace = String::new();
    for ms in [50, 1_000] {
        let mut rig = Rig::one_of(300, 8, 1, &[("a", "z"), ("b", "z")]);
        rig.pass(20_000);
        rig.accept(1, "safe", None, 90_000);
        for _ in 0..2 {
            rig.pass_until_out(1);
            rig.pass(ms);
            rig.end(1, CallStatus::NoConnection);
        }
        rig.pass_until_out(1);
        writeln!(trace, "{}", rig.trace).expect("a string");
    }
    expect![[r#"
        0      subscribe
        20000  push 1 to a for 90000 ms
        20140  push 1 to b for 89860 ms
        21220  push 1 to a for 88780 ms

        0      subscribe
        20000  push 1 to a for 90000 ms
        21090  push 1 to b for 88910 ms
        30290  push 1 to a for 79710 ms

    "#]]
    .assert_eq(&trace);
}
