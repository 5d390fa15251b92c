//! Forwards streams. Complete events are sent as they arrive, and a broken stream is resumed at another endpoint if its
//! route allows that.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::stream::unfold;
use http::header::CONTENT_LENGTH;
use http::{HeaderValue, Response, StatusCode};
use juniperwing_balancing::CallOutcome;
use juniperwing_clock::Span;
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::headers;
use tokio::time::{Instant, timeout_at};

use super::attempt::{self, EndpointResponse};
use super::attempt_outcome::AttemptFailure;
use super::body::RelayBody;
use super::dispatcher::Slot;
use super::event_source::{EventSource, SourceItem, StartedStream};
use super::events::Event;
use super::exchange::Exchange;
use super::http_headers::{header_name, remove_hop_by_hop};
use super::retries::RetryState;
use super::state::RelayState;
use super::stream_error::StreamError;
use super::stream_position::{StreamPosition, event_number};
use super::trace::{AttemptEnd, Outcome};
use super::turn::OpenTurn;
use crate::clock::{duration, now};

/// Creates the response to the client from the head of a stream and its events.
pub fn forward_stream(
    state: &Arc<RelayState>, exchange: Exchange, turn: Option<OpenTurn>, started: StartedStream, slot: Slot,
    retries: RetryState,
) -> Response<RelayBody> {
    let StartedStream { mut parts, source, first_events } = started;
    remove_hop_by_hop(&mut parts.headers);
    // The length is unknown, because another endpoint may resume the stream.
    parts.headers.remove(CONTENT_LENGTH);
    let remaining = duration(exchange.deadline.since(now()));
    let position = StreamPosition::new(exchange.last_event_id(), exchange.sent_event_id.clone());
    let stream = ForwardedStream {
        state: Arc::clone(state),
        exchange,
        turn,
        retries,
        source,
        slot: Some(slot),
        status: parts.status,
        first_events: Some(first_events),
        position,
        resumed_after: None,
        deadline: Instant::now() + remaining,
        has_ended: false,
    };
    let chunks = unfold(stream, async |mut stream| {
        let chunk = stream.next().await?;
        Some((chunk, stream))
    });
    Response::from_parts(parts, RelayBody::streaming(Box::pin(chunks)))
}

/// A stream that is being forwarded to the client.
struct ForwardedStream {
    state: Arc<RelayState>,
    exchange: Exchange,
    /// The turn, until it is stored or the stream is aborted.
    turn: Option<OpenTurn>,
    retries: RetryState,
    source: EventSource,
    /// The slot at the current endpoint.
    slot: Option<Slot>,
    status: StatusCode,
    /// Events that arrived before the response was ready.
    first_events: Option<Vec<Event>>,
    position: StreamPosition,
    /// The number of the event after which the stream was last resumed.
    resumed_after: Option<u64>,
    deadline: Instant,
    has_ended: bool,
}

impl ForwardedStream {
    /// The next chunk for the client; `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        if self.has_ended {
            return None;
        }
        let next = self.next_chunk().await;
        self.has_ended = !matches!(next, Ok(Some(_)));
        match next {
            Ok(Some(_)) => {}
            Ok(None) => self.exchange.trace.finish(Outcome::Forwarded(self.status)),
            Err(error) => self.abort(error),
        }
        next.transpose()
    }

    fn abort(&mut self, error: StreamError) {
        self.state.metrics.aborted_streams.increment();
        self.exchange.trace.finish(Outcome::Aborted(error));
        self.source.close();
        self.slot = None;
        self.turn = None;
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            if let Some(events) = self.first_events.take()
                && let Some(chunk) = self.handle_events(events)?
            {
                return Ok(Some(chunk));
            }
            match timeout_at(self.deadline, self.source.next()).await {
                Err(_) => return Err(StreamError::DeadlineExceeded),
                Ok(Ok(SourceItem::Events(events))) => {
                    if let Some(chunk) = self.handle_events(events)? {
                        return Ok(Some(chunk));
                    }
                }
                Ok(Ok(SourceItem::End(remainder))) if remainder.is_empty() => {
                    return self.complete().await.map(|()| None);
                }
                Ok(Ok(SourceItem::End(remainder))) => return Ok(Some(remainder)),
                Ok(Err(failure)) => self.resume(failure).await?,
            }
        }
    }

    /// Records the events that were not read before, and returns the bytes of those that the client does not have.
    fn handle_events(&mut self, events: Vec<Event>) -> Result<Option<Bytes>, StreamError> {
        let mut unsent_events = Vec::new();
        for event in events {
            let novelty = self.position.advance(&event);
            if novelty.is_unread {
                self.record_event(&event)?;
            }
            if novelty.is_unsent {
                self.turn.iter_mut().for_each(|turn| turn.count_tokens(&event));
                unsent_events.push(event);
            }
        }
        Ok(match unsent_events.len() {
            0 => None,
            1 => unsent_events.pop().map(|event| event.raw),
            _ => {
                let mut joined = BytesMut::new();
                unsent_events.iter().for_each(|event| joined.extend_from_slice(&event.raw));
                Some(joined.freeze())
            }
        })
    }

    /// Records an event that was not read before, and reserves the memory for what is retained of it.
    fn record_event(&mut self, event: &Event) -> Result<(), StreamError> {
        self.check_id_increases(event);
        let retained_bytes = self.turn.as_mut().map_or(0, |turn| turn.record_event(event));
        if self.exchange.memory.grow(retained_bytes) { Ok(()) } else { Err(StreamError::NoMemory) }
    }

    /// Checks the invariant that a resumed stream continues after the last event that was read before.
    fn check_id_increases(&self, event: &Event) {
        let increases = match (self.resumed_after, event_number(event.id.as_ref())) {
            (Some(resumed_after), Some(id)) => id > resumed_after,
            _ => true,
        };
        check(Invariant::EventIdsIncrease, increases, || {
            format!("request {}, event {:?}", self.exchange.trace.request_id(), event.id)
        });
    }

    /// Resumes the stream at another endpoint, after the last event that was read.
    async fn resume(&mut self, mut failure: AttemptFailure) -> Result<(), StreamError> {
        loop {
            self.source.close();
            let Some(slot) = self.slot.take() else { return Err(StreamError::EndpointFailed) };
            self.retries.record_failure(&self.state.metrics, slot.endpoint().clone(), failure);
            slot.release(failure.cause.call_outcome());
            self.prepare_resumption()?;
            let excluded = self.retries.excluded.clone();
            let request = self.exchange.placement_request(excluded, self.exchange.remaining_time());
            let max_wait = self.exchange.max_queue_wait();
            let slot = self.state.dispatcher.acquire_slot(request, max_wait).await;
            let slot = slot.map_err(|_| StreamError::EndpointFailed)?;
            self.exchange.trace.start_attempt(slot.endpoint());
            let response = timeout_at(self.deadline, reopen(&self.state, &self.exchange, &slot)).await;
            self.slot = Some(slot);
            match response {
                Err(_) => return Err(StreamError::DeadlineExceeded),
                Ok(Err(next_failure)) => failure = next_failure,
                Ok(Ok(response)) if response.parts.status.is_success() => {
                    self.source = EventSource::new(response).1;
                    self.state.metrics.resumed_streams.increment();
                    return Ok(());
                }
                Ok(Ok(_)) => return Err(StreamError::EndpointFailed),
            }
        }
    }

    /// Sets `Last-Event-Id` in the request to the last event that was read, if the stream may be resumed.
    fn prepare_resumption(&mut self) -> Result<(), StreamError> {
        let last_event_id = self.position.resume_after().and_then(|id| HeaderValue::from_bytes(id).ok());
        let may_resume = self.exchange.is_retryable() && self.retries.attempts_left(&self.exchange) > 0;
        match last_event_id.filter(|_| may_resume) {
            None => Err(StreamError::EndpointFailed),
            Some(id) => {
                self.resumed_after = self.position.resume_after_number();
                self.position.change_source();
                self.exchange.headers.insert(header_name(headers::LAST_EVENT_ID), id);
                Ok(())
            }
        }
    }

    /// Handles the end of the stream. A turn is stored before the client sees the end.
    async fn complete(&mut self) -> Result<(), StreamError> {
        let Some(slot) = self.slot.take() else { return Ok(()) };
        let endpoint = slot.endpoint().clone();
        slot.release(CallOutcome::Succeeded);
        self.exchange.trace.end_attempt(AttemptEnd::Completed);
        self.source.return_connection(&self.state.pool, &endpoint);
        if self.position.awaits_sent() {
            return Err(StreamError::UnknownEventId);
        }
        let Some(mut turn) = self.turn.take() else { return Ok(()) };
        self.exchange.trace.record_stored_turn(turn.stored_size());
        if let Some(retention) = self.current_retention() {
            turn.extend_retention(retention);
        }
        let remaining = self.exchange.deadline.since(now());
        let stored = turn.store(&endpoint, remaining).await;
        stored
            .inspect_err(|error| self.exchange.record_turn_error(*error))
            .map_err(|_| StreamError::TurnNotStored)
    }

    /// How long the configuration that is in force now retains the program; `None` if it has no route for the request.
    fn current_retention(&self) -> Option<Span> {
        let snapshot = self.state.cluster.snapshot();
        let configuration = snapshot.configuration.as_ref()?;
        let route = configuration.table.lookup(&self.exchange.route.hostname, self.exchange.uri.path())?;
        Some(route.retention)
    }
}

async fn reopen(
    state: &RelayState, exchange: &Exchange, slot: &Slot,
) -> Result<EndpointResponse, AttemptFailure> {
    let connection = attempt::connect(state, exchange, slot).await?;
    attempt::send(state, exchange, slot, connection).await
}
