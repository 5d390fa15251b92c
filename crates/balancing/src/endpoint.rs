//! A relay's record of one endpoint: load, failures and prefix cache.

use std::collections::VecDeque;

use juniperwing_clock::{Span, Time};

use crate::call_outcome::CallOutcome;
use crate::prefix_cache::PrefixCache;
use crate::server_load::ServerLoad;

/// The time over which the weight of a reported load falls to zero.
const REPORTED_LOAD_LIFETIME: Span = Span::from_millis(1_500);
/// The fraction of its slots by which an endpoint may be overcommitted; it queues these few extra requests itself.
const OVERCOMMIT_FRACTION: f64 = 0.25;
/// The first backoff after an endpoint was overloaded.
const OVERLOAD_BACKOFF: Span = Span::from_millis(30);
/// The first backoff after an endpoint failed.
const FAILURE_BACKOFF: Span = Span::from_millis(200);
/// The longest backoff.
const MAX_BACKOFF: Span = Span::from_millis(4_000);
/// The maximum number of times that a backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// The weight of the latest call in the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.2;
/// The half-life of the failure rate while there are no calls, so that a failed endpoint is tried again.
const FAILURE_RATE_HALF_LIFE: Span = Span::from_millis(1_000);

#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    at: Time,
    load: ServerLoad,
    /// This relay's own calls in flight at that time.
    own_calls: u32,
}

impl ReportedLoad {
    fn calls_of_other_relays(&self) -> u32 {
        self.load.running.saturating_add(self.load.waiting).saturating_sub(self.own_calls)
    }
}

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) is_in_own_zone: bool,
    pub(crate) prefix_cache: PrefixCache,
    capacity: u32,
    /// The start times of this relay's calls in flight, oldest first.
    in_flight: VecDeque<Time>,
    last_call_at: Time,
    reported_load: Option<ReportedLoad>,
    consecutive_failures: u32,
    consecutive_overloads: u32,
    overloaded_until: Time,
    ejected_until: Time,
    /// The share of recent calls that failed, as of `failure_rate_at`.
    failure_rate: f64,
    failure_rate_at: Time,
}

impl Endpoint {
    pub(crate) fn new(capacity: u32, is_in_own_zone: bool) -> Self {
        Endpoint {
            is_in_own_zone,
            prefix_cache: PrefixCache::default(),
            capacity: capacity.max(1),
            in_flight: VecDeque::new(),
            last_call_at: Time::default(),
            reported_load: None,
            consecutive_failures: 0,
            consecutive_overloads: 0,
            overloaded_until: Time::default(),
            ejected_until: Time::default(),
            failure_rate: 0.0,
            failure_rate_at: Time::default(),
        }
    }

    pub(crate) fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity.max(1);
    }

    pub(crate) fn begin_call(&mut self, now: Time) {
        self.in_flight.push_back(now);
        self.last_call_at = now;
    }

    /// When this relay last sent a call to the endpoint.
    pub(crate) fn last_call_at(&self) -> Time {
        self.last_call_at
    }

    /// Records the end of a call; returns for how long it occupied its slot, if it succeeded. Calls are not told apart:
    /// the oldest one is taken to have ended, which leaves the mean unchanged.
    pub(crate) fn end_call(&mut self, now: Time, outcome: CallOutcome) -> Option<Span> {
        let began_at = self.in_flight.pop_front();
        if outcome != CallOutcome::Cancelled {
            self.update_failure_rate(now, outcome != CallOutcome::Succeeded);
        }
        match outcome {
            CallOutcome::Succeeded => (self.consecutive_failures, self.consecutive_overloads) = (0, 0),
            CallOutcome::Overloaded => {
                self.overloaded_until = now + backoff(OVERLOAD_BACKOFF, self.consecutive_overloads);
                self.consecutive_overloads = self.consecutive_overloads.saturating_add(1);
            }
            CallOutcome::Failed => {
                self.ejected_until = now + backoff(FAILURE_BACKOFF, self.consecutive_failures);
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
            }
            CallOutcome::ServerError | CallOutcome::TimedOut | CallOutcome::Cancelled => {}
        }
        began_at.filter(|_| outcome == CallOutcome::Succeeded).map(|began_at| now.since(began_at))
    }

    fn update_failure_rate(&mut self, now: Time, has_failed: bool) {
        let latest = if has_failed { 1.0 } else { 0.0 };
        let before = self.failure_rate(now);
        self.failure_rate = before + FAILURE_RATE_WEIGHT * (latest - before);
        self.failure_rate_at = now;
    }

    /// The share of recent calls that were declined, failed, timed out or returned a server error. It detects endpoints
    /// that pass their health checks and serve some requests but fail others.
    pub(crate) fn failure_rate(&self, now: Time) -> f64 {
        let half_lives = now.since(self.failure_rate_at).as_secs_f64() / FAILURE_RATE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(half_lives)
    }

    /// Records the load that the endpoint has reported; returns how many of these calls are from other relays.
    pub(crate) fn record_load(&mut self, now: Time, load: ServerLoad) -> u32 {
        let reported = ReportedLoad { at: now, load, own_calls: self.own_calls() };
        self.reported_load = Some(reported);
        reported.calls_of_other_relays()
    }

    fn own_calls(&self) -> u32 {
        u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    /// Whether one more request may be sent to the endpoint.
    pub(crate) fn has_capacity(&self, now: Time) -> bool {
        let slots = f64::from(self.slots());
        let known_load = self.expected_load(now, 0.0);
        now >= self.overloaded_until && known_load < (slots * (1.0 + OVERCOMMIT_FRACTION)).ceil()
    }

    /// When the backoff after an overload ends.
    pub(crate) fn overloaded_until(&self) -> Time {
        self.overloaded_until
    }

    /// The expected number of calls at the endpoint: this relay's own and those of other relays. Without a recent
    /// report the latter are assumed to be `mean_calls_of_other_relays`.
    pub(crate) fn expected_load(&self, now: Time, mean_calls_of_other_relays: f64) -> f64 {
        f64::from(self.own_calls()) + self.expected_calls_of_other_relays(now, mean_calls_of_other_relays)
    }

    /// The expected delay of a call, in seconds, because of the endpoint's failures, if each costs `attempt_timeout`.
    pub(crate) fn expected_failure_secs(&self, now: Time, attempt_timeout: Span) -> f64 {
        let is_ejected = now < self.ejected_until;
        let ejection = if is_ejected { self.ejected_until.since(now) + attempt_timeout } else { Span::ZERO };
        ejection.as_secs_f64() + self.failure_rate(now) * attempt_timeout.as_secs_f64()
    }

    /// The number of requests that the endpoint runs at a time.
    pub(crate) fn slots(&self) -> u32 {
        self.reported_load.map_or(self.capacity, |reported| reported.load.slots.max(1))
    }

    /// The expected calls of other relays. As the report ages, this moves linearly from the reported number to `mean`.
    fn expected_calls_of_other_relays(&self, now: Time, mean: f64) -> f64 {
        let Some(reported) = self.reported_load else { return mean };
        let elapsed = now.since(reported.at).as_secs_f64();
        let age = (elapsed / REPORTED_LOAD_LIFETIME.as_secs_f64()).min(1.0);
        f64::from(reported.calls_of_other_relays()) * (1.0 - age) + mean * age
    }
}

fn backoff(first: Span, doublings: u32) -> Span {
    first.mul_f64(f64::from(1_u32 << doublings.min(MAX_BACKOFF_DOUBLINGS))).min(MAX_BACKOFF)
}
