//! The judge of the six rules. It sees what relays are told and what they do, at the moment it happens, and reports
//! each break with its time, its ids and what went before. It is written from the wording of the rules and owns its
//! own record of everything; it must never share code with the core, nor tell a relay anything.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use juniperwing::time::{Span, Time};
use serde::Serialize;

/// Which rule was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// None lost, one final answer each, in time; nothing sent after it.
    Lost,
    /// No effect twice.
    Twice,
    /// Nothing new to what drains or is gone.
    Drain,
    /// A returning destination is not pushed over.
    Return,
    /// Order by key.
    Order,
    /// Waits are heeded.
    Wait,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Lost => "lost",
            Rule::Twice => "twice",
            Rule::Drain => "drain",
            Rule::Return => "return",
            Rule::Order => "order",
            Rule::Wait => "wait",
        })
    }
}

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, in seconds.
    pub at_s: f64,
    /// The relay, by place; nothing where it took several.
    pub relay: Option<usize>,
    /// The notification's id, if one is concerned.
    pub notification: Option<u64>,
    /// What happened.
    pub what: String,
    /// What went before, the latest last.
    pub before: Vec<String>,
}

/// What happens if a notification runs twice, as the judge has it.
#[derive(Clone, Debug)]
pub(crate) enum RepeatSemantics {
    Harmless,
    /// Dropped for this long from the first push that may have run; by endpoints of its zone only, if true.
    Deduplicated(Span, bool),
    Forbidden,
}

/// What the judge has to know of a notification.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedNotification {
    pub(crate) repeat: RepeatSemantics,
    pub(crate) key: Option<String>,
    pub(crate) valid_until: Time,
}

/// How a push ended, as the judge has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExecutionStatus {
    NotExecuted,
    /// It did, or may have, and is over.
    MayHaveExecuted,
    /// It may still be running.
    MayBeExecuting,
}

impl fmt::Display for ExecutionStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ExecutionStatus::NotExecuted => "Never",
            ExecutionStatus::MayHaveExecuted => "Maybe",
            ExecutionStatus::MayBeExecuting => "Unsure",
        })
    }
}

/// Where a push goes: endpoint, zone and lane, by place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PushTarget {
    pub(crate) endpoint: usize,
    pub(crate) zone: usize,
    pub(crate) route: usize,
}

/// The figures of the rules, as the judge has them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RuleParameters {
    pub(crate) answer_slack: Span,
    pub(crate) drain_grace: Span,
    pub(crate) settle: Span,
    pub(crate) fall_multiple: f64,
    pub(crate) tip_after: Span,
    pub(crate) fall_slack: f64,
}

/// What a relay was seen to do or to hear.
enum Observation {
    /// It pushes a notification to an endpoint.
    Push(u64, usize),
    /// It hears how a push of a notification ended.
    Outcome(u64, u32, ExecutionStatus),
    /// It ends a notification.
    FinalAnswer(u64, &'static str),
}

impl fmt::Display for Observation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Observation::Push(ntf, endpoint) => write!(f, "pushes {ntf} to endpoint {endpoint}"),
            Observation::Outcome(ntf, push, execution) => {
                write!(f, "hears of push {push} of {ntf}: {execution}")
            }
            Observation::FinalAnswer(ntf, end) => write!(f, "ends {ntf}: {end}"),
        }
    }
}

struct Push {
    number: u32,
    at: Time,
    zone: usize,
    ran: Option<ExecutionStatus>,
}

struct NotificationRecord {
    taken: AcceptedNotification,
    relay: usize,
    pushes: Vec<Push>,
    ended: bool,
    /// A process died in between: the end is due a moment after the next one's start at the earliest.
    due: Time,
}

/// A lane that came back.
struct Recovery {
    at: Time,
    capacity: f64,
    cold: (f64, Span),
    reached: VecDeque<(Time, usize, f64)>,
    judged: bool,
}

#[derive(Default)]
struct RouteRecord {
    out: bool,
    /// Relays that saw a call fail or be refused there in the outage.
    saw: BTreeSet<usize>,
    back: Option<Recovery>,
}

/// Breaks of one rule that are described; more are only counted. One rule must not hide another.
const DESCRIBED: usize = 10;
/// What went before a break, at most.
const BEFORE: usize = 12;

/// The judge of one run.
pub(crate) struct Judge {
    parameters: RuleParameters,
    known: BTreeMap<u64, NotificationRecord>,
    /// Of each relay and key: notifications in the order taken, and until when the key rests.
    lines: BTreeMap<(usize, String), (VecDeque<u64>, Time)>,
    /// When a relay was told that an endpoint drains or is gone.
    drains: BTreeMap<(usize, usize), Time>,
    waits: BTreeMap<(usize, usize), Time>,
    routes: Vec<RouteRecord>,
    ran: BTreeMap<usize, Time>,
    /// What was seen last, and of which relay; put into words only where a rule breaks.
    recent: VecDeque<(Time, usize, Observation)>,
    breaks: Vec<Violation>,
    count: usize,
}

impl Judge {
    pub(crate) fn new(parameters: RuleParameters, routes: usize) -> Judge {
        Judge {
            parameters,
            known: BTreeMap::new(),
            lines: BTreeMap::new(),
            drains: BTreeMap::new(),
            waits: BTreeMap::new(),
            routes: (0..routes).map(|_| RouteRecord::default()).collect(),
            ran: BTreeMap::new(),
            recent: VecDeque::new(),
            breaks: Vec::new(),
            count: 0,
        }
    }

    fn report(&mut self, rule: Rule, now: Time, relay: Option<usize>, ntf: Option<u64>, what: String) {
        self.count += 1;
        if self.breaks.iter().filter(|b| b.rule == rule).count() >= DESCRIBED {
            return;
        }
        let mut before: Vec<String> = Vec::new();
        if let Some(known) = ntf.and_then(|ntf| self.known.get(&ntf)) {
            before.push(format!(
                "taken by relay {}, valid until {:.3} s",
                known.relay,
                secs(known.taken.valid_until)
            ));
            before.extend(known.pushes.iter().rev().take(BEFORE).rev().map(|push| {
                let ran = push
                    .ran
                    .map_or("no outcome".to_owned(), |execution| execution.to_string().to_lowercase());
                format!("push {} at {:.3} s to zone {}: {ran}", push.number, secs(push.at), push.zone)
            }));
        }
        before.extend(
            self.recent.iter().map(|(at, relay, seen)| format!("{:.3} s: relay {relay} {seen}", secs(*at))),
        );
        self.breaks.push(Violation { rule, at_s: secs(now), relay, notification: ntf, what, before });
    }

    fn remember(&mut self, now: Time, relay: usize, seen: Observation) {
        self.recent.push_back((now, relay, seen));
        if self.recent.len() > BEFORE {
            self.recent.pop_front();
        }
    }

    /// A relay took a notification on; from now on it owes it an end.
    pub(crate) fn handle_accepted(&mut self, now: Time, relay: usize, ntf: u64, taken: AcceptedNotification) {
        if let Some(key) = &taken.key {
            self.lines.entry((relay, key.clone())).or_default().0.push_back(ntf);
        }
        let due = taken.valid_until + self.parameters.answer_slack;
        if self.known.contains_key(&ntf) {
            self.report(Rule::Lost, now, Some(relay), Some(ntf), "an id was taken twice".to_owned());
        }
        self.known.insert(ntf, NotificationRecord { taken, relay, pushes: Vec::new(), ended: false, due });
    }

    /// A relay pushes.
    pub(crate) fn handle_push(&mut self, now: Time, relay: usize, ntf: u64, push: u32, to: PushTarget) {
        let PushTarget { endpoint, zone, route } = to;
        self.remember(now, relay, Observation::Push(ntf, endpoint));
        if let Some(told) = self.drains.get(&(relay, endpoint))
            && now > *told + self.parameters.drain_grace
        {
            let what = format!("sent to endpoint {endpoint}, told to drain at {:.3} s", secs(*told));
            self.report(Rule::Drain, now, Some(relay), Some(ntf), what);
        }
        if let Some(until) = self.waits.get(&(relay, route))
            && now < *until
        {
            let what = format!("sent to lane {route} in a wait until {:.3} s", secs(*until));
            self.report(Rule::Wait, now, Some(relay), Some(ntf), what);
        }
        let Some(known) = self.known.get(&ntf) else {
            return self.report(
                Rule::Lost,
                now,
                Some(relay),
                Some(ntf),
                "sent what nobody handed in".to_owned(),
            );
        };
        if known.ended {
            self.report(Rule::Lost, now, Some(relay), Some(ntf), "sent after its final answer".to_owned());
        } else if known.relay != relay {
            self.report(Rule::Lost, now, Some(relay), Some(ntf), "sent what another relay took".to_owned());
        }
        self.check_repeat(now, relay, ntf, zone);
        self.check_order(now, relay, ntf);
        if let Some(known) = self.known.get_mut(&ntf) {
            known.pushes.push(Push { number: push, at: now, zone, ran: None });
        }
    }

    /// An earlier push may have run, or may yet: does another keep the effect single?
    fn check_repeat(&mut self, now: Time, relay: usize, ntf: u64, zone: usize) {
        let Some(known) = self.known.get(&ntf) else { return };
        let first = known.pushes.iter().find(|push| push.ran != Some(ExecutionStatus::NotExecuted));
        let what = match (&known.taken.repeat, first) {
            (RepeatSemantics::Harmless, _) | (_, None) => return,
            (RepeatSemantics::Forbidden, Some(first)) => {
                format!("a once-only one sent again, though push {} may have run", first.number)
            }
            (RepeatSemantics::Deduplicated(window, near), Some(first)) => {
                if now >= first.at + *window {
                    format!("sent again outside its window, first sent at {:.3} s", secs(first.at))
                } else if *near && first.zone != zone {
                    format!("sent again to zone {zone}, first sent to zone {}", first.zone)
                } else {
                    return;
                }
            }
        };
        self.report(Rule::Twice, now, Some(relay), Some(ntf), what);
    }

    /// It must be the first of its key that is not over, no other of the key may be out, and the key must not rest.
    fn check_order(&mut self, now: Time, relay: usize, ntf: u64) {
        let Some(key) = self.known.get(&ntf).and_then(|known| known.taken.key.clone()) else { return };
        let Some((line, rests)) = self.lines.get(&(relay, key.clone())) else { return };
        let before = line.iter().take_while(|other| **other != ntf);
        let busy = |other: &&u64| {
            self.known.get(other).is_some_and(|o| !o.ended || o.pushes.iter().any(|push| push.ran.is_none()))
        };
        let what = if let Some(other) = before.clone().find(busy) {
            format!("sent while {other} of key {key}, taken before, is not over")
        } else if now < *rests && line.front() == Some(&ntf) && self.known[&ntf].pushes.is_empty() {
            format!("sent while key {key} rests until {:.3} s", secs(*rests))
        } else {
            return;
        };
        self.report(Rule::Order, now, Some(relay), Some(ntf), what);
    }

    /// A relay is told how a push ended.
    pub(crate) fn handle_outcome(
        &mut self, now: Time, relay: usize, ntf: u64, push: u32, ran: ExecutionStatus,
    ) {
        self.remember(now, relay, Observation::Outcome(ntf, push, ran));
        let Some(known) = self.known.get_mut(&ntf) else { return };
        if let Some(push) = known.pushes.iter_mut().find(|p| p.number == push && p.ran.is_none()) {
            push.ran = Some(ran);
        }
        let (key, ended) = (known.taken.key.clone(), known.ended);
        if let Some(key) = key
            && ran == ExecutionStatus::MayBeExecuting
            && let Some((_, rests)) = self.lines.get_mut(&(relay, key))
        {
            *rests = (*rests).max(now + self.parameters.settle);
        }
        if ended {
            self.forget(ntf);
        }
    }

    /// A relay is told to wait: what the answer to this turn sends is excused by calling this after it.
    pub(crate) fn handle_wait(&mut self, relay: usize, route: usize, until: Time) {
        let known = self.waits.entry((relay, route)).or_default();
        *known = (*known).max(until);
    }

    /// A relay is told that an endpoint drains or is gone, or that it serves.
    pub(crate) fn handle_readiness(&mut self, now: Time, relay: usize, endpoint: usize, serves: bool) {
        if serves {
            self.drains.remove(&(relay, endpoint));
        } else {
            self.drains.entry((relay, endpoint)).or_insert(now);
        }
    }

    /// A final answer: delivered, throttled or expired.
    pub(crate) fn handle_final_answer(&mut self, now: Time, relay: usize, ntf: u64, end: &'static str) {
        self.remember(now, relay, Observation::FinalAnswer(ntf, end));
        let Some(known) = self.known.get_mut(&ntf) else {
            return self.report(
                Rule::Lost,
                now,
                Some(relay),
                Some(ntf),
                format!("{end}, though nobody handed it in"),
            );
        };
        if known.ended {
            let what = format!("{end}, after another final answer");
            return self.report(Rule::Lost, now, Some(relay), Some(ntf), what);
        }
        known.ended = true;
        let (late, due) = (now > known.due, known.due);
        let unsafe_end = end == "throttled"
            && known.pushes.iter().any(|push| push.ran != Some(ExecutionStatus::NotExecuted))
            && match known.taken.repeat {
                RepeatSemantics::Harmless => false,
                RepeatSemantics::Deduplicated(_, near) => near,
                RepeatSemantics::Forbidden => true,
            };
        if late {
            let what = format!("{end} too late: its end was due by {:.3} s", secs(due));
            self.report(Rule::Lost, now, Some(relay), Some(ntf), what);
        }
        if unsafe_end {
            let what = "throttled, as if trying again were harmless, though a push may have run".to_owned();
            self.report(Rule::Twice, now, Some(relay), Some(ntf), what);
        }
        self.forget(ntf);
    }

    /// The client took it back: nothing is owed any more.
    pub(crate) fn handle_withdrawal(&mut self, ntf: u64) {
        if let Some(known) = self.known.get_mut(&ntf) {
            known.ended = true;
            self.forget(ntf);
        }
    }

    /// Forgets a notification that is over, once no push of it is out.
    fn forget(&mut self, ntf: u64) {
        let Some(known) = self.known.get(&ntf) else { return };
        if !known.ended || known.pushes.iter().any(|push| push.ran.is_none()) {
            return;
        }
        if let Some(key) = known.taken.key.clone()
            && let Some((line, _)) = self.lines.get_mut(&(known.relay, key))
        {
            line.retain(|other| *other != ntf);
        }
        // Kept until the end of the run: an answer or a push that comes later must still be seen for what it is.
        if let Some(known) = self.known.get_mut(&ntf) {
            (known.pushes, known.taken.key) = (Vec::new(), None);
        }
    }

    /// An effect took place.
    pub(crate) fn record_effect(&mut self, now: Time, message: usize, ntf: u64, once_only: bool) {
        if let Some(first) = self.ran.get(&message).copied().filter(|_| once_only) {
            let what = format!("a once-only effect took place again, first at {:.3} s", secs(first));
            self.report(Rule::Twice, now, None, Some(ntf), what);
        }
        self.ran.entry(message).or_insert(now);
    }

    /// A relay's process ends; `kept` if what it held outlasts it. What was out may be running still.
    pub(crate) fn handle_relay_stop(&mut self, now: Time, relay: usize, kept: bool) {
        let held: Vec<u64> =
            self.known.iter().filter(|(_, k)| k.relay == relay).map(|(ntf, _)| *ntf).collect();
        for ntf in held {
            let Some(known) = self.known.get_mut(&ntf) else { continue };
            let mut unsure = false;
            for push in known.pushes.iter_mut().filter(|push| push.ran.is_none()) {
                (push.ran, unsure) = (Some(ExecutionStatus::MayBeExecuting), true);
            }
            if let Some(key) = known.taken.key.clone()
                && let Some((_, rests)) = self.lines.get_mut(&(relay, key))
                && unsure
            {
                *rests = (*rests).max(now + self.parameters.settle);
            }
            if !kept {
                known.ended = true;
            }
            self.forget(ntf);
        }
        self.drains.retain(|(of, _), _| *of != relay);
        self.waits.retain(|(of, _), _| *of != relay);
        for route in &mut self.routes {
            route.saw.remove(&relay);
        }
    }

    /// A relay's process starts over what it held: ends that fell due in between are due a moment later.
    pub(crate) fn handle_relay_start(&mut self, now: Time, relay: usize, moment: Span) {
        let due = now + moment;
        self.known.values_mut().filter(|k| k.relay == relay && !k.ended).for_each(|k| k.due = k.due.max(due));
    }

    /// A lane falls out of service.
    pub(crate) fn handle_route_outage(&mut self, route: usize) {
        let record = &mut self.routes[route];
        (record.out, record.saw, record.back) = (true, BTreeSet::new(), None);
    }

    /// A lane is back: with so much capacity once warm, from a share of it now to all of it after a span. Nothing is
    /// cold after a brief one.
    pub(crate) fn handle_route_recovery(
        &mut self, now: Time, route: usize, cold: Option<(f64, (f64, Span))>,
    ) {
        let record = &mut self.routes[route];
        record.out = false;
        record.back = cold.map(|(capacity, cold)| Recovery {
            at: now,
            capacity,
            cold,
            reached: VecDeque::new(),
            judged: false,
        });
    }

    /// A relay hears of a call there that failed or was refused.
    pub(crate) fn record_failure_seen(&mut self, relay: usize, route: usize) {
        let record = &mut self.routes[route];
        if record.out {
            record.saw.insert(relay);
        }
    }

    /// Work reaches a lane.
    pub(crate) fn record_route_load(&mut self, now: Time, relay: usize, route: usize, weight: f64) {
        let parameters = self.parameters;
        let record = &mut self.routes[route];
        let Some(back) = record.back.as_mut().filter(|back| !back.judged) else { return };
        let (from, span) = back.cold;
        let passed = now.since(back.at);
        if passed >= span {
            record.back = None;
            return;
        }
        back.reached.push_back((now, relay, weight));
        while back.reached.front().is_some_and(|first| now.since(first.0) > parameters.tip_after) {
            back.reached.pop_front();
        }
        let present = back.capacity * (from + (1.0 - from) * passed.as_secs_f64() / span.as_secs_f64());
        let most =
            parameters.fall_multiple * present * parameters.tip_after.as_secs_f64() + parameters.fall_slack;
        let all: f64 = back.reached.iter().map(|r| r.2).sum();
        if all <= most {
            return;
        }
        back.judged = true;
        let saw = &record.saw;
        let blamed: f64 = back.reached.iter().filter(|r| saw.contains(&r.1)).map(|r| r.2).sum();
        if blamed * 3.0 < all * 2.0 {
            return;
        }
        let relays: BTreeSet<usize> = back.reached.iter().map(|r| r.1).collect();
        let what = format!(
            "lane {route}, back since {:.3} s, was sent {all:.1} in {:.1} s where {most:.1} would do ({:.1} times its \
             present capacity), {:.0} % of it by relays that had seen it fail; {} relays",
            secs(back.at),
            parameters.tip_after.as_secs_f64(),
            all / (present * parameters.tip_after.as_secs_f64()),
            blamed / all * 100.0,
            relays.len()
        );
        self.report(Rule::Return, now, None, None, what);
    }

    /// The run is over: whatever is still owed is lost.
    pub(crate) fn finish(mut self, now: Time) -> (Vec<Violation>, usize) {
        let owed: Vec<(u64, usize)> =
            self.known.iter().filter(|(_, k)| !k.ended).map(|(ntf, k)| (*ntf, k.relay)).collect();
        for (ntf, relay) in owed {
            self.report(Rule::Lost, now, Some(relay), Some(ntf), "never had a final answer".to_owned());
        }
        (self.breaks, self.count)
    }
}

fn secs(time: Time) -> f64 {
    time.since(Time::default()).as_secs_f64()
}
