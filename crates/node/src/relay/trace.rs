//! The record of one request: its route, its attempts and its outcome.

use std::sync::{Arc, Mutex, MutexGuard};

use http::{HeaderMap, StatusCode};
use juniperwing_clock::{Span, Time};
use juniperwing_configuration::Route;
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::headers::{REQUEST_ID, SERVER_SIGNATURE};
use juniperwing_protocol::identity::InstanceId;

use super::attempt_outcome::FailureCause;
use super::rejection::Rejection;
use super::stream_error::StreamError;
use crate::clock::now;
use crate::sessions_client::StoreFailure;
use crate::sync::lock;

/// The maximum number of recorded attempts per request. Configurations allow fewer.
const MAX_RECORDED_ATTEMPTS: usize = 16;
/// Statuses of the relay's own responses which imply that the request was not and will not be executed.
const NOT_EXECUTED_STATUSES: [StatusCode; 5] = [
    StatusCode::PAYMENT_REQUIRED,
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An endpoint's response was forwarded.
    Forwarded(StatusCode),
    /// The relay refused the request permanently.
    Refused(StatusCode),
    /// The relay rejected the request temporarily.
    Rejected(Rejection, StatusCode),
    /// The response was aborted.
    Aborted(StreamError),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// There was a complete response.
    Completed,
    /// There was none.
    Failed(FailureCause),
}

/// An attempt of a request. Times are relative to the arrival of the request's head.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// When the attempt started.
    pub started_after: Span,
    /// When and how it ended; `None` while it is in flight.
    pub end: Option<(Span, AttemptEnd)>,
}

/// The sizes of a stored turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredTurnSize {
    /// The events whose data is the turn's output.
    pub events: u64,
    /// The bytes of the turn's output.
    pub output_bytes: usize,
}

/// The recorded history of a request.
#[derive(Clone, Debug, Default)]
pub struct TraceRecord {
    /// The id that the client gave.
    pub request_id: String,
    /// The route.
    pub route: Option<Arc<Route>>,
    /// The generation of the configuration with that route.
    pub generation: u64,
    /// The attempts in order.
    pub attempts: Vec<AttemptRecord>,
    /// Whether an attempt that ended may have been executed.
    pub possibly_executed: bool,
    /// Why the stores failed.
    pub store_failure: Option<StoreFailure>,
    /// The id of the event after which the client resumes the stream; `None` if it does not resume one.
    pub resumed_after: Option<String>,
    /// The id of the last event whose output the stores knew when the client resumed the stream.
    pub known_output: Option<u64>,
    /// The bytes of the earlier turns in the body sent to endpoints.
    pub history_bytes: usize,
    /// The turn as it was passed to the stores; `None` if it was not.
    pub stored_turn: Option<StoredTurnSize>,
    /// When the head of the response was ready.
    pub responded_after: Option<Span>,
    /// How the request ended; `None` if the client disconnected before that.
    pub outcome: Option<Outcome>,
}

/// Records what happens to one request.
#[derive(Debug)]
pub struct RequestTrace {
    started_at: Time,
    record: Mutex<TraceRecord>,
}

impl RequestTrace {
    /// Starts the trace of a request whose head has just been read.
    pub fn start(request_id: &str) -> Arc<RequestTrace> {
        let record = TraceRecord { request_id: request_id.to_owned(), ..TraceRecord::default() };
        Arc::new(RequestTrace { started_at: now(), record: Mutex::new(record) })
    }

    /// Records the route, and the generation of the configuration that contains it.
    pub fn record_route(&self, route: &Arc<Route>, generation: u64) {
        let mut record = self.lock();
        record.route = Some(Arc::clone(route));
        record.generation = generation;
    }

    /// Records why the stores failed.
    pub fn record_store_failure(&self, cause: StoreFailure) {
        self.lock().store_failure = Some(cause);
    }

    /// Records that the client resumes a stream after the event with this id.
    pub fn record_client_resumption(&self, last_event_id: &str) {
        self.lock().resumed_after = Some(last_event_id.to_owned());
    }

    /// Records up to which event the stores know the output that was handed out.
    pub fn record_known_output(&self, last_event_id: Option<u64>) {
        self.lock().known_output = last_event_id;
    }

    /// Records the bytes of the earlier turns in the body.
    pub fn record_history(&self, bytes: usize) {
        self.lock().history_bytes = bytes;
    }

    /// Records the size of the turn that is passed to the stores.
    pub fn record_stored_turn(&self, size: StoredTurnSize) {
        self.lock().stored_turn = Some(size);
    }

    /// Records the start of an attempt.
    pub fn start_attempt(&self, endpoint: &InstanceId) {
        let started_after = self.elapsed();
        let mut record = self.lock();
        if record.attempts.len() < MAX_RECORDED_ATTEMPTS {
            record.attempts.push(AttemptRecord { endpoint: endpoint.clone(), started_after, end: None });
        }
    }

    /// Records that an attempt which has ended may have been executed.
    pub fn record_possibly_executed(&self) {
        self.lock().possibly_executed = true;
    }

    /// Records the end of the current attempt.
    pub fn end_attempt(&self, end: AttemptEnd) {
        let elapsed = self.elapsed();
        let mut record = self.lock();
        if let Some(attempt) = record.attempts.last_mut() {
            attempt.end.get_or_insert((elapsed, end));
        }
    }

    /// Checks, before the request is sent to an endpoint, that it is not executed twice unless it is retryable.
    pub fn check_may_send(&self, is_retryable: bool) {
        let record = self.lock();
        let may_send = is_retryable || !record.possibly_executed;
        check(Invariant::SentOnceUnlessIdempotent, may_send, || format!("request {}", record.request_id));
    }

    /// Records that the response is ready to be sent, and checks its head.
    pub fn record_response(&self, status: StatusCode, headers: &HeaderMap) {
        let elapsed = self.elapsed();
        let mut record = self.lock();
        record.responded_after = Some(elapsed);
        record.check_response(status, headers);
    }

    /// Records the outcome. Only the first one is kept, except that an abort replaces it, because a response may still
    /// be aborted while it is forwarded.
    pub fn finish(&self, outcome: Outcome) {
        let mut record = self.lock();
        if record.outcome.is_none() || matches!(outcome, Outcome::Aborted(_)) {
            record.outcome = Some(outcome);
        }
    }

    /// The id that the client gave.
    pub fn request_id(&self) -> String {
        self.lock().request_id.clone()
    }

    /// The time since the head of the request was read.
    pub fn elapsed(&self) -> Span {
        now().since(self.started_at)
    }

    /// Locks and returns the recorded history.
    pub fn lock(&self) -> MutexGuard<'_, TraceRecord> {
        lock(&self.record)
    }
}

impl TraceRecord {
    /// Whether the response came later than the route's latency target.
    pub fn is_slow(&self) -> bool {
        let target = self.route.as_ref().and_then(|route| route.target_latency);
        match (target, self.responded_after) {
            (Some(target), Some(responded_after)) => responded_after > target,
            _ => false,
        }
    }

    /// Whether the request ended without a response, or with a server error or a response of the relay itself.
    pub fn has_failed(&self) -> bool {
        match self.outcome {
            Some(Outcome::Forwarded(status)) => status.is_server_error(),
            Some(Outcome::Refused(_) | Outcome::Rejected(..) | Outcome::Aborted(_)) | None => true,
        }
    }

    /// Checks the invariants of a response to the client.
    fn check_response(&self, status: StatusCode, headers: &HeaderMap) {
        let is_own = !headers.contains_key(SERVER_SIGNATURE);
        let denies_execution = is_own && self.possibly_executed && NOT_EXECUTED_STATUSES.contains(&status);
        let request_id = &self.request_id;
        check(Invariant::NotExecutedOnlyIfKnown, !denies_execution, || {
            format!("request {request_id}, status {status}")
        });
        let mut ids = headers.get_all(REQUEST_ID).iter();
        let matches_request = is_own || ids.all(|id| id.as_bytes() == request_id.as_bytes());
        check(Invariant::ResponseMatchesRequest, matches_request, || format!("request {request_id}"));
    }
}

impl AttemptEnd {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            AttemptEnd::Completed => "completed",
            AttemptEnd::Failed(cause) => cause.name(),
        }
    }
}

impl Outcome {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Forwarded(_) => "forwarded",
            Outcome::Refused(_) => "refused",
            Outcome::Rejected(..) => "rejected",
            Outcome::Aborted(_) => "aborted",
        }
    }

    /// The name of the reason in logs; empty if there is none besides the status.
    pub fn reason(self) -> &'static str {
        match self {
            Outcome::Forwarded(_) | Outcome::Refused(_) => "",
            Outcome::Rejected(rejection, _) => rejection.name(),
            Outcome::Aborted(error) => error.name(),
        }
    }

    /// The status of the response; `None` if it was aborted.
    pub fn status(self) -> Option<StatusCode> {
        match self {
            Outcome::Forwarded(status) | Outcome::Refused(status) | Outcome::Rejected(_, status) => {
                Some(status)
            }
            Outcome::Aborted(_) => None,
        }
    }
}
