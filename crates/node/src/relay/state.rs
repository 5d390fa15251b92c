//! What all parts of a relay share.

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

/// What all parts of a relay share.
pub struct RelayState {
    /// Configuration, endpoints and stores, as published by the keepers.
    pub cluster: Arc<ClusterView>,
    /// Assigns slots at endpoints.
    pub dispatcher: Arc<Dispatcher>,
    /// Connections to endpoints.
    pub pool: ConnectionPool,
    /// Connections of clients.
    pub connections: Arc<Connections>,
    /// The stores of turns and budgets.
    pub sessions: Arc<dyn SessionStore>,
    /// Counters.
    pub metrics: Metrics,
    /// Log lines for requests that failed or were slow.
    pub request_log: Arc<RequestLog>,
    /// The memory for bodies.
    pub memory: Arc<MemoryBudget>,
    /// The number of client connections that are served; further ones are rejected.
    pub max_client_connections: usize,
    /// The stage of the shutdown.
    pub shutdown: Shutdown,
}

impl RelayState {
    /// Whether new connections of clients are wanted: all that is needed is known, and no shutdown has begun.
    pub fn is_ready(&self) -> bool {
        !self.shutdown.is_started() && self.cluster.is_complete()
    }

    /// Checks the invariant that memory and slots are reserved only while requests are open.
    pub fn check_idle(&self) {
        if self.connections.open_requests() > 0 {
            return;
        }
        let (bytes, slots) = (self.memory.reserved_bytes(), self.dispatcher.occupied_slots());
        check(Invariant::NoBufferedBytesWhenIdle, bytes == 0, || format!("{bytes} bytes"));
        check(Invariant::NoOccupiedSlotsWhenIdle, slots == 0, || format!("{slots} slots"));
    }
}
