//! The last stage: owns the notices of ends that clients are still to hear of. It must never end a
//! notification itself, and forgets a notice only when it was answered.

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperwing::time::{Span, Time};
use serde::Serialize;

use crate::event_loop::{ConnectionEvent, Net, Role, Token};
use crate::http;
use crate::journal::{Journal, UndeliveredEnd};

/// Notices in one request at the most: their ids are 256 bytes at the longest, and a body 64 KiB.
const MAX_NOTICES_PER_REQUEST: usize = 100;
/// A request not answered by then is made again on a new connection.
const RESPONSE_TIMEOUT: Span = Span::from_millis(400);
/// The same for one on a connection that was kept: the platform answers at once, so that fell silent. Repeated so soon,
/// an end that came with the time to live is still heard within the 300 ms that it has.
const REUSED_CONNECTION_RESPONSE_TIMEOUT: Span = Span::from_millis(100);
/// The first pause after a request that failed, doubling up to the longest.
const INITIAL_BACKOFF: Span = Span::from_millis(20);
const MAX_BACKOFF: Span = Span::from_millis(1_000);

#[derive(Serialize)]
struct Notice<'a> {
    message: &'a str,
    outcome: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_in_ms: Option<u64>,
}

/// What has come of notices.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct NoticeResults {
    /// These were answered.
    pub acknowledged: Vec<u64>,
    /// The platform cannot read this one; there is no use in repeating it.
    pub rejected: Option<u64>,
}

pub struct NoticeSender {
    address: SocketAddr,
    /// Ends of which notices are still to be written, and those of the request under way.
    queued: VecDeque<u64>,
    in_flight: Vec<u64>,
    connection: Option<Token>,
    backoff: Span,
    retry_at: Time,
    /// One notice at a time, for one among several could not be read.
    is_one_at_a_time: bool,
}

impl NoticeSender {
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

    /// Notes that a client is to hear of the end that the store has for a notification.
    pub fn enqueue(&mut self, n: u64) {
        self.queued.push_back(n);
    }

    /// When notices that wait may be written.
    pub fn next_send_at(&self) -> Time {
        if self.queued.is_empty() || !self.in_flight.is_empty() { Time::NEVER } else { self.retry_at }
    }

    /// Writes the notices that wait, if none are under way.
    pub fn send_queued(&mut self, net: &mut Net, store: &Journal, now: Time) {
        if self.next_send_at() > now {
            return;
        }
        let (token, slow) = match self.connection.filter(|token| !net.is_peer_closed(*token)) {
            Some(token) => (token, REUSED_CONNECTION_RESPONSE_TIMEOUT),
            None => match net.open(self.address, Role::Notices) {
                Ok(token) => (token, RESPONSE_TIMEOUT),
                Err(_) => return self.handle_failure(net, now),
            },
        };
        self.connection = Some(token);
        let count = if self.is_one_at_a_time { 1 } else { MAX_NOTICES_PER_REQUEST.min(self.queued.len()) };
        self.in_flight = self.queued.drain(..count).collect();
        let mut body = Vec::new();
        for taken in self.in_flight.iter().filter_map(|n| store.get(*n)).map(|kept| &kept.notification) {
            let Some(end) = taken.history.end else { continue };
            let (outcome, retry_in_ms) = match end {
                UndeliveredEnd::GivenUp => ("given_up", None),
                UndeliveredEnd::ReturnedToClient(ms) => ("handed_back", Some(ms).filter(|ms| *ms > 0)),
            };
            let notice = Notice { message: &taken.attributes.id, outcome, retry_in_ms };
            serde_json::to_writer(&mut body, &notice).expect("a notice is plain text");
            body.push(b'\n');
        }
        let host = self.address.to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/x-ndjson")];
        net.write(token, &http::encode_message("POST /v1/notices HTTP/1.1", &headers, &body));
        net.set_deadline(token, now + slow);
    }

    /// The platform is at another address from now on: what was under way is asked there anew, at once.
    pub fn change_address(&mut self, net: &mut Net, to: SocketAddr, now: Time) {
        self.address = to;
        self.handle_failure(net, now);
        (self.backoff, self.retry_at) = (Span::ZERO, now);
    }

    fn handle_failure(&mut self, net: &mut Net, now: Time) {
        if let Some(token) = self.connection.take() {
            net.close(token);
        }
        for n in self.in_flight.drain(..).rev() {
            self.queued.push_front(n);
        }
        self.backoff = (self.backoff + self.backoff).max(INITIAL_BACKOFF).min(MAX_BACKOFF);
        self.retry_at = now + self.backoff;
    }

    /// What happened on the connection that notices go by.
    pub fn handle_connection_event(
        &mut self, net: &mut Net, token: Token, what: ConnectionEvent, now: Time,
    ) -> NoticeResults {
        let mut heard = NoticeResults::default();
        if what == ConnectionEvent::Connected {
            return heard;
        }
        if self.connection != Some(token) {
            net.close(token);
            return heard;
        }
        let ended = what != ConnectionEvent::Readable;
        let Some(input) = net.input(token) else { return heard };
        match http::parse_response(input, ended) {
            Ok(Some((response, length))) if !self.in_flight.is_empty() => {
                input.drain(..length);
                net.set_deadline(token, Time::NEVER);
                match response.status {
                    200..300 => {
                        (self.backoff, self.is_one_at_a_time) = (Span::ZERO, false);
                        heard.acknowledged = std::mem::take(&mut self.in_flight);
                    }
                    400 if self.in_flight.len() == 1 => heard.rejected = self.in_flight.pop(),
                    status => {
                        self.is_one_at_a_time = status == 400;
                        self.handle_failure(net, now);
                        return heard;
                    }
                }
                if !response.is_keep_alive || ended {
                    self.connection = None;
                    net.close(token);
                }
            }
            Ok(None) if !ended => {}
            // Idle and closed by the platform; or broken, silent or unreadable, and to be asked again.
            _ if self.in_flight.is_empty() => {
                self.connection = None;
                net.close(token);
            }
            _ => self.handle_failure(net, now),
        }
        heard
    }
}
