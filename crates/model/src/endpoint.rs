//! Endpoints and lanes while a run goes: who is served, who waits, which connections are open, what a load report
//! says, and what an outage leaves behind. It owns these; which troubles strike them is looked up in `woes.rs`. It
//! must never know what a relay decided or why.

use std::collections::VecDeque;

use juniperwing::interface::LimitReport;
use juniperwing::time::{Span, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crate::faults::FaultSet;
use crate::fleet::{EndpointPlan, RoutePlan};
use crate::limit::Limit;

/// Names a call.
pub(crate) type CallId = u64;

/// Reports kept: more than any can be waited for.
const REPORTS: usize = 32;

/// An endpoint.
pub(crate) struct Endpoint {
    pub(crate) plan: EndpointPlan,
    pub(crate) faults: FaultSet,
    pub(crate) running: usize,
    pub(crate) queue: VecDeque<CallId>,
    pub(crate) connections: usize,
    /// It has been replaced: nothing answers there.
    pub(crate) is_terminated: bool,
    service: ChaCha8Rng,
    noise: ChaCha8Rng,
    reports: VecDeque<(Time, LimitReport)>,
}

/// What becomes of a call that has room in the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Started,
    Queued,
    Rejected,
}

impl Endpoint {
    pub(crate) fn new(
        plan: EndpointPlan, faults: FaultSet, service: ChaCha8Rng, noise: ChaCha8Rng,
    ) -> Endpoint {
        Endpoint {
            plan,
            faults,
            running: 0,
            queue: VecDeque::new(),
            connections: 0,
            is_terminated: false,
            service,
            noise,
            reports: VecDeque::new(),
        }
    }

    /// A call arrives: it is served, waits, or finds the queue full.
    pub(crate) fn admit(&mut self, call: CallId) -> Admission {
        if self.running < self.plan.servers {
            self.running += 1;
            Admission::Started
        } else if self.queue.len() < self.plan.queue {
            self.queue.push_back(call);
            Admission::Queued
        } else {
            Admission::Rejected
        }
    }

    /// A call has been served; the next that waits, if any, is served now.
    pub(crate) fn release(&mut self) -> Option<CallId> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    /// A time with this mean and coefficient of variation.
    pub(crate) fn draw_service_time(&mut self, mean: f64, cv: f64) -> f64 {
        lognormal(&mut self.service, mean, cv)
    }

    /// A draw from 0 to 1 on this endpoint's part.
    pub(crate) fn draw_fraction(&mut self) -> f64 {
        self.service.random()
    }

    /// Makes a load report if one is due.
    pub(crate) fn make_report(&mut self, now: Time, noise: f64, limit: &mut Limit, factor: f64) {
        let due = self.reports.back().is_none_or(|(at, _)| now.since(*at) >= self.plan.report.0);
        let Some(rate) = limit.calls_per_s(factor).filter(|_| due) else { return };
        let left = limit.remaining_fraction(now, factor);
        let mut blur = |value: f64| value * (1.0 + noise * (2.0 * self.noise.random::<f64>() - 1.0));
        let report = LimitReport { left: blur(left).clamp(0.0, 1.0), rate: blur(rate) };
        self.reports.push_back((now, report));
        if self.reports.len() > REPORTS {
            self.reports.pop_front();
        }
    }

    /// The newest report that is old enough to be told.
    pub(crate) fn latest_report(&self, now: Time) -> Option<LimitReport> {
        let told = self.reports.iter().rev().find(|(at, _)| now.since(*at) >= self.plan.report.1);
        told.map(|(_, report)| *report)
    }
}

/// A lognormal time in seconds with this mean and coefficient of variation.
pub(crate) fn lognormal(rng: &mut ChaCha8Rng, mean: f64, cv: f64) -> f64 {
    if cv <= 0.0 {
        return mean;
    }
    let sigma = (1.0 + cv * cv).ln().sqrt();
    let mu = mean.ln() - sigma * sigma / 2.0;
    // Fails only for a spread that is no number, which a checked scenario does not have.
    LogNormal::new(mu, sigma).map_or(mean, |law| law.sample(rng))
}

/// Work that reached a lane.
pub(crate) struct LoadSample {
    at: Time,
    weight: f64,
}

/// A lane: the limit, and outages with what they leave behind.
pub(crate) struct Route {
    pub(crate) plan: RoutePlan,
    pub(crate) limit: Limit,
    pub(crate) endpoints: Vec<usize>,
    out_since: Option<Time>,
    /// When it last came back from an outage.
    pub(crate) recovered_at: Option<Time>,
    /// It was pushed over and stays down.
    pub(crate) is_overloaded: bool,
    recent_load: VecDeque<LoadSample>,
    recent_weight: f64,
}

impl Route {
    pub(crate) fn new(plan: RoutePlan) -> Route {
        let limit = plan.limit.clone();
        let (endpoints, recent_load) = (Vec::new(), VecDeque::new());
        Route {
            plan,
            limit,
            endpoints,
            out_since: None,
            recovered_at: None,
            is_overloaded: false,
            recent_load,
            recent_weight: 0.0,
        }
    }

    /// Takes note of whether all of it is out; says whether an outage began or ended that leaves it cold.
    pub(crate) fn set_outage(&mut self, out: bool, now: Time, min_outage: Span) -> Option<OutageTransition> {
        match (self.out_since, out) {
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

    pub(crate) fn is_out(&self) -> bool {
        self.out_since.is_some() || self.is_overloaded
    }

    /// The share of its capacity that it has now.
    pub(crate) fn capacity_fraction(&self, now: Time) -> f64 {
        let Some(back) = self.recovered_at else { return 1.0 };
        let (from, span) = self.plan.cold;
        let risen = if span > Span::ZERO { now.since(back).as_secs_f64() / span.as_secs_f64() } else { 1.0 };
        (from + (1.0 - from) * risen).min(1.0)
    }

    /// How much more a cold lane may be sent within `window`; no bound for a warm one.
    pub(crate) fn remaining_allowance(&self, now: Time, window: Span, multiple: f64) -> f64 {
        if self.recovered_at.is_none() || self.capacity_fraction(now) >= 1.0 {
            return f64::INFINITY;
        }
        let recent =
            self.recent_load.iter().filter(|r| now.since(r.at) <= window).map(|r| r.weight).sum::<f64>();
        multiple * self.plan.capacity * self.capacity_fraction(now) * window.as_secs_f64() - recent
    }

    /// Work reaches it. A cold one falls over when what reached it in `window` is more than `multiple` times what it
    /// can do, and some slack. Says whether it does so now.
    pub(crate) fn record_load(
        &mut self, now: Time, weight: f64, window: Span, multiple: f64, slack: f64,
    ) -> bool {
        if self.recovered_at.is_none() || self.capacity_fraction(now) >= 1.0 || self.is_overloaded {
            return false;
        }
        self.recent_load.push_back(LoadSample { at: now, weight });
        self.recent_weight += weight;
        while let Some(first) = self.recent_load.front().filter(|first| now.since(first.at) > window) {
            self.recent_weight -= first.weight;
            self.recent_load.pop_front();
        }
        let most = multiple * self.plan.capacity * self.capacity_fraction(now) * window.as_secs_f64() + slack;
        self.is_overloaded = self.recent_weight > most;
        self.is_overloaded
    }
}

/// What became of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutageTransition {
    Began,
    Ended,
    /// Over before it left anything cold.
    Brief,
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::random::{Concern, RngStreams};

    fn at(ms: u64) -> Time {
        Time::from_nanos(ms * 1_000_000)
    }

    fn route() -> Route {
        let cold = (0.2, Span::from_millis(10_000));
        Route::new(RoutePlan { limit: Limit::None, capacity: 10.0, cold, listed: 10.0 })
    }

    #[test]
    fn a_lane_comes_back_cold_and_warms_up() {
        let mut route = route();
        let min_outage = Span::from_millis(1_000);
        assert_eq!(route.set_outage(true, at(0), min_outage), Some(OutageTransition::Began));
        assert_eq!(route.set_outage(true, at(100), min_outage), None);
        assert_eq!(route.set_outage(false, at(900), min_outage), Some(OutageTransition::Brief));
        assert!(route.capacity_fraction(at(900)) >= 1.0);
        route.set_outage(true, at(1_000), min_outage);
        assert_eq!(route.set_outage(false, at(5_000), min_outage), Some(OutageTransition::Ended));
        let levels =
            [5_000, 10_000, 15_000, 90_000].map(|ms| (route.capacity_fraction(at(ms)) * 100.0).round());
        assert_eq!(levels, [20.0, 60.0, 100.0, 100.0]);
    }

    #[test]
    fn a_cold_lane_falls_over_only_when_sent_too_much_for_long_enough() {
        let (window, min_outage) = (Span::from_millis(1_500), Span::from_millis(1_000));
        for (gap, falls) in [(500, false), (100, true)] {
            let mut route = route();
            route.set_outage(true, at(0), min_outage);
            route.set_outage(false, at(5_000), min_outage);
            let overloaded = (0..40).any(|n| route.record_load(at(5_000 + n * gap), 1.0, window, 2.0, 2.0));
            assert_eq!((overloaded, route.is_out()), (falls, falls));
        }
    }

    #[test]
    fn service_times_have_the_mean_and_spread_asked_for() {
        let mut rng = RngStreams::new(3).stream(Concern::Service, 0);
        let times: Vec<f64> = (0..60_000).map(|_| lognormal(&mut rng, 0.2, 0.8)).collect();
        let mean = times.iter().sum::<f64>() / times.len() as f64;
        let spread = (times.iter().map(|t| (t - mean).powi(2)).sum::<f64>() / times.len() as f64).sqrt();
        assert!((mean - 0.2).abs() < 0.003, "{mean}");
        assert!((spread / mean - 0.8).abs() < 0.03, "{}", spread / mean);
    }
}
