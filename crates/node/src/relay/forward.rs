//! Forwards a request: makes attempts at endpoints, retries slow and failed ones, and rejects requests that cannot
//! succeed.

use std::sync::Arc;

use http::Response;
use juniperwing_balancing::CallOutcome;
use juniperwing_clock::{Span, Time};
use juniperwing_protocol::identity::InstanceId;
use tokio::time::timeout;

use super::attempt::{self, EndpointResponse};
use super::attempt_outcome::{AttemptFailure, ExecutionStatus, FailureCause};
use super::body::RelayBody;
use super::dispatcher::{Slot, SlotError};
use super::event_source::StartedStream;
use super::exchange::Exchange;
use super::http_headers::{keep_alive_secs, remove_hop_by_hop};
use super::rejection::Rejection;
use super::responses::reject;
use super::retries::RetryState;
use super::state::RelayState;
use super::stream;
use super::trace::{AttemptEnd, Outcome};
use super::turn::OpenTurn;
use crate::clock::{duration, now};

/// Forwards a request and returns the final response.
pub async fn forward(
    state: &Arc<RelayState>, exchange: Exchange, turn: Option<OpenTurn>,
) -> Response<RelayBody> {
    let mut retries = RetryState::new(Arc::clone(&exchange.trace));
    loop {
        match run_attempt(state, &exchange, &mut retries).await {
            Ok(AttemptSuccess::Complete(response)) => {
                state.metrics.forwarded.increment();
                exchange.trace.finish(Outcome::Forwarded(response.status()));
                return response;
            }
            Ok(AttemptSuccess::Streaming(started, slot)) => {
                state.metrics.forwarded.increment();
                return stream::forward_stream(state, exchange, turn, *started, slot, retries);
            }
            Err(NextStep::Retry) => state.metrics.retries.increment(),
            Err(NextStep::Reject(rejection)) => return final_response(state, retries, rejection),
        }
    }
}

/// What an endpoint has sent within the timeout of an attempt.
enum EndpointReply {
    /// A complete response.
    Complete(Response<RelayBody>),
    /// A stream whose first events have arrived.
    Streaming(Box<StartedStream>),
}

/// The result of an attempt whose response is forwarded.
enum AttemptSuccess {
    /// A complete response.
    Complete(Response<RelayBody>),
    /// A stream, with the slot that it occupies.
    Streaming(Box<StartedStream>, Slot),
}

/// What to do after an attempt that yielded no response to forward.
enum NextStep {
    /// Make another attempt, if possible.
    Retry,
    /// Give up.
    Reject(Rejection),
}

/// Returns the error response of an endpoint, if one was kept; otherwise a rejection.
fn final_response(state: &RelayState, retries: RetryState, rejection: Rejection) -> Response<RelayBody> {
    let execution = retries.execution();
    if let Some(response) = retries.error_response {
        state.metrics.forwarded.increment();
        retries.trace.finish(Outcome::Forwarded(response.status()));
        return response;
    }
    reject(state, &retries.trace, rejection, execution)
}

async fn run_attempt(
    state: &Arc<RelayState>, exchange: &Exchange, retries: &mut RetryState,
) -> Result<AttemptSuccess, NextStep> {
    let slot = acquire_slot(state, exchange, retries).await?;
    let endpoint = slot.endpoint().clone();
    exchange.trace.start_attempt(&endpoint);
    let connection = match attempt::connect(state, exchange, &slot).await {
        Ok(connection) => connection,
        Err(failure) => return Err(handle_failure(state, exchange, retries, slot, failure)),
    };
    let attempt_timeout = attempt_timeout(state, exchange, retries);
    let started_at = now();
    let run = async {
        let response = attempt::send(state, exchange, &slot, connection).await?;
        read_response(state, exchange, &endpoint, response).await
    };
    match timeout(duration(attempt_timeout), run).await {
        Ok(Ok(EndpointReply::Complete(response))) => {
            handle_complete_response(state, exchange, retries, slot, started_at, response)
        }
        Ok(Ok(EndpointReply::Streaming(started))) => {
            let elapsed = now().since(started_at);
            state.dispatcher.record_latency(&exchange.destination, elapsed, false);
            let request = exchange.placement_request(Vec::new(), attempt_timeout);
            state.dispatcher.record_first_response(&request, &endpoint, elapsed);
            Ok(AttemptSuccess::Streaming(started, slot))
        }
        Ok(Err(failure)) => Err(handle_failure(state, exchange, retries, slot, failure)),
        Err(_) => {
            state.dispatcher.record_latency(&exchange.destination, now().since(started_at), true);
            let failure = AttemptFailure::possibly_executed(FailureCause::TimedOut);
            Err(handle_failure(state, exchange, retries, slot, failure))
        }
    }
}

/// Forwards a response. A server error is only kept while another attempt may still succeed.
fn handle_complete_response(
    state: &RelayState, exchange: &Exchange, retries: &mut RetryState, slot: Slot, started_at: Time,
    response: Response<RelayBody>,
) -> Result<AttemptSuccess, NextStep> {
    if !response.status().is_server_error() {
        state.dispatcher.record_latency(&exchange.destination, now().since(started_at), false);
        slot.release(CallOutcome::Succeeded);
        exchange.trace.end_attempt(AttemptEnd::Completed);
        return Ok(AttemptSuccess::Complete(response));
    }
    if exchange.is_retryable() && retries.attempts_left(exchange) > 1 {
        retries.error_response = Some(response);
        let failure = AttemptFailure::possibly_executed(FailureCause::ServerError);
        return Err(handle_failure(state, exchange, retries, slot, failure));
    }
    // Recorded as a failure: an endpoint that fails quickly has little load and would otherwise attract more requests.
    slot.release(CallOutcome::ServerError);
    exchange.trace.end_attempt(AttemptEnd::Failed(FailureCause::ServerError));
    Ok(AttemptSuccess::Complete(response))
}

/// Acquires a slot for the next attempt, if an attempt can still succeed.
async fn acquire_slot(
    state: &Arc<RelayState>, exchange: &Exchange, retries: &mut RetryState,
) -> Result<Slot, NextStep> {
    if retries.attempts_left(exchange) == 0 {
        return Err(NextStep::Reject(Rejection::RetriesExhausted));
    }
    if !state.dispatcher.allows_attempt(&exchange.destination, exchange.remaining_time()) {
        return Err(NextStep::Reject(Rejection::DeadlineTooClose));
    }
    let attempt_timeout = attempt_timeout(state, exchange, retries);
    let request = exchange.placement_request(retries.excluded.clone(), attempt_timeout);
    let slot = state.dispatcher.acquire_slot(request, exchange.max_queue_wait()).await;
    let slot = slot.map_err(|error| match error {
        SlotError::NoEndpoint => NextStep::Reject(Rejection::NoEndpoint),
        SlotError::Overloaded => NextStep::Reject(Rejection::Overloaded),
    })?;
    // Waiting for the slot may have used up the time, or another request may have begun the trial that was due.
    let may_begin = state.dispatcher.begin_attempt(&exchange.destination, exchange.remaining_time());
    if may_begin { Ok(slot) } else { Err(NextStep::Reject(Rejection::DeadlineTooClose)) }
}

/// The timeout of an attempt: set by the latency model if the request can be retried, otherwise all the remaining time.
fn attempt_timeout(state: &RelayState, exchange: &Exchange, retries: &RetryState) -> Span {
    let remaining = exchange.remaining_time();
    let attempts_left = if exchange.is_retryable() { retries.attempts_left(exchange) } else { 1 };
    state.dispatcher.attempt_timeout(&exchange.destination, remaining, attempts_left)
}

fn handle_failure(
    state: &RelayState, exchange: &Exchange, retries: &mut RetryState, slot: Slot, failure: AttemptFailure,
) -> NextStep {
    retries.record_failure(&state.metrics, slot.endpoint().clone(), failure);
    slot.release(failure.cause.call_outcome());
    if failure.execution == ExecutionStatus::PossiblyExecuted && !exchange.is_retryable() {
        let has_timed_out = failure.cause == FailureCause::TimedOut;
        return NextStep::Reject(if has_timed_out {
            Rejection::DeadlineTooClose
        } else {
            Rejection::ConnectionBroken
        });
    }
    NextStep::Retry
}

/// Reads a complete response or, for a stream, its first events.
async fn read_response(
    state: &RelayState, exchange: &Exchange, endpoint: &InstanceId, response: EndpointResponse,
) -> Result<EndpointReply, AttemptFailure> {
    if exchange.route.route_type.is_streaming() && response.parts.status.is_success() {
        let started = StartedStream::read(response).await?;
        return Ok(EndpointReply::Streaming(Box::new(started)));
    }
    let EndpointResponse { mut parts, mut body, connection, .. } = response;
    let keep_alive_secs = keep_alive_secs(&parts.headers);
    let memory = state.memory.reserve(0);
    let mut memory = memory.ok_or(AttemptFailure::possibly_executed(FailureCause::NoMemory))?;
    let chunks = attempt::read_complete_body(&mut body, &mut memory).await?;
    state.pool.put_idle(endpoint, connection, keep_alive_secs);
    remove_hop_by_hop(&mut parts.headers);
    let body = RelayBody::complete_with_memory(chunks, memory);
    Ok(EndpointReply::Complete(Response::from_parts(parts, body)))
}
