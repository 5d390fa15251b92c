//! Distribution of an accepted configuration to all subscribers before it is acknowledged.

use std::sync::Arc;

use juniperwing_protocol::Message;
use juniperwing_protocol::registry::RegistryMessage;
use juniperwing_protocol::replication::Version;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

use super::controller::Controller;

impl Controller {
    /// Distributes the configuration to the subscribers of all reachable keepers. Returns when all have applied it,
    /// or after the time limit for that, at `deadline` at the latest.
    pub(super) async fn distribute_configuration(self: &Arc<Self>, version: Version, deadline: Instant) {
        let apply_timeout = self.control_timings.configuration_apply_timeout;
        let apply_deadline = deadline.min(Instant::now() + apply_timeout);
        let wait_ms = apply_deadline.saturating_duration_since(Instant::now()).as_millis() as u32;
        let mut calls = JoinSet::new();
        for address in self.reachable_voter_addresses() {
            let controller = Arc::clone(self);
            let message = Message::Registry(RegistryMessage::DistributeConfiguration { version, wait_ms });
            calls.spawn(async move { drop(controller.peers.call(address, message, apply_timeout).await) });
        }
        self.distribute_to_own_subscribers(version, apply_deadline).await;
        // Dropping the set cancels the calls that are still pending after the deadline.
        let _ = timeout_at(apply_deadline, async { while calls.join_next().await.is_some() {} }).await;
    }

    /// Waits until this keeper's own subscribers have applied the configuration, or `deadline` has passed.
    pub(super) async fn distribute_to_own_subscribers(&self, version: Version, deadline: Instant) {
        self.wait_until(deadline, |state| {
            let committed = state.consensus.committed();
            let is_committed =
                committed.is_some_and(|committed| committed.state.configuration_version() >= version);
            is_committed && state.subscribers.have_applied_configuration(version)
        })
        .await;
    }
}
