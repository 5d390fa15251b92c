//! What the troubles that act on an endpoint, a destination or the traffic together make of it. A trouble is data:
//! who is struck by which, with its size and times, is looked up here, and effects are worked out from all that act
//! at a moment. So troubles may overlap and end in any order. It must never keep what a trouble changed in order
//! to change it back.

use juniperwing::time::{Span, Time};

use crate::scenario::{Trouble, Woe};

/// A trouble of a resolved scenario, with points in time.
#[derive(Clone, Debug)]
pub struct Spell {
    /// What goes wrong.
    pub what: Woe,
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

impl Spell {
    /// A trouble of a resolved scenario.
    pub fn of(trouble: &Trouble, topic: Option<usize>, account: Option<usize>) -> Spell {
        let from = Time::default() + Span::from_secs_f64(trouble.start_s.least);
        let to = from + Span::from_secs_f64(trouble.span_s.least);
        let (ramp, what) = (Span::from_secs_f64(trouble.ramp_s.least), trouble.what);
        Spell { what, from, to, ramp, size: trouble.size.least, extent: trouble.extent.least, topic, account }
    }

    /// Whether it acts.
    pub fn acts(&self, now: Time) -> bool {
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
    fn goes_on(&self, now: Time) -> Option<Time> {
        let size = Span::from_secs_f64(self.size).as_nanos().max(1);
        let passed = now.since(self.from).as_nanos() % (4 * size);
        (passed < size).then(|| now + Span::from_nanos(size - passed))
    }
}

/// The troubles that a thing is struck by, by their places in the scenario.
#[derive(Clone, Debug, Default)]
pub struct Struck(Vec<usize>);

impl Struck {
    /// A further trouble strikes it.
    pub fn by(&mut self, trouble: usize) {
        self.0.push(trouble);
    }

    /// Whether nothing ever strikes it.
    pub fn is_never(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a trouble, by its place, ever strikes it.
    pub fn is_by(&self, trouble: usize) -> bool {
        self.0.contains(&trouble)
    }

    fn acting<'a>(&'a self, spells: &'a [Spell], what: Woe, now: Time) -> impl Iterator<Item = &'a Spell> {
        let acts = move |spell: &&Spell| spell.what == what && spell.acts(now);
        self.0.iter().map(|place| &spells[*place]).filter(acts)
    }

    /// Whether a trouble of that kind acts.
    pub fn any(&self, spells: &[Spell], what: Woe, now: Time) -> bool {
        self.acting(spells, what, now).next().is_some()
    }

    /// The product of the factors of all that act.
    pub fn factor(&self, spells: &[Spell], what: Woe, now: Time) -> f64 {
        // In order of size, so that the product does not hang on the order of the scenario by a last bit.
        let mut factors: Vec<f64> = self.acting(spells, what, now).map(|spell| spell.factor(now)).collect();
        factors.sort_by(f64::total_cmp);
        factors.into_iter().product::<f64>().max(1e-6)
    }

    /// When it goes on again, if it stands still in a pause.
    pub fn goes_on(&self, spells: &[Spell], now: Time) -> Option<Time> {
        self.acting(spells, Woe::Pauses, now).filter_map(|spell| spell.goes_on(now)).max()
    }

    /// Whether a topic type fails.
    pub fn fails(&self, spells: &[Spell], topic: usize, now: Time) -> bool {
        self.acting(spells, Woe::TopicFails, now).any(|spell| spell.topic == Some(topic))
    }

    /// The chance that none of the troubles of that kind, whose sizes are chances, strikes.
    pub fn spared(&self, spells: &[Spell], what: Woe, now: Time) -> f64 {
        self.acting(spells, what, now).map(|spell| (1.0 - spell.size).clamp(0.0, 1.0)).product()
    }

    /// Whether nothing at all is answered: an outage.
    pub fn out(&self, spells: &[Spell], now: Time) -> bool {
        [Woe::Silent, Woe::Errors, Woe::Refuses, Woe::Down]
            .into_iter()
            .any(|what| self.any(spells, what, now))
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn spell(what: Woe, from: u64, to: u64, size: f64) -> Spell {
        let (from, to) = (Time::from_nanos(from), Time::from_nanos(to));
        Spell { what, from, to, ramp: Span::ZERO, size, extent: 1.0, topic: None, account: None }
    }

    proptest! {
        /// Overlapping troubles of one endpoint: what holds at a moment hangs only on which act then, not on the
        /// order in which they were written, began or ended.
        #[test]
        fn the_order_of_troubles_does_not_matter(
            spans in prop::collection::vec((0u64..50, 1u64..50, 1u32..9), 1..8), now in 0u64..120,
        ) {
            let now = Time::from_nanos(now);
            let spells: Vec<Spell> =
                spans.iter().map(|(from, span, size)| spell(Woe::Slow, *from, from + span, f64::from(*size))).collect();
            let factor = |order: &mut dyn Iterator<Item = usize>| {
                let mut struck = Struck::default();
                order.for_each(|place| struck.by(place));
                struck.factor(&spells, Woe::Slow, now)
            };
            let forth = factor(&mut (0..spells.len()));
            prop_assert_eq!(forth, factor(&mut (0..spells.len()).rev()));
            let by_hand: f64 = spells.iter().filter(|s| s.from <= now && now < s.to).map(|s| s.size).product();
            prop_assert!((forth - by_hand).abs() < 1e-9 * by_hand);
        }
    }

    #[test]
    fn one_that_starts_before_another_ends_leaves_the_other_as_it_is() {
        let spells =
            [spell(Woe::Silent, 0, 10, 1.0), spell(Woe::Silent, 5, 20, 1.0), spell(Woe::Down, 30, 40, 1.0)];
        let mut struck = Struck::default();
        (0..3).for_each(|place| struck.by(place));
        let out: Vec<u64> = (0..50).filter(|t| struck.out(&spells, Time::from_nanos(*t))).collect();
        let expected: Vec<u64> = (0..20).chain(30..40).collect();
        assert_eq!(out, expected);
    }

    #[test]
    fn a_ramp_rises_from_one_to_the_size() {
        let mut ramped = spell(Woe::Slow, 100, 1_000, 5.0);
        ramped.ramp = Span::from_nanos(200);
        let factors = [100, 150, 200, 300, 900].map(|t| ramped.factor(Time::from_nanos(t)));
        assert_eq!(factors, [1.0, 2.0, 3.0, 5.0, 5.0]);
    }
}
