//! Other policies, to compare the core with and for nothing else: one try in the order of arrival; a fixed time-out with
//! backoff; that with a circuit breaker and a retry budget; and an oracle that sees the true state of everything. They
//! keep the rules that a single relay can keep by bookkeeping (lost, twice, drain, order, wait). It must never be used
//! by a relay.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use juniperwing::interface::{
    CallStatus, Command, DeduplicationScope, DestinationId, EndpointEntry, EndpointId, EndpointListUpdate,
    Event, Notification, NotificationId, PushOutcome, Readiness, RelayLimits, RuleParameters, Semantics,
};
use juniperwing::time::{Span, Time};
use juniperwing_model::fleet::Fleet;
use juniperwing_model::policy::{Policies, Policy, Truth};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Below this much time left nothing is sent.
const LEAST_LEFT: Span = Span::from_millis(20);
/// The first backoff, its growth and its end, as textbooks have them.
const BACKOFF: Span = Span::from_millis(100);
const LONGEST_BACKOFF: Span = Span::from_millis(5_000);
/// A push is given up after this share of the latency objective.
const TIME_OUT: f64 = 1.0;
/// Failures in a row that open a breaker, and for how long it stays open.
const BREAKS: u32 = 5;
const OPEN: Span = Span::from_millis(5_000);
/// Retries that first tries earn, and how many may be saved up.
const BUDGET: f64 = 0.1;
const SAVED: f64 = 10.0;
/// How often an oracle looks again at what it cannot send yet.
const LOOK: Span = Span::from_millis(20);
/// How often it looks after what is out.
const LOOK_OUT: Span = Span::from_millis(200);
/// A cold destination is sent nothing by an oracle that leaves it less than so many.
const SPARE: f64 = 4.0;

/// What tells one policy from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Style {
    OneTry,
    Backoff,
    Breaker,
    Oracle,
}

macro_rules! policies {
    ($($(#[$doc:meta])* $name:ident, $said:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug)]
        pub struct $name;

        impl Policies for $name {
            fn name(&self) -> &str {
                $said
            }

            fn start(&self, _: Time, relay: usize, seed: u64, fleet: &Fleet) -> Box<dyn Policy> {
                Box::new(Plain::new(Style::$name, seed, fleet.relays[relay].limits, fleet.rules))
            }
        }
    )*};
}

policies! {
    /// One try for each notification, in the order of arrival, with all the time that is left.
    OneTry, "one-try";
    /// A fixed time-out, exponential backoff with full jitter.
    Backoff, "backoff";
    /// Backoff with a circuit breaker for each endpoint and a retry budget.
    Breaker, "breaker";
    /// Sends only what will be answered: it sees the true state of every destination.
    Oracle, "oracle";
}

struct Held {
    ntf: Notification,
    /// It may go from then on.
    ready: Time,
    pushes: u32,
    ran: Option<(Time, Arc<str>)>,
    /// The call that it is out in.
    out: Option<u64>,
    /// When the latest was sent, and where to.
    sent: Time,
    to: EndpointId,
    /// The push that is out was called off.
    off: bool,
    /// It has its final answer; the next of its key waits until it was heard.
    over: bool,
}

#[derive(Default)]
struct Line {
    waiting: VecDeque<u64>,
    rests: Time,
}

#[derive(Default)]
struct Fuse {
    failures: u32,
    open_until: Time,
}

struct Plain {
    style: Style,
    allowed: RelayLimits,
    figures: RuleParameters,
    chance: ChaCha8Rng,
    subscribed: bool,
    list: BTreeMap<EndpointId, EndpointEntry>,
    ends: BTreeMap<DestinationId, Vec<EndpointId>>,
    next: BTreeMap<DestinationId, usize>,
    waits: BTreeMap<(DestinationId, Option<EndpointId>), Time>,
    breakers: BTreeMap<EndpointId, Fuse>,
    held: BTreeMap<u64, Held>,
    lines: BTreeMap<String, Line>,
    /// Calls that are out, with the pushes in each that have no outcome yet.
    calls: BTreeMap<u64, usize>,
    next_call: u64,
    saved: f64,
}

impl Plain {
    fn new(style: Style, seed: u64, allowed: RelayLimits, figures: RuleParameters) -> Plain {
        Plain {
            style,
            allowed,
            figures,
            chance: ChaCha8Rng::seed_from_u64(seed),
            subscribed: false,
            list: BTreeMap::new(),
            ends: BTreeMap::new(),
            next: BTreeMap::new(),
            waits: BTreeMap::new(),
            breakers: BTreeMap::new(),
            held: BTreeMap::new(),
            lines: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            saved: SAVED,
        }
    }

    fn learn(&mut self, news: EndpointListUpdate, commands: &mut Vec<Command>) {
        let entries = match news {
            EndpointListUpdate::Failed => return commands.push(Command::SubscribeToEndpointList),
            EndpointListUpdate::Changes(entries) => entries,
            EndpointListUpdate::Snapshot(entries) | EndpointListUpdate::CachedSnapshot(entries) => {
                self.list.clear();
                entries
            }
        };
        for entry in entries {
            if entry.readiness == Readiness::Deleted {
                self.list.remove(&entry.endpoint);
            } else {
                self.list.insert(entry.endpoint.clone(), entry);
            }
        }
        self.ends.clear();
        for entry in self.list.values().filter(|entry| entry.readiness == Readiness::Serving) {
            self.ends.entry(entry.destination).or_default().push(entry.endpoint.clone());
        }
    }

    fn accept(&mut self, now: Time, ntf: Notification) {
        let id = ntf.id.0;
        if let Some(key) = ntf.key.clone().filter(|_| ntf.topic.is_ordered) {
            let line = self.lines.entry(key).or_default();
            line.waiting.push_back(id);
            line.rests = line.rests.max(
                ntf.history.last_doubtful_end.map_or(Time::default(), |at| at + self.figures.key_cooldown),
            );
        }
        let (ran, over, pushes) = (
            ntf.history.first_possible_run.clone().map(|run| (run.sent_at, run.zone)),
            ntf.history.has_final_answer,
            ntf.history.push_count,
        );
        self.held.insert(
            id,
            Held {
                ntf,
                ready: now,
                pushes,
                ran,
                out: None,
                sent: now,
                to: EndpointId::default(),
                off: false,
                over,
            },
        );
        self.saved = (self.saved + BUDGET).min(SAVED);
    }

    fn outcome(&mut self, now: Time, outcome: &PushOutcome) {
        let PushOutcome { notification, endpoint, status, retry_after, has_final_answer, .. } = outcome;
        let zone = self.list.get(endpoint).map(|entry| entry.zone.clone()).unwrap_or_default();
        if let Some(entry) = self.list.get(endpoint)
            && let Some(wait) = retry_after
        {
            let apart = entry.kind.has_separate_routes.then(|| endpoint.clone());
            let until = self.waits.entry((entry.destination, apart)).or_default();
            *until = (*until).max(now + *wait);
        }
        let breaker = self.breakers.entry(endpoint.clone()).or_default();
        if *status == CallStatus::Delivered {
            breaker.failures = 0;
        } else {
            breaker.failures += 1;
            if breaker.failures >= BREAKS {
                (breaker.failures, breaker.open_until) = (BREAKS - 1, now + OPEN);
            }
        }
        let Some(held) = self.held.get_mut(&notification.0) else { return };
        if let Some(call) = held.out.take()
            && let Some(left) = self.calls.get_mut(&call)
        {
            *left -= 1;
            if *left == 0 {
                self.calls.remove(&call);
            }
        }
        if status.may_have_run() {
            held.ran = held.ran.take().or(Some((held.sent, zone)));
        }
        if status.may_be_running()
            && let Some(line) = held.ntf.key.as_ref().and_then(|key| self.lines.get_mut(key))
        {
            line.rests = line.rests.max(now + self.figures.key_cooldown);
        }
        if *has_final_answer && !held.over {
            return self.forget(notification.0);
        }
        let growth = 2f64.powi(held.pushes.min(16) as i32 - 1);
        let most = BACKOFF.mul_f64(growth).min(LONGEST_BACKOFF);
        held.ready = match self.style {
            Style::Oracle => now,
            _ => now + most.mul_f64(self.chance.random()),
        };
    }

    fn forget(&mut self, id: u64) {
        let Some(held) = self.held.remove(&id) else { return };
        if let Some(key) = held.ntf.key
            && let Some(line) = self.lines.get_mut(&key)
        {
            line.waiting.retain(|other| *other != id);
            if line.waiting.is_empty() && line.rests <= held.ready {
                self.lines.remove(&key);
            }
        }
    }

    /// Whether another push may go at all, and to which zone only.
    fn may_go(&self, now: Time, held: &Held) -> Option<Option<Arc<str>>> {
        let retries = self.style != Style::OneTry || held.ran.is_none() && held.pushes == 0;
        if held.pushes >= self.allowed.max_pushes || !retries {
            return None;
        }
        match (&held.ran, held.ntf.topic.semantics) {
            (None, _) | (Some(_), Semantics::Idempotent) => Some(None),
            (Some(_), Semantics::NonIdempotent) => None,
            (Some((at, zone)), Semantics::Deduplicated { scope, window }) => {
                (now < *at + window).then(|| (scope == DeduplicationScope::Zone).then(|| zone.clone()))
            }
        }
    }

    /// The endpoint that a notification may go to now.
    fn endpoint(
        &mut self, now: Time, id: u64, zone: Option<&Arc<str>>, truth: &dyn Truth,
    ) -> Option<EndpointId> {
        let destination = self.held.get(&id)?.ntf.destination;
        let ends = self.ends.get(&destination)?;
        let start = self.next.get(&destination).copied().unwrap_or(0);
        for n in 0..ends.len() {
            let end = &ends[(start + n) % ends.len()];
            let entry = &self.list[end];
            let apart = entry.kind.has_separate_routes.then(|| end.clone());
            let waits = self.waits.get(&(destination, apart)).is_some_and(|until| now < *until);
            let open =
                self.style == Style::Breaker && self.breakers.get(end).is_some_and(|b| now < b.open_until);
            let far = zone.is_some_and(|zone| *zone != entry.zone);
            let bad = self.style == Style::Oracle
                && truth.endpoint(end).is_none_or(|s| {
                    !s.is_answering
                        || s.free_servers == 0 && s.queued > 1
                        || s.limit_remaining < 0.02
                        || s.remaining_load < SPARE
                });
            if !(waits || open || far || bad) {
                let end = end.clone();
                self.next.insert(destination, (start + n + 1) % ends.len());
                return Some(end);
            }
        }
        None
    }

    fn end(&mut self, id: u64, commands: &mut Vec<Command>) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let ntf = NotificationId(id);
        let throttled = Command::Throttle { notification: ntf, retry_after: Span::ZERO };
        commands.push(if held.ran.is_none() { throttled } else { Command::Expire(ntf) });
        held.over = true;
        if !held.ntf.topic.is_ordered || held.ntf.key.is_none() {
            self.held.remove(&id);
        }
    }

    /// Sends what may go and ends what may not; says when to look again.
    fn send(&mut self, now: Time, truth: &dyn Truth, commands: &mut Vec<Command>) -> Time {
        // An oracle sends first what can still meet its objective; the others go by arrival.
        let late = |held: &Held| {
            let born = held.ntf.valid_until - held.ntf.topic.ttl;
            self.style == Style::Oracle && now.since(born) > held.ntf.topic.latency_target
        };
        let waiting = self.held.iter().filter(|(_, h)| h.out.is_none() && !h.over);
        let mut order: Vec<(bool, Time, u64)> = waiting.map(|(id, h)| (late(h), h.ready, *id)).collect();
        order.sort_unstable();
        let mut look = Time::NEVER;
        for (_, ready, id) in order.iter().copied() {
            let Some(held) = self.held.get(&id).filter(|held| held.out.is_none()) else { continue };
            let last = held.ntf.valid_until - LEAST_LEFT;
            let Some(zone) = self.may_go(now, held).filter(|_| now < last) else {
                self.end(id, commands);
                continue;
            };
            look = look.min(last);
            let from = self.rests(held).max(ready);
            if !self.has_turn(id, held) || self.calls.len() >= self.allowed.slots {
                continue;
            }
            let spent = self.style == Style::Breaker && held.pushes > 0 && self.saved < 1.0;
            let end = if now < from || spent { None } else { self.endpoint(now, id, zone.as_ref(), truth) };
            let Some(endpoint) = end else {
                look = look.min(if now < from { from } else { now + LOOK });
                continue;
            };
            // Whatever else is ready for that destination and may go there travels in the same call.
            let entry = &self.list[&endpoint];
            let (most, to, at) =
                (entry.kind.max_notifications_per_call.max(1), entry.destination, entry.zone.clone());
            let joins = |other: &u64| {
                let held = &self.held[other];
                let zone = self.may_go(now, held);
                held.out.is_none()
                    && held.ntf.destination == to
                    && self.rests(held).max(held.ready) <= now
                    && self.has_turn(*other, held)
                    && now < held.ntf.valid_until - LEAST_LEFT
                    && !(self.style == Style::Breaker && held.pushes > 0)
                    && zone.is_some_and(|zone| zone.is_none_or(|zone| zone == at))
            };
            let others =
                order.iter().map(|o| o.2).filter(|other| *other != id && self.held.contains_key(other));
            let mut call = vec![id];
            call.extend(others.filter(joins).take(most - 1));
            self.push(now, &call, &endpoint, commands);
        }
        look
    }

    /// Calls off what is out where nothing is answered and may go again; says when to look again.
    fn call_off(&mut self, now: Time, truth: &dyn Truth, commands: &mut Vec<Command>) -> Time {
        let mut look = Time::NEVER;
        for (id, held) in self.held.iter_mut().filter(|(_, held)| held.out.is_some() && !held.off) {
            let again =
                held.ntf.topic.semantics != Semantics::NonIdempotent && held.pushes < self.allowed.max_pushes;
            if again && truth.endpoint(&held.to).is_some_and(|state| !state.is_answering) {
                held.off = true;
                commands
                    .push(Command::Cancel { notification: NotificationId(*id), push_index: held.pushes - 1 });
            } else if again {
                look = now + LOOK_OUT;
            }
        }
        look
    }

    fn push(&mut self, now: Time, call: &[u64], endpoint: &EndpointId, commands: &mut Vec<Command>) {
        self.next_call += 1;
        self.calls.insert(self.next_call, call.len());
        for id in call {
            let Some(held) = self.held.get_mut(id) else { continue };
            let left = held.ntf.valid_until.since(now);
            let time_out = match self.style {
                Style::OneTry | Style::Oracle => left,
                // A once-only one has no second try: it is waited for.
                _ if held.ntf.topic.semantics == Semantics::NonIdempotent => left,
                _ => held.ntf.topic.latency_target.mul_f64(TIME_OUT).min(left),
            };
            if held.pushes > 0 {
                self.saved -= 1.0;
            }
            (held.out, held.pushes, held.sent) = (Some(self.next_call), held.pushes + 1, now);
            (held.to, held.off) = (endpoint.clone(), false);
            commands.push(Command::Push {
                notification: NotificationId(*id),
                endpoint: endpoint.clone(),
                timeout: time_out,
                send_within: time_out,
            });
        }
    }

    fn line(&self, held: &Held) -> Option<&Line> {
        held.ntf.key.as_ref().filter(|_| held.ntf.topic.is_ordered).and_then(|key| self.lines.get(key))
    }

    /// Until when its key rests.
    fn rests(&self, held: &Held) -> Time {
        self.line(held).map_or(Time::default(), |line| line.rests)
    }

    /// Whether it is the first of its key.
    fn has_turn(&self, id: u64, held: &Held) -> bool {
        self.line(held).is_none_or(|line| line.waiting.front() == Some(&id))
    }
}

impl Policy for Plain {
    fn handle(&mut self, now: Time, events: Vec<Event>, truth: &dyn Truth) -> Vec<Command> {
        let mut commands = Vec::new();
        if !std::mem::replace(&mut self.subscribed, true) {
            commands.push(Command::SubscribeToEndpointList);
        }
        for event in events {
            match event {
                Event::EndpointListUpdated(news) => self.learn(news, &mut commands),
                Event::Accepted(ntf) => self.accept(now, ntf),
                Event::PushEnded(outcome) => self.outcome(now, &outcome),
                Event::Withdrawn(ntf) | Event::FinalAnswerAcknowledged(ntf) => self.forget(ntf.0),
                Event::SlotLimitChanged(slots) => self.allowed.slots = slots,
                Event::WakeUp
                | Event::ConfigChanged(_)
                | Event::ProbeEnded { .. }
                | Event::RetryAfterReported { .. } => {}
            }
        }
        let mut look = self.send(now, truth, &mut commands);
        if self.style == Style::Oracle {
            look = look.min(self.call_off(now, truth, &mut commands));
        }
        if look < Time::NEVER {
            commands.push(Command::WakeAfter(look.since(now)));
        }
        commands
    }
}
