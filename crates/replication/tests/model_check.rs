//! Explores every order of events of a small tier: three keepers, two writes, one lost disk, messages that
//! are lost, late and duplicated at will. Each guard that is taken out must break a property.
//!
//! What is too large for every build stands in `docs/control-voters.md`, with its number of states.

mod epoch_model;

use std::time::{Duration, Instant};

use epoch_model::properties::SAFETY;
use epoch_model::rules::{Mutation, Rules};
use stateright::{Checker, HasDiscoveries, Model};

const THREADS: usize = 3;

/// Much longer than any of these takes.
const LIMIT: Duration = Duration::from_secs(240);

/// Three keepers, two writes, and two epochs after the founding one.
const WRITES: Rules = Rules {
    elections: 2,
    writes: 2,
    restarts: 0,
    admits_first: false,
    lost: None,
    newcomer: false,
    read: false,
    mutation: None,
};

/// A read beside the writes, around one change of epoch.
const READS: Rules = Rules { elections: 1, read: true, ..WRITES };

/// A successor is let in beside the others, or in the place of any of them, around two writes.
const ADMISSION: Rules = Rules { elections: 1, admits_first: true, newcomer: true, ..WRITES };

/// A keeper has lost its disk, its successor is let in, and then anybody seeks an epoch.
const LOST_DISK: Rules = Rules { elections: 2, lost: Some(2), ..ADMISSION };

/// The primary has lost its disk: a backup takes over, lets the successor in, and then anybody seeks an
/// epoch.
const LOST_PRIMARY: Rules =
    Rules { elections: 3, writes: 1, lost: Some(0), admits_first: false, ..ADMISSION };

/// Explores all states. None may break a property, and each of `reached` must be met.
fn explore(rules: Rules, reached: &[&str]) {
    let begun = Instant::now();
    let checker = rules.checker().threads(THREADS).finish_when(HasDiscoveries::AnyFailures).timeout(LIMIT);
    let checker = checker.spawn_bfs().join();
    let discoveries = checker.discoveries();
    for name in SAFETY {
        let path = discoveries.get(name).cloned().map(|path| path.into_actions());
        assert_eq!(path, None, "{name}");
    }
    assert!(begun.elapsed() < LIMIT, "not explored completely");
    for name in reached {
        assert!(discoveries.contains_key(name), "never reached: {name}");
    }
    println!("{} states, {:?}", checker.unique_state_count(), begun.elapsed());
}

/// Takes a guard out; some property must break.
fn expect_caught(rules: Rules, mutation: Mutation) {
    let rules = Rules { mutation: Some(mutation), ..rules };
    let checker = rules.checker().threads(THREADS).finish_when(HasDiscoveries::AnyFailures).timeout(LIMIT);
    let checker = checker.spawn_bfs().join();
    let broken = SAFETY.iter().find(|name| checker.discoveries().contains_key(*name));
    println!("{mutation:?}: {broken:?}, {} states", checker.unique_state_count());
    assert!(broken.is_some(), "{mutation:?} is not caught");
}

#[test]
fn two_epoch_changes_lose_no_write() {
    explore(WRITES, &["all writes are acknowledged"]);
}

#[test]
fn read_reflects_all_writes_acknowledged_before() {
    explore(READS, &["all writes are acknowledged", "a read is confirmed after a take-over"]);
}

#[test]
fn replacement_joins_between_two_writes() {
    explore(ADMISSION, &["all writes are acknowledged"]);
}

#[test]
fn replacement_of_a_wiped_keeper_forms_no_majority_without_acknowledged_writes() {
    explore(LOST_DISK, &["a newcomer leads", "all writes are acknowledged"]);
}

#[test]
fn replacement_of_a_wiped_primary_forms_no_majority_without_acknowledged_writes() {
    explore(LOST_PRIMARY, &["a newcomer leads"]);
}

#[test]
fn accepting_an_epoch_below_the_promise_is_unsafe() {
    expect_caught(WRITES, Mutation::AcceptsBelowPromise);
}

#[test]
fn electing_a_keeper_out_of_sync_is_unsafe() {
    expect_caught(WRITES, Mutation::TakesOverOutOfSync);
}

#[test]
fn counting_promises_as_in_sync_is_unsafe() {
    expect_caught(WRITES, Mutation::CountsAllAsInSync);
}

#[test]
fn acknowledging_before_all_in_sync_replicas_is_unsafe() {
    expect_caught(WRITES, Mutation::AcknowledgesBeforeAllInSync);
}

#[test]
fn ignoring_accepted_epochs_is_unsafe() {
    expect_caught(WRITES, Mutation::IgnoresAcceptedEpochs);
}

#[test]
fn changing_a_superseded_epoch_is_unsafe() {
    expect_caught(WRITES, Mutation::ChangesAnEpochThatIsOver);
}

#[test]
fn keeping_the_vote_of_a_wiped_keeper_is_unsafe() {
    expect_caught(WRITES, Mutation::WipedKeepsItsVote);
}

#[test]
fn changing_voters_without_the_previous_voters_is_unsafe() {
    expect_caught(
        Rules { lost: None, writes: 1, ..LOST_DISK },
        Mutation::ChangesVotersWithoutThePreviousOnes,
    );
}

#[test]
fn admitting_a_voter_without_the_state_is_unsafe() {
    expect_caught(LOST_DISK, Mutation::AdmitsWithoutState);
}

#[test]
fn confirming_a_read_without_a_majority_is_unsafe() {
    expect_caught(READS, Mutation::ConfirmsReadsAlone);
}
