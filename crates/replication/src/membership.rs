//! Who is to vote and to be in sync next: what a primary would change about its epoch.

use juniperwing_clock::Time;
use juniperwing_protocol::DiskId;
use juniperwing_protocol::replication::{Epoch, Version, Voter};

use crate::acceptor::proposer_bits;
use crate::leadership::{Office, Peer};
use crate::replica::Replica;
use crate::settings::{MAX_VOTERS, Settings};
use crate::state::ReplicatedState;

/// The voters and in-sync replicas that the primary wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Plan {
    pub(crate) voters: Vec<Voter>,
    pub(crate) in_sync: Vec<DiskId>,
}

/// Adds replicas of `from` that are voters until there are `required` of them, if so many can be had.
pub(crate) fn fill_up(in_sync: &mut Vec<DiskId>, from: &[DiskId], voters: &[Voter], required: usize) {
    for disk in from {
        let is_voter = voters.iter().any(|voter| voter.disk == *disk);
        if in_sync.len() < required && is_voter && !in_sync.contains(disk) {
            in_sync.push(*disk);
        }
    }
}

/// What a plan is made from.
struct Planner<'a> {
    now: Time,
    settings: &'a Settings,
    epoch: &'a Epoch,
    peers: Vec<&'a Peer>,
    /// The primary's own version.
    latest: Version,
    /// The newest committed version, if no newer one can be committed in this epoch without the primary.
    committed: Option<Version>,
}

impl Planner<'_> {
    fn peer(&self, disk: DiskId) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.voter.disk == disk).copied()
    }

    /// Whether a keeper holds all that was acknowledged.
    fn is_up_to_date(&self, peer: &Peer) -> bool {
        let answers = self.now.since(peer.last_answer) < self.settings.timings.ack_timeout;
        let holds = peer.held == Some(self.latest) || (peer.held.is_some() && peer.held == self.committed);
        answers && holds
    }

    /// Whether an in-sync replica holds writes up.
    fn is_slow(&self, disk: DiskId) -> bool {
        let limit = self.settings.timings.ack_timeout;
        let Some(peer) = self.peer(disk) else { return false };
        let silent = self.now.since(peer.last_answer) > limit;
        let leaves = self.now < peer.leaves_until;
        leaves || silent || peer.behind_since.is_some_and(|since| self.now.since(since) > limit)
    }

    /// Whether a voter is gone, or about to go.
    fn is_leaving_or_silent(&self, disk: DiskId) -> bool {
        let silence = self.settings.timings.voter_timeout;
        let Some(peer) = self.peer(disk) else { return false };
        self.now < peer.leaves_until || self.now.since(peer.last_answer) >= silence
    }

    /// Whether `voter` asks to be let in, and may be.
    fn is_admissible(&self, peer: &Peer, voters: &[Voter]) -> bool {
        let asks = self.now < peer.asks_until && !voters.contains(&peer.voter);
        let bits = proposer_bits(peer.voter.disk);
        let mut others = voters.iter().filter(|voter| voter.disk != peer.voter.disk);
        asks && self.is_up_to_date(peer) && others.all(|voter| proposer_bits(voter.disk) != bits)
    }

    /// The voter whose place `newcomer` takes: its former self, or one that leaves or is silent.
    fn replaced_by(&self, newcomer: &Voter, voters: &[Voter]) -> Option<usize> {
        let me = self.epoch.primary;
        let others = || voters.iter().enumerate().filter(move |(_, voter)| voter.disk != me);
        let same_disk = others().find(|(_, voter)| voter.disk == newcomer.disk);
        let same_machine =
            || others().find(|(_, voter)| voter.node == newcomer.node || voter.address == newcomer.address);
        let going = || others().find(|(_, voter)| self.is_leaving_or_silent(voter.disk));
        same_disk.or_else(same_machine).or_else(going).map(|(index, _)| index)
    }

    fn admit(&self, voters: &mut Vec<Voter>) {
        for peer in &self.peers {
            if !self.is_admissible(peer, voters) {
                continue;
            }
            match self.replaced_by(&peer.voter, voters) {
                Some(index) => voters[index] = peer.voter.clone(),
                None if voters.len() < MAX_VOTERS => voters.push(peer.voter.clone()),
                None => {}
            }
        }
    }

    /// Voters that leave or are silent go, down to the least that are kept. An odd number stays: an even one bears
    /// no more losses than one fewer.
    fn drop_surplus(&self, voters: &mut Vec<Voter>) {
        let least = self.settings.least_voters();
        let going = voters.iter().filter(|voter| self.is_leaving_or_silent(voter.disk)).count();
        let mut surplus = going.min(voters.len().saturating_sub(least));
        if (voters.len() - surplus).is_multiple_of(2) {
            surplus = surplus.saturating_sub(1);
        }
        for _ in 0..surplus {
            let dropped = voters.iter().position(|voter| self.is_leaving_or_silent(voter.disk));
            dropped.map(|index| voters.remove(index));
        }
    }

    fn in_sync(&self, voters: &[Voter]) -> Vec<DiskId> {
        let me = self.epoch.primary;
        let required = self.settings.min_in_sync_replicas;
        let is_voter = |disk: &DiskId| voters.iter().any(|voter| voter.disk == *disk);
        let mut in_sync = vec![me];
        let staying = self.epoch.in_sync.iter().filter(|disk| **disk != me && is_voter(disk));
        in_sync.extend(staying.filter(|disk| !self.is_slow(**disk)));
        for voter in voters {
            let up_to_date = self.peer(voter.disk).is_some_and(|peer| self.is_up_to_date(peer));
            if up_to_date && !in_sync.contains(&voter.disk) && !self.is_slow(voter.disk) {
                in_sync.push(voter.disk);
            }
        }
        let answers = |disk: &&DiskId| self.peer(**disk).is_some_and(|peer| self.is_up_to_date(peer));
        let present: Vec<DiskId> = self.epoch.in_sync.iter().filter(answers).copied().collect();
        fill_up(&mut in_sync, &present, voters, required);
        fill_up(&mut in_sync, &self.epoch.in_sync, voters, required);
        in_sync
    }

    fn plan(&self) -> Plan {
        let mut voters = self.epoch.voters.clone();
        self.admit(&mut voters);
        self.drop_surplus(&mut voters);
        let in_sync = self.in_sync(&voters);
        let least = self.settings.min_in_sync_replicas.min(self.epoch.in_sync.len());
        if in_sync.len() < least {
            return Plan { voters: self.epoch.voters.clone(), in_sync: self.epoch.in_sync.clone() };
        }
        Plan { voters, in_sync }
    }
}

impl<S: ReplicatedState> Replica<S> {
    /// What the primary would have the next epoch be.
    pub(crate) fn plan(&self, now: Time, office: &Office<S::Change>) -> Plan {
        let committed = self.committed.as_ref().filter(|_| office.synced);
        let planner = Planner {
            now,
            settings: &self.settings,
            epoch: &self.ballot.accepted,
            peers: office.peers.values().collect(),
            latest: self.latest.version,
            committed: committed.map(|committed| committed.version),
        };
        planner.plan()
    }

    /// Whether `plan` differs from the present epoch.
    pub(crate) fn is_change(&self, plan: &Plan) -> bool {
        let epoch = &self.ballot.accepted;
        let same_voters = plan.voters == epoch.voters;
        let mut wanted = plan.in_sync.clone();
        let mut present = epoch.in_sync.clone();
        wanted.sort_unstable();
        present.sort_unstable();
        !same_voters || wanted != present
    }
}
