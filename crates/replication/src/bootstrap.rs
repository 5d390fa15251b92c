//! The very first epoch: the seeds tell the founder who they are, and all of them must accept it.

use juniperwing_clock::Time;
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::{Epoch, ReplicationBody, Voter};

use crate::acceptor::number_above;
use crate::election::Candidacy;
use crate::persistence::Deferred;
use crate::replica::{Replica, Stage};
use crate::state::ReplicatedState;

impl<S: ReplicatedState> Replica<S> {
    /// Whether this keeper has part in the founding: it is a seed of the first start, and knows no epoch.
    fn may_found(&self) -> bool {
        let is_seed = self.settings.seeds.contains(&self.settings.local_voter.address);
        self.settings.bootstrap && is_seed && self.known.number == EpochNumber::default()
    }

    fn is_founder(&self) -> bool {
        self.settings.seeds.iter().min() == Some(&self.settings.local_voter.address)
    }

    /// Tells the founder who this seed is.
    pub(crate) fn offer_to_found(&mut self, now: Time) {
        if !self.may_found() {
            return;
        }
        let voter = self.myself();
        if self.is_founder() {
            self.found_by(voter);
            self.found(now);
        } else if let Some(founder) = self.settings.seeds.iter().min().copied() {
            self.send(founder, ReplicationBody::Bootstrap { voter });
        }
    }

    /// A seed says who it is.
    pub(crate) fn found_by(&mut self, voter: Voter) {
        let expected = self.settings.seeds.contains(&voter.address);
        if self.may_found() && self.is_founder() && expected {
            self.founders.insert(voter.address, voter);
        }
    }

    /// Proposes the first epoch once all seeds are known.
    pub(crate) fn found(&mut self, now: Time) {
        if !self.may_found() || self.ballot.promised != EpochNumber::default() {
            return;
        }
        let mut seeds = self.settings.seeds.iter();
        if !seeds.all(|seed| self.founders.contains_key(seed)) {
            return;
        }
        let voters: Vec<Voter> = self.founders.values().cloned().collect();
        let epoch = Epoch {
            number: number_above(EpochNumber::default(), self.me()),
            primary: self.me(),
            in_sync: voters.iter().map(|voter| voter.disk).collect(),
            voters,
            previous_voters: Vec::new(),
        };
        self.adopt(epoch.clone());
        self.disk.defer(Deferred::OwnAccept(epoch.number));
        self.stage = Stage::Candidate(Box::new(Candidacy::founding(now, epoch)));
    }
}
