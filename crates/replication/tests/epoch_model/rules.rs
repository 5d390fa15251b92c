//! The limits of an exploration, its mutation, and the model for the checker.

use stateright::{Model, Property};

use super::actions::Action;
use super::member_set::MemberSet;
use super::properties;
use super::state::{Epoch, EpochNumber, Keeper, Leadership, MEMBER_COUNT, Message, ModelState, Stage};

/// The primary of the bootstrap epoch.
const BOOTSTRAP_PRIMARY: u8 = 0;

/// A guard that is removed, to show that the properties depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// `replica/voting.rs`, `handle_accept`: no comparison with the promise.
    AcceptsBelowPromise,
    /// `replica.rs`, `is_eligible`: a voter that is not in sync may become primary.
    ElectsKeeperOutOfSync,
    /// `election.rs`, `new_epoch`: all members that promised count as in sync.
    CountsPromisesAsInSync,
    /// A wiped keeper returns with its old identity and votes.
    WipedKeeperKeepsVote,
    /// `replica/proposals.rs`, `is_replicated_to_all`: `any` in place of `all`.
    AcknowledgesBeforeAllInSync,
    /// `election.rs`, `previous_voters`: always empty.
    ChangesVotersWithoutPreviousVoters,
    /// `replica/candidate.rs`, `handle_promise`: no `rebase` on the highest accepted epoch.
    IgnoresAcceptedEpochs,
    /// `replica/primary.rs`, `advance_primary`: a primary that knows a higher epoch changes it.
    ChangesSupersededEpoch,
    /// `replica/reads.rs`, `complete_reads`: no majority is required.
    ConfirmsReadsWithoutMajority,
    /// `epoch_plan.rs`, `is_up_to_date`: a newcomer joins the in-sync set regardless of its state.
    AdmitsVoterWithoutState,
}

/// The limits of an exploration and its mutation.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The number of elections after the bootstrap.
    pub max_elections: u8,
    pub max_writes: u8,
    pub max_restarts: u8,
    /// Whether the first election must admit the newcomer, which is inactive before.
    pub admits_newcomer_first: bool,
    /// A keeper that has lost its disk before the first step.
    pub lost_keeper: Option<u8>,
    /// Whether an empty keeper may join in place of another voter, which may have lost its disk.
    pub has_newcomer: bool,
    pub has_read: bool,
    pub mutation: Option<Mutation>,
}

impl Rules {
    /// Whether the guard of that mutation is removed.
    pub fn has_mutation(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Whether the next epoch must be one that admits the newcomer.
    pub fn must_admit_newcomer(&self, state: &ModelState) -> bool {
        self.admits_newcomer_first && state.remaining_elections == self.max_elections
    }

    /// Whether the mutation makes keepers accept messages that they would otherwise reject, so that no
    /// message becomes obsolete.
    fn accepts_stale_messages(&self) -> bool {
        let mutations = [Mutation::AcceptsBelowPromise, Mutation::WipedKeeperKeepsVote];
        self.mutation.is_some_and(|mutation| mutations.contains(&mutation))
    }
}

impl Model for Rules {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        let number = EpochNumber { term: 1, proposer: BOOTSTRAP_PRIMARY };
        let voters = MemberSet::of(&[0, 1, 2]);
        let epoch = Epoch { number, in_sync: voters, voters, previous_voters: MemberSet::default() };
        let initial = Keeper { is_up: true, promised: number, accepted: epoch, ..Keeper::default() };
        let newcomer = Keeper { is_up: self.has_newcomer, ..Keeper::default() };
        let mut state = ModelState {
            keepers: [initial, initial, initial, newcomer],
            messages: Vec::new(),
            remaining_elections: self.max_elections,
            started_writes: 0,
            remaining_restarts: self.max_restarts,
            can_wipe: self.has_mutation(Mutation::WipedKeeperKeepsVote),
            can_read: self.has_read,
            read: None,
            history: Default::default(),
        };
        if let Some(lost) = self.lost_keeper {
            *state.keeper_mut(lost) = Keeper::default();
        }
        let primary = state.keeper_mut(BOOTSTRAP_PRIMARY);
        primary.stage = Stage::Primary;
        primary.leadership =
            Some(Leadership { has_served: true, is_synchronized: true, ..Leadership::default() });
        state.send(Message::Heartbeat { epoch, confirms_read: false });
        vec![state]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        self.delivery_actions(state, actions);
        for member in (0..MEMBER_COUNT).filter(|member| state.keeper(*member).is_up) {
            self.member_actions(state, member, actions);
        }
    }

    fn next_state(&self, state: &ModelState, action: Action) -> Option<ModelState> {
        let mut next = state.clone();
        match action {
            Action::Deliver { message, to } => self.deliver(&mut next, message, to),
            Action::StartElection { member, base } => self.start_election(&mut next, member, base, None),
            Action::ChangeEpoch { member, base, plan } => {
                self.start_election(&mut next, member, base, Some(plan));
            }
            Action::Propose { member, epoch } => self.propose_epoch(&mut next, member, epoch),
            Action::BecomePrimary { member } => self.become_primary(&mut next, member),
            Action::Commit { member } => self.commit(&mut next, member),
            Action::StartWrite { member } => self.start_write(&mut next, member),
            Action::StartRead { member } => self.start_read(&mut next, member),
            Action::CompleteRead { member } => self.complete_read(&mut next, member),
            Action::Restart { member } => Rules::restart(&mut next, member),
            Action::Wipe { member } => Rules::wipe(&mut next, member),
        }
        if !self.accepts_stale_messages() {
            next.remove_obsolete_messages();
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Rules>> {
        properties::all()
    }
}
