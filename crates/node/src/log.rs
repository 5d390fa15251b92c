//! Logging: one JSON object per line on standard error. Panics and violated invariants are logged as well.

use std::any::Any;
use std::io;
use std::panic;
use std::process::exit;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use juniperwing_invariants::set_reporter;
use juniperwing_log::{FlushGuard, background};
use slog::{Level, Logger, crit, o};

use crate::panics::is_isolated;
use crate::rate_limit::RateLimit;
use crate::sync::lock;

/// Maximum number of logged invariant violations per second; all violations are counted.
const MAX_LOGGED_VIOLATIONS_PER_SECOND: u32 = 20;

/// Exit code of a process that panicked, the same as of any Rust program.
const PANIC_EXIT_CODE: i32 = 101;

static PANIC_COUNT: AtomicU64 = AtomicU64::new(0);

/// Guard that flushes the log, taken when the process terminates.
static FLUSH_GUARD: Mutex<Option<FlushGuard>> = Mutex::new(None);

/// Creates the logger of a process, for records of `level` or more severe ones.
pub fn logger(level: Level, role: &'static str, node: &str) -> Logger {
    let values = o!("role" => role, "node" => node.to_owned());
    let (logger, guard) = background(io::stderr(), level, values);
    *lock(&FLUSH_GUARD) = Some(guard);
    logger
}

/// Waits, for a bounded time, until all log records are written. It is called when the process exits; records logged
/// afterwards are lost.
pub fn flush() {
    let guard = lock(&FLUSH_GUARD).take();
    if let Some(guard) = guard {
        guard.flush();
    }
}

/// Installs hooks that log and count panics and violated invariants of this process.
///
/// A panic terminates the process, unless it is isolated (see [`crate::panics`]).
pub fn install_fault_logging(log: &Logger) {
    let panic_log = log.clone();
    panic::set_hook(Box::new(move |panic| {
        PANIC_COUNT.fetch_add(1, Ordering::Relaxed);
        let location = panic.location().map(ToString::to_string).unwrap_or_default();
        let is_isolated = is_isolated();
        crit!(panic_log, "panic"; "location" => location, "reason" => panic_message(panic.payload()),
            "is_fatal" => !is_isolated);
        if !is_isolated {
            flush();
            exit(PANIC_EXIT_CODE);
        }
    }));
    let violation_log = log.clone();
    let limit = RateLimit::per_second(MAX_LOGGED_VIOLATIONS_PER_SECOND);
    // Fails for a second role in the same process, as in tests, which uses the reporter of the first one.
    let _ = set_reporter(Box::new(move |violation| {
        if let Some(suppressed) = limit.try_acquire() {
            crit!(violation_log, "invariant violated"; "invariant" => violation.invariant.name(),
                "details" => &violation.details, "suppressed" => suppressed);
        }
    }));
}

/// The message of a panic.
fn panic_message(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("the payload is not a string")
}

/// The number of panics of this process so far.
pub fn panic_count() -> u64 {
    PANIC_COUNT.load(Ordering::Relaxed)
}
