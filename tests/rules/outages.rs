//! Endpoints that stop responding, fail or recover.

use expect_test::expect;
use juniperwing::interface::CallStatus;

use crate::harness::{ONE_ENDPOINT, RelayHarness, TTL_MS, TWO_ENDPOINTS, config};

/// An unresponsive endpoint is ejected before any timeout and gets few trial calls. After its recovery the rate doubles
/// with each delivery.
#[test]
fn an_unresponsive_destination_gets_few_calls_and_recovers_by_slow_start() {
    let mut relay = RelayHarness::new(8, 1, ONE_ENDPOINT).warmed_up(20, 100);
    relay.accept_all(100..103, "idempotent", 30_000);
    relay.advance(500);
    relay.accept_all(103..116, "idempotent", 30_000);
    relay.advance(2_900);
    relay.end_push(relay.oldest_in_flight(), CallStatus::Delivered);
    relay.advance(2_000);
    relay.assert_trace(expect![[r#"
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
    "#]]);
}

/// A full call weighs more than the first interval of a recovering endpoint allows. It must still be sent, or no call
/// would ever be.
#[test]
fn a_recovering_endpoint_gets_full_calls_too() {
    let mut relay = RelayHarness::new(8, 4, ONE_ENDPOINT).warmed_up(6, 400);
    relay.accept_all(100..112, "idempotent", 30_000);
    relay.advance(5_000);
    relay.end_push(100, CallStatus::Delivered);
    relay.advance(2_000);
    relay.assert_trace(expect![[r#"
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
    "#]]);
}

/// Most pushes fail immediately: one delivery among them must not reset the count of failures.
#[test]
fn failures_with_a_delivery_between_eject_an_endpoint() {
    let mut relay = RelayHarness::new(8, 1, ONE_ENDPOINT);
    for (id, status) in
        [CallStatus::Error, CallStatus::Error, CallStatus::Delivered, CallStatus::Error, CallStatus::Error]
            .into_iter()
            .enumerate()
    {
        relay.accept(id as u64, "non-idempotent", None, TTL_MS);
        relay.advance(50);
        relay.end_push(id as u64, status);
    }
    relay.assert_trace(expect![[r#"
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
    "#]]);
}

/// One of two endpoints refuses all connections: it is ejected like any failing endpoint, without delaying the other.
#[test]
fn an_endpoint_that_refuses_all_connections_is_ejected() {
    let mut relay = RelayHarness::new(4, 1, TWO_ENDPOINTS).warmed_up(6, 100);
    for id in 10..18 {
        relay.accept(id, "idempotent", None, TTL_MS);
        relay.advance(400);
        if relay.trace.contains(&format!("push {id} to a")) {
            relay.end_push(id, CallStatus::NoConnection);
            relay.advance(200);
        }
        relay.end_push(id, CallStatus::Delivered);
    }
    relay.assert_trace(expect![[r#"
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
    "#]]);
}

/// With many relays, most see only one refused connection during an outage, yet together they have enough notifications
/// pending to overload a warming-up destination.
#[test]
fn one_refused_connection_is_enough_for_a_slow_start() {
    let mut relay = RelayHarness::with_config(config(100, 8), 1, TWO_ENDPOINTS);
    relay.accept_all(1..=8, "idempotent", TTL_MS);
    relay.end_all_pushes(CallStatus::NoConnection);
    relay.advance(6_000);
    for _ in 0..40 {
        relay.end_all_pushes(CallStatus::Delivered);
        relay.advance(50);
    }
    relay.assert_trace(expect![[r#"
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
    "#]]);
}

/// One of two endpoints responds for one topic type but not for another: notifications of the failing type go to the
/// other endpoint, and the first keeps its share of the rest.
#[test]
fn an_endpoint_that_fails_one_topic_type_is_avoided_for_that_type() {
    let mut relay = RelayHarness::new(8, 1, TWO_ENDPOINTS).warmed_up(6, 100);
    relay.accept(10, "idempotent", None, TTL_MS);
    relay.accept(11, "deduplicated", None, TTL_MS);
    relay.advance(100);
    relay.end_push(11, CallStatus::Delivered);
    relay.advance_until_in_flight(10);
    relay.end_push(10, CallStatus::TimedOut);
    for (id, topic) in [
        (20, "idempotent"),
        (21, "deduplicated"),
        (22, "idempotent"),
        (23, "deduplicated"),
        (24, "idempotent"),
    ] {
        relay.advance(100);
        relay.accept(id, topic, None, TTL_MS);
        relay.advance(50);
        relay.end_push(id, CallStatus::Delivered);
    }
    relay.assert_trace(expect![[r#"
        600    push 10 to a for 2000 ms
        600    push 11 to b for 2000 ms
        700    push 10 to b for 2271 ms
        800    push 20 to b for 2000 ms
        950    push 21 to a for 2000 ms
        1100   push 22 to b for 2000 ms
        1250   push 23 to a for 2000 ms
        1400   push 24 to b for 2000 ms
    "#]]);
}

/// If no connection can be opened, a relay with little traffic backs off up to the full interval of its equal share,
/// even beyond the warm-up duration. Otherwise many such relays with one notification each would overload the
/// destination.
#[test]
fn refused_connections_back_off_up_to_the_full_equal_share() {
    let mut relay = RelayHarness::with_listed_rate(300, 5.0, TWO_ENDPOINTS);
    relay.advance(20_000);
    relay.accept(1, "idempotent", None, 90_000);
    for _ in 0..3 {
        relay.advance_until_in_flight(1);
        relay.advance(1_000);
        relay.end_push(1, CallStatus::NoConnection);
    }
    relay.advance_until_in_flight(1);
    relay.assert_trace(expect![[r#"
        0      subscribe
        20000  push 1 to a for 90000 ms
        21540  push 1 to b for 88460 ms
        71710  push 1 to a for 38290 ms
        72710  throttle 1
    "#]]);
}
