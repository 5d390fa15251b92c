//! One link: its reader, its writer and its open calls.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_protocol::{CallId, Envelope, Message};
use snafu::Snafu;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout, timeout_at};

use super::{LINK_TIMEOUT, MAX_QUEUED_BYTES, PING_INTERVAL};
use crate::host::{Listener, ReadHalf, Stream, WriteHalf};
use crate::sync::lock;

const READ_BUFFER_BYTES: usize = 16 << 10;

/// What a process does with the messages that reach it.
pub trait Service: Send + Sync + 'static {
    /// A message came. Where the sender waits for an answer, `reply` takes it, now or later.
    fn handle_message(&self, link: &Link, message: Message, reply: ReplySender);

    /// A link is no more.
    fn handle_closed(&self, link: &Link) {
        let _ = link;
    }
}

/// Tells the links of one process apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(u64);

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No connection came up: the call was not sent.
    #[snafu(display("no connection"))]
    NotConnected,
    /// The link broke: the call may have been handled.
    #[snafu(display("the link broke"))]
    LinkClosed,
    /// No answer in time: the call may have been handled.
    #[snafu(display("no answer in time"))]
    TimedOut,
}

/// A handle to a link; cheap to clone.
#[derive(Clone)]
pub struct Link {
    shared: Arc<Shared>,
}

struct Shared {
    id: LinkId,
    peer: SocketAddr,
    next_call: AtomicU64,
    is_closed: AtomicBool,
    closed: Notify,
    outgoing: Mutex<Vec<u8>>,
    wake_writer: Notify,
    pending_calls: Mutex<HashMap<CallId, oneshot::Sender<Message>>>,
}

/// The place for the answer to a message; without a caller it is dropped silently.
pub struct ReplySender {
    link: Link,
    call: CallId,
}

impl ReplySender {
    /// Answers.
    pub fn send(self, message: Message) {
        if self.call != CallId::default() {
            self.link.enqueue(&Envelope { call: self.call, is_reply: true, message });
        }
    }
}

impl Link {
    /// Runs a link over a connection that has come up. `connecting` is whether this end opened it.
    ///
    /// # Errors
    ///
    /// If the connection is gone already.
    pub fn start(stream: impl Into<Stream>, connecting: bool, service: Arc<dyn Service>) -> io::Result<Link> {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let mut stream = stream.into();
        let peer = stream.peer_addr()?;
        stream.configure(LINK_TIMEOUT)?;
        let link = Link {
            shared: Arc::new(Shared {
                id: LinkId(NEXT.fetch_add(1, Ordering::Relaxed)),
                peer,
                next_call: AtomicU64::new(1),
                is_closed: AtomicBool::new(false),
                closed: Notify::new(),
                outgoing: Mutex::default(),
                wake_writer: Notify::new(),
                pending_calls: Mutex::default(),
            }),
        };
        let (reader, writer) = stream.into_split();
        tokio::spawn(run_writer(link.clone(), writer));
        tokio::spawn(run_reader(link.clone(), reader, connecting, service));
        Ok(link)
    }

    /// Tells this link from others.
    pub fn id(&self) -> LinkId {
        self.shared.id
    }

    /// The other end.
    pub fn peer(&self) -> SocketAddr {
        self.shared.peer
    }

    /// Whether it is given up.
    pub fn is_closed(&self) -> bool {
        self.shared.is_closed.load(Ordering::Relaxed)
    }

    /// Waits until it is given up.
    pub async fn wait_closed(&self) {
        let ended = self.shared.closed.notified();
        tokio::pin!(ended);
        // Registered before the check, so that an end between the two is not missed.
        ended.as_mut().enable();
        if !self.is_closed() {
            ended.await;
        }
    }

    /// Gives it up.
    pub fn close(&self) {
        if !self.shared.is_closed.swap(true, Ordering::Relaxed) {
            lock(&self.shared.pending_calls).clear();
            self.shared.closed.notify_waiters();
            self.shared.wake_writer.notify_one();
        }
    }

    /// Sends a message that nobody answers. It is lost if the link breaks.
    pub fn send(&self, message: Message) {
        self.enqueue(&Envelope { call: CallId::default(), is_reply: false, message });
    }

    /// Sends a message and waits for its answer.
    ///
    /// # Errors
    ///
    /// If the link breaks or the time is over; the message may have been handled all the same.
    pub async fn call(&self, message: Message, within: Duration) -> Result<Message, CallError> {
        let call = CallId(self.shared.next_call.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        lock(&self.shared.pending_calls).insert(call, sender);
        if self.is_closed() {
            lock(&self.shared.pending_calls).remove(&call);
            return Err(CallError::LinkClosed);
        }
        // Also when this future is dropped, the call must not stay in the table.
        let _guard = PendingCallGuard { link: self, call };
        self.enqueue(&Envelope { call, is_reply: false, message });
        match timeout(within, receiver).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(CallError::LinkClosed),
            Err(_) => Err(CallError::TimedOut),
        }
    }

    fn enqueue(&self, envelope: &Envelope) {
        if self.is_closed() {
            return;
        }
        let Ok(bytes) = envelope.encode() else { return self.close() };
        let waiting = {
            let mut outgoing = lock(&self.shared.outgoing);
            outgoing.extend_from_slice(&bytes);
            outgoing.len()
        };
        if waiting > MAX_QUEUED_BYTES {
            return self.close();
        }
        self.shared.wake_writer.notify_one();
    }

    fn dispatch(&self, envelope: Envelope, service: &Arc<dyn Service>) {
        match envelope.message {
            Message::Ping => {
                self.enqueue(&Envelope { call: envelope.call, is_reply: true, message: Message::Pong })
            }
            message if envelope.is_reply => {
                if let Some(caller) = lock(&self.shared.pending_calls).remove(&envelope.call) {
                    // A caller that no longer waits has dropped its end.
                    let _ = caller.send(message);
                }
            }
            message => {
                service.handle_message(self, message, ReplySender { link: self.clone(), call: envelope.call })
            }
        }
    }
}

struct PendingCallGuard<'link> {
    link: &'link Link,
    call: CallId,
}

impl Drop for PendingCallGuard<'_> {
    fn drop(&mut self) {
        lock(&self.link.shared.pending_calls).remove(&self.call);
    }
}

/// Accepts links until the listener fails.
pub async fn serve(listener: impl Into<Listener>, service: Arc<dyn Service>) {
    const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);
    let listener = listener.into();
    loop {
        match listener.accept().await {
            // A connection that is gone already needs no answer.
            Ok(stream) => drop(Link::start(stream, false, Arc::clone(&service))),
            Err(_) => tokio::time::sleep(PAUSE_AFTER_FAILURE).await,
        }
    }
}

async fn run_writer(link: Link, mut writer: WriteHalf) {
    loop {
        let bytes = std::mem::take(&mut *lock(&link.shared.outgoing));
        if link.is_closed() {
            return;
        }
        if bytes.is_empty() {
            link.shared.wake_writer.notified().await;
        } else if !matches!(
            tokio::select! {
                biased;
                written = writer.write_all(&bytes) => written,
                () = link.wait_closed() => return,
            },
            Ok(())
        ) {
            return link.close();
        }
    }
}

async fn run_reader(link: Link, mut reader: ReadHalf, connecting: bool, service: Arc<dyn Service>) {
    let mut buffer = Vec::with_capacity(READ_BUFFER_BYTES);
    let mut heard = Instant::now();
    let mut pinged = Instant::now();
    loop {
        // The accepting end only waits; the connecting end wakes up to ping.
        let wake = if connecting { Instant::now() + PING_INTERVAL } else { heard + LINK_TIMEOUT };
        let received = tokio::select! {
            biased;
            () = link.wait_closed() => break,
            received = timeout_at(wake, reader.read_buf(&mut buffer)) => received,
        };
        match received {
            Ok(Ok(0) | Err(_)) => break,
            Ok(Ok(_)) => heard = Instant::now(),
            Err(_) if heard.elapsed() >= LINK_TIMEOUT => break,
            Err(_) => link.send(Message::Ping),
        }
        if !dispatch_envelopes(&link, &mut buffer, &service) {
            break;
        }
        // Whoever sends a large envelope over a slow link hears for as long that it is being read.
        if !buffer.is_empty() && pinged.elapsed() >= PING_INTERVAL {
            link.send(Message::Ping);
            pinged = Instant::now();
        }
    }
    link.close();
    service.handle_closed(&link);
}

/// Hands on every whole envelope; `false` if the bytes are none.
fn dispatch_envelopes(link: &Link, buffer: &mut Vec<u8>, service: &Arc<dyn Service>) -> bool {
    let mut taken = 0;
    let intact = loop {
        match Envelope::decode(&buffer[taken..]) {
            Ok(Some((envelope, bytes))) => {
                taken += bytes;
                link.dispatch(envelope, service);
            }
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    buffer.drain(..taken);
    intact
}
