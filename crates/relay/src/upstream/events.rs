//! Events on connections to endpoints: responses, timeouts and closed connections.

use juniperwing::interface::CallStatus;
use juniperwing::time::{Span, Time};
use juniperwing_settings::Settings;

use super::call::{Call, CallOutcome, InFlightPush};
use super::{RetryAfter, Upstream};
use crate::endpoint_response::{self, PushResult};
use crate::event_loop::{ConnectionEvent, Net, Token};
use crate::http::{self, ParseError, Response};

/// Idle connections are closed after this fraction of the endpoint's idle timeout, so that no push is sent on a
/// connection that the endpoint is closing.
const IDLE_TIMEOUT_FRACTION: f64 = 0.9;
/// The maximum time from the first byte of a response until it is complete.
const RESPONSE_COMPLETION_TIMEOUT: Span = Span::from_millis(500);

/// A complete response and the state of its connection.
struct ReceivedResponse {
    response: Response,
    /// Whether the call was not completely sent when the response arrived.
    is_call_unsent: bool,
    /// Whether the connection can be used for another call.
    is_connection_reusable: bool,
}

impl Upstream {
    /// Handles an event on a connection to an endpoint.
    pub fn handle_connection_event(
        &mut self, net: &mut Net, token: Token, event: ConnectionEvent, settings: &Settings, now: Time,
    ) {
        let Some(call) = self.calls.get(&token) else {
            return self.handle_event_without_call(net, token, event);
        };
        // A response read in the same iteration as the timeout of a push may have arrived after the timeout, which
        // ended the call.
        if event != ConnectionEvent::DeadlineReached && call.pushes.iter().any(|push| push.is_overdue(now)) {
            self.handle_deadline(net, token, now);
            if !self.calls.contains_key(&token) {
                return;
            }
        }
        match event {
            ConnectionEvent::Accepted => {}
            ConnectionEvent::Connected => self.writable_calls.push(token),
            ConnectionEvent::Readable => self.read_response(net, token, false, settings, now),
            ConnectionEvent::PeerClosed => self.read_response(net, token, true, settings, now),
            ConnectionEvent::DeadlineReached => self.handle_deadline(net, token, now),
        }
    }

    fn handle_event_without_call(&mut self, net: &mut Net, token: Token, event: ConnectionEvent) {
        let endpoint = self.pool.late_response_endpoint(token);
        if let Some(endpoint) = endpoint.filter(|_| event != ConnectionEvent::DeadlineReached) {
            match net.input(token).map(|input| http::parse_final_head(input)) {
                Some(Ok(Some(head))) => {
                    let delay = endpoint_response::retry_after(&head.headers);
                    let retry_after = delay.map(|delay| RetryAfter { endpoint: endpoint.clone(), delay });
                    self.retry_afters.extend(retry_after);
                }
                Some(Ok(None)) if event != ConnectionEvent::PeerClosed => return,
                _ => {}
            }
        }
        // No response is awaited any more, or the connection is idle and reached its deadline, was closed by the
        // endpoint or received unsolicited bytes.
        self.pool.close(net, token);
    }

    fn read_response(
        &mut self, net: &mut Net, token: Token, is_closed: bool, settings: &Settings, now: Time,
    ) {
        let is_call_unsent = self.is_unsent(net, token);
        let Some(call) = self.calls.get_mut(&token) else { return };
        let Some(input) = net.input(token) else { return };
        let parsed = http::parse_response(input, is_closed);
        // The retry-after is reported once the head is complete, since the rest of the response may be late, invalid or
        // missing.
        if !matches!(parsed, Ok(Some(_))) {
            self.retry_afters.extend(early_retry_after(call, input));
        }
        match parsed {
            Ok(Some((response, length))) => {
                let is_clean = response.is_keep_alive && length == input.len() && !is_closed;
                let is_connection_reusable = is_clean && !is_call_unsent;
                input.clear();
                let received = ReceivedResponse { response, is_call_unsent, is_connection_reusable };
                self.handle_response(net, token, &received, settings, now);
            }
            // The bytes do not answer this call, and it must not be written after them.
            Ok(None) if !is_closed && call.unwritten.is_some() => {
                self.end_call(net, token, CallStatus::NoConnection, now);
            }
            Ok(None) if !is_closed => {
                if http::has_final_response_begun(input) {
                    call.has_success_status = !is_call_unsent && is_success_of_single_push(call, input);
                    call.complete_by = call.complete_by.min(now + RESPONSE_COMPLETION_TIMEOUT);
                    net.set_deadline(token, call.next_deadline());
                }
            }
            failed => {
                let status = status_of_failed_response(call, input, failed.err(), is_call_unsent);
                self.end_call(net, token, status, now);
            }
        }
    }

    fn handle_deadline(&mut self, net: &mut Net, token: Token, now: Time) {
        let is_unsent = self.is_unsent(net, token);
        let Some(call) = self.calls.get_mut(&token) else { return };
        if is_unsent && call.connect_by <= now {
            return self.end_call(net, token, CallStatus::NoConnection, now);
        }
        let status = match (call.has_success_status, is_unsent) {
            (_, true) => CallStatus::NoConnection,
            (true, _) => CallStatus::Delivered,
            _ if call.complete_by <= now => CallStatus::Error,
            _ => CallStatus::TimedOut,
        };
        if call.is_probe() || call.complete_by <= now {
            return self.end_call(net, token, status, now);
        }
        if !is_unsent {
            // From now on, only the timeouts of the pushes apply.
            call.connect_by = Time::NEVER;
        }
        let has_ended = |push: &InFlightPush| push.is_overdue(now) || is_unsent && push.is_late_to_send(now);
        self.end_pushes(net, token, status, now, has_ended);
    }

    fn handle_response(
        &mut self, net: &mut Net, token: Token, received: &ReceivedResponse, settings: &Settings, now: Time,
    ) {
        let Some(call) = self.calls.remove(&token) else { return };
        let response = &received.response;
        let retry_after = endpoint_response::retry_after(&response.headers);
        let limit = endpoint_response::limit_report(response, settings);
        let outcome = |push: Option<&InFlightPush>, result: PushResult| CallOutcome {
            result,
            retry_after,
            limit,
            ..call.outcome_without_response(push, result.status, now)
        };
        if call.is_probe() {
            let result = endpoint_response::push_results(response, &[""], false)[0];
            self.outcomes.push(outcome(None, result));
        }
        let results = results_of_call(&call, received);
        // A malformed notification would make every batch that contains it fail.
        if !received.is_call_unsent && call.is_batch && endpoint_response::is_rejected_as_malformed(response)
        {
            self.unbatchable.extend(call.pushes.iter().map(|push| push.notification));
        }
        let pending = call.pushes.iter().zip(results).filter(|(push, _)| push.is_pending);
        self.outcomes.extend(pending.map(|(push, result)| outcome(Some(push), result)));
        if received.is_connection_reusable {
            let idle_timeout = Some(self.settings.idle_timeout).filter(|span| *span > Span::ZERO);
            let close_after = idle_timeout.map(|span| span.mul_f64(IDLE_TIMEOUT_FRACTION));
            net.set_deadline(token, close_after.map_or(Time::NEVER, |span| now + span));
            self.pool.add_idle(call.endpoint, token);
        } else {
            net.close(token);
        }
    }
}

/// Returns the retry-after in the head of an incomplete response, once per call.
fn early_retry_after(call: &mut Call, input: &[u8]) -> Option<RetryAfter> {
    if call.is_retry_after_reported {
        return None;
    }
    let Ok(Some(head)) = http::parse_final_head(input) else { return None };
    call.is_retry_after_reported = true;
    let delay = endpoint_response::retry_after(&head.headers)?;
    Some(RetryAfter { endpoint: call.endpoint.clone(), delay })
}

/// Whether a single push was delivered, which the status line of its response already tells.
fn is_success_of_single_push(call: &Call, input: &[u8]) -> bool {
    !call.is_batch && http::final_status(input) == Some(200)
}

fn status_of_failed_response(
    call: &Call, input: &[u8], error: Option<ParseError>, is_call_unsent: bool,
) -> CallStatus {
    if is_call_unsent {
        CallStatus::NoConnection
    } else if is_success_of_single_push(call, input) {
        CallStatus::Delivered
    } else if error.is_some() {
        CallStatus::Error
    } else {
        CallStatus::Reset
    }
}

fn results_of_call(call: &Call, received: &ReceivedResponse) -> Vec<PushResult> {
    let ids: Vec<&str> = call.pushes.iter().map(|push| push.id.as_str()).collect();
    let mut results = endpoint_response::push_results(&received.response, &ids, call.is_batch);
    // A response that arrives before its call is sent does not answer it, unless it rejects the connection. Nothing in
    // the call was run.
    if received.is_call_unsent {
        let is_rejection = |result: &PushResult| {
            matches!(result.status, CallStatus::Busy | CallStatus::ConnectionLimitReached)
        };
        let not_sent = PushResult::from_status(CallStatus::NoConnection);
        results.iter_mut().filter(|result| !is_rejection(result)).for_each(|result| *result = not_sent);
    }
    results
}
