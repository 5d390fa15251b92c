//! The endpoint list, the watch that updates it, and the address of each endpoint.
//!
//! The end of a watch is reported to the core, which decides when another one is opened.

mod list;
mod watch;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use juniperwing::interface::{DestinationId, EndpointId, EndpointListUpdate, Readiness};
use juniperwing::time::{Span, Time};
use juniperwing_settings::Settings;

use crate::event_loop::{ConnectionEvent, ConnectionRole, Net, Token};
use crate::http;
use list::ParsedEntry;
pub use list::{EndpointList, KnownEndpoint};
use watch::Watch;
pub use watch::{WatchError, WatchMessages};

/// The time without a message after which a watch times out. While nothing changes, discovery writes an empty line
/// every 2 s.
const WATCH_TIMEOUT: Span = Span::from_millis(3_000);

/// The changes made by an endpoint list.
pub struct ListChange {
    /// The update that is reported to the core.
    pub update: EndpointListUpdate,
    /// Endpoints whose connections are no longer needed.
    pub withdrawn: Vec<EndpointId>,
    /// Endpoints whose addresses cannot be parsed.
    pub invalid_addresses: Vec<EndpointId>,
}

/// The endpoint list and the watch on it.
pub struct Discovery {
    /// The address of discovery.
    pub address: SocketAddr,
    list_version: u64,
    watch: Option<Watch>,
    /// Whether the core has requested a watch.
    is_watch_requested: bool,
    /// Whether any watch has received a message, so that the list is no longer that of an earlier process.
    has_received_message: bool,
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// Destinations that have endpoints on the list, or recently had some, with their expiry times.
    destinations: BTreeMap<DestinationId, Time>,
}

impl Discovery {
    /// Creates an empty list for the discovery service at this address.
    pub fn new(address: SocketAddr) -> Discovery {
        Discovery {
            address,
            list_version: 0,
            watch: None,
            is_watch_requested: false,
            has_received_message: false,
            endpoints: BTreeMap::new(),
            destinations: BTreeMap::new(),
        }
    }

    /// Whether a destination has endpoints, or had some so recently that replacements may still appear.
    pub fn is_known_destination(&self, destination: DestinationId) -> bool {
        self.destinations.contains_key(&destination)
    }

    /// Whether the list is confirmed by an open watch.
    pub fn is_current(&self) -> bool {
        self.watch.as_ref().is_some_and(|watch| watch.has_message)
    }

    /// Returns an endpoint of the list that can be called.
    pub fn endpoint(&self, endpoint: &EndpointId) -> Option<&KnownEndpoint> {
        self.endpoints.get(endpoint)
    }

    /// Applies a complete list or a list of changes.
    pub fn apply_list(&mut self, list: EndpointList, settings: &Settings, now: Time) -> ListChange {
        self.list_version = list.version;
        let before =
            if list.is_complete { std::mem::take(&mut self.endpoints) } else { self.endpoints.clone() };
        let hosts = list.hosts.unwrap_or_default();
        let (mut entries, mut invalid_addresses) = (Vec::with_capacity(hosts.len()), Vec::new());
        for host in hosts {
            let is_deleted = host.is_deleted();
            let ParsedEntry { entry, address } = host.parse(settings);
            self.endpoints.remove(&entry.endpoint);
            if address.is_none() && !is_deleted {
                invalid_addresses.push(entry.endpoint.clone());
            }
            if let Some(address) = address.filter(|_| entry.readiness != Readiness::Deleted) {
                self.endpoints
                    .insert(entry.endpoint.clone(), KnownEndpoint { address, entry: entry.clone() });
            }
            entries.push(entry);
        }
        let is_withdrawn =
            |(id, old): &(&EndpointId, &KnownEndpoint)| old.is_withdrawn(self.endpoints.get(*id));
        let withdrawn = before.iter().filter(is_withdrawn).map(|(id, _)| id.clone()).collect();
        self.update_destinations(&before, settings, now);
        let update = if list.is_complete {
            EndpointListUpdate::Snapshot(entries)
        } else {
            EndpointListUpdate::Changes(entries)
        };
        ListChange { update, withdrawn, invalid_addresses }
    }

    fn update_destinations(
        &mut self, before: &BTreeMap<EndpointId, KnownEndpoint>, settings: &Settings, now: Time,
    ) {
        let expires_at = now + settings.max_ttl();
        let destination = |known: &KnownEndpoint| known.entry.destination;
        self.destinations.extend(before.values().map(|known| (destination(known), expires_at)));
        self.destinations.extend(self.endpoints.values().map(|known| (destination(known), Time::NEVER)));
        self.destinations.retain(|_, expires_at| *expires_at > now);
    }

    /// Returns the names of the kinds of all endpoints on the list.
    pub fn kinds(&self) -> impl Iterator<Item = &str> {
        self.endpoints.values().map(|known| known.entry.kind.name.as_str())
    }

    /// Looks up the kinds of all endpoints in new settings. Returns the update for the core.
    pub fn apply_settings(&mut self, settings: &Settings) -> EndpointListUpdate {
        for known in self.endpoints.values_mut() {
            known.entry.kind = settings.kind(&known.entry.kind.name);
        }
        let entries = self.endpoints.values().map(|known| known.entry.clone()).collect();
        if self.has_received_message {
            EndpointListUpdate::Changes(entries)
        } else {
            EndpointListUpdate::CachedSnapshot(entries)
        }
    }

    /// Opens a watch in place of any open one.
    ///
    /// # Errors
    ///
    /// No connection can be opened.
    pub fn subscribe(&mut self, net: &mut Net, now: Time) -> Result<(), WatchError> {
        self.is_watch_requested = true;
        if let Some(old) = self.watch.take() {
            net.close(old.token);
        }
        let opened = net.open(self.address, ConnectionRole::Watch);
        let token = opened.map_err(|_| WatchError::NotOpened)?;
        let target = format!("GET /v1/endpoints?stream=1&index={} HTTP/1.1", self.list_version);
        net.write(token, &http::encode_message(&target, &[("Host", &self.address.to_string())], b""));
        net.set_deadline(token, now + WATCH_TIMEOUT);
        self.watch = Some(Watch::new(token));
        Ok(())
    }

    /// Changes the address of discovery. If the core has requested a watch, one is opened there immediately, starting
    /// from the current version of the list.
    ///
    /// # Errors
    ///
    /// No connection can be opened.
    pub fn change_address(
        &mut self, net: &mut Net, address: SocketAddr, now: Time,
    ) -> Result<(), WatchError> {
        self.address = address;
        if self.is_watch_requested { self.subscribe(net, now) } else { Ok(()) }
    }

    /// Handles an event on the connection of a watch. Returns the messages received, and the failure if the watch
    /// ended.
    pub fn handle_connection_event(
        &mut self, net: &mut Net, token: Token, event: ConnectionEvent, now: Time,
    ) -> WatchMessages {
        let mut messages = WatchMessages::default();
        let Some(watch) = self.watch.as_mut().filter(|watch| watch.token == token) else { return messages };
        match event {
            ConnectionEvent::Connected => return messages,
            ConnectionEvent::DeadlineReached => messages.failure = Some(WatchError::TimedOut),
            ConnectionEvent::PeerClosed if !net.is_connected(token) => {
                messages.failure = Some(WatchError::Unreachable);
            }
            _ => {
                let had_head = watch.has_head;
                messages = watch.read(net);
                self.has_received_message |= messages.has_message;
                // Incomplete lines do not extend the deadline of a watch.
                if messages.has_message || watch.has_head != had_head {
                    net.set_deadline(token, now + WATCH_TIMEOUT);
                }
                if event == ConnectionEvent::PeerClosed {
                    messages.failure = messages.failure.or(Some(WatchError::Ended));
                }
            }
        }
        if messages.failure.is_some() {
            self.watch = None;
            net.close(token);
        }
        messages
    }
}
