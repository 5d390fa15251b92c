//! Notices of undelivered notifications, sent to their clients through the platform.
//!
//! A notice is resent until the platform acknowledges it.

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperwing::time::{Span, Time};
use serde::Serialize;

use crate::event_loop::{ConnectionEvent, ConnectionRole, Net, Token};
use crate::http::{self, Response};
use crate::journal::{Journal, UndeliveredEnd};

/// The maximum number of notices in one request: an id has up to 256 bytes, and a body may have 64 KiB.
const MAX_NOTICES_PER_REQUEST: usize = 100;
/// The time after which an unanswered request is resent on a new connection.
const RESPONSE_TIMEOUT: Span = Span::from_millis(400);
/// The same for a request on a reused connection. The platform responds immediately, so without a response the
/// connection is dead. A notice of an expiry thus still arrives within the required 300 ms.
const REUSED_CONNECTION_RESPONSE_TIMEOUT: Span = Span::from_millis(100);
/// The backoff after the first failed request; it doubles with each further failure.
const INITIAL_BACKOFF: Span = Span::from_millis(20);
const MAX_BACKOFF: Span = Span::from_millis(1_000);

/// One line of a request to the platform.
#[derive(Serialize)]
struct Notice<'a> {
    message: &'a str,
    outcome: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_in_ms: Option<u64>,
}

/// The results of notices, by the numbers of their notifications.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct NoticeResults {
    /// The notices that the platform acknowledged.
    pub acknowledged: Vec<u64>,
    /// A notice that the platform rejected as malformed; it is not resent.
    pub rejected: Option<u64>,
}

/// Sends notices, one request at a time.
pub struct NoticeSender {
    address: SocketAddr,
    /// Notifications whose notices are still to be sent.
    queued: VecDeque<u64>,
    /// Notifications whose notices are in the unanswered request.
    in_flight: Vec<u64>,
    connection: Option<Token>,
    backoff: Span,
    retry_at: Time,
    /// Whether each notice is sent in its own request, because a request with several was rejected.
    is_one_at_a_time: bool,
}

impl NoticeSender {
    /// Creates a sender to the platform at this address.
    pub fn new(address: SocketAddr) -> NoticeSender {
        NoticeSender {
            address,
            queued: VecDeque::new(),
            in_flight: Vec::new(),
            connection: None,
            backoff: Span::ZERO,
            retry_at: Time::default(),
            is_one_at_a_time: false,
        }
    }

    /// Queues a notice of the end that the journal records for a notification.
    pub fn enqueue(&mut self, number: u64) {
        self.queued.push_back(number);
    }

    /// Returns when queued notices may be sent; [`Time::NEVER`] if there are none or a request is unanswered.
    pub fn next_send_at(&self) -> Time {
        if self.queued.is_empty() || !self.in_flight.is_empty() { Time::NEVER } else { self.retry_at }
    }

    /// Sends queued notices if they are due.
    pub fn send_queued(&mut self, net: &mut Net, journal: &Journal, now: Time) {
        if self.next_send_at() > now {
            return;
        }
        let (token, timeout) = match self.connection.filter(|token| !net.is_peer_closed(*token)) {
            Some(token) => (token, REUSED_CONNECTION_RESPONSE_TIMEOUT),
            None => match net.open(self.address, ConnectionRole::Notices) {
                Ok(token) => (token, RESPONSE_TIMEOUT),
                Err(_) => return self.handle_failure(net, now),
            },
        };
        self.connection = Some(token);
        let count = if self.is_one_at_a_time { 1 } else { MAX_NOTICES_PER_REQUEST.min(self.queued.len()) };
        self.in_flight = self.queued.drain(..count).collect();
        let host = self.address.to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/x-ndjson")];
        let body = encode_notices(&self.in_flight, journal);
        net.write(token, &http::encode_message("POST /v1/notices HTTP/1.1", &headers, &body));
        net.set_deadline(token, now + timeout);
    }

    /// Changes the address of the platform. Notices in flight are resent to the new address immediately.
    pub fn change_address(&mut self, net: &mut Net, address: SocketAddr, now: Time) {
        self.address = address;
        self.handle_failure(net, now);
        (self.backoff, self.retry_at) = (Span::ZERO, now);
    }

    fn handle_failure(&mut self, net: &mut Net, now: Time) {
        self.close(net);
        for number in self.in_flight.drain(..).rev() {
            self.queued.push_front(number);
        }
        self.backoff = (self.backoff + self.backoff).max(INITIAL_BACKOFF).min(MAX_BACKOFF);
        self.retry_at = now + self.backoff;
    }

    fn close(&mut self, net: &mut Net) {
        if let Some(token) = self.connection.take() {
            net.close(token);
        }
    }

    /// Handles an event on a connection to the platform.
    pub fn handle_connection_event(
        &mut self, net: &mut Net, token: Token, event: ConnectionEvent, now: Time,
    ) -> NoticeResults {
        if event == ConnectionEvent::Connected {
            return NoticeResults::default();
        }
        if self.connection != Some(token) {
            net.close(token);
            return NoticeResults::default();
        }
        let is_closed = event != ConnectionEvent::Readable;
        let Some(input) = net.input(token) else { return NoticeResults::default() };
        match http::parse_response(input, is_closed) {
            Ok(Some((response, length))) if !self.in_flight.is_empty() => {
                input.drain(..length);
                net.set_deadline(token, Time::NEVER);
                return self.handle_response(net, &response, is_closed, now);
            }
            Ok(None) if !is_closed => {}
            // The platform closed an idle connection.
            _ if self.in_flight.is_empty() => self.close(net),
            // The connection broke, the request timed out or the response is invalid: the notices are resent.
            _ => self.handle_failure(net, now),
        }
        NoticeResults::default()
    }

    fn handle_response(
        &mut self, net: &mut Net, response: &Response, is_closed: bool, now: Time,
    ) -> NoticeResults {
        let mut results = NoticeResults::default();
        match response.status {
            200..300 => {
                (self.backoff, self.is_one_at_a_time) = (Span::ZERO, false);
                results.acknowledged = std::mem::take(&mut self.in_flight);
            }
            400 if self.in_flight.len() == 1 => results.rejected = self.in_flight.pop(),
            status => {
                self.is_one_at_a_time = status == 400;
                self.handle_failure(net, now);
                return results;
            }
        }
        if !response.is_keep_alive || is_closed {
            self.close(net);
        }
        results
    }
}

/// Encodes a line for each of these notifications.
fn encode_notices(numbers: &[u64], journal: &Journal) -> Vec<u8> {
    let mut body = Vec::new();
    for entry in numbers.iter().filter_map(|number| journal.get(*number)) {
        let Some(end) = entry.notification.history.end else { continue };
        let (outcome, retry_in_ms) = match end {
            UndeliveredEnd::GivenUp => ("given_up", None),
            UndeliveredEnd::ReturnedToClient(ms) => ("handed_back", Some(ms).filter(|ms| *ms > 0)),
        };
        let notice = Notice { message: &entry.notification.attributes.id, outcome, retry_in_ms };
        serde_json::to_writer(&mut body, &notice).expect("a notice can be serialised");
        body.push(b'\n');
    }
    body
}
