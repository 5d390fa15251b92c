//! The very first epoch: the seeds tell the founder who they are, and all of them must accept it.

use juniperwing_clock::Time;
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::{Epoch, ReplicationBody, Voter};

use crate::acceptor::next_epoch_number;
use crate::election::Election;
use crate::persistence::DeferredAction;
use crate::replica::{Replica, Stage};
use crate::state::ReplicatedState;

impl<S: ReplicatedState> Replica<S> {
    /// Whether this keeper has part in the founding: it is a seed of the first start, and knows no epoch.
    fn can_bootstrap(&self) -> bool {
        let is_seed = self.settings.seeds.contains(&self.settings.local_voter.address);
        self.settings.bootstrap && is_seed && self.known_epoch.number == EpochNumber::default()
    }

    fn is_bootstrap_coordinator(&self) -> bool {
        self.settings.seeds.iter().min() == Some(&self.settings.local_voter.address)
    }

    /// Tells the founder who this seed is.
    pub(crate) fn offer_bootstrap(&mut self, now: Time) {
        if !self.can_bootstrap() {
            return;
        }
        let voter = self.local_voter();
        if self.is_bootstrap_coordinator() {
            self.handle_bootstrap_offer(voter);
            self.bootstrap(now);
        } else if let Some(founder) = self.settings.seeds.iter().min().copied() {
            self.send(founder, ReplicationBody::Bootstrap { voter });
        }
    }

    /// A seed says who it is.
    pub(crate) fn handle_bootstrap_offer(&mut self, voter: Voter) {
        let expected = self.settings.seeds.contains(&voter.address);
        if self.can_bootstrap() && self.is_bootstrap_coordinator() && expected {
            self.bootstrap_offers.insert(voter.address, voter);
        }
    }

    /// Proposes the first epoch once all seeds are known.
    pub(crate) fn bootstrap(&mut self, now: Time) {
        if !self.can_bootstrap() || self.acceptor.promised != EpochNumber::default() {
            return;
        }
        let mut seeds = self.settings.seeds.iter();
        if !seeds.all(|seed| self.bootstrap_offers.contains_key(seed)) {
            return;
        }
        let voters: Vec<Voter> = self.bootstrap_offers.values().cloned().collect();
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
