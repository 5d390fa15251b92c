//! Connections to endpoints that have no call: idle ones, and those on which a late response may still come.

use std::collections::BTreeMap;

use juniperwing::interface::EndpointId;

use crate::event_loop::{Net, Token};

pub(super) struct ConnectionPool {
    max_connections: usize,
    /// The idle connections of each endpoint, the one used last at the end.
    idle_by_endpoint: BTreeMap<EndpointId, Vec<Token>>,
    idle: BTreeMap<Token, EndpointId>,
    /// Connections of calls that have ended.
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

    /// The usable idle connection that was used last; it is not idle any more.
    pub(super) fn take_idle(&mut self, net: &mut Net, endpoint: &EndpointId) -> Option<Token> {
        while let Some(token) = self.idle_by_endpoint.get_mut(endpoint).and_then(Vec::pop) {
            self.idle.remove(&token);
            // Bytes beyond the last response would be taken for the response to the next call.
            if !net.is_peer_closed(token) && !net.has_unread(token) {
                return Some(token);
            }
            net.close(token);
        }
        self.idle_by_endpoint.remove(endpoint);
        None
    }

    /// Closes a connection without a call if, with those of `call_count` calls, no more may be open. Returns whether
    /// another may be opened.
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

    /// The endpoint of a connection on which a late response may come.
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
