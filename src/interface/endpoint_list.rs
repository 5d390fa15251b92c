//! The list of endpoints and its updates.

use std::sync::Arc;

use super::{DestinationId, EndpointId};

/// A kind of destination.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DestinationKind {
    /// Its name.
    pub name: String,
    /// Whether its endpoints are independent routes, each with its own rate limit, retry-after delays and outages. The
    /// core ignores this and always applies the stricter rules of a single destination.
    pub has_separate_routes: bool,
    /// Maximum number of notifications in one call.
    pub max_notifications_per_call: usize,
}

/// The state of an endpoint in the list; it says nothing about the endpoint's health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// The endpoint accepts calls.
    #[default]
    Serving,
    /// No new calls may be sent to the endpoint.
    Draining,
    /// The endpoint has been removed from the list.
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
    /// The listed rate in calls per second; see [`Fleet::has_listed_rates`](super::Fleet::has_listed_rates).
    pub rate_per_second: f64,
}

/// An update of the list.
#[derive(Clone, Debug)]
pub enum EndpointListUpdate {
    /// The entries that changed.
    Changes(Vec<EndpointEntry>),
    /// All entries; endpoints that are absent have been removed from the list.
    Snapshot(Vec<EndpointEntry>),
    /// All entries as stored by an earlier process; they may be outdated.
    CachedSnapshot(Vec<EndpointEntry>),
    /// A request for the list failed or the subscription broke.
    Failed,
}
