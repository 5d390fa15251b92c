//! The state of an endpoint during a run: calls in service and in its queue, connections and load reports.

use std::collections::VecDeque;

use juniperwing::interface::RateLimitReport;
use juniperwing::time::Time;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::faults::FaultSet;
use crate::fleet::EndpointPlan;
use crate::limit::Limit;
use crate::random::{RngStreams, StreamPurpose, lognormal};

/// Identifies a call within a run.
pub(crate) type CallId = u64;

/// Load reports kept: more than can be made within the longest report delay.
const MAX_REPORTS: usize = 32;

/// An endpoint.
pub(crate) struct Endpoint {
    pub(crate) plan: EndpointPlan,
    pub(crate) faults: FaultSet,
    /// Calls in service; never more than `plan.servers`.
    pub(crate) running: usize,
    /// Calls that wait for a server; never more than `plan.queue_capacity`.
    pub(crate) queue: VecDeque<CallId>,
    /// Open connections of all relays.
    pub(crate) connections: usize,
    /// Whether it has terminated; it answers no more calls.
    pub(crate) is_terminated: bool,
    service_rng: ChaCha8Rng,
    noise_rng: ChaCha8Rng,
    reports: VecDeque<(Time, RateLimitReport)>,
}

/// What an endpoint does with a call that is within the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Started,
    Queued,
    /// The queue is full.
    Rejected,
}

impl Endpoint {
    /// Creates the endpoint with index `index`, idle and without connections.
    pub(crate) fn new(plan: EndpointPlan, faults: FaultSet, index: usize, rng: &RngStreams) -> Endpoint {
        Endpoint {
            plan,
            faults,
            running: 0,
            queue: VecDeque::new(),
            connections: 0,
            is_terminated: false,
            service_rng: rng.stream(StreamPurpose::Service, index),
            noise_rng: rng.stream(StreamPurpose::Reports, index),
            reports: VecDeque::new(),
        }
    }

    /// Starts, queues or rejects a call.
    pub(crate) fn admit(&mut self, call: CallId) -> Admission {
        if self.running < self.plan.servers {
            self.running += 1;
            Admission::Started
        } else if self.queue.len() < self.plan.queue_capacity {
            self.queue.push_back(call);
            Admission::Queued
        } else {
            Admission::Rejected
        }
    }

    /// Frees the server of a call that has finished; returns the queued call that takes it, if there is one.
    pub(crate) fn release(&mut self) -> Option<CallId> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    /// A lognormal service time with this mean and coefficient of variation, in the unit of the mean.
    pub(crate) fn draw_service_time(&mut self, mean: f64, cv: f64) -> f64 {
        lognormal(&mut self.service_rng, mean, cv)
    }

    /// A uniform number from 0 to 1.
    pub(crate) fn draw_fraction(&mut self) -> f64 {
        self.service_rng.random()
    }

    /// Makes a load report on a limit, which is at `factor` of its configured rate, if one is due.
    pub(crate) fn make_report(&mut self, now: Time, noise: f64, limit: &mut Limit, factor: f64) {
        let last = self.reports.back();
        let is_due = last.is_none_or(|(at, _)| now.since(*at) >= self.plan.report_interval);
        let Some(rate) = limit.calls_per_s(factor).filter(|_| is_due) else { return };
        let remaining = limit.remaining_fraction(now, factor);
        let mut with_noise =
            |value: f64| value * (1.0 + noise * (2.0 * self.noise_rng.random::<f64>() - 1.0));
        let report = RateLimitReport {
            remaining_fraction: with_noise(remaining).clamp(0.0, 1.0),
            rate_per_second: with_noise(rate),
        };
        self.reports.push_back((now, report));
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
    }

    /// The latest report that is at least as old as the report delay.
    pub(crate) fn latest_report(&self, now: Time) -> Option<RateLimitReport> {
        let is_published = |at: &Time| now.since(*at) >= self.plan.report_delay;
        self.reports.iter().rev().find(|(at, _)| is_published(at)).map(|(_, report)| *report)
    }
}
