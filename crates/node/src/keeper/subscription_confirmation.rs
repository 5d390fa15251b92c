//! Confirms new subscriptions: a subscriber is told nothing before a majority of the keepers, asked after the
//! subscription came, has shown that the committed state of this keeper is current.
//!
//! The primary confirms its committed version by a round of heartbeats; a backup asks the primary and waits
//! until it has reached that version itself. A keeper that is no voter confirms nothing: the others do not tell it
//! of endpoints. All subscriptions that wait at one moment share one question, and
//! nothing is asked while none waits.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_protocol::Message;
use juniperwing_protocol::registry::RegistryMessage;
use juniperwing_protocol::replication::Version;
use tokio::time::{Instant, sleep, timeout};

use super::consensus::PrimaryLocation;
use super::controller::Controller;

/// Between two questions while no majority confirms.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl Controller {
    /// Confirms subscriptions, for as long as the keeper lives.
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

    /// The newest subscription that waits; all before it wait too or are confirmed.
    fn newest_unconfirmed(&self) -> Option<super::subscribers::SubscriptionNumber> {
        self.lock().subscribers.newest_unconfirmed()
    }

    /// Whether the committed state here has every change that was committed before this was called. `false`
    /// if it is not known within the time for it.
    async fn is_committed_state_current(self: &Arc<Self>) -> bool {
        let until = Instant::now() + self.control_timings.confirmation_timeout;
        if !self.is_voter(&self.lock()) {
            return false;
        }
        let Some(version) = self.confirmed_version().await else { return false };
        let has_reached = |state: &super::controller::State| {
            state.consensus.committed().is_some_and(|committed| committed.version >= version)
        };
        self.wait_until(until, has_reached).await
    }

    /// The newest committed version, confirmed by a majority after this was called.
    async fn confirmed_version(self: &Arc<Self>) -> Option<Version> {
        match self.primary_location() {
            PrimaryLocation::Local => self.confirmed_version_as_primary().await,
            PrimaryLocation::Remote(address) => {
                let question = Message::Registry(RegistryMessage::ReadCommittedVersion);
                match self.peers.call(address, question, self.control_timings.confirmation_timeout).await {
                    Ok(Message::Registry(RegistryMessage::CommittedVersion { version })) => version,
                    _ => None,
                }
            }
            PrimaryLocation::Unknown => None,
        }
    }

    /// As primary: the committed version, confirmed by a majority after this was called.
    pub(super) async fn confirmed_version_as_primary(self: &Arc<Self>) -> Option<Version> {
        let confirmed =
            timeout(self.control_timings.confirmation_timeout, self.read_confirmed()).await.ok()?;
        confirmed.ok().map(|committed| committed.version)
    }
}
