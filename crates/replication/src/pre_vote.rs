//! The state of a pre-vote.

use std::collections::BTreeSet;

use juniperwing_clock::Time;
use juniperwing_protocol::{DiskId, EpochNumber};

/// A poll of the voters before an election (Raft). It is not binding for the voters. It prevents a keeper
/// that has lost contact from disturbing a healthy primary.
#[derive(Clone, Debug)]
pub(crate) struct PreVote {
    /// The number of the epoch that would be proposed.
    pub(crate) number: EpochNumber,
    /// The keepers that granted it, including this one.
    pub(crate) granted: BTreeSet<DiskId>,
    /// When the pre-vote counts as failed.
    pub(crate) expires_at: Time,
}
