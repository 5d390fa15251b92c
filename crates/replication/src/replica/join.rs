//! Join requests: how a keeper requests to become a voter, and how the primary records the request.

use std::net::SocketAddr;

use juniperwing_clock::Time;
use juniperwing_protocol::DiskId;
use juniperwing_protocol::replication::{ReplicationBody, Voter};

use super::Replica;
use crate::leadership::Peer;
use crate::settings::MAX_VOTERS;
use crate::state::ReplicatedState;

/// The maximum number of contacts that receive join requests, in addition to seeds and voters.
const MAX_CONTACTS: usize = 16;

/// The maximum number of keepers that a primary tracks: voters and keepers that request to join.
const MAX_PEERS: usize = 2 * MAX_VOTERS;

/// How long a join request stays valid, in units of [`crate::Timings::join_interval`].
const JOIN_REQUEST_LIFETIME_INTERVALS: f64 = 4.0;

impl<S: ReplicatedState> Replica<S> {
    /// Whether this keeper has to request to join: it is not a voter, or it may have been removed without
    /// being notified.
    pub(super) fn must_request_join(&self, now: Time) -> bool {
        if self.is_shutting_down {
            return false;
        }
        !self.is_voter() || (!self.is_eligible() && !self.has_recent_primary(now))
    }

    /// Replaces the contacts. If there are new ones, a keeper that has to join sends its requests
    /// immediately.
    pub(super) fn set_contacts(&mut self, now: Time, mut contacts: Vec<SocketAddr>) {
        contacts.truncate(MAX_CONTACTS);
        let has_new = contacts.iter().any(|contact| !self.contacts.contains(contact));
        self.contacts = contacts;
        if has_new {
            self.join_retry_at = self.join_retry_at.min(now);
        }
    }

    /// Sends a join request to all known addresses of keepers.
    pub(super) fn request_join(&mut self) {
        let mut addresses = self.settings.seeds.clone();
        addresses.extend(&self.contacts);
        addresses.extend(self.known_epoch.voters.iter().map(|voter| voter.address));
        addresses.sort_unstable();
        addresses.dedup();
        let own_address = self.settings.local_voter.address;
        let voter = self.local_voter();
        for address in addresses.into_iter().filter(|address| *address != own_address) {
            self.send(address, ReplicationBody::Join { voter: voter.clone() });
        }
    }

    /// Records a join request on the primary. Other keepers forward it to the primary.
    pub(super) fn handle_join_request(&mut self, now: Time, from: DiskId, voter: Voter) {
        if voter.disk == self.local_disk() {
            return;
        }
        if self.leadership.is_some() {
            self.record_join_request(now, voter);
            return;
        }
        // Only the original request is forwarded, so that it does not circulate.
        if from == voter.disk
            && let Some(primary) = self.primary_address()
            && primary != voter.address
        {
            self.send(primary, ReplicationBody::Join { voter });
        }
    }

    /// Records a keeper that is not a voter as a joining peer, unless the limit of peers is reached.
    fn record_join_request(&mut self, now: Time, voter: Voter) {
        let lifetime = self.settings.timings.join_interval.mul_f64(JOIN_REQUEST_LIFETIME_INTERVALS);
        let Some(leadership) = &mut self.leadership else { return };
        let has_capacity = leadership.peers.len() < MAX_PEERS || leadership.peers.contains_key(&voter.disk);
        if self.acceptor.accepted.voters.contains(&voter) || !has_capacity {
            return;
        }
        let peer = leadership.peers.entry(voter.disk).or_insert_with(|| Peer::new(now, voter.clone()));
        peer.voter = voter;
        peer.join_requested_until = now + lifetime;
        peer.leave_requested_until = Time::default();
    }
}
