//! Streams, listening sockets and datagram sockets of a simulated machine, over the [`Network`].

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use juniperwing_clock::Time;
use juniperwing_node::host::{
    IoFuture, SimulatedDatagrams, SimulatedListener, SimulatedStream, SimulatedWriter,
};
use juniperwing_node::sync::lock;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use crate::clock::MachineClock;
use crate::network::{AcceptQueue, Connection, Datagram, DatagramQueue, Network, PipeId, ReadOutcome};

/// The network and the clock of the machine that a socket belongs to.
#[derive(Clone, Debug)]
pub(crate) struct SocketContext {
    pub(crate) network: Arc<Network>,
    pub(crate) clock: Arc<MachineClock>,
}

/// The reading half of a stream.
struct Reader {
    context: SocketContext,
    pipe: PipeId,
    /// Wakes the reading task when the next segment arrives or the connection times out.
    read_timer: Option<Pin<Box<Sleep>>>,
}

/// The writing half of a stream.
struct Writer {
    context: SocketContext,
    pipe: PipeId,
}

/// Creates the stream of one end of an established connection.
pub(crate) fn stream(context: &SocketContext, connection: Connection) -> SimulatedStream {
    let reader = Reader { context: context.clone(), pipe: connection.incoming, read_timer: None };
    let writer = Writer { context: context.clone(), pipe: connection.outgoing };
    SimulatedStream { peer: connection.peer, reader: Box::new(reader), writer: Box::new(writer) }
}

/// Waits until the machine's clock shows `time`.
pub(crate) async fn sleep_until(clock: &MachineClock, time: Time) {
    tokio::time::sleep(clock.until(time)).await;
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let now = self.context.clock.now();
            let unfilled = buffer.initialize_unfilled();
            match self.context.network.receive(now, self.pipe, unfilled, context.waker()) {
                ReadOutcome::Bytes(count) => {
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
                ReadOutcome::End => return Poll::Ready(Ok(())),
                ReadOutcome::Broken(kind) => return Poll::Ready(Err(kind.into())),
                ReadOutcome::Wait(Time::NEVER) => return Poll::Pending,
                ReadOutcome::Wait(time) => {
                    let mut read_timer = Box::pin(tokio::time::sleep(self.context.clock.until(time)));
                    if read_timer.as_mut().poll(context).is_pending() {
                        self.read_timer = Some(read_timer);
                        return Poll::Pending;
                    }
                }
            }
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.context.network.drop_reader(self.context.clock.now(), self.pipe);
    }
}

impl AsyncWrite for Writer {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if bytes.is_empty() {
            return Poll::Ready(Ok(0));
        }
        let now = self.context.clock.now();
        match self.context.network.send(now, self.pipe, bytes, context.waker()) {
            Ok(Some(count)) => Poll::Ready(Ok(count)),
            Ok(None) => Poll::Pending,
            Err(error) => Poll::Ready(Err(error)),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.context.network.close_write(self.context.clock.now(), self.pipe);
        Poll::Ready(Ok(()))
    }
}

impl SimulatedWriter for Writer {
    fn set_user_timeout(&mut self, timeout: Duration) {
        self.context.network.set_user_timeout(self.pipe, timeout);
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.context.network.drop_writer(self.context.clock.now(), self.pipe);
    }
}

/// A listening socket.
pub(crate) struct SocketListener {
    pub(crate) context: SocketContext,
    pub(crate) address: SocketAddr,
    pub(crate) accept_queue: Arc<AcceptQueue>,
}

impl fmt::Debug for SocketListener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "listener at {}", self.address)
    }
}

/// The first connection in the queue of a listening socket, if any.
enum PendingConnection {
    Ready(Connection),
    ArrivesAt(Time),
    None,
}

impl SocketListener {
    fn pop_connection(&self) -> PendingConnection {
        let mut queue = lock(&self.accept_queue.queue);
        match queue.front() {
            Some((at, _)) if *at > self.context.clock.now() => PendingConnection::ArrivesAt(*at),
            _ => queue
                .pop_front()
                .map_or(PendingConnection::None, |(_, connection)| PendingConnection::Ready(connection)),
        }
    }
}

impl SimulatedListener for SocketListener {
    fn accept(&self) -> IoFuture<'_, SimulatedStream> {
        Box::pin(async move {
            loop {
                let arrivals = self.accept_queue.arrivals.notified();
                match self.pop_connection() {
                    PendingConnection::Ready(connection) => return Ok(stream(&self.context, connection)),
                    PendingConnection::None => arrivals.await,
                    PendingConnection::ArrivesAt(at) => tokio::select! {
                        biased;
                        () = sleep_until(&self.context.clock, at) => {}
                        () = arrivals => {}
                    },
                }
            }
        })
    }
}

impl Drop for SocketListener {
    fn drop(&mut self) {
        for connection in self.context.network.stop_listening(self.address) {
            drop(stream(&self.context, connection));
        }
    }
}

/// A datagram socket.
pub(crate) struct DatagramSocket {
    pub(crate) context: SocketContext,
    pub(crate) address: SocketAddr,
    pub(crate) datagram_queue: Arc<DatagramQueue>,
}

impl fmt::Debug for DatagramSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "datagrams at {}", self.address)
    }
}

impl DatagramSocket {
    fn next_arrival(&self) -> Option<Time> {
        let queue = lock(&self.datagram_queue.queue);
        queue.front().map(|datagram| datagram.arrival)
    }
}

impl SimulatedDatagrams for DatagramSocket {
    fn readable(&self) -> IoFuture<'_, ()> {
        Box::pin(async move {
            loop {
                let arrivals = self.datagram_queue.arrivals.notified();
                match self.next_arrival() {
                    Some(at) if at <= self.context.clock.now() => return Ok(()),
                    None => arrivals.await,
                    Some(at) => tokio::select! {
                        biased;
                        () = sleep_until(&self.context.clock, at) => {}
                        () = arrivals => {}
                    },
                }
            }
        })
    }

    fn try_recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let mut queue = lock(&self.datagram_queue.queue);
        let now = self.context.clock.now();
        if queue.front().is_none_or(|datagram| datagram.arrival > now) {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let Some(Datagram { bytes, from, .. }) = queue.pop_front() else {
            return Err(io::ErrorKind::WouldBlock.into());
        };
        let length = bytes.len().min(buffer.len());
        buffer[..length].copy_from_slice(&bytes[..length]);
        Ok((length, from))
    }

    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        self.context.network.send_datagram(self.context.clock.now(), self.address, to, bytes);
        Ok(bytes.len())
    }
}

impl Drop for DatagramSocket {
    fn drop(&mut self) {
        self.context.network.unbind(self.address);
    }
}
