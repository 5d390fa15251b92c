//! Responses of a stand-in endpoint.

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

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The state that all requests share.
#[derive(Debug)]
pub struct EndpointService {
    options: EndpointOptions,
    running_requests: AtomicUsize,
    response_count: AtomicU64,
    is_draining: AtomicBool,
}

impl EndpointService {
    /// An endpoint without running requests.
    pub fn new(options: EndpointOptions) -> Self {
        EndpointService {
            options,
            running_requests: AtomicUsize::new(0),
            response_count: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
        }
    }

    /// Makes health checks fail and each response close its connection from now on.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Reserves a slot for a request if one is free.
    fn acquire_slot(self: &Arc<Self>) -> Option<RequestSlot> {
        let capacity = self.options.capacity;
        let add_one = |running| (running < capacity).then_some(running + 1);
        self.running_requests.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add_one).ok()?;
        Some(RequestSlot(Arc::clone(self)))
    }

    /// The signature of a response, unique within this incarnation.
    fn next_signature(&self) -> String {
        let number = self.response_count.fetch_add(1, Ordering::Relaxed);
        format!("{}.{number}", self.options.instance_id)
    }
}

/// A slot for a request, released when this is dropped.
struct RequestSlot(Arc<EndpointService>);

impl Drop for RequestSlot {
    fn drop(&mut self) {
        self.0.running_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Creates the router: the health check, and a handler for all other paths.
pub fn router(service: Arc<EndpointService>) -> Router {
    Router::new().route("/healthz", get(handle_health_check)).fallback(handle_request).with_state(service)
}

async fn handle_health_check(State(service): State<Arc<EndpointService>>) -> Response {
    let status = if service.is_draining() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
    let mut response = new_response(status, Body::empty());
    set_header(&mut response, headers::INSTANCE_ID, &service.options.instance_id);
    response
}

async fn handle_request(State(service): State<Arc<EndpointService>>, request: Request) -> Response {
    let id = request.headers().get(headers::REQUEST_ID).cloned();
    let mut response = match rejection_status(&service, request.headers()) {
        Some(status) => not_executed_response(status),
        None => match service.acquire_slot() {
            Some(slot) => run_request(slot, request).await,
            None => not_executed_response(StatusCode::SERVICE_UNAVAILABLE),
        },
    };
    if let Some(id) = id {
        response.headers_mut().insert(headers::REQUEST_ID, id);
    }
    if service.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// The status for a request that must not be run because it has no id or is for another incarnation.
fn rejection_status(service: &EndpointService, headers: &HeaderMap) -> Option<StatusCode> {
    if !headers.contains_key(headers::REQUEST_ID) {
        return Some(StatusCode::BAD_REQUEST);
    }
    let expected = headers.get(headers::EXPECT_INSTANCE)?;
    let is_expected = expected.as_bytes() == service.options.instance_id.as_bytes();
    (!is_expected).then_some(StatusCode::MISDIRECTED_REQUEST)
}

async fn run_request(slot: RequestSlot, request: Request) -> Response {
    let service = Arc::clone(&slot.0);
    let signature = service.next_signature();
    let mut response = if request.uri().path().starts_with(&service.options.stream_prefix) {
        stream_events(slot, request).await
    } else {
        echo(&service, request).await
    };
    set_header(&mut response, headers::SERVER_SIGNATURE, &signature);
    response
}

/// Responds with the request line and the body.
async fn echo(service: &EndpointService, request: Request) -> Response {
    let line = format!("{} ran {} {}: ", service.options.instance_id, request.method(), request.uri());
    match Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let body = [line.as_bytes(), &body.to_bytes(), b"\n"].concat();
            new_response(StatusCode::OK, Body::from(body))
        }
        Err(_) => new_response(StatusCode::BAD_REQUEST, Body::empty()),
    }
}

/// Responds with numbered events, starting after `Last-Event-Id`.
async fn stream_events(slot: RequestSlot, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return new_response(StatusCode::BAD_REQUEST, Body::empty());
    };
    let body_bytes = body.to_bytes().len();
    let first = parse_number(header_text(&parts.headers, headers::LAST_EVENT_ID))
        .map_or(1, |last| last.saturating_add(1));
    let max_tokens =
        header_text(&parts.headers, headers::TOKEN_COUNT).split(',').nth(1).and_then(parse_number);
    let last = slot.0.options.max_events.min(max_tokens.unwrap_or(u64::MAX));
    let pause = slot.0.options.event_interval;
    let events = stream::unfold((slot, first), move |(slot, number)| async move {
        if number > last {
            return None;
        }
        if number > first {
            sleep(pause).await;
        }
        Some((Ok::<_, Infallible>(format_event(&slot, number, body_bytes)), (slot, number + 1)))
    });
    let mut response = new_response(StatusCode::OK, Body::from_stream(events));
    set_header(&mut response, header::CONTENT_TYPE.as_str(), "text/event-stream");
    response
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn parse_number(text: &str) -> Option<u64> {
    text.trim().parse().ok()
}

/// An event that contains the length of the request body, which grows with the turns that a turn continues.
fn format_event(slot: &RequestSlot, number: u64, body_bytes: usize) -> Bytes {
    let instance = &slot.0.options.instance_id;
    Bytes::from(format!("id: {number}\ndata: part {number} of {instance}, was sent {body_bytes} bytes\n\n"))
}

/// A response that guarantees that the request was not run.
fn not_executed_response(status: StatusCode) -> Response {
    let mut response = new_response(status, Body::empty());
    set_header(&mut response, headers::NOT_EXECUTED, "1");
    response
}

fn new_response(status: StatusCode, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn set_header(response: &mut Response, name: &'static str, value: &str) {
    // The command rejects ids that are not valid in a header when it starts.
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
