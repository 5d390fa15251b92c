//! All decisions of a relay. Call [`Relay::new`] once at start, then [`Relay::handle`] each round with the
//! clock and all that has happened, in order, and carry out the commands it gives, in order. The types on
//! both sides are in `interface.rs`. Why things are as they are stands in `docs/design.md`.
//! Each part has an inbox; parts talk only by notes put into these (`mail.rs`), and the loop in
//! `Relay::settle` empties them, in the order in which `Part` lists the parts. A send passes them in turn:
//! `Slots` offers a slot to a `Destination`, which picks notifications (cutoff, effects, order) and asks an
//! `Endpoint` (drains, returns from an outage), which asks its `Lane` (waits, limits), which pushes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::interface::{
    Allowance, Command, DestinationId, Effect, EndpointId, Entry, Event, Fleet, Group, LimitReport, News,
    Notification, NtfId, Outcome, Readiness, RuleFigures, Status,
};
use crate::mail::{Call, LaneId, Mail, Note, Part, keep};
use crate::time::{Span, Time};

/// Latencies kept of each destination, and the age at which one counts half.
const SAMPLES: usize = 32;
const HALF_AGE: Span = Span::from_millis(8_000);
/// Calls seen before the fit is trusted.
const WARM_UP: usize = 5;
/// Of so many latest calls, half cut short mean that restarts do not pay.
const RECENT: usize = 8;
/// A destination's latencies vary at least this much (standard deviation of the logarithm).
const SIGMA_FLOOR: f64 = 0.25;
/// Slot time counts for this long.
const SLOT_MEMORY: Span = Span::from_millis(10_000);
/// Signs of trouble (failures less deliveries, calls overdue) that set an endpoint aside.
const SUSPECT: usize = 3;
/// A report with less of the limit left speaks of the limit, one with more than the second leaves room.
const LOW: f64 = 0.2;
const PLENTY: f64 = 0.3;
/// Trouble with less than so many `tip_after` between two deliveries is no outage.
const BRIEF: f64 = 2.0;
/// With calls still out at an endpoint set aside, the next follows so many `tip_after` later.
const PATIENCE: f64 = 3.0;
/// Connections idle for less than this are never taken for stale, and what was seen holds for so long.
const STALE_LEAST: Span = Span::from_millis(500);
const STALE_MEMORY: Span = Span::from_millis(30_000);
/// A call is overdue after so many times what nine in ten stay under, and after this share of `tip_after`.
const OVERDUE: f64 = 2.5;
const OVERDUE_FLOOR: f64 = 0.5;
/// Share of the latency objective for which a call may wait to be filled.
const FILL: f64 = 0.125;
/// First pause after a throttled push that told no wait; doubles with each in a row up to the last.
const PAUSE: Span = Span::from_millis(100);
const LONGEST_PAUSE: Span = Span::from_millis(1_600);
/// The list is asked for again after this share of `ask_every`, doubling a few times.
const FIRST_ASK: f64 = 0.02;
/// Below this much time left nothing is worth sending.
const LEAST_LEFT: Span = Span::from_millis(20);
/// A relay asks to be woken within this, whatever it waits for.
const LONGEST_SLEEP: Span = Span::from_millis(600_000);
/// A returning endpoint that has had its share is asked again after this part of `tip_after`.
const BACK_ASK: f64 = 0.05;
/// Weight of each further notification in a call, for a cold endpoint.
const FURTHER: f64 = 0.25;

// ---- The design's latency fit and restart timer ----

/// How long a call took, or was seen to last at least.
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
    fn of(samples: &VecDeque<Sample>) -> Option<Fit> {
        let newest = samples.back().filter(|_| samples.len() >= WARM_UP)?.at;
        let weight = |s: &Sample| 0.5f64.powf(newest.since(s.at).secs() / HALF_AGE.secs()).max(1e-9);
        let aged: Vec<(f64, &Sample)> = samples.iter().map(|s| (weight(s), s)).collect();
        let total: f64 = aged.iter().map(|a| a.0).sum();
        let mu = aged.iter().map(|(weight, s)| weight * s.ln_secs).sum::<f64>() / total;
        let mut fit = Fit { mu, sigma: 1.0 };
        let rounds = if samples.iter().any(|s| s.censored) { 12 } else { 2 };
        for _ in 0..rounds {
            let (mut first, mut second) = (0.0, 0.0);
            for (weight, s) in &aged {
                let (mean, spread) = if s.censored {
                    let z = (s.ln_secs - fit.mu) / fit.sigma;
                    let beyond = (libm::erfc(z / std::f64::consts::SQRT_2) / 2.0).max(1e-300);
                    let hazard = ((-z * z / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt() / beyond).max(z);
                    let spread = fit.sigma.powi(2) * (1.0 + z * hazard - hazard * hazard).clamp(0.0, 1.0);
                    (fit.mu + fit.sigma * hazard, spread)
                } else {
                    (s.ln_secs, 0.0)
                };
                first += weight * mean;
                second += weight * (mean * mean + spread);
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
#[derive(Default)]
struct Turns {
    settle: Span,
    lines: BTreeMap<String, Line>,
}

impl Turns {
    fn take(&mut self, note: Note, mail: &mut Mail) {
        match note {
            Note::Join(key, ntf, to) => self.lines.entry(key).or_default().waiting.push_back((ntf, to)),
            Note::Leave(key, ntf, doubt) => {
                let Some(line) = self.lines.get_mut(&key) else { return };
                line.granted &= line.waiting.front().is_some_and(|w| w.0 != ntf);
                line.waiting.retain(|w| w.0 != ntf);
                line.rest_until = line.rest_until.max(doubt.map_or(Time::default(), |at| at + self.settle));
            }
            _ => {}
        }
        for line in self.lines.values_mut().filter(|line| !line.granted) {
            let Some(&(ntf, destination)) = line.waiting.front() else { continue };
            if line.rest_until > mail.now {
                mail.alarm(Part::Turns, line.rest_until);
                continue;
            }
            line.granted = true;
            mail.put(Part::Destination(destination), Note::Turn(ntf));
        }
        self.lines.retain(|_, line| !line.waiting.is_empty() || line.rest_until > mail.now);
    }
}

// ---- Endpoint: drains, and health ----

/// A call that is out, or has not all its outcomes.
struct Out {
    at: Time,
    /// For how long nothing had been sent there.
    idle: Span,
    overdue_at: Time,
    ntfs: Vec<NtfId>,
    answered: bool,
}

impl Out {
    fn lost(&self, now: Time) -> bool {
        !self.answered && self.overdue_at <= now
    }
}

#[derive(Default)]
struct Endpoint {
    entry: Entry,
    figures: RuleFigures,
    probes: bool,
    outs: Vec<Out>,
    used: Time,
    /// Latest sends (with weight) and deliveries.
    sent: VecDeque<(Time, f64)>,
    good: VecDeque<Time>,
    /// Failures less deliveries, and the latest: a refusal of a call sent before it says nothing new.
    streak: usize,
    last_bad: Time,
    /// Idle for that long, connections were seen to lose calls, last at the second time.
    stale: Option<(Span, Time)>,
    /// Set aside: the next call or probe not before then.
    aside: Option<Time>,
    /// Proved back at the first time: calls from the second on, doubling with each of so many delivered.
    back: Option<(Time, Time, i32)>,
    /// Notifications a second that this relay got delivered here at best before it was set aside.
    part: f64,
}

impl Endpoint {
    fn take(&mut self, note: Note, mail: &mut Mail) {
        let apart = self.entry.kind.separate_routes.then(|| self.entry.endpoint.clone());
        let lane = Part::Lane((self.entry.destination, apart));
        match note {
            Note::Listed(entry) => self.entry = entry,
            Note::Call(mut call) => {
                let until = self.takes_from(mail.now, call.pushes.len());
                if until > mail.now {
                    return mail.put(Part::Destination(call.destination), Note::Declined(until));
                }
                let stale = self.stale.filter(|(_, seen)| mail.now.since(*seen) < STALE_MEMORY);
                call.fresh = stale.is_some_and(|(span, _)| mail.now.since(self.used) >= span);
                mail.put(lane, Note::Call(call));
            }
            Note::Stale(span) => self.stale = Some((span, mail.now)),
            Note::Sent(call) => {
                let idle = mail.now.since(self.used);
                self.weigh(call.pushes.len(), mail);
                let (at, overdue_at) = (mail.now, mail.now + call.overdue_after);
                mail.alarm(Part::Endpoint(call.endpoint), overdue_at);
                let ntfs = call.pushes.into_iter().map(|push| push.0).collect();
                self.outs.push(Out { at, idle, overdue_at, ntfs, answered: false });
            }
            Note::Outcome(outcome, _) => self.outcome(outcome, lane, mail),
            Note::Probed(status) => {
                self.judge(mail.now, status, None, mail);
                mail.put(Part::Destination(self.entry.destination), Note::Due);
            }
            Note::Due => {
                self.suspect(mail);
                let due = self.aside.is_some_and(|next| mail.now >= next);
                if due && self.probes && self.entry.readiness == Readiness::Serving {
                    self.weigh(1, mail);
                    mail.commands.push(Command::Probe(self.entry.endpoint.clone()));
                }
            }
            _ => {}
        }
    }

    /// Rules: nothing to an endpoint that drains or is gone; after an outage, no more than its part. From when
    /// such a call may go.
    fn takes_from(&self, now: Time, pushes: usize) -> Time {
        let f = &self.figures;
        if self.entry.readiness != Readiness::Serving {
            return Time::NEVER;
        } else if self.outs.last().is_some_and(|o| o.at == now && o.ntfs.len() < self.entry.kind.per_call) {
            // A second call in the same round would be joined to the first.
            return now + Span::from_nanos(1);
        } else if let Some(next) = self.aside {
            // A call still out there tells of the return by itself, and costs no further slot.
            let patience = if self.outs.is_empty() { 0.0 } else { PATIENCE };
            return if self.probes { Time::NEVER } else { next + f.tip_after.times(patience) };
        }
        let Some((since, from, wins)) = self.back.filter(|b| now.since(b.0) < f.cold) else { return now };
        let level = f.cold_from + (1.0 - f.cold_from) * now.since(since).secs() / f.cold.secs();
        let budget = f.fall_multiple * level * self.part * f.tip_after.secs();
        let recent: f64 = self.sent.iter().filter(|s| now.since(s.0) < f.tip_after).map(|s| s.1).sum();
        // One call may always go in a window: a full one weighs more than a small budget for good.
        let spent = recent > 0.0 && recent + weight(pushes) > budget.min(2f64.powi(wins));
        if spent { now + f.tip_after.times(BACK_ASK) } else { from }
    }

    fn weigh(&mut self, pushes: usize, mail: &mut Mail) {
        self.used = mail.now;
        keep(&mut self.sent, (mail.now, weight(pushes)), 2 * SAMPLES);
        if self.aside.is_some() {
            self.put_aside(mail);
        }
    }

    fn put_aside(&mut self, mail: &mut Mail) {
        let next = mail.now + self.figures.tip_after.times(0.75 + mail.chance() / 2.0);
        self.aside = Some(next);
        mail.alarm(Part::Endpoint(self.entry.endpoint.clone()), next);
    }

    fn outcome(&mut self, outcome: Outcome, lane: Part, mail: &mut Mail) {
        let Some(place) = self.outs.iter().position(|out| out.ntfs.contains(&outcome.ntf)) else { return };
        let (out, to) = (&mut self.outs[place], self.entry.destination);
        out.ntfs.retain(|ntf| *ntf != outcome.ntf);
        let (at, first) = (out.at, !std::mem::replace(&mut out.answered, true));
        if out.ntfs.is_empty() {
            self.outs.remove(place);
            mail.put(lane.clone(), Note::Ended(to));
            mail.put(Part::Slots, Note::Ended(to));
        }
        if first {
            self.judge(at, outcome.status, outcome.limit, mail);
        }
        mail.put(lane, Note::Outcome(outcome.clone(), first));
        mail.put(Part::Destination(to), Note::Outcome(outcome, first));
    }

    /// What an outcome, of a call sent at `at`, says of the endpoint's health.
    fn judge(&mut self, at: Time, status: Status, limit: Option<LimitReport>, mail: &mut Mail) {
        let (now, span) = (mail.now, self.figures.tip_after);
        match status {
            Status::Delivered => {
                // Too short for an outage, as far as this relay saw: no reason to hold back.
                let brief = self.good.back().is_some_and(|t| now.since(*t) < span.times(BRIEF));
                let was_aside = self.aside.take().is_some();
                if was_aside && !brief {
                    mail.commands.push(Command::Log(format!("{} is back", self.entry.endpoint.0)));
                    self.back = Some((now, now + span.times(mail.chance() / 3.0), 0));
                } else if let Some((_, _, wins)) = &mut self.back {
                    *wins += 1;
                }
                // Guards against connections that die unseen while idle: a call after an idle spell is lost
                // while the next is answered. All endpoints then get fresh connections.
                let old =
                    |o: &&Out| o.at < at && now.since(o.at) < span.times(PATIENCE) && o.idle >= STALE_LEAST;
                if let Some(out) = self.outs.iter().filter(old).find(|o| o.lost(now)) {
                    mail.put(Part::Book, Note::Stale(out.idle.times(0.9)));
                }
                keep(&mut self.good, now, 2 * SAMPLES);
                self.streak = if was_aside { 0 } else { self.streak.saturating_sub(1) };
            }
            // Above a told limit: no sign of an outage.
            Status::Busy(_) if limit.is_some_and(|l| l.rate > 0.0 && l.left < LOW) => {}
            Status::Skipped => {}
            Status::Busy(_) | Status::Error if self.streak > 0 && at < self.last_bad => {}
            _ => (self.streak, self.last_bad) = (self.streak + 1, now),
        }
        self.suspect(mail);
    }

    /// Guards against silence as well as failures: a call long overdue is evidence before its time-out.
    fn suspect(&mut self, mail: &mut Mail) {
        let (now, span) = (mail.now, self.figures.tip_after);
        let mut signs = self.outs.iter().filter(|o| o.lost(now)).count();
        if let Some(good) = self.good.back().filter(|t| signs > 0 && now.since(**t) < span) {
            mail.alarm(Part::Endpoint(self.entry.endpoint.clone()), *good + span);
            signs = 0;
        }
        if self.aside.is_none() && self.streak + signs >= SUSPECT {
            let ending = |t: &Time| self.good.iter().filter(|g| **g <= *t && t.since(**g) < span).count();
            self.part = self.good.iter().map(ending).max().unwrap_or(0) as f64 / span.secs();
            self.put_aside(mail);
            let (id, part) = (&self.entry.endpoint.0, self.part);
            mail.commands.push(Command::Log(format!("{id} set aside, delivered {part:.1}/s at best")));
        }
    }
}

fn weight(pushes: usize) -> f64 {
    1.0 + FURTHER * pushes.saturating_sub(1) as f64
}

// ---- Lane: waits and limits ----

#[derive(Default)]
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
        let (window, part) = ((slots as f64 / 2.0).max(1.0), 1.0 / relays.max(1) as f64);
        Lane { window, share: (1.5 * part).min(1.0), least_share: 0.5 * part, ..Lane::default() }
    }

    fn take(&mut self, note: Note, mail: &mut Mail) {
        match note {
            Note::Call(call) if self.takes_from() > mail.now => {
                let until = self.takes_from();
                mail.put(Part::Destination(call.destination), Note::Declined(until));
            }
            Note::Call(call) => {
                (self.out, self.last_sent) = (self.out + 1, mail.now);
                if call.fresh {
                    mail.commands.push(Command::CloseIdle(call.endpoint.clone()));
                }
                for &(ntf, time_out) in &call.pushes {
                    mail.commands.push(Command::Push { ntf, endpoint: call.endpoint.clone(), time_out });
                }
                mail.put(Part::Endpoint(call.endpoint.clone()), Note::Sent(call.clone()));
                mail.put(Part::Slots, Note::Sent(call.clone()));
                mail.put(Part::Destination(call.destination), Note::Sent(call));
            }
            Note::Ended(_) => self.out = self.out.saturating_sub(1),
            Note::Outcome(outcome, first) => {
                // The outcomes of a call come in rounds of their own, each with a wait: all bind.
                if let Status::Busy(Some(wait)) = outcome.status {
                    self.wait_until = self.wait_until.max(mail.now + wait);
                }
                if first {
                    self.learn(outcome.status, outcome.limit, mail);
                }
            }
            _ => {}
        }
    }

    /// Rule: nothing while a told wait lasts. Besides, no faster than the limit allows.
    fn takes_from(&self) -> Time {
        if self.out as f64 >= self.window {
            return Time::NEVER;
        }
        let gap = Span::from_secs(if self.rate > 0.0 { 1.0 / (self.rate * self.share) } else { 0.0 });
        (self.last_sent + gap).max(self.wait_until).max(self.pause_until)
    }

    fn learn(&mut self, status: Status, limit: Option<LimitReport>, mail: &mut Mail) {
        if let Some(LimitReport { left, rate }) = limit {
            let step = if left > PLENTY { 1.1 } else { 1.0 } * if left < LOW / 2.0 { 0.9 } else { 1.0 };
            (self.rate, self.share) = (rate, (self.share * step).clamp(self.least_share, 1.0));
        }
        match status {
            Status::Delivered => (self.refused, self.window) = (0, self.window + 1.0 / self.window),
            Status::Busy(_) if mail.now >= self.pause_until => {
                let pause = PAUSE.times(2f64.powi(self.refused.min(8))).min(LONGEST_PAUSE);
                self.pause_until = mail.now + pause.times(0.5 + mail.chance());
                self.refused += 1;
                self.share = (self.share * 0.7).max(self.least_share);
                self.window = (self.window * 0.6).max(1.0);
            }
            Status::Busy(_) | Status::Error | Status::Skipped | Status::Cancelled => {}
            _ => self.window = (self.window * 0.8).max(1.0),
        }
    }
}

// ---- Destination: what goes next, for how long, and when it is given up ----

/// A notification held.
#[derive(Debug, Default)]
struct Held {
    ntf: Notification,
    taken: Time,
    pushes: u32,
    /// It has its turn, or needs none.
    turn: bool,
    /// When and to which zone the push now out was sent; the endpoint of the latest.
    out: Option<(Time, Arc<str>)>,
    last: Option<EndpointId>,
    /// When and to which zone the first push that may have run was sent.
    ran: Option<(Time, Arc<str>)>,
    /// When a push last ended, or was called off, that may still be running.
    doubt: Option<Time>,
    /// Withdrawn: kept only until the push out has its outcome.
    over: bool,
}

impl Held {
    fn again(&self) -> bool {
        self.ntf.topic.effect != Effect::OnceOnly
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

#[derive(Default)]
struct Destination {
    id: DestinationId,
    allowed: Allowance,
    overdue_floor: Span,
    per_call: usize,
    /// Its endpoints, by id, with their zones, and where the rotation stands.
    ends: Vec<(EndpointId, Arc<str>)>,
    next: usize,
    /// Endpoints asked so far for the slot at hand, and from when one that declined may take it.
    asked: usize,
    again: Time,
    held: Vec<Held>,
    samples: VecDeque<Sample>,
    fit: Option<Fit>,
}

impl Destination {
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
            Note::Accepted(ntf) => {
                let key = ntf.key.clone().filter(|_| ntf.topic.ordered);
                let (turn, taken) = (key.is_none(), mail.now);
                key.into_iter().for_each(|key| mail.put(Part::Turns, Note::Join(key, ntf.id, self.id)));
                self.held.push(Held { ntf, taken, turn, ..Held::default() });
            }
            Note::Turn(ntf) => self.held.iter_mut().filter(|h| h.ntf.id == ntf).for_each(|h| h.turn = true),
            Note::Withdrawn(ntf) => {
                let Some(place) = self.held.iter().position(|h| h.ntf.id == ntf) else { return };
                self.held[place].over = true;
            }
            Note::Outcome(outcome, first) => self.outcome(&outcome, first, mail.now),
            Note::Sent(call) => {
                let Some(place) = self.ends.iter().position(|end| end.0 == call.endpoint) else { return };
                self.next = place + 1;
                for held in self.held.iter_mut().filter(|h| call.pushes.iter().any(|p| p.0 == h.ntf.id)) {
                    held.pushes += 1;
                    held.out = Some((mail.now, self.ends[place].1.clone()));
                    held.last = Some(call.endpoint.clone());
                }
            }
            Note::Slot => return self.offer(0, Time::NEVER, mail),
            Note::Declined(until) => return self.offer(self.asked + 1, self.again.min(until), mail),
            Note::Shed => return self.shed(mail),
            _ => {}
        }
        self.tidy(mail);
    }

    /// Gives up what is vain, asks for a slot for what waits, and sees to be woken when time changes that.
    fn tidy(&mut self, mail: &mut Mail) {
        (0..self.held.len()).rev().for_each(|place| self.give_up_if_vain(place, mail));
        let usual = self.median().max(LEAST_LEFT);
        let waiting = || self.held.iter().filter(|h| h.out.is_none() && !h.over);
        let dues = waiting().flat_map(|h| {
            let end = h.ran.as_ref().zip(h.ntf.topic.effect.window()).map(|((at, _), window)| *at + window);
            let filled = Some(self.filled(h)).filter(|_| self.per_call > 1);
            [Some(h.ntf.valid_until - usual + Span::from_nanos(1)), end, filled]
        });
        let next = dues.flatten().filter(|at| *at > mail.now).min();
        next.into_iter().for_each(|at| mail.alarm(Part::Destination(self.id), at));
        if waiting().any(|h| h.turn) {
            mail.put(Part::Slots, Note::Ask(self.id));
        }
    }

    /// Calls off what is overdue, or has `Slots` ask again when something will be.
    fn shed(&mut self, mail: &mut Mail) {
        let after = self.overdue_after();
        for held in self.held.iter_mut().filter(|h| h.again()) {
            match &held.out {
                Some((at, _)) if held.doubt.is_some_and(|doubt| doubt >= *at) => {}
                Some((at, _)) if mail.now < *at + after => mail.alarm(Part::Slots, *at + after),
                Some(_) => {
                    held.doubt = Some(mail.now);
                    mail.commands.push(Command::Cancel { ntf: held.ntf.id, push: held.pushes - 1 });
                }
                None => {}
            }
        }
    }

    /// Asks the next endpoint in rotation for the slot at hand; in a first round, resends go elsewhere.
    fn offer(&mut self, asked: usize, again: Time, mail: &mut Mail) {
        (self.asked, self.again) = (asked, again);
        while self.asked < 2 * self.ends.len() && !self.held.is_empty() {
            let (endpoint, zone) = self.ends[(self.next + self.asked) % self.ends.len()].clone();
            let pushes = self.pick(mail.now, &endpoint, &zone);
            if !pushes.is_empty() {
                let (to, destination) = (Part::Endpoint(endpoint.clone()), self.id);
                let (usual, overdue_after, fresh) = (self.median(), self.overdue_after(), false);
                let call = Call { destination, endpoint, pushes, usual, overdue_after, fresh };
                return mail.put(to, Note::Call(call));
            }
            self.asked += 1;
        }
        mail.put(Part::Slots, Note::Pass(self.id, self.again));
    }

    /// Calls are worth filling: one counts once for the limit and takes one slot. Until when one may wait.
    fn filled(&self, held: &Held) -> Time {
        held.taken + held.ntf.topic.objective.times(FILL)
    }

    /// What goes to an endpoint next: first what can still meet its objective.
    fn pick(&self, now: Time, to: &EndpointId, zone: &Arc<str>) -> Vec<(NtfId, Span)> {
        let elsewhere = self.asked < self.ends.len();
        let mut ready: Vec<&Held> = self.held.iter().filter(|h| h.turn).collect();
        ready.retain(|h| h.may_run(now, Some(zone), self.allowed.pushes));
        ready.retain(|h| !(elsewhere && h.last.as_ref() == Some(to)));
        if ready.len() < self.per_call && ready.iter().all(|h| now < self.filled(h)) {
            return Vec::new();
        }
        ready.sort_by_key(|h| now.since(h.taken) + self.median() > h.ntf.topic.objective);
        ready.truncate(self.per_call);
        ready.iter().map(|h| (h.ntf.id, self.time_out(now, h))).collect()
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
        // Guards against a fit that lags: where restarts do not pay they only cut calls that are nearly done.
        let vain = self.samples.iter().rev().take(RECENT).filter(|s| s.censored).count() * 2 >= RECENT;
        let pushes = if held.again() && !vain { self.allowed.pushes - held.pushes } else { 1 };
        self.fit.map_or(left, |fit| fit.time_out(left, pushes))
    }

    fn outcome(&mut self, o: &Outcome, first: bool, now: Time) {
        // Throttled pushes and refused connections tell nothing of latency.
        if first && matches!(o.status, Status::Delivered | Status::TimedOut | Status::Cancelled) {
            let (ln_secs, censored) = (o.spent.secs().max(1e-4).ln(), o.status != Status::Delivered);
            keep(&mut self.samples, Sample { at: now, ln_secs, censored }, SAMPLES);
            self.fit = Fit::of(&self.samples);
        }
        let Some(place) = self.held.iter().position(|h| h.ntf.id == o.ntf) else { return };
        let held = &mut self.held[place];
        let sent = held.out.take();
        if o.status.may_have_run() {
            held.ran = held.ran.take().or(sent);
        }
        if o.status.may_be_running() {
            held.doubt = Some(now);
        }
        held.over |= o.settled;
    }

    /// The design's cutoff, and rule: one final answer in time. What cannot go out again, or has less time
    /// left than a usual call takes, is answered at once.
    fn give_up_if_vain(&mut self, place: usize, mail: &mut Mail) {
        let (held, usual) = (&self.held[place], self.median().max(LEAST_LEFT));
        if held.over && held.out.is_none() {
            return self.release(place, mail);
        }
        let lives = mail.now + usual <= held.ntf.valid_until;
        if held.out.is_some() || lives && held.may_run(mail.now, None, self.allowed.pushes) {
            return;
        }
        let (ntf, retry_in) = (held.ntf.id, self.allowed.longest_retry.min(usual));
        let throttle = held.ran.is_none();
        mail.commands.push(if throttle { Command::Throttle { ntf, retry_in } } else { Command::Expire(ntf) });
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

/// When a call began, when it ended, and how long it was likely to last.
type Lasted = (Time, Option<Time>, Span);

#[derive(Default)]
struct Slots {
    total: usize,
    open: usize,
    /// A slot has been offered and neither taken nor passed yet.
    offered: bool,
    /// Each destination's calls of late.
    calls: BTreeMap<DestinationId, VecDeque<Lasted>>,
    /// Destinations with something to send, and from when it may go.
    waiting: BTreeMap<DestinationId, Time>,
}

impl Slots {
    fn take(&mut self, note: Note, mail: &mut Mail) {
        let now = mail.now;
        match note {
            Note::Ask(destination) => drop(self.waiting.insert(destination, now)),
            Note::Pass(destination, until) => {
                self.offered = false;
                self.waiting.insert(destination, until);
                mail.alarm(Part::Slots, until);
            }
            Note::Sent(c) => {
                (self.open, self.offered) = (self.open + 1, false);
                self.waiting.remove(&c.destination);
                self.calls.entry(c.destination).or_default().push_back((now, None, c.usual));
            }
            Note::Ended(destination) => {
                let mut calls = self.calls.get_mut(&destination).into_iter().flatten();
                if let Some(call) = calls.find(|c| c.1.is_none()) {
                    (call.1, self.open) = (Some(now), self.open - 1);
                }
            }
            _ => {}
        }
        let waiting = self.waiting.iter().filter(|(_, from)| **from <= now).map(|w| *w.0);
        if self.open < self.total && !self.offered {
            // The design's choice: least slot time within memory, calls still out included. These count with
            // what they are likely to take, or a slow destination is given all slots before it has spent any.
            let until = |c: &Lasted| c.1.unwrap_or(now.max(c.0 + c.2));
            let spent = |c: &Lasted| until(c).since(c.0.max(now - SLOT_MEMORY)).nanos();
            let spent = |id: &DestinationId| self.calls.get(id).into_iter().flatten().map(spent).sum::<u64>();
            let next = waiting.min_by_key(|id| (spent(id), *id));
            self.offered = next.is_some();
            next.into_iter().for_each(|id| mail.put(Part::Destination(id), Note::Slot));
        } else if self.open >= self.total && waiting.count() > 0 {
            // Guards against silent and jammed destinations that take every slot for their long time-outs.
            self.calls.retain(|_, calls| {
                calls.retain(|c| c.1.is_none_or(|end| now.since(end) < SLOT_MEMORY));
                !calls.is_empty()
            });
            let out = self.calls.iter().filter(|(_, calls)| calls.iter().any(|c| c.1.is_none()));
            out.for_each(|(id, _)| mail.put(Part::Destination(*id), Note::Shed));
        }
    }
}

// ---- Book: the list of endpoints ----

#[derive(Default)]
struct Book {
    ask_every: Span,
    entries: BTreeMap<EndpointId, Entry>,
    failures: i32,
    /// It will ask again.
    pausing: bool,
}

impl Book {
    fn take(&mut self, note: Note, mail: &mut Mail) {
        match note {
            Note::News(News::Broken) if !self.pausing => {
                // Guards against a list that is out of reach or overrun: ask again, ever later, never in step.
                let pause = self.ask_every.times(FIRST_ASK * 2f64.powi(self.failures.min(4)));
                let at = mail.now + pause.times(0.5 + mail.chance());
                mail.alarm(Part::Book, at);
                (self.pausing, self.failures) = (true, self.failures + 1);
            }
            Note::News(News::Changes(entries)) => self.merge(entries, mail),
            Note::News(News::Whole(mut entries)) => {
                let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint.clone()).collect();
                let gone = self.entries.values().filter(|old| !named.contains(&old.endpoint));
                entries.extend(gone.map(|old| Entry { readiness: Readiness::Deleted, ..old.clone() }));
                self.merge(entries, mail);
            }
            Note::Stale(span) => {
                self.entries.keys().for_each(|id| mail.put(Part::Endpoint(id.clone()), Note::Stale(span)));
            }
            Note::Due => {
                self.pausing = false;
                mail.commands.push(Command::Subscribe);
            }
            _ => {}
        }
    }

    fn merge(&mut self, entries: Vec<Entry>, mail: &mut Mail) {
        self.failures = 0;
        for entry in
            entries.into_iter().filter(|e| self.entries.get(&e.endpoint) != Some(e)).collect::<Vec<_>>()
        {
            self.entries.insert(entry.endpoint.clone(), entry.clone());
            mail.put(Part::Endpoint(entry.endpoint.clone()), Note::Listed(entry.clone()));
            mail.put(Part::Destination(entry.destination), Note::Listed(entry));
        }
        self.entries.retain(|_, entry| entry.readiness != Readiness::Deleted);
    }
}

// ---- The relay: the loop ----

/// A relay's decisions. It knows only its own events, its clock and its seed.
#[derive(Default)]
pub struct Relay {
    fleet: Fleet,
    allowed: Allowance,
    figures: RuleFigures,
    /// When the next wake-up asked for is due.
    wake: Time,
    mail: Mail,
    book: Book,
    turns: Turns,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    lanes: BTreeMap<LaneId, Lane>,
    destinations: BTreeMap<DestinationId, Destination>,
    slots: Slots,
}

impl Relay {
    /// A relay that has just started and knows nothing yet.
    pub fn new(now: Time, seed: u64, fleet: Fleet, allowed: Allowance, figures: RuleFigures) -> Self {
        let mut mail = Mail::new(seed);
        if fleet.list_on_request {
            mail.alarm(Part::Book, now);
        }
        Relay {
            fleet,
            allowed,
            figures,
            mail,
            book: Book { ask_every: figures.ask_every, ..Book::default() },
            turns: Turns { settle: figures.settle, ..Turns::default() },
            slots: Slots { total: allowed.slots, ..Slots::default() },
            ..Relay::default()
        }
    }

    /// Takes all that happened up to `now` and gives the commands that follow from it.
    pub fn handle(&mut self, now: Time, events: Vec<Event>) -> Vec<Command> {
        self.mail.begin(now);
        self.settle();
        for event in events {
            let (part, note) = match event {
                Event::List(news) => (Part::Book, Note::News(news)),
                Event::Accepted(ntf) => (Part::Destination(ntf.destination), Note::Accepted(ntf)),
                Event::Ended(outcome) => {
                    (Part::Endpoint(outcome.endpoint.clone()), Note::Outcome(outcome, false))
                }
                Event::Withdrawn(ntf) => {
                    let holder = self.destinations.values().find(|d| d.held.iter().any(|h| h.ntf.id == ntf));
                    let Some(holder) = holder else { continue };
                    (Part::Destination(holder.id), Note::Withdrawn(ntf))
                }
                Event::Probed { endpoint, status, .. } => (Part::Endpoint(endpoint), Note::Probed(status)),
                Event::Woken => continue,
            };
            self.mail.put(part, note);
            self.settle();
        }
        // Each part says when time alone next changes something for it; a wake-up not yet due will do.
        let next = self.mail.next_alarm().min(now + LONGEST_SLEEP);
        if self.wake <= now || next < self.wake {
            self.wake = next;
            self.mail.commands.push(Command::Wake(next.since(now)));
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
                    if matches!(note, Note::Listed(_)) {
                        let new = || Endpoint { figures, probes: allowed.probes, ..Endpoint::default() };
                        self.endpoints.entry(id.clone()).or_insert_with(new);
                    }
                    let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
                    endpoint.take(note, mail);
                    if endpoint.entry.readiness == Readiness::Deleted && endpoint.outs.is_empty() {
                        self.lanes.remove(&(endpoint.entry.destination, Some(id.clone())));
                        self.endpoints.remove(&id);
                    }
                }
                Part::Destination(id) => {
                    let overdue_floor = figures.tip_after.times(OVERDUE_FLOOR);
                    let new = || Destination { id, allowed, overdue_floor, ..Destination::default() };
                    self.destinations.entry(id).or_insert_with(new).take(note, mail);
                }
            }
        }
    }
}
