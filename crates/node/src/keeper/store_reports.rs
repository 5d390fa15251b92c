//! Reports about stores: which ones each keeper can reach, and which replicas have caught up.

use std::sync::Arc;

use juniperwing_protocol::registry::RegistryMessage;
use juniperwing_protocol::replication::Voter;
use juniperwing_protocol::subscription::{CaughtUp, StoreNode};
use juniperwing_protocol::{DiskId, EpochNumber, Message};

use super::consensus::PrimaryLocation;
use super::controller::Controller;
use crate::clock;

/// The number of caught-up reports that are retained until they are used.
const MAX_CAUGHT_UP_REPORTS: usize = 1_024;

impl Controller {
    /// Records which stores another keeper can reach. Returns the highest epoch known here, for the reply.
    pub(super) fn handle_reachable_stores(&self, keeper: DiskId, stores: Vec<StoreNode>) -> EpochNumber {
        let mut state = self.lock();
        let now = clock::now();
        state.contact.record_message(now, keeper);
        state.tracker.record_report(now, keeper, stores);
        let epoch = state.consensus.replica.epoch().number;
        drop(state);
        self.planning_requested.notify_one();
        epoch
    }

    /// Reports to the other voters which stores this keeper can reach. Their replies are evidence of contact.
    pub(super) fn report_reachable_stores(self: &Arc<Self>) {
        let from = self.local_voter.disk;
        let stores = {
            let mut state = self.lock();
            let stores = state.subscribers.subscribed_stores();
            state.tracker.record_report(clock::now(), from, stores.clone());
            stores
        };
        let others = self.other_voters(&self.lock());
        for voter in others {
            let message = RegistryMessage::ReachableStores { from, stores: stores.clone() };
            tokio::spawn(Arc::clone(self).send_reachable_stores(voter, message));
        }
        self.forward_caught_up_reports();
        self.planning_requested.notify_one();
    }

    async fn send_reachable_stores(self: Arc<Self>, voter: Voter, report: RegistryMessage) {
        let sent_at = clock::now();
        let reply_timeout = self.control_timings.peer_reply_timeout;
        let reply = self.peers.call(voter.address, Message::Registry(report), reply_timeout).await;
        if let Ok(Message::Registry(RegistryMessage::ReachableStoresReply { epoch })) = reply {
            self.lock().contact.record_reply(clock::now(), voter.disk, sent_at, epoch);
        }
    }

    /// Records replicas that caught up, as reported by the partitions' primaries. A report holds until the
    /// partition's epoch changes, so it is retained until then, whichever keeper is primary.
    pub(super) fn handle_caught_up_reports(self: &Arc<Self>, reports: Vec<CaughtUp>) {
        let mut state = self.lock();
        for report in reports {
            if state.caught_up_reports.len() < MAX_CAUGHT_UP_REPORTS
                && !state.caught_up_reports.contains(&report)
            {
                state.caught_up_reports.push(report);
            }
        }
        drop(state);
        self.planning_requested.notify_one();
    }

    /// Forwards the current reports to the primary keeper, if that is another one.
    pub(super) fn forward_caught_up_reports(self: &Arc<Self>) {
        let PrimaryLocation::Remote(address) = self.primary_location() else { return };
        let reports = self.lock().caught_up_reports.clone();
        if !reports.is_empty() {
            self.peers.send(address, Message::Registry(RegistryMessage::CaughtUp(reports)));
        }
    }
}
