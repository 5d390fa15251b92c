//! All decisions of a relay. Call [`Relay::new`] once at start, then [`Relay::handle`] each round with the
//! clock and all that has happened, in order, and carry out the commands it gives, in order. The types on
//! both sides are in `interface.rs`. Why things are as they are stands in `docs/design.md`.
//!
//! Each part has an inbox; parts talk only by notes put into these, and the loop in `Relay::settle` empties
//! them, in the order in which `Part` lists the parts. A send passes them in turn: `Slots` offers a slot to a
//! `Destination`, which picks notifications (cutoff, effects, order) and asks an `Endpoint` (drains, returns
//! from an outage), which asks its `Lane` (waits, limits), which pushes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::{
    Account, Allowance, Command, DestinationId, Effect, EndpointId, Entry, Event, Fleet, Group, Kind,
    LimitReport, News, Notification, NtfId, Readiness, RuleFigures, Status, TopicType,
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
/// A call is not overdue before this share of `tip_after`.
const OVERDUE_FLOOR: f64 = 0.5;
/// Share of the latency objective for which a call may wait to be filled.
const FILL: f64 = 0.125;
/// First pause after a throttled push that told no wait; doubles with each in a row up to the last.
const PAUSE: Span = Span::from_millis(100);
const LONGEST_PAUSE: Span = Span::from_millis(1_600);
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
    Sweep,
    News(News),
    Listed(Entry),
    Accepted(Box<Held>),
    Withdrawn(NtfId),
    Join(String, NtfId, DestinationId),
    Leave(String, NtfId, Option<Time>),
    Turn(NtfId),
    Slot,
    Pass(DestinationId),
    Call(Call),
    Declined,
    Sent(Call),
    /// A push ended; the flag says whether its call had shown no outcome before.
    Outcome(Outcome, bool),
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

#[derive(Clone, Debug)]
struct Outcome {
    ntf: NtfId,
    status: Status,
    spent: Span,
    settled: bool,
    limit: Option<LimitReport>,
}

/// The inboxes, and the commands given so far in this round.
#[derive(Default)]
struct Mail {
    inboxes: BTreeMap<Part, VecDeque<Note>>,
    commands: Vec<Command>,
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
    fn take(&mut self, now: Time, note: Note, mail: &mut Mail) {
        match note {
            Note::Join(key, ntf, destination) => {
                self.lines.entry(key).or_default().waiting.push_back((ntf, destination));
            }
            Note::Leave(key, ntf, doubt) => {
                if let Some(line) = self.lines.get_mut(&key) {
                    if line.granted && line.waiting.front().is_some_and(|w| w.0 == ntf) {
                        line.granted = false;
                    }
                    line.waiting.retain(|w| w.0 != ntf);
                    if let Some(at) = doubt {
                        line.rest_until = line.rest_until.max(at + self.settle);
                    }
                }
            }
            _ => {}
        }
        for line in self.lines.values_mut().filter(|line| !line.granted && line.rest_until <= now) {
            if let Some(&(ntf, destination)) = line.waiting.front() {
                line.granted = true;
                mail.put(Part::Destination(destination), Note::Turn(ntf));
            }
        }
        self.lines.retain(|_, line| !line.waiting.is_empty() || line.rest_until > now);
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
    /// Set aside: one call or probe at a time, the next not before `next`.
    Aside {
        next: Time,
    },
    /// Proved back at `since`; calls from `from`, doubling with each delivered up to its part.
    Back {
        since: Time,
        from: Time,
        wins: i32,
    },
}

struct Endpoint {
    id: EndpointId,
    destination: DestinationId,
    lane: LaneId,
    per_call: usize,
    readiness: Readiness,
    outs: Vec<Out>,
    /// Latest sends (with weight) and deliveries.
    sent: VecDeque<(Time, f64)>,
    good: VecDeque<Time>,
    streak: usize,
    /// Sequential evidence: a call sent before this says no more than what was known then.
    last_bad: Time,
    /// Calls a second that this relay got delivered here before the first failure.
    part: f64,
    health: Health,
}

impl Endpoint {
    fn take(
        &mut self, now: Time, note: Note, figures: &RuleFigures, probes: bool, chance: &mut Chance,
        mail: &mut Mail,
    ) {
        match note {
            Note::Listed(entry) => self.readiness = entry.readiness,
            Note::Call(call) if self.takes(now, call.pushes.len(), figures, probes) => {
                mail.put(Part::Lane(self.lane.clone()), Note::Call(call));
            }
            Note::Call(call) => mail.put(Part::Destination(call.destination), Note::Declined),
            Note::Sent(call) => {
                self.weigh(now, call.pushes.len(), figures, chance);
                let ntfs = call.pushes.into_iter().map(|push| push.0).collect();
                self.outs.push(Out { at: now, overdue_at: now + call.overdue_after, ntfs, answered: false });
            }
            Note::Outcome(outcome, _) => self.outcome(now, outcome, figures, chance, mail),
            Note::Probed(status) => self.judge(now, now, status, None, figures, chance),
            Note::Sweep => {
                self.suspect(now, figures, chance);
                if matches!(self.health, Health::Aside { next } if probes && now >= next) {
                    self.weigh(now, 1, figures, chance);
                    mail.commands.push(Command::Probe(self.id.clone()));
                }
            }
            _ => {}
        }
    }

    /// Rules: nothing to an endpoint that drains or is gone; after an outage, within its part.
    fn takes(&self, now: Time, pushes: usize, figures: &RuleFigures, probes: bool) -> bool {
        // A second call in the same round would be joined to the first.
        let joins = self.outs.last().is_some_and(|o| o.at == now && o.ntfs.len() < self.per_call);
        if self.readiness != Readiness::Serving || joins {
            return false;
        }
        match self.health {
            Health::Well => true,
            Health::Aside { next } => !probes && now >= next,
            Health::Back { since, from, wins } => {
                let level = (now.since(since).secs() / figures.cold.secs().max(1e-3)).min(1.0);
                let level = figures.cold_from + (1.0 - figures.cold_from) * level;
                let budget = figures.fall_multiple * level * self.part * figures.tip_after.secs();
                let budget = budget.min(2f64.powi(wins.min(20))).max(1.0);
                let recent = self.sent.iter().rev().take_while(|s| now.since(s.0) < figures.tip_after);
                now >= from && recent.map(|s| s.1).sum::<f64>() + weight(pushes) <= budget + FURTHER * 2.0
            }
        }
    }

    fn weigh(&mut self, now: Time, pushes: usize, figures: &RuleFigures, chance: &mut Chance) {
        keep(&mut self.sent, (now, weight(pushes)));
        if let Health::Aside { next } = &mut self.health {
            *next = now + figures.tip_after.times(0.75 + chance.next() / 2.0);
        }
    }

    fn outcome(
        &mut self, now: Time, o: Outcome, figures: &RuleFigures, chance: &mut Chance, mail: &mut Mail,
    ) {
        let Some(place) = self.outs.iter().position(|out| out.ntfs.contains(&o.ntf)) else { return };
        let out = &mut self.outs[place];
        out.ntfs.retain(|ntf| *ntf != o.ntf);
        let first = !out.answered;
        out.answered = true;
        let at = out.at;
        if out.ntfs.is_empty() {
            self.outs.remove(place);
            mail.put(Part::Lane(self.lane.clone()), Note::Ended(self.destination));
            mail.put(Part::Slots, Note::Ended(self.destination));
        }
        if first {
            self.judge(now, at, o.status, o.limit, figures, chance);
            mail.put(Part::Lane(self.lane.clone()), Note::Outcome(o.clone(), first));
        }
        mail.put(Part::Destination(self.destination), Note::Outcome(o, first));
    }

    /// What an outcome, of a call sent at `at`, says of the endpoint's health.
    fn judge(
        &mut self, now: Time, at: Time, status: Status, limit: Option<LimitReport>, figures: &RuleFigures,
        chance: &mut Chance,
    ) {
        match status {
            Status::Delivered => {
                keep(&mut self.good, now);
                self.streak = 0;
                self.health = match self.health {
                    Health::Aside { .. } => {
                        let from = now + figures.tip_after.times(chance.next() / 3.0);
                        Health::Back { since: now, from, wins: 0 }
                    }
                    Health::Back { since, .. } if now.since(since) >= figures.cold => Health::Well,
                    Health::Back { since, from, wins } => Health::Back { since, from, wins: wins + 1 },
                    Health::Well => Health::Well,
                };
            }
            // Above a told limit: no sign of an outage.
            Status::Busy(_) if limit.is_some_and(|l| l.rate > 0.0 && l.left < 0.2) => {}
            Status::Skipped | Status::Cancelled => {}
            _ if self.streak > 0 && at < self.last_bad => {}
            _ => {
                if self.streak == 0 && matches!(self.health, Health::Well) {
                    let span = Span::from_millis(10_000);
                    let recent = self.good.iter().filter(|t| now.since(**t) < span).count();
                    self.part = recent as f64 / span.secs();
                }
                self.streak += 1;
                self.last_bad = now;
            }
        }
        self.suspect(now, figures, chance);
    }

    /// Guards against silence as well as failures: a call long overdue is evidence before its time-out.
    fn suspect(&mut self, now: Time, figures: &RuleFigures, chance: &mut Chance) {
        let overdue = self.outs.iter().filter(|out| !out.answered && out.overdue_at <= now).count();
        let overdue =
            if self.good.back().is_some_and(|t| now.since(*t) < figures.tip_after) { 0 } else { overdue };
        if !matches!(self.health, Health::Aside { .. }) && self.streak + overdue >= SUSPECT {
            if self.streak == 0 && matches!(self.health, Health::Well) {
                let span = Span::from_millis(10_000);
                let recent = self.good.iter().filter(|t| now.since(**t) < span).count();
                self.part = recent as f64 / span.secs();
            }
            self.health = Health::Aside { next: now + figures.tip_after.times(0.5 + chance.next() / 2.0) };
        }
    }
}

fn weight(pushes: usize) -> f64 {
    1.0 + FURTHER * pushes.saturating_sub(1) as f64
}

/// Keeps the last few of a kind of sample.
fn keep<T>(samples: &mut VecDeque<T>, sample: T) {
    samples.push_back(sample);
    if samples.len() > 2 * SAMPLES {
        samples.pop_front();
    }
}

// ---- Lane: waits and limits ----

struct Lane {
    wait_until: Time,
    /// How many calls may be out, by what the lane has shown lately.
    window: f64,
    out: usize,
    last_sent: Time,
    /// The told limit, and the share of it that this relay takes.
    rate: f64,
    share: f64,
    refused: u32,
    pause_until: Time,
    least_share: f64,
}

impl Lane {
    fn take(&mut self, now: Time, note: Note, chance: &mut Chance, mail: &mut Mail) {
        match note {
            Note::Call(call) if self.takes(now) => {
                self.out += 1;
                self.last_sent = now;
                for &(ntf, time_out) in &call.pushes {
                    mail.commands.push(Command::Push { ntf, endpoint: call.endpoint.clone(), time_out });
                }
                mail.put(Part::Endpoint(call.endpoint.clone()), Note::Sent(call.clone()));
                mail.put(Part::Slots, Note::Sent(call.clone()));
                mail.put(Part::Destination(call.destination), Note::Sent(call));
            }
            Note::Call(call) => mail.put(Part::Destination(call.destination), Note::Declined),
            Note::Ended(_) => self.out = self.out.saturating_sub(1),
            Note::Outcome(o, _) => {
                if let Some(report) = o.limit {
                    self.rate = report.rate;
                    let step = if report.left > 0.3 {
                        1.1
                    } else if report.left < 0.1 {
                        0.9
                    } else {
                        1.0
                    };
                    self.share = (self.share * step).clamp(self.least_share, 1.0);
                }
                match o.status {
                    Status::Delivered => {
                        self.refused = 0;
                        self.window += 1.0 / self.window;
                    }
                    Status::Busy(told) => {
                        if let Some(wait) = told {
                            self.wait_until = self.wait_until.max(now + wait);
                        }
                        if now >= self.pause_until {
                            let pause = PAUSE.times(2f64.powi(self.refused.min(8) as i32)).min(LONGEST_PAUSE);
                            self.pause_until = now + pause.times(0.5 + chance.next());
                            self.refused += 1;
                            self.share = (self.share * 0.7).max(self.least_share);
                            self.window = (self.window * 0.6).max(1.0);
                        }
                    }
                    Status::TimedOut | Status::NoConnection | Status::Reset => {
                        self.window = (self.window * 0.8).max(1.0);
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }

    /// Rule: nothing while a told wait lasts. Besides, no faster than the limit allows.
    fn takes(&self, now: Time) -> bool {
        let gap = Span::from_secs(if self.rate > 0.0 { 1.0 / (self.rate * self.share) } else { 0.0 });
        now >= self.wait_until
            && now >= self.pause_until
            && (self.out as f64) < self.window
            && now >= self.last_sent + gap
    }
}

// ---- Destination: what goes next, for how long, and when it is given up ----

/// A notification held.
#[derive(Debug)]
struct Held {
    ntf: Notification,
    topic: TopicType,
    taken: Time,
    over_share: bool,
    pushes: u32,
    /// It has its turn, or needs none.
    turn: bool,
    /// When and to which zone the push now out was sent.
    out: Option<(Time, String)>,
    last: Option<EndpointId>,
    /// When and to which zone the first push that may have run was sent.
    ran: Option<(Time, String)>,
    /// When a push last ended that may still be running.
    doubt: Option<Time>,
    /// Withdrawn: kept only until the push out has its outcome.
    over: bool,
}

impl Held {
    /// Rule: no effect twice. Every send passes here.
    fn may_run(&self, now: Time, zone: Option<&str>, most: u32) -> bool {
        let effect = match (&self.ran, self.topic.effect) {
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
    per_call: usize,
    /// Its endpoints, by id, with their zones, and where the rotation stands.
    ends: Vec<(EndpointId, String)>,
    next: usize,
    /// Endpoints asked so far for the slot at hand.
    asked: usize,
    held: Vec<Held>,
    samples: VecDeque<Sample>,
    fit: Option<Fit>,
}

impl Destination {
    fn take(&mut self, now: Time, note: Note, allowed: &Allowance, figures: &RuleFigures, mail: &mut Mail) {
        match note {
            Note::Listed(entry) => {
                let known = self.ends.iter().position(|end| end.0 == entry.endpoint);
                match (known, entry.readiness) {
                    (None, Readiness::Serving) => {
                        self.ends.push((entry.endpoint, entry.zone));
                        self.ends.sort();
                    }
                    (Some(place), Readiness::Draining | Readiness::Deleted) => {
                        self.ends.remove(place);
                    }
                    _ => {}
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
                    if self.held[place].out.is_some() {
                        self.held[place].over = true;
                    } else {
                        self.release(place, mail);
                    }
                }
            }
            Note::Outcome(outcome, first) => self.outcome(now, outcome, first, allowed, mail),
            Note::Sweep => {
                self.fit = Fit::of(&self.samples, now);
                for place in (0..self.held.len()).rev() {
                    self.give_up_if_vain(now, place, allowed, mail);
                }
            }
            Note::Slot => self.offer(now, allowed, figures, mail),
            Note::Declined => {
                self.asked += 1;
                self.offer(now, allowed, figures, mail);
            }
            Note::Sent(call) => {
                self.asked = 0;
                let place = self.ends.iter().position(|end| end.0 == call.endpoint);
                let zone = place.map(|p| self.ends[p].1.clone()).unwrap_or_default();
                self.next = place.map_or(self.next, |p| p + 1);
                for held in self.held.iter_mut().filter(|h| call.pushes.iter().any(|p| p.0 == h.ntf.id)) {
                    held.pushes += 1;
                    held.out = Some((now, zone.clone()));
                    held.last = Some(call.endpoint.clone());
                }
            }
            _ => {}
        }
    }

    /// Asks the next endpoint in rotation for the slot at hand; in a first round, resends go elsewhere.
    fn offer(&mut self, now: Time, allowed: &Allowance, figures: &RuleFigures, mail: &mut Mail) {
        while self.asked < 2 * self.ends.len() && !self.held.is_empty() {
            let (endpoint, zone) = self.ends[(self.next + self.asked) % self.ends.len()].clone();
            let pushes = self.pick(now, &endpoint, &zone, self.asked < self.ends.len(), allowed);
            if pushes.is_empty() {
                self.asked += 1;
                continue;
            }
            let floor = figures.tip_after.times(OVERDUE_FLOOR);
            let far = self.fit.map_or(Span::ZERO, |fit| Span::from_secs((fit.mu + 3.0 * fit.sigma).exp()));
            let call = Call { destination: self.id, endpoint, pushes, overdue_after: far.max(floor) };
            let to = Part::Endpoint(call.endpoint.clone());
            return mail.put(to, Note::Call(call));
        }
        self.asked = 0;
        mail.put(Part::Slots, Note::Pass(self.id));
    }

    /// What goes to an endpoint next: first what can still meet its objective, within its share.
    fn pick(
        &self, now: Time, to: &EndpointId, zone: &str, elsewhere: bool, allowed: &Allowance,
    ) -> Vec<(NtfId, Span)> {
        let mut ready: Vec<&Held> = self.held.iter().filter(|h| h.turn).collect();
        ready.retain(|h| h.may_run(now, Some(zone), allowed.pushes));
        ready.retain(|h| !elsewhere || h.last.as_ref() != Some(to));
        let median = self.fit.map_or(Span::ZERO, |fit| fit.median());
        let late = |h: &Held| now.since(h.taken) + median > h.topic.objective;
        // Calls are worth filling: one counts once for the limit and takes one slot.
        let waits = |h: &&Held| now.since(h.taken) < h.topic.objective.times(FILL);
        if ready.len() < self.per_call && ready.iter().all(waits) {
            return Vec::new();
        }
        ready.sort_by_key(|h| (h.over_share, late(h)));
        ready.truncate(self.per_call);
        ready.iter().map(|h| (h.ntf.id, self.time_out(now, h, allowed))).collect()
    }

    fn time_out(&self, now: Time, held: &Held, allowed: &Allowance) -> Span {
        let left = held.ntf.valid_until.since(now);
        let pushes = if held.topic.effect == Effect::OnceOnly { 1 } else { allowed.pushes - held.pushes };
        self.fit.map_or(left, |fit| fit.time_out(left, pushes))
    }

    fn outcome(&mut self, now: Time, o: Outcome, first: bool, allowed: &Allowance, mail: &mut Mail) {
        if first && matches!(o.status, Status::Delivered | Status::TimedOut | Status::Cancelled) {
            let censored = o.status != Status::Delivered;
            keep(&mut self.samples, Sample { at: now, ln_secs: o.spent.secs().max(1e-4).ln(), censored });
            while self.samples.len() > SAMPLES {
                self.samples.pop_front();
            }
        }
        let Some(place) = self.held.iter().position(|h| h.ntf.id == o.ntf) else { return };
        let held = &mut self.held[place];
        let sent = held.out.take();
        if matches!(o.status, Status::Error | Status::TimedOut | Status::Reset | Status::Cancelled) {
            held.ran = held.ran.take().or(sent);
        }
        if matches!(o.status, Status::TimedOut | Status::Reset | Status::Cancelled) {
            held.doubt = Some(now);
        }
        if o.settled || held.over {
            self.release(place, mail);
        } else {
            self.give_up_if_vain(now, place, allowed, mail);
        }
    }

    /// The design's cutoff, and rule: one final answer in time. What cannot go out again, or has less time left
    /// than a usual call takes, is answered at once.
    fn give_up_if_vain(&mut self, now: Time, place: usize, allowed: &Allowance, mail: &mut Mail) {
        let held = &self.held[place];
        let left = held.ntf.valid_until.since(now);
        let usual = self.fit.map_or(Span::ZERO, |fit| fit.median()).max(Span::from_millis(20));
        if held.out.is_some() || (left >= usual && held.may_run(now, None, allowed.pushes)) {
            return;
        }
        let ntf = held.ntf.id;
        mail.commands.push(match held.ran {
            None => Command::Throttle { ntf, retry_in: allowed.longest_retry.min(usual) },
            Some(_) => Command::Expire(ntf),
        });
        self.release(place, mail);
    }

    fn release(&mut self, place: usize, mail: &mut Mail) {
        let held = self.held.remove(place);
        if let Some(key) = held.ntf.key.filter(|_| held.topic.ordered) {
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
    fn take(&mut self, now: Time, note: Note, mail: &mut Mail) {
        match note {
            Note::Sweep => self.passed.clear(),
            Note::Pass(destination) => {
                self.passed.insert(destination);
            }
            Note::Sent(call) => self.calls.entry(call.destination).or_default().push_back((now, None)),
            Note::Ended(destination) => {
                let open =
                    self.calls.get_mut(&destination).and_then(|c| c.iter_mut().find(|c| c.1.is_none()));
                if let Some(call) = open {
                    call.1 = Some(now);
                }
                return;
            }
            _ => {}
        }
        for calls in self.calls.values_mut() {
            calls.retain(|c| c.1.is_none_or(|end| now.since(end) < SLOT_MEMORY));
        }
        let open = self.calls.values().flatten().filter(|c| c.1.is_none()).count();
        let waiting = self.calls.iter().filter(|(id, _)| !self.passed.contains(id));
        if let Some((id, _)) = waiting.min_by_key(|(id, calls)| (slot_time(calls, now), **id))
            && open < self.total
        {
            mail.put(Part::Destination(*id), Note::Slot);
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
    on_request: bool,
    ask_every: Span,
    entries: BTreeMap<EndpointId, Entry>,
    asked_at: Option<Time>,
    next_ask: Option<Time>,
    failures: i32,
}

impl Book {
    fn take(&mut self, now: Time, note: Note, chance: &mut Chance, mail: &mut Mail) {
        match note {
            Note::News(News::Broken) => {
                // Guards against a list that is out of reach or overrun: ask again, ever later, never in step.
                let pause =
                    self.ask_every.times(0.02 * 2f64.powi(self.failures.min(4)) * (0.5 + chance.next()));
                self.failures += 1;
                self.next_ask = Some(now + pause);
            }
            Note::News(News::Changes(entries)) => self.merge(entries, mail),
            Note::News(News::Whole(entries)) => {
                let gone: Vec<Entry> = (self.entries.values())
                    .filter(|old| entries.iter().all(|e| e.endpoint != old.endpoint))
                    .map(|old| Entry { readiness: Readiness::Deleted, ..old.clone() })
                    .collect();
                self.merge(gone, mail);
                self.merge(entries, mail);
            }
            _ => {}
        }
        let due = self.next_ask.is_some_and(|at| now >= at) || self.asked_at.is_none();
        if self.on_request && due {
            self.asked_at = Some(now);
            self.next_ask = None;
            mail.commands.push(Command::Subscribe);
        }
    }

    fn merge(&mut self, entries: Vec<Entry>, mail: &mut Mail) {
        self.failures = 0;
        for entry in entries {
            self.entries.insert(entry.endpoint.clone(), entry.clone());
            mail.put(Part::Endpoint(entry.endpoint.clone()), Note::Listed(entry.clone()));
            mail.put(Part::Destination(entry.destination), Note::Listed(entry));
        }
    }
}

// ---- The relay: the loop ----

/// A relay's decisions. It knows only its own events, its clock and its seed.
pub struct Relay {
    topics: Vec<TopicType>,
    kinds: Vec<Kind>,
    accounts: Vec<Account>,
    fleet: Fleet,
    allowed: Allowance,
    figures: RuleFigures,
    chance: Chance,
    next_wake: Time,
    mail: Mail,
    book: Book,
    turns: Turns,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    lanes: BTreeMap<LaneId, Lane>,
    destinations: BTreeMap<DestinationId, Destination>,
    slots: Slots,
    /// Where each notification is held, and what each account has handed in of late.
    homes: BTreeMap<NtfId, DestinationId>,
    arrivals: BTreeMap<String, VecDeque<Time>>,
}

impl Relay {
    /// A relay that has just started and knows nothing yet.
    #[expect(clippy::too_many_arguments, reason = "each part gets its own few settings; no record holds all")]
    pub fn new(
        now: Time, seed: u64, fleet: Fleet, topics: Vec<TopicType>, kinds: Vec<Kind>, accounts: Vec<Account>,
        allowed: Allowance, figures: RuleFigures,
    ) -> Self {
        Relay {
            topics,
            kinds,
            accounts,
            fleet,
            allowed,
            figures,
            chance: Chance::new(seed),
            next_wake: now,
            mail: Mail::default(),
            book: Book {
                on_request: fleet.list_on_request,
                ask_every: figures.ask_every,
                entries: BTreeMap::new(),
                asked_at: None,
                next_ask: None,
                failures: 0,
            },
            turns: Turns { settle: figures.settle, lines: BTreeMap::new() },
            endpoints: BTreeMap::new(),
            lanes: BTreeMap::new(),
            destinations: BTreeMap::new(),
            slots: Slots { total: allowed.slots, calls: BTreeMap::new(), passed: BTreeSet::new() },
            homes: BTreeMap::new(),
            arrivals: BTreeMap::new(),
        }
    }

    /// Takes all that happened up to `now` and gives the commands that follow from it.
    pub fn handle(&mut self, now: Time, events: Vec<Event>) -> Vec<Command> {
        for event in events {
            match event {
                Event::List(news) => self.mail.put(Part::Book, Note::News(news)),
                Event::Accepted(ntf) => {
                    let (id, destination) = (ntf.id, ntf.destination);
                    self.homes.insert(id, destination);
                    let held = self.hold(now, ntf);
                    self.mail.put(Part::Destination(destination), Note::Accepted(Box::new(held)));
                }
                Event::Outcome { ntf, endpoint, status, spent, settled, limit } => {
                    let outcome = Outcome { ntf, status, spent, settled, limit };
                    self.mail.put(Part::Endpoint(endpoint), Note::Outcome(outcome, false));
                }
                Event::Withdrawn(ntf) => {
                    if let Some(destination) = self.homes.get(&ntf) {
                        self.mail.put(Part::Destination(*destination), Note::Withdrawn(ntf));
                    }
                }
                Event::Probed { endpoint, status, .. } => {
                    self.mail.put(Part::Endpoint(endpoint), Note::Probed(status));
                }
                Event::Woken => {}
            }
            self.settle(now);
        }
        self.mail.put(Part::Book, Note::Sweep);
        self.mail.put(Part::Turns, Note::Sweep);
        for id in self.endpoints.keys() {
            self.mail.put(Part::Endpoint(id.clone()), Note::Sweep);
        }
        for id in self.destinations.keys() {
            self.mail.put(Part::Destination(*id), Note::Sweep);
        }
        self.mail.put(Part::Slots, Note::Sweep);
        self.settle(now);
        if now >= self.next_wake {
            let gap = Span::from_nanos(2 * self.fleet.tick.nanos()).max(Span::from_millis(10));
            self.next_wake = now + gap;
            self.mail.commands.push(Command::Wake(gap));
        }
        std::mem::take(&mut self.mail.commands)
    }

    /// The one loop: empties every inbox.
    fn settle(&mut self, now: Time) {
        while let Some((part, note)) = self.mail.next() {
            match part {
                Part::Book => self.book.take(now, note, &mut self.chance, &mut self.mail),
                Part::Turns => self.turns.take(now, note, &mut self.mail),
                Part::Slots => self.slots.take(now, note, &mut self.mail),
                Part::Lane(id) => {
                    let (slots, relays) = (self.allowed.slots as f64, self.fleet.relays.max(1) as f64);
                    let lane = self.lanes.entry(id).or_insert_with(|| Lane {
                        wait_until: Time::default(),
                        window: (slots / 2.0).max(1.0),
                        out: 0,
                        last_sent: Time::default(),
                        rate: 0.0,
                        share: (1.5 / relays).min(1.0),
                        refused: 0,
                        pause_until: Time::default(),
                        least_share: 0.5 / relays,
                    });
                    lane.take(now, note, &mut self.chance, &mut self.mail);
                }
                Part::Endpoint(id) => {
                    if let Note::Listed(entry) = &note
                        && !self.endpoints.contains_key(&id)
                    {
                        let (apart, per_call) = self.kind(&entry.kind);
                        self.endpoints.insert(id.clone(), endpoint(entry, apart, per_call));
                    }
                    if let Some(endpoint) = self.endpoints.get_mut(&id) {
                        let probes = self.allowed.probes;
                        endpoint.take(now, note, &self.figures, probes, &mut self.chance, &mut self.mail);
                    }
                }
                Part::Destination(id) => {
                    let per_call = match &note {
                        Note::Listed(entry) => self.kind(&entry.kind).1,
                        _ => 1,
                    };
                    let destination = self.destinations.entry(id).or_insert_with(|| Destination {
                        id,
                        per_call,
                        ends: Vec::new(),
                        next: 0,
                        asked: 0,
                        held: Vec::new(),
                        samples: VecDeque::new(),
                        fit: None,
                    });
                    destination.per_call = destination.per_call.max(per_call);
                    self.slots.calls.entry(id).or_default();
                    destination.take(now, note, &self.allowed, &self.figures, &mut self.mail);
                }
            }
        }
    }

    /// Whether a kind's routes are separate, and how many notifications a call of it carries.
    fn kind(&self, name: &str) -> (bool, usize) {
        let kind = self.kinds.iter().find(|kind| kind.name == name);
        kind.map_or((false, 1), |kind| (kind.separate_routes, kind.per_call.max(1)))
    }

    fn hold(&mut self, now: Time, ntf: Notification) -> Held {
        // A topic type that no one told of is treated with most care.
        let unknown = || TopicType {
            name: ntf.topic.clone(),
            effect: Effect::OnceOnly,
            objective: ntf.valid_until.since(now),
            ttl: ntf.valid_until.since(now),
            benefit: 1.0,
            late_share: 1.0,
            ordered: ntf.key.is_some(),
        };
        let topic = self.topics.iter().find(|t| t.name == ntf.topic).cloned().unwrap_or_else(unknown);
        let mut over_share = false;
        if let Some(account) = ntf.account.as_ref().and_then(|n| self.accounts.iter().find(|a| a.name == *n))
        {
            let arrivals = self.arrivals.entry(account.name.clone()).or_default();
            keep(arrivals, now);
            let span = arrivals.front().map_or(Span::ZERO, |first| now.since(*first));
            let rate = arrivals.len() as f64 / span.secs().max(1.0);
            over_share = arrivals.len() > SAMPLES && rate > account.quota / self.fleet.relays.max(1) as f64;
        }
        let turn = !(topic.ordered && ntf.key.is_some());
        Held {
            ntf,
            topic,
            taken: now,
            over_share,
            pushes: 0,
            turn,
            out: None,
            last: None,
            ran: None,
            doubt: None,
            over: false,
        }
    }
}

fn endpoint(entry: &Entry, apart: bool, per_call: usize) -> Endpoint {
    Endpoint {
        id: entry.endpoint.clone(),
        destination: entry.destination,
        lane: (entry.destination, apart.then(|| entry.endpoint.clone())),
        per_call,
        readiness: entry.readiness,
        outs: Vec::new(),
        sent: VecDeque::new(),
        good: VecDeque::new(),
        streak: 0,
        last_bad: Time::default(),
        part: 0.0,
        health: Health::Well,
    }
}
