//! Connections to endpoints without a call: idle ones, and those that may still receive a late response.

use std::collections::BTreeMap;

use juniperwing::interface::EndpointId;

use crate::event_loop::{Net, Token};

pub(super) struct ConnectionPool {
    max_connections: usize,
    /// The idle connections of each endpoint; the most recently used one is last.
    idle_by_endpoint: BTreeMap<EndpointId, Vec<Token>>,
    idle: BTreeMap<Token, EndpointId>,
    /// Connections whose calls ended without a response.
    awaiting_late_response: BTreeMap<Token, EndpointId>,
}

impl ConnectionPool {
    pub(super) fn new(max_connections: usize) -> ConnectionPool {
        ConnectionPool {
            max_connections,
            idle_by_endpoint: BTreeMap::new(),
            idle: BTreeMap::new(),
            awaiting_late_response: BTreeMap::new(),
        }
    }

    /// Takes the most recently used idle connection that is still usable.
    pub(super) fn take_idle(&mut self, net: &mut Net, endpoint: &EndpointId) -> Option<Token> {
        while let Some(token) = self.idle_by_endpoint.get_mut(endpoint).and_then(Vec::pop) {
            self.idle.remove(&token);
            // Bytes after the last response would be mistaken for the response to the next call.
            if !net.is_peer_closed(token) && !net.has_unread(token) {
                return Some(token);
            }
            net.close(token);
        }
        self.idle_by_endpoint.remove(endpoint);
        None
    }

    /// Closes a connection without a call if the limit is reached, counting those of the `call_count` calls in
    /// progress. Returns whether another connection may be opened.
    pub(super) fn make_capacity(&mut self, net: &mut Net, call_count: usize) -> bool {
        let open_count = call_count + self.idle.len() + self.awaiting_late_response.len();
        if open_count < self.max_connections {
            return true;
        }
        let candidate = self.awaiting_late_response.first_key_value().or(self.idle.first_key_value());
        let Some((token, _)) = candidate else { return false };
        self.close(net, *token);
        true
    }

    pub(super) fn add_idle(&mut self, endpoint: EndpointId, token: Token) {
        self.idle_by_endpoint.entry(endpoint.clone()).or_default().push(token);
        self.idle.insert(token, endpoint);
    }

    pub(super) fn add_awaiting_late_response(&mut self, endpoint: EndpointId, token: Token) {
        self.awaiting_late_response.insert(token, endpoint);
    }

    /// Returns the endpoint of a connection that may still receive a late response.
    pub(super) fn late_response_endpoint(&self, token: Token) -> Option<&EndpointId> {
        self.awaiting_late_response.get(&token)
    }

    pub(super) fn close(&mut self, net: &mut Net, token: Token) {
        self.awaiting_late_response.remove(&token);
        if let Some(endpoint) = self.idle.remove(&token)
            && let Some(tokens) = self.idle_by_endpoint.get_mut(&endpoint)
        {
            tokens.retain(|idle| *idle != token);
            if tokens.is_empty() {
                self.idle_by_endpoint.remove(&endpoint);
            }
        }
        net.close(token);
    }

    pub(super) fn close_idle(&mut self, net: &mut Net, endpoint: &EndpointId) {
        for token in self.idle_by_endpoint.remove(endpoint).unwrap_or_default() {
            self.idle.remove(&token);
            net.close(token);
        }
    }

    pub(super) fn close_all_idle(&mut self, net: &mut Net) {
        self.idle_by_endpoint.clear();
        std::mem::take(&mut self.idle).into_keys().for_each(|token| net.close(token));
    }
}
