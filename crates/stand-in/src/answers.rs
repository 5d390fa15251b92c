//! How a stand-in answers requests.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::Response;
use axum::routing::get;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Limited};
use juniperwing_protocol::headers;
use tokio::time::sleep;

use crate::options::EndpointOptions;

/// The longest body that is taken, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// What all answers share.
#[derive(Debug)]
pub struct Answering {
    options: EndpointOptions,
    running: AtomicUsize,
    stamps: AtomicU64,
    leaving: AtomicBool,
}

impl Answering {
    /// Answers as the options say.
    pub fn new(options: EndpointOptions) -> Self {
        Answering {
            options,
            running: AtomicUsize::new(0),
            stamps: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
        }
    }

    /// From now on health checks fail, and answers say that their connection closes.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// A slot, if one is free.
    fn slot(self: &Arc<Self>) -> Option<Slot> {
        let capacity = self.options.capacity;
        let more = |running| (running < capacity).then_some(running + 1);
        self.running.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more).ok()?;
        Some(Slot(Arc::clone(self)))
    }

    /// The stamp of an answer; every run has its own.
    fn stamp(&self) -> String {
        let number = self.stamps.fetch_add(1, Ordering::Relaxed);
        format!("{}.{number}", self.options.instance)
    }
}

/// A slot that is taken until this is dropped.
struct Slot(Arc<Answering>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// All that a stand-in answers.
pub fn router(answering: Arc<Answering>) -> Router {
    Router::new().route("/healthz", get(health)).fallback(answer).with_state(answering)
}

async fn health(State(answering): State<Arc<Answering>>) -> Response {
    let status = if answering.is_leaving() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
    let mut response = plain(status, Body::empty());
    set(&mut response, headers::INSTANCE_ID, &answering.options.instance);
    response
}

async fn answer(State(answering): State<Arc<Answering>>, request: Request) -> Response {
    let id = request.headers().get(headers::REQUEST_ID).cloned();
    let mut response = match refusal(&answering, request.headers()) {
        Some(status) => declined(status),
        None => match answering.slot() {
            Some(slot) => run(slot, request).await,
            None => declined(StatusCode::SERVICE_UNAVAILABLE),
        },
    };
    if let Some(id) = id {
        response.headers_mut().insert(headers::REQUEST_ID, id);
    }
    if answering.is_leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Why a request is not run, if it is not.
fn refusal(answering: &Answering, headers: &HeaderMap) -> Option<StatusCode> {
    if !headers.contains_key(headers::REQUEST_ID) {
        return Some(StatusCode::BAD_REQUEST);
    }
    let expected = headers.get(headers::EXPECT_INSTANCE)?;
    let is_meant = expected.as_bytes() == answering.options.instance.as_bytes();
    (!is_meant).then_some(StatusCode::MISDIRECTED_REQUEST)
}

async fn run(slot: Slot, request: Request) -> Response {
    let answering = Arc::clone(&slot.0);
    let stamp = answering.stamp();
    let mut response = if request.uri().path().starts_with(&answering.options.stream_prefix) {
        stream_of_events(slot, request).await
    } else {
        echo(&answering, request).await
    };
    set(&mut response, headers::SERVER_SIGNATURE, &stamp);
    response
}

/// Says what came in.
async fn echo(answering: &Answering, request: Request) -> Response {
    let line = format!("{} ran {} {}: ", answering.options.instance, request.method(), request.uri());
    match Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let body = [line.as_bytes(), &body.to_bytes(), b"\n"].concat();
            plain(StatusCode::OK, Body::from(body))
        }
        Err(_) => plain(StatusCode::BAD_REQUEST, Body::empty()),
    }
}

/// A series of events, from the one behind `Last-Event-Id` on.
async fn stream_of_events(slot: Slot, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return plain(StatusCode::BAD_REQUEST, Body::empty());
    };
    let sent = body.to_bytes().len();
    let first = number(text(&parts.headers, headers::LAST_EVENT_ID)).map_or(1, |last| last.saturating_add(1));
    let most = text(&parts.headers, headers::TOKEN_COUNT).split(',').nth(1).and_then(number);
    let last = slot.0.options.events.min(most.unwrap_or(u64::MAX));
    let pause = slot.0.options.pause;
    let events = stream::unfold((slot, first), move |(slot, number)| async move {
        if number > last {
            return None;
        }
        if number > first {
            sleep(pause).await;
        }
        Some((Ok::<_, Infallible>(event(&slot, number, sent)), (slot, number + 1)))
    });
    let mut response = plain(StatusCode::OK, Body::from_stream(events));
    set(&mut response, header::CONTENT_TYPE.as_str(), "text/event-stream");
    response
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn number(text: &str) -> Option<u64> {
    text.trim().parse().ok()
}

/// An event tells how long the body was, so that a turn that continues from another one shows it.
fn event(slot: &Slot, number: u64, sent: usize) -> Bytes {
    let instance = &slot.0.options.instance;
    Bytes::from(format!("id: {number}\ndata: part {number} of {instance}, was sent {sent} bytes\n\n"))
}

/// The promise that a request was not run.
fn declined(status: StatusCode) -> Response {
    let mut response = plain(status, Body::empty());
    set(&mut response, headers::NOT_EXECUTED, "1");
    response
}

fn plain(status: StatusCode, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn set(response: &mut Response, name: &'static str, value: &str) {
    // An id that is no header value was refused at the start.
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
