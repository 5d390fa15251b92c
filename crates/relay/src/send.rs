//! The fourth stage: owns the calls that are out and the connections to endpoints, idle ones included. It
//! must never choose an endpoint, send again of its own accord, or hold a push back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use juniperwing::interface::{CallStatus, EndpointId, NotificationId, RateLimitReport};
use juniperwing::time::{Span, Time};
use juniperwing_settings::{Connections, Settings};
use serde::Serialize;

use crate::discovery::Place;
use crate::event_loop::{Happening, Net, Role, Token};
use crate::http;
use crate::relay::{self, Fate};

/// Idle connections are closed after this share of the time after which their endpoint closes them, so that
/// no push crosses the closing.
const RETIRED_AT: f64 = 0.9;

/// Guards against answers that never end: one is whole so long after its first bytes, or it is spoilt.
const SLOW: Span = Span::from_millis(500);

/// Guards against waits told in answers that cross the end of their call: its connection is read on for so long.
const LAST_WORDS: Span = Span::from_millis(1_000);

/// A notification to be pushed.
pub struct Push<'a> {
    pub ntf: NotificationId,
    pub id: &'a str,
    pub idempotency_key: Option<&'a str>,
    pub body: &'a [u8],
    /// Which of its pushes this is.
    pub push: u32,
    /// Others with its key wait for it.
    pub ordered: bool,
    pub time_out: Span,
    /// It is not to go out to the endpoint after that.
    pub send_within: Span,
}

struct Member {
    ntf: NotificationId,
    id: String,
    push: u32,
    ordered: bool,
    deadline: Time,
    send_by: Time,
    /// Its item of a call of several, until that is written.
    item: Vec<u8>,
    /// Its outcome is still to come.
    out: bool,
}

struct Call {
    endpoint: EndpointId,
    zone: Arc<str>,
    sent: Time,
    connect_by: Time,
    /// When an answer that has begun must be whole.
    whole_by: Time,
    /// A single push that read 200 in the first line of its answer before its time was up.
    delivered: bool,
    /// The wait in the head of an answer that is not whole yet has been told.
    told: bool,
    many: bool,
    /// What goes out once the connection is up; nothing once it has been written.
    unwritten: Option<Unwritten>,
    /// Empty for a probe.
    members: Vec<Member>,
}

enum Unwritten {
    /// A message for one notification, or a probe.
    Whole(Vec<u8>),
    /// A call of several to this host, of the items of whatever is still wanted then.
    Several(String),
}

/// How a push ended; without a notification, how a probe did.
#[derive(Debug)]
pub struct Ended {
    pub ntf: Option<NotificationId>,
    pub push: u32,
    pub endpoint: EndpointId,
    pub fate: Fate,
    pub spent: Span,
    pub wait: Option<Span>,
    pub limit: Option<RateLimitReport>,
}

#[derive(Serialize)]
struct Item<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

impl<'a> Item<'a> {
    fn of(push: &Push<'a>) -> Item<'a> {
        Item { id: push.id, key: push.idempotency_key, body: STANDARD.encode(push.body) }
    }
}

pub struct Send {
    connections: Connections,
    most: usize,
    calls: BTreeMap<Token, Call>,
    /// Connections that are up, with a call that has not been written.
    ready: Vec<Token>,
    idle: BTreeMap<EndpointId, Vec<Token>>,
    resting: BTreeMap<Token, EndpointId>,
    /// Connections of calls that are over, on which an answer may still come.
    leaving: BTreeMap<Token, EndpointId>,
    /// Were in a call of several that its endpoint could not read; each goes in a call of its own.
    apart: BTreeSet<NotificationId>,
    ended: Vec<Ended>,
    told: Vec<(EndpointId, Span)>,
}

impl Send {
    /// With at most so many connections to endpoints.
    pub fn new(connections: Connections, most: usize) -> Send {
        let (calls, idle, resting) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (ready, ended) = (Vec::new(), Vec::new());
        let (leaving, apart, told) = (BTreeMap::new(), BTreeSet::new(), Vec::new());
        Send { connections, most, calls, ready, idle, resting, leaving, apart, ended, told }
    }

    /// Goes by other settings from now on; connections under way keep the times they were given. Idle ones go where
    /// that would be too long.
    pub fn adopt(&mut self, net: &mut Net, connections: Connections) {
        let told = |span: Span| if span > Span::ZERO { span.as_nanos() } else { u64::MAX };
        if told(connections.idle_timeout) < told(self.connections.idle_timeout) {
            self.idle.clear();
            std::mem::take(&mut self.resting).into_keys().for_each(|token| net.close(token));
        }
        self.connections = connections;
    }

    /// All outcomes since this was last asked.
    pub fn take_ended(&mut self) -> Vec<Ended> {
        std::mem::take(&mut self.ended)
    }

    /// The waits told in answers to calls that were over, since this was last asked.
    pub fn take_told(&mut self) -> Vec<(EndpointId, Span)> {
        std::mem::take(&mut self.told)
    }

    /// Whether outcomes wait to be taken.
    pub fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Calls that are out.
    pub fn out(&self) -> usize {
        self.calls.len()
    }

    /// Sends notifications to one endpoint: in one call if they fit, else in as few as possible.
    pub fn push(
        &mut self, net: &mut Net, endpoint: &EndpointId, place: Option<&Place>, pushes: &[Push<'_>],
        now: Time,
    ) {
        if !self.connections.is_hedging_allowed {
            pushes.iter().for_each(|push| self.abandon(net, push.ntf, now));
        }
        let (mut rest, per_call) = (pushes, place.map_or(1, |place| place.per_call()));
        while !rest.is_empty() {
            let (mut count, mut size) = (1, encoded(&rest[0]));
            let joins = |push: &Push<'_>| !self.apart.contains(&push.ntf);
            while count < per_call.min(rest.len())
                && size + encoded(&rest[count]) < http::BODY_MOST
                && joins(&rest[0])
                && joins(&rest[count])
            {
                size += encoded(&rest[count]);
                count += 1;
            }
            let (call, later) = rest.split_at(count);
            self.call(net, endpoint, place, call, now);
            rest = later;
        }
    }

    fn call(
        &mut self, net: &mut Net, endpoint: &EndpointId, place: Option<&Place>, pushes: &[Push<'_>],
        now: Time,
    ) {
        let several = pushes.len() > 1;
        let item = |push: &Push<'_>| serde_json::to_vec(&Item::of(push)).expect("items are plain text");
        let members = pushes.iter().map(|push| Member {
            ntf: push.ntf,
            id: push.id.to_owned(),
            push: push.push,
            ordered: push.ordered,
            deadline: now + push.time_out,
            send_by: now + push.send_within,
            item: if several { item(push) } else { Vec::new() },
            out: true,
        });
        let members = members.collect();
        let unwritten = |host: &str| {
            let [push] = pushes else { return Unwritten::Several(host.to_owned()) };
            let time_out = whole_millis(push.time_out);
            let mut headers =
                vec![("Host", host), ("Request-Timeout-Ms", time_out.as_str()), ("Request-Id", push.id)];
            headers.extend(push.idempotency_key.map(|key| ("Idempotency-Key", key)));
            Unwritten::Whole(http::message("POST /hook HTTP/1.1", &headers, push.body))
        };
        self.start(net, endpoint, place, members, unwritten, now);
    }

    /// Writes the calls whose connections are up: what is not wanted any more, or would come too late, is left
    /// out. Every call passes here, after all that a turn brings is known and decided. Gives what is in them, and
    /// the zone it goes to: no byte of it may go out before that is on record.
    pub fn write(&mut self, net: &mut Net, now: Time) -> Vec<(NotificationId, Arc<str>)> {
        let mut gone = Vec::new();
        for token in std::mem::take(&mut self.ready) {
            let late = |member: &Member| member.out && member.send_by <= now;
            if self.calls.get(&token).is_some_and(|call| call.members.iter().any(late)) {
                self.end_members(net, token, CallStatus::NoConnection, now, late);
            }
            let Some(call) = self.calls.get_mut(&token) else { continue };
            let unwritten = call.unwritten.take();
            if unwritten.is_some() {
                let out = call.members.iter().filter(|member| member.out);
                gone.extend(out.map(|member| (member.ntf, call.zone.clone())));
            }
            match unwritten {
                Some(Unwritten::Whole(bytes)) => net.write(token, &bytes),
                Some(Unwritten::Several(host)) => {
                    call.members.retain(|member| member.out);
                    let deadlines = call.members.iter().map(|member| member.deadline.since(now));
                    let time_out = whole_millis(deadlines.max().unwrap_or_default());
                    let items = call.members.iter_mut().map(|member| std::mem::take(&mut member.item));
                    let body = [b"[", items.collect::<Vec<_>>().join(&b',').as_slice(), b"]"].concat();
                    let headers = [
                        ("Host", host.as_str()),
                        ("Request-Timeout-Ms", &time_out),
                        ("Content-Type", "application/json"),
                    ];
                    net.write(token, &http::message("POST /hook/batch HTTP/1.1", &headers, &body));
                }
                None => {}
            }
            net.due(token, call.due());
        }
        gone
    }

    /// Asks an endpoint for its health.
    pub fn probe(&mut self, net: &mut Net, endpoint: &EndpointId, place: Option<&Place>, now: Time) {
        let message =
            |host: &str| Unwritten::Whole(http::message("GET /health HTTP/1.1", &[("Host", host)], b""));
        self.start(net, endpoint, place, Vec::new(), message, now);
    }

    fn start(
        &mut self, net: &mut Net, endpoint: &EndpointId, place: Option<&Place>, members: Vec<Member>,
        unwritten: impl FnOnce(&str) -> Unwritten, now: Time,
    ) {
        let connect = Some(self.connections.connect_timeout).filter(|span| *span > Span::ZERO);
        let connect_by = connect.map_or(Time::NEVER, |span| now + span);
        let whole_by = Time::NEVER;
        let unwritten = place.map(|place| unwritten(&place.dial.to_string()));
        let many = members.len() > 1;
        let call = Call {
            endpoint: endpoint.clone(),
            zone: place.map(Place::zone).unwrap_or_default(),
            sent: now,
            connect_by,
            whole_by,
            delivered: false,
            told: false,
            many,
            unwritten,
            members,
        };
        let token = place.and_then(|place| self.connection(net, endpoint, place));
        let Some(token) = token else { return self.fail(call, CallStatus::NoConnection, now) };
        if net.connected(token) {
            self.ready.push(token);
        }
        net.due(token, call.due());
        self.calls.insert(token, call);
    }

    /// The idle connection used last, or a new one.
    fn connection(&mut self, net: &mut Net, endpoint: &EndpointId, place: &Place) -> Option<Token> {
        while let Some(token) = self.idle.get_mut(endpoint).and_then(Vec::pop) {
            self.resting.remove(&token);
            // Guards against what an endpoint sends beyond its answer: it would be taken for the answer to come.
            if !net.ended(token) && !net.has_unread(token) {
                return Some(token);
            }
            net.close(token);
        }
        self.idle.remove(endpoint);
        // Guards against more connections than there are descriptors: one without a call makes room.
        if self.calls.len() + self.resting.len() + self.leaving.len() >= self.most {
            let (token, _) = self.leaving.first_key_value().or(self.resting.first_key_value())?;
            self.retire(net, *token);
        }
        net.open(place.dial, Role::Endpoint).ok()
    }

    fn retire(&mut self, net: &mut Net, token: Token) {
        self.leaving.remove(&token);
        if let Some(endpoint) = self.resting.remove(&token)
            && let Some(tokens) = self.idle.get_mut(&endpoint)
        {
            tokens.retain(|idle| *idle != token);
            if tokens.is_empty() {
                self.idle.remove(&endpoint);
            }
        }
        net.close(token);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, net: &mut Net, endpoint: &EndpointId) {
        for token in self.idle.remove(endpoint).unwrap_or_default() {
            self.resting.remove(&token);
            net.close(token);
        }
    }

    /// An endpoint drains, is gone or has moved.
    pub fn left(&mut self, net: &mut Net, endpoint: &EndpointId, now: Time) {
        self.close_idle(net, endpoint);
        self.recall(net, endpoint, now);
    }

    /// What has not all been handed to the system yet, since its connection is not up or its endpoint does not read,
    /// must not arrive at the endpoint any more. It ends as not sent.
    pub fn recall(&mut self, net: &mut Net, endpoint: &EndpointId, now: Time) {
        let there = self.calls.iter().filter(|(_, call)| call.endpoint == *endpoint);
        let tokens: Vec<Token> = there.map(|(token, _)| *token).collect();
        for token in tokens {
            if self.is_unsent(net, token) {
                self.broke(net, token, CallStatus::Skipped, now);
            }
        }
    }

    /// Nothing more is sent for a notification.
    pub fn forget(&mut self, ntf: NotificationId) {
        self.apart.remove(&ntf);
    }

    /// Calls a push off.
    pub fn cancel(&mut self, net: &mut Net, ntf: NotificationId, push: u32, now: Time) {
        let is = |m: &Member| m.out && m.ntf == ntf && m.push == push;
        let found = self.calls.iter().find(|(_, call)| call.members.iter().any(is)).map(|(token, _)| *token);
        if let Some(token) = found {
            self.end_members(net, token, CallStatus::Cancelled, now, is);
        }
    }

    /// Closes the connection of any call that a notification was in, though it has its outcome, for a copy is
    /// about to go out and there may not be two. Whatever else was in that call is called off with it.
    fn abandon(&mut self, net: &mut Net, ntf: NotificationId, now: Time) {
        let holds = |call: &Call| call.members.iter().any(|member| member.ntf == ntf);
        while let Some(token) = self.calls.iter().find(|(_, call)| holds(call)).map(|(token, _)| *token) {
            self.end_members(net, token, CallStatus::Cancelled, now, |member| member.out);
        }
    }

    /// Ends some of a call's pushes. With the last, its connection is closed. So it is with one that others of its
    /// key wait for: as long as the call is out it may still run, and they would overtake it.
    fn end_members(
        &mut self, net: &mut Net, token: Token, status: CallStatus, now: Time,
        which: impl Fn(&Member) -> bool,
    ) {
        let Some(call) = self.calls.get_mut(&token) else { return };
        // What has not been written never ran, and is left out when the rest is. What waits half sent may still go.
        let unwritten = call.unwritten.is_some();
        let status = match status {
            _ if unwritten => CallStatus::NoConnection,
            _ if call.delivered => CallStatus::Delivered,
            status => status,
        };
        let mut closes = false;
        for member in call.members.iter_mut().filter(|member| which(member)) {
            (member.out, closes) = (false, closes || member.ordered && !unwritten);
            self.ended.push(call_ended(&call.endpoint, Some(member), status, now.since(call.sent)));
        }
        if !closes && call.members.iter().any(|member| member.out) {
            net.due(token, call.due());
        } else {
            self.broke(net, token, CallStatus::Cancelled, now);
        }
    }

    /// What happened on a connection to an endpoint.
    pub fn happened(&mut self, net: &mut Net, token: Token, what: Happening, settings: &Settings, now: Time) {
        let Some(call) = self.calls.get(&token) else {
            if let Some(endpoint) = self.leaving.get(&token).filter(|_| what != Happening::Due) {
                match net.input(token).map(|input| http::final_head(input)) {
                    Some(Ok(Some(head))) => {
                        let wait = relay::wait(&head.headers);
                        self.told.extend(wait.map(|wait| (endpoint.clone(), wait)));
                    }
                    Some(Ok(None)) if what != Happening::Ended => return,
                    _ => {}
                }
            }
            // Idle: its time is up, its endpoint closed it, or it sends what nobody asked for.
            return self.retire(net, token);
        };
        // Guards against an answer read in the turn in which time is up: it may have come after, when it speaks of
        // what is over.
        if what != Happening::Due && call.members.iter().any(|member| member.out && member.deadline <= now) {
            self.happened(net, token, Happening::Due, settings, now);
            if !self.calls.contains_key(&token) {
                return;
            }
        }
        let never = self.is_unsent(net, token);
        let Some(call) = self.calls.get_mut(&token) else { return };
        match what {
            Happening::Accepted => {}
            Happening::Up => self.ready.push(token),
            Happening::Data | Happening::Ended => {
                let ended = what == Happening::Ended;
                let Some(input) = net.input(token) else { return };
                let read = http::response(input, ended);
                // Guards against an answer whose rest is late, spoilt or never comes: its wait binds from its head on.
                if !matches!(read, Ok(Some(_)))
                    && !call.told
                    && let Ok(Some(head)) = http::final_head(input)
                {
                    call.told = true;
                    let wait = relay::wait(&head.headers);
                    self.told.extend(wait.map(|wait| (call.endpoint.clone(), wait)));
                }
                match read {
                    Ok(Some((response, length))) => {
                        let clean = response.keep && length == input.len() && !ended;
                        input.clear();
                        self.answered(net, token, &response, (clean, never), settings, now);
                    }
                    // Nothing is to be written behind what speaks of something else.
                    Ok(None) if !ended && call.unwritten.is_some() => {
                        self.broke(net, token, CallStatus::NoConnection, now);
                    }
                    Ok(None) if !ended => {
                        if http::has_begun(input) {
                            call.delivered = !never && !call.many && http::first_line(input) == Some(200);
                            call.whole_by = call.whole_by.min(now + SLOW);
                            net.due(token, call.due());
                        }
                    }
                    broken => {
                        // A single push is delivered with the first line of its answer.
                        let delivered = !call.many && http::first_line(input) == Some(200);
                        let status = match broken {
                            _ if never => CallStatus::NoConnection,
                            _ if delivered => CallStatus::Delivered,
                            Err(_) => CallStatus::Error,
                            _ => CallStatus::Reset,
                        };
                        self.broke(net, token, status, now);
                    }
                }
            }
            Happening::Due => {
                if never && call.connect_by <= now {
                    return self.broke(net, token, CallStatus::NoConnection, now);
                }
                let status = match (call.delivered, never) {
                    (_, true) => CallStatus::NoConnection,
                    (true, _) => CallStatus::Delivered,
                    _ if call.whole_by <= now => CallStatus::Error,
                    _ => CallStatus::TimedOut,
                };
                if call.members.is_empty() || call.whole_by <= now {
                    return self.broke(net, token, status, now);
                }
                // Once it is up only the pushes' own time-outs count.
                call.connect_by = if never { call.connect_by } else { Time::NEVER };
                let over = |member: &Member| member.deadline <= now || never && member.send_by <= now;
                self.end_members(net, token, status, now, |member| member.out && over(member));
            }
        }
    }

    fn answered(
        &mut self, net: &mut Net, token: Token, response: &http::Response, (clean, never): (bool, bool),
        settings: &Settings, now: Time,
    ) {
        let Some(call) = self.calls.remove(&token) else { return };
        let (wait, limit) = (relay::wait(&response.headers), relay::limit(response, settings));
        let (endpoint, spent) = (&call.endpoint, now.since(call.sent));
        if call.members.is_empty() {
            let fate = relay::fates(response, &[""], false)[0];
            let endpoint = endpoint.clone();
            self.ended.push(Ended { ntf: None, push: 0, endpoint, fate, spent, wait, limit });
        }
        let ids: Vec<&str> = call.members.iter().map(|member| member.id.as_str()).collect();
        let mut fates = relay::fates(response, &ids, call.many);
        // Guards against an answer that comes before its call has gone out: but for one that turns the connection
        // away it speaks of something else, and none of the call ran.
        if never {
            let of =
                |fate: &Fate| matches!(fate.status, CallStatus::Busy | CallStatus::ConnectionLimitReached);
            let none = Fate::of(CallStatus::NoConnection);
            fates.iter_mut().filter(|fate| !of(fate)).for_each(|fate| *fate = none);
        }
        // Guards against one that spoils the call for all that go with it, again and again.
        if !never && call.many && relay::unreadable(response) {
            self.apart.extend(call.members.iter().map(|member| member.ntf));
        }
        for (member, fate) in call.members.iter().zip(fates).filter(|(member, _)| member.out) {
            let (ntf, endpoint) = (Some(member.ntf), endpoint.clone());
            self.ended.push(Ended { ntf, push: member.push, endpoint, fate, spent, wait, limit });
        }
        if clean && !never {
            let idle = Some(self.connections.idle_timeout).filter(|span| *span > Span::ZERO);
            net.due(token, idle.map_or(Time::NEVER, |span| now + span.mul_f64(RETIRED_AT)));
            self.idle.entry(call.endpoint.clone()).or_default().push(token);
            self.resting.insert(token, call.endpoint);
        } else {
            net.close(token);
        }
    }

    /// Whether the last byte of a call has not been handed to the system: then it never ran.
    fn is_unsent(&self, net: &mut Net, token: Token) -> bool {
        let unwritten = self.calls.get(&token).is_some_and(|call| call.unwritten.is_some());
        unwritten || !net.connected(token) || net.unsent(token) > 0
    }

    /// The call is over without an answer: whatever of it is still out ends so, and its connection is closed.
    fn broke(&mut self, net: &mut Net, token: Token, status: CallStatus, now: Time) {
        let waited_for = matches!(status, CallStatus::TimedOut | CallStatus::Cancelled);
        let heard = waited_for && !self.is_unsent(net, token) && !net.ended(token);
        if let Some(call) = self.calls.get(&token).filter(|_| heard) {
            net.stop_sending(token);
            net.due(token, now + LAST_WORDS);
            self.leaving.insert(token, call.endpoint.clone());
        } else {
            net.close(token);
        }
        if let Some(call) = self.calls.remove(&token) {
            self.fail(call, status, now);
        }
    }

    fn fail(&mut self, call: Call, status: CallStatus, now: Time) {
        let ended = |member| call_ended(&call.endpoint, member, status, now.since(call.sent));
        if call.members.is_empty() {
            self.ended.push(ended(None));
        }
        let members = call.members.iter().filter(|member| member.out);
        self.ended.extend(members.map(|member| ended(Some(member))));
    }
}

impl Call {
    /// When the next of its pushes times out, or its connection should be up.
    fn due(&self) -> Time {
        let unwritten = self.unwritten.is_some();
        let last = |member: &Member| {
            if unwritten { member.deadline.min(member.send_by) } else { member.deadline }
        };
        let deadlines = self.members.iter().filter(|member| member.out).map(last);
        deadlines.min().unwrap_or(Time::NEVER).min(self.connect_by).min(self.whole_by)
    }
}

/// As a header states it.
fn whole_millis(span: Span) -> String {
    (span.as_nanos() / 1_000_000).max(1).to_string()
}

/// A push, or without one a probe, that ended with no answer.
fn call_ended(endpoint: &EndpointId, member: Option<&Member>, status: CallStatus, spent: Span) -> Ended {
    let (ntf, push) = (member.map(|member| member.ntf), member.map_or(0, |member| member.push));
    let (endpoint, fate) = (endpoint.clone(), Fate::of(status));
    Ended { ntf, push, endpoint, fate, spent, wait: None, limit: None }
}

/// The most a notification takes in the body of a call of several.
fn encoded(push: &Push<'_>) -> usize {
    let text = 2 * (push.id.len() + push.idempotency_key.map_or(0, str::len));
    push.body.len().div_ceil(3) * 4 + text + 32
}
