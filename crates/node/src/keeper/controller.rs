//! The shared state of a running keeper.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use juniperwing_clock::{Span, Time};
use juniperwing_control::{StoreTracker, StoreView};
use juniperwing_protocol::replication::{Version, Voter};
use juniperwing_protocol::subscription::CaughtUp;
use juniperwing_registry::{Contact, Exchange, MAX_INSTANCES, Registry, RegistrySettings};
use slog::Logger;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::consensus::Consensus;
use super::message_handler::KeeperMessageHandler;
use super::metrics::OrderReplyCounters;
use super::orders::MAX_ORDER_LOG_LINES_PER_SECOND;
use super::peers::Peers;
use super::subscribers::Subscribers;
use crate::clock;
use crate::link::LinkId;
use crate::rate_limit::RateLimit;
use crate::settings::{ControlTimings, Settings};
use crate::sync::lock;

/// The mutable state of a keeper.
pub(super) struct State {
    pub(super) consensus: Consensus,
    /// Evidence of round trips to the other voters.
    pub(super) contact: Contact,
    /// The known endpoints.
    pub(super) registry: Registry,
    /// What each of the other keepers has confirmed of the registry.
    pub(super) exchange: Exchange<LinkId>,
    pub(super) subscribers: Subscribers,
    pub(super) tracker: StoreTracker,
    /// The view of the stores as of the last planning.
    pub(super) store_view: StoreView,
    /// Replicas that caught up, as reported by the partitions' primaries and not yet admitted.
    pub(super) caught_up_reports: Vec<CaughtUp>,
    /// The number of partitions without any replica left.
    pub(super) unrecoverable_partitions: usize,
    pub(super) last_housekeeping_at: Time,
    /// Whether the process was paused before the last round of housekeeping.
    pub(super) was_paused: bool,
    /// The version of the configuration that was logged last.
    pub(super) logged_configuration: Version,
    /// The version of the store map that was logged last.
    pub(super) logged_store_map: u64,
}

/// A running keeper.
///
/// All mutable state is behind one lock, which is never held across an `await`.
pub(super) struct Controller {
    /// This keeper as a voter.
    pub(super) local_voter: Voter,
    /// The number of replicas that must hold every acknowledged write of a partition.
    pub(super) required_replicas: usize,
    pub(super) control_timings: ControlTimings,
    pub(super) log: Logger,
    state: Mutex<State>,
    pub(super) peers: Arc<Peers>,
    pub(super) order_replies: OrderReplyCounters,
    pub(super) order_log_limit: RateLimit,
    /// Notified when something was confirmed, committed or lost, so that waiting tasks check their condition again.
    pub(super) state_changed: Notify,
    /// Notified when there are updates for subscribers or other keepers.
    pub(super) push_requested: Notify,
    /// Notified when a new subscription has to be confirmed.
    pub(super) confirmation_requested: Notify,
    /// Notified when the store map may have to change.
    pub(super) planning_requested: Notify,
}

impl Controller {
    pub(super) fn new(
        settings: &Settings, log: Logger, local_voter: Voter, consensus: Consensus,
    ) -> Arc<Controller> {
        let control_timings = settings.control_timings();
        let state = State::new(settings, &control_timings, consensus);
        Arc::new_cyclic(|controller| Controller {
            local_voter,
            required_replicas: settings.required_replicas(),
            control_timings,
            log,
            state: Mutex::new(state),
            peers: Arc::new(Peers::new(Arc::new(KeeperMessageHandler::new(controller.clone())))),
            order_replies: OrderReplyCounters::default(),
            order_log_limit: RateLimit::per_second(MAX_ORDER_LOG_LINES_PER_SECOND),
            state_changed: Notify::new(),
            push_requested: Notify::new(),
            confirmation_requested: Notify::new(),
            planning_requested: Notify::new(),
        })
    }

    /// Locks the state. The guard must not be held across an `await`.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// The voters except this keeper.
    pub(super) fn other_voters(&self, state: &State) -> Vec<Voter> {
        let voters = state.consensus.replica.voters().iter();
        voters.filter(|voter| voter.disk != self.local_voter.disk).cloned().collect()
    }

    /// The addresses of the other voters that sent a message recently.
    pub(super) fn reachable_voter_addresses(&self) -> Vec<SocketAddr> {
        let state = self.lock();
        let now = clock::now();
        let others = self.other_voters(&state).into_iter();
        let reachable = others.filter(|voter| state.contact.has_recent_message(now, voter.disk));
        reachable.map(|voter| voter.address).collect()
    }

    /// Whether this keeper is a voter, as far as it knows.
    pub(super) fn is_voter(&self, state: &State) -> bool {
        state.consensus.replica.voters().iter().any(|voter| voter.disk == self.local_voter.disk)
    }

    /// Whether a majority of the voters replied to this keeper recently.
    pub(super) fn has_majority_contact(&self, state: &State) -> bool {
        state.contact.has_majority(clock::now(), self.local_voter.disk, state.consensus.replica.epoch())
    }

    /// Waits until `condition` holds or `deadline` has passed. Returns whether the condition holds.
    pub(super) async fn wait_until(&self, deadline: Instant, condition: impl Fn(&State) -> bool) -> bool {
        loop {
            let changed = self.state_changed.notified();
            tokio::pin!(changed);
            // Registered before the check, so that a change between the two is not missed.
            changed.as_mut().enable();
            if condition(&self.lock()) {
                return true;
            }
            if timeout_at(deadline, changed).await.is_err() {
                return false;
            }
        }
    }
}

impl State {
    fn new(settings: &Settings, control_timings: &ControlTimings, consensus: Consensus) -> State {
        let now = clock::now();
        let registry_settings = RegistrySettings {
            heartbeat_interval: Span::from_millis(settings.heartbeat_ms),
            max_instances: MAX_INSTANCES,
        };
        State {
            consensus,
            contact: Contact::new(control_timings.contact_window),
            registry: Registry::new(now, registry_settings),
            exchange: Exchange::default(),
            subscribers: Subscribers::default(),
            tracker: StoreTracker::new(now),
            store_view: StoreView::default(),
            caught_up_reports: Vec::new(),
            unrecoverable_partitions: 0,
            last_housekeeping_at: now,
            was_paused: false,
            logged_configuration: Version::default(),
            logged_store_map: 0,
        }
    }
}
