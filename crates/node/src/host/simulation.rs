//! Simulated machines: the interface that a simulation implements, and the guard that assigns one to a thread.

use std::cell::RefCell;
use std::fmt::Debug;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use juniperwing_clock::Time;
use juniperwing_storage::file_system::FileSystem;

/// The future of a simulated asynchronous call.
pub type IoFuture<'call, T> = Pin<Box<dyn Future<Output = io::Result<T>> + Send + 'call>>;

/// A simulated machine.
pub trait Host: Debug + Send + Sync {
    /// The monotonic time.
    fn now(&self) -> Time;

    /// Wall-clock time in milliseconds since the Unix epoch.
    fn unix_time_ms(&self) -> u64;

    /// The next random number of the machine.
    fn random(&self) -> u64;

    /// Opens a listening socket.
    ///
    /// # Errors
    ///
    /// If the address is in use.
    fn listen(&self, address: SocketAddr) -> io::Result<Arc<dyn SimulatedListener>>;

    /// Opens a connection.
    fn connect(&self, address: SocketAddr) -> IoFuture<'static, SimulatedStream>;

    /// Opens a datagram socket.
    ///
    /// # Errors
    ///
    /// If the address is in use.
    fn bind(&self, address: SocketAddr) -> io::Result<Arc<dyn SimulatedDatagrams>>;

    /// The file system of the machine.
    fn disk(&self) -> Arc<dyn FileSystem>;

    /// Returns the virtual time that disk calls have taken since the previous call of this method.
    fn take_disk_time(&self) -> Duration;

    /// Whether disk calls block in real time, so that they must be made on a separate thread.
    fn uses_disk_thread(&self) -> bool {
        false
    }
}

/// A simulated listening socket.
pub trait SimulatedListener: Debug + Send + Sync {
    /// Accepts the next connection.
    fn accept(&self) -> IoFuture<'_, SimulatedStream>;
}

/// A simulated datagram socket.
pub trait SimulatedDatagrams: Debug + Send + Sync {
    /// Waits until there is a datagram to receive.
    fn readable(&self) -> IoFuture<'_, ()>;

    /// See [`tokio::net::UdpSocket::try_recv_from`].
    ///
    /// # Errors
    ///
    /// `WouldBlock` if there is none.
    fn try_recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)>;

    /// See [`tokio::net::UdpSocket::try_send_to`].
    ///
    /// # Errors
    ///
    /// If it cannot be sent.
    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize>;
}

/// One end of a simulated connection.
pub struct SimulatedStream {
    /// The address of the peer.
    pub peer: SocketAddr,
    /// The reading half.
    pub reader: Box<dyn tokio::io::AsyncRead + Send + Unpin>,
    /// The writing half.
    pub writer: Box<dyn SimulatedWriter>,
}

/// The writing half of a simulated connection.
pub trait SimulatedWriter: tokio::io::AsyncWrite + Send + Unpin {
    /// Sets how long sent bytes may stay unacknowledged before the connection is closed.
    fn set_user_timeout(&mut self, user_timeout: Duration);
}

thread_local! {
    static SIMULATED: RefCell<Option<Arc<dyn Host>>> = const { RefCell::new(None) };
}

/// Guard of [`simulate`]: the current thread uses the simulated machine until it is dropped.
#[derive(Debug)]
pub struct SimulationGuard {
    previous: Option<Arc<dyn Host>>,
    _file_system: juniperwing_storage::file_system::SimulationGuard,
}

/// Directs the current thread to a simulated machine until the returned guard is dropped. For simulations only.
#[must_use]
pub fn simulate(host: Arc<dyn Host>) -> SimulationGuard {
    let file_system = juniperwing_storage::file_system::simulate(host.disk());
    SimulationGuard { previous: SIMULATED.replace(Some(host)), _file_system: file_system }
}

impl Drop for SimulationGuard {
    fn drop(&mut self) {
        SIMULATED.set(self.previous.take());
    }
}

/// The simulated machine of the current thread, if there is one.
pub(crate) fn simulated_host() -> Option<Arc<dyn Host>> {
    SIMULATED.with_borrow(Clone::clone)
}
