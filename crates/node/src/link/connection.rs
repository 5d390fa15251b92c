//! A link with its reader task, its writer task and its pending calls.

use std::collections::BTreeMap;
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

/// Initial size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Handler of the messages that a process receives over its links.
pub trait MessageHandler: Send + Sync + 'static {
    /// Handles a message. If it is a call, the reply is sent through `reply`, immediately or later.
    fn handle_message(&self, link: &Link, message: Message, reply: ReplySender);

    /// Handles the closing of a link.
    fn handle_closed(&self, link: &Link) {
        let _ = link;
    }
}

/// Identifies a link; unique within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(u64);

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No connection could be established; the call was not sent.
    #[snafu(display("no connection"))]
    NotConnected,
    /// The link was closed; the call may have been handled.
    #[snafu(display("link closed"))]
    LinkClosed,
    /// No reply was received in time; the call may have been handled.
    #[snafu(display("call timed out"))]
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
    pending_calls: Mutex<BTreeMap<CallId, oneshot::Sender<Message>>>,
}

/// Sends the reply to a message; the reply is dropped if the message was not a call.
pub struct ReplySender {
    link: Link,
    call: CallId,
}

impl ReplySender {
    /// Sends the reply.
    pub fn send(self, message: Message) {
        if self.call != CallId::default() {
            self.link.enqueue(&Envelope { call: self.call, is_reply: true, message });
        }
    }
}

impl Link {
    /// Starts a link over an established connection; `is_initiator` is whether this end opened the connection.
    ///
    /// # Errors
    ///
    /// If the connection is closed already.
    pub fn start(
        stream: impl Into<Stream>, is_initiator: bool, handler: Arc<dyn MessageHandler>,
    ) -> io::Result<Link> {
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
        tokio::spawn(run_reader(link.clone(), reader, is_initiator, handler));
        Ok(link)
    }

    /// The identity of the link.
    pub fn id(&self) -> LinkId {
        self.shared.id
    }

    /// The address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.shared.peer
    }

    /// Whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.shared.is_closed.load(Ordering::Relaxed)
    }

    /// Waits until the link is closed.
    pub async fn wait_closed(&self) {
        let closed = self.shared.closed.notified();
        tokio::pin!(closed);
        // Registered before the check, so that closing between the two is not missed.
        closed.as_mut().enable();
        if !self.is_closed() {
            closed.await;
        }
    }

    /// Closes the link and fails its pending calls.
    pub fn close(&self) {
        if !self.shared.is_closed.swap(true, Ordering::Relaxed) {
            lock(&self.shared.pending_calls).clear();
            self.shared.closed.notify_waiters();
            self.shared.wake_writer.notify_one();
        }
    }

    /// Sends a message without a reply. It is lost if the link is closed.
    pub fn send(&self, message: Message) {
        self.enqueue(&Envelope { call: CallId::default(), is_reply: false, message });
    }

    /// Sends a message and waits for the reply, for `call_timeout` at most.
    ///
    /// # Errors
    ///
    /// If the link is closed or the call times out; the message may have been handled nevertheless.
    pub async fn call(&self, message: Message, call_timeout: Duration) -> Result<Message, CallError> {
        let call = CallId(self.shared.next_call.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        lock(&self.shared.pending_calls).insert(call, sender);
        if self.is_closed() {
            lock(&self.shared.pending_calls).remove(&call);
            return Err(CallError::LinkClosed);
        }
        // Removes the pending call even if this future is dropped.
        let _guard = PendingCallGuard { link: self, call };
        self.enqueue(&Envelope { call, is_reply: false, message });
        match timeout(call_timeout, receiver).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(CallError::LinkClosed),
            Err(_) => Err(CallError::TimedOut),
        }
    }

    fn enqueue(&self, envelope: &Envelope) {
        if self.is_closed() {
            return;
        }
        let Ok(bytes) = envelope.encode() else { return self.close() };
        let queued_bytes = {
            let mut outgoing = lock(&self.shared.outgoing);
            outgoing.extend_from_slice(&bytes);
            outgoing.len()
        };
        if queued_bytes > MAX_QUEUED_BYTES {
            return self.close();
        }
        self.shared.wake_writer.notify_one();
    }

    fn dispatch(&self, envelope: Envelope, handler: &Arc<dyn MessageHandler>) {
        match envelope.message {
            Message::Ping => {
                self.enqueue(&Envelope { call: envelope.call, is_reply: true, message: Message::Pong })
            }
            message if envelope.is_reply => {
                if let Some(caller) = lock(&self.shared.pending_calls).remove(&envelope.call) {
                    // The caller may have stopped waiting.
                    let _ = caller.send(message);
                }
            }
            message => {
                handler.handle_message(self, message, ReplySender { link: self.clone(), call: envelope.call })
            }
        }
    }
}

/// Removes a pending call when dropped.
struct PendingCallGuard<'link> {
    link: &'link Link,
    call: CallId,
}

impl Drop for PendingCallGuard<'_> {
    fn drop(&mut self) {
        lock(&self.link.shared.pending_calls).remove(&self.call);
    }
}

/// Accepts links at a listener; never returns.
pub async fn serve(listener: impl Into<Listener>, handler: Arc<dyn MessageHandler>) {
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
    let listener = listener.into();
    loop {
        match listener.accept().await {
            // The connection may be closed already.
            Ok(stream) => drop(Link::start(stream, false, Arc::clone(&handler))),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Writes queued envelopes until the link is closed.
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

/// Reads and dispatches envelopes until the link is closed.
async fn run_reader(link: Link, mut reader: ReadHalf, is_initiator: bool, handler: Arc<dyn MessageHandler>) {
    let mut buffer = Vec::with_capacity(READ_BUFFER_BYTES);
    let mut last_received_at = Instant::now();
    let mut last_ping_at = Instant::now();
    loop {
        // The accepting end waits until the link times out; the connecting end wakes up earlier to send pings.
        let wake_at =
            if is_initiator { Instant::now() + PING_INTERVAL } else { last_received_at + LINK_TIMEOUT };
        let received = tokio::select! {
            biased;
            () = link.wait_closed() => break,
            received = timeout_at(wake_at, reader.read_buf(&mut buffer)) => received,
        };
        match received {
            Ok(Ok(0) | Err(_)) => break,
            Ok(Ok(_)) => last_received_at = Instant::now(),
            Err(_) if last_received_at.elapsed() >= LINK_TIMEOUT => break,
            Err(_) => link.send(Message::Ping),
        }
        if !dispatch_envelopes(&link, &mut buffer, &handler) {
            break;
        }
        // A peer that sends a large envelope over a slow link must receive something in the meantime, or it closes the
        // link.
        if !buffer.is_empty() && last_ping_at.elapsed() >= PING_INTERVAL {
            link.send(Message::Ping);
            last_ping_at = Instant::now();
        }
    }
    link.close();
    handler.handle_closed(&link);
}

/// Dispatches every complete envelope; returns `false` if the bytes are invalid.
fn dispatch_envelopes(link: &Link, buffer: &mut Vec<u8>, handler: &Arc<dyn MessageHandler>) -> bool {
    let mut consumed = 0;
    let is_valid = loop {
        match Envelope::decode(&buffer[consumed..]) {
            Ok(Some((envelope, bytes))) => {
                consumed += bytes;
                link.dispatch(envelope, handler);
            }
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    buffer.drain(..consumed);
    is_valid
}
