//! Explores every order of events of a small tier: three keepers, two writes, one lost disk, and messages
//! that may be lost, delayed and duplicated arbitrarily. Removing any guard must violate a property.
//!
//! Explorations that are too large to run in every build are listed in `docs/control-voters.md`, with their
//! numbers of states.

mod epoch_model;

use std::time::{Duration, Instant};

use epoch_model::properties::SAFETY;
use epoch_model::rules::{Mutation, Rules};
use stateright::{Checker, HasDiscoveries, Model};

const THREADS: usize = 3;

/// Much longer than any exploration takes.
const EXPLORATION_TIMEOUT: Duration = Duration::from_secs(240);

/// Three keepers, two writes, and two epochs after the bootstrap.
const WRITES: Rules = Rules {
    max_elections: 2,
    max_writes: 2,
    max_restarts: 0,
    admits_newcomer_first: false,
    lost_keeper: None,
    has_newcomer: false,
    has_read: false,
    mutation: None,
};

/// A read concurrent with the writes, around one change of epoch.
const READS: Rules = Rules { max_elections: 1, has_read: true, ..WRITES };

/// A newcomer replaces any of the voters, around two writes.
const ADMISSION: Rules =
    Rules { max_elections: 1, admits_newcomer_first: true, has_newcomer: true, ..WRITES };

/// A keeper has lost its disk, its replacement joins, and then any keeper starts an election.
const LOST_DISK: Rules = Rules { max_elections: 2, lost_keeper: Some(2), ..ADMISSION };

/// The primary has lost its disk: a backup takes over, the replacement joins, and then any keeper starts an
/// election.
const LOST_PRIMARY: Rules = Rules {
    max_elections: 3,
    max_writes: 1,
    lost_keeper: Some(0),
    admits_newcomer_first: false,
    ..ADMISSION
};

/// Explores all states. None may violate a safety property, and each of the properties `must_reach` must be
/// reached.
fn explore(rules: Rules, must_reach: &[&str]) {
    let started_at = Instant::now();
    let checker = rules
        .checker()
        .threads(THREADS)
        .finish_when(HasDiscoveries::AnyFailures)
        .timeout(EXPLORATION_TIMEOUT);
    let checker = checker.spawn_bfs().join();
    let discoveries = checker.discoveries();
    for name in SAFETY {
        let path = discoveries.get(name).cloned().map(stateright::Path::into_actions);
        assert_eq!(path, None, "{name}");
    }
    assert!(started_at.elapsed() < EXPLORATION_TIMEOUT, "the exploration timed out");
    for name in must_reach {
        assert!(discoveries.contains_key(name), "state never reached: {name}");
    }
    println!("{} states, {:?}", checker.unique_state_count(), started_at.elapsed());
}

/// Removes a guard; some safety property must be violated.
fn expect_violation(rules: Rules, mutation: Mutation) {
    let rules = Rules { mutation: Some(mutation), ..rules };
    let checker = rules
        .checker()
        .threads(THREADS)
        .finish_when(HasDiscoveries::AnyFailures)
        .timeout(EXPLORATION_TIMEOUT);
    let checker = checker.spawn_bfs().join();
    let violated = SAFETY.iter().find(|name| checker.discoveries().contains_key(*name));
    println!("{mutation:?}: {violated:?}, {} states", checker.unique_state_count());
    assert!(violated.is_some(), "{mutation:?} violates no safety property");
}

#[test]
fn two_epoch_changes_lose_no_write() {
    explore(WRITES, &["all writes are acknowledged"]);
}

#[test]
fn read_reflects_all_writes_acknowledged_before() {
    explore(READS, &["all writes are acknowledged", "a read is confirmed after a change of primary"]);
}

#[test]
fn replacement_joins_between_two_writes() {
    explore(ADMISSION, &["all writes are acknowledged"]);
}

#[test]
fn replacement_of_a_wiped_keeper_forms_no_majority_without_acknowledged_writes() {
    explore(LOST_DISK, &["a newcomer is primary", "all writes are acknowledged"]);
}

#[test]
fn replacement_of_a_wiped_primary_forms_no_majority_without_acknowledged_writes() {
    explore(LOST_PRIMARY, &["a newcomer is primary"]);
}

#[test]
fn accepting_an_epoch_below_the_promise_is_unsafe() {
    expect_violation(WRITES, Mutation::AcceptsBelowPromise);
}

#[test]
fn electing_a_keeper_out_of_sync_is_unsafe() {
    expect_violation(WRITES, Mutation::ElectsKeeperOutOfSync);
}

#[test]
fn counting_promises_as_in_sync_is_unsafe() {
    expect_violation(WRITES, Mutation::CountsPromisesAsInSync);
}

#[test]
fn acknowledging_before_all_in_sync_replicas_is_unsafe() {
    expect_violation(WRITES, Mutation::AcknowledgesBeforeAllInSync);
}

#[test]
fn ignoring_accepted_epochs_is_unsafe() {
    expect_violation(WRITES, Mutation::IgnoresAcceptedEpochs);
}

#[test]
fn changing_a_superseded_epoch_is_unsafe() {
    expect_violation(WRITES, Mutation::ChangesSupersededEpoch);
}

#[test]
fn keeping_the_vote_of_a_wiped_keeper_is_unsafe() {
    expect_violation(WRITES, Mutation::WipedKeeperKeepsVote);
}

#[test]
fn changing_voters_without_the_previous_voters_is_unsafe() {
    expect_violation(
        Rules { lost_keeper: None, max_writes: 1, ..LOST_DISK },
        Mutation::ChangesVotersWithoutPreviousVoters,
    );
}

#[test]
fn admitting_a_voter_without_the_state_is_unsafe() {
    expect_violation(LOST_DISK, Mutation::AdmitsVoterWithoutState);
}

#[test]
fn confirming_a_read_without_a_majority_is_unsafe() {
    expect_violation(READS, Mutation::ConfirmsReadsWithoutMajority);
}
