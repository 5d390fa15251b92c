//! Invariants that are checked at run time.
//!
//! [`check`] is called where an invariant could be violated. Violations are counted for each invariant and passed to the
//! reporter of the process, which logs them; the process continues. With debug assertions, as in tests, a violation panics.
//!
//! `docs/promises.md` maps the invariants to the guarantees that depend on them.

mod invariant;

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

pub use invariant::Invariant;

/// A condition that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// Identifies the request, turn or epoch.
    pub details: String,
}

/// Receives the violations of a process.
pub type Reporter = Box<dyn Fn(&Violation) + Send + Sync>;

/// The number of violations of each invariant, by its index.
static VIOLATION_COUNTS: [AtomicU64; Invariant::ALL.len()] =
    [const { AtomicU64::new(0) }; Invariant::ALL.len()];
static REPORTER: OnceLock<Reporter> = OnceLock::new();

/// Sets the reporter of this process. Only the first call takes effect; later ones return `false`.
pub fn set_reporter(reporter: Reporter) -> bool {
    REPORTER.set(reporter).is_ok()
}

/// Checks a condition. `details` identifies the case; it is evaluated for violations only.
///
/// # Panics
///
/// If the condition does not hold and debug assertions are on.
pub fn check(invariant: Invariant, holds: bool, details: impl FnOnce() -> String) {
    if !holds {
        report_violation(invariant, details());
    }
}

/// The number of violations of an invariant in this process.
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATION_COUNTS[invariant.index()].load(Ordering::Relaxed)
}

#[cold]
fn report_violation(invariant: Invariant, details: String) {
    VIOLATION_COUNTS[invariant.index()].fetch_add(1, Ordering::Relaxed);
    let violation = Violation { invariant, details };
    if let Some(reporter) = REPORTER.get() {
        reporter(&violation);
    }
    debug_assert!(false, "invariant {} violated: {}", invariant.name(), violation.details);
}
