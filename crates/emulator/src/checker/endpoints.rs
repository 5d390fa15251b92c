//! Checks the endpoint states that relays hold against the acknowledged heartbeats and drains.

use std::collections::BTreeMap;

use juniperwing_clock::Time;
use juniperwing_protocol::registry::InstanceState;

use super::observations::{Observations, runs_throughout};
use super::{Property, Violations};
use crate::history::{Event, RecordedEvent};
use crate::stability::millis;

/// The time limit from the acknowledgement of a drain until it is in force at all relays (`drainMs`), in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// How long a relay must have run to be in contact (`contactMs`), in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// The time limit until an endpoint whose heartbeats are acknowledged is ready at all relays, in milliseconds.
const MAX_DISCOVERY_MS: u64 = 3_000;
/// The interval at which the state of relays is sampled, in milliseconds.
const SAMPLE_INTERVAL_MS: usize = 250;

/// The acknowledgements that an endpoint received.
#[derive(Default)]
struct Endpoint {
    /// Since when every heartbeat has been acknowledged; `None` while the last one failed.
    acknowledged_since: Option<Time>,
    /// The periods in which every heartbeat was acknowledged and the endpoint was ready.
    ready: Vec<ReadyPeriod>,
    /// The first acknowledgement of its draining or termination.
    drain_acknowledgement: Option<DrainAcknowledgement>,
}

/// A period in which an endpoint was ready, from its first to its last acknowledged heartbeat.
struct ReadyPeriod {
    first: Time,
    last: Time,
}

/// The acknowledgement of an endpoint's draining or termination.
struct DrainAcknowledgement {
    acknowledged_at: Time,
    /// The keeper that acknowledged it.
    keeper: usize,
}

pub(super) fn check(observations: &Observations<'_>, violations: &mut Violations) {
    for (id, endpoint) in index_endpoints(observations) {
        check_drained(observations, &id, &endpoint, violations);
        check_discovered(observations, &id, &endpoint, violations);
    }
}

fn index_endpoints(observations: &Observations<'_>) -> BTreeMap<String, Endpoint> {
    let mut endpoints: BTreeMap<String, Endpoint> = BTreeMap::new();
    for RecordedEvent { at, event } in observations.history {
        match event {
            Event::HeartbeatReplied { id, state, status: 200, keeper } => {
                let endpoint = endpoints.entry(id.clone()).or_default();
                if *state == InstanceState::Ready {
                    endpoint.record_acknowledgement(*at);
                } else {
                    endpoint.acknowledged_since = None;
                    endpoint
                        .drain_acknowledgement
                        .get_or_insert(DrainAcknowledgement { acknowledged_at: *at, keeper: *keeper });
                }
            }
            Event::HeartbeatReplied { id, .. }
            | Event::HeartbeatFailed { id, .. }
            | Event::EndpointStopped { id } => {
                endpoints.entry(id.clone()).or_default().acknowledged_since = None;
            }
            _ => {}
        }
    }
    endpoints
}

impl Endpoint {
    /// Extends the current ready period or begins a new one.
    fn record_acknowledgement(&mut self, at: Time) {
        if self.acknowledged_since.is_some() {
            self.ready.last_mut().into_iter().for_each(|period| period.last = at);
        } else {
            self.acknowledged_since = Some(at);
            self.ready.push(ReadyPeriod { first: at, last: at });
        }
    }
}

/// The sample times of a period, in milliseconds and as times.
fn sample_times(from_ms: u64, until_ms: u64) -> impl Iterator<Item = (u64, Time)> {
    (from_ms..until_ms).step_by(SAMPLE_INTERVAL_MS).map(|at_ms| (at_ms, Time::from_nanos(at_ms * 1_000_000)))
}

/// Checks that no relay in contact holds an endpoint as ready after an acknowledged drain.
fn check_drained(
    observations: &Observations<'_>, id: &str, endpoint: &Endpoint, violations: &mut Violations,
) {
    let Some(DrainAcknowledgement { acknowledged_at, keeper }) = &endpoint.drain_acknowledgement else {
        return;
    };
    for (at_ms, at) in sample_times(millis(*acknowledged_at) + DRAIN_MS, observations.scenario.duration_ms) {
        let from = at_ms - DRAIN_MS;
        for incarnation in &observations.relay_incarnations {
            let is_in_contact = observations.is_stable(from, at_ms)
                && runs_throughout(incarnation, from.saturating_sub(CONTACT_MS), at_ms);
            if is_in_contact && incarnation.instance_state_at(id, at) == Some(InstanceState::Ready) {
                let relay = incarnation.relay;
                let acknowledged_s = acknowledged_at.since(Time::default()).as_secs_f64();
                let detail =
                    format!("{id} at edge-{relay}, acknowledged by core-{keeper} at {acknowledged_s:.3} s");
                return violations.add(Property::DrainedButReady, at, detail);
            }
        }
    }
}

/// Checks that every relay in contact holds an endpoint as ready while its heartbeats are acknowledged.
fn check_discovered(
    observations: &Observations<'_>, id: &str, endpoint: &Endpoint, violations: &mut Violations,
) {
    for period in &endpoint.ready {
        for (at_ms, at) in sample_times(millis(period.first) + MAX_DISCOVERY_MS, millis(period.last)) {
            let from = at_ms - MAX_DISCOVERY_MS;
            for incarnation in &observations.relay_incarnations {
                let is_in_contact = observations.is_stable(from, at_ms)
                    && runs_throughout(incarnation, from.saturating_sub(CONTACT_MS), at_ms);
                let state = incarnation.instance_state_at(id, at);
                if is_in_contact && state != Some(InstanceState::Ready) {
                    let detail = format!("{id} is {state:?} at edge-{}", incarnation.relay);
                    return violations.add(Property::UnknownThoughAcknowledged, at, detail);
                }
            }
        }
    }
}
