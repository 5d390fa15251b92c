//! Client connections: tracks which are idle and since when, and closes them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use juniperwing_clock::{Span, Time};
use juniperwing_configuration::Limits;
use tokio::sync::Notify;

use crate::clock::now;
use crate::sync::lock;

/// How long after a request's deadline its connection is aborted if the response has not been sent completely.
const DEADLINE_GRACE: Span = Span::from_millis(150);

/// One connection of a client. Times are in nanoseconds since the start of the process's clock.
#[derive(Debug)]
pub struct ClientConnection {
    /// Whether a request is open, that is, its head was read and its response has not ended.
    has_open_request: AtomicBool,
    /// When the connection became idle.
    idle_since: AtomicU64,
    /// When the first byte of the next request head arrived; 0 if none has.
    head_started_at: AtomicU64,
    /// When the current response must have ended; `u64::MAX` if not known yet.
    response_deadline: AtomicU64,
    /// The size of the largest head that this connection can read, in bytes.
    max_head_bytes: u64,
    /// Notified when the connection should close as soon as it is idle.
    pub close_when_idle: Notify,
    /// Notified when the connection should close at once.
    pub abort: Notify,
}

impl ClientConnection {
    fn new(max_head_bytes: u64) -> Self {
        ClientConnection {
            has_open_request: AtomicBool::new(false),
            idle_since: AtomicU64::new(now_nanos()),
            head_started_at: AtomicU64::new(0),
            response_deadline: AtomicU64::new(u64::MAX),
            max_head_bytes,
            close_when_idle: Notify::new(),
            abort: Notify::new(),
        }
    }

    /// Records the start of a request; it is open until the guard is dropped.
    pub fn open_request(self: &Arc<Self>) -> RequestGuard {
        self.response_deadline.store(u64::MAX, Ordering::Relaxed);
        self.has_open_request.store(true, Ordering::Relaxed);
        self.head_started_at.store(0, Ordering::Relaxed);
        RequestGuard(Arc::clone(self))
    }

    /// Limits the response to `deadline` and a short grace period, however slowly the client reads it.
    pub fn set_response_deadline(&self, deadline: Time) {
        let latest = (deadline + DEADLINE_GRACE).since(Time::default());
        self.response_deadline.store(latest.as_nanos(), Ordering::Relaxed);
    }

    /// Records that bytes arrived. On an idle connection they begin a request head.
    pub fn record_received_bytes(&self) {
        let is_idle = !self.has_open_request.load(Ordering::Relaxed);
        if is_idle && self.head_started_at.load(Ordering::Relaxed) == 0 {
            self.head_started_at.store(now_nanos(), Ordering::Relaxed);
        }
    }

    /// Closes the connection if it has been idle for too long, if its head or response has taken too long, or if the
    /// limits now allow larger heads than its buffer can hold.
    fn enforce_limits(&self, now: Time, limits: &Limits) {
        if limits.max_header_bytes > self.max_head_bytes {
            self.close_when_idle.notify_one();
        }
        if self.has_open_request.load(Ordering::Relaxed) {
            let response_deadline = Time::from_nanos(self.response_deadline.load(Ordering::Relaxed));
            if now > response_deadline {
                self.abort.notify_one();
            }
            return;
        }
        let head_started_at = self.head_started_at.load(Ordering::Relaxed);
        let idle_since = Time::from_nanos(self.idle_since.load(Ordering::Relaxed));
        if head_started_at == 0 && now.since(idle_since) > limits.idle_timeout {
            self.close_when_idle.notify_one();
        } else if head_started_at > 0 && now.since(Time::from_nanos(head_started_at)) > limits.header_timeout
        {
            self.abort.notify_one();
        }
    }
}

/// Keeps a request open until dropped.
#[derive(Debug)]
pub struct RequestGuard(Arc<ClientConnection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.idle_since.store(now_nanos(), Ordering::Relaxed);
        self.0.has_open_request.store(false, Ordering::Relaxed);
    }
}

/// All connections of clients.
#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<BTreeMap<u64, Arc<ClientConnection>>>,
    next_number: AtomicU64,
    closed: Notify,
}

/// Keeps a connection registered in [`Connections`] until dropped.
#[derive(Debug)]
pub struct RegisteredConnection {
    connections: Arc<Connections>,
    number: u64,
    /// The connection.
    pub connection: Arc<ClientConnection>,
}

impl Drop for RegisteredConnection {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.number);
        self.connections.closed.notify_waiters();
    }
}

impl Connections {
    /// Registers a new connection, which can read heads of up to `max_head_bytes`.
    pub fn register(self: &Arc<Self>, max_head_bytes: u64) -> RegisteredConnection {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(ClientConnection::new(max_head_bytes));
        self.lock().insert(number, Arc::clone(&connection));
        RegisteredConnection { connections: Arc::clone(self), number, connection }
    }

    /// The number of connections.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Closes the connections that exceed a limit.
    pub fn sweep(&self, limits: &Limits) {
        let now = now();
        self.lock().values().for_each(|connection| connection.enforce_limits(now, limits));
    }

    /// Closes every connection as soon as it is idle.
    pub fn close_all_when_idle(&self) {
        self.lock().values().for_each(|connection| connection.close_when_idle.notify_one());
    }

    /// The number of connections with an open request.
    pub fn open_requests(&self) -> usize {
        let connections = self.lock();
        connections.values().filter(|connection| connection.has_open_request.load(Ordering::Relaxed)).count()
    }

    /// Waits until there are no connections.
    pub async fn all_closed(&self) {
        loop {
            let closed = self.closed.notified();
            tokio::pin!(closed);
            // Enabled before the check, so that a connection that closes between the two is not missed.
            closed.as_mut().enable();
            if self.count() == 0 {
                return;
            }
            closed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<ClientConnection>>> {
        lock(&self.open)
    }
}

fn now_nanos() -> u64 {
    now().since(Time::default()).as_nanos()
}
