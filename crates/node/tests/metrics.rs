//! Metrics are rendered as text and served only at the configured endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniperwing_invariants::Invariant;
use juniperwing_node::build_info::{self, BuildInfo};
use juniperwing_node::metrics::{Metric, MetricSource, MetricsEndpoint, render, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A source with constant metrics.
struct ConstantSource;

impl MetricSource for ConstantSource {
    fn metrics(&self) -> Vec<Metric> {
        vec![
            Metric::counter("requests", "Requests read", 7),
            Metric::gauge("epoch", "The highest epoch known", 3),
            Metric::counters("order_answers", "Answers", "answer", vec![("accepted", 2), ("refused", 1)]),
        ]
    }
}

fn source() -> Arc<dyn MetricSource> {
    Arc::new(ConstantSource)
}

#[test]
fn metrics_are_rendered_with_their_names_and_labels() {
    let text = render(&source());
    for line in [
        "# TYPE juniperwing_requests counter",
        "juniperwing_requests_total 7",
        "juniperwing_epoch 3",
        "juniperwing_order_answers_total{answer=\"accepted\"} 2",
        "juniperwing_panics_total 0",
    ] {
        assert!(text.lines().any(|rendered| rendered == line), "{line} is missing in\n{text}");
    }
    let BuildInfo { version, source_digest } = build_info::CURRENT;
    let build = format!("build_info{{version=\"{version}\",source_digest=\"{source_digest}\"}} 1\n");
    assert!(text.contains(&build), "{build} is missing in\n{text}");
    for invariant in Invariant::ALL {
        let name = invariant.name();
        assert!(text.contains(&format!("invariant_violations_total{{invariant=\"{name}\"}} 0")), "{name}");
    }
    assert!(text.ends_with("# EOF\n"));
}

#[test]
fn the_endpoint_is_a_port_and_a_path() {
    let endpoint = |port, path: &str| Some(MetricsEndpoint { port, path: path.to_owned() });
    assert_eq!(MetricsEndpoint::parse("9464/metrics"), endpoint(9_464, "/metrics"));
    assert_eq!(MetricsEndpoint::parse("9464/"), endpoint(9_464, "/"));
    assert_eq!(MetricsEndpoint::parse("9464/a/{b}"), endpoint(9_464, "/a/{b}"));
    for invalid in ["", "/metrics", "metrics", "9464", "0/metrics", "65536/metrics", "-1/m"] {
        assert_eq!(MetricsEndpoint::parse(invalid), None, "{invalid}");
    }
}

/// Sends a request and returns the response.
async fn request(address: SocketAddr, head: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut response = String::new();
    let read = stream.read_to_string(&mut response);
    tokio::time::timeout(Duration::from_secs(20), read).await.expect("the response in time").unwrap();
    response
}

#[tokio::test]
async fn only_the_named_path_is_served() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, "/figures".to_owned(), source()));
    let response = request(address, "GET /figures HTTP/1.1\r\nHost: x\r\n\r\n").await;
    assert!(
        response.starts_with("HTTP/1.1 200 OK\r\n") && response.contains("juniperwing_epoch 3\n"),
        "{response}"
    );
    assert!(request(address, "GET /other HTTP/1.1\r\nHost: x\r\n\r\n").await.starts_with("HTTP/1.1 404"));
    assert!(request(address, "PUT /figures HTTP/1.1\r\nHost: x\r\n\r\n").await.starts_with("HTTP/1.1 405"));
    // Idle connections time out soon, so that other clients are not delayed for long even if they exceed the limit.
    let idle: Vec<TcpStream> =
        futures_util::future::join_all((0..8).map(|_| async { TcpStream::connect(address).await.unwrap() }))
            .await;
    assert!(request(address, "GET /figures HTTP/1.1\r\nHost: x\r\n\r\n").await.starts_with("HTTP/1.1 200"));
    drop(idle);
}
