//! Calls to endpoints and the connections to them.
//!
//! Selecting endpoints and retrying or delaying pushes is up to the core.

mod call;
mod events;
mod pool;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use juniperwing::interface::{CallStatus, EndpointId, NotificationId};
use juniperwing::time::{Span, Time};
use juniperwing_settings::ConnectionSettings;

use crate::discovery::KnownEndpoint;
use crate::event_loop::{ConnectionRole, Net, Token};
use crate::http;
use call::{Call, InFlightPush, UnwrittenRequest};
pub use call::{CallOutcome, PushRequest};
use pool::ConnectionPool;

/// How long a connection is still read after its call ended without a response: a late response may contain a
/// retry-after.
const LATE_RESPONSE_TIMEOUT: Span = Span::from_millis(1_000);

/// A retry-after from a response that is incomplete or arrived after the end of its call.
pub struct RetryAfter {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The delay that the endpoint requests.
    pub delay: Span,
}

/// A notification in a call that is about to be sent, and the zone of the call's endpoint.
pub struct SentNotification {
    /// The notification.
    pub notification: NotificationId,
    /// The name of the zone.
    pub zone: Arc<str>,
}

/// The calls in progress and all connections to endpoints.
pub struct Upstream {
    settings: ConnectionSettings,
    calls: BTreeMap<Token, Call>,
    /// Established connections whose calls have not been written.
    writable_calls: Vec<Token>,
    pool: ConnectionPool,
    /// Notifications from batches that an endpoint rejected as malformed; each is sent in its own call.
    unbatchable: BTreeSet<NotificationId>,
    outcomes: Vec<CallOutcome>,
    retry_afters: Vec<RetryAfter>,
}

impl Upstream {
    /// Creates an instance without calls that opens up to `max_connections` connections.
    pub fn new(settings: ConnectionSettings, max_connections: usize) -> Upstream {
        Upstream {
            settings,
            calls: BTreeMap::new(),
            writable_calls: Vec::new(),
            pool: ConnectionPool::new(max_connections),
            unbatchable: BTreeSet::new(),
            outcomes: Vec::new(),
            retry_afters: Vec::new(),
        }
    }

    /// Applies new settings. Deadlines already set stay unchanged, so idle connections are closed if the idle timeout
    /// becomes shorter.
    pub fn apply_settings(&mut self, net: &mut Net, settings: ConnectionSettings) {
        let idle_nanos = |settings: &ConnectionSettings| match settings.idle_timeout {
            Span::ZERO => u64::MAX,
            idle => idle.as_nanos(),
        };
        if idle_nanos(&settings) < idle_nanos(&self.settings) {
            self.pool.close_all_idle(net);
        }
        self.settings = settings;
    }

    /// Takes all outcomes since the last call of this function.
    pub fn take_outcomes(&mut self) -> Vec<CallOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Takes the retry-afters that are not part of an outcome since the last call of this function.
    pub fn take_retry_afters(&mut self) -> Vec<RetryAfter> {
        std::mem::take(&mut self.retry_afters)
    }

    /// Whether there are outcomes to take.
    pub fn has_outcomes(&self) -> bool {
        !self.outcomes.is_empty()
    }

    /// Returns the number of calls in progress.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Pushes notifications to one endpoint, in a single call if they fit, or else in several.
    pub fn push(
        &mut self, net: &mut Net, endpoint: &EndpointId, known: Option<&KnownEndpoint>,
        requests: &[PushRequest<'_>], now: Time,
    ) {
        if !self.settings.is_hedging_allowed {
            requests.iter().for_each(|request| self.cancel_earlier_calls(net, request.notification, now));
        }
        let max_count = known.map_or(1, KnownEndpoint::max_notifications_per_call);
        let mut rest = requests;
        while !rest.is_empty() {
            let (batch, later) = rest.split_at(self.batch_length(rest, max_count));
            self.start_push_call(net, endpoint, known, batch, now);
            rest = later;
        }
    }

    /// Returns how many of the first requests are sent in one call.
    fn batch_length(&self, requests: &[PushRequest<'_>], max_count: usize) -> usize {
        let is_batchable = |request: &PushRequest<'_>| !self.unbatchable.contains(&request.notification);
        let (mut count, mut body_bytes) = (1, requests[0].max_encoded_item_bytes());
        while count < max_count.min(requests.len())
            && body_bytes + requests[count].max_encoded_item_bytes() < http::MAX_BODY_BYTES
            && is_batchable(&requests[0])
            && is_batchable(&requests[count])
        {
            body_bytes += requests[count].max_encoded_item_bytes();
            count += 1;
        }
        count
    }

    fn start_push_call(
        &mut self, net: &mut Net, endpoint: &EndpointId, known: Option<&KnownEndpoint>,
        requests: &[PushRequest<'_>], now: Time,
    ) {
        let is_batch = requests.len() > 1;
        let pushes = requests.iter().map(|request| InFlightPush::new(request, is_batch, now)).collect();
        let unwritten = |host: &str| match requests {
            [request] => UnwrittenRequest::Encoded(request.encode_message(host)),
            _ => UnwrittenRequest::BatchTo(host.to_owned()),
        };
        self.start_call(net, endpoint, known, pushes, unwritten, now);
    }

    /// Sends a health check to an endpoint.
    pub fn probe(&mut self, net: &mut Net, endpoint: &EndpointId, known: Option<&KnownEndpoint>, now: Time) {
        let unwritten = |host: &str| {
            UnwrittenRequest::Encoded(http::encode_message("GET /health HTTP/1.1", &[("Host", host)], b""))
        };
        self.start_call(net, endpoint, known, Vec::new(), unwritten, now);
    }

    fn start_call(
        &mut self, net: &mut Net, endpoint: &EndpointId, known: Option<&KnownEndpoint>,
        pushes: Vec<InFlightPush>, unwritten: impl FnOnce(&str) -> UnwrittenRequest, now: Time,
    ) {
        let connect_timeout = Some(self.settings.connect_timeout).filter(|span| *span > Span::ZERO);
        let call = Call {
            endpoint: endpoint.clone(),
            zone: known.map(KnownEndpoint::zone).unwrap_or_default(),
            started_at: now,
            connect_by: connect_timeout.map_or(Time::NEVER, |span| now + span),
            complete_by: Time::NEVER,
            has_success_status: false,
            is_retry_after_reported: false,
            is_batch: pushes.len() > 1,
            unwritten: known.map(|known| unwritten(&known.address.to_string())),
            pushes,
        };
        let token = known.and_then(|known| self.connect(net, endpoint, known));
        let Some(token) = token else { return self.report_failure(&call, CallStatus::NoConnection, now) };
        if net.is_connected(token) {
            self.writable_calls.push(token);
        }
        net.set_deadline(token, call.next_deadline());
        self.calls.insert(token, call);
    }

    /// Returns the most recently used idle connection, or opens a new one.
    fn connect(&mut self, net: &mut Net, endpoint: &EndpointId, known: &KnownEndpoint) -> Option<Token> {
        if let Some(token) = self.pool.take_idle(net, endpoint) {
            return Some(token);
        }
        if !self.pool.make_capacity(net, self.calls.len()) {
            return None;
        }
        net.open(known.address, ConnectionRole::Endpoint).ok()
    }

    /// Writes the calls whose connections are established, without pushes that were cancelled or are too late. All
    /// calls are written here, after the core has decided on the events of the iteration. Returns the notifications in
    /// the calls, which must be recorded in the journal before any byte is sent.
    pub fn write_ready_calls(&mut self, net: &mut Net, now: Time) -> Vec<SentNotification> {
        let mut sent = Vec::new();
        for token in std::mem::take(&mut self.writable_calls) {
            self.end_late_pushes(net, token, now);
            let Some(call) = self.calls.get_mut(&token) else { continue };
            let unwritten = call.unwritten.take();
            if unwritten.is_some() {
                let pending = call.pushes.iter().filter(|push| push.is_pending);
                sent.extend(pending.map(|push| SentNotification {
                    notification: push.notification,
                    zone: call.zone.clone(),
                }));
            }
            match unwritten {
                Some(UnwrittenRequest::Encoded(message)) => net.write(token, &message),
                Some(UnwrittenRequest::BatchTo(host)) => net.write(token, &call.encode_batch(&host, now)),
                None => {}
            }
            net.set_deadline(token, call.next_deadline());
        }
        sent
    }

    fn end_late_pushes(&mut self, net: &mut Net, token: Token, now: Time) {
        let is_late = |push: &InFlightPush| push.is_late_to_send(now);
        if self.calls.get(&token).is_some_and(|call| call.pushes.iter().any(is_late)) {
            self.end_pushes(net, token, CallStatus::NoConnection, now, is_late);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, net: &mut Net, endpoint: &EndpointId) {
        self.pool.close_idle(net, endpoint);
    }

    /// Handles an endpoint that is draining, was removed or has changed its address or destination.
    pub fn handle_endpoint_withdrawn(&mut self, net: &mut Net, endpoint: &EndpointId, now: Time) {
        self.pool.close_idle(net, endpoint);
        self.cancel_unsent(net, endpoint, now);
    }

    /// Cancels the calls to an endpoint that are not completely written to their sockets, because the connection is not
    /// established or the endpoint does not read. Their pushes end as not sent.
    pub fn cancel_unsent(&mut self, net: &mut Net, endpoint: &EndpointId, now: Time) {
        let calls = self.calls.iter().filter(|(_, call)| call.endpoint == *endpoint);
        let tokens: Vec<Token> = calls.map(|(token, _)| *token).collect();
        for token in tokens {
            if self.is_unsent(net, token) {
                self.end_call(net, token, CallStatus::Skipped, now);
            }
        }
    }

    /// Removes the state of a notification that is closed.
    pub fn remove_notification(&mut self, notification: NotificationId) {
        self.unbatchable.remove(&notification);
    }

    /// Cancels a push.
    pub fn cancel(&mut self, net: &mut Net, notification: NotificationId, push_index: u32, now: Time) {
        let is_target = |push: &InFlightPush| {
            push.is_pending && push.notification == notification && push.push_index == push_index
        };
        if let Some(token) = self.find_call(|call| call.pushes.iter().any(is_target)) {
            self.end_pushes(net, token, CallStatus::Cancelled, now, is_target);
        }
    }

    /// Closes the connection of every call that contains a notification, even if its outcome is known: the notification
    /// is about to be sent again, and two copies must not be in flight. The other pushes of such a call are cancelled
    /// with it.
    fn cancel_earlier_calls(&mut self, net: &mut Net, notification: NotificationId, now: Time) {
        let has_notification = |call: &Call| call.pushes.iter().any(|push| push.notification == notification);
        while let Some(token) = self.find_call(has_notification) {
            self.end_pushes(net, token, CallStatus::Cancelled, now, |push| push.is_pending);
        }
    }

    fn find_call(&self, predicate: impl Fn(&Call) -> bool) -> Option<Token> {
        self.calls.iter().find(|(_, call)| predicate(call)).map(|(token, _)| *token)
    }

    /// Ends some pushes of a call. The connection is closed with the last push, and with an ordered one: while the call
    /// is open, that push may still run, and later notifications with its key could overtake it.
    fn end_pushes(
        &mut self, net: &mut Net, token: Token, status: CallStatus, now: Time,
        is_ending: impl Fn(&InFlightPush) -> bool,
    ) {
        let Some(call) = self.calls.get_mut(&token) else { return };
        // Unwritten pushes are omitted when the call is written. A partly sent push may still arrive.
        let is_unwritten = call.unwritten.is_some();
        let status = match status {
            _ if is_unwritten => CallStatus::NoConnection,
            _ if call.has_success_status => CallStatus::Delivered,
            status => status,
        };
        let mut must_close = false;
        for index in 0..call.pushes.len() {
            if is_ending(&call.pushes[index]) {
                call.pushes[index].is_pending = false;
                must_close |= call.pushes[index].is_ordered && !is_unwritten;
                self.outcomes.push(call.outcome_without_response(Some(&call.pushes[index]), status, now));
            }
        }
        if !must_close && call.has_pending_pushes() {
            net.set_deadline(token, call.next_deadline());
        } else {
            self.end_call(net, token, CallStatus::Cancelled, now);
        }
    }

    /// Whether a call is not completely written to its socket, so that it was not run.
    fn is_unsent(&self, net: &mut Net, token: Token) -> bool {
        let is_unwritten = self.calls.get(&token).is_some_and(|call| call.unwritten.is_some());
        is_unwritten || !net.is_connected(token) || net.unsent_bytes(token) > 0
    }

    /// Ends a call without a response, with this status for all pending pushes. Closes its connection, either
    /// immediately or after waiting for a late response.
    fn end_call(&mut self, net: &mut Net, token: Token, status: CallStatus, now: Time) {
        let is_abandoned = matches!(status, CallStatus::TimedOut | CallStatus::Cancelled);
        let may_respond = is_abandoned && !self.is_unsent(net, token) && !net.is_peer_closed(token);
        let call = self.calls.remove(&token);
        match call.as_ref().filter(|_| may_respond) {
            Some(call) => {
                net.shutdown_write(token);
                net.set_deadline(token, now + LATE_RESPONSE_TIMEOUT);
                self.pool.add_awaiting_late_response(call.endpoint.clone(), token);
            }
            None => net.close(token),
        }
        if let Some(call) = call {
            self.report_failure(&call, status, now);
        }
    }

    fn report_failure(&mut self, call: &Call, status: CallStatus, now: Time) {
        if call.is_probe() {
            self.outcomes.push(call.outcome_without_response(None, status, now));
        }
        let pending = call.pushes.iter().filter(|push| push.is_pending);
        self.outcomes.extend(pending.map(|push| call.outcome_without_response(Some(push), status, now)));
    }
}
