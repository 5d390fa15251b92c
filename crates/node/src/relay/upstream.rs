//! A pool of connections to endpoints. Each serves one request at a time, and is reused while it is usable.

use std::collections::BTreeMap;
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
use crate::panics::isolate;
use crate::sync::lock;

/// The maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The maximum time that an idle connection is kept, also used if the endpoint specifies none.
const MAX_IDLE_TIME: Span = Span::from_millis(4_000);
/// How long before the endpoint's own idle timeout a connection is closed by the relay.
const IDLE_TIMEOUT_MARGIN: Span = Span::from_millis(700);
/// The maximum number of idle connections per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 32;
/// The size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// The task that drives a connection. Dropping this aborts the task, which closes the connection.
#[derive(Debug)]
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Counts as one open connection until dropped.
#[derive(Debug)]
struct ConnectionPermit(Arc<AtomicUsize>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection to an endpoint. It is closed when dropped.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether an earlier request was sent on it.
    pub was_used: bool,
    _task: ConnectionTask,
    _permit: ConnectionPermit,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Time,
}

/// All connections of a relay to endpoints.
#[derive(Debug)]
pub struct ConnectionPool {
    idle: Mutex<BTreeMap<InstanceId, Vec<IdleConnection>>>,
    open_connections: Arc<AtomicUsize>,
    max_connections: usize,
}

impl ConnectionPool {
    /// Creates a pool of at most `max_connections`, including idle ones.
    pub fn new(max_connections: usize) -> Self {
        ConnectionPool { idle: Mutex::default(), open_connections: Arc::default(), max_connections }
    }

    /// Removes a usable idle connection to an endpoint from the pool.
    pub fn take_idle(&self, endpoint: &InstanceId) -> Option<Connection> {
        let now = now();
        let mut idle = self.lock();
        let connections = idle.get_mut(endpoint)?;
        connections.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        let index = connections.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        Some(connections.swap_remove(index).connection)
    }

    /// Establishes a connection; `None` if that fails or takes longer than `max_wait`, or the pool is full.
    pub async fn connect(&self, address: SocketAddr, max_wait: Duration) -> Option<Connection> {
        let permit = self.acquire_permit()?;
        let stream = timeout(max_wait.min(CONNECT_TIMEOUT), TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let (sender, driver) = builder.handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::spawn(isolate(async move {
            // Errors are reported to the request in flight.
            let _ = driver.await;
        }));
        Some(Connection { sender, was_used: false, _task: ConnectionTask(task), _permit: permit })
    }

    /// Acquires a permit for one more connection. If the pool is full, closes all idle connections first; `None` if it
    /// is still full.
    fn acquire_permit(&self) -> Option<ConnectionPermit> {
        if self.open_connections.load(Ordering::Relaxed) >= self.max_connections {
            self.lock().clear();
        }
        if self.open_connections.fetch_add(1, Ordering::Relaxed) >= self.max_connections {
            self.open_connections.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(ConnectionPermit(Arc::clone(&self.open_connections)))
    }

    /// Returns a connection to the pool after its response has been read completely. `keep_alive_secs` is the idle
    /// timeout from the endpoint's `Keep-Alive` header.
    pub fn put_idle(&self, endpoint: &InstanceId, mut connection: Connection, keep_alive_secs: Option<u64>) {
        connection.was_used = true;
        let allowed = keep_alive_secs
            .map(|seconds| Span::from_millis(seconds.saturating_mul(1_000)) - IDLE_TIMEOUT_MARGIN);
        let idle_time = allowed.map_or(MAX_IDLE_TIME, |allowed| allowed.min(MAX_IDLE_TIME));
        // It is not ready if the endpoint responded before reading the complete request. The next request would be
        // delayed by the rest of this one.
        if idle_time == Span::ZERO || connection.sender.is_closed() || !connection.sender.is_ready() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(endpoint.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            connections.push(IdleConnection { connection, expires_at: now() + idle_time });
        }
    }

    /// Closes idle connections that have expired, and those to endpoints that are not ready.
    pub fn sweep(&self, is_ready: impl Fn(&InstanceId) -> bool) {
        let now = now();
        let mut idle = self.lock();
        idle.retain(|endpoint, connections| {
            connections.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
            !connections.is_empty() && is_ready(endpoint)
        });
    }

    /// Closes the idle connections to an endpoint that accepts no new ones. A request sent on one of
    /// them could not be treated as unsent if it fails.
    pub fn close_idle(&self, endpoint: &InstanceId) {
        self.lock().remove(endpoint);
    }

    /// Whether there are idle connections.
    pub fn has_idle(&self) -> bool {
        !self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Vec<IdleConnection>>> {
        lock(&self.idle)
    }
}
