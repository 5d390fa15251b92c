//! A destination's limit on calls from all relays together: a plain rate with some depth, or a count in each fixed
//! span. It owns what is left of the limit. It must never know who calls, or why the limit is what it is.

use juniperwing::time::{Span, Time};

/// A limit and what is left of it.
#[derive(Clone, Debug)]
pub enum Limit {
    /// None but capacity.
    None,
    /// So many calls a second, up to `depth` seconds of it at once.
    Rate {
        /// Calls a second.
        rate: f64,
        /// Seconds of the rate that may come at once.
        depth: f64,
        /// Calls that may come just now.
        left: f64,
        /// When `left` was so.
        at: Time,
    },
    /// So many calls in each span, counted from the clock's zero.
    Window {
        /// Calls a second.
        rate: f64,
        /// The span.
        span: Span,
        /// Which span it is, and how many calls it had.
        used: (u64, f64),
    },
}

impl Limit {
    /// A plain rate; one call may come at once at least.
    pub fn rate(rate: f64, depth: f64) -> Limit {
        Limit::Rate { rate, depth, left: (rate * depth).max(1.0), at: Time::default() }
    }

    /// A count in each span; one call at least.
    pub fn window(rate: f64, span: Span) -> Limit {
        Limit::Window { rate, span, used: (0, 0.0) }
    }

    /// The limit in calls a second, at `factor` times the usual; nothing where there is none.
    pub fn calls_per_s(&self, factor: f64) -> Option<f64> {
        match self {
            Limit::None => None,
            Limit::Rate { rate, .. } | Limit::Window { rate, .. } => Some(rate * factor),
        }
    }

    /// Brings what is left up to now.
    fn advance(&mut self, now: Time, factor: f64) {
        match self {
            Limit::None => {}
            Limit::Rate { rate, depth, left, at } => {
                let most = (*rate * factor * *depth).max(1.0);
                *left = (*left + *rate * factor * now.since(*at).as_secs_f64()).min(most);
                *at = now;
            }
            Limit::Window { span, used, .. } => {
                let span_index = now.since(Time::default()).as_nanos() / span.as_nanos().max(1);
                if used.0 != span_index {
                    *used = (span_index, 0.0);
                }
            }
        }
    }

    /// Whether a call is within the limit, at `factor` times the usual. If it is, or if refused calls count too,
    /// it uses the limit up.
    pub fn try_acquire(&mut self, now: Time, factor: f64, refused_count: bool) -> bool {
        self.advance(now, factor);
        match self {
            Limit::None => true,
            Limit::Rate { left, .. } => {
                let within = *left >= 1.0;
                if within {
                    *left -= 1.0;
                } else if refused_count {
                    *left = (*left - 1.0).max(-1.0);
                }
                within
            }
            Limit::Window { rate, span, used } => {
                let most = (*rate * factor * span.as_secs_f64()).max(1.0).floor();
                let within = used.1 < most;
                if within || refused_count {
                    used.1 += 1.0;
                }
                within
            }
        }
    }

    /// The share of the limit that is left.
    pub fn remaining_fraction(&mut self, now: Time, factor: f64) -> f64 {
        self.advance(now, factor);
        match self {
            Limit::None => 0.0,
            Limit::Rate { rate, depth, left, .. } => {
                (*left / (*rate * factor * *depth).max(1.0)).clamp(0.0, 1.0)
            }
            Limit::Window { rate, span, used } => {
                (1.0 - used.1 / (*rate * factor * span.as_secs_f64()).max(1.0)).clamp(0.0, 1.0)
            }
        }
    }

    /// How long until a call is within the limit again, unless others come first.
    pub fn time_until_available(&mut self, now: Time, factor: f64) -> Span {
        self.advance(now, factor);
        match self {
            Limit::None => Span::ZERO,
            Limit::Rate { rate, left, .. } => {
                Span::from_secs_f64((1.0 - *left).max(0.0) / (*rate * factor).max(1e-9))
            }
            Limit::Window { span, .. } => {
                let span = span.as_nanos().max(1);
                Span::from_nanos(span - now.since(Time::default()).as_nanos() % span)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn at(ms: u64) -> Time {
        Time::from_nanos(ms * 1_000_000)
    }

    proptest! {
        /// Over any stretch, a rate lets through no more than its depth and what came in since.
        #[test]
        fn a_rate_is_never_passed(gaps in prop::collection::vec(0u64..400, 1..300), rate in 0.5f64..50.0) {
            let (mut limit, depth) = (Limit::rate(rate, 0.5), (rate * 0.5).max(1.0));
            let (mut now, mut taken) = (0, Vec::new());
            for gap in gaps {
                now += gap;
                if limit.try_acquire(at(now), 1.0, false) {
                    taken.push(now);
                }
            }
            for (from, start) in taken.iter().enumerate() {
                for (to, end) in taken.iter().enumerate().skip(from) {
                    let most = depth + rate * (end - start) as f64 / 1_000.0;
                    prop_assert!((to - from + 1) as f64 <= most + 1e-6, "{} calls, {most}", to - from + 1);
                }
            }
        }

        /// A window lets through its count in each span, and no more.
        #[test]
        fn a_window_is_never_passed(gaps in prop::collection::vec(0u64..200, 1..300), rate in 1.0f64..30.0) {
            let mut limit = Limit::window(rate, Span::from_millis(1_500));
            let (mut now, mut counts) = (0, std::collections::BTreeMap::new());
            for gap in gaps {
                now += gap;
                if limit.try_acquire(at(now), 1.0, false) {
                    *counts.entry(now / 1_500).or_insert(0.0) += 1.0;
                }
            }
            let most = (rate * 1.5).max(1.0).floor();
            prop_assert!(counts.values().all(|count| *count <= most));
        }

        /// At the end of the wait that it tells there is room.
        #[test]
        fn there_is_room_at_the_end_of_the_wait(
            calls in 1u64..60, rate in 0.5f64..20.0, windowed: bool, factor in 0.2f64..2.0, refused: bool,
        ) {
            let span = Span::from_millis(1_300);
            let mut limit = if windowed { Limit::window(rate, span) } else { Limit::rate(rate, 0.7) };
            for call in 0..calls {
                limit.try_acquire(at(call * 10), factor, refused);
            }
            let wait = limit.time_until_available(at(calls * 10), factor);
            let then = at(calls * 10) + wait + Span::from_nanos(1_000);
            prop_assert!(limit.try_acquire(then, factor, refused));
        }
    }

    #[test]
    fn refused_calls_use_a_limit_up_only_where_they_count() {
        for (counts, left) in [(false, true), (true, false)] {
            let mut limit = Limit::rate(1.0, 1.0);
            assert!(limit.try_acquire(at(0), 1.0, counts));
            (0..5).for_each(|_| assert!(!limit.try_acquire(at(500), 1.0, counts)));
            assert_eq!(limit.try_acquire(at(1_000), 1.0, counts), left);
        }
    }

    #[test]
    fn a_lowered_limit_is_told_and_kept() {
        let mut limit = Limit::window(10.0, Span::from_millis(1_000));
        let taken = (0..10).filter(|_| limit.try_acquire(at(0), 0.3, false)).count();
        assert_eq!((taken, limit.calls_per_s(0.3)), (3, Some(3.0)));
        assert!(limit.remaining_fraction(at(0), 0.3) < 0.01);
        assert!(limit.remaining_fraction(at(1_000), 0.3) > 0.99);
    }
}
