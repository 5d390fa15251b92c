//! Dispatches events and messages to their handlers.

use std::mem;

use juniperwing_clock::Time;
use juniperwing_protocol::replication::{ReplicationBody, ReplicationMessage};

use super::{Replica, Stage};
use crate::interface::{Command, Event, PersistToken, Record};
use crate::persistence::DeferredAction;
use crate::state::ReplicatedState;

impl<S: ReplicatedState> Replica<S> {
    /// Handles an event and returns the commands to execute, in order.
    pub fn handle(&mut self, now: Time, event: Event<S>) -> Vec<Command> {
        match event {
            Event::Message(message) => self.handle_message(now, message),
            Event::Persisted(token) => self.handle_persisted(token),
            Event::PersistFailed(token) => self.handle_persist_failed(now, token),
            Event::Tick => {}
            Event::Propose { token, base, change } => self.handle_propose(now, token, base, change),
            Event::Read { token } => self.handle_read(now, token),
            Event::PrepareShutdown => self.prepare_shutdown(now),
            Event::ContactsChanged(contacts) => self.set_contacts(now, contacts),
        }
        self.run_released_actions();
        if self.persistence.detect_stall(now) {
            self.become_follower(now);
        }
        self.advance(now);
        self.start_persist(now);
        self.report_role();
        self.arm_timer(now);
        mem::take(&mut self.commands)
    }

    /// Dispatches a message to its handler.
    fn handle_message(&mut self, now: Time, message: ReplicationMessage) {
        let ReplicationMessage { from, address, body } = message;
        if from == self.local_disk() {
            return;
        }
        match body {
            ReplicationBody::PreVote { number } => self.handle_pre_vote(now, address, number),
            ReplicationBody::PreVoteReply { number, granted, epoch } => {
                self.handle_pre_vote_reply(from, number, granted, epoch);
            }
            ReplicationBody::TransferLeadership { epoch } => self.handle_leadership_transfer(now, epoch),
            ReplicationBody::Prepare { number } => self.handle_prepare(now, address, number),
            ReplicationBody::Promise { number, accepted, version } => {
                self.handle_promise(now, from, number, accepted, version);
            }
            ReplicationBody::Accept { epoch } => self.handle_accept(now, address, epoch),
            ReplicationBody::Accepted { number } => self.handle_accepted(from, number),
            ReplicationBody::Rejected { promised } => self.handle_rejection(now, promised),
            ReplicationBody::Write { epoch, base, version, change } => {
                self.handle_write(now, address, epoch, base, version, &change);
            }
            ReplicationBody::Changes { epoch, base, changes } => {
                self.handle_changes(now, address, epoch, base, &changes);
            }
            ReplicationBody::Snapshot { epoch, version, state } => {
                self.handle_snapshot(now, address, epoch, version, state);
            }
            ReplicationBody::WriteAck { epoch, version } => self.handle_write_ack(now, from, epoch, version),
            ReplicationBody::Heartbeat { epoch, committed, round } => {
                self.handle_heartbeat(now, address, epoch, committed, round);
            }
            ReplicationBody::HeartbeatReply { epoch, round, version } => {
                self.handle_heartbeat_reply(now, from, epoch, round, version);
            }
            ReplicationBody::Join { voter } => self.handle_join_request(now, from, voter),
            ReplicationBody::Bootstrap { voter } => self.handle_seed_announcement(voter),
            ReplicationBody::Leave => self.handle_leave_request(now, from),
        }
    }

    /// Handles a completed write of a record.
    fn handle_persisted(&mut self, token: PersistToken) {
        self.persistence.complete_write(token);
    }

    /// Handles a failed write of a record: a primary steps down.
    fn handle_persist_failed(&mut self, now: Time, token: PersistToken) {
        self.persistence.fail_write(now, token);
        if self.persistence.is_failing() {
            self.become_follower(now);
        }
    }

    /// Runs the deferred actions whose changes are on disk.
    fn run_released_actions(&mut self) {
        while let Some(action) = self.persistence.next_released() {
            match action {
                DeferredAction::Send(to, body) => self.send(to, body),
                DeferredAction::CountOwnPromise(number) => self.handle_own_promise_persisted(number),
                DeferredAction::CountOwnAccept(number) => self.handle_own_accept_persisted(number),
            }
        }
    }

    /// Runs the work that is due in each stage. One stage may lead to the next within this call, so they are
    /// handled in the order of an election.
    fn advance(&mut self, now: Time) {
        if matches!(self.stage, Stage::Following) {
            self.advance_following(now);
        }
        if matches!(self.stage, Stage::PreVote(_)) {
            self.advance_pre_vote(now);
        }
        if matches!(self.stage, Stage::Candidate(_)) {
            self.advance_election(now);
        }
        if matches!(self.stage, Stage::Primary) {
            self.advance_primary(now);
        }
    }

    /// Writes a record if something has changed and no write is in progress.
    fn start_persist(&mut self, now: Time) {
        let Some(token) = self.persistence.start_write(now, self.latest.version) else { return };
        let record = Record {
            acceptor: self.acceptor.clone(),
            version: self.latest.version,
            state: self.latest.encoded.clone(),
        };
        self.command(Command::Persist { token, record });
    }

    /// Reports the role if it has changed.
    fn report_role(&mut self) {
        let role = self.role();
        if role != self.reported_role {
            self.reported_role = role;
            self.command(Command::RoleChanged(role));
        }
    }
}
