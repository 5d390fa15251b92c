//! Bounds how often something is logged.

use std::sync::Mutex;

use juniperwing_clock::{Span, Time};

use crate::clock::now;
use crate::sync::lock;

const SECOND: Span = Span::from_millis(1_000);

/// Lets a number of events pass in each second and counts the rest.
#[derive(Debug)]
pub struct RateLimit {
    max_per_second: u32,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    second_started_at: Time,
    admitted: u32,
    suppressed: u64,
}

impl RateLimit {
    /// Lets `most` events pass in each second.
    pub const fn per_second(most: u32) -> RateLimit {
        let state = State { second_started_at: Time::from_nanos(0), admitted: 0, suppressed: 0 };
        RateLimit { max_per_second: most, state: Mutex::new(state) }
    }

    /// Whether the next event may pass; with it, how many were held back since the last one that did.
    pub fn try_acquire(&self) -> Option<u64> {
        let now = now();
        let mut state = lock(&self.state);
        if now.since(state.second_started_at) >= SECOND {
            state.second_started_at = now;
            state.admitted = 0;
        }
        if state.admitted >= self.max_per_second {
            state.suppressed += 1;
            return None;
        }
        state.admitted += 1;
        Some(std::mem::take(&mut state.suppressed))
    }
}
