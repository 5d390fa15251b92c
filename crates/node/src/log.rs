//! The log: one JSON object a line on standard error.

use std::any::Any;
use std::io;
use std::panic;
use std::process::exit;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use juniperwing_invariants::report_to;
use juniperwing_log::{FlushGuard, background};
use slog::{Level, Logger, crit, o};

use crate::panics::is_isolated;
use crate::rate_limit::RateLimit;
use crate::sync::lock;

/// Violations of invariants that are logged in a second; all are counted.
const MAX_LOGGED_VIOLATIONS_PER_SECOND: u32 = 20;

/// The exit code of a process that a panic has ended, as of any Rust program.
const PANIC_EXIT_CODE: i32 = 101;

static PANIC_COUNT: AtomicU64 = AtomicU64::new(0);

/// Flushes the log; wherever the process ends, whoever ends it takes the guard.
static FLUSH_GUARD: Mutex<Option<FlushGuard>> = Mutex::new(None);

/// The log of a process, from `level` upward.
pub fn logger(level: Level, role: &'static str, node: &str) -> Logger {
    let values = o!("role" => role, "node" => node.to_owned());
    let (logger, guard) = background(io::stderr(), level, values);
    *lock(&FLUSH_GUARD) = Some(guard);
    logger
}

/// Waits until all that was logged is written, for a bounded time. To be called at the end of the process: what is logged
/// afterwards is lost.
pub fn flush() {
    let guard = lock(&FLUSH_GUARD).take();
    if let Some(guard) = guard {
        guard.flush();
    }
}

/// Has panics and violated invariants of this process logged and counted. A panic ends the process, unless it is
/// isolated (`panics`).
pub fn install_fault_logging(log: &Logger) {
    let panics = log.clone();
    panic::set_hook(Box::new(move |panic| {
        PANIC_COUNT.fetch_add(1, Ordering::Relaxed);
        let place = panic.location().map(ToString::to_string).unwrap_or_default();
        let is_isolated = is_isolated();
        crit!(panics, "panic"; "place" => place, "why" => panic_message(panic.payload()),
            "ends the process" => !is_isolated);
        if !is_isolated {
            flush();
            exit(PANIC_EXIT_CODE);
        }
    }));
    let violations = log.clone();
    let limit = RateLimit::per_second(MAX_LOGGED_VIOLATIONS_PER_SECOND);
    // A second role in one process, as in tests, keeps the first one's reporter.
    let _ = report_to(Box::new(move |violation| {
        if let Some(unlogged) = limit.try_acquire() {
            crit!(violations, "invariant violated"; "invariant" => violation.invariant.name(),
                "details" => &violation.details, "unlogged" => unlogged);
        }
    }));
}

/// The text that a panic carries.
fn panic_message(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or("no text")
}

/// Panics of this process so far.
pub fn panic_count() -> u64 {
    PANIC_COUNT.load(Ordering::Relaxed)
}
