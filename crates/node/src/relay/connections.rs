//! The connections of clients: which of them rest, since when, and how they are ended.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use juniperwing_clock::{Span, Time};
use juniperwing_configuration::Limits;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::clock::now;
use crate::sync::lock;

/// How long after a request's deadline its connection is cut if the client has not taken in the answer.
const DEADLINE_GRACE: Span = Span::from_millis(150);

/// One connection of a client.
#[derive(Debug)]
pub struct ClientConnection {
    /// A request is open: read, and its answer not at its end.
    busy: AtomicBool,
    /// When it began to rest.
    rests_since: AtomicU64,
    /// When the first byte of a head came; 0 if none has.
    head_since: AtomicU64,
    /// When the answer under way must have ended; `u64::MAX` while that is not known.
    answer_by: AtomicU64,
    /// The largest head that this connection can read, in bytes.
    max_head_bytes: u64,
    /// It should end as soon as it rests.
    pub finish: Notify,
    /// It should end at once.
    pub cut: Notify,
}

impl ClientConnection {
    fn new(max_head_bytes: u64) -> Self {
        ClientConnection {
            busy: AtomicBool::new(false),
            rests_since: AtomicU64::new(nanos()),
            head_since: AtomicU64::new(0),
            answer_by: AtomicU64::new(u64::MAX),
            max_head_bytes,
            finish: Notify::new(),
            cut: Notify::new(),
        }
    }

    /// Marks the begin of a request; it is open until the guard is dropped.
    pub fn open_request(self: &Arc<Self>) -> RequestGuard {
        self.answer_by.store(u64::MAX, Ordering::Relaxed);
        self.busy.store(true, Ordering::Relaxed);
        self.head_since.store(0, Ordering::Relaxed);
        RequestGuard(Arc::clone(self))
    }

    /// The answer that now goes out ends by `deadline`, however slowly the client reads it.
    pub fn set_deadline(&self, deadline: Time) {
        let latest = (deadline + DEADLINE_GRACE).since(Time::default());
        self.answer_by.store(latest.as_nanos(), Ordering::Relaxed);
    }

    fn heard(&self) {
        if !self.busy.load(Ordering::Relaxed) && self.head_since.load(Ordering::Relaxed) == 0 {
            self.head_since.store(nanos(), Ordering::Relaxed);
        }
    }

    /// Ends it if it has rested, or its head or its answer has taken, for too long, or if larger heads are allowed
    /// now than it can read.
    fn check(&self, now: Time, limits: &Limits) {
        if limits.max_header_bytes > self.max_head_bytes {
            self.finish.notify_one();
        }
        if self.busy.load(Ordering::Relaxed) {
            let answer_by = Time::from_nanos(self.answer_by.load(Ordering::Relaxed));
            if now > answer_by {
                self.cut.notify_one();
            }
            return;
        }
        let head_since = self.head_since.load(Ordering::Relaxed);
        let rests_since = Time::from_nanos(self.rests_since.load(Ordering::Relaxed));
        if head_since == 0 && now.since(rests_since) > limits.idle_timeout {
            self.finish.notify_one();
        } else if head_since > 0 && now.since(Time::from_nanos(head_since)) > limits.header_timeout {
            self.cut.notify_one();
        }
    }
}

/// A request is open for as long as this lives.
#[derive(Debug)]
pub struct RequestGuard(Arc<ClientConnection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.rests_since.store(nanos(), Ordering::Relaxed);
        self.0.busy.store(false, Ordering::Relaxed);
    }
}

/// All connections of clients.
#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    next: AtomicU64,
    changed: Notify,
}

/// A connection is listed for as long as this lives.
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
        self.connections.changed.notify_waiters();
    }
}

impl Connections {
    /// Lists a new connection, which reads heads of up to `max_head_bytes`.
    pub fn add(self: &Arc<Self>, max_head_bytes: u64) -> RegisteredConnection {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(ClientConnection::new(max_head_bytes));
        self.lock().insert(number, Arc::clone(&connection));
        RegisteredConnection { connections: Arc::clone(self), number, connection }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Ends those that have rested, or answered, too long.
    pub fn sweep(&self, limits: &Limits) {
        let now = now();
        self.lock().values().for_each(|connection| connection.check(now, limits));
    }

    /// Ends every connection as soon as it rests.
    pub fn finish_all(&self) {
        self.lock().values().for_each(|connection| connection.finish.notify_one());
    }

    /// How many have a request without a whole answer.
    pub fn busy(&self) -> usize {
        self.lock().values().filter(|connection| connection.busy.load(Ordering::Relaxed)).count()
    }

    /// Waits until there are none.
    pub async fn ended(&self) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registered before the check, so that an end between the two is not missed.
            changed.as_mut().enable();
            if self.count() == 0 {
                return;
            }
            changed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<ClientConnection>>> {
        lock(&self.open)
    }
}

/// A client's socket that notes when bytes of a head come.
pub struct WatchedStream {
    /// The socket.
    pub stream: TcpStream,
    /// Where it is noted.
    pub connection: Arc<ClientConnection>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.connection.heard();
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

fn nanos() -> u64 {
    now().since(Time::default()).as_nanos()
}
