//! Sockets that accept connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;

use super::{SimulatedListener, Stream, simulated_host, with_address};

/// A socket that accepts connections.
#[derive(Debug)]
pub enum Listener {
    /// Of the operating system.
    Tcp(TcpListener),
    /// Of a simulated network.
    Simulated(Arc<dyn SimulatedListener>),
}

impl From<TcpListener> for Listener {
    fn from(listener: TcpListener) -> Self {
        Listener::Tcp(listener)
    }
}

impl Listener {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// If the address cannot be used.
    pub async fn bind(address: SocketAddr) -> io::Result<Listener> {
        let listener = match simulated_host() {
            None => TcpListener::bind(address).await.map(Listener::Tcp),
            Some(host) => host.listen(address).map(Listener::Simulated),
        };
        listener.map_err(|error| with_address(address, &error))
    }

    /// The next connection.
    ///
    /// # Errors
    ///
    /// If there is none by a failure, for instance since no descriptor is free.
    pub async fn accept(&self) -> io::Result<Stream> {
        match self {
            Listener::Tcp(listener) => Ok(Stream::Tcp(listener.accept().await?.0)),
            Listener::Simulated(listener) => listener.accept().await.map(Stream::Simulated),
        }
    }
}
