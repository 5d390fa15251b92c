//! The effect of the faults that act on an endpoint, a destination or the traffic at a moment.
//!
//! A fault changes no state: its effect is computed on each query from all faults that are active at that time.
//! Faults may therefore overlap and end in any order, and nothing has to be restored at the end of one.

use juniperwing::time::{Span, Time};

use crate::scenario::{Fault, FaultKind, Scenario};

/// The period of a pausing fault, as a multiple of the pause, whose length in seconds is the size of the fault.
const PAUSE_PERIOD_SIZES: u64 = 4;
/// The lowest factor; it keeps quotients by a factor finite.
const MIN_FACTOR: f64 = 1e-6;

/// A fault of a resolved scenario, with its start and end as points in time.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When it begins.
    pub from: Time,
    /// When it ends.
    pub to: Time,
    /// How long its factor takes to rise from 1 to its size.
    pub ramp: Span,
    /// The magnitude; see [`FaultKind`] for its meaning and unit.
    pub size: f64,
    /// The affected fraction of what is in the fault's scope.
    pub extent: f64,
    /// Index of the topic type concerned.
    pub topic: Option<usize>,
    /// Index of the account concerned.
    pub account: Option<usize>,
}

impl FaultWindow {
    /// The windows of all faults of a resolved scenario.
    pub fn all_of(scenario: &Scenario) -> Vec<FaultWindow> {
        let topic = |name: &String| scenario.topics.iter().position(|topic| topic.name == *name);
        let account = |name: &String| scenario.accounts.iter().position(|account| account.name == *name);
        let window = |fault: &Fault| {
            let from = Time::default() + Span::from_secs_f64(fault.start_s.min);
            FaultWindow {
                kind: fault.kind,
                from,
                to: from + Span::from_secs_f64(fault.duration_s.min),
                ramp: Span::from_secs_f64(fault.ramp_s.min),
                size: fault.size.min,
                extent: fault.extent.min,
                topic: fault.topic.as_ref().and_then(topic),
                account: fault.account.as_ref().and_then(account),
            }
        };
        scenario.faults.iter().map(window).collect()
    }

    /// Whether it acts at that time.
    pub fn is_active(&self, now: Time) -> bool {
        self.from <= now && now < self.to
    }

    /// Its factor at that time: from 1 to its size over the ramp.
    pub fn factor(&self, now: Time) -> f64 {
        let progress = if self.ramp > Span::ZERO {
            (now.since(self.from).as_secs_f64() / self.ramp.as_secs_f64()).min(1.0)
        } else {
            1.0
        };
        1.0 + (self.size - 1.0) * progress
    }

    /// The end of the pause that a pausing fault is in; `None` between pauses.
    fn pause_end(&self, now: Time) -> Option<Time> {
        let pause = Span::from_secs_f64(self.size).as_nanos().max(1);
        let elapsed = now.since(self.from).as_nanos() % (PAUSE_PERIOD_SIZES * pause);
        (elapsed < pause).then(|| now + Span::from_nanos(pause - elapsed))
    }
}

/// The faults that apply to an endpoint or a destination, as indices into the fault windows of the run.
#[derive(Clone, Debug, Default)]
pub struct FaultSet(Vec<usize>);

impl FaultSet {
    /// Adds a fault.
    pub fn insert(&mut self, fault: usize) {
        self.0.push(fault);
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the set contains a fault.
    pub fn contains(&self, fault: usize) -> bool {
        self.0.contains(&fault)
    }

    fn active<'a>(
        &'a self, windows: &'a [FaultWindow], kind: FaultKind, now: Time,
    ) -> impl Iterator<Item = &'a FaultWindow> {
        let is_active = move |window: &&FaultWindow| window.kind == kind && window.is_active(now);
        self.0.iter().map(|index| &windows[*index]).filter(is_active)
    }

    /// Whether a fault of that kind is active.
    pub fn is_active(&self, windows: &[FaultWindow], kind: FaultKind, now: Time) -> bool {
        self.active(windows, kind, now).next().is_some()
    }

    /// The product of the factors of all active faults of that kind.
    pub fn factor(&self, windows: &[FaultWindow], kind: FaultKind, now: Time) -> f64 {
        // Sorted, because a floating-point product depends on the order of its factors in the last bit, and the result
        // must not depend on the order of faults in the scenario.
        let mut factors: Vec<f64> =
            self.active(windows, kind, now).map(|window| window.factor(now)).collect();
        factors.sort_by(f64::total_cmp);
        factors.into_iter().product::<f64>().max(MIN_FACTOR)
    }

    /// The time at which service resumes, if it is paused.
    pub fn resumes_at(&self, windows: &[FaultWindow], now: Time) -> Option<Time> {
        self.active(windows, FaultKind::Pauses, now).filter_map(|window| window.pause_end(now)).max()
    }

    /// Whether a topic type fails.
    pub fn fails_topic(&self, windows: &[FaultWindow], topic: usize, now: Time) -> bool {
        self.active(windows, FaultKind::TopicFails, now).any(|window| window.topic == Some(topic))
    }

    /// The probability that no active fault of that kind, whose sizes are probabilities, has an effect.
    pub fn unaffected_probability(&self, windows: &[FaultWindow], kind: FaultKind, now: Time) -> f64 {
        self.active(windows, kind, now).map(|window| (1.0 - window.size).clamp(0.0, 1.0)).product()
    }

    /// Whether every call fails.
    pub fn is_outage(&self, windows: &[FaultWindow], now: Time) -> bool {
        [FaultKind::Silent, FaultKind::Errors, FaultKind::Rejections, FaultKind::Down]
            .into_iter()
            .any(|kind| self.is_active(windows, kind, now))
    }
}
