//! Traces of which evidence counts as contact with the other keepers.

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::replication::{Epoch, Voter};
use juniperwing_protocol::{DiskId, EpochNumber};
use juniperwing_registry::{Contact, needed_confirmations};

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

/// Guard: only round trips count towards the majority. A keeper that hears all others but is heard by none (a
/// one-way cut) has no contact.
#[test]
fn hearing_the_others_without_being_heard_is_no_contact() {
    let mut contact = contact();
    let epoch = epoch(5, &[1, 2, 3]);
    for ms in (0..20_000).step_by(150) {
        contact.record_message(at(ms), DiskId(2));
        contact.record_message(at(ms), DiskId(3));
        assert!(!contact.has_majority(at(ms), ME, &epoch));
    }
    assert!(contact.has_recent_message(at(20_000), DiskId(2)));
}

/// Guard: the primary alone does not stand for the majority, not even right after the start.
#[test]
fn a_young_keeper_needs_a_majority_like_any_other() {
    let mut contact = contact();
    let epoch = Epoch { primary: DiskId(2), ..epoch(5, &[1, 2, 3, 4, 5]) };
    contact.record_reply(at(10), DiskId(2), at(0), EpochNumber(5));
    assert!(!contact.has_majority(at(10), ME, &epoch));
    contact.record_reply(at(20), DiskId(3), at(0), EpochNumber(5));
    assert!(contact.has_majority(at(20), ME, &epoch));
}

#[test]
fn one_answer_makes_a_majority_of_three() {
    let mut contact = contact();
    let epoch = epoch(5, &[1, 2, 3]);
    assert!(!contact.has_majority(at(0), ME, &epoch));
    contact.record_reply(at(5), DiskId(3), at(0), EpochNumber(5));
    assert!(contact.has_majority(at(5), ME, &epoch));
}

#[test]
fn contact_ends_when_the_window_is_over() {
    let mut contact = contact();
    let epoch = epoch(5, &[1, 2, 3]);
    contact.record_reply(at(105), DiskId(2), at(100), EpochNumber(5));
    assert!(contact.has_majority(at(100 + WINDOW_MS), ME, &epoch));
    assert!(!contact.has_majority(at(101 + WINDOW_MS), ME, &epoch));
}

/// Guard: the time of the question counts, not that of the answer. A process that was frozen finds old answers.
#[test]
fn an_answer_that_comes_late_proves_nothing_about_the_present() {
    let mut contact = contact();
    let epoch = epoch(5, &[1, 2, 3]);
    contact.record_reply(at(20_000), DiskId(2), at(100), EpochNumber(5));
    assert!(!contact.has_majority(at(20_000), ME, &epoch));
}

#[test]
fn an_older_answer_does_not_replace_a_newer_one() {
    let mut contact = contact();
    let epoch = epoch(5, &[1, 2, 3]);
    contact.record_reply(at(1_010), DiskId(2), at(1_000), EpochNumber(5));
    contact.record_reply(at(1_020), DiskId(2), at(100), EpochNumber(5));
    assert!(contact.has_majority(at(2_000), ME, &epoch));
}

/// Guard: answers of keepers in a higher epoch do not count until this keeper knows that epoch.
#[test]
fn a_keeper_that_is_behind_the_others_has_no_contact_until_it_knows_their_epoch() {
    let mut contact = contact();
    contact.record_reply(at(10), DiskId(2), at(0), EpochNumber(6));
    assert!(!contact.has_majority(at(10), ME, &epoch(5, &[1, 2, 3])));
    assert!(contact.has_majority(at(20), ME, &epoch(6, &[1, 2, 4])));
    assert!(!contact.has_majority(at(20), ME, &epoch(6, &[1, 3, 4])));
}

/// Guard: an epoch that still depends on the voters before it needs a majority of both.
#[test]
fn a_change_of_voters_that_is_not_settled_needs_both_majorities() {
    let mut contact = contact();
    let unsettled = Epoch { previous_voters: voters(&[1, 4, 5]), ..epoch(5, &[1, 2, 3]) };
    contact.record_reply(at(10), DiskId(2), at(0), EpochNumber(5));
    assert!(!contact.has_majority(at(10), ME, &unsettled));
    contact.record_reply(at(10), DiskId(4), at(0), EpochNumber(5));
    assert!(contact.has_majority(at(10), ME, &unsettled));
}

#[test]
fn a_keeper_that_does_not_vote_counts_only_the_others() {
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
fn what_is_remembered_is_bounded() {
    let mut contact = contact();
    for disk in 0..10_000 {
        contact.record_reply(at(disk * 10), DiskId(disk), at(disk * 10), EpochNumber(5));
    }
    assert!(contact.len() <= 257);
}

/// Guard: with more voters than the tolerated losses need, a majority alone could miss all keepers that a relay is
/// subscribed to.
#[test]
fn any_keepers_that_a_relay_subscribes_to_meet_those_that_confirm() {
    for tolerated in 0..=4 {
        for voters in 1..=9 {
            let needed = needed_confirmations(voters, tolerated);
            let subscriptions = (tolerated + 1).min(voters);
            assert!(needed + subscriptions > voters, "{voters} voters, {tolerated} losses");
            assert!(2 * needed > voters && needed <= voters);
        }
    }
    // The losses that are tolerated do not keep an end from being acknowledged.
    assert_eq!(
        [(3, 1), (5, 2), (4, 1), (5, 1)].map(|(voters, lost)| needed_confirmations(voters, lost)),
        [2, 3, 3, 4]
    );
}

/// Guard: the time of the answered question counts, for the slowest keeper of the fastest majority.
#[test]
fn contact_is_proved_up_to_the_question_that_a_majority_has_answered() {
    let mut contact = contact();
    let epoch = epoch(5, &[1, 2, 3, 4, 5]);
    for (disk, asked_ms) in [(2, 100), (3, 300), (4, 900)] {
        contact.record_reply(at(1_000), DiskId(disk), at(asked_ms), EpochNumber(5));
    }
    assert_eq!(contact.confirmed_until(at(1_000), ME, &epoch), Some(at(300)));
    assert_eq!(contact.confirmed_until(at(1_600), ME, &epoch), None);
    let alone = Epoch { voters: voters(&[1]), ..epoch.clone() };
    assert_eq!(contact.confirmed_until(at(1_600), ME, &alone), Some(at(1_600)));
}

/// Guard: while an epoch is not settled, the voters before it count too.
#[test]
fn contact_with_both_sets_of_voters_is_proved_up_to_the_older_question() {
    let mut contact = contact();
    let epoch = Epoch { previous_voters: voters(&[1, 4, 5]), ..epoch(5, &[1, 2, 3]) };
    contact.record_reply(at(1_000), DiskId(2), at(900), EpochNumber(5));
    assert_eq!(contact.confirmed_until(at(1_000), ME, &epoch), None);
    contact.record_reply(at(1_000), DiskId(4), at(400), EpochNumber(5));
    assert_eq!(contact.confirmed_until(at(1_000), ME, &epoch), Some(at(400)));
}
