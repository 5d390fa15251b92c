//! The control listener: HTTP for endpoints and operators.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::Response;
use axum::routing::{post, put};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use juniperwing_protocol::registry::{Order, OrderReply};
use juniperwing_protocol::{InstanceId, NodeName};
use juniperwing_registry::parse_heartbeat;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::controller::Controller;
use super::endpoints::EndpointReply;
use super::orders::json_reply;
use crate::host::{Listener, Stream};
use crate::panics::isolate;

/// The largest configuration, in bytes.
const MAX_CONFIGURATION_BYTES: usize = 8 << 20;
/// The largest body of any other call, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// How long a body may take.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may rest, or take for the head of a call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Unacknowledged bytes end a connection after this time: the other end is cut off.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long open calls may take after the keeper began to shut down.
const CALL_DRAIN_TIMEOUT: Duration = Duration::from_millis(900);
/// Connections at a time.
const MAX_CONNECTIONS: usize = 3_000;
/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// `Retry-After` with a 503, in seconds.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("0.2");
const JSON_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/json");

/// What is wrong with a call.
#[derive(Serialize)]
struct Findings<T> {
    findings: T,
}

/// The body of `POST /retire/NODE`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RetireBody {
    #[serde(default, rename = "durationS")]
    duration_s: f64,
}

/// The server of the control listener.
pub(super) struct ControlServer {
    /// Set to `true` to stop serving.
    stop: watch::Sender<bool>,
    /// Closed when no call is open any more: every connection holds a sender.
    open_calls: mpsc::Receiver<()>,
    accepting: JoinHandle<()>,
}

impl ControlServer {
    /// Serves calls on the listener.
    pub(super) fn start(listener: Listener, controller: Arc<Controller>) -> ControlServer {
        let (stop, stop_receiver) = watch::channel(false);
        let (call_guard, open_calls) = mpsc::channel(1);
        let accepting = tokio::spawn(accept_connections(listener, controller, stop_receiver, call_guard));
        ControlServer { stop, open_calls, accepting }
    }

    /// Accepts no more calls and waits a limited time for the open ones.
    pub(super) async fn drain(mut self) {
        self.stop.send_replace(true);
        let _ = timeout(CALL_DRAIN_TIMEOUT, self.open_calls.recv()).await;
        self.accepting.abort();
    }
}

/// Accepts connections until `stop` is set. `call_guard` is held by every connection.
async fn accept_connections(
    listener: Listener, controller: Arc<Controller>, mut stop: watch::Receiver<bool>,
    call_guard: mpsc::Sender<()>,
) {
    let router = router(controller);
    loop {
        let accepted = tokio::select! {
            biased;
            () = wait_for_stop(&mut stop) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            // The count includes this loop's own sender.
            Ok(_) if call_guard.strong_count() > MAX_CONNECTIONS => {}
            Ok(mut stream) => {
                if stream.configure(TCP_USER_TIMEOUT).is_ok() {
                    let serving = serve_connection(stream, router.clone(), stop.clone(), call_guard.clone());
                    tokio::spawn(isolate(serving));
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Binds the listener.
///
/// # Errors
///
/// If the address cannot be used.
pub(super) async fn bind(address: SocketAddr) -> io::Result<Listener> {
    Listener::bind(address).await
}

/// Returns when serving is to end.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // It fails only if the other end is gone, and then serving ends as well.
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn serve_connection(
    stream: Stream, router: Router, mut stop: watch::Receiver<bool>, open: mpsc::Sender<()>,
) {
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    let serving = builder.serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    tokio::pin!(serving);
    let stopped = tokio::select! {
        biased;
        _ = serving.as_mut() => false,
        () = wait_for_stop(&mut stop) => true,
    };
    if stopped {
        serving.as_mut().graceful_shutdown();
        // A caller that broke off needs no answer.
        let _ = serving.await;
    }
    drop(open);
}

fn router(controller: Arc<Controller>) -> Router {
    Router::new()
        .route("/instances/{id}", put(put_instance).delete(delete_instance))
        .route("/config", put(put_configuration).get(get_configuration))
        .route("/retire/{node}", post(post_retire).get(get_retire))
        .with_state(controller)
}

async fn put_instance(
    State(controller): State<Arc<Controller>>, Path(id): Path<String>, call: Request,
) -> Response {
    let body = match read_body(call, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return http_response(refusal),
    };
    match parse_heartbeat(&id, &body) {
        Err(findings) => http_response(json_reply(400, &Findings { findings })),
        Ok(instance) => endpoint_response(controller.handle_heartbeat(instance).await),
    }
}

async fn delete_instance(State(controller): State<Arc<Controller>>, Path(id): Path<String>) -> Response {
    endpoint_response(controller.handle_instance_end(InstanceId::from(id.as_str())).await)
}

async fn put_configuration(State(controller): State<Arc<Controller>>, call: Request) -> Response {
    let base = match base_version(call.headers()) {
        Ok(base) => base,
        Err(refusal) => return http_response(refusal),
    };
    match read_body(call, MAX_CONFIGURATION_BYTES).await {
        Ok(body) => http_response(
            controller.handle_order(Order::PutConfiguration { base, body: body.to_vec() }).await,
        ),
        Err(refusal) => http_response(refusal),
    }
}

async fn get_configuration(State(controller): State<Arc<Controller>>) -> Response {
    http_response(controller.handle_order(Order::GetConfiguration).await)
}

async fn post_retire(
    State(controller): State<Arc<Controller>>, Path(node): Path<String>, call: Request,
) -> Response {
    let body = match read_body(call, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return http_response(refusal),
    };
    match serde_json::from_slice::<RetireBody>(&body) {
        Err(error) => http_response(bad_request_reply("", &error.to_string())),
        Ok(RetireBody { duration_s }) => {
            let node = NodeName::from(node.as_str());
            http_response(controller.handle_order(Order::Retire { node, duration_s }).await)
        }
    }
}

async fn get_retire(State(controller): State<Arc<Controller>>, Path(node): Path<String>) -> Response {
    let node = NodeName::from(node.as_str());
    http_response(controller.handle_order(Order::RetireState { node }).await)
}

/// The version that a configuration builds on.
fn base_version(headers: &HeaderMap) -> Result<u64, OrderReply> {
    let mut values = headers.get_all(header::IF_MATCH).iter();
    let Some(value) = values.next() else {
        return Err(bad_request_reply("If-Match", "missing: the version that the configuration builds on"));
    };
    if values.next().is_some() {
        return Err(bad_request_reply("If-Match", "more than one version"));
    }
    parse_version(value).ok_or_else(|| bad_request_reply("If-Match", "not a version"))
}

/// A whole number, with or without the quotes of an entity tag.
fn parse_version(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?.trim();
    let inner = text.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')).unwrap_or(text);
    // A sign would be taken by `parse`.
    inner.bytes().all(|byte| byte.is_ascii_digit()).then(|| inner.parse().ok())?
}

async fn read_body(call: Request, limit: usize) -> Result<Bytes, OrderReply> {
    let body: Body = call.into_body();
    match timeout(BODY_READ_TIMEOUT, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large_reply(limit)),
        Ok(Err(error)) => Err(bad_request_reply("body", &error.to_string())),
        // A slow link is no reason to refuse what another copy of the call may have brought about.
        Err(_) => Err(super::orders::unavailable_reply()),
    }
}

fn too_large_reply(limit: usize) -> OrderReply {
    let finding = juniperwing_registry::FieldError {
        field: "body".to_owned(),
        problem: format!("longer than {limit} bytes"),
    };
    json_reply(413, &Findings { findings: [finding] })
}

fn bad_request_reply(place: &str, problem: &str) -> OrderReply {
    let finding = juniperwing_registry::FieldError { field: place.to_owned(), problem: problem.to_owned() };
    json_reply(400, &Findings { findings: [finding] })
}

fn endpoint_response(answer: EndpointReply) -> Response {
    match answer {
        EndpointReply::Accepted => http_response(json_reply(200, &serde_json::json!({}))),
        EndpointReply::Unavailable => http_response(super::orders::unavailable_reply()),
    }
}

fn http_response(answer: OrderReply) -> Response {
    let mut response = Response::new(Body::from(answer.body));
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, JSON_CONTENT_TYPE);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER_S);
    }
    response
}
