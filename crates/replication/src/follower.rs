//! The acceptor's and the backup's side: promises, acceptances, writes, snapshots, heartbeats.

use std::net::SocketAddr;

use juniperwing_clock::Time;
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::{Epoch, NumberedChange, ReplicationBody, Version};

use crate::acceptor::is_founding;
use crate::interface::Command;
use crate::replica::{Replica, Stage};
use crate::state::{ReplicatedState, Versioned};

/// The most contacts that are asked beside seeds and voters.
const MAX_CONTACTS: usize = 16;

impl<S: ReplicatedState> Replica<S> {
    /// Seeks office when no primary was heard for long; asks to be let in where that is of use.
    pub(crate) fn advance_following(&mut self, now: Time) {
        if now >= self.ask_at && self.must_ask(now) {
            self.ask_at = now + self.settings.timings.join_interval;
            self.ask_in();
            self.offer_to_found(now);
        }
        self.found(now);
        if now >= self.election_at && matches!(self.stage, Stage::Following) {
            self.election_at = now + self.election_span();
            if self.is_eligible() {
                self.start_canvass(now);
            }
        }
    }

    /// Whether a primary, or a candidate that may become one, was heard of late.
    fn hears_primary(&self, now: Time) -> bool {
        let election = self.settings.timings.election_timeout;
        self.heard.is_some_and(|heard| now.since(heard) < election)
    }

    /// Whether this keeper has to ask for a primary's attention: it is no voter, or may have been made none
    /// without hearing of it.
    pub(crate) fn must_ask(&self, now: Time) -> bool {
        if self.retires {
            return false;
        }
        !self.is_voter() || (!self.is_eligible() && !self.hears_primary(now))
    }

    /// Takes other contacts; a keeper that has to ask does so at once if there are new ones.
    pub(crate) fn set_contacts(&mut self, now: Time, mut contacts: Vec<SocketAddr>) {
        contacts.truncate(MAX_CONTACTS);
        let has_new = contacts.iter().any(|contact| !self.contacts.contains(contact));
        self.contacts = contacts;
        if has_new {
            self.ask_at = self.ask_at.min(now);
        }
    }

    /// Asks all keepers known to be let in.
    fn ask_in(&mut self) {
        let mut addresses = self.settings.seeds.clone();
        addresses.extend(&self.contacts);
        addresses.extend(self.known.voters.iter().map(|voter| voter.address));
        addresses.sort_unstable();
        addresses.dedup();
        let mine = self.settings.local_voter.address;
        let voter = self.myself();
        for address in addresses.into_iter().filter(|address| *address != mine) {
            self.send(address, ReplicationBody::Join { voter: voter.clone() });
        }
    }

    pub(crate) fn answer_canvass(&mut self, now: Time, to: SocketAddr, number: EpochNumber) {
        let granted = match &self.stage {
            Stage::Primary => !self.has_majority(now),
            Stage::Candidate(candidacy) => candidacy.founds(),
            Stage::Following | Stage::Canvassing(_) => !self.hears_primary(now),
        };
        let epoch = self.known.clone();
        self.send(to, ReplicationBody::PreVoteReply { number, granted, epoch });
    }

    pub(crate) fn prepare(&mut self, now: Time, to: SocketAddr, number: EpochNumber) {
        let promised = self.ballot.promised;
        if number < promised {
            self.send(to, ReplicationBody::Rejected { promised });
            return;
        }
        if number > promised {
            self.step_aside(now);
            self.ballot.promised = number;
            self.disk.mark();
            self.heard = Some(now);
            self.election_at = now + self.election_span();
        }
        let accepted = self.ballot.accepted.clone();
        let version = self.latest.version;
        self.send_when_durable(to, ReplicationBody::Promise { number, accepted, version });
    }

    pub(crate) fn accept(&mut self, now: Time, to: SocketAddr, epoch: Epoch) {
        let number = epoch.number;
        let held = self.ballot.accepted.number;
        let promised = self.ballot.promised;
        if number < promised {
            self.send(to, ReplicationBody::Rejected { promised });
            return;
        }
        if is_founding(number) && held != EpochNumber::default() && held != number {
            return;
        }
        if number != held {
            self.step_aside(now);
            self.adopt(epoch);
        }
        self.heard = Some(now);
        self.election_at = now + self.election_span();
        self.send_when_durable(to, ReplicationBody::Accepted { number });
    }

    /// Takes a heartbeat in.
    pub(crate) fn follow(&mut self, now: Time, to: SocketAddr, epoch: Epoch, committed: Version, round: u64) {
        let number = epoch.number;
        let promised = self.ballot.promised;
        if number < promised {
            self.send(to, ReplicationBody::Rejected { promised });
            return;
        }
        if number > self.ballot.accepted.number {
            self.step_aside(now);
            self.adopt(epoch);
        } else {
            self.settle();
        }
        self.stage = Stage::Following;
        self.heard = Some(now);
        self.attempts = 0;
        self.election_at = now + self.election_span();
        if committed == self.latest.version {
            self.show_latest();
        }
        let version = Some(self.latest.version).filter(|_| self.disk.is_clean());
        self.send(to, ReplicationBody::HeartbeatReply { epoch: number, round, version });
        if version.is_none() {
            self.confirm(to, number);
        }
        if self.retires {
            self.send(to, ReplicationBody::Leave);
        }
    }

    /// Whether a write or snapshot of that epoch may be taken; its sender is told if not.
    fn obeys(&mut self, now: Time, to: SocketAddr, epoch: EpochNumber) -> bool {
        let promised = self.ballot.promised;
        if epoch < promised {
            self.send(to, ReplicationBody::Rejected { promised });
        }
        let obeys = epoch == promised && epoch == self.ballot.accepted.number;
        if obeys {
            self.heard = Some(now);
        }
        obeys
    }

    /// Takes a write in. One that does not fit is answered with the version held, and a snapshot follows.
    pub(crate) fn take_write(
        &mut self, now: Time, to: SocketAddr, epoch: EpochNumber, (base, version): (Version, Version),
        change: &[u8],
    ) {
        if !self.obeys(now, to, epoch) {
            return;
        }
        if base == self.latest.version {
            let Ok(change) = S::decode_change(change) else { return };
            // The primary begins a write only when what it builds on is committed.
            self.show_latest();
            self.latest = self.latest.with(version, &change);
            self.disk.mark();
        }
        self.confirm(to, epoch);
    }

    /// Takes changes in that this keeper lacks. They are answered as writes are.
    pub(crate) fn take_changes(
        &mut self, now: Time, to: SocketAddr, epoch: EpochNumber, base: Version, changes: &[NumberedChange],
    ) {
        if !self.obeys(now, to, epoch) {
            return;
        }
        if base == self.latest.version {
            let Ok(latest) = self.latest.with_all(changes) else { return };
            // The primary began to write the first only when what it builds on was committed.
            self.show_latest();
            self.latest = latest;
            self.disk.mark();
        }
        self.confirm(to, epoch);
    }

    /// Takes the whole state in, unless it is older than what this epoch has written here already.
    pub(crate) fn take_snapshot(
        &mut self, now: Time, to: SocketAddr, epoch: EpochNumber, version: Version, state: Vec<u8>,
    ) {
        if !self.obeys(now, to, epoch) {
            return;
        }
        let held = self.latest.version;
        let is_late = held.epoch == epoch && version <= held;
        if version != held && !is_late {
            let Ok(latest) = Versioned::decode(version, state) else { return };
            self.latest = latest;
            self.disk.mark();
        }
        self.confirm(to, epoch);
    }

    fn confirm(&mut self, to: SocketAddr, epoch: EpochNumber) {
        let version = self.latest.version;
        self.send_when_durable(to, ReplicationBody::WriteAck { epoch, version });
    }

    /// The latest state is committed.
    pub(crate) fn show_latest(&mut self) {
        let version = self.latest.version;
        let shown = self.committed.as_ref().map(|committed| committed.version);
        if shown != Some(version) {
            check(Invariant::CommittedVersionNeverDecreases, shown < Some(version), || {
                format!("disk {}, {version:?} after {shown:?}", self.me().0)
            });
            self.committed = Some(self.latest.clone());
            self.command(Command::Committed(version));
        }
    }
}
