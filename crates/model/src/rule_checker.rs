//! The checker of the six rules.
//!
//! It observes the inputs and the actions of relays as they occur, and reports each violation with its time, its ids
//! and the observations before it. It implements the rules independently: it keeps its own records, shares no code
//! with the core and gives relays no feedback.

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

/// Violations of one rule that are described; further ones are only counted. The limit applies to each rule, so that
/// many violations of one rule do not hide those of another.
const MAX_DESCRIBED_PER_RULE: usize = 10;
/// The maximum of observations, and of pushes, in the description of a violation.
const MAX_HISTORY: usize = 12;

/// The tolerances of the rules.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RuleTolerances {
    /// How long after the TTL of a notification its final answer is still in time.
    pub(crate) answer_slack: Span,
    /// How long after the notice of a drain a push is still allowed.
    pub(crate) drain_grace: Span,
    /// How long a key waits after a push that may still be executing.
    pub(crate) key_cooldown: Span,
    /// The multiple of its present capacity that a recovering route may receive within `overload_duration`.
    pub(crate) overload_factor: f64,
    /// The length of the overload window.
    pub(crate) overload_duration: Span,
    /// Calls allowed beyond that multiple.
    pub(crate) overload_slack: f64,
}

/// The notifications of one key at one relay.
#[derive(Default)]
struct KeyQueue {
    /// In the order of acceptance.
    notifications: VecDeque<u64>,
    /// The time until which a push of the key may still be executing.
    cooldown_until: Time,
}

/// The rule checker of one run.
pub(crate) struct RuleChecker {
    tolerances: RuleTolerances,
    notifications: BTreeMap<u64, NotificationRecord>,
    /// By relay and key.
    key_queues: BTreeMap<(usize, String), KeyQueue>,
    /// By relay and endpoint: when the relay was notified that the endpoint is draining or has terminated.
    draining_since: BTreeMap<(usize, usize), Time>,
    /// By relay and route: the end of the retry-after that the relay received.
    retry_after_until: BTreeMap<(usize, usize), Time>,
    routes: Vec<RouteRecord>,
    /// By index of the client's notification, which is independent of the ids that relays assign.
    first_effect_at: BTreeMap<usize, Time>,
    /// The latest observations with their time and relay; they are formatted only when a rule is violated.
    recent: VecDeque<(Time, usize, Observation)>,
    violations: Vec<Violation>,
    violation_count: usize,
}

impl RuleChecker {
    pub(crate) fn new(tolerances: RuleTolerances, routes: usize) -> RuleChecker {
        RuleChecker {
            tolerances,
            notifications: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            retry_after_until: BTreeMap::new(),
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

    /// The observations of a notification, and the latest observations of all notifications.
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

    fn record_observation(&mut self, now: Time, relay: usize, observation: Observation) {
        self.recent.push_back((now, relay, observation));
        if self.recent.len() > MAX_HISTORY {
            self.recent.pop_front();
        }
    }

    /// Records a retry-after. Called after the turn in which the relay received it, since that turn's pushes may ignore
    /// it.
    pub(crate) fn handle_retry_after(&mut self, relay: usize, route: usize, until: Time) {
        let known = self.retry_after_until.entry((relay, route)).or_default();
        *known = (*known).max(until);
    }

    /// Records that a relay is notified that an endpoint is serving, or that it is draining or has terminated.
    pub(crate) fn handle_readiness(&mut self, now: Time, relay: usize, endpoint: usize, is_serving: bool) {
        if is_serving {
            self.draining_since.remove(&(relay, endpoint));
        } else {
            self.draining_since.entry((relay, endpoint)).or_insert(now);
        }
    }

    /// Records the end of a relay's process. Pushes in flight may still be executing.
    pub(crate) fn handle_relay_stop(&mut self, now: Time, relay: usize, is_storage_kept: bool) {
        let of_relay = self.notifications.iter().filter(|(_, record)| record.relay == relay);
        let owned: Vec<u64> = of_relay.map(|(notification_id, _)| *notification_id).collect();
        for notification_id in owned {
            let Some(record) = self.notifications.get_mut(&notification_id) else { continue };
            let was_in_flight = record.is_in_flight();
            for push in record.pushes.iter_mut().filter(|push| push.is_in_flight()) {
                push.execution = Some(ExecutionStatus::MayBeExecuting);
            }
            record.has_final_answer |= !is_storage_kept;
            let key = record.accepted.key.clone().filter(|_| was_in_flight);
            self.extend_key_cooldown(now, relay, key);
            self.prune(notification_id);
        }
        self.draining_since.retain(|(of, _), _| *of != relay);
        self.retry_after_until.retain(|(of, _), _| *of != relay);
        for route in &mut self.routes {
            route.informed_relays.remove(&relay);
        }
    }

    /// Records the start of a relay's process from its storage. Final answers that fell due while it was down are due
    /// `allowance` after the start.
    pub(crate) fn handle_relay_start(&mut self, now: Time, relay: usize, allowance: Span) {
        let due_at = now + allowance;
        let records = self.notifications.values_mut();
        for record in records.filter(|record| record.relay == relay && !record.has_final_answer) {
            record.due_at = record.due_at.max(due_at);
        }
    }

    /// Ends the run: each missing final answer is a violation. Returns the described violations and the number of all.
    pub(crate) fn finish(mut self, now: Time) -> (Vec<Violation>, usize) {
        let owed = self.notifications.iter().filter(|(_, record)| !record.has_final_answer);
        let owed: Vec<(u64, usize)> =
            owed.map(|(notification_id, record)| (*notification_id, record.relay)).collect();
        for (notification_id, relay) in owed {
            self.report_for(
                Rule::FinalAnswer,
                now,
                relay,
                notification_id,
                "no final answer by the end of the run",
            );
        }
        (self.violations, self.violation_count)
    }
}

fn as_secs(time: Time) -> f64 {
    time.since(Time::default()).as_secs_f64()
}
