//! The encoded size of the control state and its changes after many changes of large configurations.

use juniperwing_configuration::digest;
use juniperwing_control::{ActiveConfiguration, ControlChange, ControlState, MAX_REMEMBERED_ORDERS};
use juniperwing_replication::ReplicatedState;

/// The encoded size of a remembered order.
const BYTES_PER_ORDER: usize = 16;
/// The encoded size of everything else: numbers, lengths, empty lists.
const OVERHEAD_BYTES: usize = 128;

/// A change that activates a configuration with `routes` routes.
fn apply_configuration(generation: u64, routes: usize) -> ControlChange {
    let route = |number: usize| {
        format!(
            r#"{{"name":"r-{number}","hostname":"h-{number}.example","pathPrefix":"/a/","routeType":"streaming","timeoutMs":5000,"targetLatencyMs":250,"priority":0,"backend":"b","maxRetries":2,"kept":true,"retentionS":60.0,"sessionAffinity":true,"resumable":false,"gap_aim_ms":400}}"#
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    let body = format!(
        r#"{{"generation":{generation},"routes":[{}],"backends":[{{"name":"b"}}]}}"#,
        routes.join(",")
    );
    let configuration = ActiveConfiguration { generation, body: body.as_bytes().into() };
    ControlChange::ApplyConfiguration { digest: digest(generation - 1, body.as_bytes()), configuration }
}

fn body_bytes(state: &ControlState) -> usize {
    state.configuration.as_ref().map_or(0, |configuration| configuration.body.len())
}

/// Guards against a state that retains older configurations, or more of an order than its digest.
#[test]
fn the_state_keeps_one_configuration_and_one_digest_for_each_order() {
    for routes in [10, 1_000, 3_000] {
        let mut state = ControlState::default();
        for generation in 1..=1_000 {
            // Each generation has its own digest; most bodies can be small.
            let is_measured = [1, 100, 1_000].contains(&generation);
            let change = apply_configuration(generation, if is_measured { routes } else { 1 });
            state.apply(&change);
            if is_measured {
                let body = body_bytes(&state);
                let encoded = state.encode().len();
                let bound = body + BYTES_PER_ORDER * generation as usize + OVERHEAD_BYTES;
                assert!(encoded <= bound, "{encoded} bytes for a body of {body} after {generation} changes");
                let sent = ControlState::encode_change(&change).len();
                assert!(sent <= body + OVERHEAD_BYTES, "{sent} bytes for a change of {body}");
                println!(
                    "{routes} routes, {generation} changes: body {body}, state {encoded}, change {sent}"
                );
            }
        }
        assert_eq!(ControlState::decode(&state.encode()).expect("its own encoding"), state);
    }
}

/// Covers the limit in `OrderHistory::insert`, without which the state grows with every order.
#[test]
fn the_state_size_is_bounded_by_the_remembered_orders() {
    let mut state = ControlState::default();
    for generation in 1..=MAX_REMEMBERED_ORDERS as u64 + 1_000 {
        state.apply(&apply_configuration(generation, 0));
    }
    let encoded = state.encode().len();
    assert!(
        encoded <= BYTES_PER_ORDER * MAX_REMEMBERED_ORDERS + body_bytes(&state) + OVERHEAD_BYTES,
        "{encoded}"
    );
    assert_eq!(ControlState::decode(&state.encode()).expect("its own encoding"), state);
}
