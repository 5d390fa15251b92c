//! The rate limit of a destination, shared by all relays: a token bucket, or a count in fixed windows.
//!
//! Methods take a `factor` of the configured rate, which faults and a warm-up reduce.

use juniperwing::time::{Span, Time};

/// A rate limit and its state.
#[derive(Clone, Debug)]
pub enum Limit {
    /// No limit.
    None,
    /// A token bucket.
    Rate {
        /// Calls a second.
        rate: f64,
        /// The depth of the bucket, in seconds of the rate.
        depth_s: f64,
        /// Calls that are allowed immediately; below 0 where rejected calls count.
        tokens: f64,
        /// The time at which `tokens` was computed.
        refilled_at: Time,
    },
    /// A count in fixed windows, the first of which starts at time zero.
    Window {
        /// Calls a second.
        rate: f64,
        /// The length of a window.
        window: Span,
        /// The index of the present window.
        index: u64,
        /// The calls counted in the present window.
        count: f64,
    },
}

/// The depth of a token bucket in calls, at least one.
fn bucket_depth(rate: f64, depth_s: f64, factor: f64) -> f64 {
    (rate * factor * depth_s).max(1.0)
}

/// The calls allowed in a window, at least one.
fn window_limit(rate: f64, window: Span, factor: f64) -> f64 {
    (rate * factor * window.as_secs_f64()).max(1.0)
}

impl Limit {
    /// A token bucket that is full.
    pub fn rate(rate: f64, depth_s: f64) -> Limit {
        let tokens = bucket_depth(rate, depth_s, 1.0);
        Limit::Rate { rate, depth_s, tokens, refilled_at: Time::default() }
    }

    /// A count in fixed windows.
    pub fn window(rate: f64, window: Span) -> Limit {
        Limit::Window { rate, window, index: 0, count: 0.0 }
    }

    /// The limit in calls a second; `None` without one.
    pub fn calls_per_s(&self, factor: f64) -> Option<f64> {
        match self {
            Limit::None => None,
            Limit::Rate { rate, .. } | Limit::Window { rate, .. } => Some(rate * factor),
        }
    }

    /// Refills the bucket, or starts the window of `now`.
    fn advance(&mut self, now: Time, factor: f64) {
        match self {
            Limit::None => {}
            Limit::Rate { rate, depth_s, tokens, refilled_at } => {
                let refill = *rate * factor * now.since(*refilled_at).as_secs_f64();
                *tokens = (*tokens + refill).min(bucket_depth(*rate, *depth_s, factor));
                *refilled_at = now;
            }
            Limit::Window { window, index, count, .. } => {
                let current = now.since(Time::default()).as_nanos() / window.as_nanos().max(1);
                if *index != current {
                    (*index, *count) = (current, 0.0);
                }
            }
        }
    }

    /// Returns whether a call is within the limit and counts it if it is, or if rejected calls count too.
    pub fn try_acquire(&mut self, now: Time, factor: f64, counts_rejected: bool) -> bool {
        self.advance(now, factor);
        match self {
            Limit::None => true,
            Limit::Rate { tokens, .. } => {
                let is_within = *tokens >= 1.0;
                if is_within {
                    *tokens -= 1.0;
                } else if counts_rejected {
                    *tokens = (*tokens - 1.0).max(-1.0);
                }
                is_within
            }
            Limit::Window { rate, window, count, .. } => {
                let is_within = *count < window_limit(*rate, *window, factor).floor();
                if is_within || counts_rejected {
                    *count += 1.0;
                }
                is_within
            }
        }
    }

    /// The remaining fraction of the limit, from 0 to 1; 0 without a limit.
    pub fn remaining_fraction(&mut self, now: Time, factor: f64) -> f64 {
        self.advance(now, factor);
        match self {
            Limit::None => 0.0,
            Limit::Rate { rate, depth_s, tokens, .. } => {
                (*tokens / bucket_depth(*rate, *depth_s, factor)).clamp(0.0, 1.0)
            }
            Limit::Window { rate, window, count, .. } => {
                (1.0 - *count / window_limit(*rate, *window, factor)).clamp(0.0, 1.0)
            }
        }
    }

    /// The time until a call is within the limit again if no other call is made before.
    pub fn time_until_available(&mut self, now: Time, factor: f64) -> Span {
        self.advance(now, factor);
        match self {
            Limit::None => Span::ZERO,
            Limit::Rate { rate, tokens, .. } => {
                Span::from_secs_f64((1.0 - *tokens).max(0.0) / (*rate * factor).max(1e-9))
            }
            Limit::Window { window, .. } => {
                let window = window.as_nanos().max(1);
                Span::from_nanos(window - now.since(Time::default()).as_nanos() % window)
            }
        }
    }
}
