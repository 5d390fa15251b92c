//! What became of each request: one line of the log for each that failed, was broken off or was slow.
//!
//! From a client's `X-Request-Id` the line tells the route, the configuration, every endpoint that was tried with
//! its time and its end, what the stores said, and why the request ended as it did.

use std::sync::{Arc, Mutex};

use http::{Response, StatusCode};
use juniperwing_clock::{Span, Time};
use juniperwing_configuration::Route;
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::headers::{REQUEST_ID, SERVER_SIGNATURE};
use juniperwing_protocol::identity::InstanceId;
use slog::{Logger, info};

use super::attempt_outcome::{FailureCause, Rejection};
use super::body::{RelayBody, StreamError};
use crate::clock::now;
use crate::rate_limit::RateLimit;
use crate::sessions_client::StoreTrouble;
use crate::sync::lock;

/// Lines for requests that failed in a second; further ones are counted.
const MAX_FAILED_LINES_PER_SECOND: u32 = 100;
/// Lines for requests that were answered, but late, in a second.
const MAX_SLOW_LINES_PER_SECOND: u32 = 10;
/// RetryState of one request that are told; configurations allow fewer.
const MAX_ATTEMPTS: usize = 16;
/// Statuses by which the relay promises that a request has not run and never will.
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
    /// An endpoint's answer was passed on whole.
    Answered(StatusCode),
    /// Answered by the relay for good.
    Refused(StatusCode),
    /// Given up by the relay.
    Rejection(Rejection, StatusCode),
    /// A stream was broken off.
    StreamError(StreamError),
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a whole answer, or the end of its stream.
    Answered,
    /// Without.
    Failed(FailureCause),
}

#[derive(Debug)]
struct Attempt {
    endpoint: InstanceId,
    /// From the head of the request on.
    began: Span,
    ended: Option<(Span, AttemptEnd)>,
}

#[derive(Debug, Default)]
struct State {
    request: String,
    route: Option<Arc<Route>>,
    generation: u64,
    attempts: Vec<Attempt>,
    may_have_run: bool,
    stores: Option<StoreTrouble>,
    /// When the first byte of the answer could go out.
    answered_after: Option<Span>,
    outcome: Option<Outcome>,
}

/// What is known of one request.
#[derive(Debug)]
pub struct RequestTrace {
    began: Time,
    state: Mutex<State>,
}

impl RequestTrace {
    /// A request whose head has just been read.
    pub fn begin(request: &str) -> Arc<RequestTrace> {
        let state = State { request: request.to_owned(), ..State::default() };
        Arc::new(RequestTrace { began: now(), state: Mutex::new(state) })
    }

    /// The route that it takes, and the generation of the configuration that says so.
    pub fn routed(&self, route: &Arc<Route>, generation: u64) {
        let mut state = lock(&self.state);
        state.route = Some(Arc::clone(route));
        state.generation = generation;
    }

    /// The stores could not do what it needs.
    pub fn stores_failed(&self, trouble: StoreTrouble) {
        lock(&self.state).stores = Some(trouble);
    }

    /// A try begins at an endpoint.
    pub fn attempt_began(&self, endpoint: &InstanceId) {
        let began = self.elapsed();
        let mut state = lock(&self.state);
        if state.attempts.len() < MAX_ATTEMPTS {
            state.attempts.push(Attempt { endpoint: endpoint.clone(), began, ended: None });
        }
    }

    /// A try has ended of which it is not known that it did not run.
    pub fn may_have_run(&self) {
        lock(&self.state).may_have_run = true;
    }

    /// The try under way has ended.
    pub fn attempt_ended(&self, end: AttemptEnd) {
        let elapsed = self.elapsed();
        let mut state = lock(&self.state);
        if let Some(attempt) = state.attempts.last_mut() {
            attempt.ended.get_or_insert((elapsed, end));
        }
    }

    /// The request is written to an endpoint now.
    pub fn sending(&self, is_retryable: bool) {
        let state = lock(&self.state);
        let once = is_retryable || !state.may_have_run;
        check(Invariant::SentOnceUnlessIdempotent, once, || format!("request {}", state.request));
    }

    /// The answer goes out.
    pub fn answering(&self, answer: &Response<RelayBody>) {
        let elapsed = self.elapsed();
        let mut state = lock(&self.state);
        state.answered_after = Some(elapsed);
        state.check_answer(answer);
    }

    /// How it ended; the first word counts, except that a stream which was answered may still break off.
    pub fn ended(&self, outcome: Outcome) {
        let mut state = lock(&self.state);
        if state.outcome.is_none() || matches!(outcome, Outcome::StreamError(_)) {
            state.outcome = Some(outcome);
        }
    }

    /// The id that the client gave.
    pub fn request_id(&self) -> String {
        lock(&self.state).request.clone()
    }

    fn elapsed(&self) -> Span {
        now().since(self.began)
    }
}

impl State {
    /// Whether it was answered later than its route wants.
    fn is_slow(&self) -> bool {
        let objective = self.route.as_ref().and_then(|route| route.target_latency);
        match (objective, self.answered_after) {
            (Some(objective), Some(answered_after)) => answered_after > objective,
            _ => false,
        }
    }

    /// Whether the answer is one that may be given.
    fn check_answer(&self, answer: &Response<RelayBody>) {
        let headers = answer.headers();
        let is_own = !headers.contains_key(SERVER_SIGNATURE);
        let breaks_promise = is_own && self.may_have_run && NOT_EXECUTED_STATUSES.contains(&answer.status());
        let request = &self.request;
        check(Invariant::NotExecutedOnlyIfKnown, !breaks_promise, || {
            format!("request {request}, status {}", answer.status())
        });
        let mut ids = headers.get_all(REQUEST_ID).iter();
        let is_of_the_request = is_own || ids.all(|id| id.as_bytes() == request.as_bytes());
        check(Invariant::ResponseMatchesRequest, is_of_the_request, || format!("request {request}"));
    }

    fn has_failed(&self) -> bool {
        match self.outcome {
            Some(Outcome::Answered(status)) => status.is_server_error(),
            Some(Outcome::Refused(_) | Outcome::Rejection(..) | Outcome::StreamError(_)) | None => true,
        }
    }

    /// Every try as `endpoint@began+lasted=end`, times in milliseconds.
    fn attempts(&self) -> String {
        let tell = |attempt: &Attempt| {
            let began = millis(attempt.began);
            match attempt.ended {
                None => format!("{}@{began}=under way", attempt.endpoint.0),
                Some((ended, end)) => {
                    let lasted = millis(ended - attempt.began);
                    format!("{}@{began}+{lasted}={}", attempt.endpoint.0, end.name())
                }
            }
        };
        let all: Vec<String> = self.attempts.iter().map(tell).collect();
        all.join(" ")
    }
}

impl AttemptEnd {
    fn name(self) -> &'static str {
        match self {
            AttemptEnd::Answered => "answered",
            AttemptEnd::Failed(cause) => cause.name(),
        }
    }
}

impl Outcome {
    /// Its name, and what is behind it.
    fn names(self) -> (&'static str, &'static str) {
        match self {
            Outcome::Answered(_) => ("answered", ""),
            Outcome::Refused(_) => ("refused", ""),
            Outcome::Rejection(why, _) => ("given up", why.name()),
            Outcome::StreamError(why) => ("broken off", why.name()),
        }
    }

    fn status(self) -> Option<StatusCode> {
        match self {
            Outcome::Answered(status) | Outcome::Refused(status) | Outcome::Rejection(_, status) => {
                Some(status)
            }
            Outcome::StreamError(_) => None,
        }
    }
}

/// Writes the lines.
#[derive(Debug)]
pub struct RequestLog {
    log: Logger,
    failed: RateLimit,
    slow: RateLimit,
}

impl RequestLog {
    /// Lines go to `log`.
    pub fn new(log: Logger) -> Self {
        let failed = RateLimit::per_second(MAX_FAILED_LINES_PER_SECOND);
        RequestLog { log, failed, slow: RateLimit::per_second(MAX_SLOW_LINES_PER_SECOND) }
    }

    fn write(&self, trace: &RequestTrace) {
        let state = lock(&trace.state);
        let has_failed = state.has_failed();
        if !has_failed && !state.is_slow() {
            return;
        }
        let limit = if has_failed { &self.failed } else { &self.slow };
        let Some(unlogged) = limit.take() else { return };
        let (outcome, why) = state.outcome.map_or(("left", "the client left"), Outcome::names);
        let status = state.outcome.and_then(Outcome::status).map_or(0, |status| status.as_u16());
        info!(self.log, "request";
            "request" => &state.request, "outcome" => outcome, "why" => why, "status" => status,
            "route" => state.route.as_ref().map_or("", |route| &route.name.0),
            "generation" => state.generation, "attempts" => state.attempts(),
            "stores" => state.stores.map(|trouble| trouble.to_string()).unwrap_or_default(),
            "answered_ms" => state.answered_after.map(millis), "took_ms" => millis(trace.elapsed()),
            "unlogged" => unlogged);
    }
}

/// Tells what became of a request when it is dropped: with the end of its answer, or when its client has left.
#[derive(Debug)]
pub struct Traced {
    /// What is known.
    pub trace: Arc<RequestTrace>,
    log: Arc<RequestLog>,
}

impl Traced {
    /// Of a request that has just been read.
    pub fn new(trace: Arc<RequestTrace>, log: Arc<RequestLog>) -> Self {
        Traced { trace, log }
    }
}

impl Drop for Traced {
    fn drop(&mut self) {
        self.log.write(&self.trace);
    }
}

fn millis(span: Span) -> u64 {
    span.as_nanos() / 1_000_000
}
