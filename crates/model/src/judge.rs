//! The judge of the six rules.
//!
//! It observes the inputs and the actions of relays, at the moment they happen, and reports each violation with its
//! time, its ids and what was observed before. It is written from the wording of the rules and keeps its own record
//! of everything; it shares no code with the core and tells relays nothing.

mod deliveries;
mod records;
mod recovery;
mod violation;

use std::collections::{BTreeMap, VecDeque};

use juniperwing::time::{Span, Time};

pub(crate) use records::{AcceptedNotification, ExecutionStatus, FinalAnswer, PushTarget, RepeatSemantics};
use records::{NotificationRecord, Observation};
use recovery::RouteRecord;
pub use violation::{Rule, Violation};

/// Violations of one rule that are described; more are only counted. One rule must not hide another.
const MAX_DESCRIBED_PER_RULE: usize = 10;
/// Observations and pushes that the description of a violation lists.
const MAX_HISTORY: usize = 12;

/// The tolerances of the rules.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RuleTolerances {
    /// How long after the end of its validity a final answer is still in time.
    pub(crate) answer_slack: Span,
    /// How long after the notice of a drain a push is still allowed.
    pub(crate) drain_grace: Span,
    /// How long a key waits after a push that may still be executing.
    pub(crate) key_cooldown: Span,
    /// A recovering route is overloaded by more than this multiple of its present capacity...
    pub(crate) overload_factor: f64,
    /// ...within this time...
    pub(crate) overload_duration: Span,
    /// ...and this many calls.
    pub(crate) overload_slack: f64,
}

/// The notifications of one key at one relay.
#[derive(Default)]
struct KeyQueue {
    /// In the order of acceptance.
    notifications: VecDeque<u64>,
    /// Until then a push of the key may still be executing.
    settles_at: Time,
}

/// The judge of one run.
pub(crate) struct Judge {
    tolerances: RuleTolerances,
    notifications: BTreeMap<u64, NotificationRecord>,
    /// By relay and key.
    key_queues: BTreeMap<(usize, String), KeyQueue>,
    /// By relay and endpoint: when the relay was notified that the endpoint drains or has terminated.
    draining_since: BTreeMap<(usize, usize), Time>,
    /// By relay and route: the end of the wait that was announced to the relay.
    wait_until: BTreeMap<(usize, usize), Time>,
    routes: Vec<RouteRecord>,
    /// By the client's notification, whatever ids relays gave it.
    first_effect_at: BTreeMap<usize, Time>,
    /// The latest observations with their time and relay; formatted only when a rule is violated.
    recent: VecDeque<(Time, usize, Observation)>,
    violations: Vec<Violation>,
    violation_count: usize,
}

impl Judge {
    pub(crate) fn new(tolerances: RuleTolerances, routes: usize) -> Judge {
        Judge {
            tolerances,
            notifications: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            wait_until: BTreeMap::new(),
            routes: (0..routes).map(|_| RouteRecord::default()).collect(),
            first_effect_at: BTreeMap::new(),
            recent: VecDeque::new(),
            violations: Vec::new(),
            violation_count: 0,
        }
    }

    /// Reports a violation by one relay that concerns one notification.
    fn report_for(
        &mut self, rule: Rule, now: Time, relay: usize, notification_id: u64, what: impl Into<String>,
    ) {
        self.report(rule, now, Some(relay), Some(notification_id), what.into());
    }

    fn report(
        &mut self, rule: Rule, now: Time, relay: Option<usize>, notification_id: Option<u64>, what: String,
    ) {
        self.violation_count += 1;
        if self.violations.iter().filter(|other| other.rule == rule).count() >= MAX_DESCRIBED_PER_RULE {
            return;
        }
        let before = self.history(notification_id);
        self.violations.push(Violation {
            rule,
            at_s: as_secs(now),
            relay,
            notification: notification_id,
            what,
            before,
        });
    }

    /// What was observed of a notification, and lately of all.
    fn history(&self, notification_id: Option<u64>) -> Vec<String> {
        let mut lines: Vec<String> = Vec::new();
        if let Some(record) =
            notification_id.and_then(|notification_id| self.notifications.get(&notification_id))
        {
            let valid_until_s = as_secs(record.accepted.valid_until);
            lines.push(format!("taken by relay {}, valid until {valid_until_s:.3} s", record.relay));
            let skipped = record.pushes.len().saturating_sub(MAX_HISTORY);
            lines.extend(record.pushes.iter().skip(skipped).map(|push| {
                let outcome = push.execution.map(|execution| execution.to_string().to_lowercase());
                let outcome = outcome.unwrap_or_else(|| "no outcome".to_owned());
                format!(
                    "push {} at {:.3} s to zone {}: {outcome}",
                    push.number,
                    as_secs(push.sent_at),
                    push.zone
                )
            }));
        }
        let recent = self.recent.iter();
        lines.extend(recent.map(|(at, relay, seen)| format!("{:.3} s: relay {relay} {seen}", as_secs(*at))));
        lines
    }

    fn remember(&mut self, now: Time, relay: usize, observation: Observation) {
        self.recent.push_back((now, relay, observation));
        if self.recent.len() > MAX_HISTORY {
            self.recent.pop_front();
        }
    }

    /// A wait was announced to a relay. Called after the turn that received it: pushes of that turn are excused.
    pub(crate) fn handle_wait(&mut self, relay: usize, route: usize, until: Time) {
        let known = self.wait_until.entry((relay, route)).or_default();
        *known = (*known).max(until);
    }

    /// A relay is notified that an endpoint serves, or that it drains or has terminated.
    pub(crate) fn handle_readiness(&mut self, now: Time, relay: usize, endpoint: usize, is_serving: bool) {
        if is_serving {
            self.draining_since.remove(&(relay, endpoint));
        } else {
            self.draining_since.entry((relay, endpoint)).or_insert(now);
        }
    }

    /// A relay's process ends; `kept` if its storage outlasts it. Pushes in flight may still be executing.
    pub(crate) fn handle_relay_stop(&mut self, now: Time, relay: usize, kept: bool) {
        let of_relay = self.notifications.iter().filter(|(_, record)| record.relay == relay);
        let owned: Vec<u64> = of_relay.map(|(notification_id, _)| *notification_id).collect();
        for notification_id in owned {
            let Some(record) = self.notifications.get_mut(&notification_id) else { continue };
            let was_in_flight = record.is_in_flight();
            for push in record.pushes.iter_mut().filter(|push| push.is_in_flight()) {
                push.execution = Some(ExecutionStatus::MayBeExecuting);
            }
            record.has_final_answer |= !kept;
            let key = record.accepted.key.clone().filter(|_| was_in_flight);
            self.delay_key(now, relay, key);
            self.forget(notification_id);
        }
        self.draining_since.retain(|(of, _), _| *of != relay);
        self.wait_until.retain(|(of, _), _| *of != relay);
        for route in &mut self.routes {
            route.witnesses.remove(&relay);
        }
    }

    /// A relay's process starts on its storage: final answers that fell due meanwhile are due `allowance` later.
    pub(crate) fn handle_relay_start(&mut self, now: Time, relay: usize, allowance: Span) {
        let due_at = now + allowance;
        let records = self.notifications.values_mut();
        for record in records.filter(|record| record.relay == relay && !record.has_final_answer) {
            record.due_at = record.due_at.max(due_at);
        }
    }

    /// Ends the run: each final answer that is still owed is a violation. Returns the violations that are described,
    /// and the number of all.
    pub(crate) fn finish(mut self, now: Time) -> (Vec<Violation>, usize) {
        let owed = self.notifications.iter().filter(|(_, record)| !record.has_final_answer);
        let owed: Vec<(u64, usize)> =
            owed.map(|(notification_id, record)| (*notification_id, record.relay)).collect();
        for (notification_id, relay) in owed {
            self.report_for(Rule::Lost, now, relay, notification_id, "never had a final answer");
        }
        (self.violations, self.violation_count)
    }
}

fn as_secs(time: Time) -> f64 {
    time.since(Time::default()).as_secs_f64()
}
