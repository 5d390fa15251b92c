//! Updates of the endpoint list.

use juniperwing::interface::{EndpointId, EndpointListUpdate, Event};
use juniperwing::time::Time;
use slog::{debug, info, warn};

use super::Server;
use crate::discovery::{EndpointList, ListChange, WatchError, WatchMessages};

impl Server {
    /// Applies the endpoint list of an earlier process.
    pub(super) fn load_initial_endpoints(&mut self, list: EndpointList, now: Time) {
        let change = self.discovery.apply_list(list, &self.settings, now);
        self.warn_invalid_addresses(&change.invalid_addresses);
        if let EndpointListUpdate::Snapshot(entries) | EndpointListUpdate::Changes(entries) = change.update {
            self.core.enqueue(Event::EndpointListUpdated(EndpointListUpdate::CachedSnapshot(entries)));
        }
    }

    pub(super) fn handle_watch_messages(&mut self, messages: WatchMessages, now: Time) {
        // A message without changes is reported as well, since it shows the core that the watch works.
        if messages.has_message && messages.lists.is_empty() {
            self.core.enqueue(Event::EndpointListUpdated(EndpointListUpdate::Changes(Vec::new())));
        }
        messages.lists.into_iter().for_each(|list| self.handle_list(list, now));
        messages.failure.into_iter().for_each(|error| self.handle_watch_failure(error));
    }

    fn handle_list(&mut self, list: EndpointList, now: Time) {
        let ListChange { update, withdrawn, invalid_addresses } =
            self.discovery.apply_list(list, &self.settings, now);
        self.warn_invalid_addresses(&invalid_addresses);
        if let EndpointListUpdate::Changes(entries) | EndpointListUpdate::Snapshot(entries) = &update {
            debug!(self.log, "endpoint list updated"; "entries" => entries.len(), "withdrawn" => withdrawn.len());
        }
        for endpoint in &withdrawn {
            self.upstream.handle_endpoint_withdrawn(&mut self.net, endpoint, now);
        }
        self.core.enqueue(Event::EndpointListUpdated(update));
    }

    fn warn_invalid_addresses(&self, endpoints: &[EndpointId]) {
        for endpoint in endpoints {
            warn!(self.log, "endpoint address invalid"; "endpoint" => &*endpoint.0);
        }
    }

    pub(super) fn handle_watch_failure(&mut self, error: WatchError) {
        info!(self.log, "endpoint list watch failed"; "error" => error.to_string());
        self.core.enqueue(Event::EndpointListUpdated(EndpointListUpdate::Failed));
    }
}
