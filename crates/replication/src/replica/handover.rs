//! Graceful shutdown: a primary transfers its leadership, a backup leaves the set of voters.

use juniperwing_clock::Time;
use juniperwing_protocol::replication::ReplicationBody;
use juniperwing_protocol::{DiskId, EpochNumber};

use super::{Replica, Stage};
use crate::epoch::find_voter;
use crate::error::ProposeError;
use crate::interface::Command;
use crate::leadership::{Leadership, Peer};
use crate::state::ReplicatedState;

impl<S: ReplicatedState> Replica<S> {
    /// Whether this process may exit and never return: the highest epoch is known to be chosen, has enough
    /// replicas without this keeper, and tolerates no more losses with its vote than without.
    /// [`Event::PrepareShutdown`](crate::Event::PrepareShutdown) leads to this state if enough other keepers
    /// are available.
    pub fn can_shut_down(&self) -> bool {
        let epoch = &self.known_epoch;
        if self.leadership.is_some() {
            return epoch.voters.len() < 2;
        }
        let is_committed = epoch.previous_voters.is_empty();
        if find_voter(epoch, self.local_disk()).is_none() {
            return is_committed;
        }
        let has_enough_replicas = epoch.in_sync.len() >= self.settings.min_in_sync_replicas;
        let is_dispensable = has_enough_replicas && !epoch.in_sync.contains(&self.local_disk());
        is_committed && is_dispensable && !self.settings.can_drop_one_of(epoch.voters.len())
    }

    /// Stops taking part in elections. A primary transfers its leadership; a backup requests to leave the set
    /// of voters.
    pub(super) fn prepare_shutdown(&mut self, now: Time) {
        self.is_shutting_down = true;
        let Some(leadership) = &mut self.leadership else {
            if let Some(primary) = self.primary_address() {
                self.send(primary, ReplicationBody::Leave);
            }
            return;
        };
        leadership.is_handing_over = true;
        leadership.heartbeat_at = Time::default();
        if self.find_successor(now).is_none() {
            return;
        }
        let Some(leadership) = &mut self.leadership else { return };
        for proposal in std::mem::take(&mut leadership.pending_proposals) {
            let outcome = Err(ProposeError::NotPrimary);
            self.command(Command::ProposeCompleted { token: proposal.token, outcome });
        }
    }

    /// The in-sync replica that can take over from a primary that is shutting down; of several, the one that
    /// replied last. Without a successor, the primary continues as before, so that its state reaches other
    /// disks.
    pub(super) fn find_successor(&self, now: Time) -> Option<&Peer> {
        let latest = self.latest.version;
        let in_sync = &self.acceptor.accepted.in_sync;
        let leadership = self.leadership.as_ref().filter(|leadership| leadership.is_handing_over)?;
        let can_take_over = |peer: &&Peer| {
            let is_responsive = now.since(peer.last_reply_at) < self.settings.timings.election_timeout;
            let is_current = peer.durable_version == Some(latest) || leadership.in_flight_write.is_some();
            in_sync.contains(&peer.voter.disk) && is_current && is_responsive && !peer.is_leaving(now)
        };
        leadership.peers.values().filter(can_take_over).max_by_key(|peer| peer.last_reply_at)
    }

    /// Requests the successor to take over, once no write is in flight.
    pub(super) fn transfer_leadership(&mut self, now: Time) {
        let epoch = self.acceptor.accepted.number;
        let is_idle = |leadership: &Leadership<S::Change>| {
            leadership.is_synchronized && leadership.in_flight_write.is_none()
        };
        let Some(successor) = self.find_successor(now) else { return };
        if self.leadership.as_ref().is_some_and(is_idle) {
            let to = successor.voter.address;
            self.send(to, ReplicationBody::TransferLeadership { epoch });
        }
    }

    /// Handles the request of the primary of `epoch`, which is shutting down, that this backup take over.
    pub(super) fn handle_leadership_transfer(&mut self, now: Time, epoch: EpochNumber) {
        let is_following = matches!(self.stage, Stage::Following) && self.acceptor.accepted.number == epoch;
        if is_following && self.acceptor.promised == epoch && self.is_eligible() {
            self.start_election(now, None);
        }
    }

    /// Records that a backup is about to shut down. It repeats the request for as long as it runs.
    pub(super) fn handle_leave_request(&mut self, now: Time, from: DiskId) {
        let leave_requested_until = now + self.settings.timings.voter_timeout;
        let Some(leadership) = &mut self.leadership else { return };
        let Some(peer) = leadership.peers.get_mut(&from) else { return };
        peer.leave_requested_until = leave_requested_until;
        peer.join_requested_until = Time::default();
    }
}
