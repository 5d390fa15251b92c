//! Connections to endpoints: one request at a time on each, kept for reuse while they are sound.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use juniperwing_clock::{Span, Time};
use juniperwing_protocol::identity::InstanceId;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::clock::now;
use crate::panics::isolated;
use crate::sync::lock;

/// A connection that has not come up by then is given up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// For how long an idle connection is kept where the endpoint does not say.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_millis(4_000);
/// An idle connection is given up this long before the endpoint does.
const IDLE_TIMEOUT_MARGIN: Span = Span::from_millis(700);
/// Idle connections kept to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 32;
/// The read buffer of a connection, in bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Ends the task of a connection, and with it the connection, when it is dropped.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Open(Arc<AtomicUsize>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection to an endpoint. It closes when it is dropped.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether a request has gone over it before.
    pub used: bool,
    _driver: Driver,
    _open: Open,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Time,
}

/// All connections of a relay to endpoints.
#[derive(Debug)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<InstanceId, Vec<Idle>>>,
    open: Arc<AtomicUsize>,
    most: usize,
}

impl ConnectionPool {
    /// A pool of at most `most` connections.
    pub fn new(most: usize) -> Self {
        ConnectionPool { idle: Mutex::default(), open: Arc::default(), most }
    }

    /// An idle connection to an endpoint that may be used again.
    pub fn take(&self, endpoint: &InstanceId) -> Option<Connection> {
        let now = now();
        let mut idle = self.lock();
        let connections = idle.get_mut(endpoint)?;
        connections.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        let place = connections.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        Some(connections.swap_remove(place).connection)
    }

    /// Opens a connection; `None` if it does not come up in time, or there are too many.
    pub async fn connect(&self, address: SocketAddr, within: Duration) -> Option<Connection> {
        if self.open.load(Ordering::Relaxed) >= self.most {
            self.drop_idle();
        }
        if self.open.fetch_add(1, Ordering::Relaxed) >= self.most {
            self.open.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        let open = Open(Arc::clone(&self.open));
        let stream = timeout(within.min(CONNECT_TIMEOUT), TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let (sender, driver) = builder.handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::spawn(isolated(async move {
            // Its errors reach the request that is under way.
            let _ = driver.await;
        }));
        Some(Connection { sender, used: false, _driver: Driver(driver), _open: open })
    }

    /// Keeps a connection whose answer has been read whole. `keep_alive` is what the endpoint told, in seconds.
    pub fn give_back(&self, endpoint: &InstanceId, mut connection: Connection, keep_alive: Option<u64>) {
        connection.used = true;
        let told =
            keep_alive.map(|seconds| Span::from_millis(seconds.saturating_mul(1_000)) - IDLE_TIMEOUT_MARGIN);
        let keep = told.map_or(DEFAULT_IDLE_TIMEOUT, |told| told.min(DEFAULT_IDLE_TIMEOUT));
        // Not ready: the endpoint answered before it had read the request. Its rest must not hold up another.
        if keep == Span::ZERO || connection.sender.is_closed() || !connection.sender.is_ready() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(endpoint.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            connections.push(Idle { connection, until: now() + keep });
        }
    }

    /// Closes idle connections whose time is over, and those to endpoints that take no more requests.
    pub fn sweep(&self, is_ready: impl Fn(&InstanceId) -> bool) {
        let now = now();
        let mut idle = self.lock();
        idle.retain(|endpoint, connections| {
            connections.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !connections.is_empty() && is_ready(endpoint)
        });
    }

    /// Closes the idle connections to an endpoint that takes no new ones: a request on them could not be taken back.
    pub fn forget(&self, endpoint: &InstanceId) {
        self.lock().remove(endpoint);
    }

    /// Whether connections are kept.
    pub fn has_idle(&self) -> bool {
        !self.lock().is_empty()
    }

    fn drop_idle(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, Vec<Idle>>> {
        lock(&self.idle)
    }
}
