//! All decisions of a relay. Call [`Relay::new`] once at start, then [`Relay::handle`] each round with the
//! clock and all that has happened, in order, and carry out the commands it gives, in order. The types on
//! both sides are in `interface.rs`. Why things are as they are stands in `docs/design.md`.
//!
//! Each part has an inbox; parts talk only by notes put into these, and the loop in `Relay::settle` empties
//! them, in the order in which `Part` lists the parts. A send passes them in turn: `Slots` offers a slot to a
//! `Destination`, which picks notifications (cutoff, effects, order) and asks an `Endpoint` (drains, returns
//! from an outage), which asks its `Lane` (waits, limits), which pushes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::interface::{
    Allowance, Command, DestinationId, Effect, EndpointId, Entry, Event, Fleet, Group, LimitReport, News,
    Notification, NtfId, Outcome, Readiness, RuleFigures, Status,
};
use crate::time::{Span, Time};

/// Latencies kept of each destination, and the age at which one counts half.
const SAMPLES: usize = 32;
const HALF_AGE: Span = Span::from_millis(8_000);
/// Calls seen before the fit is trusted.
const WARM_UP: usize = 5;
/// A destination's latencies vary at least this much (standard deviation of the logarithm).
const SIGMA_FLOOR: f64 = 0.25;
/// Slot time counts for this long.
const SLOT_MEMORY: Span = Span::from_millis(10_000);
/// Failures in a row, overdue calls included, that set an endpoint aside.
const SUSPECT: usize = 3;
/// Trouble with less than so many `tip_after` between two deliveries is no outage.
const BRIEF: f64 = 2.0;
/// With calls still out at an endpoint set aside, the next follows so many `tip_after` later.
const PATIENCE: f64 = 3.0;
/// A call is overdue after so many times the latency that nine in ten stay under, and not before this share
/// of `tip_after`.
const OVERDUE: f64 = 2.5;
const OVERDUE_FLOOR: f64 = 0.5;
/// Share of the latency objective for which a call may wait to be filled.
const FILL: f64 = 0.125;
/// First pause after a throttled push that told no wait; doubles with each in a row up to the last.
const PAUSE: Span = Span::from_millis(100);
const LONGEST_PAUSE: Span = Span::from_millis(1_600);
/// Below this much time left nothing is worth sending, and the shortest gap between two wake-ups.
const LEAST_LEFT: Span = Span::from_millis(20);
const LEAST_WAKE: Span = Span::from_millis(10);
/// Share of the hold above which what counts least is handed back.
const HOLD_FULL: f64 = 0.9;
/// Weight of each further notification in a call, for a cold endpoint.
const FURTHER: f64 = 0.25;

/// The lane of a call: its limit and waits hold for the destination or, where routes are apart, the endpoint.
type LaneId = (DestinationId, Option<EndpointId>);

/// The parts, in the order in which their inboxes are emptied.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Part {
    Book,
    Turns,
    Endpoint(EndpointId),
    Lane(LaneId),
    Destination(DestinationId),
    Slots,
}

#[derive(Debug)]
enum Note {
    /// A round has come: see to whatever time alone brings.
    Sweep,
    News(News),
    Listed(Entry),
    Accepted(Box<Held>),
    Withdrawn(NtfId),
    /// A key's notification queues for its turn, has it, or leaves (with the time of a push in doubt).
    Join(String, NtfId, DestinationId),
    Turn(NtfId),
    Leave(String, NtfId, Option<Time>),
    /// A slot is free: does the destination take it? It passes, or a call goes from part to part until sent.
    Slot,
    Pass(DestinationId),
    Call(Call),
    Declined,
    Sent(Call),
    /// A push ended; the flag says that its call had shown no outcome before, for a call has one fate.
    Outcome(Outcome, bool),
    /// All slots are taken: the call out longest, since then, may be called off if it is overdue.
    Shed(Time),
    /// The hold is all but full: give up what counts least.
    Trim,
    /// A call has all its outcomes.
    Ended(DestinationId),
    Probed(Status),
}

/// Notifications on their way to an endpoint as one call.
#[derive(Clone, Debug)]
struct Call {
    destination: DestinationId,
    endpoint: EndpointId,
    pushes: Vec<(NtfId, Span)>,
    overdue_after: Span,
}

/// The round at hand: its clock, the inboxes, the commands given so far, and the source of chance.
struct Mail {
    now: Time,
    inboxes: BTreeMap<Part, VecDeque<Note>>,
    commands: Vec<Command>,
    chance: Chance,
}

impl Mail {
    fn put(&mut self, part: Part, note: Note) {
        self.inboxes.entry(part).or_default().push_back(note);
    }

    fn next(&mut self) -> Option<(Part, Note)> {
        loop {
            let mut first = self.inboxes.first_entry()?;
            if let Some(note) = first.get_mut().pop_front() {
                return Some((first.key().clone(), note));
            }
            first.remove();
        }
    }
}

/// A multiply-with-carry generator.
struct Chance(u64);

impl Chance {
    fn new(seed: u64) -> Self {
        Chance((seed ^ 0x9e37_79b9_7f4a_7c15) >> 1 | 1)
    }

    /// A number from 0 up to 1.
    fn next(&mut self) -> f64 {
        self.0 = 4_294_957_665 * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        f64::from(self.0 as u32) / 4_294_967_296.0
    }
}

/// Keeps the last few of a kind of sample.
fn keep<T>(samples: &mut VecDeque<T>, sample: T, most: usize) {
    samples.push_back(sample);
    if samples.len() > most {
        samples.pop_front();
    }
}

// ---- The design's latency fit and restart timer ----

/// How long a call took, or was seen to last at least.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Time,
    ln_secs: f64,
    censored: bool,
}

/// Mean and standard deviation of the logarithm of a destination's latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The mean; its exponential is the median in seconds.
    pub mu: f64,
    /// The standard deviation.
    pub sigma: f64,
}

impl Fit {
    /// Aged maximum likelihood by expectation and maximisation: a censored sample counts with the mean and
    /// spread of the part of the curve beyond it.
    fn of(samples: &VecDeque<Sample>, now: Time) -> Option<Fit> {
        if samples.len() < WARM_UP {
            return None;
        }
        let weight = |s: &Sample| 0.5f64.powf(now.since(s.at).secs() / HALF_AGE.secs()).max(1e-9);
        let total: f64 = samples.iter().map(weight).sum();
        let mut fit =
            Fit { mu: samples.iter().map(|s| weight(s) * s.ln_secs).sum::<f64>() / total, sigma: 1.0 };
        let rounds = if samples.iter().any(|s| s.censored) { 12 } else { 2 };
        for _ in 0..rounds {
            let (mut first, mut second) = (0.0, 0.0);
            for s in samples {
                let (mean, spread) = if s.censored {
                    let z = (s.ln_secs - fit.mu) / fit.sigma;
                    let beyond = (libm::erfc(z / std::f64::consts::SQRT_2) / 2.0).max(1e-300);
                    let hazard = ((-z * z / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt() / beyond).max(z);
                    let spread = fit.sigma.powi(2) * (1.0 + z * hazard - hazard * hazard).clamp(0.0, 1.0);
                    (fit.mu + fit.sigma * hazard, spread)
                } else {
                    (s.ln_secs, 0.0)
                };
                first += weight(s) * mean;
                second += weight(s) * (mean * mean + spread);
            }
            let mu = first / total;
            fit = Fit { mu, sigma: (second / total - mu * mu).max(0.0).sqrt().max(SIGMA_FLOOR) };
        }
        Some(fit)
    }

    /// The latency that half of the calls stay under.
    pub fn median(&self) -> Span {
        Span::from_secs(self.mu.exp())
    }

    /// The logarithm of the chance that `pushes` evenly spaced over `left` all miss. The chance of success
    /// itself saturates at 1 and would end the search too early or too late.
    fn ln_miss(&self, left: Span, pushes: u32) -> f64 {
        let z = ((left.secs() / f64::from(pushes)).ln() - self.mu) / self.sigma;
        f64::from(pushes) * (libm::erfc(z / std::f64::consts::SQRT_2) / 2.0).ln()
    }

    /// Algorithm 2 of the paper, with the pushes that may still be made as a limit.
    pub fn time_out(&self, left: Span, pushes: u32) -> Span {
        let mut n = 1;
        while n < pushes && self.ln_miss(left, n + 1) <= self.ln_miss(left, n) {
            n += 1;
        }
        left.times(1.0 / f64::from(n))
    }
}

// ---- Turns: order by key ----

#[derive(Default)]
struct Line {
    waiting: VecDeque<(NtfId, DestinationId)>,
    granted: bool,
    rest_until: Time,
}

/// Rule: of one key, one at a time, in the order taken, over all ordered topic types.
struct Turns {
    settle: Span,
    lines: BTreeMap<String, Line>,
}

impl Turns {
    fn take(&mut self, note: Note, mail: &mut Mail) {
        match note {
            Note::Join(key, ntf, to) => self.lines.entry(key).or_default().waiting.push_back((ntf, to)),
            Note::Leave(key, ntf, doubt) => {
                if let Some(line) = self.lines.get_mut(&key) {
                    line.granted &= line.waiting.front().is_some_and(|w| w.0 != ntf);
                    line.waiting.retain(|w| w.0 != ntf);
                    line.rest_until =
                        line.rest_until.max(doubt.map_or(Time::default(), |at| at + self.settle));
                }
            }
            _ => {}
        }
        let now = mail.now;
        for line in self.lines.values_mut().filter(|line| !line.granted && line.rest_until <= now) {
            if let Some(&(ntf, destination)) = line.waiting.front() {
                line.granted = true;
                mail.put(Part::Destination(destination), Note::Turn(ntf));
            }
        }
        self.lines.retain(|_, line| !line.waiting.is_empty() || line.rest_until > mail.now);
    }
}

// ---- Endpoint: drains, and health ----

struct Out {
    at: Time,
    overdue_at: Time,
    ntfs: Vec<NtfId>,
    answered: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    Well,
    /// Set aside: the next call or probe not before `next`.
    Aside {
        next: Time,
    },
    /// Proved back at `since`; calls from `from`, doubling with each delivered up to this relay's part.
    Back {
        since: Time,
        from: Time,
        wins: i32,
    },
}

struct Endpoint {
    entry: Entry,
    figures: RuleFigures,
    probes: bool,
    outs: Vec<Out>,
    /// Latest sends (with weight) and deliveries.
    sent: VecDeque<(Time, f64)>,
    good: VecDeque<Time>,
    /// Failures in a row, and the latest: a call sent before it says no more than was known then.
    streak: usize,
    last_bad: Time,
    /// Calls a second that this relay got delivered here before the first failure.
    part: f64,
    health: Health,
}

impl Endpoint {
    fn new(entry: Entry, figures: RuleFigures, probes: bool) -> Self {
        let (outs, sent, good) = (Vec::new(), VecDeque::new(), VecDeque::new());
        let (last_bad, health) = (Time::default(), Health::Well);
        Endpoint { entry, figures, probes, outs, sent, good, streak: 0, last_bad, part: 0.0, health }
    }

    fn lane(&self) -> Part {
        let apart = self.entry.kind.separate_routes.then(|| self.entry.endpoint.clone());
        Part::Lane((self.entry.destination, apart))
    }

    fn take(&mut self, note: Note, mail: &mut Mail) {
        match note {
            Note::Listed(entry) => self.entry = entry,
            Note::Call(call) if self.takes(mail.now, call.pushes.len()) => {
                mail.put(self.lane(), Note::Call(call))
            }
            Note::Call(call) => mail.put(Part::Destination(call.destination), Note::Declined),
            Note::Sent(call) => {
                self.weigh(call.pushes.len(), mail);
                let (at, overdue_at) = (mail.now, mail.now + call.overdue_after);
                let ntfs = call.pushes.into_iter().map(|push| push.0).collect();
                self.outs.push(Out { at, overdue_at, ntfs, answered: false });
            }
            Note::Outcome(outcome, _) => self.outcome(outcome, mail),
            Note::Probed(status) => self.judge(mail.now, status, None, mail),
            Note::Sweep => {
                self.suspect(mail);
                if matches!(self.health, Health::Aside { next } if self.probes && mail.now >= next) {
                    self.weigh(1, mail);
                    mail.commands.push(Command::Probe(self.entry.endpoint.clone()));
                }
            }
            _ => {}
        }
    }

    /// Rules: nothing to an endpoint that drains or is gone; after an outage, no more than its part.
    fn takes(&self, now: Time, pushes: usize) -> bool {
        // A second call in the same round would be joined to the first.
        let joins = self.outs.last().is_some_and(|o| o.at == now && o.ntfs.len() < self.entry.kind.per_call);
        if self.entry.readiness != Readiness::Serving || joins {
            return false;
        }
        match self.health {
            Health::Well => true,
            // A call still out there tells of the return by itself, and costs no further slot.
            Health::Aside { next } => {
                let patience = if self.outs.is_empty() { 0.0 } else { PATIENCE };
                !self.probes && now >= next + self.figures.tip_after.times(patience)
            }
            Health::Back { since, from, wins } => {
                let f = &self.figures;
                let warmth = (now.since(since).secs() / f.cold.secs().max(1e-3)).min(1.0);
                let level = f.cold_from + (1.0 - f.cold_from) * warmth;
                let budget = f.fall_multiple * level * self.part * f.tip_after.secs();
                let budget = budget.min(2f64.powi(wins.min(20))).max(1.0);
                let recent = self.sent.iter().rev().take_while(|s| now.since(s.0) < f.tip_after);
                let recent: f64 = recent.map(|s| s.1).sum();
                // One call may always go in a window: a full one weighs more than a small budget for good.
                now >= from && (recent == 0.0 || recent + weight(pushes) <= budget)
            }
        }
    }

    fn weigh(&mut self, pushes: usize, mail: &mut Mail) {
        keep(&mut self.sent, (mail.now, weight(pushes)), 2 * SAMPLES);
        if let Health::Aside { next } = &mut self.health {
            *next = mail.now + self.figures.tip_after.times(0.75 + mail.chance.next() / 2.0);
        }
    }

    fn outcome(&mut self, outcome: Outcome, mail: &mut Mail) {
        let Some(place) = self.outs.iter().position(|out| out.ntfs.contains(&outcome.ntf)) else { return };
        let out = &mut self.outs[place];
        out.ntfs.retain(|ntf| *ntf != outcome.ntf);
        let first = !std::mem::replace(&mut out.answered, true);
        let (at, over, to) = (out.at, out.ntfs.is_empty(), self.entry.destination);
        if over {
            self.outs.remove(place);
            mail.put(self.lane(), Note::Ended(to));
            mail.put(Part::Slots, Note::Ended(to));
        }
        if first {
            self.judge(at, outcome.status, outcome.limit, mail);
        }
        mail.put(self.lane(), Note::Outcome(outcome.clone(), first));
        mail.put(Part::Destination(to), Note::Outcome(outcome, first));
    }

    /// What an outcome, of a call sent at `at`, says of the endpoint's health.
    fn judge(&mut self, at: Time, status: Status, limit: Option<LimitReport>, mail: &mut Mail) {
        match status {
            Status::Delivered => {
                // Too short for an outage, as far as this relay saw: no reason to hold back.
                let brief = self
                    .good
                    .back()
                    .is_some_and(|t| mail.now.since(*t) < self.figures.tip_after.times(BRIEF));
                keep(&mut self.good, mail.now, 2 * SAMPLES);
                self.streak = 0;
                self.health = match self.health {
                    Health::Aside { .. } if brief => Health::Well,
                    Health::Aside { .. } => {
                        mail.commands.push(Command::Log(format!("{} is back", self.entry.endpoint.0)));
                        let from = mail.now + self.figures.tip_after.times(mail.chance.next() / 3.0);
                        Health::Back { since: mail.now, from, wins: 0 }
                    }
                    Health::Back { since, .. } if mail.now.since(since) >= self.figures.cold => Health::Well,
                    Health::Back { since, from, wins } => Health::Back { since, from, wins: wins + 1 },
                    Health::Well => Health::Well,
                };
            }
            // Above a told limit: no sign of an outage.
            Status::Busy(_) if limit.is_some_and(|l| l.rate > 0.0 && l.left < 0.2) => {}
            Status::Skipped => {}
            Status::Busy(_) | Status::Error if self.streak > 0 && at < self.last_bad => {}
            _ => {
                self.measure();
                self.streak += 1;
                self.last_bad = mail.now;
            }
        }
        self.suspect(mail);
    }

    /// Guards against silence as well as failures: a call long overdue is evidence before its time-out.
    fn suspect(&mut self, mail: &mut Mail) {
        let lately = self.good.back().is_some_and(|t| mail.now.since(*t) < self.figures.tip_after);
        let overdue = self.outs.iter().filter(|out| !lately && !out.answered && out.overdue_at <= mail.now);
        if !matches!(self.health, Health::Aside { .. }) && self.streak + overdue.count() >= SUSPECT {
            self.measure();
            let (id, part) = (&self.entry.endpoint.0, self.part);
            mail.commands.push(Command::Log(format!("{id} set aside, delivered {part:.1}/s before")));
            let pause = self.figures.tip_after.times(0.5 + mail.chance.next() / 2.0);
            self.health = Health::Aside { next: mail.now + pause };
        }
    }

    /// At the first sign of trouble: what this relay got delivered here is a safe measure of its part.
    fn measure(&mut self) {
        if self.streak == 0 && self.health == Health::Well {
            let span = self.figures.tip_after;
            let ending = |t: &Time| self.good.iter().filter(|g| **g <= *t && t.since(**g) < span).count();
            self.part = self.good.iter().map(ending).max().unwrap_or(0) as f64 / span.secs();
        }
    }
}

fn weight(pushes: usize) -> f64 {
    1.0 + FURTHER * pushes.saturating_sub(1) as f64
}

// ---- Lane: waits and limits ----

struct Lane {
    wait_until: Time,
    pause_until: Time,
    /// Calls out, and how many may be, by what the lane has shown lately.
    out: usize,
    window: f64,
    last_sent: Time,
    /// The told limit, the share of it that this relay takes, and the least it ever takes.
    rate: f64,
    share: f64,
    least_share: f64,
    refused: i32,
}

impl Lane {
    fn new(slots: usize, relays: usize) -> Self {
        let (never, relays) = (Time::default(), relays.max(1) as f64);
        Lane {
            wait_until: never,
            pause_until: never,
            out: 0,
            window: (slots as f64 / 2.0).max(1.0),
            last_sent: never,
            rate: 0.0,
            share: (1.5 / relays).min(1.0),
            least_share: 0.5 / relays,
            refused: 0,
        }
    }

    fn take(&mut self, note: Note, mail: &mut Mail) {
        match note {
            Note::Call(call) if self.takes(mail.now) => {
                self.out += 1;
                self.last_sent = mail.now;
                for &(ntf, time_out) in &call.pushes {
                    mail.commands.push(Command::Push { ntf, endpoint: call.endpoint.clone(), time_out });
                }
                mail.put(Part::Endpoint(call.endpoint.clone()), Note::Sent(call.clone()));
                mail.put(Part::Slots, Note::Sent(call.clone()));
                mail.put(Part::Destination(call.destination), Note::Sent(call));
            }
            Note::Call(call) => mail.put(Part::Destination(call.destination), Note::Declined),
            Note::Ended(_) => self.out = self.out.saturating_sub(1),
            Note::Outcome(outcome, first) => {
                // The outcomes of a call come in rounds of their own, each with a wait: all bind.
                if let Status::Busy(Some(wait)) = outcome.status {
                    self.wait_until = self.wait_until.max(mail.now + wait);
                }
                if first {
                    self.learn(&outcome, mail);
                }
            }
            _ => {}
        }
    }

    /// Rule: nothing while a told wait lasts. Besides, no faster than the limit allows.
    fn takes(&self, now: Time) -> bool {
        let gap = Span::from_secs(if self.rate > 0.0 { 1.0 / (self.rate * self.share) } else { 0.0 });
        let free = (self.out as f64) < self.window && now >= self.last_sent + gap;
        free && now >= self.wait_until.max(self.pause_until)
    }

    fn learn(&mut self, outcome: &Outcome, mail: &mut Mail) {
        if let Some(report) = outcome.limit {
            self.rate = report.rate;
            let step = if report.left > 0.3 { 1.1 } else { 1.0 } * if report.left < 0.1 { 0.9 } else { 1.0 };
            self.share = (self.share * step).clamp(self.least_share, 1.0);
        }
        match outcome.status {
            Status::Delivered => {
                self.refused = 0;
                self.window += 1.0 / self.window;
            }
            Status::Busy(_) if mail.now >= self.pause_until => {
                let pause = PAUSE.times(2f64.powi(self.refused.min(8))).min(LONGEST_PAUSE);
                self.pause_until = mail.now + pause.times(0.5 + mail.chance.next());
                self.refused += 1;
                self.share = (self.share * 0.7).max(self.least_share);
                self.window = (self.window * 0.6).max(1.0);
            }
            Status::TimedOut | Status::NoConnection | Status::Reset => {
                self.window = (self.window * 0.8).max(1.0);
            }
            _ => {}
        }
    }
}

// ---- Destination: what goes next, for how long, and when it is given up ----

/// A notification held.
#[derive(Debug)]
struct Held {
    ntf: Notification,
    taken: Time,
    over_share: bool,
    pushes: u32,
    /// It has its turn, or needs none.
    turn: bool,
    /// When and to which zone the push now out was sent; the endpoint of the latest.
    out: Option<(Time, Arc<str>)>,
    last: Option<EndpointId>,
    /// When and to which zone the first push that may have run was sent.
    ran: Option<(Time, Arc<str>)>,
    /// When a push last ended that may still be running.
    doubt: Option<Time>,
    /// Withdrawn: kept only until the push out has its outcome.
    over: bool,
}

impl Held {
    fn new(ntf: Notification, taken: Time, over_share: bool) -> Self {
        let turn = !(ntf.topic.ordered && ntf.key.is_some());
        let (out, last, ran, doubt) = (None, None, None, None);
        Held { ntf, taken, over_share, pushes: 0, turn, out, last, ran, doubt, over: false }
    }

    /// Rule: no effect twice. Every send passes here.
    fn may_run(&self, now: Time, zone: Option<&Arc<str>>, most: u32) -> bool {
        let effect = match (&self.ran, self.ntf.topic.effect) {
            (None, _) | (Some(_), Effect::Repeatable) => true,
            (Some(_), Effect::OnceOnly) => false,
            (Some((at, first)), Effect::Collapsible { group, window }) => {
                now < *at + window && (group == Group::All || zone.is_none_or(|zone| zone == first))
            }
        };
        effect && self.pushes < most && !self.over && self.out.is_none()
    }
}

struct Destination {
    id: DestinationId,
    allowed: Allowance,
    overdue_floor: Span,
    per_call: usize,
    /// Its endpoints, by id, with their zones, and where the rotation stands.
    ends: Vec<(EndpointId, Arc<str>)>,
    next: usize,
    /// Endpoints asked so far for the slot at hand.
    asked: usize,
    held: Vec<Held>,
    samples: VecDeque<Sample>,
    fit: Option<Fit>,
}

impl Destination {
    fn new(id: DestinationId, allowed: Allowance, overdue_floor: Span) -> Self {
        let (ends, held, samples) = (Vec::new(), Vec::new(), VecDeque::new());
        let (per_call, next, asked, fit) = (1, 0, 0, None);
        Destination { id, allowed, overdue_floor, per_call, ends, next, asked, held, samples, fit }
    }

    fn take(&mut self, note: Note, mail: &mut Mail) {
        match note {
            Note::Listed(entry) => {
                self.per_call = entry.kind.per_call.max(1);
                self.ends.retain(|end| end.0 != entry.endpoint);
                if entry.readiness == Readiness::Serving {
                    self.ends.push((entry.endpoint, entry.zone));
                    self.ends.sort();
                }
            }
            Note::Accepted(held) => {
                if let Some(key) = held.ntf.key.clone().filter(|_| !held.turn) {
                    mail.put(Part::Turns, Note::Join(key, held.ntf.id, self.id));
                }
                self.held.push(*held);
            }
            Note::Turn(ntf) => self.held.iter_mut().filter(|h| h.ntf.id == ntf).for_each(|h| h.turn = true),
            Note::Withdrawn(ntf) => {
                if let Some(place) = self.held.iter().position(|h| h.ntf.id == ntf) {
                    self.held[place].over = true;
                    if self.held[place].out.is_none() {
                        self.release(place, mail);
                    }
                }
            }
            Note::Outcome(outcome, first) => self.outcome(outcome, first, mail),
            Note::Sweep => {
                self.fit = Fit::of(&self.samples, mail.now);
                for place in (0..self.held.len()).rev() {
                    self.give_up_if_vain(place, mail);
                }
            }
            Note::Slot => self.offer(mail),
            Note::Shed(sent) if self.allowed.cancel && mail.now >= sent + self.overdue_after() => {
                for held in self.held.iter().filter(|h| h.out.as_ref().is_some_and(|out| out.0 == sent)) {
                    if held.ntf.topic.effect == Effect::OnceOnly {
                        continue;
                    }
                    mail.commands.push(Command::Cancel { ntf: held.ntf.id, push: held.pushes - 1 });
                }
            }
            Note::Trim => {
                let waiting =
                    self.held.iter().enumerate().filter(|(_, h)| h.out.is_none() && h.ran.is_none());
                if let Some((place, _)) = waiting.max_by_key(|(_, h)| (self.rank(mail.now, h), h.taken)) {
                    self.give_up(place, mail);
                }
            }
            Note::Declined => {
                self.asked += 1;
                self.offer(mail);
            }
            Note::Sent(call) => {
                self.asked = 0;
                let Some(place) = self.ends.iter().position(|end| end.0 == call.endpoint) else { return };
                self.next = place + 1;
                for held in self.held.iter_mut().filter(|h| call.pushes.iter().any(|p| p.0 == h.ntf.id)) {
                    held.pushes += 1;
                    held.out = Some((mail.now, self.ends[place].1.clone()));
                    held.last = Some(call.endpoint.clone());
                }
            }
            _ => {}
        }
    }

    /// Asks the next endpoint in rotation for the slot at hand; in a first round, resends go elsewhere.
    fn offer(&mut self, mail: &mut Mail) {
        while self.asked < 2 * self.ends.len() && !self.held.is_empty() {
            let (endpoint, zone) = self.ends[(self.next + self.asked) % self.ends.len()].clone();
            let pushes = self.pick(mail.now, &endpoint, &zone);
            if !pushes.is_empty() {
                let far =
                    self.fit.map_or(Span::ZERO, |fit| Span::from_secs((fit.mu + 3.0 * fit.sigma).exp()));
                let (to, overdue_after) = (Part::Endpoint(endpoint.clone()), far.max(self.overdue_floor));
                let call = Call { destination: self.id, endpoint, pushes, overdue_after };
                return mail.put(to, Note::Call(call));
            }
            self.asked += 1;
        }
        self.asked = 0;
        mail.put(Part::Slots, Note::Pass(self.id));
    }

    /// What goes to an endpoint next: first what can still meet its objective, within its share.
    fn pick(&self, now: Time, to: &EndpointId, zone: &Arc<str>) -> Vec<(NtfId, Span)> {
        let elsewhere = self.asked < self.ends.len();
        let fits = |h: &&Held| {
            h.turn
                && h.may_run(now, Some(zone), self.allowed.pushes)
                && !(elsewhere && h.last.as_ref() == Some(to))
        };
        let mut ready: Vec<&Held> = self.held.iter().filter(fits).collect();
        // Calls are worth filling: one counts once for the limit and takes one slot.
        let waits = |h: &&Held| now.since(h.taken) < h.ntf.topic.objective.times(FILL);
        if ready.len() < self.per_call && ready.iter().all(waits) {
            return Vec::new();
        }
        ready.sort_by_key(|h| self.rank(now, h));
        ready.truncate(self.per_call);
        ready.iter().map(|h| (h.ntf.id, self.time_out(now, h))).collect()
    }

    /// What goes first: what is within its account's share, and what can still meet its objective.
    fn rank(&self, now: Time, held: &Held) -> (bool, bool) {
        (held.over_share, now.since(held.taken) + self.median() > held.ntf.topic.objective)
    }

    /// When a call has lasted so long that it speaks of silence: well beyond what is delivered of late, not
    /// what the fit expects, which calls that never end stretch far. Longer after each that was called off or
    /// timed out with none delivered since: then it is the destination that is slow.
    fn overdue_after(&self) -> Span {
        let mut done: Vec<f64> = self.samples.iter().filter(|s| !s.censored).map(|s| s.ln_secs).collect();
        done.sort_by(f64::total_cmp);
        let usual = done.get(done.len() * 9 / 10).map_or(Span::ZERO, |ln| Span::from_secs(ln.exp()));
        let vain = self.samples.iter().rev().take_while(|s| s.censored).count();
        usual.times(OVERDUE).max(self.overdue_floor).times(2f64.powi(vain.min(8) as i32 / 2))
    }

    fn median(&self) -> Span {
        self.fit.map_or(Span::ZERO, |fit| fit.median())
    }

    fn time_out(&self, now: Time, held: &Held) -> Span {
        let left = held.ntf.valid_until.since(now);
        let once = held.ntf.topic.effect == Effect::OnceOnly;
        let pushes = if once { 1 } else { self.allowed.pushes - held.pushes };
        self.fit.map_or(left, |fit| fit.time_out(left, pushes))
    }

    fn outcome(&mut self, o: Outcome, first: bool, mail: &mut Mail) {
        // Throttled pushes and refused connections tell nothing of latency.
        if first && matches!(o.status, Status::Delivered | Status::TimedOut | Status::Cancelled) {
            let (ln_secs, censored) = (o.spent.secs().max(1e-4).ln(), o.status != Status::Delivered);
            keep(&mut self.samples, Sample { at: mail.now, ln_secs, censored }, SAMPLES);
        }
        let Some(place) = self.held.iter().position(|h| h.ntf.id == o.ntf) else { return };
        let held = &mut self.held[place];
        let sent = held.out.take();
        if o.status.may_have_run() {
            held.ran = held.ran.take().or(sent);
        }
        if o.status.may_be_running() {
            held.doubt = Some(mail.now);
        }
        if o.settled || held.over {
            self.release(place, mail);
        } else {
            self.give_up_if_vain(place, mail);
        }
    }

    /// The design's cutoff, and rule: one final answer in time. What cannot go out again, or has less time left
    /// than a usual call takes, is answered at once.
    fn give_up_if_vain(&mut self, place: usize, mail: &mut Mail) {
        let held = &self.held[place];
        let left = held.ntf.valid_until.since(mail.now);
        let usual = self.median().max(LEAST_LEFT);
        if held.out.is_none() && (left < usual || !held.may_run(mail.now, None, self.allowed.pushes)) {
            self.give_up(place, mail);
        }
    }

    fn give_up(&mut self, place: usize, mail: &mut Mail) {
        let ntf = self.held[place].ntf.id;
        mail.commands.push(match self.held[place].ran {
            None => Command::Throttle { ntf, retry_in: self.allowed.longest_retry.min(self.median()) },
            Some(_) => Command::Expire(ntf),
        });
        self.release(place, mail);
    }

    fn release(&mut self, place: usize, mail: &mut Mail) {
        let held = self.held.remove(place);
        if let Some(key) = held.ntf.key.filter(|_| held.ntf.topic.ordered) {
            mail.put(Part::Turns, Note::Leave(key, held.ntf.id, held.doubt));
        }
    }
}

// ---- Slots: which destination calls next ----

struct Slots {
    total: usize,
    /// Each destination's calls of late: when they began and ended.
    calls: BTreeMap<DestinationId, VecDeque<(Time, Option<Time>)>>,
    passed: BTreeSet<DestinationId>,
}

impl Slots {
    fn take(&mut self, note: Note, mail: &mut Mail) {
        match note {
            Note::Sweep => self.passed.clear(),
            Note::Listed(entry) => {
                self.calls.entry(entry.destination).or_default();
                return;
            }
            Note::Pass(destination) => {
                self.passed.insert(destination);
            }
            Note::Sent(call) => self.calls.entry(call.destination).or_default().push_back((mail.now, None)),
            Note::Ended(destination) => {
                let calls = self.calls.get_mut(&destination).into_iter().flatten();
                calls.filter(|c| c.1.is_none()).take(1).for_each(|c| c.1 = Some(mail.now));
                return;
            }
            _ => {}
        }
        for calls in self.calls.values_mut() {
            calls.retain(|c| c.1.is_none_or(|end| mail.now.since(end) < SLOT_MEMORY));
        }
        let open = self.calls.values().flatten().filter(|c| c.1.is_none()).count();
        let waiting = self.calls.iter().filter(|(id, _)| !self.passed.contains(id));
        if open < self.total {
            if let Some((id, _)) = waiting.min_by_key(|(id, calls)| (slot_time(calls, mail.now), **id)) {
                mail.put(Part::Destination(*id), Note::Slot);
            }
            return;
        }
        // Guards against silent and jammed destinations that take every slot for as long as their time-outs.
        let sent = |calls: &VecDeque<(Time, Option<Time>)>| calls.iter().find(|c| c.1.is_none()).map(|c| c.0);
        let oldest = self.calls.iter().filter_map(|(id, calls)| Some((sent(calls)?, *id))).min();
        if let Some((sent, id)) = oldest {
            mail.put(Part::Destination(id), Note::Shed(sent));
        }
    }
}

/// Slot time within memory, calls still out included.
fn slot_time(calls: &VecDeque<(Time, Option<Time>)>, now: Time) -> Span {
    let from = now - SLOT_MEMORY;
    let spent = |c: &(Time, Option<Time>)| c.1.unwrap_or(now).since(c.0.max(from)).nanos();
    Span::from_nanos(calls.iter().map(spent).sum())
}

// ---- Book: the list of endpoints ----

struct Book {
    ask_every: Span,
    entries: BTreeMap<EndpointId, Entry>,
    /// When to ask next, where news has to be asked for.
    next_ask: Option<Time>,
    failures: i32,
}

impl Book {
    fn take(&mut self, note: Note, mail: &mut Mail) {
        match note {
            Note::News(News::Broken) => {
                // Guards against a list that is out of reach or overrun: ask again, ever later, never in step.
                let pause = self.ask_every.times(0.02 * 2f64.powi(self.failures.min(4)));
                self.failures += 1;
                self.next_ask = Some(mail.now + pause.times(0.5 + mail.chance.next()));
            }
            Note::News(News::Changes(entries)) => self.merge(entries, mail),
            Note::News(News::Whole(entries)) => {
                let gone =
                    self.entries.values().filter(|old| entries.iter().all(|e| e.endpoint != old.endpoint));
                let gone = gone.map(|old| Entry { readiness: Readiness::Deleted, ..old.clone() }).collect();
                self.merge(gone, mail);
                self.merge(entries, mail);
            }
            _ => {}
        }
        if self.next_ask.is_some_and(|at| mail.now >= at) {
            self.next_ask = None;
            mail.commands.push(Command::Subscribe);
        }
    }

    fn merge(&mut self, entries: Vec<Entry>, mail: &mut Mail) {
        self.failures = 0;
        for entry in entries {
            self.entries.insert(entry.endpoint.clone(), entry.clone());
            mail.put(Part::Endpoint(entry.endpoint.clone()), Note::Listed(entry.clone()));
            mail.put(Part::Slots, Note::Listed(entry.clone()));
            mail.put(Part::Destination(entry.destination), Note::Listed(entry));
        }
    }
}

// ---- The relay: the loop ----

/// A relay's decisions. It knows only its own events, its clock and its seed.
pub struct Relay {
    fleet: Fleet,
    allowed: Allowance,
    figures: RuleFigures,
    next_wake: Time,
    mail: Mail,
    book: Book,
    turns: Turns,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    lanes: BTreeMap<LaneId, Lane>,
    destinations: BTreeMap<DestinationId, Destination>,
    slots: Slots,
    /// What each account has handed in of late.
    arrivals: BTreeMap<String, VecDeque<Time>>,
}

impl Relay {
    /// A relay that has just started and knows nothing yet.
    pub fn new(now: Time, seed: u64, fleet: Fleet, allowed: Allowance, figures: RuleFigures) -> Self {
        let (inboxes, chance) = (BTreeMap::new(), Chance::new(seed));
        let next_ask = fleet.list_on_request.then_some(now);
        Relay {
            fleet,
            allowed,
            figures,
            next_wake: now,
            mail: Mail { now, inboxes, commands: Vec::new(), chance },
            book: Book { ask_every: figures.ask_every, entries: BTreeMap::new(), next_ask, failures: 0 },
            turns: Turns { settle: figures.settle, lines: BTreeMap::new() },
            endpoints: BTreeMap::new(),
            lanes: BTreeMap::new(),
            destinations: BTreeMap::new(),
            slots: Slots { total: allowed.slots, calls: BTreeMap::new(), passed: BTreeSet::new() },
            arrivals: BTreeMap::new(),
        }
    }

    /// Takes all that happened up to `now` and gives the commands that follow from it.
    pub fn handle(&mut self, now: Time, events: Vec<Event>) -> Vec<Command> {
        self.mail.now = now;
        for event in events {
            let (part, note) = match event {
                Event::List(news) => (Part::Book, Note::News(news)),
                Event::Accepted(ntf) => {
                    let (to, over_share) = (Part::Destination(ntf.destination), self.over_share(&ntf));
                    (to, Note::Accepted(Box::new(Held::new(ntf, now, over_share))))
                }
                Event::Ended(outcome) => {
                    (Part::Endpoint(outcome.endpoint.clone()), Note::Outcome(outcome, false))
                }
                Event::Withdrawn(ntf) => {
                    for id in self.destinations.keys() {
                        self.mail.put(Part::Destination(*id), Note::Withdrawn(ntf));
                    }
                    continue;
                }
                Event::Probed { endpoint, status, .. } => (Part::Endpoint(endpoint), Note::Probed(status)),
                Event::Woken => continue,
            };
            self.mail.put(part, note);
            self.settle();
        }
        self.settle();
        let parts = [Part::Book, Part::Turns, Part::Slots].into_iter();
        let parts = parts.chain(self.endpoints.keys().cloned().map(Part::Endpoint));
        for part in parts.chain(self.destinations.keys().copied().map(Part::Destination)) {
            self.mail.put(part, Note::Sweep);
        }
        self.settle();
        // Guards against a hold full of what cannot go, which turns away what could.
        let held: usize = self.destinations.values().map(|d| d.held.len()).sum();
        let most = self.destinations.values().max_by_key(|d| d.held.len()).map(|d| d.id);
        if let (true, Some(id)) = (held as f64 > HOLD_FULL * self.allowed.held as f64, most) {
            self.mail.put(Part::Destination(id), Note::Trim);
            self.settle();
        }
        if now >= self.next_wake {
            let gap = self.fleet.tick.times(2.0).max(LEAST_WAKE);
            self.next_wake = now + gap;
            self.mail.commands.push(Command::Wake(gap));
        }
        std::mem::take(&mut self.mail.commands)
    }

    /// The one loop: empties every inbox.
    fn settle(&mut self) {
        let (allowed, figures, relays) = (self.allowed, self.figures, self.fleet.relays);
        while let Some((part, note)) = self.mail.next() {
            let mail = &mut self.mail;
            match part {
                Part::Book => self.book.take(note, mail),
                Part::Turns => self.turns.take(note, mail),
                Part::Slots => self.slots.take(note, mail),
                Part::Lane(id) => {
                    let lane = self.lanes.entry(id).or_insert_with(|| Lane::new(allowed.slots, relays));
                    lane.take(note, mail);
                }
                Part::Endpoint(id) => {
                    if let Note::Listed(entry) = &note {
                        let new = || Endpoint::new(entry.clone(), figures, allowed.probes);
                        self.endpoints.entry(id.clone()).or_insert_with(new);
                    }
                    if let Some(endpoint) = self.endpoints.get_mut(&id) {
                        endpoint.take(note, mail);
                    }
                }
                Part::Destination(id) => {
                    let new = || Destination::new(id, allowed, figures.tip_after.times(OVERDUE_FLOOR));
                    self.destinations.entry(id).or_insert_with(new).take(note, mail);
                }
            }
        }
    }

    /// Whether an account has lately handed in more than its quota's part for one relay.
    fn over_share(&mut self, ntf: &Notification) -> bool {
        let Some(account) = &ntf.account else { return false };
        let arrivals = self.arrivals.entry(account.name.clone()).or_default();
        keep(arrivals, self.mail.now, 2 * SAMPLES);
        let span = arrivals.front().map_or(Span::ZERO, |first| self.mail.now.since(*first));
        let rate = arrivals.len() as f64 / span.secs().max(1.0);
        arrivals.len() > SAMPLES && rate > account.quota / self.fleet.relays.max(1) as f64
    }
}
