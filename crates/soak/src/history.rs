//! What callers and endpoints saw, with the times of the troubles.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use juniperwing_node::sync::lock;

use crate::troubles::TroubleKind;

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
pub enum Ended {
    /// With a whole answer.
    Status {
        /// Its status.
        status: u16,
        /// Whether an endpoint gave it.
        stamped: bool,
    },
    /// The connection ended before the answer did.
    Cut {
        /// Whether the head of the answer had come.
        after_head: bool,
    },
    /// The client waited for far longer than its deadline.
    Silence,
    /// The client left.
    Left,
    /// The request could not be sent whole.
    NotSent,
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Try {
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
    pub ended: Option<(Millis, Ended)>,
    /// Tokens that reached the client.
    pub tokens: u64,
    /// When it ran, and at which endpoint.
    pub runs: Vec<(Millis, String)>,
    /// What its runs answered: one that may be repeated may have several.
    pub answers: Vec<Vec<u8>>,
    /// Whether an endpoint broke off or misbehaved otherwise.
    pub spoiled: bool,
}

impl Try {
    /// One that is about to be sent to a relay.
    pub fn begin(
        kind: RequestKind, relay: usize, sent_at: Millis, deadline_ms: Millis, expected_body: Vec<u8>,
    ) -> Try {
        Try {
            kind,
            program: None,
            relay,
            sent_at,
            deadline_ms,
            expected_body,
            ended: None,
            tokens: 0,
            runs: Vec::new(),
            answers: Vec::new(),
            spoiled: false,
        }
    }
}

/// What a program may spend.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Tokens of all turns.
    pub tokens: u64,
    /// The most of one turn.
    pub most: u64,
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
    pub life: u64,
    /// When it was asked.
    pub sent_at: Millis,
    /// The generation whose route was asked for.
    pub generation: u64,
    /// The status.
    pub status: u16,
}

/// A trouble as it was played.
#[derive(Clone, Copy, Debug)]
pub struct Suffered {
    /// What.
    pub kind: TroubleKind,
    /// When it began.
    pub from: Millis,
    /// When it was over, with the time that the tier has to recover from it.
    pub until: Millis,
}

/// Something that must not be.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The promise that was broken, in a word.
    pub promise: &'static str,
    /// What was seen.
    pub details: String,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Record {
    /// Tries by the id of the request.
    pub tries: BTreeMap<String, Try>,
    /// Budgets by program.
    pub budgets: BTreeMap<String, Budget>,
    /// Orders.
    pub orders: Vec<Order>,
    /// Reads of the configuration.
    pub reads: Vec<ConfigurationRead>,
    /// Probes of relays.
    pub probes: Vec<RelayProbe>,
    /// Troubles.
    pub suffered: Vec<Suffered>,
    /// When turns were answered whole.
    pub turns_served: Vec<Millis>,
    /// When plain requests were answered whole.
    pub requests_served: Vec<Millis>,
    /// Runs after a drain: when it was acknowledged, when the run began, and the request.
    pub late_runs: Vec<(Millis, Millis, String)>,
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
    pub fn found(&self, promise: &'static str, details: String) {
        let at = self.now();
        let details = format!("at {at} ms: {details}");
        self.record().findings.insert(Finding { promise, details });
    }

    /// A request begins to run at an endpoint, which was handed this body. `false` if nobody sent it.
    pub fn runs(&self, request: &str, instance: &str, body: &[u8]) -> bool {
        let at = self.now();
        let mut record = self.record();
        let Some(tried) = record.tries.get_mut(request) else { return false };
        tried.runs.push((at, instance.to_owned()));
        let differs = tried.expected_body != body;
        let (wanted, got) = (tried.expected_body.len(), body.len());
        drop(record);
        if differs {
            let details = format!("request {request} at {instance}: {got} bytes in place of {wanted}");
            self.found("body of a request", details);
        }
        true
    }

    /// The endpoint that runs a request breaks off or misbehaves otherwise.
    pub fn spoiled(&self, request: &str) {
        if let Some(tried) = self.record().tries.get_mut(request) {
            tried.spoiled = true;
        }
    }

    /// The endpoint answers a request.
    pub fn answered(&self, request: &str, answer: &[u8]) {
        if let Some(tried) = self.record().tries.get_mut(request) {
            tried.answers.push(answer.to_owned());
        }
    }

    /// Whether an endpoint gave this answer to a request.
    pub fn is_answer_to(&self, request: &str, answer: &[u8]) -> bool {
        self.record()
            .tries
            .get(request)
            .is_some_and(|tried| tried.answers.iter().any(|given| given == answer))
    }

    /// A client's try has ended.
    pub fn ended(&self, request: &str, ended: Ended, tokens: u64) {
        let at = self.now();
        let mut record = self.record();
        let Some(tried) = record.tries.get_mut(request) else { return };
        tried.ended = Some((at, ended));
        tried.tokens = tokens;
        let served = matches!(ended, Ended::Status { status: 200, stamped: true });
        let is_turn = tried.kind == RequestKind::Turn;
        if served && is_turn {
            record.turns_served.push(at);
        } else if served {
            record.requests_served.push(at);
        }
    }
}
