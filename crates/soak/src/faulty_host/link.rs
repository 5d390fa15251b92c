//! Connections whose bytes can be held back or delayed, and which can be reset.
//!
//! A task for each direction copies bytes between the process and the socket. While the link to the peer is blocked,
//! bytes are buffered; once they have been buffered for the connection's TCP user timeout, the connection is reset, as
//! the operating system would do.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use juniperwing_node::host::{SimulatedStream, SimulatedWriter};
use juniperwing_node::sync::watch;
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, duplex};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, sleep};

use super::rules::LiveFaultRules;

/// Buffer size of each direction, which stands for the socket buffers.
const BUFFER_BYTES: usize = 128 << 10;
/// Maximum number of bytes copied at a time.
const CHUNK_BYTES: usize = 16 << 10;
/// How often a task checks whether its link is blocked or reset.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// State that both directions of a connection share.
struct ConnectionState {
    rules: LiveFaultRules,
    peer: IpAddr,
    user_timeout_ms: AtomicU64,
    /// Value of [`super::FaultRules::resets`] when the connection was established.
    resets: u64,
    broken: watch::Sender<bool>,
}

impl ConnectionState {
    fn is_outbound_blocked(&self) -> bool {
        self.rules.get(|rules| rules.blocked_destinations.contains(&self.peer))
    }

    fn is_inbound_blocked(&self) -> bool {
        self.rules.get(|rules| rules.blocked_sources.contains(&self.peer))
    }

    fn is_reset(&self) -> bool {
        self.rules.get(|rules| rules.resets) != self.resets
    }

    fn has_timed_out(&self, since: Instant) -> bool {
        let limit = self.user_timeout_ms.load(Ordering::Relaxed);
        limit > 0 && since.elapsed() >= Duration::from_millis(limit)
    }

    fn mark_broken(&self) {
        self.broken.send_replace(true);
    }
}

/// Wraps a connection so that it follows the fault rules.
///
/// # Errors
///
/// If the connection is closed.
pub fn apply_rules(stream: TcpStream, rules: &LiveFaultRules) -> io::Result<SimulatedStream> {
    let peer = stream.peer_addr()?;
    stream.set_nodelay(true)?;
    let (broken, _) = watch::channel(false);
    let shared = Arc::new(ConnectionState {
        rules: rules.clone(),
        peer: peer.ip(),
        user_timeout_ms: AtomicU64::new(0),
        resets: rules.get(|rules| rules.resets),
        broken,
    });
    let (inbound, reader) = duplex(BUFFER_BYTES);
    let (writer, outbound) = duplex(BUFFER_BYTES);
    let (from, to) = stream.into_split();
    tokio::spawn(copy_in(Arc::clone(&shared), from, inbound));
    tokio::spawn(copy_out(Arc::clone(&shared), outbound, to));
    Ok(SimulatedStream { peer, reader: Box::new(reader), writer: Box::new(Writer { inner: writer, shared }) })
}

/// Waits until neither direction of the link to a machine is blocked.
pub async fn wait_until_reachable(rules: &LiveFaultRules, peer: SocketAddr) {
    let is_blocked = || {
        rules.get(|rules| {
            rules.blocked_destinations.contains(&peer.ip()) || rules.blocked_sources.contains(&peer.ip())
        })
    };
    while is_blocked() {
        sleep(POLL_INTERVAL).await;
    }
}

async fn copy_in(shared: Arc<ConnectionState>, mut from: OwnedReadHalf, mut to: DuplexStream) {
    let mut broken = shared.broken.subscribe();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = tokio::select! {
            _ = broken.wait_for(|broken| *broken) => return,
            read = from.read(&mut chunk) => read,
        };
        let Ok(length) = read else { return shared.mark_broken() };
        if length == 0 {
            return;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

async fn copy_out(shared: Arc<ConnectionState>, mut from: DuplexStream, mut to: OwnedWriteHalf) {
    if copy_out_until_end(&shared, &mut from, &mut to).await.is_err() {
        shared.mark_broken();
        // Dropping the socket then resets the connection, which the peer sees as soon as the link is restored.
        let _ = socket2::SockRef::from(to.as_ref()).set_linger(Some(Duration::ZERO));
    }
}

/// Copies bytes to the socket until the process closes its side.
async fn copy_out_until_end(
    shared: &ConnectionState, from: &mut DuplexStream, to: &mut OwnedWriteHalf,
) -> io::Result<()> {
    let timed_out = || Err(io::ErrorKind::TimedOut.into());
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut unacknowledged: Option<Instant> = None;
    loop {
        if shared.is_reset() || *shared.broken.borrow() {
            return timed_out();
        }
        if !shared.is_inbound_blocked() {
            unacknowledged = None;
        } else if unacknowledged.is_some_and(|since| shared.has_timed_out(since)) {
            return timed_out();
        }
        let read = tokio::select! {
            read = from.read(&mut chunk) => read?,
            () = sleep(POLL_INTERVAL) => continue,
        };
        if read == 0 {
            // The task of the other direction ends when the peer closes the connection.
            return to.shutdown().await;
        }
        let blocked_since = Instant::now();
        while shared.is_outbound_blocked() {
            if shared.has_timed_out(blocked_since) || shared.is_reset() {
                return timed_out();
            }
            sleep(POLL_INTERVAL).await;
        }
        let delay = shared.rules.get(|rules| rules.link_delay_ms);
        if delay > 0 {
            sleep(Duration::from_millis(delay)).await;
        }
        to.write_all(&chunk[..read]).await?;
        unacknowledged.get_or_insert_with(Instant::now);
    }
}

/// The write half that the process uses.
struct Writer {
    inner: DuplexStream,
    shared: Arc<ConnectionState>,
}

impl SimulatedWriter for Writer {
    fn set_user_timeout(&mut self, time_out: Duration) {
        self.shared.user_timeout_ms.store(time_out.as_millis() as u64, Ordering::Relaxed);
    }
}

impl AsyncWrite for Writer {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
