//! The clocks of a process. On a simulated machine they are that one's.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use juniperwing_clock::{Span, Time};

use crate::host;

/// Now on the steady clock, counted from the first call in this process.
pub fn now() -> Time {
    if let Some(host) = host::simulated_host() {
        return host.now();
    }
    static START: OnceLock<Instant> = OnceLock::new();
    let start = START.get_or_init(Instant::now);
    Time::from_nanos(1 + start.elapsed().as_nanos() as u64)
}

/// The time of day in milliseconds since 1970. It may jump, and differs between machines.
pub fn unix_time_ms() -> u64 {
    if let Some(host) = host::simulated_host() {
        return host.unix_time_ms();
    }
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A number that differs from process to process and from call to call.
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

/// A span as the type that timers take.
pub fn duration(span: Span) -> std::time::Duration {
    std::time::Duration::from_nanos(span.as_nanos())
}
