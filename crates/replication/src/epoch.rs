//! Epoch numbers, the keepers that decide on the next epoch, and the order of epochs.
//!
//! An epoch number consists of a term (the high bits) and the identity of its proposer (the low bits).

use juniperwing_protocol::replication::{Epoch, Voter};
use juniperwing_protocol::{DiskId, EpochNumber};

/// The number of low bits that identify the proposer, so that no two keepers propose different epochs under
/// one number.
const PROPOSER_BITS: u32 = 32;

/// The term of the bootstrap epoch.
const BOOTSTRAP_TERM: u64 = 1;

/// The low bits of all numbers that the keeper with this disk proposes.
pub(crate) fn proposer_id(disk: DiskId) -> u64 {
    disk.0 & ((1 << PROPOSER_BITS) - 1)
}

/// The lowest number above `highest` that `disk` may propose.
pub(crate) fn next_epoch_number(highest: EpochNumber, disk: DiskId) -> EpochNumber {
    let term = (highest.0 >> PROPOSER_BITS) + 1;
    EpochNumber((term.min(u64::from(u32::MAX)) << PROPOSER_BITS) | proposer_id(disk))
}

/// Whether the number is that of a bootstrap epoch, which follows no other.
pub(crate) fn is_bootstrap(number: EpochNumber) -> bool {
    number.0 >> PROPOSER_BITS == BOOTSTRAP_TERM
}

/// All keepers that decide on the successor of `epoch`: its voters and its previous voters, without
/// duplicates.
pub(crate) fn electorate(epoch: &Epoch) -> Vec<Voter> {
    let mut electorate = epoch.voters.clone();
    for voter in &epoch.previous_voters {
        if !electorate.contains(voter) {
            electorate.push(voter.clone());
        }
    }
    electorate
}

/// The voter of `epoch` with that disk.
pub(crate) fn find_voter(epoch: &Epoch, disk: DiskId) -> Option<&Voter> {
    epoch.voters.iter().find(|voter| voter.disk == disk)
}

/// Whether the two epochs have different numbers or are equal. The previous voters may differ: they are empty
/// once the epoch is known to be chosen.
pub(crate) fn is_same_epoch(one: &Epoch, other: &Epoch) -> bool {
    let is_equal = one.primary == other.primary && one.in_sync == other.in_sync && one.voters == other.voters;
    one.number != other.number || is_equal
}

/// Whether `epoch` is newer than `than`: it has a higher number, or the same one and is now known to be
/// chosen.
pub(crate) fn is_newer(epoch: &Epoch, than: &Epoch) -> bool {
    let is_committed_now = epoch.previous_voters.is_empty() && !than.previous_voters.is_empty();
    epoch.number > than.number || (epoch.number == than.number && is_committed_now)
}
