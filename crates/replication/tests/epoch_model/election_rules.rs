//! The rules of candidates: elections, proposals and the start of leadership.

use super::in_sync::fill_in_sync;
use super::member_set::MemberSet;
use super::rules::{Mutation, Rules};
use super::state::{Epoch, EpochNumber, EpochPlan, Message, ModelState, Stage};

impl Rules {
    /// Starts an election: as a backup that wants to become primary, or as primary with a plan.
    pub fn start_election(&self, state: &mut ModelState, member: u8, base: Epoch, plan: Option<EpochPlan>) {
        state.remaining_elections -= 1;
        if plan.is_none() {
            Rules::become_follower(state, member);
        }
        let keeper = state.keeper_mut(member);
        let term = keeper.promised.term.max(base.number.term) + 1;
        let number = EpochNumber { term, proposer: member };
        keeper.promised = number;
        keeper.stage = Stage::Candidate { number, base, plan, proposed: false };
        state.send(Message::Prepare { number });
    }

    /// The epochs that a keeper may know when it starts an election: the one that it has accepted, and those
    /// in the replies to its pre-vote.
    pub fn known_epochs(state: &ModelState, member: u8) -> Vec<Epoch> {
        let own = state.keeper(member).accepted;
        let others = state.keepers.iter().filter(|keeper| keeper.is_up).map(|keeper| keeper.accepted);
        let mut known: Vec<Epoch> = others.filter(|epoch| epoch.is_newer(&own)).collect();
        known.push(own);
        known.sort_unstable();
        known.dedup();
        known
    }

    /// Whether a member may become primary after `base`.
    pub fn is_eligible(&self, base: &Epoch, member: u8) -> bool {
        let in_sync = base.in_sync.has(member) || self.has_mutation(Mutation::ElectsKeeperOutOfSync);
        base.voters.has(member) && in_sync
    }

    /// Every epoch that a candidate may propose now: for each set of promises of a quorum, and for each way
    /// to supplement the in-sync set.
    pub fn possible_epochs(&self, state: &ModelState, member: u8) -> Vec<Epoch> {
        let keeper = state.keeper(member);
        let Stage::Candidate { number, base: first_base, plan, proposed: false } = keeper.stage else {
            return Vec::new();
        };
        let promises = Rules::promises(state, number);
        let all = promises.iter().fold(MemberSet::default(), |set, (from, _)| set.with(*from));
        let mut epochs = Vec::new();
        for others in all.subsets() {
            let promised = others.with(member);
            let mut base = first_base;
            let counted = promises.iter().filter(|(from, _)| others.has(*from));
            for (_, accepted) in counted.filter(|_| !self.has_mutation(Mutation::IgnoresAcceptedEpochs)) {
                if accepted.is_newer(&base) {
                    base = *accepted;
                }
            }
            let is_rebased = base != first_base;
            let is_abandoned =
                is_rebased && (keeper.leadership.is_some() || !self.is_eligible(&base, member));
            if !is_abandoned && base.is_quorum(promised) {
                self.new_epochs(number, &base, plan, promised, &mut epochs);
            }
        }
        epochs.sort_unstable();
        epochs.dedup();
        epochs
    }

    /// The members that promised that number, each with the epoch that it had accepted.
    fn promises(state: &ModelState, number: EpochNumber) -> Vec<(u8, Epoch)> {
        let promises = state.messages.iter().filter_map(|message| match message {
            Message::Promise { number: promised, from, accepted, .. } if *promised == number => {
                Some((*from, *accepted))
            }
            _ => None,
        });
        promises.collect()
    }

    /// Adds the possible successors of `base`, given the members that promised.
    fn new_epochs(
        &self, number: EpochNumber, base: &Epoch, plan: Option<EpochPlan>, promised: MemberSet,
        epochs: &mut Vec<Epoch>,
    ) {
        let primary = number.proposer;
        let is_committed = base.previous_voters.is_empty();
        let voters = plan.filter(|_| is_committed).map_or(base.voters, |plan| plan.voters);
        let previous_voters = if !is_committed {
            base.previous_voters
        } else if voters != base.voters && !self.has_mutation(Mutation::ChangesVotersWithoutPreviousVoters) {
            base.voters
        } else {
            MemberSet::default()
        };
        let mut target = plan.map_or(base.in_sync, |plan| plan.in_sync);
        if self.has_mutation(Mutation::CountsPromisesAsInSync) {
            target = target.or(promised);
        }
        let is_new = MemberSet(!base.voters.0);
        let present = target.and(promised.or(is_new)).with(primary).and(voters);
        for in_sync in fill_in_sync(present, target.and(voters), base.in_sync.and(voters)) {
            epochs.push(Epoch { number, in_sync, voters, previous_voters });
        }
    }

    /// Proposes an epoch as a candidate.
    pub fn propose_epoch(&self, state: &mut ModelState, member: u8, epoch: Epoch) {
        let newest = &mut state.history.last_proposed[usize::from(member)];
        let is_used = epoch.number <= *newest;
        *newest = epoch.number;
        state.history.has_duplicate_number |= is_used;
        let keeper = state.keeper_mut(member);
        Rules::accept_epoch(keeper, epoch);
        if let Stage::Candidate { proposed, .. } = &mut keeper.stage {
            *proposed = true;
        }
        state.send(Message::Accept { epoch });
        self.record_accepted(state, member, epoch);
    }

    /// Whether the epoch that a member proposed is chosen.
    pub fn is_chosen(&self, state: &ModelState, member: u8) -> bool {
        let keeper = state.keeper(member);
        let Stage::Candidate { number, proposed: true, .. } = keeper.stage else { return false };
        keeper.accepted.number == number && keeper.accepted.is_quorum(Rules::acceptors(state, number))
    }

    /// Makes a member primary of its chosen epoch; it first sends its own state to all keepers.
    pub fn become_primary(&self, state: &mut ModelState, member: u8) {
        let keeper = state.keeper_mut(member);
        keeper.accepted = keeper.accepted.committed();
        let (epoch, log) = (keeper.accepted, keeper.log);
        let mut leadership = keeper.leadership.unwrap_or_default();
        leadership.is_synchronized = false;
        keeper.leadership = Some(leadership);
        keeper.stage = Stage::Primary;
        let confirms_read = state.read.is_some_and(|read| read.reader == member);
        state.send(Message::Heartbeat { epoch, confirms_read: false });
        if confirms_read {
            state.send(Message::Heartbeat { epoch, confirms_read });
        }
        state.send(Message::Snapshot { epoch: epoch.number, log });
    }
}
