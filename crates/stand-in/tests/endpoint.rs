//! Tests that the stand-in behaves as the tier expects of an endpoint.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, Request, State};
use axum::http::{HeaderMap, Method, StatusCode};
use axum::response::Response;
use http_body_util::BodyExt;
use hyper_util::rt::TokioIo;
use juniperwing_stand_in::options::EndpointOptions;
use juniperwing_stand_in::responses::{EndpointService, router};
use juniperwing_stand_in::run_until;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// The timeout of any wait, long enough for a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(40);

fn test_options() -> EndpointOptions {
    EndpointOptions {
        instance_id: "i-1".to_owned(),
        event_interval: Duration::from_millis(1),
        heartbeat_interval: Duration::from_millis(20),
        drain_duration: Duration::from_millis(20),
        ..EndpointOptions::default()
    }
}

/// A response of the stand-in.
struct ReceivedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: String,
}

impl ReceivedResponse {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

async fn start_endpoint(service: &Arc<EndpointService>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let routes = router(Arc::clone(service));
    tokio::spawn(async move { axum::serve(listener, routes).await });
    address
}

async fn get(address: std::net::SocketAddr, path: &str, headers: &[(&str, &str)]) -> ReceivedResponse {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let mut request = Request::builder().uri(path).header("host", "e");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = sender.send_request(request.body(Body::from("hello")).unwrap()).await.unwrap();
    let (parts, body) = response.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    let body = String::from_utf8(body.to_vec()).unwrap();
    ReceivedResponse { status: parts.status, headers: parts.headers, body }
}

#[tokio::test]
async fn a_response_echoes_the_request_with_its_id_and_a_signature() {
    let endpoint = start_endpoint(&Arc::new(EndpointService::new(test_options()))).await;
    let headers = [("x-request-id", "r1"), ("x-expect-instance", "i-1")];
    let response = get(endpoint, "/echo/a?b=1", &headers).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.body, "i-1 ran GET /echo/a?b=1: hello\n");
    assert_eq!(response.header("x-request-id"), Some("r1"));
    let other = get(endpoint, "/echo/a", &headers).await;
    assert!(response.header("x-server-signature").is_some());
    assert_ne!(response.header("x-server-signature"), other.header("x-server-signature"));
}

#[tokio::test]
async fn a_request_that_is_not_run_is_marked_as_not_executed() {
    let endpoint = start_endpoint(&Arc::new(EndpointService::new(test_options()))).await;
    let misdirected = get(endpoint, "/echo/", &[("x-request-id", "r1"), ("x-expect-instance", "i-2")]).await;
    assert_eq!(misdirected.status, StatusCode::MISDIRECTED_REQUEST);
    assert!(misdirected.header("x-not-executed").is_some());
    assert_eq!(misdirected.header("x-server-signature"), None);
    let without_id = get(endpoint, "/echo/", &[]).await;
    assert_eq!(without_id.status, StatusCode::BAD_REQUEST);
    let without_capacity =
        start_endpoint(&Arc::new(EndpointService::new(EndpointOptions { capacity: 0, ..test_options() })))
            .await;
    let rejected = get(without_capacity, "/echo/", &[("x-request-id", "r1")]).await;
    assert_eq!(rejected.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(rejected.header("x-not-executed").is_some());
}

#[tokio::test]
async fn a_stream_continues_after_the_last_event_id_up_to_its_limit() {
    let endpoint = start_endpoint(&Arc::new(EndpointService::new(test_options()))).await;
    let headers = [("x-request-id", "r1"), ("last-event-id", "2"), ("x-token-count", "9,4")];
    let response = get(endpoint, "/stream/a", &headers).await;
    assert_eq!(response.header("content-type"), Some("text/event-stream"));
    assert_eq!(
        response.body,
        "id: 3\ndata: part 3 of i-1, was sent 5 bytes\n\nid: 4\ndata: part 4 of i-1, was sent 5 bytes\n\n"
    );
}

#[tokio::test]
async fn a_draining_endpoint_is_unhealthy_and_closes_connections() {
    let service = Arc::new(EndpointService::new(test_options()));
    let endpoint = start_endpoint(&service).await;
    let healthy = get(endpoint, "/healthz", &[]).await;
    assert_eq!((healthy.status, healthy.header("x-instance-id")), (StatusCode::OK, Some("i-1")));
    service.start_draining();
    assert_eq!(get(endpoint, "/healthz", &[]).await.status, StatusCode::SERVICE_UNAVAILABLE);
    let response = get(endpoint, "/echo/", &[("x-request-id", "r1")]).await;
    assert_eq!((response.status, response.header("connection")), (StatusCode::OK, Some("close")));
}

/// Starts a keeper that acknowledges every call and sends the calls to the test in order.
async fn start_keeper(calls: mpsc::UnboundedSender<(Method, String, Value)>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handle_call =
        async |State(calls): State<mpsc::UnboundedSender<_>>, Path(id): Path<String>, request: Request| {
            let method = request.method().clone();
            let body = request.into_body().collect().await.unwrap().to_bytes();
            let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
            calls.send((method, id, body)).unwrap();
            Response::new(Body::from("{}"))
        };
    let routes = Router::new().route("/instances/{id}", axum::routing::any(handle_call)).with_state(calls);
    tokio::spawn(async move { axum::serve(listener, routes).await });
    address
}

#[tokio::test]
async fn an_endpoint_registers_drains_and_deregisters() {
    let (sender, mut calls) = mpsc::unbounded_channel();
    let unreachable = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let keepers = vec![unreachable, start_keeper(sender).await];
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = async move { stopped.await.unwrap() };
    let endpoint = tokio::spawn(run_until(EndpointOptions { keepers, ..test_options() }, stopped));
    let (method, id, first) = timeout(TEST_TIMEOUT, calls.recv()).await.unwrap().unwrap();
    assert_eq!((method, id.as_str()), (Method::PUT, "i-1"));
    assert_eq!((&first["backend"], &first["state"]), (&"demo".into(), &"ready".into()));
    let (_, _, second) = timeout(TEST_TIMEOUT, calls.recv()).await.unwrap().unwrap();
    assert!(second["sequence"].as_u64() > first["sequence"].as_u64());
    stop.send(()).unwrap();
    timeout(TEST_TIMEOUT, endpoint).await.unwrap().unwrap().unwrap();
    let mut rest = Vec::new();
    while let Ok((method, _, body)) = calls.try_recv() {
        rest.push((method, body["state"].as_str().map(str::to_owned)));
    }
    let end = [(Method::PUT, Some("draining".to_owned())), (Method::DELETE, None)];
    assert!(rest.ends_with(&end), "{rest:?}");
}
