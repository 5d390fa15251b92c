//! Rate limit for log lines.

use std::sync::Mutex;

use juniperwing_clock::{Span, Time};

use crate::clock::now;
use crate::sync::lock;

const SECOND: Span = Span::from_millis(1_000);

/// Admits a limited number of events per second and counts the suppressed ones.
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
    /// Creates a limit of `max_per_second` events per second.
    pub const fn per_second(max_per_second: u32) -> RateLimit {
        let state = State { second_started_at: Time::from_nanos(0), admitted: 0, suppressed: 0 };
        RateLimit { max_per_second, state: Mutex::new(state) }
    }

    /// Admits the next event and returns how many were suppressed since the last admitted one; `None` if the limit is
    /// reached.
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
