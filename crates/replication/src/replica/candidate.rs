//! Elections on the side of the candidate: promises and acceptances.

use juniperwing_clock::Time;
use juniperwing_protocol::replication::{Epoch, ReplicationBody, Version};
use juniperwing_protocol::{DiskId, EpochNumber};

use super::{Replica, Stage};
use crate::election::{Election, Proposal};
use crate::epoch::{electorate, is_newer};
use crate::epoch_plan::EpochPlan;
use crate::persistence::DeferredAction;
use crate::state::ReplicatedState;

/// The longest back-off after a failed election, in election timeouts.
const MAX_BACK_OFF_ELECTION_TIMEOUTS: u32 = 2;

impl<S: ReplicatedState> Replica<S> {
    /// Starts an election by requesting promises. A primary passes in its plan for the new epoch.
    pub(super) fn start_election(&mut self, now: Time, plan: Option<EpochPlan>) {
        let number = self.next_number();
        self.acceptor.promised = number;
        self.persistence.mark_dirty();
        self.persistence.defer(DeferredAction::CountOwnPromise(number));
        let resend_at = now + self.settings.timings.resend_interval;
        let expires_at = now + self.settings.timings.attempt_timeout.mul_f64(2.0);
        let base = self.known_epoch.clone();
        let election = Election::new(number, base, plan, resend_at, expires_at);
        self.stage = Stage::Candidate(Box::new(election));
        self.send_all(&electorate(&self.known_epoch), &ReplicationBody::Prepare { number });
    }

    /// Counts this keeper's own promise, which is now on disk.
    pub(super) fn handle_own_promise_persisted(&mut self, number: EpochNumber) {
        let local_disk = self.local_disk();
        let version = self.latest.version;
        let Stage::Candidate(election) = &mut self.stage else { return };
        if election.number == number {
            election.promises.insert(local_disk, version);
        }
    }

    /// Counts a promise, and follows a newer epoch that the voter has accepted.
    pub(super) fn handle_promise(
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

    /// Restarts the requests for promises on a newer base than the one known when the election began. The
    /// election is abandoned if this keeper is primary, or is not eligible on the new base.
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

    /// Counts this keeper's own acceptance, which is now on disk.
    pub(super) fn handle_own_accept_persisted(&mut self, number: EpochNumber) {
        let local_disk = self.local_disk();
        self.handle_accepted(local_disk, number);
        if matches!(&self.stage, Stage::Candidate(election) if election.is_bootstrap_election()) {
            self.send_accepts();
        }
    }

    /// Counts an acceptance of the proposed epoch.
    pub(super) fn handle_accepted(&mut self, from: DiskId, number: EpochNumber) {
        let Stage::Candidate(election) = &mut self.stage else { return };
        let Some(proposal) = election.proposal.as_mut() else { return };
        if proposal.epoch.number == number {
            proposal.accepted.insert(from);
        }
    }

    /// Handles the rejection by a keeper that has promised a higher number to another candidate.
    pub(super) fn handle_rejection(&mut self, now: Time, promised: EpochNumber) {
        self.highest_number = self.highest_number.max(promised);
        match &self.stage {
            Stage::Candidate(election) if promised > election.number => self.become_follower(now),
            Stage::Primary if promised > self.acceptor.accepted.number => self.schedule_new_epoch(now),
            _ => {}
        }
    }

    /// Proposes an epoch once there are enough promises, and becomes primary once the epoch is chosen.
    pub(super) fn advance_election(&mut self, now: Time) {
        let local_disk = self.local_disk();
        let Stage::Candidate(election) = &mut self.stage else { return };
        if now >= election.expires_at {
            self.become_follower(now);
            return;
        }
        if election.proposal.is_none() && election.has_promise_quorum(local_disk) {
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

    /// Proposes the new epoch; no later promise changes it.
    fn propose_epoch(&mut self, now: Time) {
        let local_disk = self.local_disk();
        let Stage::Candidate(election) = &mut self.stage else { return };
        let epoch = election.new_epoch(local_disk, self.settings.min_in_sync_replicas);
        election.proposal = Some(Proposal::new(epoch.clone(), false));
        election.resend_at = now + self.settings.timings.resend_interval;
        self.accept_epoch(epoch);
        self.persistence.defer(DeferredAction::CountOwnAccept(self.acceptor.accepted.number));
        self.send_accepts();
    }

    /// Sends the proposed epoch to all voters that have not accepted it.
    fn send_accepts(&mut self) {
        let Stage::Candidate(election) = &self.stage else { return };
        let Some(proposal) = &election.proposal else { return };
        let epoch = proposal.epoch.clone();
        let mut missing = electorate(&epoch);
        missing.retain(|voter| !proposal.accepted.contains(&voter.disk));
        self.send_all(&missing, &ReplicationBody::Accept { epoch });
    }

    /// Whether the proposed epoch is chosen.
    fn is_chosen(&self) -> bool {
        let Stage::Candidate(election) = &self.stage else { return false };
        let Some(proposal) = &election.proposal else { return false };
        proposal.is_chosen(self.local_disk())
    }

    /// Resends the requests that have not been answered within the resend interval.
    fn resend_requests(&mut self, now: Time) {
        let resend_interval = self.settings.timings.resend_interval;
        let local_disk = self.local_disk();
        let Stage::Candidate(election) = &mut self.stage else { return };
        if now < election.resend_at {
            return;
        }
        election.resend_at = now + resend_interval;
        if let Some(proposal) = &election.proposal {
            // The bootstrap coordinator sends nothing before its own disk holds the epoch.
            if !proposal.is_bootstrap_epoch || proposal.accepted.contains(&local_disk) {
                self.send_accepts();
            }
            return;
        }
        let mut missing = electorate(&election.base);
        missing.retain(|voter| !election.promises.contains_key(&voter.disk));
        let body = ReplicationBody::Prepare { number: election.number };
        self.send_all(&missing, &body);
    }

    /// Ends a pre-vote or an election and schedules the next attempt. The random back-off grows up to its
    /// limit.
    pub(super) fn back_off(&mut self, now: Time) {
        self.election_attempts = self.election_attempts.saturating_add(1);
        let max_back_off = self
            .settings
            .timings
            .election_timeout
            .mul_f64(f64::from(self.election_attempts.min(MAX_BACK_OFF_ELECTION_TIMEOUTS)));
        self.election_at = now + self.settings.timings.heartbeat_interval + self.jitter.below(max_back_off);
        self.stage = Stage::Following;
    }

    /// Ends this keeper's leadership, pre-vote or election and becomes a follower.
    pub(super) fn become_follower(&mut self, now: Time) {
        if matches!(self.stage, Stage::Candidate(_) | Stage::PreVote(_)) {
            self.back_off(now);
        }
        if self.leadership.is_some() {
            self.step_down(now);
        }
        self.stage = Stage::Following;
    }
}
