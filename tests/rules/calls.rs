//! Slot limits and batched calls.

use expect_test::expect;
use juniperwing::interface::CallStatus;

use crate::harness::{ONE_ENDPOINT, RelayHarness, TTL_MS, TWO_ENDPOINTS};

/// When all slots are in use, overdue calls are cancelled unless they are non-idempotent.
#[test]
fn overdue_calls_are_cancelled_when_slots_run_out() {
    let mut relay = RelayHarness::new(4, 1, TWO_ENDPOINTS).warmed_up(20, 100);
    relay.accept(100, "non-idempotent", None, TTL_MS);
    relay.accept_all(101..106, "idempotent", TTL_MS);
    relay.advance(1_000);
    relay.assert_trace(expect![[r#"
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
    "#]]);
}

#[test]
fn calls_wait_to_be_filled() {
    let mut relay = RelayHarness::new(4, 3, ONE_ENDPOINT);
    for id in 1..=4 {
        relay.accept(id, "idempotent", None, TTL_MS);
        relay.advance(10);
    }
    relay.advance(1_000);
    relay.assert_trace(expect![[r#"
        0      subscribe
        20     push 1 to a for 15980 ms
        20     push 2 to a for 15980 ms
        20     push 3 to a for 15980 ms
        1030   push 4 to a for 15000 ms
    "#]]);
}

/// A call ends at the earliest deadline in it, so a notification joins only if every push still has its own timeout or
/// the 90th percentile of latency, here 900 ms.
#[test]
fn a_call_ends_with_its_first_ttl_and_leaves_each_push_enough_time() {
    let mut relay = RelayHarness::new(8, 4, ONE_ENDPOINT).warmed_up(6, 200);
    relay.deliver_in_turn(7, 1, 500);
    relay.accept(10, "non-idempotent", None, 600);
    relay.accept(11, "non-idempotent", None, TTL_MS);
    relay.accept(12, "idempotent", None, 900);
    relay.accept(13, "idempotent", None, TTL_MS);
    relay.advance(1_050);
    relay.assert_trace(expect![[r#"
        8700   push 10 to a for 600 ms
        8710   push 11 to a for 15990 ms
        8710   push 13 to a for 1998 ms
        8720   push 12 to a for 880 ms
    "#]]);
}

/// Non-idempotent pushes without a response occupy most slots while others wait. Unless they are cancelled, the relay
/// stops making progress.
#[test]
fn non_idempotent_pushes_are_cancelled_when_most_slots_are_stuck() {
    let mut relay = RelayHarness::new(3, 1, ONE_ENDPOINT).warmed_up(20, 100);
    relay.accept(100, "non-idempotent", None, TTL_MS);
    relay.advance(50);
    relay.accept(101, "non-idempotent", None, TTL_MS);
    relay.advance(50);
    relay.accept(102, "idempotent", None, TTL_MS);
    relay.accept(103, "idempotent", None, TTL_MS);
    relay.advance(3_000);
    relay.assert_trace(expect![[r#"
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
    "#]]);
}

/// Waiting for a call to fill up must leave time for the call itself within the latency target, so long calls wait
/// less.
#[test]
fn long_calls_wait_less_to_be_filled() {
    let mut relay = RelayHarness::new(4, 10, ONE_ENDPOINT);
    for id in 1..=8 {
        relay.accept(id, "idempotent", None, TTL_MS);
        relay.advance_until_in_flight(id);
        relay.advance(400);
        relay.end_push(id, CallStatus::Delivered);
    }
    relay.assert_trace(expect![[r#"
        0      subscribe
        1000   push 1 to a for 15000 ms
        2400   push 2 to a for 15000 ms
        3800   push 3 to a for 15000 ms
        5200   push 4 to a for 15000 ms
        6600   push 5 to a for 15000 ms
        7600   push 6 to a for 2566 ms
        8600   push 7 to a for 2566 ms
        9600   push 8 to a for 2566 ms
    "#]]);
}
