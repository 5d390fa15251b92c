//! The endpoint list: draining, failed requests and zones.

use std::fmt::Write;

use expect_test::expect;
use juniperwing::interface::{CallStatus, EndpointListUpdate, Readiness};
use juniperwing::time::Span;

use crate::harness::{ONE_ENDPOINT, RelayHarness, TTL_MS, TWO_ENDPOINTS, config};

#[test]
fn drains_are_respected_and_a_failed_list_is_requested_again() {
    let mut relay = RelayHarness::new(4, 1, TWO_ENDPOINTS);
    let entries = vec![relay.entry("a", "z", Readiness::Draining)];
    relay.update_list(EndpointListUpdate::Changes(entries));
    relay.accept_all(1..=3, "idempotent", TTL_MS);
    let entries = vec![relay.entry("c", "z", Readiness::Serving)];
    relay.update_list(EndpointListUpdate::Snapshot(entries));
    relay.accept(4, "idempotent", None, TTL_MS);
    relay.update_list(EndpointListUpdate::Failed);
    relay.advance(1_000);
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to b for 16000 ms
        0      push 2 to b for 16000 ms
        180    subscribe
    "#]]);
}

/// Where changes of the list bind the relay immediately, a failure subscription may miss a drain and is renewed soon.
/// Otherwise an unreachable list is requested with a growing backoff until an update arrives. For any refresh
/// interval the first delay is short but not zero.
#[test]
fn an_unreachable_list_is_requested_soon_if_pushed_and_with_growing_backoff_otherwise() {
    let mut trace = String::new();
    for (pushed, refresh_interval_ms) in [(true, 10_000), (false, 10_000), (false, 60_000), (false, 0)] {
        let mut config = config(2, 4);
        (config.fleet.is_list_pushed, config.rules.list_refresh_interval) =
            (pushed, Span::from_millis(refresh_interval_ms));
        let mut relay = RelayHarness::with_config(config, 1, ONE_ENDPOINT);
        let mut delays = Vec::new();
        for failure in 0..6 {
            if failure == 4 {
                relay.update_list(EndpointListUpdate::Changes(Vec::new()));
            }
            relay.trace.clear();
            relay.update_list(EndpointListUpdate::Failed);
            let mut ms = 0;
            while relay.trace.is_empty() && ms < 20_000 {
                relay.advance(10);
                ms += 10;
            }
            delays.push(ms);
        }
        writeln!(trace, "pushed {pushed}, refresh interval {refresh_interval_ms} ms: {delays:?}")
            .expect("writing to a string succeeds");
    }
    expect![[r#"
        pushed true, refresh interval 10000 ms: [180, 260, 280, 200, 170, 210]
        pushed false, refresh interval 10000 ms: [180, 2050, 4370, 3160, 170, 1620]
        pushed false, refresh interval 60000 ms: [180, 2050, 4370, 3160, 170, 1620]
        pushed false, refresh interval 0 ms: [20, 210, 440, 320, 20, 170]
    "#]]
    .assert_eq(&trace);
}

/// If cross-zone pushes incur a cost, endpoints of the relay's own zone are tried first, in rotation. Endpoints of
/// other zones get retries of what failed there, and everything once the own zone's endpoints are draining.
#[test]
fn endpoints_of_the_own_zone_are_tried_first() {
    let mut config = config(2, 8);
    config.fleet.home_zone = Some("z".into());
    let mut relay = RelayHarness::with_config(config, 1, &[("a", "y"), ("b", "z"), ("c", "z")]);
    relay.accept_all(1..=3, "idempotent", TTL_MS);
    relay.end_push(1, CallStatus::Error);
    relay.update_list(EndpointListUpdate::Changes(vec![
        relay.entry("b", "z", Readiness::Draining),
        relay.entry("c", "z", Readiness::Deleted),
    ]));
    relay.accept(4, "idempotent", None, TTL_MS);
    relay.assert_trace(expect![[r#"
        0      subscribe
        0      push 1 to b for 16000 ms
        0      push 2 to c for 16000 ms
        0      push 3 to b for 16000 ms
        0      push 1 to c for 16000 ms
        0      push 4 to a for 16000 ms
    "#]]);
}
