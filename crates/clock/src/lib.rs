//! Points in time and spans, two types that cannot be mixed up.

use std::ops::{Add, Sub};

/// A point on the clock that the relay is handed, in nanoseconds from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

/// A length of time in nanoseconds, never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Time {
    /// A point that never comes.
    pub const NEVER: Time = Time(u64::MAX);

    /// The point that lies `nanos` after the clock's own zero.
    pub const fn from_nanos(nanos: u64) -> Self {
        Time(nanos)
    }

    /// The span from `earlier` to this point, or zero if `earlier` is later.
    pub const fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);

    /// A span of so many nanoseconds.
    pub const fn from_nanos(nanos: u64) -> Self {
        Span(nanos)
    }

    /// A span of so many milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Span(millis.saturating_mul(1_000_000))
    }

    /// A span of so many seconds; anything that is not a positive number gives zero.
    pub fn from_secs_f64(secs: f64) -> Self {
        Span((secs * 1e9) as u64)
    }

    /// The span in nanoseconds.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// The span taken `factor` times; a factor that is not a positive number gives zero.
    pub fn mul_f64(self, factor: f64) -> Self {
        Span((self.0 as f64 * factor) as u64)
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

/// A point in time less a span, or the clock's zero if the span reaches further back.
impl Sub<Span> for Time {
    type Output = Time;

    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

/// A span less another, or no time if the other is longer.
impl Sub for Span {
    type Output = Span;

    fn sub(self, span: Span) -> Span {
        Span(self.0.saturating_sub(span.0))
    }
}
