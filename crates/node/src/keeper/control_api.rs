//! The HTTP API of the control listener: routes, parsing of requests, and responses.

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
use juniperwing_protocol::registry::{Order, OrderReply};
use juniperwing_protocol::{InstanceId, NodeName};
use juniperwing_registry::{FieldError, parse_heartbeat};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::controller::Controller;
use super::endpoints::EndpointReply;
use super::order_replies::{accepted_reply, json_reply, unavailable_reply};

/// The maximum size of a configuration.
const MAX_CONFIGURATION_BYTES: usize = 8 << 20;
/// The maximum body size of any other request.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The time within which a body must arrive.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The value of `Retry-After` with a 503, in seconds.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("0.2");
const JSON_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/json");

/// The JSON body of the response to an invalid request, with all problems found.
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

/// The routes of the control listener.
pub(super) fn router(controller: Arc<Controller>) -> Router {
    Router::new()
        .route("/instances/{id}", put(put_instance).delete(delete_instance))
        .route("/config", put(put_configuration).get(get_configuration))
        .route("/retire/{node}", post(post_retire).get(get_retire))
        .with_state(controller)
}

async fn put_instance(
    State(controller): State<Arc<Controller>>, Path(id): Path<String>, request: Request,
) -> Response {
    let body = match read_body(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(reply) => return http_response(reply),
    };
    match parse_heartbeat(&id, &body) {
        Err(findings) => http_response(json_reply(400, &Findings { findings })),
        Ok(instance) => endpoint_response(controller.handle_heartbeat(instance).await),
    }
}

async fn delete_instance(State(controller): State<Arc<Controller>>, Path(id): Path<String>) -> Response {
    endpoint_response(controller.handle_deregistration(InstanceId::from(id.as_str())).await)
}

async fn put_configuration(State(controller): State<Arc<Controller>>, request: Request) -> Response {
    let base = match base_generation(request.headers()) {
        Ok(base) => base,
        Err(reply) => return http_response(reply),
    };
    match read_body(request, MAX_CONFIGURATION_BYTES).await {
        Ok(body) => http_response(
            controller.handle_order(Order::PutConfiguration { base, body: body.to_vec() }).await,
        ),
        Err(reply) => http_response(reply),
    }
}

async fn get_configuration(State(controller): State<Arc<Controller>>) -> Response {
    http_response(controller.handle_order(Order::GetConfiguration).await)
}

async fn post_retire(
    State(controller): State<Arc<Controller>>, Path(node): Path<String>, request: Request,
) -> Response {
    let body = match read_body(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(reply) => return http_response(reply),
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

/// Reads the generation that a configuration builds on from the `If-Match` header.
fn base_generation(headers: &HeaderMap) -> Result<u64, OrderReply> {
    let mut values = headers.get_all(header::IF_MATCH).iter();
    let Some(value) = values.next() else {
        return Err(bad_request_reply("If-Match", "missing: the version that the configuration builds on"));
    };
    if values.next().is_some() {
        return Err(bad_request_reply("If-Match", "more than one version"));
    }
    parse_generation(value).ok_or_else(|| bad_request_reply("If-Match", "not a version"))
}

/// Parses an unsigned integer, with or without the quotes of an entity tag.
fn parse_generation(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?.trim();
    let inner = text.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')).unwrap_or(text);
    // `parse` would accept a sign.
    inner.bytes().all(|byte| byte.is_ascii_digit()).then(|| inner.parse().ok())?
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// The reply to send if the body is too large, malformed or too slow.
async fn read_body(request: Request, limit: usize) -> Result<Bytes, OrderReply> {
    let body: Body = request.into_body();
    match timeout(BODY_READ_TIMEOUT, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large_reply(limit)),
        Ok(Err(error)) => Err(bad_request_reply("body", &error.to_string())),
        // Not a rejection: the caller may have sent the same order to another keeper, which may have accepted it.
        Err(_) => Err(unavailable_reply()),
    }
}

fn too_large_reply(limit: usize) -> OrderReply {
    findings_reply(413, "body", &format!("longer than {limit} bytes"))
}

fn bad_request_reply(field: &str, problem: &str) -> OrderReply {
    findings_reply(400, field, problem)
}

fn findings_reply(status: u16, field: &str, problem: &str) -> OrderReply {
    let finding = FieldError { field: field.to_owned(), problem: problem.to_owned() };
    json_reply(status, &Findings { findings: [finding] })
}

fn endpoint_response(reply: EndpointReply) -> Response {
    match reply {
        EndpointReply::Accepted => http_response(accepted_reply()),
        EndpointReply::Unavailable => http_response(unavailable_reply()),
    }
}

fn http_response(reply: OrderReply) -> Response {
    let mut response = Response::new(Body::from(reply.body));
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, JSON_CONTENT_TYPE);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER_S);
    }
    response
}
