//! One attempt of a turn: sends it to a relay, records it, and reads its stream.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_random::Rng;
use tokio::time::timeout;

use super::Shared;
use super::operator::HOST;
use super::program::{StoredTurn, TOKENS_PER_EVENT, TurnOutcome};
use crate::history::{Attempt, Budget, Millis, Outcome, RequestKind};
use crate::http::{Connection, Head, HttpError, encode_request};

/// The deadline of a turn, in milliseconds.
const DEADLINE_MS: Millis = 4_000;
/// How long a client waits beyond the deadline, in milliseconds.
const EXTRA_WAIT_MS: Millis = 3_000;
/// Percentage of attempts in which a client disconnects early, if clients do.
const EARLY_DISCONNECT_PERCENT: u64 = 30;
/// The maximum number of events that a client reads before it disconnects early.
const MAX_EVENTS_BEFORE_DISCONNECT: u64 = 5;

/// What an attempt sends, and what an endpoint must receive of it.
pub struct TurnAttempt<'a> {
    /// How often the turn may run.
    pub kind: RequestKind,
    /// The request.
    pub request: TurnRequest<'a>,
    /// The body of the request.
    pub input: &'a [u8],
    /// The body that an endpoint must receive.
    pub expected_body: &'a [u8],
}

/// What a client received.
pub struct ReceivedStream {
    /// The events.
    pub events: Events,
    /// How the stream ended.
    pub end: StreamEnd,
}

impl TurnAttempt<'_> {
    /// Makes the attempt at any relay.
    ///
    /// # Errors
    ///
    /// The outcome, if the request could not be sent.
    pub async fn run(&self, shared: &Arc<Shared>, rng: &mut Rng) -> Result<ReceivedStream, TurnOutcome> {
        let relay = shared.load_balancer.choose(rng);
        let Ok(mut connection) = Connection::open(shared.load_balancer.frontend(relay)).await else {
            return Err(TurnOutcome::NotExecuted);
        };
        let id = self.request.id;
        let body = self.expected_body.to_vec();
        let mut attempt = Attempt::new(self.kind, relay, shared.history.now(), DEADLINE_MS, body);
        attempt.program = Some(self.request.program.to_owned());
        shared.history.record().attempts.insert(id.to_owned(), attempt);
        if connection.write(&self.request.encode(self.input)).await.is_err() {
            shared.history.record_outcome(id, Outcome::NotSent, 0);
            return Err(TurnOutcome::Indeterminate);
        }
        let mut events = Events::default();
        let disconnects_after = events_before_disconnect(shared, rng);
        let (outcome, end) = read_stream(&mut connection, &mut events, disconnects_after).await;
        shared.history.record_outcome(id, outcome, events.complete.len() as u64 * TOKENS_PER_EVENT);
        Ok(ReceivedStream { events, end })
    }
}

/// The number of events after which the client disconnects; `u64::MAX` if it reads all of them.
fn events_before_disconnect(shared: &Shared, rng: &mut Rng) -> u64 {
    if shared.has_early_disconnects() && rng.percent(EARLY_DISCONNECT_PERCENT) {
        rng.below(MAX_EVENTS_BEFORE_DISCONNECT + 1)
    } else {
        u64::MAX
    }
}

/// A request for a turn.
pub struct TurnRequest<'a> {
    /// The id of the attempt.
    pub id: &'a str,
    /// The path.
    pub path: &'a str,
    /// The program.
    pub program: &'a str,
    /// The program's budget.
    pub budget: Budget,
    /// The turn that it continues.
    pub previous: Option<&'a StoredTurn>,
    /// The id of the last event received, if the client resumes the stream.
    pub last_event_id: Option<usize>,
}

impl TurnRequest<'_> {
    /// Encodes the request with this input.
    fn encode(&self, input: &[u8]) -> Vec<u8> {
        let (deadline, tokens) = (DEADLINE_MS.to_string(), self.budget.tokens.to_string());
        let count = format!("{},{}", input.len(), self.budget.max_turn_tokens);
        let last_event_id = self.last_event_id.map(|id| id.to_string());
        let mut headers = vec![
            ("Host", HOST),
            ("X-Request-Id", self.id),
            ("X-Deadline-Ms", deadline.as_str()),
            ("Program", self.program),
            ("Session", self.program),
            ("Budget", tokens.as_str()),
            ("X-Token-Count", count.as_str()),
            ("X-Model", "m"),
        ];
        headers.extend(self.previous.map(|previous| ("Previous", previous.id.as_str())));
        headers.extend(last_event_id.as_deref().map(|id| ("Last-Event-Id", id)));
        encode_request("POST", self.path, &headers, input)
    }
}

/// How a stream of events ended.
pub enum StreamEnd {
    /// The response is complete.
    Complete(Head),
    /// The connection was lost, or the client gave up.
    Truncated,
}

/// Reads a stream until its end, or until more events than `disconnects_after` have arrived.
async fn read_stream(
    connection: &mut Connection, events: &mut Events, disconnects_after: u64,
) -> (Outcome, StreamEnd) {
    let mut after_head = false;
    let response = async {
        let head = connection.read_response_head().await?;
        after_head = true;
        let read = connection.read_body(&head, |chunk| {
            events.push(chunk);
            events.complete.len() as u64 <= disconnects_after
        });
        read.await?;
        Ok::<_, HttpError>(head)
    };
    match timeout(Duration::from_millis(DEADLINE_MS + EXTRA_WAIT_MS), response).await {
        Err(_) => (Outcome::TimedOut, StreamEnd::Truncated),
        Ok(Err(HttpError::ReaderStopped)) => (Outcome::ClientDisconnected, StreamEnd::Truncated),
        Ok(Err(_)) => (Outcome::ConnectionLost { after_head }, StreamEnd::Truncated),
        Ok(Ok(head)) => {
            let is_signed = head.has("x-server-signature");
            (Outcome::Status { status: head.status, is_signed }, StreamEnd::Complete(head))
        }
    }
}

/// Events of a stream as they arrive.
#[derive(Default)]
pub struct Events {
    /// The bytes after the last complete event.
    pub partial: Vec<u8>,
    /// The complete events.
    pub complete: Vec<Vec<u8>>,
}

impl Events {
    fn push(&mut self, chunk: &[u8]) {
        self.partial.extend_from_slice(chunk);
        while let Some(end) = self.partial.windows(2).position(|pair| pair == b"\n\n") {
            let rest = self.partial.split_off(end + 2);
            self.complete.push(std::mem::replace(&mut self.partial, rest));
        }
    }
}

/// The data of all events, each followed by a newline.
pub fn output_of(events: &[Vec<u8>]) -> Vec<u8> {
    let mut output = Vec::new();
    for event in events {
        for line in event.split(|byte| *byte == b'\n') {
            if let Some(data) = line.strip_prefix(b"data: ") {
                output.extend_from_slice(data);
                output.push(b'\n');
            }
        }
    }
    output
}
