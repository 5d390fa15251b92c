//! Connections, listeners and datagram sockets of a simulated machine, over the [`Network`].

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
use crate::network::{Accepting, Connection, Mailbox, Network, PipeId, Received};

/// What the sockets of a machine need.
#[derive(Clone, Debug)]
pub(crate) struct Ports {
    pub(crate) network: Arc<Network>,
    pub(crate) clock: Arc<MachineClock>,
}

struct Reader {
    ports: Ports,
    pipe: PipeId,
    wake: Option<Pin<Box<Sleep>>>,
}

struct Writer {
    ports: Ports,
    pipe: PipeId,
}

/// One end of a connection that has come up.
pub(crate) fn stream(ports: &Ports, connection: Connection) -> SimulatedStream {
    let reader = Reader { ports: ports.clone(), pipe: connection.incoming, wake: None };
    let writer = Writer { ports: ports.clone(), pipe: connection.outgoing };
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
            let now = self.ports.clock.now();
            let room = buffer.initialize_unfilled();
            match self.ports.network.receive(now, self.pipe, room, context.waker()) {
                Received::Bytes(count) => {
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Received::End => return Poll::Ready(Ok(())),
                Received::Broken(kind) => return Poll::Ready(Err(kind.into())),
                Received::Wait(Time::NEVER) => return Poll::Pending,
                Received::Wait(time) => {
                    let mut wake = Box::pin(tokio::time::sleep(self.ports.clock.until(time)));
                    if wake.as_mut().poll(context).is_pending() {
                        self.wake = Some(wake);
                        return Poll::Pending;
                    }
                }
            }
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.ports.network.drop_reader(self.ports.clock.now(), self.pipe);
    }
}

impl AsyncWrite for Writer {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if bytes.is_empty() {
            return Poll::Ready(Ok(0));
        }
        let now = self.ports.clock.now();
        match self.ports.network.send(now, self.pipe, bytes, context.waker()) {
            Ok(Some(count)) => Poll::Ready(Ok(count)),
            Ok(None) => Poll::Pending,
            Err(error) => Poll::Ready(Err(error)),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.ports.network.end(self.ports.clock.now(), self.pipe);
        Poll::Ready(Ok(()))
    }
}

impl SimulatedWriter for Writer {
    fn set_user_timeout(&mut self, time_out: Duration) {
        self.ports.network.set_user_timeout(self.pipe, time_out);
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.ports.network.drop_writer(self.ports.clock.now(), self.pipe);
    }
}

/// A listener.
pub(crate) struct Listener {
    pub(crate) ports: Ports,
    pub(crate) address: SocketAddr,
    pub(crate) accepting: Arc<Accepting>,
}

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "listener at {}", self.address)
    }
}

impl Listener {
    fn next(&self) -> Result<Connection, Option<Time>> {
        let mut queue = lock(&self.accepting.queue);
        match queue.front() {
            Some((at, _)) if *at > self.ports.clock.now() => Err(Some(*at)),
            Some(_) => queue.pop_front().map(|(_, connection)| connection).ok_or(None),
            None => Err(None),
        }
    }
}

impl SimulatedListener for Listener {
    fn accept(&self) -> IoFuture<'_, SimulatedStream> {
        Box::pin(async move {
            loop {
                let news = self.accepting.news.notified();
                match self.next() {
                    Ok(connection) => return Ok(stream(&self.ports, connection)),
                    Err(None) => news.await,
                    Err(Some(at)) => tokio::select! {
                        biased;
                        () = sleep_until(&self.ports.clock, at) => {}
                        () = news => {}
                    },
                }
            }
        })
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        for connection in self.ports.network.stop_listening(self.address) {
            drop(stream(&self.ports, connection));
        }
    }
}

/// A socket for datagrams.
pub(crate) struct Datagrams {
    pub(crate) ports: Ports,
    pub(crate) address: SocketAddr,
    pub(crate) mailbox: Arc<Mailbox>,
}

impl fmt::Debug for Datagrams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "datagrams at {}", self.address)
    }
}

impl Datagrams {
    fn next_arrival(&self) -> Option<Time> {
        let queue = lock(&self.mailbox.queue);
        queue.front().map(|(at, _, _)| *at)
    }
}

impl SimulatedDatagrams for Datagrams {
    fn readable(&self) -> IoFuture<'_, ()> {
        Box::pin(async move {
            loop {
                let news = self.mailbox.news.notified();
                match self.next_arrival() {
                    Some(at) if at <= self.ports.clock.now() => return Ok(()),
                    None => news.await,
                    Some(at) => tokio::select! {
                        biased;
                        () = sleep_until(&self.ports.clock, at) => {}
                        () = news => {}
                    },
                }
            }
        })
    }

    fn try_recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let mut queue = lock(&self.mailbox.queue);
        let now = self.ports.clock.now();
        if queue.front().is_none_or(|(at, _, _)| *at > now) {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let Some((_, bytes, from)) = queue.pop_front() else { return Err(io::ErrorKind::WouldBlock.into()) };
        let length = bytes.len().min(buffer.len());
        buffer[..length].copy_from_slice(&bytes[..length]);
        Ok((length, from))
    }

    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        self.ports.network.send_datagram(self.ports.clock.now(), self.address, to, bytes);
        Ok(bytes.len())
    }
}

impl Drop for Datagrams {
    fn drop(&mut self) {
        self.ports.network.unbind(self.address);
    }
}
