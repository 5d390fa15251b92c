//! The choice of an epoch, from the candidate's side: canvass, promises, acceptances.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_clock::Time;
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::replication::{Epoch, ReplicationBody, Version, Voter, is_majority};
use juniperwing_protocol::{DiskId, EpochNumber};

use crate::acceptor::{deciders, is_news, is_same_epoch, voter_of};
use crate::leadership::Office;
use crate::membership::{Plan, fill_up};
use crate::persistence::Deferred;
use crate::replica::{Replica, Stage};
use crate::state::ReplicatedState;

/// The longest wait between two attempts, in election time-outs.
const MAX_BACK_OFF: u32 = 2;

/// A poll of the voters that binds nobody. It keeps a keeper that lost touch from disturbing a healthy primary.
#[derive(Clone, Debug)]
pub(crate) struct Canvass {
    number: EpochNumber,
    granted: BTreeSet<DiskId>,
    pub(crate) give_up_at: Time,
}

/// An attempt to have an epoch chosen.
#[derive(Clone, Debug)]
pub(crate) struct Candidacy {
    number: EpochNumber,
    /// The epoch that the new one is to follow.
    base: Epoch,
    /// Who is to vote and to be in sync, where a sitting primary changes it.
    plan: Option<Plan>,
    /// Who promised, and the version it holds.
    promises: BTreeMap<DiskId, Version>,
    /// When the promises of a majority were there, and the wait for the remaining ones ends.
    settle_at: Option<Time>,
    /// What was proposed, once it was.
    proposal: Option<Proposal>,
    resend_at: Time,
    give_up_at: Time,
}

#[derive(Clone, Debug)]
struct Proposal {
    epoch: Epoch,
    accepted: BTreeSet<DiskId>,
    /// Whether it founds the tier, and so needs all voters.
    founds: bool,
}

impl Candidacy {
    /// The candidacy of the founder, who has nobody to ask for a promise.
    pub(crate) fn founding(now: Time, epoch: Epoch) -> Self {
        Candidacy {
            number: epoch.number,
            base: epoch.clone(),
            plan: None,
            promises: BTreeMap::new(),
            settle_at: None,
            proposal: Some(Proposal { epoch, accepted: BTreeSet::new(), founds: true }),
            resend_at: now,
            give_up_at: Time::NEVER,
        }
    }

    /// When something is to be done if nothing happens.
    pub(crate) fn deadline(&self) -> Time {
        let settle_at = self.settle_at.filter(|_| self.proposal.is_none()).unwrap_or(Time::NEVER);
        self.resend_at.min(self.give_up_at).min(settle_at)
    }

    /// Whether it founds the tier.
    pub(crate) fn founds(&self) -> bool {
        self.proposal.as_ref().is_some_and(|proposal| proposal.founds)
    }

    /// Whether a majority promised, and this keeper's own promise is on disk: it fences the primary before.
    fn has_promises(&self, me: DiskId) -> bool {
        self.promises.contains_key(&me) && self.base.is_quorum(|disk| self.promises.contains_key(&disk))
    }

    /// The replicas that shall be in sync.
    fn wanted_in_sync(&self) -> &[DiskId] {
        self.plan.as_ref().map_or(&self.base.in_sync, |plan| &plan.in_sync)
    }

    /// Whether all replicas that shall be in sync, and can promise, did.
    fn is_complete(&self) -> bool {
        let mut deciding = self.wanted_in_sync().iter().filter(|disk| voter_of(&self.base, **disk).is_some());
        deciding.all(|disk| self.promises.contains_key(disk))
    }

    /// The epoch to propose. Where the base is not known to be chosen, its voters stay, and those before it
    /// must accept too: they may be choosing something else at this moment.
    fn new_epoch(&self, me: DiskId, required_copies: usize) -> Epoch {
        let base = &self.base;
        let voters = match &self.plan {
            Some(plan) if base.previous_voters.is_empty() => plan.voters.clone(),
            _ => base.voters.clone(),
        };
        let previous_voters = if !base.previous_voters.is_empty() {
            base.previous_voters.clone()
        } else if voters != base.voters {
            base.voters.clone()
        } else {
            Vec::new()
        };
        let is_new = |disk: &DiskId| voter_of(base, *disk).is_none();
        let there = |disk: &DiskId| self.promises.contains_key(disk) || is_new(disk);
        let mut in_sync: Vec<DiskId> = vec![me];
        let present = self.wanted_in_sync().iter().filter(|disk| **disk != me && there(disk));
        in_sync.extend(present);
        in_sync.retain(|disk| voters.iter().any(|voter| voter.disk == *disk));
        fill_up(&mut in_sync, self.wanted_in_sync(), &voters, required_copies);
        fill_up(&mut in_sync, &base.in_sync, &voters, required_copies);
        Epoch { number: self.number, primary: me, in_sync, voters, previous_voters }
    }
}

impl<S: ReplicatedState> Replica<S> {
    /// Asks all voters whether they would let this keeper through.
    pub(crate) fn start_canvass(&mut self, now: Time) {
        let number = self.next_number();
        let granted = BTreeSet::from([self.me()]);
        let give_up_at = now + self.settings.timings.attempt_timeout;
        self.stage = Stage::Canvassing(Canvass { number, granted, give_up_at });
        self.send_all(&deciders(&self.known), &ReplicationBody::PreVote { number });
    }

    pub(crate) fn canvass_answered(
        &mut self, from: DiskId, number: EpochNumber, granted: bool, epoch: Epoch,
    ) {
        self.learn(&epoch);
        let Stage::Canvassing(canvass) = &mut self.stage else { return };
        if granted && canvass.number == number {
            canvass.granted.insert(from);
        }
    }

    pub(crate) fn advance_canvass(&mut self, now: Time) {
        let Stage::Canvassing(canvass) = &self.stage else { return };
        if !self.is_eligible() || now >= canvass.give_up_at {
            self.back_off(now);
        } else if self.known.is_quorum(|disk| canvass.granted.contains(&disk)) {
            self.start_election(now, None);
        }
    }

    /// Asks for promises. A sitting primary hands in its plan for the new epoch.
    pub(crate) fn start_election(&mut self, now: Time, plan: Option<Plan>) {
        let number = self.next_number();
        self.ballot.promised = number;
        self.disk.mark();
        self.disk.defer(Deferred::OwnPromise(number));
        self.stage = Stage::Candidate(Box::new(Candidacy {
            number,
            base: self.known.clone(),
            plan,
            promises: BTreeMap::new(),
            settle_at: None,
            proposal: None,
            resend_at: now + self.settings.timings.resend_interval,
            give_up_at: now + self.settings.timings.attempt_timeout.mul_f64(2.0),
        }));
        self.send_all(&deciders(&self.known), &ReplicationBody::Prepare { number });
    }

    /// The primary that steps down asks this backup to take over.
    pub(crate) fn take_over(&mut self, now: Time, epoch: EpochNumber) {
        let follows = matches!(self.stage, Stage::Following) && self.ballot.accepted.number == epoch;
        if follows && self.ballot.promised == epoch && self.is_eligible() {
            self.start_election(now, None);
        }
    }

    pub(crate) fn own_promise(&mut self, number: EpochNumber) {
        let me = self.me();
        let version = self.latest.version;
        let Stage::Candidate(candidacy) = &mut self.stage else { return };
        if candidacy.number == number {
            candidacy.promises.insert(me, version);
        }
    }

    pub(crate) fn promised(
        &mut self, now: Time, from: DiskId, number: EpochNumber, accepted: Epoch, version: Version,
    ) {
        self.learn(&accepted);
        let Stage::Candidate(candidacy) = &mut self.stage else { return };
        if candidacy.number != number || candidacy.proposal.is_some() {
            return;
        }
        candidacy.promises.insert(from, version);
        if is_news(&accepted, &candidacy.base) {
            self.rebase(now);
        }
    }

    /// The epoch to follow is a higher one than was known when the candidacy began.
    fn rebase(&mut self, now: Time) {
        if self.office.is_some() || !self.is_eligible() {
            self.step_aside(now);
            return;
        }
        let base = self.known.clone();
        let targets = deciders(&base);
        let Stage::Candidate(candidacy) = &mut self.stage else { return };
        candidacy.base = base;
        candidacy.settle_at = None;
        let body = ReplicationBody::Prepare { number: candidacy.number };
        self.send_all(&targets, &body);
    }

    pub(crate) fn own_accept(&mut self, number: EpochNumber) {
        let me = self.me();
        self.accepted(me, number);
        if matches!(&self.stage, Stage::Candidate(candidacy) if candidacy.founds()) {
            self.send_accepts();
        }
    }

    pub(crate) fn accepted(&mut self, from: DiskId, number: EpochNumber) {
        let Stage::Candidate(candidacy) = &mut self.stage else { return };
        let Some(proposal) = candidacy.proposal.as_mut() else { return };
        if proposal.epoch.number == number {
            proposal.accepted.insert(from);
        }
    }

    pub(crate) fn advance_candidacy(&mut self, now: Time) {
        let me = self.me();
        let Stage::Candidate(candidacy) = &mut self.stage else { return };
        if now >= candidacy.give_up_at {
            self.step_aside(now);
            return;
        }
        if candidacy.proposal.is_none() && candidacy.has_promises(me) {
            let stragglers = self.settings.timings.straggler_wait;
            let settle_at = *candidacy.settle_at.get_or_insert(now + stragglers);
            if candidacy.is_complete() || now >= settle_at {
                self.propose_epoch(now);
            }
        }
        if self.is_chosen() {
            self.take_office(now);
        } else {
            self.ask_again(now);
        }
    }

    fn propose_epoch(&mut self, now: Time) {
        let me = self.me();
        let Stage::Candidate(candidacy) = &mut self.stage else { return };
        let epoch = candidacy.new_epoch(me, self.settings.min_in_sync_replicas);
        candidacy.proposal =
            Some(Proposal { epoch: epoch.clone(), accepted: BTreeSet::new(), founds: false });
        candidacy.resend_at = now + self.settings.timings.resend_interval;
        self.adopt(epoch);
        self.disk.defer(Deferred::OwnAccept(self.ballot.accepted.number));
        self.send_accepts();
    }

    fn send_accepts(&mut self) {
        let Stage::Candidate(candidacy) = &self.stage else { return };
        let Some(proposal) = &candidacy.proposal else { return };
        let epoch = proposal.epoch.clone();
        let mut missing = deciders(&epoch);
        missing.retain(|voter| !proposal.accepted.contains(&voter.disk));
        self.send_all(&missing, &ReplicationBody::Accept { epoch });
    }

    /// Whether the proposal has been accepted by those that must, this keeper among them.
    fn is_chosen(&self) -> bool {
        let Stage::Candidate(candidacy) = &self.stage else { return false };
        let Some(proposal) = &candidacy.proposal else { return false };
        let mut voters = proposal.epoch.voters.iter();
        let everyone = voters.all(|voter| proposal.accepted.contains(&voter.disk));
        let enough = if proposal.founds {
            everyone
        } else {
            proposal.epoch.is_quorum(|disk| proposal.accepted.contains(&disk))
        };
        enough && proposal.accepted.contains(&self.me())
    }

    fn ask_again(&mut self, now: Time) {
        let resend = self.settings.timings.resend_interval;
        let me = self.me();
        let Stage::Candidate(candidacy) = &mut self.stage else { return };
        if now < candidacy.resend_at {
            return;
        }
        candidacy.resend_at = now + resend;
        if let Some(proposal) = &candidacy.proposal {
            // The founder tells nobody before its own disk would remember it.
            if !proposal.founds || proposal.accepted.contains(&me) {
                self.send_accepts();
            }
            return;
        }
        let mut missing = deciders(&candidacy.base);
        missing.retain(|voter| !candidacy.promises.contains_key(&voter.disk));
        let body = ReplicationBody::Prepare { number: candidacy.number };
        self.send_all(&missing, &body);
    }

    /// The epoch is chosen: this keeper is its primary.
    fn take_office(&mut self, now: Time) {
        let Stage::Candidate(candidacy) = &self.stage else { return };
        let promises = candidacy.promises.clone();
        self.settle();
        let me = self.me();
        let office = self.office.get_or_insert_with(|| Office::new(now));
        office.enter(now, me, &self.ballot.accepted);
        // Who promised takes nothing of an older epoch any more, so what it held then it holds now.
        for (disk, version) in promises {
            if let Some(peer) = office.peers.get_mut(&disk) {
                peer.held = Some(version);
                peer.last_answer = now;
            }
        }
        self.stage = Stage::Primary;
        self.attempts = 0;
        self.heard = None;
    }

    /// Gives a canvass or an election up and waits longer than the last time.
    pub(crate) fn back_off(&mut self, now: Time) {
        self.attempts = self.attempts.saturating_add(1);
        let most = self.settings.timings.election_timeout.mul_f64(f64::from(self.attempts.min(MAX_BACK_OFF)));
        self.election_at = now + self.settings.timings.heartbeat_interval + self.jitter.below(most);
        self.stage = Stage::Following;
    }

    /// Ends an office or a candidacy of this keeper.
    pub(crate) fn step_aside(&mut self, now: Time) {
        if matches!(self.stage, Stage::Candidate(_) | Stage::Canvassing(_)) {
            self.back_off(now);
        }
        if self.office.is_some() {
            self.resign(now);
        }
        self.stage = Stage::Following;
    }

    /// A keeper promised a higher number to somebody.
    pub(crate) fn refused(&mut self, now: Time, promised: EpochNumber) {
        self.highest_number = self.highest_number.max(promised);
        match &self.stage {
            Stage::Candidate(candidacy) if promised > candidacy.number => self.step_aside(now),
            Stage::Primary if promised > self.ballot.accepted.number => self.outbid(now),
            _ => {}
        }
    }

    /// Whether a majority of voters answered of late, as far as this primary knows.
    pub(crate) fn has_majority(&self, now: Time) -> bool {
        let Some(office) = &self.office else { return false };
        let election = self.settings.timings.election_timeout;
        let me = self.me();
        let answers = |disk: DiskId| {
            office.peers.get(&disk).is_some_and(|peer| now.since(peer.last_answer) <= election)
        };
        is_majority(&self.known.voters, |disk| disk == me || answers(disk))
    }

    /// Knows of a higher epoch now.
    pub(crate) fn learn(&mut self, epoch: &Epoch) {
        self.highest_number = self.highest_number.max(epoch.number);
        check(Invariant::EpochNumberIsUnique, is_same_epoch(epoch, &self.known), || {
            format!("disk {}, {epoch:?} and {:?}", self.me().0, self.known)
        });
        if is_news(epoch, &self.known) {
            self.known = epoch.clone();
        }
    }

    /// Accepts an epoch; what rests on it waits for the disk.
    pub(crate) fn adopt(&mut self, epoch: Epoch) {
        let least = self.ballot.accepted.number.max(self.ballot.promised);
        check(Invariant::EpochNeverDecreases, epoch.number >= least, || {
            format!("disk {}, epoch {} after {}", self.me().0, epoch.number.0, least.0)
        });
        self.learn(&epoch);
        self.ballot.promised = self.ballot.promised.max(epoch.number);
        self.ballot.accepted = epoch;
        self.disk.mark();
    }

    /// The accepted epoch is known to be chosen: the voters before it count no more.
    pub(crate) fn settle(&mut self) {
        if !self.ballot.accepted.previous_voters.is_empty() {
            self.ballot.accepted.previous_voters = Vec::new();
            self.disk.mark();
        }
        let accepted = self.ballot.accepted.clone();
        self.learn(&accepted);
    }

    /// The voters with whom this keeper would be founded or let in.
    pub(crate) fn myself(&self) -> Voter {
        self.settings.local_voter.clone()
    }
}
