//! The record of a play: what callers and endpoints observed, and when faults were active.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use juniperwing_node::sync::lock;

use crate::faults::FaultKind;

/// Milliseconds since the play began.
pub type Millis = u64;

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent: it may run more than once.
    Idempotent,
    /// Non-idempotent: it may run at most once.
    NonIdempotent,
    /// A stored turn; it may run at most once.
    Turn,
}

/// How an attempt of a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a complete response.
    Status {
        /// Its status.
        status: u16,
        /// Whether it carries the signature of an endpoint.
        is_signed: bool,
    },
    /// The connection ended before the response did.
    ConnectionLost {
        /// Whether the head of the response had arrived.
        after_head: bool,
    },
    /// The client gave up long after its deadline.
    TimedOut,
    /// The client disconnected.
    ClientDisconnected,
    /// The request could not be sent completely.
    NotSent,
}

/// One request that a client sent once.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// How often it may run.
    pub kind: RequestKind,
    /// The program, if it is a turn.
    pub program: Option<String>,
    /// The number of the relay that it was sent to.
    pub relay: usize,
    /// When its last byte was sent.
    pub sent_at: Millis,
    /// Its deadline, in milliseconds after it was sent.
    pub deadline_ms: Millis,
    /// The body that an endpoint must receive.
    pub expected_body: Vec<u8>,
    /// When and how it ended; `None` while it is in flight.
    pub outcome: Option<(Millis, Outcome)>,
    /// Tokens that reached the client.
    pub tokens: u64,
    /// When it ran, and at which endpoint.
    pub runs: Vec<(Millis, String)>,
    /// The responses of its runs: an idempotent request may have several.
    pub answers: Vec<Vec<u8>>,
    /// Whether an endpoint misbehaved towards it.
    pub has_endpoint_fault: bool,
}

impl Attempt {
    /// An attempt that is about to be sent to a relay.
    pub fn begin(
        kind: RequestKind, relay: usize, sent_at: Millis, deadline_ms: Millis, expected_body: Vec<u8>,
    ) -> Attempt {
        Attempt {
            kind,
            program: None,
            relay,
            sent_at,
            deadline_ms,
            expected_body,
            outcome: None,
            tokens: 0,
            runs: Vec::new(),
            answers: Vec::new(),
            has_endpoint_fault: false,
        }
    }
}

/// The token budget of a program.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// The maximum number of tokens of all turns.
    pub tokens: u64,
    /// The maximum number of tokens of one turn.
    pub max_turn_tokens: u64,
}

/// One response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderAnswer {
    /// The number of the keeper.
    pub keeper: usize,
    /// When the order was sent to this keeper.
    pub sent_at: Millis,
    /// When the response arrived.
    pub at: Millis,
    /// Its status.
    pub status: u16,
}

/// A configuration change that an operator sent to one keeper after the other.
#[derive(Clone, Debug)]
pub struct Order {
    /// The generation that it replaces.
    pub base: u64,
    /// Its own generation.
    pub generation: u64,
    /// Its bytes.
    pub body: Vec<u8>,
    /// When it was sent first.
    pub sent_at: Millis,
    /// The responses that arrived.
    pub answers: Vec<OrderAnswer>,
}

impl Order {
    /// When it was first acknowledged.
    pub fn acknowledged_at(&self) -> Option<Millis> {
        self.answers.iter().filter(|answer| answer.status == 200).map(|answer| answer.at).min()
    }

    /// Whether it was refused.
    pub fn is_refused(&self) -> bool {
        self.answers.iter().any(|answer| (400..500).contains(&answer.status))
    }
}

/// A response to a read of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationRead {
    /// The number of the keeper.
    pub keeper: usize,
    /// When the request was sent.
    pub sent_at: Millis,
    /// When the response arrived.
    pub at: Millis,
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// A probe of the configuration that a relay applies.
#[derive(Clone, Copy, Debug)]
pub struct RelayProbe {
    /// The number of the relay.
    pub relay: usize,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// When the request was sent.
    pub sent_at: Millis,
    /// The generation whose route was asked for.
    pub generation: u64,
    /// The status.
    pub status: u16,
}

/// A fault as it was injected.
#[derive(Clone, Copy, Debug)]
pub struct FaultInterval {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When it began.
    pub started_at: Millis,
    /// When its injection ended; far in the future while it lasts.
    pub ended_at: Millis,
}

/// A request that began to run at an endpoint after its drain.
#[derive(Clone, Debug)]
pub struct LateRun {
    /// When a keeper acknowledged the drain.
    pub drained_at: Millis,
    /// When the request began to run.
    pub started_at: Millis,
    /// The id of the request.
    pub request: String,
}

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The guarantee that was violated, in a few words.
    pub guarantee: &'static str,
    /// What was observed.
    pub details: String,
}

/// Everything that was observed.
#[derive(Debug, Default)]
pub struct Record {
    /// Attempts by the id of the request.
    pub attempts: BTreeMap<String, Attempt>,
    /// Budgets by program.
    pub budgets: BTreeMap<String, Budget>,
    /// Orders.
    pub orders: Vec<Order>,
    /// Reads of the configuration.
    pub reads: Vec<ConfigurationRead>,
    /// Probes of relays.
    pub probes: Vec<RelayProbe>,
    /// Intervals in which faults were active.
    pub fault_intervals: Vec<FaultInterval>,
    /// When turns were served completely.
    pub turns_served: Vec<Millis>,
    /// When plain requests were served completely.
    pub requests_served: Vec<Millis>,
    /// Runs that began too long after the endpoint had drained.
    pub late_runs: Vec<LateRun>,
    /// Findings of the play itself, as against those of the oracle.
    pub findings: BTreeSet<Finding>,
}

/// The record of a play in progress.
#[derive(Debug)]
pub struct History {
    started_at: Instant,
    record: Mutex<Record>,
}

impl Default for History {
    fn default() -> Self {
        History { started_at: Instant::now(), record: Mutex::default() }
    }
}

impl History {
    /// Milliseconds since the play began.
    pub fn now(&self) -> Millis {
        self.started_at.elapsed().as_millis() as Millis
    }

    /// Locks the record.
    pub fn record(&self) -> MutexGuard<'_, Record> {
        lock(&self.record)
    }

    /// Records a violation of a guarantee at the present time.
    pub fn record_finding(&self, guarantee: &'static str, details: String) {
        let at = self.now();
        let details = format!("at {at} ms: {details}");
        self.record().findings.insert(Finding { guarantee, details });
    }

    /// Records that a request began to run at an endpoint with this body. Returns `false` if nobody sent it.
    pub fn record_run(&self, request: &str, instance: &str, body: &[u8]) -> bool {
        let at = self.now();
        let mut record = self.record();
        let Some(attempt) = record.attempts.get_mut(request) else { return false };
        attempt.runs.push((at, instance.to_owned()));
        let differs = attempt.expected_body != body;
        let (expected_bytes, actual_bytes) = (attempt.expected_body.len(), body.len());
        drop(record);
        if differs {
            let details =
                format!("request {request} at {instance}: {actual_bytes} bytes in place of {expected_bytes}");
            self.record_finding("body of a request", details);
        }
        true
    }

    /// Records that the endpoint that runs a request misbehaves.
    pub fn record_endpoint_fault(&self, request: &str) {
        if let Some(attempt) = self.record().attempts.get_mut(request) {
            attempt.has_endpoint_fault = true;
        }
    }

    /// Records the response of an endpoint to a request.
    pub fn record_answer(&self, request: &str, answer: &[u8]) {
        if let Some(attempt) = self.record().attempts.get_mut(request) {
            attempt.answers.push(answer.to_owned());
        }
    }

    /// Whether an endpoint gave this response to a request.
    pub fn is_answer_to(&self, request: &str, answer: &[u8]) -> bool {
        self.record()
            .attempts
            .get(request)
            .is_some_and(|attempt| attempt.answers.iter().any(|given| given == answer))
    }

    /// Records how a client's attempt ended and how many tokens it received.
    pub fn record_outcome(&self, request: &str, outcome: Outcome, tokens: u64) {
        let at = self.now();
        let mut record = self.record();
        let Some(attempt) = record.attempts.get_mut(request) else { return };
        attempt.outcome = Some((at, outcome));
        attempt.tokens = tokens;
        let served = matches!(outcome, Outcome::Status { status: 200, is_signed: true });
        let is_turn = attempt.kind == RequestKind::Turn;
        if served && is_turn {
            record.turns_served.push(at);
        } else if served {
            record.requests_served.push(at);
        }
    }
}
