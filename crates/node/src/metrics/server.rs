//! HTTP listener that serves the metrics of a process.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use super::exposition::render;
use super::metric::MetricSource;
use crate::panics::isolate;
use crate::settings::Settings;

/// Maximum number of concurrent connections; further ones wait in the backlog of the listener.
const MAX_CONNECTIONS: usize = 4;
/// Maximum duration of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for receiving the header of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
const OPENMETRICS_CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// Serves metrics at the endpoint that the settings specify, if any, until the process exits.
///
/// If the endpoint cannot be used, the error is logged and the role runs without metrics.
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
    /// The port, on the machine's address.
    pub port: u16,
    /// The path, with a leading slash.
    pub path: String,
}

impl MetricsEndpoint {
    /// Parses `PORT/PATH`; `None` if the text is malformed.
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
            // Slow clients are disconnected.
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
