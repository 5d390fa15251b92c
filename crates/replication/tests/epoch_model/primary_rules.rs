//! The rules of primaries: writes, commits, reads and plans for the next epoch.

use super::in_sync::{MIN_IN_SYNC_REPLICAS, fill_in_sync};
use super::member_set::MemberSet;
use super::rules::{Mutation, Rules};
use super::state::{
    EpochNumber, EpochPlan, Keeper, Log, MAX_WRITES, MEMBER_COUNT, Message, ModelState, NEWCOMER, Read,
};

impl Rules {
    /// Writes a change on the primary and sends it.
    pub fn start_write(&self, state: &mut ModelState, member: u8) {
        state.started_writes += 1;
        let write = state.started_writes;
        let keeper = state.keeper_mut(member);
        let epoch = keeper.accepted.number;
        keeper.log = keeper.log.appended(epoch, write);
        let log = keeper.log;
        if let Some(leadership) = &mut keeper.leadership {
            leadership.in_flight_write = write;
        }
        state.send(Message::Snapshot { epoch, log });
    }

    /// Whether there are enough in-sync replicas and all of them have the latest state.
    pub fn is_replicated_to_all(&self, state: &ModelState, member: u8) -> bool {
        let Keeper { accepted, log, .. } = *state.keeper(member);
        let mut others = accepted.in_sync.without(member).iter();
        let has_latest = |other: u8| self.has_acknowledged(state, accepted.number, other, log);
        let is_replicated = if self.has_mutation(Mutation::AcknowledgesBeforeAllInSync) {
            others.any(has_latest)
        } else {
            others.all(has_latest)
        };
        accepted.in_sync.count() >= MIN_IN_SYNC_REPLICAS && is_replicated
    }

    /// Whether `member` has acknowledged, in the primary's `epoch`, that it has `log` on disk.
    fn has_acknowledged(&self, state: &ModelState, epoch: EpochNumber, member: u8, log: Log) -> bool {
        state.messages.iter().any(|message| match message {
            Message::WriteAck { epoch: number, from, log: durable }
            | Message::Promise { number, from, log: durable, .. } => {
                *from == member && *number == epoch && *durable == log
            }
            _ => false,
        })
    }

    /// Commits the latest state, which all in-sync replicas have, and acknowledges the write in flight.
    pub fn commit(&self, state: &mut ModelState, member: u8) {
        let keeper = state.keeper_mut(member);
        let (epoch, log) = (keeper.accepted.number, keeper.log);
        let Some(leadership) = &mut keeper.leadership else { return };
        leadership.is_synchronized = true;
        leadership.has_served = true;
        leadership.committed = log;
        let write = std::mem::take(&mut leadership.in_flight_write);
        let history = &mut state.history;
        history.has_diverged |= !log.is_consistent_with(&history.committed);
        if log.len() > history.committed.iter().filter(|write| **write != 0).count() {
            history.committed = log.writes;
        }
        if write != 0 {
            history.acknowledged[usize::from(write) - 1] = Some(epoch);
        }
    }

    /// Starts a read on the primary, and a round of heartbeats that confirms it.
    pub fn start_read(&self, state: &mut ModelState, member: u8) {
        state.can_read = false;
        let acknowledged = state.history.acknowledged.iter().enumerate();
        let required_writes = acknowledged
            .filter(|(_, epoch)| epoch.is_some())
            .fold(0, |bits, (position, _)| bits | 1 << position);
        state.read = Some(Read { reader: member, required_writes });
        let epoch = state.keeper(member).accepted;
        state.send(Message::Heartbeat { epoch, confirms_read: true });
    }

    /// Whether a majority has answered the round of heartbeats.
    pub fn can_complete_read(&self, state: &ModelState, member: u8) -> bool {
        let epoch = state.keeper(member).accepted;
        let has_replied =
            |from: &u8| state.was_sent(&Message::HeartbeatReply { epoch: epoch.number, from: *from });
        let responders = (0..MEMBER_COUNT).filter(has_replied).fold(MemberSet::default(), MemberSet::with);
        epoch.voters.is_majority(responders.with(member))
            || self.has_mutation(Mutation::ConfirmsReadsWithoutMajority)
    }

    /// Completes a read: a majority has answered a round of heartbeats that began after it.
    pub fn complete_read(&self, state: &mut ModelState, member: u8) {
        let Some(read) = state.read.take() else { return };
        let Some(leadership) = &state.keeper(member).leadership else { return };
        let committed = leadership.committed;
        let is_missing =
            |write: &u8| read.required_writes & (1 << (write - 1)) != 0 && !committed.contains(*write);
        state.history.has_stale_read |= (1..=MAX_WRITES as u8).any(|write| is_missing(&write));
        state.history.has_confirmed_read = true;
    }

    /// Every change of voters and in-sync replicas that a primary may plan, for all combinations of replicas
    /// that are slow, unresponsive or up to date.
    pub fn possible_plans(&self, state: &ModelState, member: u8) -> Vec<EpochPlan> {
        let Keeper { accepted: epoch, log, leadership, .. } = *state.keeper(member);
        let Some(leadership) = leadership else { return Vec::new() };
        let committed = Some(leadership.committed).filter(|_| leadership.is_synchronized);
        let is_up_to_date = |other: u8| {
            self.has_acknowledged(state, epoch.number, other, log)
                || committed
                    .is_some_and(|committed| self.has_acknowledged(state, epoch.number, other, committed))
        };
        let mut voter_sets = vec![epoch.voters];
        let can_admit = is_up_to_date(NEWCOMER) || self.has_mutation(Mutation::AdmitsVoterWithoutState);
        if state.keeper(NEWCOMER).is_up && !epoch.voters.has(NEWCOMER) && can_admit {
            let replaced = epoch.voters.without(member).iter();
            voter_sets.extend(replaced.map(|old| epoch.voters.without(old).with(NEWCOMER)));
        }
        let min_in_sync = MIN_IN_SYNC_REPLICAS.min(epoch.in_sync.count());
        let mut plans = Vec::new();
        for voters in voter_sets {
            let mut candidates = epoch.in_sync.and(voters);
            let is_current = |other: &u8| is_up_to_date(*other) || (*other == NEWCOMER && can_admit);
            candidates = voters.iter().filter(is_current).fold(candidates, MemberSet::with);
            for present in candidates.subsets().filter(|present| present.has(member)) {
                let none = MemberSet::default();
                for in_sync in fill_in_sync(present, epoch.in_sync.and(voters), none) {
                    let is_change = voters != epoch.voters || in_sync != epoch.in_sync;
                    if is_change && in_sync.count() >= min_in_sync {
                        plans.push(EpochPlan { voters, in_sync });
                    }
                }
            }
        }
        plans.dedup();
        plans
    }
}
