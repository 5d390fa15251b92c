//! All decisions of a relay, for [`crate::Relay`]; no I/O, no wire. `docs/design.md` says why. Parts have
//! inboxes and talk only by notes (`mail.rs`), which one loop (`relay.rs`) hands out. A send passes them in
//! turn: `Slots` offers a slot to a `Destination`, which picks notifications (cutoff, effects, order)
//! and asks an `Endpoint` (drains, health), which asks its `Lane` (waits, limits, returns), which pushes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::interface::{
    Command, DestinationId, Effect, EndpointId, Entry, Group, LimitReport, News, Notification, NtfId,
    Outcome, Past, Readiness, Status, Terms,
};
use crate::mail::{Call, Mail, Note, Part, keep};
use crate::time::{Span, Time};

/// Latencies kept of each destination, and the age at which one counts half.
const SAMPLES: usize = 32;
const HALF_AGE: Span = Span::from_millis(8_000);
/// Calls seen before the fit is trusted.
const WARM_UP: usize = 5;
/// A destination's latencies vary at least this much (standard deviation of the logarithm).
const SIGMA_FLOOR: f64 = 0.25;
const SLOT_MEMORY: Span = Span::from_millis(10_000);
/// Signs of trouble (failures less deliveries, calls overdue) that set an endpoint aside.
const SUSPECT: usize = 3;
/// A report with less of the limit left speaks of the limit.
const LOW: f64 = 0.2;
/// Trouble with less than so many `tip_after` between two deliveries is no outage.
const BRIEF: f64 = 2.0;
/// With calls still out at an endpoint set aside, the next follows so many `tip_after` later.
const PATIENCE: f64 = 3.0;
/// After an outage all relays together may always send so many calls in `tip_after`, each an equal part.
const LEAST: f64 = 9.0;
/// What was handed in counts for so many times the cold time.
const MEMORY: f64 = 2.0;
/// What was seen of idle connections holds for so long.
const STALE_MEMORY: Span = Span::from_millis(30_000);
/// Overdue: so many times what nine in ten stay under, this share of `tip_after` at least (or if few known).
const OVERDUE: f64 = 2.5;
const OVERDUE_FLOOR: f64 = 0.5;
const OVERDUE_UNKNOWN: f64 = 2.0;
/// Share of the objective or a shorter TTL, less so many usual calls, for which a call may wait to be filled.
const FILL: f64 = 0.5;
const USUAL_CALLS: f64 = 2.0;
/// First pause after a refusal that told no wait: at the least, in calls of the told limit, and its growth.
const PAUSE: Span = Span::from_millis(100);
const REFUSED: f64 = 3.0;
const GROWTH: f64 = 16.0;
/// Pace: growth with a refusal, with one that told a wait, the most in equal parts, and what left keeps it.
const BACK_OFF: f64 = 2.0;
const TOLD_BACK_OFF: f64 = 8.0;
const MOST: f64 = 4.0;
const HALF_LEFT: f64 = 0.5;
/// What a delivery says is left of a listed rate, where no limit is told in answers.
const LEFT_UNTOLD: f64 = 0.75;
/// The list is asked for again after this share of `ask_every`.
const FIRST_ASK: f64 = 0.02;
/// With no slots any more, before a planned restart, the next process can push so much later.
const NEXT_LIFE: Span = Span::from_millis(2_300);
/// Below this much time left nothing is worth sending.
const LEAST_LEFT: Span = Span::from_millis(20);
/// A copy goes so long before its window ends, to arrive in it over a connection that is still to be opened.
const ARRIVAL: Span = Span::from_millis(200);
/// Weight of each further notification in a call, for a cold endpoint.
const FURTHER: f64 = 0.25;

// ---- The design's latency fit and restart timer ----

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

    /// The logarithm of the chance that evenly spaced pushes all miss: the chance itself saturates.
    fn ln_miss(&self, left: Span, pushes: u32) -> f64 {
        let z = (((left.secs() / f64::from(pushes)).ln() - self.mu) / self.sigma).min(36.0);
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
pub(crate) struct Turns {
    lines: BTreeMap<String, Line>,
}

impl Turns {
    pub(crate) fn take(&mut self, note: Note, settle: Span, mail: &mut Mail) {
        match note {
            Note::Join(key, ntf, to) => self.lines.entry(key).or_default().waiting.push_back((ntf, to)),
            Note::Leave(key, ntf, doubt) => {
                let Some(line) = self.lines.get_mut(&key) else { return };
                line.granted &= line.waiting.front().is_some_and(|w| w.0 != ntf);
                line.waiting.retain(|w| w.0 != ntf);
                line.rest_until = line.rest_until.max(doubt.map_or(Time::default(), |at| at + settle));
            }
            _ => {}
        }
        for line in self.lines.values_mut().filter(|line| !line.granted) {
            if line.rest_until > mail.now {
                mail.alarm(Part::Turns, line.rest_until);
            } else if let Some(&(ntf, destination)) = line.waiting.front() {
                line.granted = true;
                mail.put(Part::Destination(destination), Note::Turn(ntf));
            }
        }
        self.lines.retain(|_, line| !line.waiting.is_empty() || line.rest_until > mail.now);
    }
}

// ---- Endpoint: drains, connections, and health ----

/// A call that is out, or has not all its outcomes.
struct Out {
    to: DestinationId,
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
pub(crate) struct Endpoint {
    pub(crate) terms: Arc<Terms>,
    entry: Entry,
    outs: Vec<Out>,
    used: Time,
    delivered: Option<Time>,
    /// Failures less deliveries, and when a connection was first refused since the last of these.
    streak: usize,
    refused: Option<Time>,
    /// Connections are not to be idle for that long, as last told at the second time.
    stale: Option<(Span, Time)>,
    /// Set aside: the next call not before then.
    aside: Option<Time>,
    /// The gap between this relay's calls in an outage, were all of the capacity there.
    gap: Span,
}

impl Endpoint {
    pub(crate) fn new(terms: Arc<Terms>) -> Self {
        Endpoint { terms, ..Endpoint::default() }
    }

    pub(crate) fn gone(&self) -> bool {
        self.entry.readiness == Readiness::Deleted && self.outs.is_empty()
    }

    pub(crate) fn take(&mut self, note: Note, mail: &mut Mail) {
        match note {
            Note::Listed(entry) => self.entry = entry,
            Note::Call(mut call) => {
                call.rate = self.rate();
                self.gap = call.gaps.0;
                let until = self.takes_from(mail.now);
                if until > mail.now {
                    return mail.put(Part::Destination(call.destination), Note::Declined(until));
                }
                call.fresh = self.stale(mail.now).is_some_and(|span| mail.now.since(self.used) >= span);
                mail.put(Part::Lane(call.destination), Note::Call(call));
            }
            Note::Stale(span, _) => {
                self.stale = Some((self.stale(mail.now).map_or(span, |known| known.min(span)), mail.now));
                mail.commands.push(Command::CloseIdle(self.entry.endpoint.clone()));
            }
            Note::Sent(call) => {
                let (to, at, idle) = (call.destination, mail.now, mail.now.since(self.used));
                self.used = at;
                self.aside = self.aside.map(|_| self.next_trial(mail));
                let overdue_at = at + call.overdue;
                mail.alarm(Part::Endpoint(call.endpoint), overdue_at);
                let ntfs = call.pushes.into_iter().map(|push| push.0).collect();
                self.outs.push(Out { to, at, idle, overdue_at, ntfs, answered: false });
            }
            Note::Outcome(outcome, _) => self.outcome(outcome, mail),
            Note::Told(wait) => {
                mail.put(Part::Lane(self.entry.destination), Note::Told(wait));
                mail.put(Part::Destination(self.entry.destination), Note::Recall);
            }
            _ => self.suspect(mail),
        }
    }

    /// The rate to go by that the list gives, in calls a second over all relays; zero if there is none.
    fn rate(&self) -> f64 {
        if self.terms.fleet.rates_listed { self.entry.rate } else { 0.0 }
    }

    fn stale(&self, now: Time) -> Option<Span> {
        self.stale.filter(|(_, told)| now.since(*told) < STALE_MEMORY).map(|(span, _)| span)
    }

    /// Rule: nothing to an endpoint that drains or is gone. From when a call may go.
    fn takes_from(&self, now: Time) -> Time {
        if self.entry.readiness != Readiness::Serving {
            Time::NEVER
        } else if self.outs.last().is_some_and(|o| o.at == now && o.ntfs.len() < self.entry.kind.per_call) {
            // A second call in the same round would be joined to the first.
            now + Span::from_nanos(1)
        } else if let Some(next) = self.aside {
            // A call still out there tells of the return by itself, and costs no further slot.
            let patience = if self.outs.is_empty() { 0.0 } else { PATIENCE };
            next + self.terms.figures.tip_after.times(patience)
        } else {
            now
        }
    }

    fn next_trial(&self, mail: &mut Mail) -> Time {
        let gap = self.gap.times(1.0 / self.terms.figures.cold_from).max(self.terms.figures.tip_after);
        mail.now + gap.times(0.75 + mail.chance() / 2.0)
    }

    fn outcome(&mut self, outcome: Outcome, mail: &mut Mail) {
        let Some(place) = self.outs.iter().position(|out| out.ntfs.contains(&outcome.ntf)) else { return };
        let out = &mut self.outs[place];
        out.ntfs.retain(|ntf| *ntf != outcome.ntf);
        let (to, at, seldom) = (out.to, out.at, out.idle > self.terms.allowance.idle);
        let first = !std::mem::replace(&mut out.answered, true);
        if out.ntfs.is_empty() {
            self.outs.remove(place);
            mail.put(Part::Lane(to), Note::Ended(to));
            mail.put(Part::Slots, Note::Ended(to));
            // Guards against few connections, full of idle ones: where short, or this relay comes too seldom.
            if seldom || self.stale(mail.now) == Some(Span::ZERO) {
                mail.commands.push(Command::CloseIdle(self.entry.endpoint.clone()));
            }
        }
        if first {
            // Guards against calls whose connections are not up yet: they would go in the wait that was told.
            outcome.wait.iter().for_each(|_| mail.put(Part::Destination(to), Note::Recall));
            self.judge(at, outcome.status, outcome.limit, mail);
        }
        mail.put(Part::Lane(to), Note::Outcome(outcome.clone(), first));
        mail.put(Part::Destination(to), Note::Outcome(outcome, first));
    }

    /// What an outcome, of a call sent at `at`, says of the endpoint's health.
    fn judge(&mut self, at: Time, status: Status, limit: Option<LimitReport>, mail: &mut Mail) {
        let (now, span) = (mail.now, self.terms.figures.tip_after);
        let sign = match status {
            Status::Delivered => {
                // Too short for an outage, as far as this relay saw: no reason to hold back.
                let brief = self.delivered.is_some_and(|t| now.since(t) < span.times(BRIEF));
                let was_aside = self.aside.take().is_some();
                // One connection refused some time ago will do: of many relays most see no more of it.
                let refused = self.refused.take();
                let down = refused.is_some_and(|at| now.since(at) >= span.times(BRIEF));
                if (was_aside || down) && !brief {
                    mail.commands.push(Command::Log(format!("{} is back", self.entry.endpoint.0)));
                    mail.put(Part::Lane(self.entry.destination), Note::Back(now, was_aside));
                }
                // Guards against connections that die unseen while idle: then all endpoints get fresh ones.
                let idle = span.times(OVERDUE_FLOOR);
                let mut lost = self.outs.iter().filter(|o| o.lost(now) && o.at < at && o.idle >= idle);
                if let Some(out) = lost.next_back().filter(|o| now.since(o.at) < span.times(PATIENCE)) {
                    mail.put(Part::Book, Note::Stale(out.idle.times(0.9), None));
                }
                // Refused before it answers, one that is up is short of connections.
                if refused.is_some() && !down && !was_aside {
                    self.short_of_connections(mail);
                }
                self.delivered = Some(now);
                self.streak = if was_aside { 0 } else { self.streak.saturating_sub(1) };
                false
            }
            // Above a limit, or up, as a call shows that is out and not lost: no sign of an outage.
            Status::Busy if limit.map_or(self.rate() > 0.0, LimitReport::is_used_up) => false,
            Status::NoConnection => self.outs.iter().all(|o| o.lost(now)),
            Status::Crowded => {
                self.short_of_connections(mail);
                false
            }
            _ => status != Status::Skipped,
        };
        self.refused = self.refused.or((status == Status::NoConnection).then_some(now));
        self.streak += usize::from(sign);
        self.suspect(mail);
    }

    /// Guards against few connections, which many relays fill with idle ones: at this kind none is left idle.
    fn short_of_connections(&self, mail: &mut Mail) {
        if self.stale(mail.now) != Some(Span::ZERO) {
            mail.put(Part::Book, Note::Stale(Span::ZERO, Some(self.entry.kind.clone())));
        }
    }

    /// Guards against silence as well as failures: a call long overdue is evidence before its time-out.
    fn suspect(&mut self, mail: &mut Mail) {
        let (now, span) = (mail.now, self.terms.figures.tip_after);
        let mut lost = self.outs.iter().filter(|o| o.lost(now)).count();
        if let Some(good) = self.delivered.filter(|t| lost > 0 && now.since(*t) < span) {
            mail.alarm(Part::Endpoint(self.entry.endpoint.clone()), good + span);
            lost = 0;
        }
        if self.aside.is_none() && self.streak + lost >= SUSPECT {
            self.aside = Some(self.next_trial(mail));
            mail.commands.push(Command::Log(format!("{} set aside", self.entry.endpoint.0)));
        }
    }
}

/// A pause that grows eightfold with each in a row; chance keeps many from coming back in step.
fn pause(first: Span, times: i32, longest: Span, mail: &mut Mail) -> Span {
    let longest = longest.max(first.times(GROWTH));
    first.times(8f64.powi(times.min(8))).min(longest).times(0.5 + mail.chance())
}

// ---- Lane: waits, limits, and returns ----

impl LimitReport {
    /// Whether there is a limit, and next to nothing left of it.
    fn is_used_up(self) -> bool {
        self.rate > 0.0 && self.left < LOW
    }
}

#[derive(Default)]
pub(crate) struct Lane {
    pub(crate) terms: Arc<Terms>,
    wait_until: Time,
    pause_until: Time,
    /// Calls out, and how many may be, by what the lane has shown lately.
    out: usize,
    window: f64,
    last_sent: Time,
    /// The limit, told or else listed, in calls a second over all relays; and refusals in a row.
    rate: f64,
    told: bool,
    refused: i32,
    /// The gap that this relay keeps between its calls, by what it was told of the limit.
    pace: Span,
    handed: (f64, Span),
    gap: Span,
    /// Back at the first time: calls from the second on, doubling with each of so many delivered.
    back: Option<(Time, Time, i32)>,
}

impl Lane {
    pub(crate) fn new(terms: Arc<Terms>) -> Self {
        Lane { window: (terms.allowance.slots as f64 / 2.0).max(1.0), terms, ..Lane::default() }
    }

    pub(crate) fn take(&mut self, note: Note, mail: &mut Mail) {
        match note {
            Note::Call(call) => {
                (self.gap, self.handed) = (call.gaps.1, call.handed);
                self.rate = if self.told { self.rate } else { call.rate };
                let until = self.takes_from(mail.now, call.pushes.len());
                if until > mail.now {
                    return mail.put(Part::Destination(call.destination), Note::Declined(until));
                }
                (self.out, self.last_sent) = (self.out + 1, mail.now);
                if call.fresh {
                    mail.commands.push(Command::CloseIdle(call.endpoint.clone()));
                }
                for &(ntf, time_out, send_within) in &call.pushes {
                    let endpoint = call.endpoint.clone();
                    mail.commands.push(Command::Push { ntf, endpoint, time_out, send_within });
                }
                mail.put(Part::Endpoint(call.endpoint.clone()), Note::Sent(call.clone()));
                mail.put(Part::Slots, Note::Sent(call.clone()));
                mail.put(Part::Destination(call.destination), Note::Sent(call));
            }
            Note::Told(wait) => self.wait_until = self.wait_until.max(mail.now + wait),
            Note::Ended(_) => self.out = self.out.saturating_sub(1),
            Note::Back(at, apart) => {
                let most = if apart { self.part().min(self.terms.figures.cold) } else { Span::ZERO };
                self.back = Some((at, at + most.times(mail.chance()), 0));
            }
            Note::Outcome(outcome, first) => {
                if let Some(wait) = outcome.wait {
                    self.wait_until = self.wait_until.max(mail.now + wait);
                    // Guards against all who were told when it opens: they would come back at the same time.
                    let limited = outcome.limit.map_or(self.rate, |limit| limit.rate) > 0.0;
                    if first && !(limited && wait < self.terms.figures.tip_after.times(BRIEF)) {
                        self.take(Note::Back(self.wait_until, true), mail);
                    }
                }
                if first {
                    self.learn(&outcome, mail);
                }
            }
            _ => {}
        }
    }

    /// Rules: nothing in a told wait; after an outage, no more than its part. From when a call may go.
    fn takes_from(&self, now: Time, pushes: usize) -> Time {
        if self.out as f64 >= self.window {
            return Time::NEVER;
        }
        let f = &self.terms.figures;
        let next = self.last_sent + self.calls(1.0).max(self.pace);
        let next = next.max(self.wait_until).max(self.pause_until);
        let back = self.back.filter(|back| now.since(back.0) < f.cold);
        let Some((since, from, wins)) = back else { return next };
        let level = f.cold_from + (1.0 - f.cold_from) * now.since(since).secs() / f.cold.secs();
        let gap = self.gap.times(1.0 / level).max(f.tip_after.times(0.5f64.powi(wins)));
        let weight = 1.0 + FURTHER * pushes.saturating_sub(1) as f64;
        next.max(from).max(self.last_sent + gap.times(weight))
    }

    /// The gap between this relay's calls right after an outage.
    fn part(&self) -> Span {
        self.gap.times(1.0 / self.terms.figures.cold_from)
    }

    /// How long the told limit takes for so many calls; where none is told, no time.
    fn calls(&self, count: f64) -> Span {
        if self.rate > 0.0 { Span::from_secs(count / self.rate) } else { Span::ZERO }
    }

    fn learn(&mut self, outcome: &Outcome, mail: &mut Mail) {
        let (status, limit, wait) = (outcome.status, outcome.limit, outcome.wait.unwrap_or_default());
        (self.rate, self.told) = limit.map_or((self.rate, self.told), |limit| (limit.rate, true));
        let above = limit.map_or(self.rate > 0.0 && wait > Span::ZERO, LimitReport::is_used_up);
        match status {
            // Above the limit: what is refused uses it up too, so all that are must come more rarely.
            Status::Busy if mail.now >= self.pause_until && above => {
                let equal = self.calls(self.terms.fleet.relays as f64);
                // A told wait says by how much: all who were told come back at its end, and use it up again.
                let (own, grows) = match limit {
                    Some(_) => ((self.handed.1 + equal).times(1.0 / self.handed.0).min(equal), BACK_OFF),
                    None => (self.calls(REFUSED).max(wait.times(BACK_OFF)), TOLD_BACK_OFF),
                };
                self.pace = self.pace.times(grows).max(own).min(equal.times(MOST).max(own));
                self.pause_until = mail.now + self.pace.times(0.5 + mail.chance());
                if limit.is_none() {
                    self.pause(status, 2, mail);
                }
            }
            Status::Delivered => {
                if self.rate > 0.0 {
                    let left = limit.map_or(LEFT_UNTOLD, |limit| limit.left);
                    self.pace = self.pace.times(2f64.powf(HALF_LEFT - left));
                }
                (self.refused, self.window) = (0, self.window + 1.0 / self.window);
                self.back = self.back.map(|(since, from, wins)| (since, from, wins + 1));
            }
            Status::Busy | Status::NoConnection | Status::Crowded if mail.now >= self.pause_until => {
                // A full table of connections refuses at once, one that cannot be reached does not.
                let at_once = outcome.spent < self.terms.figures.tip_after.times(OVERDUE_FLOOR);
                let mild = if status == Status::Busy { limit.is_some_and(|l| l.rate > 0.0) } else { at_once };
                self.pause(status, if mild { 1 } else { 2 }, mail);
                self.window = (self.window * 0.6).max(1.0);
            }
            Status::TimedOut | Status::Reset => self.window = (self.window * 0.95).max(1.0),
            _ => {}
        }
    }

    /// A relay that sees little cannot tell a limit from an outage, after which all count: ever more rarely.
    fn pause(&mut self, status: Status, grows: i32, mail: &mut Mail) {
        let first = PAUSE.max(self.calls(REFUSED));
        let longest = match status {
            Status::Crowded => Span::ZERO,
            // No limit is spoken of, so nothing is lost by keeping to the part in full.
            Status::NoConnection => self.part(),
            _ => self.part().min(self.terms.figures.cold),
        };
        let until = mail.now + pause(first, grows * self.refused, longest, mail);
        self.pause_until = self.pause_until.max(until);
        self.refused += 1;
    }
}

// ---- Destination: what goes next, for how long, and when it is given up ----

#[derive(Debug, Default)]
struct Held {
    ntf: Notification,
    /// What was done with it, before a restart too. Once ended, the next of its key waits till it was heard.
    past: Past,
    taken: Time,
    turn: bool,
    /// When and to which zone the push now out was sent; the endpoint of the latest.
    out: Option<(Time, Arc<str>)>,
    last: Option<EndpointId>,
    over: bool,
}

impl Held {
    fn again(&self) -> bool {
        self.ntf.topic.effect != Effect::OnceOnly
    }

    /// When the window for copies ends, once a push may have run.
    fn closes(&self) -> Option<Time> {
        self.past.ran.as_ref().zip(self.ntf.topic.effect.window()).map(|(ran, window)| ran.0 + window)
    }

    /// Rule: no effect twice. Every send passes here.
    fn may_run(&self, now: Time, zone: Option<&Arc<str>>, most: u32) -> bool {
        let effect = match (&self.past.ran, self.ntf.topic.effect) {
            (None, _) | (Some(_), Effect::Repeatable) => true,
            (Some(_), Effect::OnceOnly) => false,
            (Some((_, first)), Effect::Collapsible { group, .. }) => {
                let open = self.closes().is_some_and(|end| now + ARRIVAL < end);
                open && (group == Group::All || zone.is_none_or(|zone| zone == first))
            }
        };
        effect && self.past.pushes < most && !self.over && self.out.is_none()
    }
}

#[derive(Default)]
pub(crate) struct Destination {
    pub(crate) terms: Arc<Terms>,
    id: DestinationId,
    per_call: usize,
    /// Its endpoints, by id, with their zones, and where the rotation stands.
    ends: Vec<(EndpointId, Arc<str>)>,
    next: usize,
    /// Endpoints asked so far for the slot at hand, and from when one that declined may take it.
    asked: usize,
    again: Time,
    held: Vec<Held>,
    /// When it was handed notifications of late, and since when that is known.
    handed: VecDeque<Time>,
    born: Option<Time>,
    samples: VecDeque<Sample>,
    fit: Option<Fit>,
    /// What may have run without a delivery since, by endpoint and topic type: how often, and when last.
    failing: BTreeMap<(EndpointId, String), (u32, Time)>,
}

impl Destination {
    pub(crate) fn new(id: DestinationId, terms: Arc<Terms>) -> Self {
        Destination { id, terms, ..Destination::default() }
    }

    pub(crate) fn holds(&self, ntf: NtfId) -> bool {
        self.held.iter().any(|held| held.ntf.id == ntf)
    }

    pub(crate) fn take(&mut self, note: Note, mail: &mut Mail) {
        self.born = self.born.or(Some(mail.now));
        match note {
            Note::Listed(entry) => {
                self.per_call = entry.kind.per_call.max(1);
                self.ends.retain(|end| end.0 != entry.endpoint);
                if entry.readiness == Readiness::Serving {
                    self.ends.push((entry.endpoint, entry.zone));
                    self.ends.sort();
                }
                self.failing.retain(|key, _| self.ends.iter().any(|end| end.0 == key.0));
            }
            Note::Accepted(ntf) => {
                let key = ntf.key.clone().filter(|_| ntf.topic.ordered);
                let (turn, taken) = (key.is_none(), mail.now);
                key.into_iter().for_each(|key| mail.put(Part::Turns, Note::Join(key, ntf.id, self.id)));
                let (past, over) = (ntf.past.clone(), ntf.past.ended);
                self.held.push(Held { ntf, past, taken, turn, over, ..Held::default() });
                self.handed.push_back(taken);
                self.handed.retain(|at| taken.since(*at) < self.terms.figures.cold.times(MEMORY));
            }
            Note::Turn(id) => self.change(id, |held| held.turn = true),
            Note::Withdrawn(id) => self.change(id, |held| held.over = true),
            Note::Heard(id) => self.change(id, |held| held.past.ended = false),
            Note::Outcome(outcome, first) => self.outcome(&outcome, first, mail.now),
            Note::Recall => self.ends.iter().for_each(|e| mail.commands.push(Command::Recall(e.0.clone()))),
            Note::Sent(call) => {
                let Some(place) = self.ends.iter().position(|end| end.0 == call.endpoint) else { return };
                self.next = place + 1;
                for held in self.held.iter_mut().filter(|h| call.pushes.iter().any(|p| p.0 == h.ntf.id)) {
                    held.past.pushes += 1;
                    held.out = Some((mail.now, self.ends[place].1.clone()));
                    held.last = Some(call.endpoint.clone());
                }
            }
            Note::Slot => return self.offer(0, Time::NEVER, mail),
            Note::Declined(until) => return self.offer(self.asked + 1, self.again.min(until), mail),
            Note::Pass(_, until) => return self.offer(2 * self.ends.len(), until, mail),
            Note::Shed(dire) => return self.shed(true, dire, mail),
            _ => {}
        }
        self.tidy(mail);
    }

    fn change(&mut self, id: NtfId, change: impl FnMut(&mut Held)) {
        self.held.iter_mut().filter(|held| held.ntf.id == id).for_each(change);
    }

    /// Gives up what is vain, asks for a slot for what waits, and sees to be woken when time changes that.
    fn tidy(&mut self, mail: &mut Mail) {
        (0..self.held.len()).rev().for_each(|place| self.give_up_if_vain(place, mail));
        let (late, mut next) = (self.median().max(LEAST_LEFT) - Span::from_nanos(1), Time::NEVER);
        for held in self.held.iter().filter(|h| h.out.is_none()) {
            let end = held.closes().map_or(Time::NEVER, |end| end - ARRIVAL);
            let dues = [held.ntf.valid_until - late, self.filled(held), end];
            next = dues.into_iter().filter(|at| *at > mail.now).fold(next, Time::min);
        }
        mail.alarm(Part::Destination(self.id), next);
        self.shed(false, false, mail);
        if self.held.iter().any(|h| h.turn && h.out.is_none() && !h.over) {
            mail.put(Part::Slots, Note::Ask(self.id));
        }
    }

    /// Calls off what is overdue, or sets an alarm: where slots are `full`, and where more of its key wait.
    fn shed(&mut self, full: bool, dire: bool, mail: &mut Mail) {
        let (now, usual, cancel) = (mail.now, self.overdue_after(), self.terms.allowance.cancel);
        for place in 0..self.held.len() {
            let held = &self.held[place];
            let Some(at) = held.out.as_ref().filter(|_| cancel).map(|o| o.0) else { continue };
            let waits = |h: &&Held| !h.turn && h.ntf.key == held.ntf.key;
            let behind = held.ntf.topic.ordered && self.held.iter().filter(waits).count() > 1;
            let after = if held.again() { usual } else { usual.max(self.terms.figures.tip_after) };
            let due = if full || behind { at + after } else { Time::NEVER };
            if now < due {
                mail.alarm(if behind { Part::Destination(self.id) } else { Part::Slots }, due);
            } else if held.past.doubt.is_none_or(|d| d < at) && (behind || held.again() || dire) {
                mail.commands.push(Command::Cancel { ntf: held.ntf.id, push: held.past.pushes - 1 });
                self.held[place].past.doubt = Some(now);
            }
        }
    }

    /// Asks the next endpoint in rotation, own zone first if crossing is priced; resends first go elsewhere.
    fn offer(&mut self, asked: usize, again: Time, mail: &mut Mail) {
        (self.asked, self.again) = (asked, again);
        let mut order: Vec<usize> = (0..self.ends.len()).map(|i| (self.next + i) % self.ends.len()).collect();
        let home = self.terms.fleet.home.as_ref();
        order.sort_by_key(|end| home.is_some_and(|home| *home != self.ends[*end].1));
        while self.asked < 2 * self.ends.len() && !self.held.is_empty() {
            let (endpoint, zone) = self.ends[order[self.asked % order.len()]].clone();
            let pushes = self.pick(mail.now, &endpoint, &zone);
            if !pushes.is_empty() {
                let (to, destination, fresh, rate) = (Part::Endpoint(endpoint.clone()), self.id, false, 0.0);
                let (usual, overdue, now) = (self.median(), self.overdue_after(), mail.now);
                let gaps = (self.gap(self.ends.len(), now), self.gap(1, now));
                let handed = (self.handed.len().max(1) as f64 / self.per_call as f64, self.known(now));
                let call = Call { destination, endpoint, pushes, usual, overdue, gaps, handed, rate, fresh };
                return mail.put(to, Note::Call(call));
            }
            self.asked += 1;
        }
        (0..self.held.len()).rev().for_each(|place| self.give_up_if_vain(place, mail));
        mail.put(Part::Slots, Note::Pass(self.id, self.again));
    }

    /// The gap between calls after an outage, at one of so many parts, by what was handed in.
    fn gap(&self, parts: usize, now: Time) -> Span {
        let pace = self.handed.len() as f64 / (self.known(now).secs() * parts as f64);
        let f = &self.terms.figures;
        let least = LEAST / (f.tip_after.secs() * self.terms.fleet.relays.max(1) as f64);
        Span::from_secs(1.0 / (f.fall_multiple * pace).max(least / f.cold_from))
    }

    /// For how long it is known what was handed in: less than it counts in a relay that has just started.
    fn known(&self, now: Time) -> Span {
        let age = now.since(self.born.unwrap_or(now)) + self.terms.figures.tip_after;
        age.min(self.terms.figures.cold.times(MEMORY))
    }

    /// Calls are worth filling: one counts once for the limit and takes one slot. Until when it may wait.
    fn filled(&self, held: &Held) -> Time {
        let left = held.ntf.valid_until.since(held.taken);
        let calls = self.usual().unwrap_or_default().times(USUAL_CALLS);
        held.taken + (held.ntf.topic.objective.min(left) - calls).times(FILL)
    }

    /// What goes to an endpoint next: first what can still meet its objective. Rule: a call ends with the
    /// first TTL in it, so only those join whom this leaves their time-out, or what nine in ten calls last.
    fn pick(&self, now: Time, to: &EndpointId, zone: &Arc<str>) -> Vec<(NtfId, Span, Span)> {
        let elsewhere = self.asked < self.ends.len();
        let mut ready: Vec<&Held> = self.held.iter().filter(|h| h.turn).collect();
        ready.retain(|h| h.may_run(now, Some(zone), self.terms.allowance.pushes));
        ready.retain(|h| !(elsewhere && (h.last.as_ref() == Some(to) || self.fails(h, to, now))));
        if ready.len() < self.per_call && ready.iter().all(|h| now < self.filled(h)) {
            return Vec::new();
        }
        ready.sort_by_key(|h| !h.past.taken_up && now.since(h.taken) + self.median() > h.ntf.topic.objective);
        let enough = self.usual().unwrap_or(self.terms.figures.tip_after.times(OVERDUE_FLOOR));
        let (mut call, mut ends, mut wanted) = (Vec::new(), Time::NEVER, Span::ZERO);
        let mut ready = ready.into_iter();
        while let Some(held) = ready.next().filter(|_| call.len() < self.per_call) {
            let (first, time_out) = (ends.min(held.ntf.valid_until), self.time_out(now, held));
            let most = wanted.max(time_out.min(enough));
            if call.is_empty() || now + most <= first {
                let by = held.closes().map_or(Time::NEVER, |end| end - ARRIVAL);
                call.push((held.ntf.id, time_out, by.since(now)));
                (ends, wanted) = (first, most);
            }
        }
        call.into_iter().map(|(ntf, time_out, by)| (ntf, time_out.min(ends.since(now)), by)).collect()
    }

    /// Guards against an endpoint that fails one topic type: that goes to others, longer after each loss.
    fn fails(&self, held: &Held, to: &EndpointId, now: Time) -> bool {
        let same = |h: &&Held| h.last.as_ref() == Some(to) && h.ntf.topic.name == held.ntf.topic.name;
        let overdue = |h: &Held| h.out.as_ref().is_some_and(|out| now.since(out.0) > self.overdue_after());
        let lost = self.failing.get(&(to.clone(), held.ntf.topic.name.clone()));
        lost.is_some_and(|(times, at)| now.since(*at) < SLOT_MEMORY.times(f64::from(*times)))
            || self.held.iter().filter(same).any(overdue)
    }

    /// When a call speaks of silence: well beyond what is delivered, longer after each cut short since.
    fn overdue_after(&self) -> Span {
        let vain = self.samples.iter().rev().take_while(|s| s.censored).count();
        let usual = self.usual();
        let floor = if usual.is_none() { OVERDUE_UNKNOWN } else { OVERDUE_FLOOR };
        let least = self.terms.figures.tip_after.times(floor);
        usual.unwrap_or_default().times(OVERDUE).max(least).times(2f64.powi(vain.min(8) as i32 / 2))
    }

    /// What nine in ten delivered calls of late stay under, where enough are known.
    fn usual(&self) -> Option<Span> {
        let mut done: Vec<f64> = self.samples.iter().filter(|s| !s.censored).map(|s| s.ln_secs).collect();
        done.sort_by(f64::total_cmp);
        let known = done.get(done.len() * 9 / 10).filter(|_| done.len() >= WARM_UP);
        known.map(|ln| Span::from_secs(ln.exp()))
    }

    /// The fitted median, no longer than the longest call delivered: calls cut short do not say how long they
    /// last. Without this bound a relay that sees little gives up all that comes, for good.
    fn median(&self) -> Span {
        let done = self.samples.iter().filter(|s| !s.censored).map(|s| s.ln_secs);
        let longest = Span::from_secs(done.reduce(f64::max).map_or(0.0, f64::exp));
        self.fit.map_or(Span::ZERO, |fit| Span::from_secs(fit.mu.exp()).min(longest))
    }

    fn time_out(&self, now: Time, held: &Held) -> Span {
        let left = held.ntf.valid_until.since(now);
        let pushes = if held.again() { self.terms.allowance.pushes - held.past.pushes } else { 1 };
        self.fit.map_or(left, |fit| fit.time_out(left, pushes))
    }

    fn outcome(&mut self, o: &Outcome, first: bool, now: Time) {
        // Throttled pushes and refused connections tell nothing of latency.
        if first && matches!(o.status, Status::Delivered | Status::TimedOut | Status::Cancelled) {
            let (ln_secs, censored) = (o.spent.secs().max(1e-4).ln(), o.status != Status::Delivered);
            keep(&mut self.samples, Sample { at: now, ln_secs, censored }, SAMPLES);
            self.fit = Fit::of(&self.samples);
        }
        let Some(held) = self.held.iter_mut().find(|h| h.ntf.id == o.ntf) else { return };
        let sent = held.out.take();
        held.over |= o.settled;
        if o.status.may_have_run() {
            let failing = self.failing.entry((o.endpoint.clone(), held.ntf.topic.name.clone())).or_default();
            *failing = (if o.status == Status::Delivered { 0 } else { failing.0 + 1 }, now);
            held.past.ran = held.past.ran.take().or(sent);
        }
        held.past.doubt = Some(now).filter(|_| o.status.may_be_running()).or(held.past.doubt);
    }

    /// The design's cutoff, and rule: one final answer, at once if an endpoint takes it too late.
    fn give_up_if_vain(&mut self, place: usize, mail: &mut Mail) {
        let (usual, held) = (self.median().max(LEAST_LEFT), &mut self.held[place]);
        let from = if self.again < Time::NEVER { self.again.max(mail.now) } else { mail.now };
        let in_time = from + usual <= held.ntf.valid_until;
        let lives = in_time && held.may_run(mail.now, None, self.terms.allowance.pushes);
        if held.out.is_some() || held.past.ended || lives {
            return;
        }
        let (ntf, key) = (held.ntf.id, held.ntf.key.clone().filter(|_| held.ntf.topic.ordered));
        if !held.over {
            let retry_in = self.terms.allowance.longest_retry.min(usual.max(from.since(mail.now)));
            let throttled = Command::Throttle { ntf, retry_in };
            mail.commands.push(if held.past.ran.is_some() { Command::Expire(ntf) } else { throttled });
            (held.over, held.past.ended) = (true, key.is_some());
        }
        if !held.past.ended {
            let doubt = self.held.remove(place).past.doubt;
            key.into_iter().for_each(|key| mail.put(Part::Turns, Note::Leave(key, ntf, doubt)));
        }
    }
}

// ---- Slots: which destination calls next ----

/// When a call began, when it ended, and how long it was likely to last.
type Lasted = (Time, Option<Time>, Span);

#[derive(Default)]
pub(crate) struct Slots {
    open: usize,
    offered: bool,
    calls: BTreeMap<DestinationId, VecDeque<Lasted>>,
    /// Destinations with something to send, and from when it may go.
    waiting: BTreeMap<DestinationId, Time>,
}

impl Slots {
    pub(crate) fn take(&mut self, note: Note, total: usize, tip_after: Span, mail: &mut Mail) {
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
                let calls = self.calls.entry(c.destination).or_default();
                calls.retain(|c| c.1.is_none_or(|end| now.since(end) < SLOT_MEMORY));
                calls.push_back((now, None, c.usual));
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
        if self.open < total && !self.offered {
            // The design's choice: least slot time, calls out included at what they are likely to take.
            let until = |c: &Lasted| c.1.unwrap_or(now.max(c.0 + c.2)).min(c.0 + c.2.max(tip_after));
            let spent = |c: &Lasted| until(c).since(c.0.max(now - SLOT_MEMORY)).nanos();
            let spent = |id: &DestinationId| self.calls.get(id).into_iter().flatten().map(spent).sum::<u64>();
            if let Some(next) = waiting.min_by_key(|id| (spent(id), *id)) {
                self.offered = true;
                mail.put(Part::Destination(next), Note::Slot);
            }
        } else if total == 0 {
            // Guards against what only the next process could push, if that is too late for it.
            waiting.for_each(|id| mail.put(Part::Destination(id), Note::Pass(id, now + NEXT_LIFE)));
        } else if self.open >= total && waiting.count() > 0 {
            // Guards against silent destinations that take every slot; once-only ones go if most are stuck.
            let stuck = |c: &&Lasted| c.1.is_none() && now.since(c.0) >= tip_after;
            let dire = self.calls.values().flatten().filter(stuck).count() * 2 > total;
            let out = self.calls.iter().filter(|(_, calls)| calls.iter().any(|c| c.1.is_none()));
            out.for_each(|(id, _)| mail.put(Part::Destination(*id), Note::Shed(dire)));
        }
    }
}

// ---- Book: the list of endpoints ----

#[derive(Default)]
pub(crate) struct Book {
    entries: BTreeMap<EndpointId, Entry>,
    /// What an earlier process held, until discovery has spoken or is known not to.
    early: Option<Vec<Entry>>,
    /// Requests failed in a row, and whether it will ask again.
    failures: i32,
    pausing: bool,
}

impl Book {
    pub(crate) fn take(&mut self, note: Note, ask_every: Span, pushed: bool, mail: &mut Mail) {
        let early = self.early.take_if(|_| matches!(note, Note::News(_)));
        early.into_iter().for_each(|early| self.merge(early, mail));
        match note {
            // Guards against drains told while there was no process: pushed, they count from its start.
            Note::News(News::Held(entries)) if pushed => self.early = Some(entries),
            Note::News(News::Broken) if !self.pausing => {
                // Guards against a list overrun: ask again, never in step; ever later, unless it is pushed.
                let first = ask_every.times(FIRST_ASK).clamp(LEAST_LEFT, PAUSE.times(BACK_OFF));
                let at = mail.now + pause(first, self.failures, Span::ZERO, mail);
                mail.alarm(Part::Book, at);
                (self.pausing, self.failures) = (true, self.failures + i32::from(!pushed));
            }
            Note::News(News::Changes(entries)) => self.merge(entries, mail),
            Note::News(News::Whole(mut entries) | News::Held(mut entries)) => {
                let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint.clone()).collect();
                let gone = self.entries.values().filter(|old| !named.contains(&old.endpoint));
                entries.extend(gone.map(|old| Entry { readiness: Readiness::Deleted, ..old.clone() }));
                self.merge(entries, mail);
            }
            Note::Stale(span, kind) => {
                let all = self.entries.values().filter(|e| kind.as_ref().is_none_or(|kind| *kind == e.kind));
                all.for_each(|e| mail.put(Part::Endpoint(e.endpoint.clone()), Note::Stale(span, None)));
            }
            Note::Due => {
                self.pausing = false;
                mail.commands.push(Command::Subscribe);
            }
            _ => {}
        }
    }

    fn merge(&mut self, mut entries: Vec<Entry>, mail: &mut Mail) {
        self.failures = 0;
        entries.retain(|entry| self.entries.get(&entry.endpoint) != Some(entry));
        for entry in entries {
            // Guards against one that goes over to another destination: it is gone from the one that it had.
            let old = self.entries.insert(entry.endpoint.clone(), entry.clone());
            let old = old.filter(|old| old.destination != entry.destination);
            let gone = old.map(|old| Entry { readiness: Readiness::Deleted, ..old });
            gone.into_iter().for_each(|old| mail.put(Part::Destination(old.destination), Note::Listed(old)));
            mail.put(Part::Endpoint(entry.endpoint.clone()), Note::Listed(entry.clone()));
            mail.put(Part::Destination(entry.destination), Note::Listed(entry));
        }
        self.entries.retain(|_, entry| entry.readiness != Readiness::Deleted);
    }
}
