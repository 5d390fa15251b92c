//! "Meeting Deadlines through Restart" (van Moorsel and Wolter) as a library: how long an attempt may last, when none
//! has enough time left, and which destination gets a freed slot.
//!
//! It is pure: no I/O, and no clock but the `now` of the caller.

mod fit;
mod latency_model;
mod slot_times;

pub use fit::Fit;
pub use latency_model::{LatencyModel, MIN_FIT_SAMPLES};
pub use slot_times::SlotTimes;
