//! The decisions of a baseline on which notifications it pushes, when and to which endpoint.

use std::sync::Arc;

use juniperwing::interface::{
    Command, DeduplicationScope, EndpointEntry, EndpointId, NotificationId, Semantics,
};
use juniperwing::time::{Span, Time};
use juniperwing_model::policy::{EndpointState, GroundTruth};

use super::Strategy;
use super::policy::BaselinePolicy;
use super::state::{CircuitBreaker, LatestPush, PendingNotification, PossibleExecution};

/// The minimum remaining time for a push of a notification.
const MIN_TIME_LEFT: Span = Span::from_millis(20);
/// The timeout of a push, as a multiple of the latency target.
const TIMEOUT_FACTOR: f64 = 1.0;
/// The interval at which a baseline checks again whether it can send a notification.
const RETRY_INTERVAL: Span = Span::from_millis(20);
/// The interval at which an oracle checks the endpoints of pushes in flight.
const IN_FLIGHT_CHECK_INTERVAL: Span = Span::from_millis(200);
/// An oracle sends nothing to a recovering destination that can receive fewer notifications than this.
const MIN_REMAINING_LOAD: f64 = 4.0;
/// An oracle sends nothing to a destination with a lower remaining fraction of its limit.
const MIN_LIMIT_REMAINING: f64 = 0.02;

/// The zones that another push of a notification is allowed to.
enum Permission {
    AnyZone,
    /// Only this zone, since repeats are deduplicated within a zone.
    OnlyZone(Arc<str>),
}

impl Permission {
    fn allows(&self, entry: &EndpointEntry) -> bool {
        match self {
            Permission::AnyZone => true,
            Permission::OnlyZone(zone) => *zone == entry.zone,
        }
    }
}

/// A notification in the order of sending.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Whether it is past its latency target; an oracle sends such notifications last. False for other baselines.
    is_late: bool,
    ready_at: Time,
    id: u64,
}

/// The decision on a candidate.
enum Decision {
    /// It can no longer be sent.
    End,
    /// It waits for another event.
    Wait {
        at_latest: Time,
    },
    /// It is checked again at this time.
    CheckAt(Time),
    Send {
        endpoint: EndpointId,
        at_latest: Time,
    },
}

impl BaselinePolicy {
    /// Sends the notifications that may be sent, and gives final answers for those that can no longer be sent. Returns
    /// when to check again.
    pub(super) fn send_ready(
        &mut self, now: Time, truth: &dyn GroundTruth, commands: &mut Vec<Command>,
    ) -> Time {
        let candidates = self.candidates(now);
        let mut wake_at = Time::NEVER;
        for candidate in &candidates {
            match self.decide(now, *candidate, truth) {
                None => {}
                Some(Decision::End) => self.answer(candidate.id, commands),
                Some(Decision::Wait { at_latest }) => wake_at = wake_at.min(at_latest),
                Some(Decision::CheckAt(at)) => wake_at = wake_at.min(at),
                Some(Decision::Send { endpoint, at_latest }) => {
                    wake_at = wake_at.min(at_latest);
                    let call = self.call(now, candidate.id, &endpoint, &candidates);
                    self.push(now, &call, &endpoint, commands);
                }
            }
        }
        wake_at
    }

    fn candidates(&self, now: Time) -> Vec<Candidate> {
        let is_late = |pending: &PendingNotification| {
            let accepted_at = pending.notification.valid_until - pending.notification.topic.ttl;
            self.strategy == Strategy::Oracle
                && now.since(accepted_at) > pending.notification.topic.latency_target
        };
        let waiting = self.pending.iter().filter(|(_, p)| p.call.is_none() && !p.has_final_answer);
        let candidate = |(id, pending): (&u64, &PendingNotification)| Candidate {
            is_late: is_late(pending),
            ready_at: pending.ready_at,
            id: *id,
        };
        let mut candidates: Vec<Candidate> = waiting.map(candidate).collect();
        candidates.sort_unstable();
        candidates
    }

    /// Returns `None` for a candidate that was sent or answered since the candidates were listed.
    fn decide(&mut self, now: Time, candidate: Candidate, truth: &dyn GroundTruth) -> Option<Decision> {
        let pending = self.pending.get(&candidate.id).filter(|pending| pending.call.is_none())?;
        let at_latest = latest_send_time(pending);
        let Some(permission) = self.permission(now, pending).filter(|_| now < at_latest) else {
            return Some(Decision::End);
        };
        let earliest = self.cooldown_end(pending).max(candidate.ready_at);
        if !self.is_first_of_key(candidate.id, pending) || self.calls.len() >= self.limits.slots {
            return Some(Decision::Wait { at_latest });
        }
        if now < earliest {
            return Some(Decision::CheckAt(earliest.min(at_latest)));
        }
        let is_over_budget = self.is_budgeted_retry(pending) && self.retry_budget.is_exhausted();
        let endpoint =
            if is_over_budget { None } else { self.choose_endpoint(now, candidate.id, &permission, truth) };
        Some(match endpoint {
            Some(endpoint) => Decision::Send { endpoint, at_latest },
            None => Decision::CheckAt((now + RETRY_INTERVAL).min(at_latest)),
        })
    }

    fn is_budgeted_retry(&self, pending: &PendingNotification) -> bool {
        self.strategy == Strategy::BackoffWithBreaker && pending.push_count > 0
    }

    /// Returns the zones that another push is allowed to; `None` if no push is allowed.
    fn permission(&self, now: Time, pending: &PendingNotification) -> Option<Permission> {
        let executed = pending.first_possible_execution.as_ref();
        let is_first = executed.is_none() && pending.push_count == 0;
        if pending.push_count >= self.limits.max_pushes
            || self.strategy == Strategy::SingleAttempt && !is_first
        {
            return None;
        }
        let Some(PossibleExecution { sent_at, zone }) = executed else { return Some(Permission::AnyZone) };
        match pending.notification.topic.semantics {
            Semantics::Idempotent => Some(Permission::AnyZone),
            Semantics::NonIdempotent => None,
            Semantics::Deduplicated { window, .. } if now >= *sent_at + window => None,
            Semantics::Deduplicated { scope: DeduplicationScope::All, .. } => Some(Permission::AnyZone),
            Semantics::Deduplicated { scope: DeduplicationScope::Zone, .. } => {
                Some(Permission::OnlyZone(zone.clone()))
            }
        }
    }

    /// The next endpoint in round-robin order that a notification may be sent to now.
    fn choose_endpoint(
        &mut self, now: Time, id: u64, permission: &Permission, truth: &dyn GroundTruth,
    ) -> Option<EndpointId> {
        let destination = self.pending.get(&id)?.notification.destination;
        let endpoints = self.list.serving.get(&destination)?;
        let start = self.next_endpoint.get(&destination).copied().unwrap_or(0);
        for n in 0..endpoints.len() {
            let endpoint = &endpoints[(start + n) % endpoints.len()];
            let entry = &self.list.entries[endpoint];
            if permission.allows(entry) && self.is_available(now, entry, truth) {
                let endpoint = endpoint.clone();
                self.next_endpoint.insert(destination, (start + n + 1) % endpoints.len());
                return Some(endpoint);
            }
        }
        None
    }

    fn is_available(&self, now: Time, entry: &EndpointEntry, truth: &dyn GroundTruth) -> bool {
        let route = (entry.destination, entry.kind.has_separate_routes.then(|| entry.endpoint.clone()));
        let is_waiting = self.wait_until.get(&route).is_some_and(|until| now < *until);
        let breaker = self.breakers.get(&entry.endpoint);
        let is_open = self.strategy == Strategy::BackoffWithBreaker
            && breaker.is_some_and(|b: &CircuitBreaker| b.is_open(now));
        let is_bad = self.strategy == Strategy::Oracle
            && truth.endpoint(&entry.endpoint).is_none_or(|state| !would_answer(&state));
        !(is_waiting || is_open || is_bad)
    }

    /// The notification, and others that are ready for the endpoint, up to the maximum of the call.
    fn call(&self, now: Time, id: u64, endpoint: &EndpointId, candidates: &[Candidate]) -> Vec<u64> {
        let entry = &self.list.entries[endpoint];
        let others = candidates.iter().map(|candidate| candidate.id).filter(|other| *other != id);
        let joining = others.filter(|other| self.can_join(now, *other, entry));
        let max_others = entry.kind.max_notifications_per_call.max(1) - 1;
        std::iter::once(id).chain(joining.take(max_others)).collect()
    }

    fn can_join(&self, now: Time, id: u64, entry: &EndpointEntry) -> bool {
        let Some(pending) = self.pending.get(&id) else { return false };
        pending.call.is_none()
            && pending.notification.destination == entry.destination
            && self.cooldown_end(pending).max(pending.ready_at) <= now
            && self.is_first_of_key(id, pending)
            && now < latest_send_time(pending)
            && !self.is_budgeted_retry(pending)
            && self.permission(now, pending).is_some_and(|permission| permission.allows(entry))
    }

    /// Sends notifications to an endpoint in one call.
    fn push(&mut self, now: Time, call: &[u64], endpoint: &EndpointId, commands: &mut Vec<Command>) {
        self.last_call += 1;
        self.calls.insert(self.last_call, call.len());
        for id in call {
            let Some(pending) = self.pending.get_mut(id) else { continue };
            let topic = &pending.notification.topic;
            let time_left = pending.notification.valid_until.since(now);
            let timeout = match self.strategy {
                Strategy::SingleAttempt | Strategy::Oracle => time_left,
                // There may be no second attempt, so the first has all the remaining time.
                _ if topic.semantics == Semantics::NonIdempotent => time_left,
                _ => topic.latency_target.mul_f64(TIMEOUT_FACTOR).min(time_left),
            };
            if pending.push_count > 0 {
                self.retry_budget.spend();
            }
            pending.call = Some(self.last_call);
            pending.push_count += 1;
            pending.latest_push =
                LatestPush { sent_at: now, endpoint: endpoint.clone(), is_cancelled: false };
            commands.push(Command::Push {
                notification: NotificationId(*id),
                endpoint: endpoint.clone(),
                timeout,
                send_within: timeout,
            });
        }
    }

    /// Gives the final answer for a notification that can no longer be sent.
    fn answer(&mut self, id: u64, commands: &mut Vec<Command>) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let notification = NotificationId(id);
        commands.push(if pending.first_possible_execution.is_none() {
            Command::Throttle { notification, retry_after: Span::ZERO }
        } else {
            Command::Expire(notification)
        });
        pending.has_final_answer = true;
        if pending.ordering_key().is_none() {
            self.pending.remove(&id);
        }
    }

    /// Cancels pushes that will not be answered and can be repeated. Returns when to check again.
    pub(super) fn cancel_unanswered(
        &mut self, now: Time, truth: &dyn GroundTruth, commands: &mut Vec<Command>,
    ) -> Time {
        let mut wake_at = Time::NEVER;
        let in_flight = self.pending.iter_mut().filter(|(_, pending)| pending.call.is_some());
        for (id, pending) in in_flight.filter(|(_, pending)| !pending.latest_push.is_cancelled) {
            let semantics = pending.notification.topic.semantics;
            if semantics == Semantics::NonIdempotent || pending.push_count >= self.limits.max_pushes {
                continue;
            }
            let state = truth.endpoint(&pending.latest_push.endpoint);
            if state.is_some_and(|state| !state.is_answering) {
                pending.latest_push.is_cancelled = true;
                let notification = NotificationId(*id);
                commands.push(Command::Cancel { notification, push_index: pending.push_count - 1 });
            } else {
                wake_at = now + IN_FLIGHT_CHECK_INTERVAL;
            }
        }
        wake_at
    }

    /// The time until which a push of the same key may still be executing.
    fn cooldown_end(&self, pending: &PendingNotification) -> Time {
        let queue = pending.ordering_key().and_then(|key| self.key_queues.get(key));
        queue.map_or(Time::default(), |queue| queue.cooldown_until)
    }

    fn is_first_of_key(&self, id: u64, pending: &PendingNotification) -> bool {
        let queue = pending.ordering_key().and_then(|key| self.key_queues.get(key));
        queue.is_none_or(|queue| queue.waiting.front() == Some(&id))
    }
}

/// Whether a call to an endpoint in that state would be answered soon.
fn would_answer(state: &EndpointState) -> bool {
    state.is_answering
        && (state.free_servers > 0 || state.queued <= 1)
        && state.limit_remaining >= MIN_LIMIT_REMAINING
        && state.remaining_load >= MIN_REMAINING_LOAD
}

/// The time from which a notification is no longer pushed.
fn latest_send_time(pending: &PendingNotification) -> Time {
    pending.notification.valid_until - MIN_TIME_LEFT
}
