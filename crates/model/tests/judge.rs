//! A judge that cannot find a break is worth nothing: for each rule there is a relay that breaks it, made of the core
//! by altering a little of what it is told or says, and the judge must catch it.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use juniperwing::Relay;
use juniperwing::interface::{
    CallStatus, Command, EndpointId, EndpointListUpdate, Event, NotificationId, Readiness,
};
use juniperwing::time::{Span, Time};
use juniperwing_model::fleet::Fleet;
use juniperwing_model::policy::{Policies, Policy, Truth};
use juniperwing_model::{Core, Rule, Scenario, simulate};

/// What is altered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bend {
    /// Says nothing of what expired.
    Silent,
    /// Says it twice.
    Twice,
    /// Answers what it took long after its time.
    Late,
    /// Pushes what has its end.
    Haunts,
    /// Pushes what has expired once more instead, once-only or not.
    Again,
    /// Says "throttled" of what may have run.
    Harmless,
    /// Sends to what drains.
    Drained,
    /// Knows of no failure, and tries again soon.
    Floods,
    /// Knows of no keys.
    Unordered,
    /// Is told of no waits.
    Impatient,
}

struct Bent(Bend);

struct Relayed {
    bend: Bend,
    core: Relay,
    last: BTreeMap<NotificationId, EndpointId>,
    ended: BTreeSet<NotificationId>,
    drained: BTreeMap<EndpointId, EndpointId>,
    late: Vec<(Time, Command)>,
}

impl Policies for Bent {
    fn name(&self) -> &str {
        "bent"
    }

    fn start(&self, now: Time, relay: usize, seed: u64, fleet: &Fleet) -> Box<dyn Policy> {
        let core = Relay::new(now, seed, fleet.relay_config(relay));
        let (last, ended, drained) = (BTreeMap::new(), BTreeSet::new(), BTreeMap::new());
        Box::new(Relayed { bend: self.0, core, last, ended, drained, late: Vec::new() })
    }
}

impl Relayed {
    fn told(&mut self, mut event: Event) -> Event {
        match (&mut event, self.bend) {
            (Event::Accepted(ntf), Bend::Unordered) => ntf.key = None,
            // A refusal as if the call had never left: no pause, no wait.
            (Event::PushEnded(outcome), Bend::Impatient) if outcome.status == CallStatus::Busy => {
                (outcome.retry_after, outcome.status) = (None, CallStatus::Skipped);
            }
            // No failure is one: it goes on as if all were well.
            (Event::PushEnded(outcome), Bend::Floods) if outcome.status != CallStatus::Delivered => {
                outcome.status = CallStatus::Skipped;
            }
            (Event::EndpointListUpdated(EndpointListUpdate::Changes(entries)), Bend::Drained) => {
                let new =
                    entries.iter().find(|e| e.readiness == Readiness::Serving).map(|e| e.endpoint.clone());
                for entry in entries.iter().filter(|entry| entry.readiness == Readiness::Draining) {
                    self.drained.insert(entry.endpoint.clone(), new.clone().unwrap_or_default());
                }
                // The drain is never heard of.
                entries.retain(|entry| entry.readiness == Readiness::Serving);
            }
            _ => {}
        }
        event
    }

    fn says(&mut self, now: Time, mut command: Command) -> Vec<Command> {
        if let Command::Push { timeout, .. } = &mut command
            && self.bend == Bend::Floods
        {
            *timeout = (*timeout).min(Span::from_millis(500));
        }
        if let Command::Push { notification, endpoint, .. } = &command {
            self.last.insert(*notification, endpoint.clone());
        }
        let ends = match command {
            Command::Throttle { notification, .. } | Command::Expire(notification) => Some(notification),
            _ => None,
        };
        let Some(ntf) = ends else { return vec![command] };
        let first = self.ended.insert(ntf);
        let again = self.last.get(&ntf).cloned().map(|endpoint| Command::Push {
            notification: ntf,
            endpoint,
            timeout: Span::from_millis(2_000),
            send_within: Span::from_millis(2_000),
        });
        match self.bend {
            Bend::Silent if matches!(command, Command::Expire(_)) => Vec::new(),
            Bend::Twice => vec![command.clone(), command],
            Bend::Late => {
                self.late.push((now + Span::from_millis(20_000), command));
                vec![Command::WakeAfter(Span::from_millis(20_000))]
            }
            Bend::Haunts => std::iter::once(command).chain(again).collect(),
            Bend::Again if first && matches!(command, Command::Expire(_)) => again.into_iter().collect(),
            Bend::Harmless => vec![Command::Throttle { notification: ntf, retry_after: Span::ZERO }],
            _ => vec![command],
        }
    }
}

impl Policy for Relayed {
    fn handle(&mut self, now: Time, events: Vec<Event>, _: &dyn Truth) -> Vec<Command> {
        let events: Vec<Event> = events.into_iter().map(|event| self.told(event)).collect();
        let commands = self.core.handle(now, events);
        let mut said: Vec<Command> =
            commands.into_iter().flat_map(|command| self.says(now, command)).collect();
        let (due, later) = std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= now);
        self.late = later;
        said.extend(Vec::into_iter(due).map(|(_, command): (Time, Command)| command));
        said
    }
}

/// Each kind of trouble that makes a relay end, wait, drain or return.
const TROUBLES: &str = r#"
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

/// A day on which a rule can be broken: busy, so that a return is a strain.
fn day(troubles: &str) -> Scenario {
    let mut day = common::scenario(24, troubles);
    day.traffic.load = 1.1.into();
    day
}

fn catches(bend: Bend, troubles: &str, rule: Rule, said: &str) {
    // The core as it is keeps the rule on the same days, so it is the bend that is caught.
    for seed in 1..=2 {
        let core = simulate(&day(troubles), seed, &Core);
        assert!(core.violations.iter().all(|b| b.rule != rule), "{:#?}", core.violations);
        let bent = simulate(&day(troubles), seed, &Bent(bend));
        let caught = bent.violations.iter().any(|b| b.rule == rule && b.what.contains(said));
        assert!(caught, "{bend:?}, seed {seed}: {:#?}", bent.violations);
    }
}

#[test]
fn one_that_says_nothing_of_an_end_is_caught() {
    catches(Bend::Silent, TROUBLES, Rule::Lost, "never had a final answer");
}

#[test]
fn one_that_ends_twice_is_caught() {
    catches(Bend::Twice, TROUBLES, Rule::Lost, "after another final answer");
}

#[test]
fn one_that_ends_too_late_is_caught() {
    catches(Bend::Late, TROUBLES, Rule::Lost, "too late");
}

#[test]
fn one_that_pushes_what_is_over_is_caught() {
    catches(Bend::Haunts, TROUBLES, Rule::Lost, "sent after its final answer");
}

#[test]
fn one_that_repeats_what_is_once_only_is_caught() {
    catches(Bend::Again, TROUBLES, Rule::Twice, "a once-only one sent again");
}

#[test]
fn one_that_calls_a_repeat_harmless_is_caught() {
    catches(Bend::Harmless, TROUBLES, Rule::Twice, "as if trying again were harmless");
}

#[test]
fn one_that_sends_to_what_drains_is_caught() {
    catches(Bend::Drained, TROUBLES, Rule::Drain, "told to drain");
}

#[test]
fn one_that_takes_keys_for_nothing_is_caught() {
    catches(Bend::Unordered, TROUBLES, Rule::Order, "is not over");
}

#[test]
fn one_that_heeds_no_wait_is_caught() {
    catches(Bend::Impatient, TROUBLES, Rule::Wait, "in a wait until");
}

#[test]
fn one_that_pushes_a_returning_destination_over_is_caught() {
    let outage = "[[trouble]]\nwhat = \"silent\"\nstart_s = 3\nspan_s = 7\nextent = 0.5\n";
    catches(Bend::Floods, outage, Rule::Return, "its present capacity");
}
