//! What a witness stores, and the arithmetic of epochs: numbers and majorities.

use juniperwing_protocol::replication::{Epoch, Voter};
use juniperwing_protocol::{DiskId, EpochNumber};

/// The low bits of an epoch's number come from its proposer's disk, so that no two keepers propose different
/// epochs under one number.
const PROPOSER_BITS: u32 = 32;

/// The round of the epoch that founds the tier.
const FOUNDING_ROUND: u64 = 1;

/// What a keeper has promised and accepted. It is on disk before any answer that rests on it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcceptorState {
    /// Nothing below this number is accepted.
    pub promised: EpochNumber,
    /// The highest epoch accepted; number 0 if there is none.
    pub accepted: Epoch,
}

/// The part of a number that tells its proposer from all others.
pub(crate) fn proposer_bits(disk: DiskId) -> u64 {
    disk.0 & ((1 << PROPOSER_BITS) - 1)
}

/// The lowest number above `seen` that `disk` may propose.
pub(crate) fn number_above(seen: EpochNumber, disk: DiskId) -> EpochNumber {
    let round = (seen.0 >> PROPOSER_BITS) + 1;
    EpochNumber((round.min(u64::from(u32::MAX)) << PROPOSER_BITS) | proposer_bits(disk))
}

/// Whether the number is that of an epoch that follows no other.
pub(crate) fn is_founding(number: EpochNumber) -> bool {
    number.0 >> PROPOSER_BITS == FOUNDING_ROUND
}

/// All that decide on what follows `epoch`, each once.
pub(crate) fn deciders(epoch: &Epoch) -> Vec<Voter> {
    let mut all = epoch.voters.clone();
    for voter in &epoch.previous_voters {
        if !all.iter().any(|other| other == voter) {
            all.push(voter.clone());
        }
    }
    all
}

/// The voter with that disk.
pub(crate) fn voter_of(epoch: &Epoch, disk: DiskId) -> Option<&Voter> {
    epoch.voters.iter().find(|voter| voter.disk == disk)
}

/// Whether two epochs of one number are one. Whether it is known to be chosen may differ.
pub(crate) fn is_same_epoch(one: &Epoch, other: &Epoch) -> bool {
    let alike = one.primary == other.primary && one.in_sync == other.in_sync && one.voters == other.voters;
    one.number != other.number || alike
}

/// Whether `epoch` says more than `than`: a higher number, or the same one and now known to be chosen.
pub(crate) fn is_news(epoch: &Epoch, than: &Epoch) -> bool {
    let settles = epoch.previous_voters.is_empty() && !than.previous_voters.is_empty();
    epoch.number > than.number || (epoch.number == than.number && settles)
}
