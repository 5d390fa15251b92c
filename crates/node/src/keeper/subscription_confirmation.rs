//! Confirmation of new subscriptions: nothing is sent to a subscriber before a majority of the keepers, queried
//! after the subscription arrived, has confirmed that the committed state of this keeper is current.
//!
//! The primary confirms its committed version by a round of heartbeats; a backup reads the primary's version and
//! waits until it has reached that version itself. A keeper that is not a voter confirms nothing: the other keepers do
//! not send it endpoints. All subscriptions that wait at the same time share one confirmation, and none is requested
//! while no subscription waits.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_protocol::Message;
use juniperwing_protocol::registry::RegistryMessage;
use juniperwing_protocol::replication::Version;
use tokio::time::{Instant, sleep, timeout};

use super::consensus::PrimaryLocation;
use super::controller::Controller;

/// The interval between two confirmations while no majority replies.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl Controller {
    /// Confirms subscriptions for the lifetime of the keeper.
    pub(super) async fn run_subscription_confirmation(self: Arc<Self>) {
        loop {
            self.confirmation_requested.notified().await;
            while let Some(newest) = self.newest_unconfirmed() {
                if self.is_committed_state_current().await {
                    self.lock().subscribers.confirm(newest);
                    self.push_requested.notify_one();
                } else {
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// The newest unconfirmed subscription; all before it are unconfirmed too, or confirmed.
    fn newest_unconfirmed(&self) -> Option<super::subscribers::SubscriptionNumber> {
        self.lock().subscribers.newest_unconfirmed()
    }

    /// Whether the committed state here contains every change that was committed before this call. `false` if this is
    /// not known within the time limit.
    async fn is_committed_state_current(self: &Arc<Self>) -> bool {
        let deadline = Instant::now() + self.control_timings.confirmation_timeout;
        if !self.is_voter(&self.lock()) {
            return false;
        }
        let Some(version) = self.confirmed_version().await else { return false };
        let has_reached = |state: &super::controller::State| {
            state.consensus.committed().is_some_and(|committed| committed.version >= version)
        };
        self.wait_until(deadline, has_reached).await
    }

    /// The newest committed version, confirmed by a majority after this call.
    async fn confirmed_version(self: &Arc<Self>) -> Option<Version> {
        match self.primary_location() {
            PrimaryLocation::Local => self.confirmed_version_as_primary().await,
            PrimaryLocation::Remote(address) => {
                let request = Message::Registry(RegistryMessage::ReadCommittedVersion);
                match self.peers.call(address, request, self.control_timings.confirmation_timeout).await {
                    Ok(Message::Registry(RegistryMessage::CommittedVersion { version })) => version,
                    _ => None,
                }
            }
            PrimaryLocation::Unknown => None,
        }
    }

    /// As primary: the committed version, confirmed by a majority after this call.
    pub(super) async fn confirmed_version_as_primary(self: &Arc<Self>) -> Option<Version> {
        let confirmed =
            timeout(self.control_timings.confirmation_timeout, self.read_confirmed()).await.ok()?;
        confirmed.ok().map(|committed| committed.version)
    }
}
