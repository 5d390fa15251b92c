//! Quorum contact: which replies count, for how long, and for which epochs.

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::replication::{Epoch, Voter};
use juniperwing_protocol::{DiskId, EpochNumber};
use juniperwing_registry::{Contact, required_confirmations};

const ME: DiskId = DiskId(1);
const WINDOW_MS: u64 = 1_200;

fn at(ms: u64) -> Time {
    Time::default() + Span::from_millis(ms)
}

fn voters(disks: &[u64]) -> Vec<Voter> {
    let voter = |disk: &u64| Voter {
        disk: DiskId(*disk),
        node: format!("core-{disk}").as_str().into(),
        address: ([10, 0, 0, *disk as u8], 7000).into(),
    };
    disks.iter().map(voter).collect()
}

fn epoch(number: u64, disks: &[u64]) -> Epoch {
    Epoch { number: EpochNumber(number), voters: voters(disks), ..Epoch::default() }
}

fn contact() -> Contact {
    Contact::new(Span::from_millis(WINDOW_MS))
}

/// Only round trips count towards the majority. A keeper that receives from all others but reaches none of them
/// (a one-way partition) has no contact.
#[test]
fn messages_without_replies_are_no_contact() {
    let mut contact = contact();
    let epoch = epoch(5, &[1, 2, 3]);
    for ms in (0..20_000).step_by(150) {
        contact.record_message(at(ms), DiskId(2));
        contact.record_message(at(ms), DiskId(3));
        assert!(!contact.has_majority(at(ms), ME, &epoch));
    }
    assert!(contact.has_recent_message(at(20_000), DiskId(2)));
}

/// Contact with the primary alone is no majority, not even right after the start.
#[test]
fn a_keeper_that_has_just_started_needs_a_majority() {
    let mut contact = contact();
    let epoch = Epoch { primary: DiskId(2), ..epoch(5, &[1, 2, 3, 4, 5]) };
    contact.record_reply(at(10), DiskId(2), at(0), EpochNumber(5));
    assert!(!contact.has_majority(at(10), ME, &epoch));
    contact.record_reply(at(20), DiskId(3), at(0), EpochNumber(5));
    assert!(contact.has_majority(at(20), ME, &epoch));
}

#[test]
fn one_reply_makes_a_majority_of_three() {
    let mut contact = contact();
    let epoch = epoch(5, &[1, 2, 3]);
    assert!(!contact.has_majority(at(0), ME, &epoch));
    contact.record_reply(at(5), DiskId(3), at(0), EpochNumber(5));
    assert!(contact.has_majority(at(5), ME, &epoch));
}

#[test]
fn contact_ends_after_the_window() {
    let mut contact = contact();
    let epoch = epoch(5, &[1, 2, 3]);
    contact.record_reply(at(105), DiskId(2), at(100), EpochNumber(5));
    assert!(contact.has_majority(at(100 + WINDOW_MS), ME, &epoch));
    assert!(!contact.has_majority(at(101 + WINDOW_MS), ME, &epoch));
}

/// The time of the request counts, not that of the reply: a process that was paused receives old replies afterwards.
#[test]
fn a_delayed_reply_does_not_prove_present_contact() {
    let mut contact = contact();
    let epoch = epoch(5, &[1, 2, 3]);
    contact.record_reply(at(20_000), DiskId(2), at(100), EpochNumber(5));
    assert!(!contact.has_majority(at(20_000), ME, &epoch));
}

#[test]
fn an_older_reply_does_not_replace_a_newer_one() {
    let mut contact = contact();
    let epoch = epoch(5, &[1, 2, 3]);
    contact.record_reply(at(1_010), DiskId(2), at(1_000), EpochNumber(5));
    contact.record_reply(at(1_020), DiskId(2), at(100), EpochNumber(5));
    assert!(contact.has_majority(at(2_000), ME, &epoch));
}

/// Replies of keepers in a higher epoch do not count until this keeper knows that epoch.
#[test]
fn a_keeper_with_an_outdated_epoch_has_no_contact_until_it_knows_the_newer_one() {
    let mut contact = contact();
    contact.record_reply(at(10), DiskId(2), at(0), EpochNumber(6));
    assert!(!contact.has_majority(at(10), ME, &epoch(5, &[1, 2, 3])));
    assert!(contact.has_majority(at(20), ME, &epoch(6, &[1, 2, 4])));
    assert!(!contact.has_majority(at(20), ME, &epoch(6, &[1, 3, 4])));
}

/// An epoch that still depends on the previous voters needs a majority of both sets.
#[test]
fn an_uncommitted_change_of_voters_needs_both_majorities() {
    let mut contact = contact();
    let uncommitted = Epoch { previous_voters: voters(&[1, 4, 5]), ..epoch(5, &[1, 2, 3]) };
    contact.record_reply(at(10), DiskId(2), at(0), EpochNumber(5));
    assert!(!contact.has_majority(at(10), ME, &uncommitted));
    contact.record_reply(at(10), DiskId(4), at(0), EpochNumber(5));
    assert!(contact.has_majority(at(10), ME, &uncommitted));
}

#[test]
fn a_keeper_that_does_not_vote_counts_only_the_voters() {
    let mut contact = contact();
    let epoch = epoch(5, &[2, 3, 4]);
    contact.record_reply(at(10), DiskId(2), at(0), EpochNumber(5));
    assert!(!contact.has_majority(at(10), ME, &epoch));
    contact.record_reply(at(10), DiskId(3), at(0), EpochNumber(5));
    assert!(contact.has_majority(at(10), ME, &epoch));
}

#[test]
fn without_voters_there_is_no_contact_and_a_single_voter_is_its_own_majority() {
    assert!(!contact().has_majority(at(0), ME, &Epoch::default()));
    assert!(contact().has_majority(at(0), ME, &epoch(5, &[1])));
}

#[test]
fn the_number_of_entries_is_bounded() {
    let mut contact = contact();
    for disk in 0..10_000 {
        contact.record_reply(at(disk * 10), DiskId(disk), at(disk * 10), EpochNumber(5));
    }
    assert!(contact.len() <= 257);
}

/// With more voters than the tolerated failures require, a majority alone could miss all keepers that a relay is
/// subscribed to.
#[test]
fn the_subscriptions_of_any_relay_overlap_with_the_confirming_keepers() {
    for tolerated_failures in 0..=4 {
        for voters in 1..=9 {
            let needed = required_confirmations(voters, tolerated_failures);
            let subscriptions = (tolerated_failures + 1).min(voters);
            assert!(needed + subscriptions > voters, "{voters} voters, {tolerated_failures} failures");
            assert!(2 * needed > voters && needed <= voters);
        }
    }
    // Tolerated failures do not prevent a termination from being acknowledged.
    assert_eq!(
        [(3, 1), (5, 2), (4, 1), (5, 1)]
            .map(|(voters, tolerated_failures)| required_confirmations(voters, tolerated_failures)),
        [2, 3, 3, 4]
    );
}

/// The confirmed time is that of the oldest request among the majority with the newest requests.
#[test]
fn contact_is_confirmed_until_the_request_that_a_majority_replied_to() {
    let mut contact = contact();
    let epoch = epoch(5, &[1, 2, 3, 4, 5]);
    for (disk, sent_ms) in [(2, 100), (3, 300), (4, 900)] {
        contact.record_reply(at(1_000), DiskId(disk), at(sent_ms), EpochNumber(5));
    }
    assert_eq!(contact.confirmed_until(at(1_000), ME, &epoch), Some(at(300)));
    assert_eq!(contact.confirmed_until(at(1_600), ME, &epoch), None);
    let alone = Epoch { voters: voters(&[1]), ..epoch.clone() };
    assert_eq!(contact.confirmed_until(at(1_600), ME, &alone), Some(at(1_600)));
}

/// While an epoch is not committed, a majority of the previous voters is required as well.
#[test]
fn contact_with_both_sets_of_voters_is_confirmed_until_the_older_request() {
    let mut contact = contact();
    let epoch = Epoch { previous_voters: voters(&[1, 4, 5]), ..epoch(5, &[1, 2, 3]) };
    contact.record_reply(at(1_000), DiskId(2), at(900), EpochNumber(5));
    assert_eq!(contact.confirmed_until(at(1_000), ME, &epoch), None);
    contact.record_reply(at(1_000), DiskId(4), at(400), EpochNumber(5));
    assert_eq!(contact.confirmed_until(at(1_000), ME, &epoch), Some(at(400)));
}
