//! Implements "Meeting Deadlines through Restart" (van Moorsel and Wolter): how long an attempt may last, and when too
//! little time is left for one. Also schedules slots between destinations.
//!
//! The crate does no I/O and reads no clock; callers pass the current time.

mod fit;
mod latency_model;
mod slot_times;

pub use fit::Fit;
pub use latency_model::{LatencyModel, MIN_FIT_SAMPLES};
pub use slot_times::SlotTimes;
