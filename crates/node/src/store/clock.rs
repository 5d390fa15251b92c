//! The clocks of a store.

use juniperwing_sessions::Moment;

use crate::clock::{now, unix_time_ms};

/// The present time on both clocks.
pub(super) fn moment() -> Moment {
    Moment { now: now(), unix_time_ms: unix_time_ms() }
}
