//! Requests the endpoint list and applies its updates.

use super::backoff::backoff;
use super::tuning::{LIST_RETRY_FRACTION, MAX_LIST_RETRY_DELAY, MIN_LIST_RETRY_DELAY};
use crate::interface::{Command, EndpointEntry, EndpointListUpdate, Readiness};
use crate::message::{Component, Message};
use crate::outbox::Outbox;
use crate::state::EndpointList;
use crate::time::Span;

impl EndpointList {
    pub(crate) fn handle(
        &mut self, message: Message, refresh_interval: Span, is_pushed: bool, outbox: &mut Outbox,
    ) {
        match message {
            Message::EndpointListUpdated(update) => {
                self.handle_update(update, refresh_interval, is_pushed, outbox);
            }
            Message::IdleLimited { max_idle, kind } => {
                let is_affected = |entry: &&EndpointEntry| kind.as_ref().is_none_or(|k| *k == entry.kind);
                for entry in self.entries.values().filter(is_affected) {
                    let message = Message::IdleLimited { max_idle, kind: None };
                    outbox.send(Component::Endpoint(entry.endpoint.clone()), message);
                }
            }
            Message::TimerExpired => {
                self.is_retry_scheduled = false;
                outbox.commands.push(Command::SubscribeToEndpointList);
            }
            _ => {}
        }
    }

    fn handle_update(
        &mut self, update: EndpointListUpdate, refresh_interval: Span, is_pushed: bool, outbox: &mut Outbox,
    ) {
        let is_from_discovery = !matches!(update, EndpointListUpdate::CachedSnapshot(_));
        if let Some(cached) = self.cached_snapshot.take_if(|_| is_from_discovery) {
            self.merge(cached, outbox);
        }
        match update {
            // Endpoints may have been drained while no process ran, and where the list is pushed, drains bind this
            // process from its start: hold the cached list back until discovery responds or fails.
            EndpointListUpdate::CachedSnapshot(entries) if is_pushed => self.cached_snapshot = Some(entries),
            EndpointListUpdate::Failed if !self.is_retry_scheduled => {
                // Jitter and, unless the list is pushed, a growing backoff avoid overloading discovery.
                let first = refresh_interval
                    .mul_f64(LIST_RETRY_FRACTION)
                    .clamp(MIN_LIST_RETRY_DELAY, MAX_LIST_RETRY_DELAY);
                let delay = backoff(first, self.consecutive_failures, Span::ZERO, outbox);
                outbox.set_timer(Component::EndpointList, outbox.now + delay);
                self.is_retry_scheduled = true;
                self.consecutive_failures += i32::from(!is_pushed);
            }
            EndpointListUpdate::Failed => {}
            EndpointListUpdate::Changes(entries) => self.merge(entries, outbox),
            EndpointListUpdate::Snapshot(mut entries) | EndpointListUpdate::CachedSnapshot(mut entries) => {
                entries.extend(self.missing_from(&entries));
                self.merge(entries, outbox);
            }
        }
    }

    fn merge(&mut self, mut entries: Vec<EndpointEntry>, outbox: &mut Outbox) {
        self.consecutive_failures = 0;
        entries.retain(|entry| self.entries.get(&entry.endpoint) != Some(entry));
        for entry in entries {
            let old = self.entries.insert(entry.endpoint.clone(), entry.clone());
            // An endpoint that moved to another destination is removed from the previous one.
            if let Some(old) = old.filter(|old| old.destination != entry.destination) {
                let deleted = EndpointEntry { readiness: Readiness::Deleted, ..old };
                let destination = Component::Destination(deleted.destination);
                outbox.send(destination, Message::EndpointChanged(deleted));
            }
            let endpoint = Component::Endpoint(entry.endpoint.clone());
            outbox.send(endpoint, Message::EndpointChanged(entry.clone()));
            outbox.send(Component::Destination(entry.destination), Message::EndpointChanged(entry));
        }
        self.entries.retain(|_, entry| entry.readiness != Readiness::Deleted);
    }
}
