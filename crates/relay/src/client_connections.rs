//! Client connections: reads requests and writes responses.
//!
//! Only malformed requests, incomplete requests and requests other than submissions are answered here.

mod submission;

use std::collections::BTreeMap;

use juniperwing::time::{Span, Time};

use crate::event_loop::{ConnectionEvent, Net, Token};
use crate::http::{self, Request};
pub use submission::{Submission, SubmissionResponse};

/// The time from the first byte of a request (for the first request of a connection: from the accept) until the request
/// must be complete; otherwise the connection is closed. No client waits this long for its response.
const REQUEST_TIMEOUT: Span = Span::from_millis(2_000);
/// The time after which an idle connection is closed.
const IDLE_TIMEOUT: Span = Span::from_millis(60_000);
/// The maximum number of response bytes queued for a client. One that exceeds it is disconnected: it sends requests
/// without reading the responses.
const MAX_UNREAD_RESPONSE_BYTES: usize = 16 * 1024;

struct Client {
    /// When the last request was completed, or when the client connected.
    idle_since: Time,
    /// Whether the client has sent a complete request.
    has_sent_request: bool,
    /// When the first byte of the incomplete request arrived.
    request_started_at: Option<Time>,
    /// While a request is being processed: whether the connection stays open after its response.
    pending_keep_alive: Option<bool>,
    /// Whether `100 Continue` was sent for the incomplete request.
    has_sent_continue: bool,
}

impl Client {
    fn new(now: Time) -> Client {
        Client {
            idle_since: now,
            has_sent_request: false,
            request_started_at: None,
            pending_keep_alive: None,
            has_sent_continue: false,
        }
    }

    /// Whether no request of the client is being processed.
    fn is_idle(&self) -> bool {
        self.pending_keep_alive.is_none()
    }
}

#[derive(Default)]
pub struct ClientConnections {
    clients: BTreeMap<Token, Client>,
    /// Makes `/ready` respond with 503.
    pub is_shutting_down: bool,
    /// Makes each response close its connection, so that no further request arrives while the relay closes it.
    pub is_closing: bool,
}

impl ClientConnections {
    /// Handles an event. Returns at most one submission, which must be answered before the next request is read.
    pub fn handle_connection_event(
        &mut self, net: &mut Net, token: Token, event: ConnectionEvent, now: Time,
    ) -> Option<Submission> {
        match event {
            ConnectionEvent::Accepted => {
                self.evict_if_full(net);
                self.clients.insert(token, Client::new(now));
                net.set_deadline(token, now + REQUEST_TIMEOUT);
                None
            }
            ConnectionEvent::Connected => None,
            ConnectionEvent::Readable => self.read_requests(net, token, now),
            ConnectionEvent::PeerClosed => {
                // Requests that were complete before the end of the stream are answered in this iteration.
                if self.clients.get(&token).is_some_and(Client::is_idle) {
                    self.close(net, token);
                }
                None
            }
            ConnectionEvent::DeadlineReached => {
                if self.clients.get(&token).is_some_and(|client| client.request_started_at.is_some()) {
                    self.reject(net, token, 408);
                } else {
                    self.close(net, token);
                }
                None
            }
        }
    }

    /// Closes one connection if the limit is reached. Among the connections without a request being processed, it is
    /// the one that has been idle longest, or else the one that has been sending a request longest.
    fn evict_if_full(&mut self, net: &mut Net) {
        if !net.is_client_limit_reached() {
            return;
        }
        let idle = self.clients.iter().filter(|(_, client)| client.is_idle());
        let mut idle: Vec<_> =
            idle.map(|(token, client)| (client.request_started_at, client.idle_since, *token)).collect();
        idle.sort();
        // A connection with unread bytes is chosen only if there is no other.
        let without_input = idle.iter().find(|(_, _, token)| !net.has_unread(*token));
        if let Some((_, _, token)) = without_input.or(idle.first()).copied() {
            self.clients.remove(&token);
            net.close(token);
        }
    }

    fn read_requests(&mut self, net: &mut Net, token: Token, now: Time) -> Option<Submission> {
        loop {
            let client = self.clients.get_mut(&token).filter(|client| client.is_idle())?;
            if net.unsent_bytes(token) > MAX_UNREAD_RESPONSE_BYTES {
                self.clients.remove(&token);
                net.close(token);
                return None;
            }
            let input = net.input(token)?;
            if input.is_empty() {
                return None;
            }
            let (request, length) = match http::parse_request(input) {
                Ok(Some(parsed)) => parsed,
                Ok(None) => {
                    await_request_completion(net, token, client, now);
                    return None;
                }
                Err(error) => {
                    self.reject(net, token, error.status);
                    return None;
                }
            };
            input.drain(..length);
            input.shrink_to(0);
            *client = Client {
                has_sent_request: true,
                pending_keep_alive: Some(request.is_keep_alive),
                ..Client::new(now)
            };
            net.set_deadline(token, now + IDLE_TIMEOUT);
            if let Some(submission) = self.handle_request(net, token, request) {
                return Some(submission);
            }
        }
    }

    /// Responds to a request unless it is a submission, which is returned.
    fn handle_request(&mut self, net: &mut Net, token: Token, request: Request) -> Option<Submission> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/ready") => {
                let status = if self.is_shutting_down { 503 } else { 200 };
                self.respond(net, token, status, &[]);
            }
            (_, "/ready") => self.respond(net, token, 405, &[("Allow", "GET")]),
            ("POST", _) => match Submission::parse(request) {
                Some(submission) => return Some(submission),
                None => self.reject(net, token, 400),
            },
            _ => self.respond(net, token, 404, &[]),
        }
        None
    }

    /// Responds to the submission of a notification.
    pub fn respond_to_submission(&mut self, net: &mut Net, token: Token, response: SubmissionResponse) {
        match response {
            SubmissionResponse::Accepted => self.respond(net, token, 202, &[]),
            SubmissionResponse::Throttled(Span::ZERO) => self.respond(net, token, 429, &[]),
            SubmissionResponse::Throttled(delay) => {
                let delay = format!("{:.3}", delay.as_secs_f64());
                self.respond(net, token, 429, &[("Retry-After", &delay)]);
            }
            SubmissionResponse::Unavailable => self.respond(net, token, 503, &[]),
            SubmissionResponse::Expired => self.respond(net, token, 504, &[]),
            SubmissionResponse::Malformed => self.reject(net, token, 400),
            SubmissionResponse::UnknownDestination => self.respond(net, token, 404, &[]),
        }
        // The next pipelined request is read in the next iteration.
        if net.input(token).is_some_and(|input| !input.is_empty()) {
            net.read_again(token);
        }
    }

    fn respond(&mut self, net: &mut Net, token: Token, status: u16, headers: &[(&str, &str)]) {
        let Some(client) = self.clients.get_mut(&token) else { return };
        let is_keep_alive = client.pending_keep_alive.take().unwrap_or(false)
            && !net.is_peer_closed(token)
            && !self.is_closing;
        let mut headers = headers.to_vec();
        if !is_keep_alive {
            headers.push(("Connection", "close"));
        }
        let line = format!("HTTP/1.1 {status} {}", http::reason_phrase(status));
        net.write(token, &http::encode_message(&line, &headers, b""));
        if !is_keep_alive {
            self.close(net, token);
        }
    }

    /// Responds to an invalid request and closes the connection, since the start of the next request is unknown.
    fn reject(&mut self, net: &mut Net, token: Token, status: u16) {
        if let Some(client) = self.clients.get_mut(&token) {
            client.pending_keep_alive = Some(false);
        }
        self.respond(net, token, status, &[]);
    }

    fn close(&mut self, net: &mut Net, token: Token) {
        self.clients.remove(&token);
        net.close_after_flush(token);
    }

    /// Closes every connection without a request being processed. Returns whether no connection is left.
    pub fn close_idle(&mut self, net: &mut Net) -> bool {
        // Keeps connections whose request arrived after the last iteration, and new ones whose first request may still
        // come.
        let is_closable = |net: &mut Net, token: Token, client: &Client| {
            client.has_sent_request && client.is_idle() && !net.has_unread(token)
        };
        let clients = self.clients.iter().filter(|(token, client)| is_closable(net, **token, client));
        let closable: Vec<Token> = clients.map(|(token, _)| *token).collect();
        closable.into_iter().for_each(|token| self.close(net, token));
        self.clients.is_empty()
    }
}

/// Sets the deadline of an incomplete request, and sends `100 Continue` if the client expects it.
fn await_request_completion(net: &mut Net, token: Token, client: &mut Client, now: Time) {
    let input = net.input(token).map_or(&[][..], |input| input.as_slice());
    let must_send_continue = !client.has_sent_continue && http::expects_continue(input);
    client.has_sent_continue |= must_send_continue;
    let started_at = *client.request_started_at.get_or_insert(now);
    if client.has_sent_request {
        net.set_deadline(token, started_at + REQUEST_TIMEOUT);
    }
    if must_send_continue {
        net.write(token, b"HTTP/1.1 100 Continue\r\n\r\n");
    }
}
