//! Metrics of a process in the text format of OpenMetrics, served on a listener of their own.
//!
//! The setting `metrics` names the port and the path; without it nothing listens. Metrics are collected when they are
//! requested.

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

/// Prefix of all metric names.
const PREFIX: &str = "juniperwing";
/// Maximum number of concurrent connections; further ones wait in the backlog of the socket.
const MAX_CONNECTIONS: usize = 4;
/// Maximum duration of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for receiving the header of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
const OPENMETRICS_CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// The kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A value that only increases while the process runs; its name is written with the suffix `_total`.
    Counter,
    /// A value that may increase and decrease.
    Gauge,
}

/// A metric with a single value, or one value per label value.
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
    /// A counter.
    pub fn counter(name: &'static str, help: &'static str, value: u64) -> Metric {
        Metric { name, help, kind: MetricKind::Counter, values: MetricValues::One(value) }
    }

    /// A gauge.
    pub fn gauge(name: &'static str, help: &'static str, value: u64) -> Metric {
        Metric { name, help, kind: MetricKind::Gauge, values: MetricValues::One(value) }
    }

    /// A counter per value of a label.
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

/// A source of metrics.
pub trait MetricSource: Send + Sync + 'static {
    /// The present metrics.
    fn metrics(&self) -> Vec<Metric>;
}

/// Adapter of a source to the library that encodes the format.
struct SourceCollector(Arc<dyn MetricSource>);

impl fmt::Debug for SourceCollector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SourceCollector")
    }
}

impl Collector for SourceCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        let metrics = self.0.metrics().into_iter().chain(process_metrics());
        for metric in metrics {
            metric.encode(&mut encoder)?;
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

/// Renders all metrics as text.
pub fn render(source: &Arc<dyn MetricSource>) -> String {
    let mut registry = Registry::with_prefix(PREFIX);
    registry.register_collector(Box::new(SourceCollector(Arc::clone(source))));
    let mut text = String::new();
    // Writing to a string fails only if a metric cannot be encoded; the text then ends there.
    let _ = text::encode(&mut text, &registry);
    text
}

/// Starts to serve metrics at the endpoint that the settings name, if any, until the process exits.
///
/// An endpoint that cannot be used is logged, and the role runs without metrics.
pub async fn start(settings: &Settings, source: Arc<dyn MetricSource>, log: &Logger) {
    let Some(setting) = settings.metrics.as_deref().filter(|setting| !setting.is_empty()) else { return };
    let Some(MetricsEndpoint { port, path }) = MetricsEndpoint::parse(setting) else {
        return warn!(log, "metrics disabled"; "metrics" => setting, "reason" => "not PORT/PATH");
    };
    let address = SocketAddr::new(settings.ip_address, port);
    match TcpListener::bind(address).await {
        Ok(listener) => {
            info!(log, "metrics endpoint started"; "address" => %address, "path" => &path);
            tokio::spawn(serve(listener, path, source));
        }
        Err(error) => warn!(log, "metrics disabled"; "address" => %address, "error" => error.to_string()),
    }
}

/// The endpoint at which metrics are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsEndpoint {
    /// The port, at the machine's address.
    pub port: u16,
    /// The path, with its leading slash.
    pub path: String,
}

impl MetricsEndpoint {
    /// Parses `PORT/PATH`; `None` if the text has another form.
    pub fn parse(text: &str) -> Option<MetricsEndpoint> {
        let (port, path) = text.split_once('/')?;
        let port = port.trim_start_matches(':').parse().ok().filter(|port| *port > 0)?;
        Some(MetricsEndpoint { port, path: format!("/{}", path.trim_start_matches('/')) })
    }
}

/// Serves `GET path` at a listener; never returns.
pub async fn serve(listener: TcpListener, path: String, source: Arc<dyn MetricSource>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let path: Arc<str> = path.into();
    // The semaphore is never closed.
    while let Ok(permit) = Arc::clone(&permits).acquire_owned().await {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (path, source) = (Arc::clone(&path), Arc::clone(&source));
        tokio::spawn(isolate(async move {
            // A client that is too slow is disconnected.
            let _ = timeout(CONNECTION_TIMEOUT, serve_connection(stream, path, source)).await;
            drop(permit);
        }));
    }
}

async fn serve_connection(stream: TcpStream, path: Arc<str>, source: Arc<dyn MetricSource>) {
    let mut builder = http1::Builder::new();
    builder.keep_alive(false).timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    let service = service_fn(|request| {
        let response = respond(&request, &path, &source);
        async move { Ok::<_, Infallible>(response) }
    });
    // The client may have disconnected.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

fn respond(request: &Request<Incoming>, path: &str, source: &Arc<dyn MetricSource>) -> Response<String> {
    let mut response = Response::new(String::new());
    if request.uri().path() != path {
        *response.status_mut() = StatusCode::NOT_FOUND;
    } else if request.method() != Method::GET {
        *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    } else {
        response.headers_mut().insert(CONTENT_TYPE, OPENMETRICS_CONTENT_TYPE);
        *response.body_mut() = render(source);
    }
    response
}
