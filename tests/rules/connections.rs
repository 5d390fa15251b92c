//! Idle, scarce and refused connections.

use std::fmt::Write;

use expect_test::expect;
use juniperwing::interface::CallStatus;
use juniperwing::time::Span;

use crate::harness::{ONE_ENDPOINT, RelayHarness, TTL_MS, TWO_ENDPOINTS, config};

/// Connections break unnoticed while idle: calls after an idle period are lost while later ones get a response.
#[test]
fn connections_that_die_while_idle_are_closed_before_the_next_call() {
    let mut relay = RelayHarness::new(8, 1, ONE_ENDPOINT).warmed_up(6, 100);
    relay.advance(2_000);
    relay.accept(10, "idempotent", None, TTL_MS);
    relay.advance(800);
    relay.accept(11, "idempotent", None, TTL_MS);
    relay.advance(100);
    relay.end_push(11, CallStatus::Delivered);
    relay.advance(2_500);
    relay.accept(12, "idempotent", None, TTL_MS);
    relay.assert_trace(expect![[r#"
        2600   push 10 to a for 2000 ms
        3400   push 11 to a for 2000 ms
        3500   close idle connections to a
        6000   close idle connections to a
        6000   push 12 to a for 2000 ms
    "#]]);
}

/// Other clients use up the few connections of a destination, so one push is refused and the next is delivered. The
/// relay must not leave connections idle there.
#[test]
fn no_connection_is_left_idle_where_connections_are_scarce() {
    let mut relay = RelayHarness::new(4, 1, ONE_ENDPOINT).warmed_up(6, 100);
    relay.accept(10, "idempotent", None, TTL_MS);
    for status in [CallStatus::NoConnection, CallStatus::Delivered] {
        relay.end_push(10, status);
        relay.advance(1_000);
    }
    relay.accept(11, "idempotent", None, TTL_MS);
    relay.assert_trace(expect![[r#"
        600    push 10 to a for 2000 ms
        690    push 10 to a for 2272 ms
        1600   close idle connections to a
        2600   close idle connections to a
        2600   push 11 to a for 2000 ms
    "#]]);
}

/// An endpoint that reports that its connections are exhausted is up: it is not ejected, and no connection to it is
/// left idle.
#[test]
fn an_endpoint_short_of_connections_is_not_ejected() {
    let mut relay = RelayHarness::new(4, 1, ONE_ENDPOINT);
    relay.accept(1, "idempotent", None, TTL_MS);
    for status in [
        CallStatus::ConnectionLimitReached,
        CallStatus::ConnectionLimitReached,
        CallStatus::ConnectionLimitReached,
        CallStatus::ConnectionLimitReached,
        CallStatus::Delivered,
    ] {
        relay.end_push(1, status);
        relay.advance(2_400);
    }
    relay.accept(2, "idempotent", None, TTL_MS);
    relay.end_push(2, CallStatus::Delivered);
    relay.assert_trace(expect![[r#"
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
    "#]]);
}

/// A connection that its endpoint would close before this relay's next call is closed immediately. Otherwise, if many
/// relays each call rarely, idle connections use up the endpoint's limit.
#[test]
fn a_rarely_used_connection_is_not_left_idle() {
    let mut config = config(50, 8);
    config.limits.idle_timeout = Span::from_millis(5_000);
    let mut relay = RelayHarness::with_config(config, 1, ONE_ENDPOINT);
    for (id, ms) in [(1, 100), (2, 1_000), (3, 6_000), (4, 1_000)] {
        relay.advance(ms);
        relay.accept(id, "idempotent", None, TTL_MS);
        relay.end_push(id, CallStatus::Delivered);
    }
    relay.assert_trace(expect![[r#"
        0      subscribe
        100    push 1 to a for 16000 ms
        1100   push 2 to a for 16000 ms
        7100   push 3 to a for 16000 ms
        7100   close idle connections to a
        8100   push 4 to a for 16000 ms
    "#]]);
}

/// A connection refused immediately may be due to a connection limit and is retried soon. One that fails only after a
/// long time indicates an unreachable endpoint: the second consecutive failure backs off nearly to the interval of the
/// relay's equal share.
#[test]
fn a_connection_that_is_not_established_backs_off_longer_than_one_refused_immediately() {
    let mut trace = String::new();
    for ms in [50, 1_000] {
        let mut relay = RelayHarness::with_config(config(300, 8), 1, TWO_ENDPOINTS);
        relay.advance(20_000);
        relay.accept(1, "idempotent", None, 90_000);
        for _ in 0..2 {
            relay.advance_until_in_flight(1);
            relay.advance(ms);
            relay.end_push(1, CallStatus::NoConnection);
        }
        relay.advance_until_in_flight(1);
        writeln!(trace, "{}", relay.trace).expect("writing to a string succeeds");
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
