//! The stand-in does what the tier expects of an endpoint.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, Request, State};
use axum::http::{HeaderMap, Method, StatusCode};
use axum::response::Response;
use http_body_util::BodyExt;
use hyper_util::rt::TokioIo;
use juniperwing_stand_in::answers::{Answering, router};
use juniperwing_stand_in::options::EndpointOptions;
use juniperwing_stand_in::run_until;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// The longest that anything may take, on a machine that does much else.
const PATIENCE: Duration = Duration::from_secs(40);

fn options() -> EndpointOptions {
    EndpointOptions {
        instance: "i-1".to_owned(),
        pause: Duration::from_millis(1),
        heartbeat: Duration::from_millis(20),
        drain: Duration::from_millis(20),
        ..EndpointOptions::default()
    }
}

/// A served answer.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: String,
}

impl Answer {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

async fn serve(answering: &Arc<Answering>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let routes = router(Arc::clone(answering));
    tokio::spawn(async move { axum::serve(listener, routes).await });
    address
}

async fn get(address: std::net::SocketAddr, path: &str, headers: &[(&str, &str)]) -> Answer {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let mut request = Request::builder().uri(path).header("host", "e");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let answer = sender.send_request(request.body(Body::from("hello")).unwrap()).await.unwrap();
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    let body = String::from_utf8(body.to_vec()).unwrap();
    Answer { status: parts.status, headers: parts.headers, body }
}

#[tokio::test]
async fn a_request_is_answered_with_what_it_was_stamped_and_with_its_id() {
    let endpoint = serve(&Arc::new(Answering::new(options()))).await;
    let headers = [("x-request-id", "r1"), ("x-expect-instance", "i-1")];
    let answer = get(endpoint, "/echo/a?b=1", &headers).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body, "i-1 ran GET /echo/a?b=1: hello\n");
    assert_eq!(answer.header("x-request-id"), Some("r1"));
    let other = get(endpoint, "/echo/a", &headers).await;
    assert!(answer.header("x-server-signature").is_some());
    assert_ne!(answer.header("x-server-signature"), other.header("x-server-signature"));
}

#[tokio::test]
async fn what_is_not_run_is_declared_so() {
    let endpoint = serve(&Arc::new(Answering::new(options()))).await;
    let another = get(endpoint, "/echo/", &[("x-request-id", "r1"), ("x-expect-instance", "i-2")]).await;
    assert_eq!(another.status, StatusCode::MISDIRECTED_REQUEST);
    assert!(another.header("x-not-executed").is_some());
    assert_eq!(another.header("x-server-signature"), None);
    let unnamed = get(endpoint, "/echo/", &[]).await;
    assert_eq!(unnamed.status, StatusCode::BAD_REQUEST);
    let full = serve(&Arc::new(Answering::new(EndpointOptions { capacity: 0, ..options() }))).await;
    let declined = get(full, "/echo/", &[("x-request-id", "r1")]).await;
    assert_eq!(declined.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(declined.header("x-not-executed").is_some());
}

#[tokio::test]
async fn a_stream_goes_on_behind_the_last_event_and_ends_at_its_most() {
    let endpoint = serve(&Arc::new(Answering::new(options()))).await;
    let headers = [("x-request-id", "r1"), ("last-event-id", "2"), ("x-token-count", "9,4")];
    let answer = get(endpoint, "/stream/a", &headers).await;
    assert_eq!(answer.header("content-type"), Some("text/event-stream"));
    assert_eq!(
        answer.body,
        "id: 3\ndata: part 3 of i-1, was sent 5 bytes\n\nid: 4\ndata: part 4 of i-1, was sent 5 bytes\n\n"
    );
}

#[tokio::test]
async fn an_endpoint_that_leaves_is_not_healthy_and_closes_connections() {
    let answering = Arc::new(Answering::new(options()));
    let endpoint = serve(&answering).await;
    let healthy = get(endpoint, "/healthz", &[]).await;
    assert_eq!((healthy.status, healthy.header("x-instance-id")), (StatusCode::OK, Some("i-1")));
    answering.leave();
    assert_eq!(get(endpoint, "/healthz", &[]).await.status, StatusCode::SERVICE_UNAVAILABLE);
    let answer = get(endpoint, "/echo/", &[("x-request-id", "r1")]).await;
    assert_eq!((answer.status, answer.header("connection")), (StatusCode::OK, Some("close")));
}

/// A keeper's answers to an endpoint: what came, in order.
async fn keeper(calls: mpsc::UnboundedSender<(Method, String, Value)>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let take =
        async |State(calls): State<mpsc::UnboundedSender<_>>, Path(id): Path<String>, request: Request| {
            let method = request.method().clone();
            let body = request.into_body().collect().await.unwrap().to_bytes();
            let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
            calls.send((method, id, body)).unwrap();
            Response::new(Body::from("{}"))
        };
    let routes = Router::new().route("/instances/{id}", axum::routing::any(take)).with_state(calls);
    tokio::spawn(async move { axum::serve(listener, routes).await });
    address
}

#[tokio::test]
async fn an_endpoint_registers_drains_and_says_that_it_is_gone() {
    let (sender, mut calls) = mpsc::unbounded_channel();
    let dead = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let keepers = vec![dead, keeper(sender).await];
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = async move { stopped.await.unwrap() };
    let endpoint = tokio::spawn(run_until(EndpointOptions { keepers, ..options() }, stopped));
    let (method, id, first) = timeout(PATIENCE, calls.recv()).await.unwrap().unwrap();
    assert_eq!((method, id.as_str()), (Method::PUT, "i-1"));
    assert_eq!((&first["backend"], &first["state"]), (&"demo".into(), &"ready".into()));
    let (_, _, second) = timeout(PATIENCE, calls.recv()).await.unwrap().unwrap();
    assert!(second["sequence"].as_u64() > first["sequence"].as_u64());
    stop.send(()).unwrap();
    timeout(PATIENCE, endpoint).await.unwrap().unwrap().unwrap();
    let mut rest = Vec::new();
    while let Ok((method, _, body)) = calls.try_recv() {
        rest.push((method, body["state"].as_str().map(str::to_owned)));
    }
    let end = [(Method::PUT, Some("draining".to_owned())), (Method::DELETE, None)];
    assert!(rest.ends_with(&end), "{rest:?}");
}
