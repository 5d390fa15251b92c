//! "Meeting Deadlines through Restart" (van Moorsel and Wolter) as a library: how long a try may last, when
//! none is worth making, and whose a freed slot is. Pure: no I/O, no clock but the `now` handed in.

mod fit;
mod latency;
mod slot_times;

pub use fit::Fit;
pub use latency::{LatencyModel, WARM_UP};
pub use slot_times::SlotTimes;
