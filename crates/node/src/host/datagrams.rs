//! Datagram sockets, real or simulated.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;

use super::{SimulatedDatagrams, simulated_host, with_address};

/// A datagram socket.
#[derive(Debug)]
pub enum Datagrams {
    /// A socket of the operating system.
    Udp(UdpSocket),
    /// A socket of a simulated network.
    Simulated(Arc<dyn SimulatedDatagrams>),
}

impl Datagrams {
    /// Opens a socket.
    ///
    /// # Errors
    ///
    /// If the address is in use or not available.
    pub async fn bind(address: SocketAddr) -> io::Result<Datagrams> {
        let socket = match simulated_host() {
            None => UdpSocket::bind(address).await.map(Datagrams::Udp),
            Some(host) => host.bind(address).map(Datagrams::Simulated),
        };
        socket.map_err(|error| with_address(address, &error))
    }

    /// Waits until there may be a datagram to receive.
    ///
    /// # Errors
    ///
    /// If the socket has failed.
    pub async fn readable(&self) -> io::Result<()> {
        match self {
            Datagrams::Udp(socket) => socket.readable().await,
            Datagrams::Simulated(socket) => socket.readable().await,
        }
    }

    /// Receives a datagram without waiting.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if there is none.
    pub fn try_recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        match self {
            Datagrams::Udp(socket) => socket.try_recv_from(buffer),
            Datagrams::Simulated(socket) => socket.try_recv_from(buffer),
        }
    }

    /// Sends a datagram without waiting.
    ///
    /// # Errors
    ///
    /// If it cannot be sent now.
    pub fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        match self {
            Datagrams::Udp(socket) => socket.try_send_to(bytes, to),
            Datagrams::Simulated(socket) => socket.try_send_to(bytes, to),
        }
    }
}
