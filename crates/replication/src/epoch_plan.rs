//! Plans the voters and in-sync replicas of a primary's next epoch.

use juniperwing_clock::Time;
use juniperwing_protocol::DiskId;
use juniperwing_protocol::replication::{Epoch, Version, Voter};

use crate::epoch::proposer_id;
use crate::leadership::Peer;
use crate::settings::{MAX_VOTERS, Settings};

/// The voters and in-sync replicas of a new epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EpochPlan {
    pub(crate) voters: Vec<Voter>,
    pub(crate) in_sync: Vec<DiskId>,
}

impl EpochPlan {
    /// Whether it differs from `epoch`. The order of the in-sync replicas does not count.
    pub(crate) fn differs_from(&self, epoch: &Epoch) -> bool {
        let mut planned = self.in_sync.clone();
        let mut current = epoch.in_sync.clone();
        planned.sort_unstable();
        current.sort_unstable();
        self.voters != epoch.voters || planned != current
    }
}

/// Adds voters among `candidates` to `in_sync` until it has `required` replicas, as far as possible.
pub(crate) fn fill_in_sync(
    in_sync: &mut Vec<DiskId>, candidates: &[DiskId], voters: &[Voter], required: usize,
) {
    for disk in candidates {
        let is_voter = voters.iter().any(|voter| voter.disk == *disk);
        if in_sync.len() < required && is_voter && !in_sync.contains(disk) {
            in_sync.push(*disk);
        }
    }
}

/// The input of an epoch plan.
pub(crate) struct EpochPlanner<'a> {
    pub(crate) now: Time,
    pub(crate) settings: &'a Settings,
    /// The current epoch.
    pub(crate) epoch: &'a Epoch,
    pub(crate) peers: Vec<&'a Peer>,
    /// The primary's own version.
    pub(crate) latest: Version,
    /// The newest committed version; set only if no newer one can be committed in this epoch without the
    /// primary.
    pub(crate) committed: Option<Version>,
}

impl EpochPlanner<'_> {
    /// Computes the plan. It is equal to the current epoch if no change is needed or too few replicas would
    /// be in sync.
    pub(crate) fn plan(&self) -> EpochPlan {
        let mut voters = self.epoch.voters.clone();
        self.admit_voters(&mut voters);
        self.drop_surplus_voters(&mut voters);
        let in_sync = self.in_sync(&voters);
        let min_in_sync = self.settings.min_in_sync_replicas.min(self.epoch.in_sync.len());
        if in_sync.len() < min_in_sync {
            return EpochPlan { voters: self.epoch.voters.clone(), in_sync: self.epoch.in_sync.clone() };
        }
        EpochPlan { voters, in_sync }
    }

    fn peer(&self, disk: DiskId) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.voter.disk == disk).copied()
    }

    /// Whether a keeper is responsive and has all acknowledged changes on disk.
    fn is_up_to_date(&self, peer: &Peer) -> bool {
        let is_responsive = self.now.since(peer.last_reply_at) < self.settings.timings.ack_timeout;
        let has_latest = peer.durable_version == Some(self.latest);
        let has_committed = peer.durable_version.is_some() && peer.durable_version == self.committed;
        is_responsive && (has_latest || has_committed)
    }

    /// Whether an in-sync replica delays writes.
    fn is_slow(&self, disk: DiskId) -> bool {
        let ack_timeout = self.settings.timings.ack_timeout;
        let Some(peer) = self.peer(disk) else { return false };
        let has_timed_out = |since: Time| self.now.since(since) > ack_timeout;
        peer.is_leaving(self.now)
            || has_timed_out(peer.last_reply_at)
            || peer.behind_since.is_some_and(has_timed_out)
    }

    /// Whether a voter has requested to leave or has timed out.
    fn is_leaving_or_timed_out(&self, disk: DiskId) -> bool {
        let Some(peer) = self.peer(disk) else { return false };
        peer.is_leaving(self.now) || self.now.since(peer.last_reply_at) >= self.settings.timings.voter_timeout
    }

    /// Whether a keeper has requested to join and may become a voter.
    fn is_admissible(&self, peer: &Peer, voters: &[Voter]) -> bool {
        let is_joining = peer.is_joining(self.now) && !voters.contains(&peer.voter);
        let proposer = proposer_id(peer.voter.disk);
        let mut others = voters.iter().filter(|voter| voter.disk != peer.voter.disk);
        let has_unique_id = others.all(|voter| proposer_id(voter.disk) != proposer);
        is_joining && self.is_up_to_date(peer) && has_unique_id
    }

    /// The index of the voter that `joining` replaces: an earlier incarnation of it, or a voter that is
    /// leaving or has timed out.
    fn find_replaced_voter(&self, joining: &Voter, voters: &[Voter]) -> Option<usize> {
        let primary = self.epoch.primary;
        let others = || voters.iter().enumerate().filter(move |(_, voter)| voter.disk != primary);
        let same_disk = others().find(|(_, voter)| voter.disk == joining.disk);
        let same_machine =
            || others().find(|(_, voter)| voter.node == joining.node || voter.address == joining.address);
        let leaving = || others().find(|(_, voter)| self.is_leaving_or_timed_out(voter.disk));
        same_disk.or_else(same_machine).or_else(leaving).map(|(index, _)| index)
    }

    fn admit_voters(&self, voters: &mut Vec<Voter>) {
        for peer in &self.peers {
            if !self.is_admissible(peer, voters) {
                continue;
            }
            match self.find_replaced_voter(&peer.voter, voters) {
                Some(index) => voters[index] = peer.voter.clone(),
                None if voters.len() < MAX_VOTERS => voters.push(peer.voter.clone()),
                None => {}
            }
        }
    }

    /// Drops voters that are leaving or have timed out, down to the minimum. The number of voters stays odd,
    /// because an even number tolerates no more losses than one voter fewer.
    fn drop_surplus_voters(&self, voters: &mut Vec<Voter>) {
        let min_voters = self.settings.min_voters();
        let leaving = voters.iter().filter(|voter| self.is_leaving_or_timed_out(voter.disk)).count();
        let mut surplus = leaving.min(voters.len().saturating_sub(min_voters));
        if (voters.len() - surplus).is_multiple_of(2) {
            surplus = surplus.saturating_sub(1);
        }
        for _ in 0..surplus {
            let dropped = voters.iter().position(|voter| self.is_leaving_or_timed_out(voter.disk));
            dropped.map(|index| voters.remove(index));
        }
    }

    /// The primary, the in-sync replicas that stay, and those that have caught up; supplemented up to the
    /// required number by current in-sync replicas, responsive ones first.
    fn in_sync(&self, voters: &[Voter]) -> Vec<DiskId> {
        let primary = self.epoch.primary;
        let required = self.settings.min_in_sync_replicas;
        let is_voter = |disk: &DiskId| voters.iter().any(|voter| voter.disk == *disk);
        let is_up_to_date = |disk: DiskId| self.peer(disk).is_some_and(|peer| self.is_up_to_date(peer));
        let mut in_sync = vec![primary];
        let retained = self.epoch.in_sync.iter().filter(|disk| **disk != primary && is_voter(disk));
        in_sync.extend(retained.filter(|disk| !self.is_slow(**disk)));
        for voter in voters {
            if is_up_to_date(voter.disk) && !in_sync.contains(&voter.disk) && !self.is_slow(voter.disk) {
                in_sync.push(voter.disk);
            }
        }
        let responsive = self.epoch.in_sync.iter().copied().filter(|disk| is_up_to_date(*disk));
        let responsive: Vec<DiskId> = responsive.collect();
        fill_in_sync(&mut in_sync, &responsive, voters, required);
        fill_in_sync(&mut in_sync, &self.epoch.in_sync, voters, required);
        in_sync
    }
}
