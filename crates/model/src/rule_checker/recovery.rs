//! Checks of routes that recover from an outage: relays that observed the outage must not overload them.

use std::collections::{BTreeSet, VecDeque};

use juniperwing::time::Time;

use super::{Rule, RuleChecker, RuleTolerances, as_secs};
use crate::fleet::{RoutePlan, WarmUp};

/// The fraction (numerator, denominator) of the load that must come from relays that observed the outage for an
/// overload to be a violation.
const RESPONSIBLE_FRACTION: (f64, f64) = (2.0, 3.0);

/// The state of a route.
#[derive(Default)]
pub(super) struct RouteRecord {
    is_out: bool,
    /// Relays that received a failure or a rejection during the outage.
    pub(super) informed_relays: BTreeSet<usize>,
    recovery: Option<Recovery>,
}

/// A route that warms up after an outage.
struct Recovery {
    since: Time,
    /// Notifications a second when warm.
    capacity: f64,
    warm_up: WarmUp,
    recent: VecDeque<LoadSample>,
    /// Whether its overload has been reported; each recovery is reported once.
    is_reported: bool,
}

/// The load of a call that reached a route.
struct LoadSample {
    at: Time,
    relay: usize,
    weight: f64,
}

/// Load above the limit of a recovering route.
struct Overload {
    since: Time,
    total: f64,
    limit: f64,
    /// The present capacity of the route, for one window.
    capacity: f64,
    /// The load from relays that observed the outage.
    from_informed_relays: f64,
    relays: usize,
}

impl Recovery {
    fn record(&mut self, sample: LoadSample, tolerances: &RuleTolerances) {
        let now = sample.at;
        self.recent.push_back(sample);
        while self.recent.front().is_some_and(|first| now.since(first.at) > tolerances.overload_duration) {
            self.recent.pop_front();
        }
    }

    /// The overload of the window that ends now, if there is one.
    fn overload(
        &self, now: Time, informed_relays: &BTreeSet<usize>, tolerances: &RuleTolerances,
    ) -> Option<Overload> {
        let WarmUp { initial_fraction: from, duration } = self.warm_up;
        let warmed = (1.0 - from) * now.since(self.since).as_secs_f64() / duration.as_secs_f64();
        let capacity = self.capacity * (from + warmed);
        let window_s = tolerances.overload_duration.as_secs_f64();
        let limit = tolerances.overload_factor * capacity * window_s + tolerances.overload_slack;
        let total: f64 = self.recent.iter().map(|sample| sample.weight).sum();
        let seen = self.recent.iter().filter(|sample| informed_relays.contains(&sample.relay));
        let relays: BTreeSet<usize> = self.recent.iter().map(|sample| sample.relay).collect();
        (total > limit).then(|| Overload {
            since: self.since,
            total,
            limit,
            capacity: capacity * window_s,
            from_informed_relays: seen.map(|sample| sample.weight).sum(),
            relays: relays.len(),
        })
    }
}

impl Overload {
    fn is_by_informed_relays(&self) -> bool {
        let (part, of) = RESPONSIBLE_FRACTION;
        self.from_informed_relays * of >= self.total * part
    }

    fn describe(&self, route: usize, tolerances: &RuleTolerances) -> String {
        format!(
            "route {route}, recovered at {:.3} s, received {:.1} in {:.1} s with a limit of {:.1} ({:.1} times its \
             present capacity), {:.0} % of it from relays that observed the outage; {} relays",
            as_secs(self.since),
            self.total,
            tolerances.overload_duration.as_secs_f64(),
            self.limit,
            self.total / self.capacity,
            self.from_informed_relays / self.total * 100.0,
            self.relays
        )
    }
}

impl RuleChecker {
    /// Records that all endpoints of a route are unavailable.
    pub(crate) fn handle_route_outage(&mut self, route: usize) {
        self.routes[route] = RouteRecord { is_out: true, ..RouteRecord::default() };
    }

    /// Records the end of an outage. `warming` is the plan of a route that warms up, `None` after a brief outage.
    pub(crate) fn handle_route_recovery(&mut self, now: Time, route: usize, warming: Option<&RoutePlan>) {
        let record = &mut self.routes[route];
        record.is_out = false;
        record.recovery = warming.map(|plan| Recovery {
            since: now,
            capacity: plan.capacity,
            warm_up: plan.warm_up,
            recent: VecDeque::new(),
            is_reported: false,
        });
    }

    /// Records that a relay received a failure or a rejection from a route.
    pub(crate) fn record_failure_seen(&mut self, relay: usize, route: usize) {
        let record = &mut self.routes[route];
        if record.is_out {
            record.informed_relays.insert(relay);
        }
    }

    /// Records load of a relay that reaches a route, and reports an overload.
    pub(crate) fn record_route_load(&mut self, now: Time, relay: usize, route: usize, weight: f64) {
        let record = &mut self.routes[route];
        let Some(recovery) = record.recovery.as_mut().filter(|recovery| !recovery.is_reported) else {
            return;
        };
        if now.since(recovery.since) >= recovery.warm_up.duration {
            record.recovery = None;
            return;
        }
        recovery.record(LoadSample { at: now, relay, weight }, &self.tolerances);
        let Some(overload) = recovery.overload(now, &record.informed_relays, &self.tolerances) else {
            return;
        };
        recovery.is_reported = true;
        if overload.is_by_informed_relays() {
            let what = overload.describe(route, &self.tolerances);
            self.report(Rule::Recovery, now, None, None, what);
        }
    }
}
