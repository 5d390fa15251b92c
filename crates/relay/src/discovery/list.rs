//! The endpoint list, or changes to it, in the format of discovery.

use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing::interface::{DestinationId, EndpointEntry, EndpointId, Readiness};
use juniperwing_settings::Settings;
use serde::Deserialize;

const DRAINING: &str = "draining";
const DELETED: &str = "gone";

/// The endpoint list, or changes to it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    #[serde(rename = "seq")]
    pub(super) version: u64,
    /// Whether endpoints that are missing from `hosts` are removed from the list.
    #[serde(default, rename = "whole")]
    pub(super) is_complete: bool,
    pub(super) hosts: Option<Vec<ListedHost>>,
}

/// An endpoint as discovery describes it.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct ListedHost {
    #[serde(rename = "host")]
    id: String,
    /// An IP address with a port.
    #[serde(default, rename = "dial")]
    address: String,
    #[serde(default, rename = "site")]
    zone: String,
    /// The name of the kind of its destination.
    #[serde(default, rename = "class")]
    kind: String,
    #[serde(rename = "block")]
    destination: u64,
    #[serde(default)]
    health: String,
    /// The rate that the endpoint accepts.
    #[serde(default, rename = "share")]
    rate_per_second: f64,
}

/// An endpoint that can be called.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownEndpoint {
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The entry that was reported to the core.
    pub(super) entry: EndpointEntry,
}

impl KnownEndpoint {
    /// Returns the name of the endpoint's zone.
    pub fn zone(&self) -> Arc<str> {
        self.entry.zone.clone()
    }

    /// Returns the maximum number of notifications in one call, at least one.
    pub fn max_notifications_per_call(&self) -> usize {
        self.entry.kind.max_notifications_per_call.max(1)
    }

    /// Whether the connections of the endpoint are no longer needed, given its `current` entry.
    pub(super) fn is_withdrawn(&self, current: Option<&KnownEndpoint>) -> bool {
        current.is_none_or(|current| {
            let has_moved =
                current.address != self.address || current.entry.destination != self.entry.destination;
            has_moved || current.entry.readiness != Readiness::Serving
        })
    }
}

/// An entry of the list with its address parsed.
pub(super) struct ParsedEntry {
    pub(super) entry: EndpointEntry,
    pub(super) address: Option<SocketAddr>,
}

impl ListedHost {
    pub(super) fn is_deleted(&self) -> bool {
        self.health == DELETED
    }

    pub(super) fn parse(self, settings: &Settings) -> ParsedEntry {
        let address: Option<SocketAddr> = self.address.parse().ok();
        let readiness = match self.health.as_str() {
            DRAINING => Readiness::Draining,
            DELETED => Readiness::Deleted,
            // Not reported as serving: notifications would use up their pushes on an unreachable endpoint.
            _ if address.is_none() => Readiness::Deleted,
            _ => Readiness::Serving,
        };
        let entry = EndpointEntry {
            endpoint: EndpointId(Arc::from(self.id)),
            destination: DestinationId(self.destination),
            kind: settings.kind(&self.kind),
            zone: Arc::from(self.zone),
            readiness,
            rate_per_second: self.rate_per_second,
        };
        ParsedEntry { entry, address }
    }
}
