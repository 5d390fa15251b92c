//! The first stage: owns the client connections, reads requests and writes their answers. It must never
//! answer a notification on its own, except where the request cannot be read or does not say what is needed.

use std::collections::BTreeMap;

use juniperwing::time::{Span, Time};

use crate::event_loop::{ConnectionEvent, Net, Token};
use crate::http::{self, Request};
use crate::journal::Attributes;

/// Guards against slow and silent clients: a request is whole so long after its first byte, the first on a
/// connection so long after that was accepted, or the connection goes. No client waits as long for its answer.
const REQUEST_TIMEOUT: Span = Span::from_millis(2_000);
/// A connection with no request for so long is closed.
const IDLE_TIMEOUT: Span = Span::from_millis(60_000);
/// Guards against clients that ask and never read: so many bytes of answers may wait for one.
const MAX_UNREAD_RESPONSE_BYTES: usize = 16 * 1024;
/// The longest id, key or name that is taken.
const MAX_VALUE_BYTES: usize = 256;

/// A notification as a client handed it in.
#[derive(Debug, PartialEq)]
pub struct Submission {
    pub attributes: Attributes,
    pub time_left: Span,
    pub body: Vec<u8>,
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionResponse {
    /// Taken on.
    Accepted,
    /// Refused as throttled; the time to come back, if one is advised.
    Throttled(Span),
    /// Refused for want of room.
    Unavailable,
    /// Given up at once.
    Expired,
    /// Malformed, or naming what the settings do not know.
    Malformed,
    /// For a destination that is not on the list.
    UnknownDestination,
}

struct Client {
    /// Since when it has sent or been told nothing.
    idle_since: Time,
    /// Has handed in a whole request.
    has_sent_request: bool,
    /// When the request at hand began to come in.
    request_started_at: Option<Time>,
    /// A request is being decided on, and whether the connection stays open after it.
    pending_keep_alive: Option<bool>,
    /// Told to go on with the body.
    has_sent_continue: bool,
}

#[derive(Default)]
pub struct ClientConnections {
    clients: BTreeMap<Token, Client>,
    /// Says 503 at `/ready`.
    pub is_stopping: bool,
    /// Each answer says that its connection closes, so that no further request crosses the closing.
    pub is_closing: bool,
}

impl ClientConnections {
    /// Reads what a client sent: at most one notification, whose answer is owed before the next is read.
    pub fn handle_connection_event(
        &mut self, net: &mut Net, token: Token, what: ConnectionEvent, now: Time,
    ) -> Option<Submission> {
        match what {
            ConnectionEvent::Accepted => {
                self.evict_if_full(net);
                let client = Client {
                    idle_since: now,
                    has_sent_request: false,
                    request_started_at: None,
                    pending_keep_alive: None,
                    has_sent_continue: false,
                };
                self.clients.insert(token, client);
                net.set_deadline(token, now + REQUEST_TIMEOUT);
                None
            }
            ConnectionEvent::Connected => None,
            ConnectionEvent::Readable => self.read_requests(net, token, now),
            ConnectionEvent::PeerClosed => {
                // What came whole before the end was read with it and has its answer in this turn.
                if self.clients.get(&token).is_some_and(|client| client.pending_keep_alive.is_none()) {
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

    /// Guards against clients that keep all connections and use none: the one quiet longest makes room, or else the
    /// one that has been longest at sending a request.
    fn evict_if_full(&mut self, net: &mut Net) {
        let (open, most) = net.clients();
        if open < most {
            return;
        }
        let idle = self.clients.iter().filter(|(_, client)| client.pending_keep_alive.is_none());
        let mut idle: Vec<_> =
            idle.map(|(token, client)| (client.request_started_at, client.idle_since, *token)).collect();
        idle.sort();
        // One that has asked, unread as yet, only if there is no other.
        let unasked = idle.iter().find(|(_, _, token)| !net.has_unread(*token));
        if let Some((_, _, token)) = unasked.or(idle.first()).copied() {
            self.clients.remove(&token);
            net.close(token);
        }
    }

    fn read_requests(&mut self, net: &mut Net, token: Token, now: Time) -> Option<Submission> {
        loop {
            let client = self.clients.get_mut(&token).filter(|client| client.pending_keep_alive.is_none())?;
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
                Ok(Some(read)) => read,
                Ok(None) => {
                    let go_on = !client.has_sent_continue && http::expects_continue(input);
                    client.has_sent_continue |= go_on;
                    let begun = *client.request_started_at.get_or_insert(now);
                    if client.has_sent_request {
                        net.set_deadline(token, begun + REQUEST_TIMEOUT);
                    }
                    if go_on {
                        net.write(token, b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                    return None;
                }
                Err(error) => {
                    self.reject(net, token, error.status);
                    return None;
                }
            };
            input.drain(..length);
            input.shrink_to(0);
            (
                client.has_sent_request,
                client.request_started_at,
                client.has_sent_continue,
                client.idle_since,
            ) = (true, None, false, now);
            client.pending_keep_alive = Some(request.is_keep_alive);
            net.set_deadline(token, now + IDLE_TIMEOUT);
            match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/ready") => {
                    let status = if self.is_stopping { 503 } else { 200 };
                    self.respond(net, token, status, &[]);
                }
                (_, "/ready") => self.respond(net, token, 405, &[("Allow", "GET")]),
                ("POST", _) => match parse_submission(request) {
                    Some(handed_in) => return Some(handed_in),
                    None => self.reject(net, token, 400),
                },
                _ => self.respond(net, token, 404, &[]),
            }
        }
    }

    /// Answers the notification that a client has handed in.
    pub fn respond_to_submission(&mut self, net: &mut Net, token: Token, answer: SubmissionResponse) {
        match answer {
            SubmissionResponse::Accepted => self.respond(net, token, 202, &[]),
            SubmissionResponse::Throttled(Span::ZERO) => self.respond(net, token, 429, &[]),
            SubmissionResponse::Throttled(wait) => {
                let wait = format!("{:.3}", wait.as_secs_f64());
                self.respond(net, token, 429, &[("Retry-After", &wait)]);
            }
            SubmissionResponse::Unavailable => self.respond(net, token, 503, &[]),
            SubmissionResponse::Expired => self.respond(net, token, 504, &[]),
            SubmissionResponse::Malformed => self.reject(net, token, 400),
            SubmissionResponse::UnknownDestination => self.respond(net, token, 404, &[]),
        }
        // A client that sent more than one request at a time has the next read now.
        if net.input(token).is_some_and(|input| !input.is_empty()) {
            net.read_again(token);
        }
    }

    fn respond(&mut self, net: &mut Net, token: Token, status: u16, headers: &[(&str, &str)]) {
        let Some(client) = self.clients.get_mut(&token) else { return };
        let keep = client.pending_keep_alive.take().unwrap_or(false)
            && !net.is_peer_closed(token)
            && !self.is_closing;
        let mut headers = headers.to_vec();
        if !keep {
            headers.push(("Connection", "close"));
        }
        let line = format!("HTTP/1.1 {status} {}", http::reason_phrase(status));
        net.write(token, &http::encode_message(&line, &headers, b""));
        if !keep {
            self.close(net, token);
        }
    }

    /// Answers a request that cannot be taken further, and closes: what follows it cannot be told apart.
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

    /// Closes every connection that has no request under way. Says whether none is left.
    pub fn close_idle(&mut self, net: &mut Net) -> bool {
        // Guards against requests that came since the last look, or are about to, on a connection just made.
        let idle = |net: &mut Net, token: Token, client: &Client| {
            client.has_sent_request && client.pending_keep_alive.is_none() && !net.has_unread(token)
        };
        let closing: Vec<Token> =
            self.clients.iter().filter(|(token, c)| idle(net, **token, c)).map(|(token, _)| *token).collect();
        closing.into_iter().for_each(|token| self.close(net, token));
        self.clients.is_empty()
    }
}

/// What a request hands in, if it says all that is needed.
fn parse_submission(request: Request) -> Option<Submission> {
    let word = |name: &str| {
        let value = request.header(name).filter(|value| !value.is_empty());
        match value {
            Some(value) if value.len() > MAX_VALUE_BYTES => Err(()),
            // Guards against passing something on without its key, say, because that cannot be read.
            None if request.is_header_not_text(name) => Err(()),
            value => Ok(value.map(str::to_owned)),
        }
    };
    let first = request.path.split('/').find(|part| !part.is_empty()).map(str::to_owned);
    let envelope = request.header("Envelope")?;
    let mut fields = envelope.split([',', ';']).filter_map(|field| field.trim().split_once('='));
    let destination = fields.find(|(name, _)| name.trim() == "dest")?.1;
    let key = form_urlencoded::parse(request.query.as_bytes()).find(|(name, _)| name == "key");
    let key = key.map(|(_, key)| key.into_owned()).filter(|key| !key.is_empty());
    let words = Attributes {
        id: word("Request-Id").ok()??,
        topic: word("Request-Class").ok()?.or(first)?,
        account: word("Tenant").ok()?,
        key: if key.as_ref().is_some_and(|key| key.len() > MAX_VALUE_BYTES) { return None } else { key },
        idempotency_key: word("Idempotency-Key").ok()?,
        destination: destination.trim().parse().ok()?,
    };
    let time_left = Span::from_millis(request.header("Request-Timeout-Ms")?.parse().ok()?);
    Some(Submission { attributes: words, time_left, body: request.body })
}
