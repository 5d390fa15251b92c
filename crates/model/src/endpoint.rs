//! Endpoints and lanes while a run goes: who is served, who waits, which connections are open, what a load report
//! says, and what an outage leaves behind. It owns these; which troubles strike them is looked up in `woes.rs`. It
//! must never know what a relay decided or why.

use std::collections::VecDeque;

use juniperwing::interface::RateLimitReport;
use juniperwing::time::{Span, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crate::fleet::{EndpointPlan, LanePlan};
use crate::limit::Limit;
use crate::woes::Struck;

/// Names a call.
pub(crate) type CallId = u64;

/// Reports kept: more than any can be waited for.
const REPORTS: usize = 32;

/// An endpoint.
pub(crate) struct Endpoint {
    pub(crate) plan: EndpointPlan,
    pub(crate) struck: Struck,
    pub(crate) running: usize,
    pub(crate) queue: VecDeque<CallId>,
    pub(crate) connections: usize,
    /// It has been replaced: nothing answers there.
    pub(crate) gone: bool,
    service: ChaCha8Rng,
    noise: ChaCha8Rng,
    reports: VecDeque<(Time, RateLimitReport)>,
}

/// What becomes of a call that has room in the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    Served,
    Waits,
    Full,
}

impl Endpoint {
    pub(crate) fn new(
        plan: EndpointPlan, struck: Struck, service: ChaCha8Rng, noise: ChaCha8Rng,
    ) -> Endpoint {
        Endpoint {
            plan,
            struck,
            running: 0,
            queue: VecDeque::new(),
            connections: 0,
            gone: false,
            service,
            noise,
            reports: VecDeque::new(),
        }
    }

    /// A call arrives: it is served, waits, or finds the queue full.
    pub(crate) fn admit(&mut self, call: CallId) -> Place {
        if self.running < self.plan.servers {
            self.running += 1;
            Place::Served
        } else if self.queue.len() < self.plan.queue {
            self.queue.push_back(call);
            Place::Waits
        } else {
            Place::Full
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
    pub(crate) fn service(&mut self, mean: f64, cv: f64) -> f64 {
        lognormal(&mut self.service, mean, cv)
    }

    /// A draw from 0 to 1 on this endpoint's part.
    pub(crate) fn draw(&mut self) -> f64 {
        self.service.random()
    }

    /// Makes a load report if one is due.
    pub(crate) fn make_report(&mut self, now: Time, noise: f64, limit: &mut Limit, factor: f64) {
        let due = self.reports.back().is_none_or(|(at, _)| now.since(*at) >= self.plan.report.0);
        let Some(rate) = limit.told(factor).filter(|_| due) else { return };
        let left = limit.left(now, factor);
        let mut blur = |value: f64| value * (1.0 + noise * (2.0 * self.noise.random::<f64>() - 1.0));
        let report =
            RateLimitReport { remaining_fraction: blur(left).clamp(0.0, 1.0), rate_per_second: blur(rate) };
        self.reports.push_back((now, report));
        if self.reports.len() > REPORTS {
            self.reports.pop_front();
        }
    }

    /// The newest report that is old enough to be told.
    pub(crate) fn report(&self, now: Time) -> Option<RateLimitReport> {
        let told = self.reports.iter().rev().find(|(at, _)| now.since(*at) >= self.plan.report.1);
        told.map(|(_, report)| *report)
    }
}

/// A lognormal time in seconds with this mean and coefficient of variation.
pub(crate) fn lognormal(chance: &mut ChaCha8Rng, mean: f64, cv: f64) -> f64 {
    if cv <= 0.0 {
        return mean;
    }
    let sigma = (1.0 + cv * cv).ln().sqrt();
    let mu = mean.ln() - sigma * sigma / 2.0;
    // Fails only for a spread that is no number, which a checked scenario does not have.
    LogNormal::new(mu, sigma).map_or(mean, |law| law.sample(chance))
}

/// Work that reached a lane.
pub(crate) struct Reached {
    at: Time,
    weight: f64,
}

/// A lane: the limit, and outages with what they leave behind.
pub(crate) struct Lane {
    pub(crate) plan: LanePlan,
    pub(crate) limit: Limit,
    pub(crate) endpoints: Vec<usize>,
    out_since: Option<Time>,
    /// When it last came back from an outage.
    pub(crate) back: Option<Time>,
    /// It was pushed over and stays down.
    pub(crate) fallen: bool,
    reached: VecDeque<Reached>,
    sum: f64,
}

impl Lane {
    pub(crate) fn new(plan: LanePlan) -> Lane {
        let limit = plan.limit.clone();
        let (endpoints, reached) = (Vec::new(), VecDeque::new());
        Lane { plan, limit, endpoints, out_since: None, back: None, fallen: false, reached, sum: 0.0 }
    }

    /// Takes note of whether all of it is out; says whether an outage began or ended that leaves it cold.
    pub(crate) fn note_out(&mut self, out: bool, now: Time, least: Span) -> Option<Outage> {
        match (self.out_since, out) {
            (None, true) => {
                self.out_since = Some(now);
                Some(Outage::Began)
            }
            (Some(since), false) => {
                self.out_since = None;
                if now.since(since) < least {
                    return Some(Outage::Brief);
                }
                self.back = Some(now);
                (self.sum, self.reached) = (0.0, VecDeque::new());
                Some(Outage::Ended)
            }
            _ => None,
        }
    }

    pub(crate) fn is_out(&self) -> bool {
        self.out_since.is_some() || self.fallen
    }

    /// The share of its capacity that it has now.
    pub(crate) fn level(&self, now: Time) -> f64 {
        let Some(back) = self.back else { return 1.0 };
        let (from, span) = self.plan.cold;
        let risen = if span > Span::ZERO { now.since(back).as_secs_f64() / span.as_secs_f64() } else { 1.0 };
        (from + (1.0 - from) * risen).min(1.0)
    }

    /// How much more a cold lane may be sent within `window`; no bound for a warm one.
    pub(crate) fn spare(&self, now: Time, window: Span, multiple: f64) -> f64 {
        if self.back.is_none() || self.level(now) >= 1.0 {
            return f64::INFINITY;
        }
        let recent = self.reached.iter().filter(|r| now.since(r.at) <= window).map(|r| r.weight).sum::<f64>();
        multiple * self.plan.capacity * self.level(now) * window.as_secs_f64() - recent
    }

    /// Work reaches it. A cold one falls over when what reached it in `window` is more than `multiple` times what it
    /// can do, and some slack. Says whether it does so now.
    pub(crate) fn reach(&mut self, now: Time, weight: f64, window: Span, multiple: f64, slack: f64) -> bool {
        if self.back.is_none() || self.level(now) >= 1.0 || self.fallen {
            return false;
        }
        self.reached.push_back(Reached { at: now, weight });
        self.sum += weight;
        while let Some(first) = self.reached.front().filter(|first| now.since(first.at) > window) {
            self.sum -= first.weight;
            self.reached.pop_front();
        }
        let most = multiple * self.plan.capacity * self.level(now) * window.as_secs_f64() + slack;
        self.fallen = self.sum > most;
        self.fallen
    }
}

/// What became of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outage {
    Began,
    Ended,
    /// Over before it left anything cold.
    Brief,
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::chance::{Chance, Concern};

    fn at(ms: u64) -> Time {
        Time::from_nanos(ms * 1_000_000)
    }

    fn lane() -> Lane {
        let cold = (0.2, Span::from_millis(10_000));
        Lane::new(LanePlan { limit: Limit::None, capacity: 10.0, cold, listed: 10.0 })
    }

    #[test]
    fn a_lane_comes_back_cold_and_warms_up() {
        let mut lane = lane();
        let least = Span::from_millis(1_000);
        assert_eq!(lane.note_out(true, at(0), least), Some(Outage::Began));
        assert_eq!(lane.note_out(true, at(100), least), None);
        assert_eq!(lane.note_out(false, at(900), least), Some(Outage::Brief));
        assert!(lane.level(at(900)) >= 1.0);
        lane.note_out(true, at(1_000), least);
        assert_eq!(lane.note_out(false, at(5_000), least), Some(Outage::Ended));
        let levels = [5_000, 10_000, 15_000, 90_000].map(|ms| (lane.level(at(ms)) * 100.0).round());
        assert_eq!(levels, [20.0, 60.0, 100.0, 100.0]);
    }

    #[test]
    fn a_cold_lane_falls_over_only_when_sent_too_much_for_long_enough() {
        let (window, least) = (Span::from_millis(1_500), Span::from_millis(1_000));
        for (gap, falls) in [(500, false), (100, true)] {
            let mut lane = lane();
            lane.note_out(true, at(0), least);
            lane.note_out(false, at(5_000), least);
            let fell = (0..40).any(|n| lane.reach(at(5_000 + n * gap), 1.0, window, 2.0, 2.0));
            assert_eq!((fell, lane.is_out()), (falls, falls));
        }
    }

    #[test]
    fn service_times_have_the_mean_and_spread_asked_for() {
        let mut chance = Chance::new(3).stream(Concern::Service, 0);
        let times: Vec<f64> = (0..60_000).map(|_| lognormal(&mut chance, 0.2, 0.8)).collect();
        let mean = times.iter().sum::<f64>() / times.len() as f64;
        let spread = (times.iter().map(|t| (t - mean).powi(2)).sum::<f64>() / times.len() as f64).sqrt();
        assert!((mean - 0.2).abs() < 0.003, "{mean}");
        assert!((spread / mean - 0.8).abs() < 0.03, "{}", spread / mean);
    }
}
