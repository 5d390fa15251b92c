//! The event handling of a baseline.

use std::collections::BTreeMap;

use juniperwing::interface::{
    CallStatus, Command, DestinationId, EndpointId, Event, Notification, PushOutcome, RelayLimits,
    RuleParameters,
};
use juniperwing::time::{Span, Time};
use juniperwing_model::policy::{GroundTruth, Policy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Strategy;
use super::state::{
    CircuitBreaker, EndpointList, KeyQueue, PendingNotification, PossibleExecution, RetryBudget,
};

/// The first backoff; it doubles with each push.
const FIRST_BACKOFF: Span = Span::from_millis(100);
const MAX_BACKOFF: Span = Span::from_millis(5_000);
/// The number of pushes after which the backoff doubles no further, which keeps it finite.
const MAX_BACKOFF_PUSHES: u32 = 16;

/// The scope of a retry-after: a destination, or one endpoint where endpoints are separate routes.
pub(super) type Route = (DestinationId, Option<EndpointId>);

/// A baseline policy of one relay.
pub(super) struct BaselinePolicy {
    pub(super) strategy: Strategy,
    pub(super) limits: RelayLimits,
    rules: RuleParameters,
    rng: ChaCha8Rng,
    is_subscribed: bool,
    pub(super) list: EndpointList,
    /// By destination: the index of the next endpoint in round-robin order.
    pub(super) next_endpoint: BTreeMap<DestinationId, usize>,
    pub(super) wait_until: BTreeMap<Route, Time>,
    pub(super) breakers: BTreeMap<EndpointId, CircuitBreaker>,
    pub(super) pending: BTreeMap<u64, PendingNotification>,
    pub(super) key_queues: BTreeMap<String, KeyQueue>,
    /// Calls in flight, with the number of pushes in each that have no outcome yet.
    pub(super) calls: BTreeMap<u64, usize>,
    pub(super) last_call: u64,
    pub(super) retry_budget: RetryBudget,
}

impl BaselinePolicy {
    pub(super) fn new(
        strategy: Strategy, seed: u64, limits: RelayLimits, rules: RuleParameters,
    ) -> BaselinePolicy {
        BaselinePolicy {
            strategy,
            limits,
            rules,
            rng: ChaCha8Rng::seed_from_u64(seed),
            is_subscribed: false,
            list: EndpointList::default(),
            next_endpoint: BTreeMap::new(),
            wait_until: BTreeMap::new(),
            breakers: BTreeMap::new(),
            pending: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            retry_budget: RetryBudget::default(),
        }
    }

    fn handle_event(&mut self, now: Time, event: Event, commands: &mut Vec<Command>) {
        match event {
            Event::EndpointListUpdated(update) => {
                if self.list.apply(update) {
                    commands.push(Command::SubscribeToEndpointList);
                }
            }
            Event::Accepted(notification) => self.handle_accepted(now, notification),
            Event::PushEnded(outcome) => self.handle_push_outcome(now, &outcome),
            Event::Withdrawn(notification) | Event::FinalAnswerAcknowledged(notification) => {
                self.remove(notification.0);
            }
            Event::SlotLimitChanged(slots) => self.limits.slots = slots,
            Event::WakeUp
            | Event::ConfigChanged(_)
            | Event::ProbeEnded { .. }
            | Event::RetryAfterReported { .. } => {}
        }
    }

    fn handle_accepted(&mut self, now: Time, notification: Notification) {
        let id = notification.id.0;
        let pending = PendingNotification::new(now, notification);
        if let Some(key) = pending.ordering_key() {
            let queue = self.key_queues.entry(key.clone()).or_default();
            queue.waiting.push_back(id);
            if let Some(ended_at) = pending.notification.history.last_uncertain_end {
                queue.extend_cooldown(ended_at + self.rules.key_cooldown);
            }
        }
        self.pending.insert(id, pending);
        self.retry_budget.earn();
    }

    fn handle_push_outcome(&mut self, now: Time, outcome: &PushOutcome) {
        self.record_wait(now, outcome);
        let breaker = self.breakers.entry(outcome.endpoint.clone()).or_default();
        breaker.record(now, outcome.status == CallStatus::Delivered);
        let Some(pending) = self.pending.get_mut(&outcome.notification.0) else { return };
        if let Some(call) = pending.call.take()
            && let Some(in_flight) = self.calls.get_mut(&call)
        {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.calls.remove(&call);
            }
        }
        if outcome.status.may_have_executed() && pending.first_possible_execution.is_none() {
            let entry = self.list.entries.get(&outcome.endpoint);
            let zone = entry.map(|entry| entry.zone.clone()).unwrap_or_default();
            let sent_at = pending.latest_push.sent_at;
            pending.first_possible_execution = Some(PossibleExecution { sent_at, zone });
        }
        if outcome.status.may_be_executing()
            && let Some(key) = &pending.notification.key
            && let Some(queue) = self.key_queues.get_mut(key)
        {
            queue.extend_cooldown(now + self.rules.key_cooldown);
        }
        if outcome.has_final_answer && !pending.has_final_answer {
            return self.remove(outcome.notification.0);
        }
        pending.ready_at = match self.strategy {
            Strategy::Oracle => now,
            _ => now + max_backoff(pending.push_count).mul_f64(self.rng.random()),
        };
    }

    /// Records the retry-after of a destination.
    fn record_wait(&mut self, now: Time, outcome: &PushOutcome) {
        if let Some(entry) = self.list.entries.get(&outcome.endpoint)
            && let Some(wait) = outcome.retry_after
        {
            let endpoint = entry.kind.has_separate_routes.then(|| outcome.endpoint.clone());
            let until = self.wait_until.entry((entry.destination, endpoint)).or_default();
            *until = (*until).max(now + wait);
        }
    }

    /// Removes a notification, and the queue of its key if that is no longer needed.
    fn remove(&mut self, id: u64) {
        let Some(pending) = self.pending.remove(&id) else { return };
        if let Some(key) = pending.notification.key
            && let Some(queue) = self.key_queues.get_mut(&key)
        {
            queue.waiting.retain(|other| *other != id);
            if queue.waiting.is_empty() && queue.cooldown_until <= pending.ready_at {
                self.key_queues.remove(&key);
            }
        }
    }
}

/// The maximum backoff after `push_count` pushes, which must be at least 1.
fn max_backoff(push_count: u32) -> Span {
    let doublings = push_count.min(MAX_BACKOFF_PUSHES) as i32 - 1;
    FIRST_BACKOFF.mul_f64(2f64.powi(doublings)).min(MAX_BACKOFF)
}

impl Policy for BaselinePolicy {
    fn handle(&mut self, now: Time, events: Vec<Event>, truth: &dyn GroundTruth) -> Vec<Command> {
        let mut commands = Vec::new();
        if !std::mem::replace(&mut self.is_subscribed, true) {
            commands.push(Command::SubscribeToEndpointList);
        }
        for event in events {
            self.handle_event(now, event, &mut commands);
        }
        let mut wake_at = self.send_ready(now, truth, &mut commands);
        if self.strategy == Strategy::Oracle {
            wake_at = wake_at.min(self.cancel_unanswered(now, truth, &mut commands));
        }
        if wake_at < Time::NEVER {
            commands.push(Command::WakeAfter(wake_at.since(now)));
        }
        commands
    }
}
