//! How a stand-in tells the keepers that it is there.

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

/// How long a keeper has for its answer.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);
/// The longest answer that counts, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 10;
/// Rounds through all keepers in which the end is told.
const END_ROUNDS: usize = 2;

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It is about to leave.
    Draining,
}

impl State {
    fn name(self) -> &'static str {
        match self {
            State::Ready => "ready",
            State::Draining => "draining",
        }
    }
}

/// Why a keeper did not acknowledge.
#[derive(Debug, Snafu)]
enum CallError {
    /// It cannot be reached.
    #[snafu(display("{source}"))]
    Unreached { source: std::io::Error },
    /// What it speaks is not HTTP, or it broke off.
    #[snafu(display("{source}"))]
    Http { source: hyper::Error },
    /// The answer is too long or broke off.
    #[snafu(display("its answer cannot be read"))]
    Unreadable,
    /// It says no.
    #[snafu(display("it answered {status}: {body}"))]
    Refused { status: StatusCode, body: String },
    /// It was silent.
    #[snafu(display("silent for a second"))]
    Silent,
}

/// The registration of one life of an endpoint.
#[derive(Debug)]
pub struct Registration {
    path: String,
    service: String,
    zone: String,
    address: SocketAddr,
    capacity: usize,
    keepers: Vec<SocketAddr>,
    /// The keeper that acknowledged last.
    current: AtomicUsize,
    sequence: AtomicU64,
}

impl Registration {
    /// The registration of an endpoint that listens on `address`.
    pub fn new(options: &EndpointOptions, address: SocketAddr) -> Self {
        Registration {
            path: format!("/instances/{}", options.instance),
            service: options.service.clone(),
            zone: options.zone.clone(),
            address,
            capacity: options.capacity,
            keepers: options.keepers.clone(),
            current: AtomicUsize::new(0),
            sequence: AtomicU64::new(0),
        }
    }

    /// Sends heartbeats until `stop` is over. Returns whether any was acknowledged.
    pub async fn beat_until(&self, options: &EndpointOptions, stop: impl Future<Output = ()>) -> bool {
        let mut stop = pin!(stop);
        let mut was_registered = false;
        let mut ever = false;
        loop {
            let registered = self.say(State::Ready).await;
            if registered != was_registered {
                println!(
                    "{} {}",
                    self.path,
                    if registered { "is registered" } else { "is not acknowledged" }
                );
            }
            was_registered = registered;
            ever |= registered;
            tokio::select! {
                () = stop.as_mut() => return ever,
                () = sleep(options.heartbeat) => {}
            }
        }
    }

    /// Tells the keepers one after the other, until one acknowledges. Returns whether one did.
    pub async fn say(&self, state: State) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = json!({
            "backend": self.service, "address": self.address.to_string(), "zone": self.zone,
            "generation": "stand-in", "capacity": self.capacity, "state": state.name(),
            "warmupRemainingMs": 0, "sequence": sequence,
        });
        self.call_any(&Method::PUT, &body.to_string()).await
    }

    /// Tells the keepers that the endpoint is gone.
    pub async fn end(&self) {
        for _ in 0..END_ROUNDS {
            if self.call_any(&Method::DELETE, "").await {
                return;
            }
        }
    }

    async fn call_any(&self, method: &Method, body: &str) -> bool {
        for _ in 0..self.keepers.len() {
            let current = self.current.load(Ordering::Relaxed) % self.keepers.len();
            let keeper = self.keepers[current];
            let answer = timeout(ANSWER_WITHIN, self.call(keeper, method, body)).await;
            match answer.unwrap_or_else(|_| SilentSnafu.fail()) {
                Ok(()) => return true,
                Err(error) => eprintln!("{method} {} at {keeper}: {error}", self.path),
            }
            self.current.store(current + 1, Ordering::Relaxed);
        }
        false
    }

    async fn call(&self, keeper: SocketAddr, method: &Method, body: &str) -> Result<(), CallError> {
        let stream = TcpStream::connect(keeper).await.context(UnreachedSnafu)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.context(HttpSnafu)?;
        let driving = tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(&self.path)
            .header("host", keeper.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_owned())));
        // The path and the headers were checked when the endpoint started.
        let Ok(request) = request else { return UnreadableSnafu.fail() };
        let answer = sender.send_request(request).await.context(HttpSnafu)?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await;
        driving.abort();
        let Ok(body) = body else { return UnreadableSnafu.fail() };
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        ensure!(status.is_success(), RefusedSnafu { status, body });
        Ok(())
    }
}
