//! The state of a route during a run: its rate limit, outages and warm-up.

use std::collections::VecDeque;

use juniperwing::time::{Span, Time};

use crate::fleet::{RoutePlan, WarmUp};
use crate::limit::Limit;

/// The load that overloads a route during its warm-up.
#[derive(Clone, Copy, Debug)]
pub struct OverloadThreshold {
    /// The multiple of the present capacity that a route may receive within `duration`.
    pub factor: f64,
    /// The length of the window.
    pub duration: Span,
    /// Calls allowed beyond that multiple.
    pub slack: f64,
}

/// The load of a call that reached a route.
struct LoadSample {
    at: Time,
    weight: f64,
}

/// A route: the unit that a rate limit and an outage apply to.
pub struct Route {
    /// Its plan.
    pub plan: RoutePlan,
    /// Its rate limit, with the calls counted in this run.
    pub limit: Limit,
    /// Indices of its endpoints, including those that were replaced.
    pub endpoints: Vec<usize>,
    out_since: Option<Time>,
    /// The end of its latest outage that was not brief.
    recovered_at: Option<Time>,
    is_overloaded: bool,
    /// The load within the overload window during its warm-up, the latest last.
    recent_load: VecDeque<LoadSample>,
    /// The sum of `recent_load`.
    recent_weight: f64,
}

/// A change of a route's outage state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageTransition {
    /// All its endpoints are unavailable.
    Began,
    /// It serves again and warms up.
    Ended,
    /// It serves again after a short outage, and is still warm.
    Brief,
}

impl Route {
    /// Creates a route that is available and warm.
    pub fn new(plan: RoutePlan) -> Route {
        Route {
            limit: plan.limit.clone(),
            plan,
            endpoints: Vec::new(),
            out_since: None,
            recovered_at: None,
            is_overloaded: false,
            recent_load: VecDeque::new(),
            recent_weight: 0.0,
        }
    }

    /// Sets whether all its endpoints are unavailable. An outage shorter than `min_outage` leaves it warm.
    pub fn set_outage(&mut self, is_out: bool, now: Time, min_outage: Span) -> Option<OutageTransition> {
        match (self.out_since, is_out) {
            (None, true) => {
                self.out_since = Some(now);
                Some(OutageTransition::Began)
            }
            (Some(since), false) => {
                self.out_since = None;
                if now.since(since) < min_outage {
                    return Some(OutageTransition::Brief);
                }
                self.recovered_at = Some(now);
                (self.recent_weight, self.recent_load) = (0.0, VecDeque::new());
                Some(OutageTransition::Ended)
            }
            _ => None,
        }
    }

    /// Whether no call to it is answered.
    pub fn is_out(&self) -> bool {
        self.out_since.is_some() || self.is_overloaded
    }

    /// Whether it was overloaded during a warm-up; it is then unavailable for the rest of the run.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Whether it has recovered from an outage that was not brief.
    pub fn has_recovered(&self) -> bool {
        self.recovered_at.is_some()
    }

    /// The available fraction of its capacity, from 0 to 1.
    pub fn capacity_fraction(&self, now: Time) -> f64 {
        let Some(since) = self.recovered_at else { return 1.0 };
        let WarmUp { initial_fraction, duration } = self.plan.warm_up;
        let progress =
            if duration > Span::ZERO { now.since(since).as_secs_f64() / duration.as_secs_f64() } else { 1.0 };
        (initial_fraction + (1.0 - initial_fraction) * progress).min(1.0)
    }

    fn is_warm(&self, now: Time) -> bool {
        self.recovered_at.is_none() || self.capacity_fraction(now) >= 1.0
    }

    /// The load that it may receive within an overload window that ends now, without slack.
    fn load_limit(&self, now: Time, threshold: &OverloadThreshold) -> f64 {
        let capacity = threshold.factor * self.plan.capacity * self.capacity_fraction(now);
        capacity * threshold.duration.as_secs_f64()
    }

    /// The load that it may still receive now; infinite for a warm route.
    pub fn remaining_load(&self, now: Time, threshold: &OverloadThreshold) -> f64 {
        if self.is_warm(now) {
            return f64::INFINITY;
        }
        let recent = self.recent_load.iter().filter(|sample| now.since(sample.at) <= threshold.duration);
        self.load_limit(now, threshold) - recent.map(|sample| sample.weight).sum::<f64>()
    }

    /// Records load that reaches it. Returns whether the load overloads it.
    pub fn record_load(&mut self, now: Time, weight: f64, threshold: &OverloadThreshold) -> bool {
        if self.is_warm(now) || self.is_overloaded {
            return false;
        }
        self.recent_load.push_back(LoadSample { at: now, weight });
        self.recent_weight += weight;
        while let Some(first) =
            self.recent_load.front().filter(|first| now.since(first.at) > threshold.duration)
        {
            self.recent_weight -= first.weight;
            self.recent_load.pop_front();
        }
        self.is_overloaded = self.recent_weight > self.load_limit(now, threshold) + threshold.slack;
        self.is_overloaded
    }
}
