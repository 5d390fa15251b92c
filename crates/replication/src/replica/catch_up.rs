//! The primary brings other keepers up to its version.

use juniperwing_clock::Time;

use super::Replica;
use crate::state::ReplicatedState;
use crate::state_transfer::TransferPlanner;

impl<S: ReplicatedState> Replica<S> {
    /// Sends each keeper that lacks the latest version the missing changes, or the complete state.
    pub(super) fn catch_up(&mut self, now: Time) {
        let timings = self.settings.timings;
        let latest = self.latest.version;
        let Some(leadership) = &mut self.leadership else { return };
        let planner = TransferPlanner {
            now,
            epoch: self.acceptor.accepted.number,
            latest,
            state: &self.latest.encoded,
            changes: &leadership.recent_changes,
            resend_interval: timings.ack_timeout.mul_f64(0.5),
            link_bytes_per_ms: timings.min_link_bytes_per_ms,
        };
        let mut messages = Vec::new();
        for peer in leadership.peers.values_mut() {
            let Some(acknowledged) = peer.durable_version else { continue };
            if acknowledged == latest {
                peer.behind_since = None;
                peer.out_of_sync_since = None;
                continue;
            }
            peer.behind_since.get_or_insert(now);
            if !self.acceptor.accepted.in_sync.contains(&peer.voter.disk) {
                peer.out_of_sync_since.get_or_insert(now);
            }
            let is_responsive = now.since(peer.last_reply_at) <= timings.ack_timeout;
            if is_responsive {
                let body = planner.next_message(&mut peer.transfer, acknowledged);
                messages.extend(body.map(|body| (peer.voter.address, body)));
            }
        }
        messages.into_iter().for_each(|(to, body)| self.send(to, body));
    }
}
