//! Mutation tests of the rule checker: for each rule, the core is mutated to violate it by altering its events or
//! commands, and the rule checker must report the violation.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use juniperwing::Relay;
use juniperwing::interface::{
    CallStatus, Command, EndpointId, EndpointListUpdate, Event, NotificationId, Readiness,
};
use juniperwing::time::{Span, Time};
use juniperwing_model::fleet::Fleet;
use juniperwing_model::policy::{GroundTruth, Policies, Policy};
use juniperwing_model::{Core, Rule, Scenario, simulate};

/// A mutation of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    /// Gives no final answer for expired notifications.
    NoAnswer,
    /// Gives each final answer twice.
    AnswersTwice,
    /// Gives final answers long after they are due.
    AnswersLate,
    /// Pushes a notification after its final answer.
    PushesAfterAnswer,
    /// Pushes an expired notification once more, whatever its semantics.
    RepeatsExpired,
    /// Throttles notifications that may have been executed.
    ThrottlesExecuted,
    /// Receives no report that an endpoint is draining.
    IgnoresDrains,
    /// Receives no failure, and retries soon.
    IgnoresFailures,
    /// Receives no keys.
    IgnoresKeys,
    /// Receives no retry-after.
    IgnoresRetryAfter,
}

struct MutatedCore(Mutation);

struct MutatedRelay {
    mutation: Mutation,
    core: Relay,
    last_endpoint: BTreeMap<NotificationId, EndpointId>,
    answered: BTreeSet<NotificationId>,
    delayed: Vec<(Time, Command)>,
}

impl Policies for MutatedCore {
    fn name(&self) -> &str {
        "mutated"
    }

    fn start(&self, now: Time, relay: usize, seed: u64, fleet: &Fleet) -> Box<dyn Policy> {
        let core = Relay::new(now, seed, fleet.relay_config(relay));
        let (last_endpoint, answered) = (BTreeMap::new(), BTreeSet::new());
        Box::new(MutatedRelay { mutation: self.0, core, last_endpoint, answered, delayed: Vec::new() })
    }
}

impl MutatedRelay {
    fn mutate_event(&mut self, mut event: Event) -> Event {
        match (&mut event, self.mutation) {
            (Event::Accepted(ntf), Mutation::IgnoresKeys) => ntf.key = None,
            // A rejection looks as if the call had never been sent: no backoff, no wait.
            (Event::PushEnded(outcome), Mutation::IgnoresRetryAfter)
                if outcome.status == CallStatus::Busy =>
            {
                (outcome.retry_after, outcome.status) = (None, CallStatus::Skipped);
            }
            // A failure looks as if the call had never been sent.
            (Event::PushEnded(outcome), Mutation::IgnoresFailures)
                if outcome.status != CallStatus::Delivered =>
            {
                outcome.status = CallStatus::Skipped;
            }
            (Event::EndpointListUpdated(EndpointListUpdate::Changes(entries)), Mutation::IgnoresDrains) => {
                entries.retain(|entry| entry.readiness == Readiness::Serving);
            }
            _ => {}
        }
        event
    }

    fn mutate_command(&mut self, now: Time, mut command: Command) -> Vec<Command> {
        if let Command::Push { timeout, .. } = &mut command
            && self.mutation == Mutation::IgnoresFailures
        {
            *timeout = (*timeout).min(Span::from_millis(500));
        }
        if let Command::Push { notification, endpoint, .. } = &command {
            self.last_endpoint.insert(*notification, endpoint.clone());
        }
        let answered = match command {
            Command::Throttle { notification, .. } | Command::Expire(notification) => Some(notification),
            _ => None,
        };
        let Some(ntf) = answered else { return vec![command] };
        let first = self.answered.insert(ntf);
        let again = self.last_endpoint.get(&ntf).cloned().map(|endpoint| Command::Push {
            notification: ntf,
            endpoint,
            timeout: Span::from_millis(2_000),
            send_within: Span::from_millis(2_000),
        });
        match self.mutation {
            Mutation::NoAnswer if matches!(command, Command::Expire(_)) => Vec::new(),
            Mutation::AnswersTwice => vec![command.clone(), command],
            Mutation::AnswersLate => {
                self.delayed.push((now + Span::from_millis(20_000), command));
                vec![Command::WakeAfter(Span::from_millis(20_000))]
            }
            Mutation::PushesAfterAnswer => std::iter::once(command).chain(again).collect(),
            Mutation::RepeatsExpired if first && matches!(command, Command::Expire(_)) => {
                again.into_iter().collect()
            }
            Mutation::ThrottlesExecuted => {
                vec![Command::Throttle { notification: ntf, retry_after: Span::ZERO }]
            }
            _ => vec![command],
        }
    }
}

impl Policy for MutatedRelay {
    fn handle(&mut self, now: Time, events: Vec<Event>, _: &dyn GroundTruth) -> Vec<Command> {
        let events: Vec<Event> = events.into_iter().map(|event| self.mutate_event(event)).collect();
        let commands = self.core.handle(now, events);
        let mut altered: Vec<Command> =
            commands.into_iter().flat_map(|command| self.mutate_command(now, command)).collect();
        let (due, later) = std::mem::take(&mut self.delayed).into_iter().partition(|(at, _)| *at <= now);
        self.delayed = later;
        altered.extend(Vec::into_iter(due).map(|(_, command): (Time, Command)| command));
        altered
    }
}

/// Faults that lead to final answers, retry-after, drains and recoveries.
const FAULTS: &str = r#"
[[trouble]]
what = "errors"
start_s = 4
span_s = 5
extent = 0.4
[[trouble]]
what = "resets"
start_s = 2
span_s = 20
extent = 0.6
size = 0.3
[[trouble]]
what = "limit"
start_s = 3
span_s = 20
extent = 0.6
size = 0.4
[[trouble]]
what = "deploy"
start_s = 6
span_s = 6
extent = 0.6
size = 12
"#;

/// A scenario in which each rule can be violated. Its load is so high that a recovering destination can be overloaded.
fn busy_scenario(faults: &str) -> Scenario {
    let mut scenario = common::scenario(24, faults);
    scenario.traffic.load = 1.1.into();
    scenario
}

fn assert_caught(mutation: Mutation, faults: &str, rule: Rule, description: &str) {
    // The unaltered core keeps the rule in the same runs, so it is the mutation that is caught.
    for seed in 1..=2 {
        let core = simulate(&busy_scenario(faults), seed, &Core);
        assert!(core.violations.iter().all(|b| b.rule != rule), "{:#?}", core.violations);
        let mutated = simulate(&busy_scenario(faults), seed, &MutatedCore(mutation));
        let caught = mutated.violations.iter().any(|b| b.rule == rule && b.what.contains(description));
        assert!(caught, "{mutation:?}, seed {seed}: {:#?}", mutated.violations);
    }
}

#[test]
fn missing_final_answer_is_caught() {
    assert_caught(Mutation::NoAnswer, FAULTS, Rule::FinalAnswer, "no final answer by the end of the run");
}

#[test]
fn second_final_answer_is_caught() {
    assert_caught(Mutation::AnswersTwice, FAULTS, Rule::FinalAnswer, "after another final answer");
}

#[test]
fn late_final_answer_is_caught() {
    assert_caught(Mutation::AnswersLate, FAULTS, Rule::FinalAnswer, "too late: the final answer was due by");
}

#[test]
fn push_after_final_answer_is_caught() {
    assert_caught(Mutation::PushesAfterAnswer, FAULTS, Rule::FinalAnswer, "sent after its final answer");
}

#[test]
fn repeat_of_non_idempotent_notification_is_caught() {
    assert_caught(
        Mutation::RepeatsExpired,
        FAULTS,
        Rule::SingleEffect,
        "non-idempotent notification sent again",
    );
}

#[test]
fn throttling_of_executed_notification_is_caught() {
    assert_caught(Mutation::ThrottlesExecuted, FAULTS, Rule::SingleEffect, "which permits a repeat");
}

#[test]
fn push_to_draining_endpoint_is_caught() {
    assert_caught(Mutation::IgnoresDrains, FAULTS, Rule::Drain, "reported as draining");
}

#[test]
fn push_out_of_order_is_caught() {
    assert_caught(Mutation::IgnoresKeys, FAULTS, Rule::Order, "is unfinished");
}

#[test]
fn push_before_retry_after_is_caught() {
    assert_caught(Mutation::IgnoresRetryAfter, FAULTS, Rule::RetryAfter, "before its retry-after ends");
}

#[test]
fn overload_of_recovering_destination_is_caught() {
    let outage = "[[trouble]]\nwhat = \"silent\"\nstart_s = 3\nspan_s = 7\nextent = 0.5\n";
    assert_caught(
        Mutation::IgnoresFailures,
        outage,
        Rule::Recovery,
        "% of it from relays that observed the outage",
    );
}
