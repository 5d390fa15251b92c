//! The rules of acceptors and backups: how a member handles messages of a candidate or a primary.

use super::member_set::MemberSet;
use super::rules::{Mutation, Rules};
use super::state::{Epoch, EpochNumber, Keeper, Log, MEMBER_COUNT, Message, ModelState, Stage};

impl Rules {
    /// Handles a candidate's request for a promise.
    pub fn handle_prepare(&self, state: &mut ModelState, member: u8, number: EpochNumber) {
        if number < state.keeper(member).promised {
            return;
        }
        if number > state.keeper(member).promised {
            Rules::become_follower(state, member);
            state.keeper_mut(member).promised = number;
        }
        let Keeper { accepted, log, .. } = *state.keeper(member);
        state.send(Message::Promise { number, from: member, accepted, log });
    }

    /// Handles a candidate's request to accept its epoch.
    pub fn handle_accept(&self, state: &mut ModelState, member: u8, epoch: Epoch) {
        let keeper = state.keeper(member);
        if epoch.number < keeper.promised && !self.has_mutation(Mutation::AcceptsBelowPromise) {
            return;
        }
        if epoch.number != keeper.accepted.number {
            Rules::become_follower(state, member);
            Rules::accept_epoch(state.keeper_mut(member), epoch);
        }
        self.record_accepted(state, member, epoch);
    }

    /// Handles the heartbeat of a primary, whose epoch is chosen.
    pub fn handle_heartbeat(&self, state: &mut ModelState, member: u8, epoch: Epoch, confirms_read: bool) {
        let keeper = state.keeper(member);
        if epoch.number < keeper.promised {
            return;
        }
        if epoch.number > keeper.accepted.number {
            Rules::become_follower(state, member);
            Rules::accept_epoch(state.keeper_mut(member), epoch);
        } else {
            let keeper = state.keeper_mut(member);
            keeper.accepted = keeper.accepted.committed();
        }
        state.keeper_mut(member).stage = Stage::Following;
        if confirms_read {
            state.send(Message::HeartbeatReply { epoch: epoch.number, from: member });
        }
    }

    /// Handles the state that a primary sends. The model also represents single writes as snapshots; the code
    /// applies a write only to its base.
    pub fn handle_snapshot(&self, state: &mut ModelState, member: u8, epoch: EpochNumber, log: Log) {
        let keeper = state.keeper_mut(member);
        if epoch != keeper.promised || epoch != keeper.accepted.number {
            return;
        }
        let present = keeper.log;
        let is_late = present.epoch == epoch && log.len() <= present.len();
        if log != present && !is_late {
            keeper.log = log;
        }
        let log = keeper.log;
        state.send(Message::WriteAck { epoch, from: member, log });
    }

    /// Sends an acceptance, and records the epoch as chosen once a quorum has accepted it.
    pub fn record_accepted(&self, state: &mut ModelState, member: u8, epoch: Epoch) {
        state.send(Message::Accepted { number: epoch.number, from: member });
        let is_newer = epoch.number > state.history.newest_chosen.number;
        if is_newer && epoch.is_quorum(Rules::acceptors(state, epoch.number)) {
            state.history.newest_chosen = epoch.committed();
        }
    }

    /// The members that have accepted the epoch with that number.
    pub fn acceptors(state: &ModelState, number: EpochNumber) -> MemberSet {
        let accepted = |from: &u8| state.was_sent(&Message::Accepted { number, from: *from });
        (0..MEMBER_COUNT).filter(accepted).fold(MemberSet::default(), MemberSet::with)
    }

    /// Accepts an epoch.
    pub fn accept_epoch(keeper: &mut Keeper, epoch: Epoch) {
        keeper.promised = keeper.promised.max(epoch.number);
        keeper.accepted = epoch;
    }

    /// Ends the leadership or the election of a member.
    pub fn become_follower(state: &mut ModelState, member: u8) {
        let keeper = state.keeper_mut(member);
        keeper.stage = Stage::Following;
        keeper.leadership = None;
        if state.read.is_some_and(|read| read.reader == member) {
            state.read = None;
        }
    }
}
