//! Figures are told as text at the place that the settings name, and nothing else is.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniperwing_invariants::Invariant;
use juniperwing_node::metrics::{Metric, MetricSource, MetricsEndpoint, render, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

struct Fixed;

impl MetricSource for Fixed {
    fn metrics(&self) -> Vec<Metric> {
        vec![
            Metric::counter("requests", "Requests read", 7),
            Metric::gauge("epoch", "The highest epoch known", 3),
            Metric::counters("order_answers", "Answers", "answer", vec![("accepted", 2), ("refused", 1)]),
        ]
    }
}

fn source() -> Arc<dyn MetricSource> {
    Arc::new(Fixed)
}

#[test]
fn figures_are_told_with_their_names_and_labels() {
    let page = render(&source());
    for line in [
        "# TYPE juniperwing_requests counter",
        "juniperwing_requests_total 7",
        "juniperwing_epoch 3",
        "juniperwing_order_answers_total{answer=\"accepted\"} 2",
        "juniperwing_panics_total 0",
    ] {
        assert!(page.lines().any(|told| told == line), "{line} is missing in\n{page}");
    }
    for invariant in Invariant::ALL {
        let name = invariant.name();
        assert!(page.contains(&format!("invariant_violations_total{{invariant=\"{name}\"}} 0")), "{name}");
    }
    assert!(page.ends_with("# EOF\n"));
}

#[test]
fn the_place_is_a_port_and_a_path() {
    let place = |port, path: &str| Some(MetricsEndpoint { port, path: path.to_owned() });
    assert_eq!(MetricsEndpoint::parse("9464/metrics"), place(9_464, "/metrics"));
    assert_eq!(MetricsEndpoint::parse("9464/"), place(9_464, "/"));
    assert_eq!(MetricsEndpoint::parse("9464/a/{b}"), place(9_464, "/a/{b}"));
    for wrong in ["", "/metrics", "metrics", "9464", "0/metrics", "65536/metrics", "-1/m"] {
        assert_eq!(MetricsEndpoint::parse(wrong), None, "{wrong}");
    }
}

async fn ask(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    tokio::time::timeout(Duration::from_secs(20), read).await.expect("it should have ended").unwrap();
    answer
}

#[tokio::test]
async fn only_the_place_that_was_named_answers() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, "/figures".to_owned(), source()));
    let answer = ask(address, "GET /figures HTTP/1.1\r\nHost: x\r\n\r\n").await;
    assert!(
        answer.starts_with("HTTP/1.1 200 OK\r\n") && answer.contains("juniperwing_epoch 3\n"),
        "{answer}"
    );
    assert!(ask(address, "GET /other HTTP/1.1\r\nHost: x\r\n\r\n").await.starts_with("HTTP/1.1 404"));
    assert!(ask(address, "PUT /figures HTTP/1.1\r\nHost: x\r\n\r\n").await.starts_with("HTTP/1.1 405"));
    // Connections that say nothing hold no place for long, and more of them than there are places hold up nobody.
    let silent: Vec<TcpStream> =
        futures_util::future::join_all((0..8).map(|_| async { TcpStream::connect(address).await.unwrap() }))
            .await;
    assert!(ask(address, "GET /figures HTTP/1.1\r\nHost: x\r\n\r\n").await.starts_with("HTTP/1.1 200"));
    drop(silent);
}
