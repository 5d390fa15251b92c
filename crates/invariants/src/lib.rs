//! Conditions that must always hold, checked in the running code.
//!
//! A check is made at the place where the condition could break ([`check`]). A violation is counted by its
//! invariant and handed to the reporter of the process, which logs it; the process goes on. In builds with debug
//! assertions, and so in tests, a violation panics instead.
//!
//! `docs/promises.md` says which promise each invariant stands for.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// A condition that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// A keeper accepts no epoch below one that it has accepted or promised.
    EpochNeverDecreases,
    /// An epoch number stands for one primary, one in-sync set and one set of voters.
    EpochNumberIsUnique,
    /// The committed version of a keeper never falls within a life.
    CommittedVersionNeverDecreases,
    /// What a primary commits is on its own disk and in sync on as many disks as are required.
    CommittedVersionIsDurable,
    /// An order that is answered 200 is part of the committed state.
    AcknowledgedOrderIsCommitted,
    /// The configuration in force at a relay never falls within a life.
    ConfigurationVersionNeverDecreases,
    /// The store map of a store never falls below one that it has acted on.
    StoreMapVersionNeverDecreases,
    /// What is reserved and spent by a program never exceeds its budget when a turn is admitted.
    ReservationsWithinBudget,
    /// A turn is settled at no more tokens than were reserved for it.
    CommitWithinReservation,
    /// A turn is kept with one content.
    StoredTurnIsImmutable,
    /// A write is acknowledged only when every replica that counts has it, and there are enough of them.
    AcknowledgedOnAllReplicas,
    /// Event ids rise within an answer.
    EventIdsIncrease,
    /// An answer that is passed on bears the id of the request.
    ResponseMatchesRequest,
    /// A request that may run once is not sent again once it may have run.
    SentOnceUnlessIdempotent,
    /// Statuses that promise that a request has not run are given only where that is known.
    NotExecutedOnlyIfKnown,
    /// A relay without requests holds no bytes of bodies.
    NoBufferedBytesWhenIdle,
    /// A relay without requests holds no slots at endpoints.
    NoOccupiedSlotsWhenIdle,
    /// A task that a process cannot do without runs as long as the process.
    EssentialTaskRuns,
}

impl Invariant {
    /// All of them.
    pub const ALL: [Invariant; 18] = [
        Invariant::EpochNeverDecreases,
        Invariant::EpochNumberIsUnique,
        Invariant::CommittedVersionNeverDecreases,
        Invariant::CommittedVersionIsDurable,
        Invariant::AcknowledgedOrderIsCommitted,
        Invariant::ConfigurationVersionNeverDecreases,
        Invariant::StoreMapVersionNeverDecreases,
        Invariant::ReservationsWithinBudget,
        Invariant::CommitWithinReservation,
        Invariant::StoredTurnIsImmutable,
        Invariant::AcknowledgedOnAllReplicas,
        Invariant::EventIdsIncrease,
        Invariant::ResponseMatchesRequest,
        Invariant::SentOnceUnlessIdempotent,
        Invariant::NotExecutedOnlyIfKnown,
        Invariant::NoBufferedBytesWhenIdle,
        Invariant::NoOccupiedSlotsWhenIdle,
        Invariant::EssentialTaskRuns,
    ];

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::EpochNeverDecreases => "epoch_never_falls",
            Invariant::EpochNumberIsUnique => "one_epoch_for_a_number",
            Invariant::CommittedVersionNeverDecreases => "committed_version_never_falls",
            Invariant::CommittedVersionIsDurable => "committed_is_durable",
            Invariant::AcknowledgedOrderIsCommitted => "acknowledged_order_is_committed",
            Invariant::ConfigurationVersionNeverDecreases => "configuration_never_falls",
            Invariant::StoreMapVersionNeverDecreases => "store_map_never_falls",
            Invariant::ReservationsWithinBudget => "reservations_within_budget",
            Invariant::CommitWithinReservation => "settled_within_reservation",
            Invariant::StoredTurnIsImmutable => "turn_is_kept_once",
            Invariant::AcknowledgedOnAllReplicas => "acknowledged_on_all_replicas",
            Invariant::EventIdsIncrease => "event_ids_rise",
            Invariant::ResponseMatchesRequest => "answer_of_the_request",
            Invariant::SentOnceUnlessIdempotent => "sent_once_unless_repeatable",
            Invariant::NotExecutedOnlyIfKnown => "promise_only_if_not_run",
            Invariant::NoBufferedBytesWhenIdle => "no_bytes_held_when_idle",
            Invariant::NoOccupiedSlotsWhenIdle => "no_slots_held_when_idle",
            Invariant::EssentialTaskRuns => "essential_task_runs",
        }
    }

    /// Its place in [`Invariant::ALL`].
    fn position(self) -> usize {
        self as usize
    }
}

/// A condition that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// What identifies the request, turn or epoch.
    pub details: String,
}

/// Is told of violations.
pub type Reporter = Box<dyn Fn(&Violation) + Send + Sync>;

static VIOLATIONS: [AtomicU64; Invariant::ALL.len()] = [const { AtomicU64::new(0) }; Invariant::ALL.len()];
static REPORTER: OnceLock<Reporter> = OnceLock::new();

/// Names who is told of the violations of this process. Only the first call counts; `false` for later ones.
pub fn report_to(reporter: Reporter) -> bool {
    REPORTER.set(reporter).is_ok()
}

/// Checks a condition. `details` says what identifies the case, and is computed for violations only.
///
/// # Panics
///
/// If the condition does not hold and debug assertions are on.
pub fn check(invariant: Invariant, holds: bool, details: impl FnOnce() -> String) {
    if !holds {
        violated(invariant, details());
    }
}

/// How often a condition has not held in this process.
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATIONS[invariant.position()].load(Ordering::Relaxed)
}

#[cold]
fn violated(invariant: Invariant, details: String) {
    VIOLATIONS[invariant.position()].fetch_add(1, Ordering::Relaxed);
    let violation = Violation { invariant, details };
    if let Some(reporter) = REPORTER.get() {
        reporter(&violation);
    }
    debug_assert!(false, "invariant {} violated: {}", invariant.name(), violation.details);
}
