//! Connections, real or simulated.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};

use super::{SimulatedStream, SimulatedWriter, simulated_host};

/// A TCP connection.
pub enum Stream {
    /// A connection of the operating system.
    Tcp(TcpStream),
    /// A connection of a simulated network.
    Simulated(SimulatedStream),
}

/// The reading half of a connection.
pub enum ReadHalf {
    /// A connection of the operating system.
    Tcp(OwnedReadHalf),
    /// A connection of a simulated network.
    Simulated(Box<dyn AsyncRead + Send + Unpin>),
}

/// The writing half of a connection.
pub enum WriteHalf {
    /// A connection of the operating system.
    Tcp(OwnedWriteHalf),
    /// A connection of a simulated network.
    Simulated(Box<dyn SimulatedWriter>),
}

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Self {
        Stream::Tcp(stream)
    }
}

impl Stream {
    /// Opens a connection that is closed when sent bytes remain unacknowledged for `user_timeout`.
    ///
    /// # Errors
    ///
    /// If the connection cannot be established.
    pub async fn connect(address: SocketAddr, user_timeout: Duration) -> io::Result<Stream> {
        if let Some(host) = simulated_host() {
            let mut stream = host.connect(address).await?;
            stream.writer.set_user_timeout(user_timeout);
            return Ok(Stream::Simulated(stream));
        }
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(user_timeout))?;
        Ok(Stream::Tcp(socket.connect(address).await?))
    }

    /// The address of the peer.
    ///
    /// # Errors
    ///
    /// If the connection is closed.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        match self {
            Stream::Tcp(stream) => stream.peer_addr(),
            Stream::Simulated(stream) => Ok(stream.peer),
        }
    }

    /// Disables the delay of small writes (Nagle's algorithm), and sets how long sent bytes may remain unacknowledged
    /// before the connection is closed.
    ///
    /// # Errors
    ///
    /// If the connection is closed.
    pub fn configure(&mut self, user_timeout: Duration) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => {
                stream.set_nodelay(true)?;
                socket2::SockRef::from(&*stream).set_tcp_user_timeout(Some(user_timeout))
            }
            Stream::Simulated(stream) => {
                stream.writer.set_user_timeout(user_timeout);
                Ok(())
            }
        }
    }

    /// Splits the connection into its halves.
    pub fn into_split(self) -> (ReadHalf, WriteHalf) {
        match self {
            Stream::Tcp(stream) => {
                let (reader, writer) = stream.into_split();
                (ReadHalf::Tcp(reader), WriteHalf::Tcp(writer))
            }
            Stream::Simulated(stream) => {
                (ReadHalf::Simulated(stream.reader), WriteHalf::Simulated(stream.writer))
            }
        }
    }

    fn reader(&mut self) -> &mut (dyn AsyncRead + Unpin) {
        match self {
            Stream::Tcp(stream) => stream,
            Stream::Simulated(stream) => &mut *stream.reader,
        }
    }

    fn writer(&mut self) -> &mut (dyn AsyncWrite + Unpin) {
        match self {
            Stream::Tcp(stream) => stream,
            Stream::Simulated(stream) => &mut *stream.writer,
        }
    }
}

impl ReadHalf {
    fn inner(&mut self) -> &mut (dyn AsyncRead + Unpin) {
        match self {
            ReadHalf::Tcp(reader) => reader,
            ReadHalf::Simulated(reader) => &mut **reader,
        }
    }
}

impl WriteHalf {
    fn inner(&mut self) -> &mut (dyn AsyncWrite + Unpin) {
        match self {
            WriteHalf::Tcp(writer) => writer,
            WriteHalf::Simulated(writer) => &mut **writer,
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(self.reader()).poll_read(context, buffer)
    }
}

impl AsyncRead for ReadHalf {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(self.inner()).poll_read(context, buffer)
    }
}

/// Implements `AsyncWrite` by delegation to the writer that `$inner` returns.
macro_rules! delegate_async_write {
    ($kind:ty, $inner:ident) => {
        impl AsyncWrite for $kind {
            fn poll_write(
                mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
            ) -> Poll<io::Result<usize>> {
                Pin::new(self.$inner()).poll_write(context, bytes)
            }

            fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
                Pin::new(self.$inner()).poll_flush(context)
            }

            fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
                Pin::new(self.$inner()).poll_shutdown(context)
            }

            fn poll_write_vectored(
                mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[io::IoSlice<'_>],
            ) -> Poll<io::Result<usize>> {
                Pin::new(self.$inner()).poll_write_vectored(context, bytes)
            }

            fn is_write_vectored(&self) -> bool {
                matches!(self, Self::Tcp(_))
            }
        }
    };
}

delegate_async_write!(Stream, writer);
delegate_async_write!(WriteHalf, inner);
