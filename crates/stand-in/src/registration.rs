//! Registers a stand-in with the keepers.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use snafu::{ResultExt, Snafu, ensure};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::options::EndpointOptions;

/// The timeout of a call to a keeper.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 10;
/// How many times all keepers are tried when the endpoint deregisters.
const DEREGISTRATION_ROUNDS: usize = 2;

/// The state that an endpoint reports to keepers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// It accepts requests.
    Ready,
    /// It is about to shut down.
    Draining,
}

impl ReportedState {
    fn name(self) -> &'static str {
        match self {
            ReportedState::Ready => "ready",
            ReportedState::Draining => "draining",
        }
    }
}

/// Why a keeper did not acknowledge a call.
#[derive(Debug, Snafu)]
enum CallError {
    /// It cannot be reached.
    #[snafu(display("{source}"))]
    Unreachable { source: std::io::Error },
    /// Its response is not HTTP, or the connection broke.
    #[snafu(display("{source}"))]
    Http { source: hyper::Error },
    /// The response is too long or incomplete.
    #[snafu(display("invalid response"))]
    InvalidResponse,
    /// It rejected the call.
    #[snafu(display("rejected with status {status}: {body}"))]
    Rejected { status: StatusCode, body: String },
    /// It did not respond in time.
    #[snafu(display("no response within {} s", RESPONSE_TIMEOUT.as_secs()))]
    TimedOut,
}

/// The registration of one incarnation of an endpoint.
#[derive(Debug)]
pub struct Registration {
    path: String,
    service: String,
    zone: String,
    address: SocketAddr,
    capacity: usize,
    keepers: Vec<SocketAddr>,
    /// The index of the keeper to call next, which wraps around: the last one that acknowledged a call.
    current_keeper: AtomicUsize,
    last_sequence: AtomicU64,
}

impl Registration {
    /// The registration of an endpoint that listens on `address`.
    pub fn new(options: &EndpointOptions, address: SocketAddr) -> Self {
        Registration {
            path: format!("/instances/{}", options.instance_id),
            service: options.service.clone(),
            zone: options.zone.clone(),
            address,
            capacity: options.capacity,
            keepers: options.keepers.clone(),
            current_keeper: AtomicUsize::new(0),
            last_sequence: AtomicU64::new(0),
        }
    }

    /// Sends heartbeats until `stop` completes. Returns whether any was acknowledged.
    pub async fn send_heartbeats_until(
        &self, options: &EndpointOptions, stop: impl Future<Output = ()>,
    ) -> bool {
        let mut stop = pin!(stop);
        let mut was_registered = false;
        let mut has_ever_registered = false;
        loop {
            let registered = self.report(ReportedState::Ready).await;
            if registered != was_registered {
                println!(
                    "{} {}",
                    self.path,
                    if registered { "is registered" } else { "is not acknowledged" }
                );
            }
            was_registered = registered;
            has_ever_registered |= registered;
            tokio::select! {
                () = stop.as_mut() => return has_ever_registered,
                () = sleep(options.heartbeat_interval) => {}
            }
        }
    }

    /// Reports a state to one keeper after another until one acknowledges it. Returns whether one did.
    pub async fn report(&self, state: ReportedState) -> bool {
        let sequence = self.last_sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = json!({
            "backend": self.service, "address": self.address.to_string(), "zone": self.zone,
            "generation": "stand-in", "capacity": self.capacity, "state": state.name(),
            "warmupRemainingMs": 0, "sequence": sequence,
        });
        self.call_any(&Method::PUT, &body.to_string()).await
    }

    /// Removes the registration.
    pub async fn deregister(&self) {
        for _ in 0..DEREGISTRATION_ROUNDS {
            if self.call_any(&Method::DELETE, "").await {
                return;
            }
        }
    }

    async fn call_any(&self, method: &Method, body: &str) -> bool {
        for _ in 0..self.keepers.len() {
            let current = self.current_keeper.load(Ordering::Relaxed) % self.keepers.len();
            let keeper = self.keepers[current];
            let response = timeout(RESPONSE_TIMEOUT, self.call(keeper, method, body)).await;
            match response.unwrap_or_else(|_| TimedOutSnafu.fail()) {
                Ok(()) => return true,
                Err(error) => eprintln!("{method} {} at {keeper}: {error}", self.path),
            }
            self.current_keeper.store(current + 1, Ordering::Relaxed);
        }
        false
    }

    async fn call(&self, keeper: SocketAddr, method: &Method, body: &str) -> Result<(), CallError> {
        let stream = TcpStream::connect(keeper).await.context(UnreachableSnafu)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.context(HttpSnafu)?;
        let driver = tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(&self.path)
            .header("host", keeper.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_owned())));
        // The command validates the id in the path when the endpoint starts.
        let Ok(request) = request else { return InvalidResponseSnafu.fail() };
        let response = sender.send_request(request).await.context(HttpSnafu)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        driver.abort();
        let Ok(body) = body else { return InvalidResponseSnafu.fail() };
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        ensure!(status.is_success(), RejectedSnafu { status, body });
        Ok(())
    }
}
