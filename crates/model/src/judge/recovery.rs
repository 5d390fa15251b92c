//! Checks of routes that recover from an outage: relays that know of the outage must not overload them.

use std::collections::{BTreeSet, VecDeque};

use juniperwing::time::Time;

use super::{Judge, Rule, RuleTolerances, as_secs};
use crate::fleet::{RoutePlan, WarmUp};

/// A violation needs this fraction of the load to come from relays that had seen the outage: two of three.
const RESPONSIBLE_FRACTION: (f64, f64) = (2.0, 3.0);

/// What the judge knows of a route.
#[derive(Default)]
pub(super) struct RouteRecord {
    is_out: bool,
    /// Relays that saw a call fail or be rejected in the outage.
    pub(super) witnesses: BTreeSet<usize>,
    recovery: Option<Recovery>,
}

/// A route that warms up after an outage.
struct Recovery {
    since: Time,
    /// Notifications a second when warm.
    capacity: f64,
    warm_up: WarmUp,
    recent: VecDeque<LoadSample>,
    /// Each recovery is reported once.
    is_reported: bool,
}

/// Work that reached a route.
struct LoadSample {
    at: Time,
    relay: usize,
    weight: f64,
}

/// More load than a recovering route can take.
struct Overload {
    since: Time,
    total: f64,
    limit: f64,
    /// What the route can do within the window just now.
    capacity: f64,
    /// The load that came from witnesses of the outage.
    from_witnesses: f64,
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
        &self, now: Time, witnesses: &BTreeSet<usize>, tolerances: &RuleTolerances,
    ) -> Option<Overload> {
        let WarmUp { initial_fraction: from, duration } = self.warm_up;
        let warmed = (1.0 - from) * now.since(self.since).as_secs_f64() / duration.as_secs_f64();
        let capacity = self.capacity * (from + warmed);
        let window_s = tolerances.overload_duration.as_secs_f64();
        let limit = tolerances.overload_factor * capacity * window_s + tolerances.overload_slack;
        let total: f64 = self.recent.iter().map(|sample| sample.weight).sum();
        let seen = self.recent.iter().filter(|sample| witnesses.contains(&sample.relay));
        let relays: BTreeSet<usize> = self.recent.iter().map(|sample| sample.relay).collect();
        (total > limit).then(|| Overload {
            since: self.since,
            total,
            limit,
            capacity: capacity * window_s,
            from_witnesses: seen.map(|sample| sample.weight).sum(),
            relays: relays.len(),
        })
    }
}

impl Overload {
    fn is_by_witnesses(&self) -> bool {
        let (part, of) = RESPONSIBLE_FRACTION;
        self.from_witnesses * of >= self.total * part
    }

    fn describe(&self, route: usize, tolerances: &RuleTolerances) -> String {
        format!(
            "lane {route}, back since {:.3} s, was sent {:.1} in {:.1} s where {:.1} would do ({:.1} times its \
             present capacity), {:.0} % of it by relays that had seen it fail; {} relays",
            as_secs(self.since),
            self.total,
            tolerances.overload_duration.as_secs_f64(),
            self.limit,
            self.total / self.capacity,
            self.from_witnesses / self.total * 100.0,
            self.relays
        )
    }
}

impl Judge {
    /// All endpoints of a route are out.
    pub(crate) fn handle_route_outage(&mut self, route: usize) {
        self.routes[route] = RouteRecord { is_out: true, ..RouteRecord::default() };
    }

    /// An outage is over. `warming` is the plan of a route that starts cold, `None` after a brief outage.
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

    /// A relay receives the outcome of a call on a route that failed or was rejected.
    pub(crate) fn record_failure_seen(&mut self, relay: usize, route: usize) {
        let record = &mut self.routes[route];
        if record.is_out {
            record.witnesses.insert(relay);
        }
    }

    /// Work of a relay reaches a route.
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
        let Some(overload) = recovery.overload(now, &record.witnesses, &self.tolerances) else { return };
        recovery.is_reported = true;
        if overload.is_by_witnesses() {
            let what = overload.describe(route, &self.tolerances);
            self.report(Rule::Return, now, None, None, what);
        }
    }
}
