//! The log: one JSON object a line on standard error.

use std::any::Any;
use std::io::{self, Write};
use std::panic;
use std::process::exit;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use juniperwing_invariants::report_to;
use slog::{Drain, Level, Logger, crit, o};

use crate::panics::is_isolated;
use crate::rate_limit::RateLimit;

/// Violations of invariants that are logged in a second; all are counted.
const VIOLATIONS_PER_SECOND: u32 = 20;

/// The exit code of a process that a panic has ended, as of any Rust program.
const PANICKED: i32 = 101;

static PANICS: AtomicU64 = AtomicU64::new(0);

/// The log of a process, from `level` upward. Lines are written at once: a process writes few.
pub fn logger(level: Level, role: &'static str, node: &str) -> Logger {
    let lines = slog_json::Json::new(WholeLines::new(io::stderr())).add_default_keys().build();
    let drain = Mutex::new(lines).filter_level(level).ignore_res();
    Logger::root(drain, o!("role" => role, "node" => node.to_owned()))
}

/// Has panics and violated invariants of this process logged and counted. A panic ends the process, unless it is
/// isolated (`panics`).
pub fn log_faults(log: &Logger) {
    let panics = log.clone();
    panic::set_hook(Box::new(move |panic| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        let place = panic.location().map(ToString::to_string).unwrap_or_default();
        let is_isolated = is_isolated();
        crit!(panics, "panic"; "place" => place, "why" => message(panic.payload()),
            "ends the process" => !is_isolated);
        if !is_isolated {
            exit(PANICKED);
        }
    }));
    let violations = log.clone();
    let limit = RateLimit::per_second(VIOLATIONS_PER_SECOND);
    // A second role in one process, as in tests, keeps the first one's reporter.
    let _ = report_to(Box::new(move |violation| {
        if let Some(unlogged) = limit.take() {
            crit!(violations, "invariant violated"; "invariant" => violation.invariant.name(),
                "details" => &violation.details, "unlogged" => unlogged);
        }
    }));
}

/// The text that a panic carries.
fn message(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or("no text")
}

/// Panics of this process so far.
pub fn panics() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

/// Hands whole lines on in one write each, so that lines of several processes don't mix and a line costs one system
/// call.
#[derive(Debug)]
struct WholeLines<W> {
    inner: W,
    line: Vec<u8>,
}

impl<W: Write> WholeLines<W> {
    fn new(inner: W) -> Self {
        WholeLines { inner, line: Vec::new() }
    }
}

impl<W: Write> Write for WholeLines<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let written = self.inner.write_all(&self.line);
            self.line.clear();
            written?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}
