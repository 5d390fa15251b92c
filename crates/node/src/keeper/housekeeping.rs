//! Housekeeping: periodic work of a keeper.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_clock::Span;
use tokio::time::{MissedTickBehavior, interval};

use super::controller::{Controller, State};
use crate::clock;

/// The interval between two rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(150);
/// The number of rounds between two batches of heartbeats for the other keepers.
const ROUNDS_PER_HEARTBEAT_BATCH: u64 = 2;
/// The number of rounds between two reports of reachable stores, whose replies are also evidence of contact.
/// Without contact to a majority every round sends one.
const ROUNDS_PER_STORE_REPORT: u64 = 3;
/// A longer interval between two rounds means that the process was paused.
const PAUSE_THRESHOLD: Span = Span::from_millis(1_000);

impl Controller {
    /// Runs housekeeping for the lifetime of the keeper.
    pub(super) async fn run_housekeeping(self: Arc<Self>) {
        let mut rounds = interval(HOUSEKEEPING_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for round in 0_u64.. {
            rounds.tick().await;
            self.housekeeping_tick();
            let has_contact = self.has_majority_contact(&self.lock());
            if round % ROUNDS_PER_STORE_REPORT == 0 || !has_contact {
                self.report_reachable_stores();
            }
            if round % ROUNDS_PER_HEARTBEAT_BATCH == 0 {
                self.send_instance_batches(true);
            }
        }
    }

    fn housekeeping_tick(&self) {
        let mut state = self.lock();
        let now = clock::now();
        state.was_paused = now.since(state.last_housekeeping_at) > PAUSE_THRESHOLD;
        state.last_housekeeping_at = now;
        self.update_exchange_peers(&mut state);
        self.expire_instances(&mut state);
        drop(state);
        // Changes of the voters and of completeness trigger no event. Subscribers are sent only what is new to them.
        self.push_requested.notify_one();
    }

    /// Sets the peers of the registry exchange to the current voters.
    pub(super) fn update_exchange_peers(&self, state: &mut State) {
        let others = self.other_voters(state);
        state.exchange.set_peers(&others);
    }
}
