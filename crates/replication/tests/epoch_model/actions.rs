//! The actions that are possible in a state, and their effects.

use super::member_set::MemberSet;
use super::rules::{Mutation, Rules};
use super::state::{Epoch, EpochPlan, Keeper, Message, ModelState, NEWCOMER, Stage};

/// A step from one state to the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Deliver { message: Message, to: u8 },
    StartElection { member: u8, base: Epoch },
    ChangeEpoch { member: u8, base: Epoch, plan: EpochPlan },
    Propose { member: u8, epoch: Epoch },
    BecomePrimary { member: u8 },
    Commit { member: u8 },
    StartWrite { member: u8 },
    StartRead { member: u8 },
    CompleteRead { member: u8 },
    Restart { member: u8 },
    Wipe { member: u8 },
}

impl Rules {
    /// Adds the deliveries of all messages that were sent.
    pub fn delivery_actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        let voters =
            state.keepers.iter().fold(MemberSet::default(), |all, keeper| all.or(keeper.accepted.voters));
        for message in &state.messages {
            let (from, to) = match message {
                Message::Prepare { number } => (number.proposer, voters),
                Message::Accept { epoch } => (epoch.number.proposer, epoch.electorate()),
                Message::Snapshot { epoch, .. } => (epoch.proposer, MemberSet(u8::MAX)),
                Message::Heartbeat { epoch, .. } => (epoch.number.proposer, MemberSet(u8::MAX)),
                _ => continue,
            };
            let is_up = |member: &u8| state.keeper(*member).is_up && *member != from;
            for member in to.iter().filter(is_up) {
                actions.push(Action::Deliver { message: *message, to: member });
            }
        }
    }

    /// Adds the actions that a member may take without receiving a message.
    pub fn member_actions(&self, state: &ModelState, member: u8, actions: &mut Vec<Action>) {
        let keeper = state.keeper(member);
        if state.remaining_elections > 0 && !self.must_admit_newcomer(state) {
            let known = Rules::known_epochs(state, member).into_iter();
            let eligible = known.filter(|base| self.is_eligible(base, member));
            actions.extend(eligible.map(|base| Action::StartElection { member, base }));
        }
        let proposals = self.possible_epochs(state, member).into_iter();
        actions.extend(proposals.map(|epoch| Action::Propose { member, epoch }));
        if self.is_chosen(state, member) {
            actions.push(Action::BecomePrimary { member });
        }
        if keeper.stage == Stage::Primary {
            self.primary_actions(state, member, actions);
        }
        if state.remaining_restarts > 0 {
            actions.push(Action::Restart { member });
        }
        if state.can_wipe && member != NEWCOMER {
            actions.push(Action::Wipe { member });
        }
    }

    /// Adds the actions that a primary may take without receiving a message.
    fn primary_actions(&self, state: &ModelState, member: u8, actions: &mut Vec<Action>) {
        let Some(leadership) = state.keeper(member).leadership else { return };
        let has_uncommitted = !leadership.is_synchronized || leadership.in_flight_write != 0;
        if has_uncommitted && self.is_replicated_to_all(state, member) {
            actions.push(Action::Commit { member });
        }
        if leadership.is_synchronized
            && leadership.in_flight_write == 0
            && state.started_writes < self.max_writes
        {
            actions.push(Action::StartWrite { member });
        }
        if leadership.is_synchronized && state.can_read {
            actions.push(Action::StartRead { member });
        }
        let has_pending_read = state.read.is_some_and(|read| read.reader == member);
        if leadership.is_synchronized && has_pending_read && self.can_complete_read(state, member) {
            actions.push(Action::CompleteRead { member });
        }
        if state.remaining_elections > 0 {
            let plans = self.possible_plans(state, member).into_iter();
            for plan in plans.filter(|plan| plan.voters.has(NEWCOMER) || !self.must_admit_newcomer(state)) {
                let mut bases = vec![state.keeper(member).accepted];
                if self.has_mutation(Mutation::ChangesSupersededEpoch) {
                    bases = Rules::known_epochs(state, member);
                }
                actions.extend(bases.into_iter().map(|base| Action::ChangeEpoch { member, base, plan }));
            }
        }
    }

    /// Delivers a message to a member.
    pub fn deliver(&self, state: &mut ModelState, message: Message, to: u8) {
        match message {
            Message::Prepare { number } => self.handle_prepare(state, to, number),
            Message::Accept { epoch } => self.handle_accept(state, to, epoch),
            Message::Snapshot { epoch, log } => self.handle_snapshot(state, to, epoch, log),
            Message::Heartbeat { epoch, confirms_read } => {
                self.handle_heartbeat(state, to, epoch, confirms_read);
            }
            // Replies are not delivered: candidates and primaries look them up in the set of sent messages.
            Message::Promise { .. }
            | Message::Accepted { .. }
            | Message::WriteAck { .. }
            | Message::HeartbeatReply { .. } => {}
        }
    }

    /// A keeper loses its disk but keeps its identity. A real keeper returns with a new identity, which the
    /// model represents by the newcomer. That the old identity never acts again is one of the orders of
    /// events that are explored in any case.
    pub fn wipe(state: &mut ModelState, member: u8) {
        state.can_wipe = false;
        Rules::become_follower(state, member);
        *state.keeper_mut(member) = Keeper { is_up: true, ..Keeper::default() };
    }

    /// A process restarts: everything in memory is lost.
    pub fn restart(state: &mut ModelState, member: u8) {
        state.remaining_restarts -= 1;
        Rules::become_follower(state, member);
    }
}
