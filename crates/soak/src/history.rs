//! What callers and endpoints saw, with the times of the faults.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use juniperwing_node::sync::lock;

use crate::faults::FaultKind;

/// Milliseconds since the play began.
pub type Millis = u64;

/// What a request may suffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run more than once.
    Repeatable,
    /// It may run once.
    Once,
    /// A turn that is kept; it may run once.
    Turn,
}

/// How a try of a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a whole answer.
    Status {
        /// Its status.
        status: u16,
        /// Whether an endpoint gave it.
        is_signed: bool,
    },
    /// The connection ended before the answer did.
    ConnectionLost {
        /// Whether the head of the answer had come.
        after_head: bool,
    },
    /// The client waited for far longer than its deadline.
    TimedOut,
    /// The client left.
    ClientDisconnected,
    /// The request could not be sent whole.
    NotSent,
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// What it may suffer.
    pub kind: RequestKind,
    /// The program, if it is a turn.
    pub program: Option<String>,
    /// The relay that took it, by its number.
    pub relay: usize,
    /// When its last byte was sent.
    pub sent_at: Millis,
    /// The time that it was given.
    pub deadline_ms: Millis,
    /// What an endpoint must be handed.
    pub expected_body: Vec<u8>,
    /// How it ended, and when.
    pub outcome: Option<(Millis, Outcome)>,
    /// Tokens that reached the client.
    pub tokens: u64,
    /// When it ran, and at which endpoint.
    pub runs: Vec<(Millis, String)>,
    /// What its runs answered: one that may be repeated may have several.
    pub answers: Vec<Vec<u8>>,
    /// Whether an endpoint broke off or misbehaved otherwise.
    pub has_endpoint_fault: bool,
}

impl Attempt {
    /// One that is about to be sent to a relay.
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

/// What a program may spend.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Tokens of all turns.
    pub tokens: u64,
    /// The most of one turn.
    pub max_turn_tokens: u64,
}

/// One answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderAnswer {
    /// The keeper, by its number.
    pub keeper: usize,
    /// When it was sent there.
    pub sent_at: Millis,
    /// When the answer came.
    pub at: Millis,
    /// Its status.
    pub status: u16,
}

/// A configuration that an operator sent, to one keeper after the other.
#[derive(Clone, Debug)]
pub struct Order {
    /// The generation that it builds on.
    pub base: u64,
    /// Its own generation.
    pub generation: u64,
    /// Its bytes.
    pub body: Vec<u8>,
    /// When it was sent first.
    pub sent_at: Millis,
    /// The answers that came.
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

/// An answer to a read of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationRead {
    /// The keeper, by its number.
    pub keeper: usize,
    /// When it was asked.
    pub sent_at: Millis,
    /// When it answered.
    pub at: Millis,
    /// The status.
    pub status: u16,
    /// The bytes.
    pub body: Vec<u8>,
}

/// A probe of the configuration in force at a relay.
#[derive(Clone, Copy, Debug)]
pub struct RelayProbe {
    /// The relay, by its number.
    pub relay: usize,
    /// Which start of its process this was.
    pub incarnation: u64,
    /// When it was asked.
    pub sent_at: Millis,
    /// The generation whose route was asked for.
    pub generation: u64,
    /// The status.
    pub status: u16,
}

/// A fault as it was played.
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
    /// The promise that was broken, in a word.
    pub guarantee: &'static str,
    /// What was seen.
    pub details: String,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Record {
    /// Tries by the id of the request.
    pub attempts: BTreeMap<String, Attempt>,
    /// Budgets by program.
    pub budgets: BTreeMap<String, Budget>,
    /// Orders.
    pub orders: Vec<Order>,
    /// Reads of the configuration.
    pub reads: Vec<ConfigurationRead>,
    /// Probes of relays.
    pub probes: Vec<RelayProbe>,
    /// Faults.
    pub fault_intervals: Vec<FaultInterval>,
    /// When turns were answered whole.
    pub turns_served: Vec<Millis>,
    /// When plain requests were answered whole.
    pub requests_served: Vec<Millis>,
    /// Runs that began too long after the endpoint had drained.
    pub late_runs: Vec<LateRun>,
    /// What was found at once.
    pub findings: BTreeSet<Finding>,
}

/// The record of a play, while it goes on.
#[derive(Debug)]
pub struct History {
    began: Instant,
    record: Mutex<Record>,
}

impl Default for History {
    fn default() -> Self {
        History { began: Instant::now(), record: Mutex::default() }
    }
}

impl History {
    /// Milliseconds since the play began.
    pub fn now(&self) -> Millis {
        self.began.elapsed().as_millis() as Millis
    }

    /// The record as it stands.
    pub fn record(&self) -> MutexGuard<'_, Record> {
        lock(&self.record)
    }

    /// Something that must not be was seen.
    pub fn record_finding(&self, guarantee: &'static str, details: String) {
        let at = self.now();
        let details = format!("at {at} ms: {details}");
        self.record().findings.insert(Finding { guarantee, details });
    }

    /// A request begins to run at an endpoint, which was handed this body. `false` if nobody sent it.
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

    /// The endpoint that runs a request breaks off or misbehaves otherwise.
    pub fn record_endpoint_fault(&self, request: &str) {
        if let Some(attempt) = self.record().attempts.get_mut(request) {
            attempt.has_endpoint_fault = true;
        }
    }

    /// The endpoint answers a request.
    pub fn record_answer(&self, request: &str, answer: &[u8]) {
        if let Some(attempt) = self.record().attempts.get_mut(request) {
            attempt.answers.push(answer.to_owned());
        }
    }

    /// Whether an endpoint gave this answer to a request.
    pub fn is_answer_to(&self, request: &str, answer: &[u8]) -> bool {
        self.record()
            .attempts
            .get(request)
            .is_some_and(|attempt| attempt.answers.iter().any(|given| given == answer))
    }

    /// A client's try has ended.
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
