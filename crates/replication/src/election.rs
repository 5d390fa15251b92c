//! The choice of an epoch, from the candidate's side: canvass, promises, acceptances.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_clock::Time;
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::replication::{Epoch, ReplicationBody, Version, Voter, is_majority};
use juniperwing_protocol::{DiskId, EpochNumber};

use crate::acceptor::{electorate, find_voter, is_newer, is_same_epoch};
use crate::leadership::Leadership;
use crate::membership::{EpochPlan, fill_in_sync};
use crate::persistence::DeferredAction;
use crate::replica::{Replica, Stage};
use crate::state::ReplicatedState;

/// The longest wait between two attempts, in election time-outs.
const MAX_BACK_OFF_ELECTION_TIMEOUTS: u32 = 2;

/// A poll of the voters that binds nobody. It keeps a keeper that lost touch from disturbing a healthy primary.
#[derive(Clone, Debug)]
pub(crate) struct PreVote {
    number: EpochNumber,
    granted: BTreeSet<DiskId>,
    pub(crate) give_up_at: Time,
}

/// An attempt to have an epoch chosen.
#[derive(Clone, Debug)]
pub(crate) struct Election {
    number: EpochNumber,
    /// The epoch that the new one is to follow.
    base: Epoch,
    /// Who is to vote and to be in sync, where a sitting primary changes it.
    epoch_plan: Option<EpochPlan>,
    /// Who promised, and the version it holds.
    promises: BTreeMap<DiskId, Version>,
    /// When the promises of a majority were there, and the wait for the remaining ones ends.
    straggler_deadline: Option<Time>,
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
    is_bootstrap_epoch: bool,
}

impl Election {
    /// The candidacy of the founder, who has nobody to ask for a promise.
    pub(crate) fn for_bootstrap(now: Time, epoch: Epoch) -> Self {
        Election {
            number: epoch.number,
            base: epoch.clone(),
            epoch_plan: None,
            promises: BTreeMap::new(),
            straggler_deadline: None,
            proposal: Some(Proposal { epoch, accepted: BTreeSet::new(), is_bootstrap_epoch: true }),
            resend_at: now,
            give_up_at: Time::NEVER,
        }
    }

    /// When something is to be done if nothing happens.
    pub(crate) fn deadline(&self) -> Time {
        let straggler_deadline =
            self.straggler_deadline.filter(|_| self.proposal.is_none()).unwrap_or(Time::NEVER);
        self.resend_at.min(self.give_up_at).min(straggler_deadline)
    }

    /// Whether it founds the tier.
    pub(crate) fn is_bootstrap_election(&self) -> bool {
        self.proposal.as_ref().is_some_and(|proposal| proposal.is_bootstrap_epoch)
    }

    /// Whether a majority promised, and this keeper's own promise is on disk: it fences the primary before.
    fn has_promise_quorum(&self, me: DiskId) -> bool {
        self.promises.contains_key(&me) && self.base.is_quorum(|disk| self.promises.contains_key(&disk))
    }

    /// The replicas that shall be in sync.
    fn target_in_sync(&self) -> &[DiskId] {
        self.epoch_plan.as_ref().map_or(&self.base.in_sync, |plan| &plan.in_sync)
    }

    /// Whether all replicas that shall be in sync, and can promise, did.
    fn has_all_in_sync_promises(&self) -> bool {
        let mut deciding =
            self.target_in_sync().iter().filter(|disk| find_voter(&self.base, **disk).is_some());
        deciding.all(|disk| self.promises.contains_key(disk))
    }

    /// The epoch to propose. Where the base is not known to be chosen, its voters stay, and those before it
    /// must accept too: they may be choosing something else at this moment.
    fn new_epoch(&self, me: DiskId, required_copies: usize) -> Epoch {
        let base = &self.base;
        let voters = match &self.epoch_plan {
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
        let is_new = |disk: &DiskId| find_voter(base, *disk).is_none();
        let is_present = |disk: &DiskId| self.promises.contains_key(disk) || is_new(disk);
        let mut in_sync: Vec<DiskId> = vec![me];
        let present = self.target_in_sync().iter().filter(|disk| **disk != me && is_present(disk));
        in_sync.extend(present);
        in_sync.retain(|disk| voters.iter().any(|voter| voter.disk == *disk));
        fill_in_sync(&mut in_sync, self.target_in_sync(), &voters, required_copies);
        fill_in_sync(&mut in_sync, &base.in_sync, &voters, required_copies);
        Epoch { number: self.number, primary: me, in_sync, voters, previous_voters }
    }
}

impl<S: ReplicatedState> Replica<S> {
    /// Asks all voters whether they would let this keeper through.
    pub(crate) fn start_pre_vote(&mut self, now: Time) {
        let number = self.next_number();
        let granted = BTreeSet::from([self.local_disk()]);
        let give_up_at = now + self.settings.timings.attempt_timeout;
        self.stage = Stage::PreVote(PreVote { number, granted, give_up_at });
        self.send_all(&electorate(&self.known_epoch), &ReplicationBody::PreVote { number });
    }

    pub(crate) fn handle_pre_vote_reply(
        &mut self, from: DiskId, number: EpochNumber, granted: bool, epoch: Epoch,
    ) {
        self.observe_epoch(&epoch);
        let Stage::PreVote(pre_vote) = &mut self.stage else { return };
        if granted && pre_vote.number == number {
            pre_vote.granted.insert(from);
        }
    }

    pub(crate) fn advance_pre_vote(&mut self, now: Time) {
        let Stage::PreVote(pre_vote) = &self.stage else { return };
        if !self.is_eligible() || now >= pre_vote.give_up_at {
            self.back_off(now);
        } else if self.known_epoch.is_quorum(|disk| pre_vote.granted.contains(&disk)) {
            self.start_election(now, None);
        }
    }

    /// Asks for promises. A sitting primary hands in its plan for the new epoch.
    pub(crate) fn start_election(&mut self, now: Time, plan: Option<EpochPlan>) {
        let number = self.next_number();
        self.acceptor.promised = number;
        self.persistence.mark_dirty();
        self.persistence.defer(DeferredAction::CountOwnPromise(number));
        self.stage = Stage::Candidate(Box::new(Election {
            number,
            base: self.known_epoch.clone(),
            epoch_plan: plan,
            promises: BTreeMap::new(),
            straggler_deadline: None,
            proposal: None,
            resend_at: now + self.settings.timings.resend_interval,
            give_up_at: now + self.settings.timings.attempt_timeout.mul_f64(2.0),
        }));
        self.send_all(&electorate(&self.known_epoch), &ReplicationBody::Prepare { number });
    }

    /// The primary that steps down asks this backup to take over.
    pub(crate) fn handle_leadership_transfer(&mut self, now: Time, epoch: EpochNumber) {
        let follows = matches!(self.stage, Stage::Following) && self.acceptor.accepted.number == epoch;
        if follows && self.acceptor.promised == epoch && self.is_eligible() {
            self.start_election(now, None);
        }
    }

    pub(crate) fn persisted_own_promise(&mut self, number: EpochNumber) {
        let me = self.local_disk();
        let version = self.latest.version;
        let Stage::Candidate(election) = &mut self.stage else { return };
        if election.number == number {
            election.promises.insert(me, version);
        }
    }

    pub(crate) fn handle_promise(
        &mut self, now: Time, from: DiskId, number: EpochNumber, accepted: Epoch, version: Version,
    ) {
        self.observe_epoch(&accepted);
        let Stage::Candidate(election) = &mut self.stage else { return };
        if election.number != number || election.proposal.is_some() {
            return;
        }
        election.promises.insert(from, version);
        if is_newer(&accepted, &election.base) {
            self.rebase(now);
        }
    }

    /// The epoch to follow is a higher one than was known when the candidacy began.
    fn rebase(&mut self, now: Time) {
        if self.leadership.is_some() || !self.is_eligible() {
            self.become_follower(now);
            return;
        }
        let base = self.known_epoch.clone();
        let targets = electorate(&base);
        let Stage::Candidate(election) = &mut self.stage else { return };
        election.base = base;
        election.straggler_deadline = None;
        let body = ReplicationBody::Prepare { number: election.number };
        self.send_all(&targets, &body);
    }

    pub(crate) fn persisted_own_accept(&mut self, number: EpochNumber) {
        let me = self.local_disk();
        self.handle_accepted(me, number);
        if matches!(&self.stage, Stage::Candidate(election) if election.is_bootstrap_election()) {
            self.send_accepts();
        }
    }

    pub(crate) fn handle_accepted(&mut self, from: DiskId, number: EpochNumber) {
        let Stage::Candidate(election) = &mut self.stage else { return };
        let Some(proposal) = election.proposal.as_mut() else { return };
        if proposal.epoch.number == number {
            proposal.accepted.insert(from);
        }
    }

    pub(crate) fn advance_election(&mut self, now: Time) {
        let me = self.local_disk();
        let Stage::Candidate(election) = &mut self.stage else { return };
        if now >= election.give_up_at {
            self.become_follower(now);
            return;
        }
        if election.proposal.is_none() && election.has_promise_quorum(me) {
            let straggler_wait = self.settings.timings.straggler_wait;
            let straggler_deadline = *election.straggler_deadline.get_or_insert(now + straggler_wait);
            if election.has_all_in_sync_promises() || now >= straggler_deadline {
                self.propose_epoch(now);
            }
        }
        if self.is_chosen() {
            self.become_primary(now);
        } else {
            self.resend_requests(now);
        }
    }

    fn propose_epoch(&mut self, now: Time) {
        let me = self.local_disk();
        let Stage::Candidate(election) = &mut self.stage else { return };
        let epoch = election.new_epoch(me, self.settings.min_in_sync_replicas);
        election.proposal =
            Some(Proposal { epoch: epoch.clone(), accepted: BTreeSet::new(), is_bootstrap_epoch: false });
        election.resend_at = now + self.settings.timings.resend_interval;
        self.accept_epoch(epoch);
        self.persistence.defer(DeferredAction::CountOwnAccept(self.acceptor.accepted.number));
        self.send_accepts();
    }

    fn send_accepts(&mut self) {
        let Stage::Candidate(election) = &self.stage else { return };
        let Some(proposal) = &election.proposal else { return };
        let epoch = proposal.epoch.clone();
        let mut missing = electorate(&epoch);
        missing.retain(|voter| !proposal.accepted.contains(&voter.disk));
        self.send_all(&missing, &ReplicationBody::Accept { epoch });
    }

    /// Whether the proposal has been accepted by those that must, this keeper among them.
    fn is_chosen(&self) -> bool {
        let Stage::Candidate(election) = &self.stage else { return false };
        let Some(proposal) = &election.proposal else { return false };
        let mut voters = proposal.epoch.voters.iter();
        let is_accepted_by_all = voters.all(|voter| proposal.accepted.contains(&voter.disk));
        let is_accepted = if proposal.is_bootstrap_epoch {
            is_accepted_by_all
        } else {
            proposal.epoch.is_quorum(|disk| proposal.accepted.contains(&disk))
        };
        is_accepted && proposal.accepted.contains(&self.local_disk())
    }

    fn resend_requests(&mut self, now: Time) {
        let resend_interval = self.settings.timings.resend_interval;
        let me = self.local_disk();
        let Stage::Candidate(election) = &mut self.stage else { return };
        if now < election.resend_at {
            return;
        }
        election.resend_at = now + resend_interval;
        if let Some(proposal) = &election.proposal {
            // The founder tells nobody before its own disk would remember it.
            if !proposal.is_bootstrap_epoch || proposal.accepted.contains(&me) {
                self.send_accepts();
            }
            return;
        }
        let mut missing = electorate(&election.base);
        missing.retain(|voter| !election.promises.contains_key(&voter.disk));
        let body = ReplicationBody::Prepare { number: election.number };
        self.send_all(&missing, &body);
    }

    /// The epoch is chosen: this keeper is its primary.
    fn become_primary(&mut self, now: Time) {
        let Stage::Candidate(election) = &self.stage else { return };
        let promises = election.promises.clone();
        self.commit_epoch();
        let me = self.local_disk();
        let leadership = self.leadership.get_or_insert_with(|| Leadership::new(now));
        leadership.enter_epoch(now, me, &self.acceptor.accepted);
        // Who promised takes nothing of an older epoch any more, so what it held then it holds now.
        for (disk, version) in promises {
            if let Some(peer) = leadership.peers.get_mut(&disk) {
                peer.durable_version = Some(version);
                peer.last_reply_at = now;
            }
        }
        self.stage = Stage::Primary;
        self.election_attempts = 0;
        self.last_primary_contact_at = None;
    }

    /// Gives a canvass or an election up and waits longer than the last time.
    pub(crate) fn back_off(&mut self, now: Time) {
        self.election_attempts = self.election_attempts.saturating_add(1);
        let max_back_off = self
            .settings
            .timings
            .election_timeout
            .mul_f64(f64::from(self.election_attempts.min(MAX_BACK_OFF_ELECTION_TIMEOUTS)));
        self.election_at = now + self.settings.timings.heartbeat_interval + self.jitter.below(max_back_off);
        self.stage = Stage::Following;
    }

    /// Ends an office or a candidacy of this keeper.
    pub(crate) fn become_follower(&mut self, now: Time) {
        if matches!(self.stage, Stage::Candidate(_) | Stage::PreVote(_)) {
            self.back_off(now);
        }
        if self.leadership.is_some() {
            self.step_down(now);
        }
        self.stage = Stage::Following;
    }

    /// A keeper promised a higher number to somebody.
    pub(crate) fn handle_rejection(&mut self, now: Time, promised: EpochNumber) {
        self.highest_number = self.highest_number.max(promised);
        match &self.stage {
            Stage::Candidate(election) if promised > election.number => self.become_follower(now),
            Stage::Primary if promised > self.acceptor.accepted.number => self.schedule_new_epoch(now),
            _ => {}
        }
    }

    /// Whether a majority of voters answered of late, as far as this primary knows.
    pub(crate) fn has_majority(&self, now: Time) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let election_timeout = self.settings.timings.election_timeout;
        let me = self.local_disk();
        let answers = |disk: DiskId| {
            leadership.peers.get(&disk).is_some_and(|peer| now.since(peer.last_reply_at) <= election_timeout)
        };
        is_majority(&self.known_epoch.voters, |disk| disk == me || answers(disk))
    }

    /// Knows of a higher epoch now.
    pub(crate) fn observe_epoch(&mut self, epoch: &Epoch) {
        self.highest_number = self.highest_number.max(epoch.number);
        check(Invariant::EpochNumberIsUnique, is_same_epoch(epoch, &self.known_epoch), || {
            format!("disk {}, {epoch:?} and {:?}", self.local_disk().0, self.known_epoch)
        });
        if is_newer(epoch, &self.known_epoch) {
            self.known_epoch = epoch.clone();
        }
    }

    /// Accepts an epoch; what rests on it waits for the disk.
    pub(crate) fn accept_epoch(&mut self, epoch: Epoch) {
        let min_number = self.acceptor.accepted.number.max(self.acceptor.promised);
        check(Invariant::EpochNeverDecreases, epoch.number >= min_number, || {
            format!("disk {}, epoch {} after {}", self.local_disk().0, epoch.number.0, min_number.0)
        });
        self.observe_epoch(&epoch);
        self.acceptor.promised = self.acceptor.promised.max(epoch.number);
        self.acceptor.accepted = epoch;
        self.persistence.mark_dirty();
    }

    /// The accepted epoch is known to be chosen: the voters before it count no more.
    pub(crate) fn commit_epoch(&mut self) {
        if !self.acceptor.accepted.previous_voters.is_empty() {
            self.acceptor.accepted.previous_voters = Vec::new();
            self.persistence.mark_dirty();
        }
        let accepted = self.acceptor.accepted.clone();
        self.observe_epoch(&accepted);
    }

    /// The voters with whom this keeper would be founded or let in.
    pub(crate) fn local_voter(&self) -> Voter {
        self.settings.local_voter.clone()
    }
}
