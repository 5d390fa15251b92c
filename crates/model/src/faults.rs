//! What the troubles that act on an endpoint, a destination or the traffic together make of it. A trouble is data:
//! who is struck by which, with its size and times, is looked up here, and effects are worked out from all that act
//! at a moment. So troubles may overlap and end in any order. It must never keep what a trouble changed in order
//! to change it back.

use juniperwing::time::{Span, Time};

use crate::scenario::{Fault, FaultKind};

/// A trouble of a resolved scenario, with points in time.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins.
    pub from: Time,
    /// When it is over.
    pub to: Time,
    ramp: Span,
    /// How much.
    pub size: f64,
    /// The share of what it could strike that it does.
    pub extent: f64,
    /// The topic type concerned, by place.
    pub topic: Option<usize>,
    /// The account concerned, by place.
    pub account: Option<usize>,
}

impl FaultWindow {
    /// A trouble of a resolved scenario.
    pub fn of(fault: &Fault, topic: Option<usize>, account: Option<usize>) -> FaultWindow {
        let from = Time::default() + Span::from_secs_f64(fault.start_s.least);
        let to = from + Span::from_secs_f64(fault.span_s.least);
        let (ramp, kind) = (Span::from_secs_f64(fault.ramp_s.least), fault.what);
        FaultWindow {
            kind,
            from,
            to,
            ramp,
            size: fault.size.least,
            extent: fault.extent.least,
            topic,
            account,
        }
    }

    /// Whether it acts.
    pub fn is_active(&self, now: Time) -> bool {
        self.from <= now && now < self.to
    }

    /// Its factor by now: from 1 to its size over the ramp.
    pub fn factor(&self, now: Time) -> f64 {
        let risen = if self.ramp > Span::ZERO {
            (now.since(self.from).as_secs_f64() / self.ramp.as_secs_f64()).min(1.0)
        } else {
            1.0
        };
        1.0 + (self.size - 1.0) * risen
    }

    /// When a trouble that comes and goes goes on again, if it stands still now: it does so for its size, every four
    /// times that.
    fn resumes_at(&self, now: Time) -> Option<Time> {
        let size = Span::from_secs_f64(self.size).as_nanos().max(1);
        let passed = now.since(self.from).as_nanos() % (4 * size);
        (passed < size).then(|| now + Span::from_nanos(size - passed))
    }
}

/// The troubles that a thing is struck by, by their places in the scenario.
#[derive(Clone, Debug, Default)]
pub struct FaultSet(Vec<usize>);

impl FaultSet {
    /// A further trouble strikes it.
    pub fn insert(&mut self, fault: usize) {
        self.0.push(fault);
    }

    /// Whether nothing ever strikes it.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a trouble, by its place, ever strikes it.
    pub fn contains(&self, fault: usize) -> bool {
        self.0.contains(&fault)
    }

    fn active<'a>(
        &'a self, fault_windows: &'a [FaultWindow], kind: FaultKind, now: Time,
    ) -> impl Iterator<Item = &'a FaultWindow> {
        let acts = move |window: &&FaultWindow| window.kind == kind && window.is_active(now);
        self.0.iter().map(|index| &fault_windows[*index]).filter(acts)
    }

    /// Whether a trouble of that kind acts.
    pub fn is_active(&self, fault_windows: &[FaultWindow], kind: FaultKind, now: Time) -> bool {
        self.active(fault_windows, kind, now).next().is_some()
    }

    /// The product of the factors of all that act.
    pub fn factor(&self, fault_windows: &[FaultWindow], kind: FaultKind, now: Time) -> f64 {
        // In order of size, so that the product does not hang on the order of the scenario by a last bit.
        let mut factors: Vec<f64> =
            self.active(fault_windows, kind, now).map(|window| window.factor(now)).collect();
        factors.sort_by(f64::total_cmp);
        factors.into_iter().product::<f64>().max(1e-6)
    }

    /// When it goes on again, if it stands still in a pause.
    pub fn resumes_at(&self, fault_windows: &[FaultWindow], now: Time) -> Option<Time> {
        self.active(fault_windows, FaultKind::Pauses, now).filter_map(|window| window.resumes_at(now)).max()
    }

    /// Whether a topic type fails.
    pub fn fails_topic(&self, fault_windows: &[FaultWindow], topic: usize, now: Time) -> bool {
        self.active(fault_windows, FaultKind::TopicFails, now).any(|window| window.topic == Some(topic))
    }

    /// The chance that none of the troubles of that kind, whose sizes are chances, strikes.
    pub fn unaffected_probability(&self, fault_windows: &[FaultWindow], kind: FaultKind, now: Time) -> f64 {
        self.active(fault_windows, kind, now).map(|window| (1.0 - window.size).clamp(0.0, 1.0)).product()
    }

    /// Whether nothing at all is answered: an outage.
    pub fn is_outage(&self, fault_windows: &[FaultWindow], now: Time) -> bool {
        [FaultKind::Silent, FaultKind::Errors, FaultKind::Refuses, FaultKind::Down]
            .into_iter()
            .any(|kind| self.is_active(fault_windows, kind, now))
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn window(kind: FaultKind, from: u64, to: u64, size: f64) -> FaultWindow {
        let (from, to) = (Time::from_nanos(from), Time::from_nanos(to));
        FaultWindow { kind, from, to, ramp: Span::ZERO, size, extent: 1.0, topic: None, account: None }
    }

    proptest! {
        /// Overlapping troubles of one endpoint: what holds at a moment hangs only on which act then, not on the
        /// order in which they were written, began or ended.
        #[test]
        fn the_order_of_troubles_does_not_matter(
            spans in prop::collection::vec((0u64..50, 1u64..50, 1u32..9), 1..8), now in 0u64..120,
        ) {
            let now = Time::from_nanos(now);
            let fault_windows: Vec<FaultWindow> =
                spans.iter().map(|(from, span, size)| window(FaultKind::Slow, *from, from + span, f64::from(*size))).collect();
            let factor = |order: &mut dyn Iterator<Item = usize>| {
                let mut faults = FaultSet::default();
                order.for_each(|index| faults.insert(index));
                faults.factor(&fault_windows, FaultKind::Slow, now)
            };
            let forth = factor(&mut (0..fault_windows.len()));
            prop_assert_eq!(forth, factor(&mut (0..fault_windows.len()).rev()));
            let by_hand: f64 = fault_windows.iter().filter(|s| s.from <= now && now < s.to).map(|s| s.size).product();
            prop_assert!((forth - by_hand).abs() < 1e-9 * by_hand);
        }
    }

    #[test]
    fn one_that_starts_before_another_ends_leaves_the_other_as_it_is() {
        let fault_windows = [
            window(FaultKind::Silent, 0, 10, 1.0),
            window(FaultKind::Silent, 5, 20, 1.0),
            window(FaultKind::Down, 30, 40, 1.0),
        ];
        let mut faults = FaultSet::default();
        (0..3).for_each(|index| faults.insert(index));
        let out: Vec<u64> =
            (0..50).filter(|t| faults.is_outage(&fault_windows, Time::from_nanos(*t))).collect();
        let expected: Vec<u64> = (0..20).chain(30..40).collect();
        assert_eq!(out, expected);
    }

    #[test]
    fn a_ramp_rises_from_one_to_the_size() {
        let mut ramped = window(FaultKind::Slow, 100, 1_000, 5.0);
        ramped.ramp = Span::from_nanos(200);
        let factors = [100, 150, 200, 300, 900].map(|t| ramped.factor(Time::from_nanos(t)));
        assert_eq!(factors, [1.0, 2.0, 3.0, 5.0, 5.0]);
    }
}
