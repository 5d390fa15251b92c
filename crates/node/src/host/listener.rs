//! Listening sockets, real or simulated.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;

use super::{SimulatedListener, Stream, simulated_host, with_address};

/// A listening socket.
#[derive(Debug)]
pub enum Listener {
    /// A socket of the operating system.
    Tcp(TcpListener),
    /// A socket of a simulated network.
    Simulated(Arc<dyn SimulatedListener>),
}

impl From<TcpListener> for Listener {
    fn from(listener: TcpListener) -> Self {
        Listener::Tcp(listener)
    }
}

impl Listener {
    /// Opens a socket.
    ///
    /// # Errors
    ///
    /// If the address is in use or not available.
    pub async fn bind(address: SocketAddr) -> io::Result<Listener> {
        let listener = match simulated_host() {
            None => TcpListener::bind(address).await.map(Listener::Tcp),
            Some(host) => host.listen(address).map(Listener::Simulated),
        };
        listener.map_err(|error| with_address(address, &error))
    }

    /// Accepts the next connection.
    ///
    /// # Errors
    ///
    /// If accepting fails, for instance because no file descriptor is available.
    pub async fn accept(&self) -> io::Result<Stream> {
        match self {
            Listener::Tcp(listener) => Ok(Stream::Tcp(listener.accept().await?.0)),
            Listener::Simulated(listener) => listener.accept().await.map(Stream::Simulated),
        }
    }
}
