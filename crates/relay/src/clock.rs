//! The process clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use juniperwing::time::Time;

/// Unix time that never steps: read from the system clock once, then advanced by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    unix_nanos_at_start: u64,
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_nanos_at_start = u64::try_from(unix.as_nanos()).unwrap_or(0);
        Clock { started_at: Instant::now(), unix_nanos_at_start }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        let elapsed_nanos = u64::try_from(self.started_at.elapsed().as_nanos()).unwrap_or(u64::MAX);
        Time::from_nanos(self.unix_nanos_at_start.saturating_add(elapsed_nanos))
    }
}
