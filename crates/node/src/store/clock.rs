//! The clocks of a store.

use juniperwing_sessions::ClockReading;

use crate::clock::{now, unix_time_ms};

/// Reads the monotonic clock and the wall clock.
pub(super) fn read_clocks() -> ClockReading {
    ClockReading { now: now(), unix_time_ms: unix_time_ms() }
}
