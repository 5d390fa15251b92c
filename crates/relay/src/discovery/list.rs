//! The endpoint list, or changes to it, as discovery writes it.

use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing::interface::{DestinationId, EndpointEntry, EndpointId, Readiness};
use juniperwing_settings::Settings;
use serde::Deserialize;

const DRAINING: &str = "draining";
const DELETED: &str = "gone";

/// The endpoint list, or what changed in it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    #[serde(rename = "seq")]
    pub(super) version: u64,
    /// Whether endpoints that are missing here are not on the list any more.
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
    /// The name of its destination's kind.
    #[serde(default, rename = "class")]
    kind: String,
    #[serde(rename = "block")]
    destination: u64,
    #[serde(default)]
    health: String,
    /// The rate that it accepts.
    #[serde(default, rename = "share")]
    rate_per_second: f64,
}

/// An endpoint that can be called.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// As it was reported to the core.
    pub(super) entry: EndpointEntry,
}

impl KnownEndpoint {
    /// The name of its zone.
    pub fn zone(&self) -> Arc<str> {
        self.entry.zone.clone()
    }

    /// The maximum number of notifications in one call.
    pub fn max_notifications_per_call(&self) -> usize {
        self.entry.kind.max_notifications_per_call.max(1)
    }

    /// Whether its connections are of no use any more, now that it is `current`.
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
            // Its pushes would be used up on an endpoint that nobody can reach; they wait for another one.
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
