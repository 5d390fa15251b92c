//! Streams: events are passed on whole as they come; one that breaks off is taken up elsewhere where it may be.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::stream::unfold;
use http::header::CONTENT_LENGTH;
use http::{HeaderValue, Response, StatusCode, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use juniperwing_balancing::CallOutcome;
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::headers;
use tokio::time::{Instant, timeout_at};

use super::RelayState;
use super::attempt::{self, Answer, keep_alive};
use super::attempt_outcome::{AttemptFailure, FailureCause, header_name};
use super::body::{RelayBody, StreamError};
use super::dispatcher::Slot;
use super::events::{Event, EventSplitter};
use super::exchange::{Exchange, remove_hop_by_hop};
use super::retries::RetryState;
use super::trace::{AttemptEnd, Outcome};
use super::turn::OpenTurn;
use super::upstream::Connection;
use crate::clock::{duration, now};

/// A stream at an endpoint, of which the head and the first events have come.
pub struct LiveStream {
    parts: response::Parts,
    source: Source,
    first: Vec<Event>,
    /// The slot that it takes.
    pub slot: Option<Slot>,
}

/// Where events come from.
struct Source {
    /// `None` once it has ended.
    body: Option<Incoming>,
    connection: Option<Connection>,
    keep_alive: Option<u64>,
    /// Whether only the end of the connection ends the stream.
    ends_with_connection: bool,
    splitter: EventSplitter,
}

/// What a source gives next.
enum Next {
    Events(Vec<Event>),
    /// Its proper end, with the bytes behind the last whole event.
    End(Bytes),
}

impl Source {
    fn new(answer: Answer) -> (response::Parts, Source) {
        let source = Source {
            body: Some(answer.body),
            connection: Some(answer.connection),
            keep_alive: keep_alive(&answer.parts.headers),
            ends_with_connection: answer.ends_with_connection,
            splitter: EventSplitter::default(),
        };
        (answer.parts, source)
    }

    /// Waits for whole events.
    async fn next(&mut self) -> Result<Next, AttemptFailure> {
        let broken = AttemptFailure::may_have_run(FailureCause::Broken);
        loop {
            let Some(body) = &mut self.body else { return Ok(Next::End(Bytes::new())) };
            match body.frame().await {
                None => {
                    self.body = None;
                    let rest = self.splitter.rest();
                    // A connection that ends within an event was broken off.
                    let whole = rest.is_empty() || !self.ends_with_connection;
                    return if whole { Ok(Next::End(rest)) } else { Err(broken) };
                }
                Some(Err(_)) => return Err(broken),
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else { continue };
                    let events = self.splitter.push(data);
                    let events =
                        events.map_err(|_| AttemptFailure::may_have_run(FailureCause::InvalidResponse))?;
                    if !events.is_empty() {
                        return Ok(Next::Events(events));
                    }
                }
            }
        }
    }
}

/// Reads a stream up to its first events.
///
/// # Errors
///
/// If it breaks off before.
pub async fn first_event(answer: Answer) -> Result<LiveStream, AttemptFailure> {
    let (parts, mut source) = Source::new(answer);
    let first = match source.next().await? {
        Next::Events(events) => events,
        Next::End(rest) if rest.is_empty() => Vec::new(),
        Next::End(rest) => vec![Event { raw: rest, id: None, data: None }],
    };
    Ok(LiveStream { parts, source, first, slot: None })
}

/// The answer to the client: the head of the stream and its events.
pub fn pass_on(
    core: &Arc<RelayState>, exchange: Exchange, turn: Option<OpenTurn>, live: LiveStream, tries: RetryState,
) -> Response<RelayBody> {
    let LiveStream { mut parts, source, first, slot } = live;
    remove_hop_by_hop(&mut parts.headers);
    // Another endpoint may go on with it: its length is not known.
    parts.headers.remove(CONTENT_LENGTH);
    let status = parts.status;
    let left = duration(exchange.deadline.since(now()));
    let last_id = exchange.last_event_id();
    let stream = ForwardedStream {
        core: Arc::clone(core),
        exchange,
        turn,
        tries,
        source,
        slot,
        status,
        first: Some(first),
        last_id,
        resumed_behind: None,
        until: Instant::now() + left,
        ended: false,
    };
    let pieces = unfold(stream, async |mut stream| {
        let piece = stream.next().await?;
        Some((piece, stream))
    });
    Response::from_parts(parts, RelayBody::pieces(Box::pin(pieces)))
}

/// A stream on its way to the client.
struct ForwardedStream {
    core: Arc<RelayState>,
    exchange: Exchange,
    turn: Option<OpenTurn>,
    tries: RetryState,
    source: Source,
    slot: Option<Slot>,
    status: StatusCode,
    first: Option<Vec<Event>>,
    /// The id of the last event that the client has: passed on, or named by it.
    last_id: Option<Bytes>,
    /// The same when the stream was last taken up elsewhere, as a number.
    resumed_behind: Option<u64>,
    until: Instant,
    ended: bool,
}

impl ForwardedStream {
    /// The next bytes for the client; `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        if self.ended {
            return None;
        }
        let next = self.next_bytes().await;
        self.ended = !matches!(next, Ok(Some(_)));
        match next {
            Ok(Some(_)) => {}
            Ok(None) => self.exchange.trace.ended(Outcome::Answered(self.status)),
            Err(why) => self.abort(why),
        }
        next.transpose()
    }

    fn abort(&mut self, why: StreamError) {
        self.core.metrics.broken_off.add();
        self.exchange.trace.ended(Outcome::StreamError(why));
        self.source.connection = None;
        self.slot = None;
        self.turn = None;
    }

    async fn next_bytes(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            if let Some(first) = self.first.take()
                && let Some(bytes) = self.take_in(first)?
            {
                return Ok(Some(bytes));
            }
            match timeout_at(self.until, self.source.next()).await {
                Err(_) => return Err(StreamError::Deadline),
                Ok(Ok(Next::Events(events))) => {
                    if let Some(bytes) = self.take_in(events)? {
                        return Ok(Some(bytes));
                    }
                }
                Ok(Ok(Next::End(rest))) if rest.is_empty() => return self.complete().await.map(|()| None),
                Ok(Ok(Next::End(rest))) => return Ok(Some(rest)),
                Ok(Err(failure)) => self.resume(failure).await?,
            }
        }
    }

    /// The bytes of events that the client does not have yet.
    fn take_in(&mut self, events: Vec<Event>) -> Result<Option<Bytes>, StreamError> {
        let mut fresh: Vec<Event> = events.into_iter().filter(|event| !self.is_known(event)).collect();
        for event in &fresh {
            self.check_rises(event);
            let kept = self.turn.as_mut().map_or(0, |turn| turn.record_event(event));
            if !self.exchange.held.grow(kept) {
                return Err(StreamError::NoCapacity);
            }
            if event.id.is_some() {
                self.last_id.clone_from(&event.id);
            }
        }
        Ok(match fresh.len() {
            0 => None,
            1 => fresh.pop().map(|event| event.raw),
            _ => {
                let mut all = BytesMut::new();
                fresh.iter().for_each(|event| all.extend_from_slice(&event.raw));
                Some(all.freeze())
            }
        })
    }

    /// What another endpoint goes on with lies behind what the client had when it was asked.
    fn check_rises(&self, event: &Event) {
        let rises = match (self.resumed_behind, number(&event.id)) {
            (Some(behind), Some(id)) => id > behind,
            _ => true,
        };
        check(Invariant::EventIdsIncrease, rises, || {
            format!("request {}, event {:?}", self.exchange.trace.request_id(), event.id)
        });
    }

    /// Whether a resumed stream repeats an event. Ids rise.
    fn is_known(&self, event: &Event) -> bool {
        match (number(&self.last_id), number(&event.id)) {
            (Some(last), Some(id)) => id <= last,
            _ => false,
        }
    }

    /// Takes the stream up at another endpoint, behind the last event passed on.
    async fn resume(&mut self, failure: AttemptFailure) -> Result<(), StreamError> {
        let mut failure = failure;
        loop {
            self.source.connection = None;
            let Some(slot) = self.slot.take() else { return Err(StreamError::Endpoint) };
            self.tries.note(&self.core, slot.endpoint().clone(), failure);
            slot.end(failure.cause.ending());
            self.prepare_resumption()?;
            let ask = self.exchange.ask(self.tries.excluded.clone(), self.exchange.left());
            let patience = self.exchange.patience();
            let slot = self.core.dispatcher.slot(ask, patience).await.map_err(|_| StreamError::Endpoint)?;
            self.exchange.trace.attempt_began(slot.endpoint());
            let answer = timeout_at(self.until, open(&self.core, &self.exchange, &slot)).await;
            self.slot = Some(slot);
            match answer {
                Err(_) => return Err(StreamError::Deadline),
                Ok(Err(again)) => failure = again,
                Ok(Ok(answer)) if answer.parts.status.is_success() => {
                    self.source = Source::new(answer).1;
                    self.core.metrics.resumed.add();
                    return Ok(());
                }
                Ok(Ok(_)) => return Err(StreamError::Endpoint),
            }
        }
    }

    /// Whether it may be resumed, and from where.
    fn prepare_resumption(&mut self) -> Result<(), StreamError> {
        let last_id = self.last_id.as_ref().and_then(|id| HeaderValue::from_bytes(id).ok());
        let may_resume = self.exchange.is_retryable() && self.tries.left(&self.exchange) > 0;
        match last_id.filter(|_| may_resume) {
            None => Err(StreamError::Endpoint),
            Some(id) => {
                self.resumed_behind = number(&self.last_id);
                self.exchange.headers.insert(header_name(headers::LAST_EVENT_ID), id);
                Ok(())
            }
        }
    }

    /// The stream has come to its end: a kept turn is on disk before the client learns of it.
    async fn complete(&mut self) -> Result<(), StreamError> {
        let Some(slot) = self.slot.take() else { return Ok(()) };
        let endpoint = slot.endpoint().clone();
        slot.end(CallOutcome::Succeeded);
        self.exchange.trace.attempt_ended(AttemptEnd::Answered);
        if let Some(connection) = self.source.connection.take() {
            self.core.pool.give_back(&endpoint, connection, self.source.keep_alive);
        }
        match self.turn.take() {
            Some(turn) => {
                let left = self.exchange.deadline.since(now());
                let kept = turn.complete(&endpoint, left).await;
                kept.inspect_err(|fault| self.exchange.note_stores(*fault))
                    .map_err(|_| StreamError::TurnNotStored)
            }
            None => Ok(()),
        }
    }
}

/// The number of an event.
fn number(id: &Option<Bytes>) -> Option<u64> {
    std::str::from_utf8(id.as_ref()?).ok()?.trim().parse().ok()
}

async fn open(core: &RelayState, exchange: &Exchange, slot: &Slot) -> Result<Answer, AttemptFailure> {
    let connection = attempt::connect(core, exchange, slot).await?;
    attempt::send(core, exchange, slot, connection).await
}
