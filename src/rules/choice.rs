//! What may go, what goes to an endpoint next, for how long, and how far apart calls are after an outage.

use std::sync::Arc;

use super::*;
use crate::interface::{DeduplicationScope, EndpointId, NotificationId, PossibleRun, Semantics};
use crate::state::{Destination, Held};
use crate::time::{Span, Time};

impl Destination {
    /// The gap between calls after an outage, at one of so many parts, by what was handed in.
    pub(super) fn gap(&self, parts: usize, now: Time) -> Span {
        let pace = self.handed.len() as f64 / (self.known(now).as_secs_f64() * parts as f64);
        let f = &self.terms.rules;
        let least = LEAST / (f.overload_duration.as_secs_f64() * self.terms.fleet.relay_count.max(1) as f64);
        Span::from_secs_f64(1.0 / (f.overload_factor * pace).max(least / f.warm_up_initial_fraction))
    }

    /// For how long it is known what was handed in: less than it counts in a relay that has just started.
    pub(super) fn known(&self, now: Time) -> Span {
        let age = now.since(self.born.unwrap_or(now)) + self.terms.rules.overload_duration;
        age.min(self.terms.rules.warm_up_duration.mul_f64(MEMORY))
    }

    /// Calls are worth filling: one counts once for the limit and takes one slot. Until when it may wait.
    pub(super) fn filled(&self, held: &Held) -> Time {
        let left = held.ntf.valid_until.since(held.taken);
        let calls = self.latencies.ninetieth_percentile().unwrap_or_default().mul_f64(USUAL_CALLS);
        held.taken + (held.ntf.topic.latency_target.min(left) - calls).mul_f64(FILL)
    }

    /// What goes to an endpoint next: first what can still meet its objective. Rule: a call ends with the
    /// first TTL in it, so only those join whom this leaves their time-out, or what nine in ten calls last.
    pub(super) fn pick(
        &self, now: Time, to: &EndpointId, zone: &Arc<str>,
    ) -> Vec<(NotificationId, Span, Span)> {
        let elsewhere = self.asked < self.ends.len();
        let mut ready: Vec<&Held> = self.held.iter().filter(|h| h.turn).collect();
        ready.retain(|h| h.may_run(now, Some(zone), self.terms.limits.max_pushes));
        ready.retain(|h| !(elsewhere && (h.last.as_ref() == Some(to) || self.fails(h, to, now))));
        if ready.len() < self.per_call && ready.iter().all(|h| now < self.filled(h)) {
            return Vec::new();
        }
        ready.sort_by_key(|h| {
            !h.past.is_recovered && now.since(h.taken) + self.latencies.median() > h.ntf.topic.latency_target
        });
        let enough = self
            .latencies
            .ninetieth_percentile()
            .unwrap_or(self.terms.rules.overload_duration.mul_f64(OVERDUE_FLOOR));
        let (mut call, mut ends, mut wanted) = (Vec::new(), Time::NEVER, Span::ZERO);
        let mut ready = ready.into_iter();
        while let Some(held) = ready.next().filter(|_| call.len() < self.per_call) {
            let (first, time_out) = (ends.min(held.ntf.valid_until), self.time_out(now, held));
            let most = wanted.max(time_out.min(enough));
            if call.is_empty() || now + most <= first {
                let by = held.closes().map_or(Time::NEVER, |end| end - ARRIVAL);
                call.push((held.ntf.id, time_out, by.since(now)));
                (ends, wanted) = (first, most);
            }
        }
        call.into_iter().map(|(ntf, time_out, by)| (ntf, time_out.min(ends.since(now)), by)).collect()
    }

    /// Guards against an endpoint that fails one topic type: that goes to others, longer after each loss.
    pub(super) fn fails(&self, held: &Held, to: &EndpointId, now: Time) -> bool {
        let same = |h: &&Held| h.last.as_ref() == Some(to) && h.ntf.topic.name == held.ntf.topic.name;
        let overdue =
            |h: &Held| h.out.as_ref().is_some_and(|out| now.since(out.sent_at) > self.overdue_after());
        let lost = self.failing.get(&(to.clone(), held.ntf.topic.name.clone()));
        lost.is_some_and(|(times, at)| now.since(*at) < LEFT_OUT.mul_f64(f64::from(*times)))
            || self.held.iter().filter(same).any(overdue)
    }

    /// When a call speaks of silence: well beyond what is delivered, longer after each cut short since.
    pub(super) fn overdue_after(&self) -> Span {
        let vain = self.latencies.consecutive_censored();
        let usual = self.latencies.ninetieth_percentile();
        let floor = if usual.is_none() { OVERDUE_UNKNOWN } else { OVERDUE_FLOOR };
        let least = self.terms.rules.overload_duration.mul_f64(floor);
        usual.unwrap_or_default().mul_f64(OVERDUE).max(least).mul_f64(2f64.powi(vain.min(8) as i32 / 2))
    }

    pub(super) fn time_out(&self, now: Time, held: &Held) -> Span {
        let left = held.ntf.valid_until.since(now);
        let pushes = if held.again() { self.terms.limits.max_pushes - held.past.push_count } else { 1 };
        self.latencies.timeout(left, pushes)
    }
}

impl Held {
    /// Rule: no effect twice. Every send passes here.
    pub(super) fn may_run(&self, now: Time, zone: Option<&Arc<str>>, most: u32) -> bool {
        let effect = match (&self.past.first_possible_run, self.ntf.topic.semantics) {
            (None, _) | (Some(_), Semantics::Idempotent) => true,
            (Some(_), Semantics::NonIdempotent) => false,
            (Some(PossibleRun { zone: first, .. }), Semantics::Deduplicated { scope, .. }) => {
                let open = self.closes().is_some_and(|end| now + ARRIVAL < end);
                open && (scope == DeduplicationScope::All || zone.is_none_or(|zone| zone == first))
            }
        };
        effect && self.past.push_count < most && !self.over && self.out.is_none()
    }

    /// When the window for copies ends, once a push may have run.
    pub(super) fn closes(&self) -> Option<Time> {
        self.past
            .first_possible_run
            .as_ref()
            .zip(self.ntf.topic.semantics.deduplication_window())
            .map(|(ran, window)| ran.sent_at + window)
    }
}
