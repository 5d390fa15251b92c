//! Pre-votes on the side of the candidate.

use std::collections::BTreeSet;

use juniperwing_clock::Time;
use juniperwing_protocol::replication::{Epoch, ReplicationBody};
use juniperwing_protocol::{DiskId, EpochNumber};

use super::{Replica, Stage};
use crate::epoch::electorate;
use crate::pre_vote::PreVote;
use crate::state::ReplicatedState;

impl<S: ReplicatedState> Replica<S> {
    /// Requests a pre-vote from all voters.
    pub(super) fn start_pre_vote(&mut self, now: Time) {
        let number = self.next_number();
        let granted = BTreeSet::from([self.local_disk()]);
        let expires_at = now + self.settings.timings.attempt_timeout;
        self.stage = Stage::PreVote(PreVote { number, granted, expires_at });
        self.send_all(&electorate(&self.known_epoch), &ReplicationBody::PreVote { number });
    }

    /// Counts a granted pre-vote, and records the epoch that the voter knows.
    pub(super) fn handle_pre_vote_reply(
        &mut self, from: DiskId, number: EpochNumber, granted: bool, epoch: Epoch,
    ) {
        self.observe_epoch(&epoch);
        let Stage::PreVote(pre_vote) = &mut self.stage else { return };
        if granted && pre_vote.number == number {
            pre_vote.granted.insert(from);
        }
    }

    /// Starts an election once a quorum has granted the pre-vote.
    pub(super) fn advance_pre_vote(&mut self, now: Time) {
        let Stage::PreVote(pre_vote) = &self.stage else { return };
        if !self.is_eligible() || now >= pre_vote.expires_at {
            self.back_off(now);
        } else if self.known_epoch.is_quorum(|disk| pre_vote.granted.contains(&disk)) {
            self.start_election(now, None);
        }
    }
}
