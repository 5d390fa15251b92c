//! Record of a play: what clients and endpoints observed, and when faults were active.

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
    /// A stored turn, which may run at most once.
    Turn,
    /// A stored turn whose stream may be resumed: it may run more than once.
    ResumableTurn,
}

impl RequestKind {
    /// Whether a request may run more than once.
    pub fn may_run_again(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::ResumableTurn)
    }

    fn is_turn(self) -> bool {
        matches!(self, RequestKind::Turn | RequestKind::ResumableTurn)
    }
}

/// Outcome of an attempt, as the client observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete.
    Status {
        /// The status.
        status: u16,
        /// Whether the response carries the signature of an endpoint.
        is_signed: bool,
    },
    /// The connection was lost before the response was complete.
    ConnectionLost {
        /// Whether the head of the response had arrived.
        after_head: bool,
    },
    /// There was no complete response within the deadline and the additional wait of the client.
    TimedOut,
    /// The client disconnected before the response was complete.
    ClientDisconnected,
    /// The request could not be sent completely.
    NotSent,
}

/// A request that a client sent once.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// How often it may run.
    pub kind: RequestKind,
    /// The program of a turn; `None` for other requests.
    pub program: Option<String>,
    /// The number of the relay that it was sent to.
    pub relay: usize,
    /// When its last byte was sent.
    pub sent_at: Millis,
    /// Its deadline, in milliseconds after it was sent.
    pub deadline_ms: Millis,
    /// The body that an endpoint must receive.
    pub expected_body: Vec<u8>,
    /// Time and kind of its end; `None` while it is in flight.
    pub outcome: Option<(Millis, Outcome)>,
    /// Number of tokens that the client received.
    pub tokens: u64,
    /// Its executions: when they began, and at which endpoint.
    pub runs: Vec<(Millis, String)>,
    /// The response bodies of its executions: an idempotent request may have several.
    pub responses: Vec<Vec<u8>>,
    /// Whether an endpoint mishandled it.
    pub has_endpoint_fault: bool,
}

impl Attempt {
    /// An attempt that is about to be sent to a relay.
    pub fn new(
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
            responses: Vec::new(),
            has_endpoint_fault: false,
        }
    }
}

/// The token budget of a program.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// The maximum number of tokens of all turns together.
    pub tokens: u64,
    /// The maximum number of tokens of one turn.
    pub max_turn_tokens: u64,
}

/// One response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderResponse {
    /// The number of the keeper.
    pub keeper: usize,
    /// When the order was sent to this keeper.
    pub sent_at: Millis,
    /// When the response arrived.
    pub at: Millis,
    /// Its status.
    pub status: u16,
}

/// A configuration change that an operator sent to one keeper after another until it got a definite response.
#[derive(Clone, Debug)]
pub struct Order {
    /// The generation on which it is based.
    pub base: u64,
    /// The generation of the new configuration.
    pub generation: u64,
    /// The bytes of the new configuration.
    pub body: Vec<u8>,
    /// When it was first sent.
    pub sent_at: Millis,
    /// The responses that arrived.
    pub responses: Vec<OrderResponse>,
}

impl Order {
    /// Time of the first acknowledgement.
    pub fn acknowledged_at(&self) -> Option<Millis> {
        self.responses.iter().filter(|response| response.status == 200).map(|response| response.at).min()
    }

    /// Whether a keeper rejected it.
    pub fn is_rejected(&self) -> bool {
        self.responses.iter().any(|response| (400..500).contains(&response.status))
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

/// A probe that shows which configuration a relay has applied.
#[derive(Clone, Copy, Debug)]
pub struct RelayProbe {
    /// The number of the relay.
    pub relay: usize,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// When the request was sent.
    pub sent_at: Millis,
    /// The generation whose route was requested.
    pub generation: u64,
    /// The status.
    pub status: u16,
}

/// The interval in which a fault was active.
#[derive(Clone, Copy, Debug)]
pub struct FaultInterval {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When it began.
    pub started_at: Millis,
    /// When its injection ended; far in the future while it is active.
    pub ended_at: Millis,
}

/// A request that began to run at an endpoint after its drain time was over.
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
    /// The guarantee that was violated, as a short text.
    pub guarantee: &'static str,
    /// What was observed.
    pub details: String,
}

/// All observations of a play.
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
    /// Findings made during the play; the oracle adds its own afterwards.
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

    /// Records a violation of a guarantee at the current time.
    pub fn record_finding(&self, guarantee: &'static str, details: String) {
        let at = self.now();
        let details = format!("at {at} ms: {details}");
        self.record().findings.insert(Finding { guarantee, details });
    }

    /// Records that a request began to run at an endpoint with this body. Returns `false` if no client has sent it.
    pub fn record_run(&self, request: &str, instance: &str, body: &[u8]) -> bool {
        let at = self.now();
        let mut record = self.record();
        let Some(attempt) = record.attempts.get_mut(request) else { return false };
        attempt.runs.push((at, instance.to_owned()));
        let differs = attempt.expected_body != body;
        let (expected_bytes, actual_bytes) = (attempt.expected_body.len(), body.len());
        drop(record);
        if differs {
            let details = format!(
                "request {request} at {instance}: {actual_bytes} bytes, sent {expected_bytes} other bytes"
            );
            self.record_finding("body of a request", details);
        }
        true
    }

    /// Records that the endpoint that runs a request mishandles it.
    pub fn record_endpoint_fault(&self, request: &str) {
        if let Some(attempt) = self.record().attempts.get_mut(request) {
            attempt.has_endpoint_fault = true;
        }
    }

    /// Records the response of an endpoint to a request.
    pub fn record_response(&self, request: &str, response: &[u8]) {
        if let Some(attempt) = self.record().attempts.get_mut(request) {
            attempt.responses.push(response.to_owned());
        }
    }

    /// Whether an endpoint gave this response body to a request.
    pub fn is_response_to(&self, request: &str, response: &[u8]) -> bool {
        self.record()
            .attempts
            .get(request)
            .is_some_and(|attempt| attempt.responses.iter().any(|recorded| recorded == response))
    }

    /// Records how a client's attempt ended and how many tokens it received.
    pub fn record_outcome(&self, request: &str, outcome: Outcome, tokens: u64) {
        let at = self.now();
        let mut record = self.record();
        let Some(attempt) = record.attempts.get_mut(request) else { return };
        attempt.outcome = Some((at, outcome));
        attempt.tokens = tokens;
        let served = matches!(outcome, Outcome::Status { status: 200, is_signed: true });
        let is_turn = attempt.kind.is_turn();
        if served && is_turn {
            record.turns_served.push(at);
        } else if served {
            record.requests_served.push(at);
        }
    }
}
