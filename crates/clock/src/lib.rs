//! Points in time and durations as distinct types, in nanoseconds.
//!
//! State machines do not read a clock. They receive the [`Time`] with each event, taken from a real or a simulated clock.

use std::ops::{Add, Sub};

/// A point on a monotonic clock, in nanoseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

/// A duration in nanoseconds, never negative. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Time {
    /// The latest point, which is never reached.
    pub const NEVER: Time = Time(u64::MAX);

    /// The point `nanos` nanoseconds after the origin.
    pub const fn from_nanos(nanos: u64) -> Self {
        Time(nanos)
    }

    /// The span from `earlier` to this point; zero if `earlier` is the later one.
    pub const fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// A span of zero.
    pub const ZERO: Span = Span(0);

    /// A span of `nanos` nanoseconds.
    pub const fn from_nanos(nanos: u64) -> Self {
        Span(nanos)
    }

    /// A span of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Span(millis.saturating_mul(1_000_000))
    }

    /// A span of `secs` seconds; zero if `secs` is not a positive number.
    pub fn from_secs_f64(secs: f64) -> Self {
        Span((secs * 1e9) as u64)
    }

    /// The span in nanoseconds.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// The span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000_000
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// The span multiplied by `factor`; zero if `factor` is not a positive number.
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

/// The point that is a span earlier; saturates at the origin.
impl Sub<Span> for Time {
    type Output = Time;

    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

/// The difference of two spans; zero if the subtracted one is longer.
impl Sub for Span {
    type Output = Span;

    fn sub(self, span: Span) -> Span {
        Span(self.0.saturating_sub(span.0))
    }
}
