//! Figures of a process as text, in the exposition format of OpenMetrics, on a listener of their own.
//!
//! The setting `metrics` names the port and the path; without it nothing listens. Figures are gathered when they
//! are asked for.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use juniperwing_invariants::{Invariant, violations};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, text};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::log::panic_count;
use crate::panics::isolate;
use crate::settings::Settings;

/// The prefix of all names.
const PREFIX: &str = "juniperwing";
/// Connections at a time; further ones wait in the socket's queue.
const MAX_CONNECTIONS: usize = 4;
/// How long a connection may last.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the head of a request may take.
const HEADER_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
const OPENMETRICS_CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// What kind of figure it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// It only rises within a life of the process; its name is told with `_total` behind it.
    Counter,
    /// It rises and falls.
    Gauge,
}

/// One figure, with one value or one for each label.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Metric {
    name: &'static str,
    help: &'static str,
    kind: MetricKind,
    values: MetricValues,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum MetricValues {
    One(u64),
    ByLabel { label: &'static str, values: Vec<(&'static str, u64)> },
}

impl Metric {
    /// A number that only rises.
    pub fn counter(name: &'static str, help: &'static str, value: u64) -> Metric {
        Metric { name, help, kind: MetricKind::Counter, values: MetricValues::One(value) }
    }

    /// A number that rises and falls.
    pub fn gauge(name: &'static str, help: &'static str, value: u64) -> Metric {
        Metric { name, help, kind: MetricKind::Gauge, values: MetricValues::One(value) }
    }

    /// Numbers that only rise, one for each value of a label.
    pub fn counters(
        name: &'static str, help: &'static str, label: &'static str, values: Vec<(&'static str, u64)>,
    ) -> Metric {
        Metric { name, help, kind: MetricKind::Counter, values: MetricValues::ByLabel { label, values } }
    }

    fn encode(&self, encoder: &mut DescriptorEncoder) -> Result<(), fmt::Error> {
        let metric_type = match self.kind {
            MetricKind::Counter => MetricType::Counter,
            MetricKind::Gauge => MetricType::Gauge,
        };
        let mut family = encoder.encode_descriptor(self.name, self.help, None, metric_type)?;
        match &self.values {
            MetricValues::One(value) => self.encodable(*value).encode(family),
            MetricValues::ByLabel { label, values } => {
                for (name, value) in values {
                    self.encodable(*value).encode(family.encode_family(&[(*label, *name)])?)?;
                }
                Ok(())
            }
        }
    }

    fn encodable(&self, value: u64) -> Box<dyn EncodeMetric> {
        match self.kind {
            MetricKind::Counter => Box::new(ConstCounter::new(value)),
            MetricKind::Gauge => Box::new(ConstGauge::new(i64::try_from(value).unwrap_or(i64::MAX))),
        }
    }
}

/// Something that can tell its figures at any moment.
pub trait MetricSource: Send + Sync + 'static {
    /// The figures now.
    fn metrics(&self) -> Vec<Metric>;
}

/// Hands the figures of a source to the library that writes the format.
struct SourceCollector(Arc<dyn MetricSource>);

impl fmt::Debug for SourceCollector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Gathered")
    }
}

impl Collector for SourceCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        let figures = self.0.metrics().into_iter().chain(process_metrics());
        for figure in figures {
            figure.encode(&mut encoder)?;
        }
        Ok(())
    }
}

/// Figures that every role tells.
fn process_metrics() -> [Metric; 2] {
    let by_invariant = Invariant::ALL.map(|invariant| (invariant.name(), violations(invariant)));
    [
        Metric::counters(
            "invariant_violations",
            "Conditions that must always hold and did not",
            "invariant",
            by_invariant.to_vec(),
        ),
        Metric::counter("panics", "Panics in any task", panic_count()),
    ]
}

/// All figures as text.
pub fn render(source: &Arc<dyn MetricSource>) -> String {
    let mut registry = Registry::with_prefix(PREFIX);
    registry.register_collector(Box::new(SourceCollector(Arc::clone(source))));
    let mut page = String::new();
    // Writing to a string fails only if a figure cannot be told; the page then ends there.
    let _ = text::encode(&mut page, &registry);
    page
}

/// Tells figures where the settings say, for as long as the process lives; nowhere if they say nothing. A place that
/// cannot be used is logged, and the role serves without: figures must not take it down.
pub async fn start(settings: &Settings, source: Arc<dyn MetricSource>, log: &Logger) {
    let Some(place) = settings.metrics.as_deref().filter(|place| !place.is_empty()) else { return };
    let Some(MetricsEndpoint { port, path }) = MetricsEndpoint::parse(place) else {
        return warn!(log, "no metrics"; "metrics" => place, "why" => "not PORT/PATH");
    };
    let address = SocketAddr::new(settings.ip_address, port);
    match TcpListener::bind(address).await {
        Ok(listener) => {
            info!(log, "metrics"; "address" => %address, "path" => &path);
            tokio::spawn(serve(listener, path, source));
        }
        Err(error) => warn!(log, "no metrics"; "address" => %address, "why" => error.to_string()),
    }
}

/// Where figures are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsEndpoint {
    /// The port, at the machine's address.
    pub port: u16,
    /// The path, with its slash.
    pub path: String,
}

impl MetricsEndpoint {
    /// Reads `PORT/PATH`.
    pub fn parse(text: &str) -> Option<MetricsEndpoint> {
        let (port, path) = text.split_once('/')?;
        let port = port.trim_start_matches(':').parse().ok().filter(|port| *port > 0)?;
        Some(MetricsEndpoint { port, path: format!("/{}", path.trim_start_matches('/')) })
    }
}

/// Answers `GET path` at a listener until it is dropped.
pub async fn serve(listener: TcpListener, path: String, source: Arc<dyn MetricSource>) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let path: Arc<str> = path.into();
    // The semaphore is never closed.
    while let Ok(place) = Arc::clone(&places).acquire_owned().await {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (path, source) = (Arc::clone(&path), Arc::clone(&source));
        tokio::spawn(isolate(async move {
            // Whoever is too slow asks again.
            let _ = timeout(CONNECTION_TIMEOUT, serve_connection(stream, path, source)).await;
            drop(place);
        }));
    }
}

async fn serve_connection(stream: TcpStream, path: Arc<str>, source: Arc<dyn MetricSource>) {
    let mut builder = http1::Builder::new();
    builder.keep_alive(false).timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    let service = service_fn(|request| {
        let answer = respond(&request, &path, &source);
        async move { Ok::<_, Infallible>(answer) }
    });
    // A caller that broke off needs no answer.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

fn respond(request: &Request<Incoming>, path: &str, source: &Arc<dyn MetricSource>) -> Response<String> {
    let mut answer = Response::new(String::new());
    if request.uri().path() != path {
        *answer.status_mut() = StatusCode::NOT_FOUND;
    } else if request.method() != Method::GET {
        *answer.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    } else {
        answer.headers_mut().insert(CONTENT_TYPE, OPENMETRICS_CONTENT_TYPE);
        *answer.body_mut() = render(source);
    }
    answer
}
