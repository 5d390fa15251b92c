//! One endpoint as a relay sees it.

use std::collections::VecDeque;

use juniperwing_clock::{Span, Time};

use crate::prompt::PartMemory;

/// For how long a load that was told counts; it fades over that time.
const LOAD_VALID: Span = Span::from_millis(1_500);
/// An endpoint queues a few requests beyond its slots: this share of them is sent ahead.
const SENT_AHEAD: f64 = 0.25;
/// The first pause after an endpoint was full.
const FULL_PAUSE: Span = Span::from_millis(30);
/// The first pause after an endpoint failed.
const FAILURE_PAUSE: Span = Span::from_millis(200);
/// The longest pause.
const LONGEST_PAUSE: Span = Span::from_millis(4_000);
/// What the last call counts in the share of calls that went badly.
const LAST_CALL: f64 = 0.2;
/// That share halves in this time without calls, so that an endpoint is tried again.
const TROUBLE_HALVES: Span = Span::from_millis(1_000);
/// Doublings of a pause at the most.
const MOST_DOUBLINGS: u32 = 6;

/// The load that an endpoint tells (`X-Server-Load`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that it works on at a time.
    pub slots: u32,
}

impl ServerLoad {
    /// Reads `running,waiting,slots`.
    pub fn read(text: &str) -> Option<ServerLoad> {
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
        Some(ServerLoad { running, waiting, slots })
    }
}

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// With an answer.
    Succeeded,
    /// With an answer that says that the endpoint failed.
    ServerError,
    /// Nothing came within the time-out.
    TimedOut,
    /// It was told to be full.
    Overloaded,
    /// It broke, or never came up.
    Failed,
    /// The caller gave it up; that says little of the endpoint.
    Cancelled,
}

#[derive(Clone, Copy, Debug)]
struct ToldLoad {
    at: Time,
    load: ServerLoad,
    /// This relay's own calls at that moment.
    own: u32,
}

impl ToldLoad {
    fn others(&self) -> u32 {
        self.load.running.saturating_add(self.load.waiting).saturating_sub(self.own)
    }
}

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) own_zone: bool,
    pub(crate) parts: PartMemory,
    capacity: u32,
    /// When the calls that are out began, the oldest first.
    out: VecDeque<Time>,
    last_begun: Time,
    told: Option<ToldLoad>,
    failures: u32,
    full: u32,
    full_until: Time,
    failed_until: Time,
    /// The share of late calls that went badly, as of `trouble_at`.
    trouble: f64,
    trouble_at: Time,
}

impl Endpoint {
    pub(crate) fn new(capacity: u32, own_zone: bool) -> Self {
        Endpoint {
            own_zone,
            parts: PartMemory::default(),
            capacity: capacity.max(1),
            out: VecDeque::new(),
            last_begun: Time::default(),
            told: None,
            failures: 0,
            full: 0,
            full_until: Time::default(),
            failed_until: Time::default(),
            trouble: 0.0,
            trouble_at: Time::default(),
        }
    }

    pub(crate) fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity.max(1);
    }

    pub(crate) fn begin(&mut self, now: Time) {
        self.out.push_back(now);
        self.last_begun = now;
    }

    /// When this relay last sent it a call.
    pub(crate) fn last_begun(&self) -> Time {
        self.last_begun
    }

    /// A call has ended; gives back for how long it held its slot, where it was answered. The oldest one out counts as
    /// the one that ended, which leaves the mean as it is.
    pub(crate) fn end(&mut self, now: Time, ending: CallOutcome) -> Option<Span> {
        let began = self.out.pop_front();
        if ending != CallOutcome::Cancelled {
            self.note_trouble(now, ending != CallOutcome::Succeeded);
        }
        match ending {
            CallOutcome::Succeeded => (self.failures, self.full) = (0, 0),
            CallOutcome::Overloaded => {
                self.full_until = now + pause(FULL_PAUSE, self.full);
                self.full = self.full.saturating_add(1);
            }
            CallOutcome::Failed => {
                self.failed_until = now + pause(FAILURE_PAUSE, self.failures);
                self.failures = self.failures.saturating_add(1);
            }
            CallOutcome::ServerError | CallOutcome::TimedOut | CallOutcome::Cancelled => {}
        }
        began.filter(|_| ending == CallOutcome::Succeeded).map(|began| now.since(began))
    }

    fn note_trouble(&mut self, now: Time, went_badly: bool) {
        let last = if went_badly { 1.0 } else { 0.0 };
        let before = self.trouble(now);
        self.trouble = before + LAST_CALL * (last - before);
        self.trouble_at = now;
    }

    /// The share of its late calls that went badly: declined, failed, in error or silent. An endpoint may pass its
    /// health checks and answer some requests while it fails others.
    pub(crate) fn trouble(&self, now: Time) -> f64 {
        let halvings = now.since(self.trouble_at).as_secs_f64() / TROUBLE_HALVES.as_secs_f64();
        self.trouble * 0.5_f64.powf(halvings)
    }

    /// The endpoint has told its load; gives back the calls of others in it.
    pub(crate) fn tell(&mut self, now: Time, load: ServerLoad) -> u32 {
        let told = ToldLoad { at: now, load, own: self.in_flight() };
        self.told = Some(told);
        told.others()
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.out.len()).unwrap_or(u32::MAX)
    }

    /// Whether one more request may be sent to it.
    pub(crate) fn has_room(&self, now: Time) -> bool {
        let slots = f64::from(self.slots());
        now >= self.full_until && self.load(now) < (slots * (1.0 + SENT_AHEAD)).ceil()
    }

    /// Whether it failed lately.
    pub(crate) fn is_aside(&self, now: Time) -> bool {
        now < self.failed_until
    }

    /// When it may be asked again after being full.
    pub(crate) fn full_until(&self) -> Time {
        self.full_until
    }

    /// Its requests, for a choice between endpoints. Where its load was not told of late, `usual_others` requests of
    /// others are taken to be there.
    pub(crate) fn likely_load(&self, now: Time, usual_others: f64) -> f64 {
        f64::from(self.in_flight()) + self.others(now, usual_others)
    }

    /// Seconds that a call likely loses to the endpoint's failures, if a bad one loses `time_out`.
    pub(crate) fn failure_secs(&self, now: Time, time_out: Span) -> f64 {
        let pause = if self.is_aside(now) { self.failed_until.since(now) + time_out } else { Span::ZERO };
        pause.as_secs_f64() + self.trouble(now) * time_out.as_secs_f64()
    }

    /// Requests that it works on at a time.
    pub(crate) fn slots(&self) -> u32 {
        self.told.map_or(self.capacity, |told| told.load.slots.max(1))
    }

    /// Its requests as far as they are known: this relay's own, and what others had there when it last told.
    fn load(&self, now: Time) -> f64 {
        f64::from(self.in_flight()) + self.others(now, 0.0)
    }

    /// The calls of others: what was told passes over into `usual` as it ages.
    fn others(&self, now: Time, usual: f64) -> f64 {
        let Some(told) = self.told else { return usual };
        let age = (now.since(told.at).as_secs_f64() / LOAD_VALID.as_secs_f64()).min(1.0);
        f64::from(told.others()) * (1.0 - age) + usual * age
    }
}

fn pause(first: Span, doublings: u32) -> Span {
    first.mul_f64(f64::from(1_u32 << doublings.min(MOST_DOUBLINGS))).min(LONGEST_PAUSE)
}
