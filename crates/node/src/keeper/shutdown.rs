//! Shutdown: hands leadership over, drains open requests and stops the tasks of a keeper.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_replication::Event;
use slog::info;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::control_listener::ControlServer;
use super::controller::Controller;
use super::peer_discovery::PeerDiscovery;

/// The time before the end of the grace period at which a keeper stops waiting for the other voters to take over.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(2_000);
/// The interval between two checks whether the replica may shut down.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running keeper, with everything that its shutdown has to stop.
pub(super) struct RunningKeeper {
    pub(super) controller: Arc<Controller>,
    pub(super) peer_discovery: Arc<PeerDiscovery>,
    pub(super) control_server: ControlServer,
    pub(super) tasks: Vec<JoinHandle<()>>,
    /// The time that the process has to shut down before it is killed.
    pub(super) grace_period: Duration,
}

impl RunningKeeper {
    /// Leaves the membership, waits until other voters have taken over, and finishes open requests.
    pub(super) async fn shut_down(self) {
        info!(self.controller.log, "shutting down");
        self.peer_discovery.leave();
        self.controller.step_down_and_wait(self.grace_period).await;
        self.control_server.drain().await;
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Controller {
    /// Hands leadership over, and runs on until the other voters hold all acknowledged writes and can commit without
    /// this keeper, which may never restart, or until the grace period is nearly over.
    async fn step_down_and_wait(self: &Arc<Self>, grace_period: Duration) {
        self.step_replica(Event::PrepareShutdown);
        let deadline = Instant::now() + grace_period.saturating_sub(SHUTDOWN_MARGIN);
        while !self.lock().consensus.replica.can_shut_down() && Instant::now() < deadline {
            sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        info!(self.log, "leadership handover finished"; "can_shut_down" => self.lock().consensus.replica.can_shut_down());
    }
}
