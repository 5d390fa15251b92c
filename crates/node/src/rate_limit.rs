//! Bounds how often something is logged.

use std::sync::Mutex;

use juniperwing_clock::{Span, Time};

use crate::clock::now;
use crate::sync::lock;

const SECOND: Span = Span::from_millis(1_000);

/// Lets a number of events pass in each second and counts the rest.
#[derive(Debug)]
pub struct RateLimit {
    most: u32,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    second_began: Time,
    passed: u32,
    suppressed: u64,
}

impl RateLimit {
    /// Lets `most` events pass in each second.
    pub const fn per_second(most: u32) -> RateLimit {
        let state = State { second_began: Time::from_nanos(0), passed: 0, suppressed: 0 };
        RateLimit { most, state: Mutex::new(state) }
    }

    /// Whether the next event may pass; with it, how many were held back since the last one that did.
    pub fn take(&self) -> Option<u64> {
        let now = now();
        let mut state = lock(&self.state);
        if now.since(state.second_began) >= SECOND {
            state.second_began = now;
            state.passed = 0;
        }
        if state.passed >= self.most {
            state.suppressed += 1;
            return None;
        }
        state.passed += 1;
        Some(std::mem::take(&mut state.suppressed))
    }
}
