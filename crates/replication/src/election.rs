//! The state of an election: the promises and acceptances that a candidate has received for its epoch.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_clock::Time;
use juniperwing_protocol::replication::{Epoch, Version, Voter};
use juniperwing_protocol::{DiskId, EpochNumber};

use crate::epoch::find_voter;
use crate::epoch_plan::{EpochPlan, fill_in_sync};

/// An attempt to have an epoch chosen.
#[derive(Clone, Debug)]
pub(crate) struct Election {
    /// The number of the epoch to propose.
    pub(crate) number: EpochNumber,
    /// The epoch that the new one follows.
    pub(crate) base: Epoch,
    /// The new voters and in-sync replicas, if a primary changes its own epoch.
    pub(crate) epoch_plan: Option<EpochPlan>,
    /// The keepers that promised, each with its version of the state.
    pub(crate) promises: BTreeMap<DiskId, Version>,
    /// When the wait for further promises ends; set once a quorum has promised.
    pub(crate) straggler_deadline: Option<Time>,
    /// The proposed epoch.
    pub(crate) proposal: Option<Proposal>,
    /// When requests without a reply are sent again.
    pub(crate) resend_at: Time,
    /// When the election counts as failed.
    pub(crate) expires_at: Time,
}

/// An epoch that has been proposed.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub(crate) epoch: Epoch,
    /// The keepers that accepted it.
    pub(crate) accepted: BTreeSet<DiskId>,
    /// Whether it is the bootstrap epoch, which all voters must accept.
    pub(crate) is_bootstrap_epoch: bool,
}

impl Proposal {
    /// A proposal that no keeper has accepted yet.
    pub(crate) fn new(epoch: Epoch, is_bootstrap_epoch: bool) -> Self {
        Proposal { epoch, accepted: BTreeSet::new(), is_bootstrap_epoch }
    }

    /// Whether the epoch is chosen: accepted by all required keepers, including the one with `local_disk`.
    pub(crate) fn is_chosen(&self, local_disk: DiskId) -> bool {
        let has_accepted = |disk: DiskId| self.accepted.contains(&disk);
        let is_accepted = if self.is_bootstrap_epoch {
            self.epoch.voters.iter().all(|voter| has_accepted(voter.disk))
        } else {
            self.epoch.is_quorum(has_accepted)
        };
        is_accepted && has_accepted(local_disk)
    }
}

impl Election {
    /// An election that starts with requests for promises.
    pub(crate) fn new(
        number: EpochNumber, base: Epoch, epoch_plan: Option<EpochPlan>, resend_at: Time, expires_at: Time,
    ) -> Self {
        Election {
            number,
            base,
            epoch_plan,
            promises: BTreeMap::new(),
            straggler_deadline: None,
            proposal: None,
            resend_at,
            expires_at,
        }
    }

    /// The election of the bootstrap coordinator, which needs no promises.
    pub(crate) fn for_bootstrap(now: Time, epoch: Epoch) -> Self {
        let proposal = Some(Proposal::new(epoch.clone(), true));
        Election { proposal, ..Election::new(epoch.number, epoch, None, now, Time::NEVER) }
    }

    /// The next time at which the election must act if no message arrives.
    pub(crate) fn next_deadline(&self) -> Time {
        let straggler_deadline =
            self.straggler_deadline.filter(|_| self.proposal.is_none()).unwrap_or(Time::NEVER);
        self.resend_at.min(self.expires_at).min(straggler_deadline)
    }

    /// Whether the proposed epoch is the bootstrap epoch.
    pub(crate) fn is_bootstrap_election(&self) -> bool {
        self.proposal.as_ref().is_some_and(|proposal| proposal.is_bootstrap_epoch)
    }

    /// Whether a quorum has promised and this keeper's own promise is on disk. The old primary is fenced by
    /// then.
    pub(crate) fn has_promise_quorum(&self, local_disk: DiskId) -> bool {
        let has_promised = |disk: DiskId| self.promises.contains_key(&disk);
        has_promised(local_disk) && self.base.is_quorum(has_promised)
    }

    /// Whether all voters that should be in sync in the new epoch have promised.
    pub(crate) fn has_all_in_sync_promises(&self) -> bool {
        let mut voting = self.target_in_sync().iter().filter(|disk| find_voter(&self.base, **disk).is_some());
        voting.all(|disk| self.promises.contains_key(disk))
    }

    /// The epoch to propose.
    pub(crate) fn new_epoch(&self, primary: DiskId, min_in_sync_replicas: usize) -> Epoch {
        let voters = self.new_voters();
        let previous_voters = self.previous_voters(&voters);
        let in_sync = self.new_in_sync(primary, &voters, min_in_sync_replicas);
        Epoch { number: self.number, primary, in_sync, voters, previous_voters }
    }

    /// The replicas that should be in sync in the new epoch.
    fn target_in_sync(&self) -> &[DiskId] {
        self.epoch_plan.as_ref().map_or(&self.base.in_sync, |plan| &plan.in_sync)
    }

    /// The voters of the new epoch. They change only if the base is known to be chosen.
    fn new_voters(&self) -> Vec<Voter> {
        match &self.epoch_plan {
            Some(plan) if self.base.previous_voters.is_empty() => plan.voters.clone(),
            _ => self.base.voters.clone(),
        }
    }

    /// The voters that must accept in addition to the new ones. If the base is not known to be chosen, its
    /// previous voters may be choosing another epoch concurrently.
    fn previous_voters(&self, voters: &[Voter]) -> Vec<Voter> {
        if !self.base.previous_voters.is_empty() {
            self.base.previous_voters.clone()
        } else if voters != self.base.voters {
            self.base.voters.clone()
        } else {
            Vec::new()
        }
    }

    /// The target replicas that are available, supplemented by unavailable ones up to the required number.
    fn new_in_sync(&self, primary: DiskId, voters: &[Voter], min_in_sync_replicas: usize) -> Vec<DiskId> {
        let is_new = |disk: &DiskId| find_voter(&self.base, *disk).is_none();
        let is_available = |disk: &DiskId| self.promises.contains_key(disk) || is_new(disk);
        let targets = self.target_in_sync();
        let mut in_sync = vec![primary];
        in_sync.extend(targets.iter().filter(|disk| **disk != primary && is_available(disk)));
        in_sync.retain(|disk| voters.iter().any(|voter| voter.disk == *disk));
        fill_in_sync(&mut in_sync, targets, voters, min_in_sync_replicas);
        fill_in_sync(&mut in_sync, &self.base.in_sync, voters, min_in_sync_replicas);
        in_sync
    }
}
