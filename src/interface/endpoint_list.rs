//! The list of endpoints and its updates.

use std::sync::Arc;

use super::{DestinationId, EndpointId};

/// A kind of destination.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DestinationKind {
    /// Its name.
    pub name: String,
    /// Whether its endpoints are separate routes, each with its own limit, waits and outages. The core treats them
    /// as one destination all the same, which is stricter.
    pub has_separate_routes: bool,
    /// Upper limit of notifications in one call.
    pub max_notifications_per_call: usize,
}

/// The state of an endpoint in the list, which does not cover its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// It accepts calls.
    #[default]
    Serving,
    /// No new call may go to it.
    Draining,
    /// It has left the list.
    Deleted,
}

/// An entry of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination it belongs to.
    pub destination: DestinationId,
    /// Its destination's kind.
    pub kind: Arc<DestinationKind>,
    /// The name of its zone.
    pub zone: Arc<str>,
    /// Its state in the list.
    pub readiness: Readiness,
    /// The listed rate in calls a second; see [`Fleet::has_listed_rates`](super::Fleet::has_listed_rates).
    pub rate_per_second: f64,
}

/// An update of the list.
#[derive(Clone, Debug)]
pub enum EndpointListUpdate {
    /// The entries that changed.
    Changes(Vec<EndpointEntry>),
    /// All entries: endpoints that are missing have left the list.
    Snapshot(Vec<EndpointEntry>),
    /// All entries as an earlier process stored them; they may be outdated.
    CachedSnapshot(Vec<EndpointEntry>),
    /// A request for the list failed or the subscription broke.
    Failed,
}
