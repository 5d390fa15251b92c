//! Clocks and random numbers of a process, which a simulated machine replaces by those of the simulation.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use juniperwing_clock::{Span, Time};

use crate::host;

/// The monotonic time since the first call in this process; on a simulated machine that of the simulation.
pub fn now() -> Time {
    static START: OnceLock<Instant> = OnceLock::new();
    if let Some(host) = host::simulated_host() {
        return host.now();
    }
    let start = START.get_or_init(Instant::now);
    Time::from_nanos(1 + start.elapsed().as_nanos() as u64)
}

/// Wall-clock time in milliseconds since the Unix epoch. It may jump and differs between machines.
pub fn unix_time_ms() -> u64 {
    if let Some(host) = host::simulated_host() {
        return host.unix_time_ms();
    }
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Returns a random number, different in every process and for every call.
pub fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    if let Some(host) = host::simulated_host() {
        return host.random();
    }
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u64(now().since(Time::default()).as_nanos());
    hasher.write_u64(unix_time_ms());
    hasher.write_u32(std::process::id());
    hasher.finish()
}

/// Converts a span to the standard type, which timers require.
pub fn duration(span: Span) -> std::time::Duration {
    std::time::Duration::from_nanos(span.as_nanos())
}
