//! Requests that a relay itself refuses. It refuses no valid ones, and none permanently before it has a configuration.

use http::{HeaderName, StatusCode};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::endpoint::{FakeEndpoint, ok};
use crate::support::{RelayHarness, read, request, with_headers, with_timeout};

/// A configuration with one route and the given limit of header bytes.
fn configuration_with_header_limit(header_bytes: u64) -> String {
    format!(
        r#"{{"generation":2,"routes":[{{"name":"i","hostname":"h.example","pathPrefix":"/i/","routeType":"idempotent",
        "timeoutMs":10000,"targetLatencyMs":4000,"priority":1,"backend":"s","maxRetries":2}}],
        "backends":[{{"name":"s","healthCheck":"/healthz","maxConnections":100,"protocol":"h1","tls":false}}],
        "limits":{{"maxHeaderBytes":{header_bytes},"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":100000}}}}"#
    )
}

// Covers `respond`, which checks for a configuration before it examines the request.
#[tokio::test]
async fn without_a_configuration_every_request_is_rejected_temporarily() {
    let harness = RelayHarness::start().await;
    let long = "x".repeat(20_000);
    let requests = [
        request("GET", "/i/x", "a1", ""),
        request("GET", "/nowhere", "a2", ""),
        request("POST", "/n/x", "a3", &"x".repeat(70_000)),
        with_headers(request("GET", "/i/x", "a4", ""), &[("x-long", &long)]),
        with_headers(request("POST", "/k/x", "a5", "in"), &[("previous", "t1"), ("budget", "10")]),
        with_headers(request("GET", "/i/x", "a6", ""), &[("authorization", "Bearer x")]),
    ];
    for sent in requests {
        let line = format!("{} {}", sent.method(), sent.uri());
        let response = read(harness.send(sent).await).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{line}");
        assert!(response.header("retry-after").parse::<f64>().unwrap() > 0.0, "{line}");
    }
}

// Covers `MAX_HEADER_LINES`, and the addition of `REQUEST_LINE_BYTES` to the size of the read buffer.
#[tokio::test]
async fn requests_within_the_limits_are_accepted() {
    let endpoint = FakeEndpoint::start("i-1", |request| ok(request, "")).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let mut many = request("GET", "/i/x", "a1", "");
    for number in 0..300 {
        let name = HeaderName::try_from(format!("x-{number}")).unwrap();
        many.headers_mut().insert(name, "1".parse().unwrap());
    }
    assert_eq!(read(harness.send(many).await).await.status, StatusCode::OK, "many header lines");
    let path = format!("/i/{}", "y".repeat(4_000));
    let long = "x".repeat(15_900);
    let long = with_headers(request("GET", &path, "a2", ""), &[("x-long", &long)]);
    assert_eq!(read(harness.send(long).await).await.status, StatusCode::OK, "a long first line");
    let full = request("POST", "/n/x", "a3", &"x".repeat(65_536));
    assert_eq!(read(harness.send(full).await).await.status, StatusCode::OK, "the largest body");
}

// Covers `ClientConnection::enforce_limits`, which closes connections that cannot read heads of the new maximum size.
#[tokio::test]
async fn new_header_limits_apply_to_open_connections() {
    let endpoint = FakeEndpoint::start("i-1", |request| ok(request, "")).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let mut open = with_timeout(TcpStream::connect(harness.frontend)).await.unwrap();
    assert_eq!(harness.get("/i/x").await.status, StatusCode::OK);
    harness.configure(2, &configuration_with_header_limit(60_000));
    // The open connection would refuse a larger head, so it is closed while idle.
    assert_eq!(with_timeout(open.read(&mut [0; 8])).await.unwrap(), 0);
    let long = "x".repeat(50_000);
    let sent = with_headers(request("GET", "/i/x", "a1", ""), &[("x-long", &long)]);
    assert_eq!(read(harness.send(sent).await).await.status, StatusCode::OK);
}
