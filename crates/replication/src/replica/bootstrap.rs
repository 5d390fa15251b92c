//! The bootstrap epoch: the seeds announce themselves to the coordinator, which proposes the epoch. All seeds
//! must accept it.
//!
//! The bootstrap coordinator is the seed with the lowest address.

use juniperwing_clock::Time;
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::{Epoch, ReplicationBody, Voter};

use super::{Replica, Stage};
use crate::election::Election;
use crate::epoch::next_epoch_number;
use crate::persistence::DeferredAction;
use crate::state::ReplicatedState;

impl<S: ReplicatedState> Replica<S> {
    /// Whether this keeper takes part in the bootstrap: it is a seed of the first start and knows no epoch
    /// yet.
    fn can_bootstrap(&self) -> bool {
        let is_seed = self.settings.seeds.contains(&self.settings.local_voter.address);
        self.settings.bootstrap && is_seed && self.known_epoch.number == EpochNumber::default()
    }

    /// Whether this keeper proposes the bootstrap epoch.
    fn is_bootstrap_coordinator(&self) -> bool {
        self.settings.seeds.iter().min() == Some(&self.settings.local_voter.address)
    }

    /// Announces this seed to the bootstrap coordinator.
    pub(super) fn announce_seed(&mut self, now: Time) {
        if !self.can_bootstrap() {
            return;
        }
        let voter = self.local_voter();
        if self.is_bootstrap_coordinator() {
            self.handle_seed_announcement(voter);
            self.bootstrap(now);
        } else if let Some(coordinator) = self.settings.seeds.iter().min().copied() {
            self.send(coordinator, ReplicationBody::Bootstrap { voter });
        }
    }

    /// Records a seed that takes part in the bootstrap.
    pub(super) fn handle_seed_announcement(&mut self, voter: Voter) {
        let is_seed = self.settings.seeds.contains(&voter.address);
        if self.can_bootstrap() && self.is_bootstrap_coordinator() && is_seed {
            self.announced_seeds.insert(voter.address, voter);
        }
    }

    /// Proposes the bootstrap epoch once all seeds have announced themselves.
    pub(super) fn bootstrap(&mut self, now: Time) {
        if !self.can_bootstrap() || self.acceptor.promised != EpochNumber::default() {
            return;
        }
        let mut seeds = self.settings.seeds.iter();
        if !seeds.all(|seed| self.announced_seeds.contains_key(seed)) {
            return;
        }
        let voters: Vec<Voter> = self.announced_seeds.values().cloned().collect();
        let epoch = Epoch {
            number: next_epoch_number(EpochNumber::default(), self.local_disk()),
            primary: self.local_disk(),
            in_sync: voters.iter().map(|voter| voter.disk).collect(),
            voters,
            previous_voters: Vec::new(),
        };
        self.accept_epoch(epoch.clone());
        self.persistence.defer(DeferredAction::CountOwnAccept(epoch.number));
        self.stage = Stage::Candidate(Box::new(Election::for_bootstrap(now, epoch)));
    }
}
