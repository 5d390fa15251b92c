//! The invariants and their names.

/// A condition that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// A keeper accepts no epoch below one that it has accepted or promised.
    EpochNeverDecreases,
    /// Two epochs with the same number have the same primary, in-sync replicas and voters.
    EpochNumberIsUnique,
    /// The committed version of a keeper never decreases while its process runs.
    CommittedVersionNeverDecreases,
    /// A version that a primary commits is on its own disk and on as many in-sync disks as are required.
    CommittedVersionIsDurable,
    /// An order that was acknowledged (status 200) is part of the committed state.
    AcknowledgedOrderIsCommitted,
    /// The configuration version in force at a relay never decreases while its process runs.
    ConfigurationVersionNeverDecreases,
    /// The version of a store's map never decreases below one that the store has acted on.
    StoreMapVersionNeverDecreases,
    /// When a turn is admitted, the program's reservations and committed tokens together do not exceed its budget.
    ReservationsWithinBudget,
    /// A turn commits no more tokens than were reserved for it.
    CommitWithinReservation,
    /// A stored turn never changes its contents.
    StoredTurnIsImmutable,
    /// A write is acknowledged only when every in-sync replica has it, and there are as many of them as required.
    AcknowledgedOnAllReplicas,
    /// Event ids increase within a response.
    EventIdsIncrease,
    /// A response that is forwarded carries the id of its request.
    ResponseMatchesRequest,
    /// A request that is not idempotent is not sent again once it may have been executed.
    SentOnceUnlessIdempotent,
    /// Statuses that guarantee that a request was not executed are returned only where that is known.
    NotExecutedOnlyIfKnown,
    /// A relay without requests buffers no bytes of bodies.
    NoBufferedBytesWhenIdle,
    /// A relay without requests occupies no slots at endpoints.
    NoOccupiedSlotsWhenIdle,
    /// An essential task runs as long as its process.
    EssentialTaskRuns,
}

impl Invariant {
    /// All invariants, in the order of their declaration.
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

    /// The name in logs and metrics. These names are stable: alerts are written against them.
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

    /// The index in [`Invariant::ALL`].
    pub(crate) fn index(self) -> usize {
        self as usize
    }
}
