//! The first stage: owns the client connections, reads requests and writes their answers. It must never
//! answer a notification on its own, except where the request cannot be read or does not say what is needed.

use std::collections::BTreeMap;

use juniperwing::time::{Span, Time};

use crate::event_loop::{Happening, Net, Token};
use crate::http::{self, Request};
use crate::store::Words;

/// Guards against slow and silent clients: a request is whole so long after its first byte, the first on a
/// connection so long after that was accepted, or the connection goes. No client waits as long for its answer.
const SLOW: Span = Span::from_millis(2_000);
/// A connection with no request for so long is closed.
const IDLE: Span = Span::from_millis(60_000);
/// Guards against clients that ask and never read: so many bytes of answers may wait for one.
const UNREAD_MOST: usize = 16 * 1024;
/// The longest id, key or name that is taken.
const WORD_MOST: usize = 256;

/// A notification as a client handed it in.
#[derive(Debug, PartialEq)]
pub struct HandedIn {
    pub words: Words,
    pub time_left: Span,
    pub body: Vec<u8>,
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
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
    Unknown,
}

struct Client {
    /// Since when it has sent or been told nothing.
    quiet: Time,
    /// Has handed in a whole request.
    asked: bool,
    /// When the request at hand began to come in.
    begun: Option<Time>,
    /// A request is being decided on, and whether the connection stays open after it.
    asking: Option<bool>,
    /// Told to go on with the body.
    told: bool,
}

#[derive(Default)]
pub struct TakeIn {
    clients: BTreeMap<Token, Client>,
    /// Says 503 at `/ready`.
    pub stopping: bool,
    /// Each answer says that its connection closes, so that no further request crosses the closing.
    pub closing: bool,
}

impl TakeIn {
    /// Reads what a client sent: at most one notification, whose answer is owed before the next is read.
    pub fn happened(&mut self, net: &mut Net, token: Token, what: Happening, now: Time) -> Option<HandedIn> {
        match what {
            Happening::Accepted => {
                self.make_room(net);
                let client = Client { quiet: now, asked: false, begun: None, asking: None, told: false };
                self.clients.insert(token, client);
                net.due(token, now + SLOW);
                None
            }
            Happening::Up => None,
            Happening::Data => self.read(net, token, now),
            Happening::Ended => {
                // What came whole before the end was read with it and has its answer in this turn.
                if self.clients.get(&token).is_some_and(|client| client.asking.is_none()) {
                    self.leave(net, token);
                }
                None
            }
            Happening::Due => {
                if self.clients.get(&token).is_some_and(|client| client.begun.is_some()) {
                    self.reject(net, token, 408);
                } else {
                    self.leave(net, token);
                }
                None
            }
        }
    }

    /// Guards against clients that keep all connections and use none: the one quiet longest makes room, or else the
    /// one that has been longest at sending a request.
    fn make_room(&mut self, net: &mut Net) {
        let (open, most) = net.clients();
        if open < most {
            return;
        }
        let idle = self.clients.iter().filter(|(_, client)| client.asking.is_none());
        let mut idle: Vec<_> = idle.map(|(token, client)| (client.begun, client.quiet, *token)).collect();
        idle.sort();
        // One that has asked, unread as yet, only if there is no other.
        let unasked = idle.iter().find(|(_, _, token)| !net.has_unread(*token));
        if let Some((_, _, token)) = unasked.or(idle.first()).copied() {
            self.clients.remove(&token);
            net.close(token);
        }
    }

    fn read(&mut self, net: &mut Net, token: Token, now: Time) -> Option<HandedIn> {
        loop {
            let client = self.clients.get_mut(&token).filter(|client| client.asking.is_none())?;
            if net.unsent(token) > UNREAD_MOST {
                self.clients.remove(&token);
                net.close(token);
                return None;
            }
            let input = net.input(token)?;
            if input.is_empty() {
                return None;
            }
            let (request, length) = match http::request(input) {
                Ok(Some(read)) => read,
                Ok(None) => {
                    let go_on = !client.told && http::expects_continue(input);
                    client.told |= go_on;
                    let begun = *client.begun.get_or_insert(now);
                    if client.asked {
                        net.due(token, begun + SLOW);
                    }
                    if go_on {
                        net.write(token, b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                    return None;
                }
                Err(unreadable) => {
                    self.reject(net, token, unreadable.0);
                    return None;
                }
            };
            input.drain(..length);
            input.shrink_to(0);
            (client.asked, client.begun, client.told, client.quiet) = (true, None, false, now);
            client.asking = Some(request.keep);
            net.due(token, now + IDLE);
            match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/ready") => {
                    let status = if self.stopping { 503 } else { 200 };
                    self.respond(net, token, status, &[]);
                }
                (_, "/ready") => self.respond(net, token, 405, &[("Allow", "GET")]),
                ("POST", _) => match notification(request) {
                    Some(handed_in) => return Some(handed_in),
                    None => self.reject(net, token, 400),
                },
                _ => self.respond(net, token, 404, &[]),
            }
        }
    }

    /// Answers the notification that a client has handed in.
    pub fn answer(&mut self, net: &mut Net, token: Token, answer: Answer) {
        match answer {
            Answer::Accepted => self.respond(net, token, 202, &[]),
            Answer::Throttled(Span::ZERO) => self.respond(net, token, 429, &[]),
            Answer::Throttled(wait) => {
                let wait = format!("{:.3}", wait.as_secs_f64());
                self.respond(net, token, 429, &[("Retry-After", &wait)]);
            }
            Answer::Unavailable => self.respond(net, token, 503, &[]),
            Answer::Expired => self.respond(net, token, 504, &[]),
            Answer::Malformed => self.reject(net, token, 400),
            Answer::Unknown => self.respond(net, token, 404, &[]),
        }
        // A client that sent more than one request at a time has the next read now.
        if net.input(token).is_some_and(|input| !input.is_empty()) {
            net.again(token);
        }
    }

    fn respond(&mut self, net: &mut Net, token: Token, status: u16, headers: &[(&str, &str)]) {
        let Some(client) = self.clients.get_mut(&token) else { return };
        let keep = client.asking.take().unwrap_or(false) && !net.ended(token) && !self.closing;
        let mut headers = headers.to_vec();
        if !keep {
            headers.push(("Connection", "close"));
        }
        let line = format!("HTTP/1.1 {status} {}", http::reason(status));
        net.write(token, &http::message(&line, &headers, b""));
        if !keep {
            self.leave(net, token);
        }
    }

    /// Answers a request that cannot be taken further, and closes: what follows it cannot be told apart.
    fn reject(&mut self, net: &mut Net, token: Token, status: u16) {
        if let Some(client) = self.clients.get_mut(&token) {
            client.asking = Some(false);
        }
        self.respond(net, token, status, &[]);
    }

    fn leave(&mut self, net: &mut Net, token: Token) {
        self.clients.remove(&token);
        net.leave(token);
    }

    /// Closes every connection that has no request under way. Says whether none is left.
    pub fn close_idle(&mut self, net: &mut Net) -> bool {
        // Guards against requests that came since the last look, or are about to, on a connection just made.
        let idle = |net: &mut Net, token: Token, client: &Client| {
            client.asked && client.asking.is_none() && !net.has_unread(token)
        };
        let closing: Vec<Token> =
            self.clients.iter().filter(|(token, c)| idle(net, **token, c)).map(|(token, _)| *token).collect();
        closing.into_iter().for_each(|token| self.leave(net, token));
        self.clients.is_empty()
    }
}

/// What a request hands in, if it says all that is needed.
fn notification(request: Request) -> Option<HandedIn> {
    let word = |name: &str| {
        let value = request.header(name).filter(|value| !value.is_empty());
        match value {
            Some(value) if value.len() > WORD_MOST => Err(()),
            // Guards against passing something on without its key, say, because that cannot be read.
            None if request.is_odd(name) => Err(()),
            value => Ok(value.map(str::to_owned)),
        }
    };
    let first = request.path.split('/').find(|part| !part.is_empty()).map(str::to_owned);
    let envelope = request.header("Envelope")?;
    let mut fields = envelope.split([',', ';']).filter_map(|field| field.trim().split_once('='));
    let destination = fields.find(|(name, _)| name.trim() == "dest")?.1;
    let key = form_urlencoded::parse(request.query.as_bytes()).find(|(name, _)| name == "key");
    let key = key.map(|(_, key)| key.into_owned()).filter(|key| !key.is_empty());
    let words = Words {
        id: word("Request-Id").ok()??,
        topic: word("Request-Class").ok()?.or(first)?,
        account: word("Tenant").ok()?,
        key: if key.as_ref().is_some_and(|key| key.len() > WORD_MOST) { return None } else { key },
        idempotency_key: word("Idempotency-Key").ok()?,
        destination: destination.trim().parse().ok()?,
    };
    let time_left = Span::from_millis(request.header("Request-Timeout-Ms")?.parse().ok()?);
    Some(HandedIn { words, time_left, body: request.body })
}
