//! The acknowledgements that endpoints get.

use std::collections::BTreeMap;

use juniperwing_clock::Time;
use juniperwing_protocol::registry::InstanceState;

use super::view::{View, lives_through};
use super::{Findings, Property};
use crate::history::Seen;
use crate::stability::millis;

/// How soon nothing more reaches an endpoint that leaves (`drainMs`).
const DRAIN_MS: u64 = 2_000;
/// How long a machine must have been left alone to be in touch (`contactMs`).
const CONTACT_MS: u64 = 3_000;
/// How soon an endpoint whose heartbeats are acknowledged must be known everywhere.
const KNOWN_MS: u64 = 3_000;
/// Between two looks at what relays hold.
const LOOK_MS: usize = 250;

/// What an endpoint was told.
#[derive(Default)]
struct Endpoint {
    /// Since when every heartbeat has been acknowledged; `None` while the last one failed.
    acknowledged_since: Option<Time>,
    /// Stretches in which every heartbeat was acknowledged, and it neither drained nor ended.
    ready: Vec<(Time, Time)>,
    /// When its leaving was acknowledged, and by whom.
    left: Option<(Time, usize)>,
}

pub(super) fn judge(view: &View<'_>, findings: &mut Findings) {
    for (id, endpoint) in endpoints(view) {
        drained(view, &id, &endpoint, findings);
        unknown(view, &id, &endpoint, findings);
    }
}

fn endpoints(view: &View<'_>) -> BTreeMap<String, Endpoint> {
    let mut endpoints: BTreeMap<String, Endpoint> = BTreeMap::new();
    for (at, seen) in view.history {
        match seen {
            Seen::BeatAnswered { id, said, status: 200, keeper } => {
                let endpoint = endpoints.entry(id.clone()).or_default();
                if *said == InstanceState::Ready {
                    endpoint.acknowledged(*at);
                } else {
                    endpoint.acknowledged_since = None;
                    endpoint.left.get_or_insert((*at, *keeper));
                }
            }
            Seen::BeatAnswered { id, .. } | Seen::BeatFailed { id, .. } | Seen::EndpointSilent { id } => {
                endpoints.entry(id.clone()).or_default().acknowledged_since = None;
            }
            _ => {}
        }
    }
    endpoints
}

impl Endpoint {
    fn acknowledged(&mut self, at: Time) {
        if self.acknowledged_since.is_some() {
            self.ready.last_mut().into_iter().for_each(|stretch| stretch.1 = at);
        } else {
            self.acknowledged_since = Some(at);
            self.ready.push((at, at));
        }
    }
}

/// Moments between two times, on a grid.
fn looks(from_ms: u64, until_ms: u64) -> impl Iterator<Item = (u64, Time)> {
    (from_ms..until_ms).step_by(LOOK_MS).map(|at_ms| (at_ms, Time::from_nanos(at_ms * 1_000_000)))
}

fn drained(view: &View<'_>, id: &str, endpoint: &Endpoint, findings: &mut Findings) {
    let Some((acknowledged, keeper)) = endpoint.left else { return };
    for (at_ms, at) in looks(millis(acknowledged) + DRAIN_MS, view.day.length_ms) {
        let from = at_ms - DRAIN_MS;
        for life in &view.lives {
            let in_touch =
                view.is_stable(from, at_ms) && lives_through(life, from.saturating_sub(CONTACT_MS), at_ms);
            if in_touch && life.held(id, at) == Some(InstanceState::Ready) {
                let relay = life.relay;
                let since = acknowledged.since(Time::default()).as_secs_f64();
                let detail = format!("{id} at edge-{relay}, acknowledged by core-{keeper} at {since:.3} s");
                return findings.add(Property::DrainedButReady, at, detail);
            }
        }
    }
}

fn unknown(view: &View<'_>, id: &str, endpoint: &Endpoint, findings: &mut Findings) {
    for (since, until) in &endpoint.ready {
        for (at_ms, at) in looks(millis(*since) + KNOWN_MS, millis(*until)) {
            let from = at_ms - KNOWN_MS;
            for life in &view.lives {
                let in_touch = view.is_stable(from, at_ms)
                    && lives_through(life, from.saturating_sub(CONTACT_MS), at_ms);
                let held = life.held(id, at);
                if in_touch && held != Some(InstanceState::Ready) {
                    let detail = format!("{id} is {held:?} at edge-{}", life.relay);
                    return findings.add(Property::UnknownThoughAcknowledged, at, detail);
                }
            }
        }
    }
}
