//! Scenarios for tests, and a policy that pushes each notification once.

#![allow(dead_code, reason = "each test uses what it needs")]

use std::collections::BTreeMap;

use juniperwing::interface::{Command, DestinationId, EndpointId, EndpointListUpdate, Event, Readiness};
use juniperwing::time::Time;
use juniperwing_model::fleet::Fleet;
use juniperwing_model::policy::{GroundTruth, Policies, Policy};
use juniperwing_model::{Metrics, Scenario};

/// Two kinds of destination, a deduplicated and an ordered non-idempotent topic type, and `faults` in TOML.
pub fn scenario(span_s: u32, faults: &str) -> Scenario {
    let text = format!(
        r#"
name = "test"
span_s = {span_s}
zones = ["a", "b"]
[relays]
count = 3
zipf = 0.3
slots_room = 2
least_slots = 2
hold_s = 10
least_held = 16
[traffic]
rate = 60
load = 0.75
clumps = 0.1
[destinations]
count = 6
endpoints = 2
zipf = 0.6
[[topic]]
name = "status"
share = 6
effect = "collapsible"
window_ms = 4000
work_ms = 150
objective_ms = 2000
ttl_ms = 12000
[[topic]]
name = "once"
share = 4
effect = "once-only"
ordered = true
work_ms = 70
objective_ms = 2500
ttl_ms = 14000
benefit = 2
[[kind]]
name = "bulk"
share = 1
limit = "window"
headroom = [1.1, 1.6]
per_call = 5
tells_wait = 0.5
[[kind]]
name = "single"
share = 1
limit = "rate"
headroom = [1.1, 1.6]
connections = 3
[[account]]
name = "west"
share = 2
[[account]]
name = "east"
share = 1
{faults}
"#
    );
    let scenario: Scenario = toml::from_str(&text).expect("a scenario");
    assert_eq!(scenario.check(), []);
    scenario
}

/// Asserts that each submitted notification is counted in exactly one outcome.
pub fn assert_notifications_conserved(metrics: &Metrics) {
    for group in metrics.topics.iter().chain(&metrics.accounts) {
        let outcomes = group.delivered + group.throttled + group.expired + group.abandoned;
        assert_eq!(group.offered, outcomes, "{group:?}");
    }
    let pushes = &metrics.pushes;
    let ended = pushes.delivered
        + pushes.error
        + pushes.busy
        + pushes.timed_out
        + pushes.no_connection
        + pushes.reset
        + pushes.cancelled
        + pushes.skipped;
    assert!(ended <= pushes.sent, "{pushes:?}");
}

/// Pushes each notification on acceptance, to the endpoints of its destination in round-robin order, and gives no final
/// answer itself.
pub struct Forwarding;

#[derive(Default)]
struct ForwardingRelay {
    endpoints: BTreeMap<DestinationId, Vec<EndpointId>>,
    next: usize,
}

impl Policies for Forwarding {
    fn name(&self) -> &str {
        "forwarding"
    }

    fn start(&self, _: Time, _: usize, _: u64, _: &Fleet) -> Box<dyn Policy> {
        Box::new(ForwardingRelay::default())
    }
}

impl Policy for ForwardingRelay {
    fn handle(&mut self, now: Time, events: Vec<Event>, _: &dyn GroundTruth) -> Vec<Command> {
        let mut commands = Vec::new();
        for event in events {
            match event {
                Event::EndpointListUpdated(EndpointListUpdate::Snapshot(entries)) => {
                    for entry in entries.into_iter().filter(|entry| entry.readiness == Readiness::Serving) {
                        self.endpoints.entry(entry.destination).or_default().push(entry.endpoint);
                    }
                }
                Event::Accepted(ntf) => {
                    let endpoints = &self.endpoints[&ntf.destination];
                    self.next += 1;
                    let endpoint = endpoints[self.next % endpoints.len()].clone();
                    let time_out = ntf.valid_until.since(now);
                    commands.push(Command::Push {
                        notification: ntf.id,
                        endpoint,
                        timeout: time_out,
                        send_within: time_out,
                    });
                }
                _ => {}
            }
        }
        commands
    }
}
