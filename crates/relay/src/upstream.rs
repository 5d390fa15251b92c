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

use crate::discovery::KnownEndpoint;
use crate::endpoint_response::{self, PushResult};
use crate::event_loop::{ConnectionEvent, Net, Role, Token};
use crate::http;

/// Idle connections are closed after this share of the time after which their endpoint closes them, so that
/// no push crosses the closing.
const IDLE_TIMEOUT_FRACTION: f64 = 0.9;

/// Guards against answers that never end: one is whole so long after its first bytes, or it is spoilt.
const RESPONSE_COMPLETION_TIMEOUT: Span = Span::from_millis(500);

/// Guards against waits told in answers that cross the end of their call: its connection is read on for so long.
const LATE_RESPONSE_TIMEOUT: Span = Span::from_millis(1_000);

/// A notification to be pushed.
pub struct PushRequest<'a> {
    pub ntf: NotificationId,
    pub id: &'a str,
    pub idempotency_key: Option<&'a str>,
    pub body: &'a [u8],
    /// Which of its pushes this is.
    pub push_number: u32,
    /// Others with its key wait for it.
    pub is_ordered: bool,
    pub timeout: Span,
    /// It is not to go out to the endpoint after that.
    pub send_within: Span,
}

struct InFlightPush {
    ntf: NotificationId,
    id: String,
    push_number: u32,
    is_ordered: bool,
    deadline: Time,
    send_by: Time,
    /// Its item of a call of several, until that is written.
    encoded_item: Vec<u8>,
    /// Its outcome is still to come.
    is_pending: bool,
}

struct Call {
    endpoint: EndpointId,
    zone: Arc<str>,
    started_at: Time,
    connect_by: Time,
    /// When an answer that has begun must be whole.
    complete_by: Time,
    /// A single push that read 200 in the first line of its answer before its time was up.
    has_success_status: bool,
    /// The wait in the head of an answer that is not whole yet has been told.
    is_retry_after_reported: bool,
    is_batch: bool,
    /// What goes out once the connection is up; nothing once it has been written.
    unwritten: Option<UnwrittenRequest>,
    /// Empty for a probe.
    pushes: Vec<InFlightPush>,
}

enum UnwrittenRequest {
    /// A message for one notification, or a probe.
    Encoded(Vec<u8>),
    /// A call of several to this host, of the items of whatever is still wanted then.
    BatchTo(String),
}

/// How a push ended; without a notification, how a probe did.
#[derive(Debug)]
pub struct CallOutcome {
    pub ntf: Option<NotificationId>,
    pub push_number: u32,
    pub endpoint: EndpointId,
    pub result: PushResult,
    pub elapsed: Span,
    pub retry_after: Option<Span>,
    pub limit: Option<RateLimitReport>,
}

#[derive(Serialize)]
struct BatchItem<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

impl<'a> BatchItem<'a> {
    fn from_push(push: &PushRequest<'a>) -> BatchItem<'a> {
        BatchItem { id: push.id, key: push.idempotency_key, body: STANDARD.encode(push.body) }
    }
}

pub struct Upstream {
    connection_settings: Connections,
    max_connections: usize,
    calls: BTreeMap<Token, Call>,
    /// Connections that are up, with a call that has not been written.
    writable_calls: Vec<Token>,
    idle_by_endpoint: BTreeMap<EndpointId, Vec<Token>>,
    idle_connections: BTreeMap<Token, EndpointId>,
    /// Connections of calls that are over, on which an answer may still come.
    late_response_connections: BTreeMap<Token, EndpointId>,
    /// Were in a call of several that its endpoint could not read; each goes in a call of its own.
    unbatchable: BTreeSet<NotificationId>,
    outcomes: Vec<CallOutcome>,
    late_retry_afters: Vec<(EndpointId, Span)>,
}

impl Upstream {
    /// With at most so many connections to endpoints.
    pub fn new(connections: Connections, most: usize) -> Upstream {
        let (calls, idle, resting) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (ready, ended) = (Vec::new(), Vec::new());
        let (leaving, apart, told) = (BTreeMap::new(), BTreeSet::new(), Vec::new());
        Upstream {
            connection_settings: connections,
            max_connections: most,
            calls,
            writable_calls: ready,
            idle_by_endpoint: idle,
            idle_connections: resting,
            late_response_connections: leaving,
            unbatchable: apart,
            outcomes: ended,
            late_retry_afters: told,
        }
    }

    /// Goes by other settings from now on; connections under way keep the times they were given. Idle ones go where
    /// that would be too long.
    pub fn apply_settings(&mut self, net: &mut Net, connections: Connections) {
        let told = |span: Span| if span > Span::ZERO { span.as_nanos() } else { u64::MAX };
        if told(connections.idle_timeout) < told(self.connection_settings.idle_timeout) {
            self.idle_by_endpoint.clear();
            std::mem::take(&mut self.idle_connections).into_keys().for_each(|token| net.close(token));
        }
        self.connection_settings = connections;
    }

    /// All outcomes since this was last asked.
    pub fn take_outcomes(&mut self) -> Vec<CallOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// The waits told in answers to calls that were over, since this was last asked.
    pub fn take_retry_afters(&mut self) -> Vec<(EndpointId, Span)> {
        std::mem::take(&mut self.late_retry_afters)
    }

    /// Whether outcomes wait to be taken.
    pub fn has_outcomes(&self) -> bool {
        !self.outcomes.is_empty()
    }

    /// Calls that are out.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Sends notifications to one endpoint: in one call if they fit, else in as few as possible.
    pub fn push(
        &mut self, net: &mut Net, endpoint: &EndpointId, place: Option<&KnownEndpoint>,
        pushes: &[PushRequest<'_>], now: Time,
    ) {
        if !self.connection_settings.is_hedging_allowed {
            pushes.iter().for_each(|push| self.cancel_earlier_calls(net, push.ntf, now));
        }
        let (mut rest, per_call) = (pushes, place.map_or(1, |place| place.max_notifications_per_call()));
        while !rest.is_empty() {
            let (mut count, mut size) = (1, max_encoded_item_bytes(&rest[0]));
            let joins = |push: &PushRequest<'_>| !self.unbatchable.contains(&push.ntf);
            while count < per_call.min(rest.len())
                && size + max_encoded_item_bytes(&rest[count]) < http::MAX_BODY_BYTES
                && joins(&rest[0])
                && joins(&rest[count])
            {
                size += max_encoded_item_bytes(&rest[count]);
                count += 1;
            }
            let (call, later) = rest.split_at(count);
            self.start_push_call(net, endpoint, place, call, now);
            rest = later;
        }
    }

    fn start_push_call(
        &mut self, net: &mut Net, endpoint: &EndpointId, place: Option<&KnownEndpoint>,
        pushes: &[PushRequest<'_>], now: Time,
    ) {
        let several = pushes.len() > 1;
        let item = |push: &PushRequest<'_>| {
            serde_json::to_vec(&BatchItem::from_push(push)).expect("items are plain text")
        };
        let members = pushes.iter().map(|push| InFlightPush {
            ntf: push.ntf,
            id: push.id.to_owned(),
            push_number: push.push_number,
            is_ordered: push.is_ordered,
            deadline: now + push.timeout,
            send_by: now + push.send_within,
            encoded_item: if several { item(push) } else { Vec::new() },
            is_pending: true,
        });
        let members = members.collect();
        let unwritten = |host: &str| {
            let [push] = pushes else { return UnwrittenRequest::BatchTo(host.to_owned()) };
            let time_out = format_millis(push.timeout);
            let mut headers =
                vec![("Host", host), ("Request-Timeout-Ms", time_out.as_str()), ("Request-Id", push.id)];
            headers.extend(push.idempotency_key.map(|key| ("Idempotency-Key", key)));
            UnwrittenRequest::Encoded(http::encode_message("POST /hook HTTP/1.1", &headers, push.body))
        };
        self.start_call(net, endpoint, place, members, unwritten, now);
    }

    /// Writes the calls whose connections are up: what is not wanted any more, or would come too late, is left
    /// out. Every call passes here, after all that a turn brings is known and decided. Gives what is in them, and
    /// the zone it goes to: no byte of it may go out before that is on record.
    pub fn write_ready_calls(&mut self, net: &mut Net, now: Time) -> Vec<(NotificationId, Arc<str>)> {
        let mut gone = Vec::new();
        for token in std::mem::take(&mut self.writable_calls) {
            let late = |member: &InFlightPush| member.is_pending && member.send_by <= now;
            if self.calls.get(&token).is_some_and(|call| call.pushes.iter().any(late)) {
                self.end_pushes(net, token, CallStatus::NoConnection, now, late);
            }
            let Some(call) = self.calls.get_mut(&token) else { continue };
            let unwritten = call.unwritten.take();
            if unwritten.is_some() {
                let out = call.pushes.iter().filter(|member| member.is_pending);
                gone.extend(out.map(|member| (member.ntf, call.zone.clone())));
            }
            match unwritten {
                Some(UnwrittenRequest::Encoded(bytes)) => net.write(token, &bytes),
                Some(UnwrittenRequest::BatchTo(host)) => {
                    call.pushes.retain(|member| member.is_pending);
                    let deadlines = call.pushes.iter().map(|member| member.deadline.since(now));
                    let time_out = format_millis(deadlines.max().unwrap_or_default());
                    let items = call.pushes.iter_mut().map(|member| std::mem::take(&mut member.encoded_item));
                    let body = [b"[", items.collect::<Vec<_>>().join(&b',').as_slice(), b"]"].concat();
                    let headers = [
                        ("Host", host.as_str()),
                        ("Request-Timeout-Ms", &time_out),
                        ("Content-Type", "application/json"),
                    ];
                    net.write(token, &http::encode_message("POST /hook/batch HTTP/1.1", &headers, &body));
                }
                None => {}
            }
            net.set_deadline(token, call.next_deadline());
        }
        gone
    }

    /// Asks an endpoint for its health.
    pub fn probe(&mut self, net: &mut Net, endpoint: &EndpointId, place: Option<&KnownEndpoint>, now: Time) {
        let message = |host: &str| {
            UnwrittenRequest::Encoded(http::encode_message("GET /health HTTP/1.1", &[("Host", host)], b""))
        };
        self.start_call(net, endpoint, place, Vec::new(), message, now);
    }

    fn start_call(
        &mut self, net: &mut Net, endpoint: &EndpointId, place: Option<&KnownEndpoint>,
        members: Vec<InFlightPush>, unwritten: impl FnOnce(&str) -> UnwrittenRequest, now: Time,
    ) {
        let connect = Some(self.connection_settings.connect_timeout).filter(|span| *span > Span::ZERO);
        let connect_by = connect.map_or(Time::NEVER, |span| now + span);
        let whole_by = Time::NEVER;
        let unwritten = place.map(|place| unwritten(&place.address.to_string()));
        let many = members.len() > 1;
        let call = Call {
            endpoint: endpoint.clone(),
            zone: place.map(KnownEndpoint::zone).unwrap_or_default(),
            started_at: now,
            connect_by,
            complete_by: whole_by,
            has_success_status: false,
            is_retry_after_reported: false,
            is_batch: many,
            unwritten,
            pushes: members,
        };
        let token = place.and_then(|place| self.take_connection(net, endpoint, place));
        let Some(token) = token else { return self.report_failure(call, CallStatus::NoConnection, now) };
        if net.is_connected(token) {
            self.writable_calls.push(token);
        }
        net.set_deadline(token, call.next_deadline());
        self.calls.insert(token, call);
    }

    /// The idle connection used last, or a new one.
    fn take_connection(
        &mut self, net: &mut Net, endpoint: &EndpointId, place: &KnownEndpoint,
    ) -> Option<Token> {
        while let Some(token) = self.idle_by_endpoint.get_mut(endpoint).and_then(Vec::pop) {
            self.idle_connections.remove(&token);
            // Guards against what an endpoint sends beyond its answer: it would be taken for the answer to come.
            if !net.is_peer_closed(token) && !net.has_unread(token) {
                return Some(token);
            }
            net.close(token);
        }
        self.idle_by_endpoint.remove(endpoint);
        // Guards against more connections than there are descriptors: one without a call makes room.
        if self.calls.len() + self.idle_connections.len() + self.late_response_connections.len()
            >= self.max_connections
        {
            let (token, _) = self
                .late_response_connections
                .first_key_value()
                .or(self.idle_connections.first_key_value())?;
            self.close_connection(net, *token);
        }
        net.open(place.address, Role::Endpoint).ok()
    }

    fn close_connection(&mut self, net: &mut Net, token: Token) {
        self.late_response_connections.remove(&token);
        if let Some(endpoint) = self.idle_connections.remove(&token)
            && let Some(tokens) = self.idle_by_endpoint.get_mut(&endpoint)
        {
            tokens.retain(|idle| *idle != token);
            if tokens.is_empty() {
                self.idle_by_endpoint.remove(&endpoint);
            }
        }
        net.close(token);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, net: &mut Net, endpoint: &EndpointId) {
        for token in self.idle_by_endpoint.remove(endpoint).unwrap_or_default() {
            self.idle_connections.remove(&token);
            net.close(token);
        }
    }

    /// An endpoint drains, is gone or has moved.
    pub fn handle_endpoint_withdrawn(&mut self, net: &mut Net, endpoint: &EndpointId, now: Time) {
        self.close_idle(net, endpoint);
        self.cancel_unsent(net, endpoint, now);
    }

    /// What has not all been handed to the system yet, since its connection is not up or its endpoint does not read,
    /// must not arrive at the endpoint any more. It ends as not sent.
    pub fn cancel_unsent(&mut self, net: &mut Net, endpoint: &EndpointId, now: Time) {
        let there = self.calls.iter().filter(|(_, call)| call.endpoint == *endpoint);
        let tokens: Vec<Token> = there.map(|(token, _)| *token).collect();
        for token in tokens {
            if self.is_unsent(net, token) {
                self.end_call(net, token, CallStatus::Skipped, now);
            }
        }
    }

    /// Nothing more is sent for a notification.
    pub fn forget(&mut self, ntf: NotificationId) {
        self.unbatchable.remove(&ntf);
    }

    /// Calls a push off.
    pub fn cancel(&mut self, net: &mut Net, ntf: NotificationId, push: u32, now: Time) {
        let is = |m: &InFlightPush| m.is_pending && m.ntf == ntf && m.push_number == push;
        let found = self.calls.iter().find(|(_, call)| call.pushes.iter().any(is)).map(|(token, _)| *token);
        if let Some(token) = found {
            self.end_pushes(net, token, CallStatus::Cancelled, now, is);
        }
    }

    /// Closes the connection of any call that a notification was in, though it has its outcome, for a copy is
    /// about to go out and there may not be two. Whatever else was in that call is called off with it.
    fn cancel_earlier_calls(&mut self, net: &mut Net, ntf: NotificationId, now: Time) {
        let holds = |call: &Call| call.pushes.iter().any(|member| member.ntf == ntf);
        while let Some(token) = self.calls.iter().find(|(_, call)| holds(call)).map(|(token, _)| *token) {
            self.end_pushes(net, token, CallStatus::Cancelled, now, |member| member.is_pending);
        }
    }

    /// Ends some of a call's pushes. With the last, its connection is closed. So it is with one that others of its
    /// key wait for: as long as the call is out it may still run, and they would overtake it.
    fn end_pushes(
        &mut self, net: &mut Net, token: Token, status: CallStatus, now: Time,
        which: impl Fn(&InFlightPush) -> bool,
    ) {
        let Some(call) = self.calls.get_mut(&token) else { return };
        // What has not been written never ran, and is left out when the rest is. What waits half sent may still go.
        let unwritten = call.unwritten.is_some();
        let status = match status {
            _ if unwritten => CallStatus::NoConnection,
            _ if call.has_success_status => CallStatus::Delivered,
            status => status,
        };
        let mut closes = false;
        for member in call.pushes.iter_mut().filter(|member| which(member)) {
            (member.is_pending, closes) = (false, closes || member.is_ordered && !unwritten);
            self.outcomes.push(outcome_without_response(
                &call.endpoint,
                Some(member),
                status,
                now.since(call.started_at),
            ));
        }
        if !closes && call.pushes.iter().any(|member| member.is_pending) {
            net.set_deadline(token, call.next_deadline());
        } else {
            self.end_call(net, token, CallStatus::Cancelled, now);
        }
    }

    /// What happened on a connection to an endpoint.
    pub fn handle_connection_event(
        &mut self, net: &mut Net, token: Token, what: ConnectionEvent, settings: &Settings, now: Time,
    ) {
        let Some(call) = self.calls.get(&token) else {
            if let Some(endpoint) = self
                .late_response_connections
                .get(&token)
                .filter(|_| what != ConnectionEvent::DeadlineReached)
            {
                match net.input(token).map(|input| http::parse_final_head(input)) {
                    Some(Ok(Some(head))) => {
                        let wait = endpoint_response::retry_after(&head.headers);
                        self.late_retry_afters.extend(wait.map(|wait| (endpoint.clone(), wait)));
                    }
                    Some(Ok(None)) if what != ConnectionEvent::PeerClosed => return,
                    _ => {}
                }
            }
            // Idle: its time is up, its endpoint closed it, or it sends what nobody asked for.
            return self.close_connection(net, token);
        };
        // Guards against an answer read in the turn in which time is up: it may have come after, when it speaks of
        // what is over.
        if what != ConnectionEvent::DeadlineReached
            && call.pushes.iter().any(|member| member.is_pending && member.deadline <= now)
        {
            self.handle_connection_event(net, token, ConnectionEvent::DeadlineReached, settings, now);
            if !self.calls.contains_key(&token) {
                return;
            }
        }
        let never = self.is_unsent(net, token);
        let Some(call) = self.calls.get_mut(&token) else { return };
        match what {
            ConnectionEvent::Accepted => {}
            ConnectionEvent::Connected => self.writable_calls.push(token),
            ConnectionEvent::Readable | ConnectionEvent::PeerClosed => {
                let ended = what == ConnectionEvent::PeerClosed;
                let Some(input) = net.input(token) else { return };
                let read = http::parse_response(input, ended);
                // Guards against an answer whose rest is late, spoilt or never comes: its wait binds from its head on.
                if !matches!(read, Ok(Some(_)))
                    && !call.is_retry_after_reported
                    && let Ok(Some(head)) = http::parse_final_head(input)
                {
                    call.is_retry_after_reported = true;
                    let wait = endpoint_response::retry_after(&head.headers);
                    self.late_retry_afters.extend(wait.map(|wait| (call.endpoint.clone(), wait)));
                }
                match read {
                    Ok(Some((response, length))) => {
                        let clean = response.is_keep_alive && length == input.len() && !ended;
                        input.clear();
                        self.handle_response(net, token, &response, (clean, never), settings, now);
                    }
                    // Nothing is to be written behind what speaks of something else.
                    Ok(None) if !ended && call.unwritten.is_some() => {
                        self.end_call(net, token, CallStatus::NoConnection, now);
                    }
                    Ok(None) if !ended => {
                        if http::has_final_response_begun(input) {
                            call.has_success_status =
                                !never && !call.is_batch && http::final_status(input) == Some(200);
                            call.complete_by = call.complete_by.min(now + RESPONSE_COMPLETION_TIMEOUT);
                            net.set_deadline(token, call.next_deadline());
                        }
                    }
                    broken => {
                        // A single push is delivered with the first line of its answer.
                        let delivered = !call.is_batch && http::final_status(input) == Some(200);
                        let status = match broken {
                            _ if never => CallStatus::NoConnection,
                            _ if delivered => CallStatus::Delivered,
                            Err(_) => CallStatus::Error,
                            _ => CallStatus::Reset,
                        };
                        self.end_call(net, token, status, now);
                    }
                }
            }
            ConnectionEvent::DeadlineReached => {
                if never && call.connect_by <= now {
                    return self.end_call(net, token, CallStatus::NoConnection, now);
                }
                let status = match (call.has_success_status, never) {
                    (_, true) => CallStatus::NoConnection,
                    (true, _) => CallStatus::Delivered,
                    _ if call.complete_by <= now => CallStatus::Error,
                    _ => CallStatus::TimedOut,
                };
                if call.pushes.is_empty() || call.complete_by <= now {
                    return self.end_call(net, token, status, now);
                }
                // Once it is up only the pushes' own time-outs count.
                call.connect_by = if never { call.connect_by } else { Time::NEVER };
                let over = |member: &InFlightPush| member.deadline <= now || never && member.send_by <= now;
                self.end_pushes(net, token, status, now, |member| member.is_pending && over(member));
            }
        }
    }

    fn handle_response(
        &mut self, net: &mut Net, token: Token, response: &http::Response, (clean, never): (bool, bool),
        settings: &Settings, now: Time,
    ) {
        let Some(call) = self.calls.remove(&token) else { return };
        let (wait, limit) = (
            endpoint_response::retry_after(&response.headers),
            endpoint_response::limit_report(response, settings),
        );
        let (endpoint, spent) = (&call.endpoint, now.since(call.started_at));
        if call.pushes.is_empty() {
            let fate = endpoint_response::push_results(response, &[""], false)[0];
            let endpoint = endpoint.clone();
            self.outcomes.push(CallOutcome {
                ntf: None,
                push_number: 0,
                endpoint,
                result: fate,
                elapsed: spent,
                retry_after: wait,
                limit,
            });
        }
        let ids: Vec<&str> = call.pushes.iter().map(|member| member.id.as_str()).collect();
        let mut fates = endpoint_response::push_results(response, &ids, call.is_batch);
        // Guards against an answer that comes before its call has gone out: but for one that turns the connection
        // away it speaks of something else, and none of the call ran.
        if never {
            let of = |fate: &PushResult| {
                matches!(fate.status, CallStatus::Busy | CallStatus::ConnectionLimitReached)
            };
            let none = PushResult::from_status(CallStatus::NoConnection);
            fates.iter_mut().filter(|fate| !of(fate)).for_each(|fate| *fate = none);
        }
        // Guards against one that spoils the call for all that go with it, again and again.
        if !never && call.is_batch && endpoint_response::is_rejected_as_malformed(response) {
            self.unbatchable.extend(call.pushes.iter().map(|member| member.ntf));
        }
        for (member, fate) in call.pushes.iter().zip(fates).filter(|(member, _)| member.is_pending) {
            let (ntf, endpoint) = (Some(member.ntf), endpoint.clone());
            self.outcomes.push(CallOutcome {
                ntf,
                push_number: member.push_number,
                endpoint,
                result: fate,
                elapsed: spent,
                retry_after: wait,
                limit,
            });
        }
        if clean && !never {
            let idle = Some(self.connection_settings.idle_timeout).filter(|span| *span > Span::ZERO);
            net.set_deadline(
                token,
                idle.map_or(Time::NEVER, |span| now + span.mul_f64(IDLE_TIMEOUT_FRACTION)),
            );
            self.idle_by_endpoint.entry(call.endpoint.clone()).or_default().push(token);
            self.idle_connections.insert(token, call.endpoint);
        } else {
            net.close(token);
        }
    }

    /// Whether the last byte of a call has not been handed to the system: then it never ran.
    fn is_unsent(&self, net: &mut Net, token: Token) -> bool {
        let unwritten = self.calls.get(&token).is_some_and(|call| call.unwritten.is_some());
        unwritten || !net.is_connected(token) || net.unsent_bytes(token) > 0
    }

    /// The call is over without an answer: whatever of it is still out ends so, and its connection is closed.
    fn end_call(&mut self, net: &mut Net, token: Token, status: CallStatus, now: Time) {
        let waited_for = matches!(status, CallStatus::TimedOut | CallStatus::Cancelled);
        let heard = waited_for && !self.is_unsent(net, token) && !net.is_peer_closed(token);
        if let Some(call) = self.calls.get(&token).filter(|_| heard) {
            net.shutdown_write(token);
            net.set_deadline(token, now + LATE_RESPONSE_TIMEOUT);
            self.late_response_connections.insert(token, call.endpoint.clone());
        } else {
            net.close(token);
        }
        if let Some(call) = self.calls.remove(&token) {
            self.report_failure(call, status, now);
        }
    }

    fn report_failure(&mut self, call: Call, status: CallStatus, now: Time) {
        let ended =
            |member| outcome_without_response(&call.endpoint, member, status, now.since(call.started_at));
        if call.pushes.is_empty() {
            self.outcomes.push(ended(None));
        }
        let members = call.pushes.iter().filter(|member| member.is_pending);
        self.outcomes.extend(members.map(|member| ended(Some(member))));
    }
}

impl Call {
    /// When the next of its pushes times out, or its connection should be up.
    fn next_deadline(&self) -> Time {
        let unwritten = self.unwritten.is_some();
        let last = |member: &InFlightPush| {
            if unwritten { member.deadline.min(member.send_by) } else { member.deadline }
        };
        let deadlines = self.pushes.iter().filter(|member| member.is_pending).map(last);
        deadlines.min().unwrap_or(Time::NEVER).min(self.connect_by).min(self.complete_by)
    }
}

/// As a header states it.
fn format_millis(span: Span) -> String {
    (span.as_nanos() / 1_000_000).max(1).to_string()
}

/// A push, or without one a probe, that ended with no answer.
fn outcome_without_response(
    endpoint: &EndpointId, member: Option<&InFlightPush>, status: CallStatus, spent: Span,
) -> CallOutcome {
    let (ntf, push) = (member.map(|member| member.ntf), member.map_or(0, |member| member.push_number));
    let (endpoint, fate) = (endpoint.clone(), PushResult::from_status(status));
    CallOutcome {
        ntf,
        push_number: push,
        endpoint,
        result: fate,
        elapsed: spent,
        retry_after: None,
        limit: None,
    }
}

/// The most a notification takes in the body of a call of several.
fn max_encoded_item_bytes(push: &PushRequest<'_>) -> usize {
    let text = 2 * (push.id.len() + push.idempotency_key.map_or(0, str::len));
    push.body.len().div_ceil(3) * 4 + text + 32
}
