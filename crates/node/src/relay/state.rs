//! The state shared by all parts of a relay.

use std::sync::Arc;

use juniperwing_invariants::{Invariant, check};

use super::cluster_view::ClusterView;
use super::connections::Connections;
use super::dispatcher::Dispatcher;
use super::memory::MemoryBudget;
use super::metrics::Metrics;
use super::request_log::RequestLog;
use super::sessions::SessionStore;
use super::shutdown::Shutdown;
use super::upstream::ConnectionPool;

/// The state shared by all parts of a relay.
pub struct RelayState {
    /// The configuration, endpoints and stores published by the keepers.
    pub cluster: Arc<ClusterView>,
    /// Assigns slots at endpoints.
    pub dispatcher: Arc<Dispatcher>,
    /// The pool of connections to endpoints.
    pub pool: ConnectionPool,
    /// The client connections.
    pub connections: Arc<Connections>,
    /// The stores of turns and budgets.
    pub sessions: Arc<dyn SessionStore>,
    /// The counters.
    pub metrics: Metrics,
    /// Logs requests that failed or were slow.
    pub request_log: Arc<RequestLog>,
    /// The memory budget for bodies.
    pub memory: Arc<MemoryBudget>,
    /// The number of client connections that are served; further ones are rejected.
    pub max_client_connections: usize,
    /// The stage of the shutdown.
    pub shutdown: Shutdown,
}

impl RelayState {
    /// Whether the relay is ready for client connections: everything needed is known, and no shutdown has started.
    pub fn is_ready(&self) -> bool {
        !self.shutdown.is_started() && self.cluster.is_complete()
    }

    /// Checks the invariant that memory and slots are reserved only while requests are open.
    pub fn check_idle(&self) {
        if self.connections.open_requests() > 0 {
            return;
        }
        let (bytes, slots) = (self.memory.reserved_bytes(), self.dispatcher.occupied_slots());
        check(Invariant::NoBufferedBytesWhenIdle, bytes == 0, || format!("{bytes} bytes reserved"));
        check(Invariant::NoOccupiedSlotsWhenIdle, slots == 0, || format!("{slots} slots occupied"));
    }
}
