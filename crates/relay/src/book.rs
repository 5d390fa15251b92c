//! The last stage: owns the notices of ends that clients are still to hear of. It must never end a
//! notification itself, and forgets a notice only when it was answered.

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperwing::time::{Span, Time};
use serde::Serialize;

use crate::event_loop::{Happening, Net, Role, Token};
use crate::http;
use crate::store::{End, Store};

/// Notices in one request at the most: their ids are 256 bytes at the longest, and a body 64 KiB.
const TOGETHER: usize = 100;
/// A request not answered by then is made again on a new connection.
const SLOW: Span = Span::from_millis(400);
/// The same for one on a connection that was kept: the platform answers at once, so that fell silent. Repeated so soon,
/// an end that came with the time to live is still heard within the 300 ms that it has.
const SLOW_KEPT: Span = Span::from_millis(100);
/// The first pause after a request that failed, doubling up to the longest.
const FIRST_PAUSE: Span = Span::from_millis(20);
const LONGEST_PAUSE: Span = Span::from_millis(1_000);

#[derive(Serialize)]
struct Notice<'a> {
    message: &'a str,
    outcome: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_in_ms: Option<u64>,
}

/// What has come of notices.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// These were answered.
    pub heard: Vec<u64>,
    /// The platform cannot read this one; there is no use in repeating it.
    pub unreadable: Option<u64>,
}

pub struct Book {
    address: SocketAddr,
    /// Ends of which notices are still to be written, and those of the request under way.
    waiting: VecDeque<u64>,
    asked: Vec<u64>,
    connection: Option<Token>,
    pause: Span,
    next: Time,
    /// One notice at a time, for one among several could not be read.
    alone: bool,
}

impl Book {
    pub fn new(address: SocketAddr) -> Book {
        Book {
            address,
            waiting: VecDeque::new(),
            asked: Vec::new(),
            connection: None,
            pause: Span::ZERO,
            next: Time::default(),
            alone: false,
        }
    }

    /// Notes that a client is to hear of the end that the store has for a notification.
    pub fn owe(&mut self, n: u64) {
        self.waiting.push_back(n);
    }

    /// When notices that wait may be written.
    pub fn due(&self) -> Time {
        if self.waiting.is_empty() || !self.asked.is_empty() { Time::NEVER } else { self.next }
    }

    /// Writes the notices that wait, if none are under way.
    pub fn write(&mut self, net: &mut Net, store: &Store, now: Time) {
        if self.due() > now {
            return;
        }
        let (token, slow) = match self.connection.filter(|token| !net.ended(*token)) {
            Some(token) => (token, SLOW_KEPT),
            None => match net.open(self.address, Role::Notices) {
                Ok(token) => (token, SLOW),
                Err(_) => return self.failed(net, now),
            },
        };
        self.connection = Some(token);
        let count = if self.alone { 1 } else { TOGETHER.min(self.waiting.len()) };
        self.asked = self.waiting.drain(..count).collect();
        let mut body = Vec::new();
        for taken in self.asked.iter().filter_map(|n| store.get(*n)).map(|kept| &kept.taken) {
            let Some(end) = taken.history.end else { continue };
            let (outcome, retry_in_ms) = match end {
                End::GivenUp => ("given_up", None),
                End::HandedBack(ms) => ("handed_back", Some(ms).filter(|ms| *ms > 0)),
            };
            let notice = Notice { message: &taken.words.id, outcome, retry_in_ms };
            serde_json::to_writer(&mut body, &notice).expect("a notice is plain text");
            body.push(b'\n');
        }
        let host = self.address.to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/x-ndjson")];
        net.write(token, &http::message("POST /v1/notices HTTP/1.1", &headers, &body));
        net.due(token, now + slow);
    }

    /// The platform is at another address from now on: what was under way is asked there anew, at once.
    pub fn moves(&mut self, net: &mut Net, to: SocketAddr, now: Time) {
        self.address = to;
        self.failed(net, now);
        (self.pause, self.next) = (Span::ZERO, now);
    }

    fn failed(&mut self, net: &mut Net, now: Time) {
        if let Some(token) = self.connection.take() {
            net.close(token);
        }
        for n in self.asked.drain(..).rev() {
            self.waiting.push_front(n);
        }
        self.pause = (self.pause + self.pause).max(FIRST_PAUSE).min(LONGEST_PAUSE);
        self.next = now + self.pause;
    }

    /// What happened on the connection that notices go by.
    pub fn happened(&mut self, net: &mut Net, token: Token, what: Happening, now: Time) -> Heard {
        let mut heard = Heard::default();
        if what == Happening::Up {
            return heard;
        }
        if self.connection != Some(token) {
            net.close(token);
            return heard;
        }
        let ended = what != Happening::Data;
        let Some(input) = net.input(token) else { return heard };
        match http::response(input, ended) {
            Ok(Some((response, length))) if !self.asked.is_empty() => {
                input.drain(..length);
                net.due(token, Time::NEVER);
                match response.status {
                    200..300 => {
                        (self.pause, self.alone) = (Span::ZERO, false);
                        heard.heard = std::mem::take(&mut self.asked);
                    }
                    400 if self.asked.len() == 1 => heard.unreadable = self.asked.pop(),
                    status => {
                        self.alone = status == 400;
                        self.failed(net, now);
                        return heard;
                    }
                }
                if !response.keep || ended {
                    self.connection = None;
                    net.close(token);
                }
            }
            Ok(None) if !ended => {}
            // Idle and closed by the platform; or broken, silent or unreadable, and to be asked again.
            _ if self.asked.is_empty() => {
                self.connection = None;
                net.close(token);
            }
            _ => self.failed(net, now),
        }
        heard
    }
}
