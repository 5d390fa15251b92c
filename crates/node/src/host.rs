//! The machine that a process runs on: its clocks, its randomness, its sockets and its disk.
//!
//! A process uses those of the operating system. On a thread that has entered a simulated [`Host`] it uses that
//! one's instead: the same code then runs in virtual time, and the same seed gives the same run.

mod datagrams;
mod listener;
mod stream;

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
use slog::{Logger, warn};
use tokio::task::JoinError;
use tokio::time::Instant;

pub use self::datagrams::Datagrams;
pub use self::listener::Listener;
pub use self::stream::{ReadHalf, Stream, WriteHalf};

/// A write to the disk that takes longer is told in the log.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(300);

/// What a simulated call will come to.
pub type IoFuture<'call, T> = Pin<Box<dyn Future<Output = io::Result<T>> + Send + 'call>>;

/// A simulated machine.
pub trait Host: Debug + Send + Sync {
    /// Now on the steady clock.
    fn now(&self) -> Time;

    /// The time of day in milliseconds since 1970.
    fn unix_time_ms(&self) -> u64;

    /// The next number of the machine's own sequence.
    fn random(&self) -> u64;

    /// Opens a socket for connections.
    ///
    /// # Errors
    ///
    /// If the address is in use.
    fn listen(&self, address: SocketAddr) -> io::Result<Arc<dyn SimulatedListener>>;

    /// Opens a connection.
    fn connect(&self, address: SocketAddr) -> IoFuture<'static, SimulatedStream>;

    /// Opens a socket for datagrams.
    ///
    /// # Errors
    ///
    /// If the address is in use.
    fn bind(&self, address: SocketAddr) -> io::Result<Arc<dyn SimulatedDatagrams>>;

    /// Its disk.
    fn disk(&self) -> Arc<dyn FileSystem>;

    /// How long the calls to the disk took that were made since this was last asked.
    fn take_disk_time(&self) -> Duration;

    /// Whether calls to the disk take their time by themselves, and so are made on a thread of their own.
    fn uses_disk_thread(&self) -> bool {
        false
    }
}

/// A simulated socket that accepts connections.
pub trait SimulatedListener: Debug + Send + Sync {
    /// The next connection.
    fn accept(&self) -> IoFuture<'_, SimulatedStream>;
}

/// A simulated socket for datagrams.
pub trait SimulatedDatagrams: Debug + Send + Sync {
    /// Returns when there is a datagram to receive.
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
    /// The other end.
    pub peer: SocketAddr,
    /// Where bytes come from.
    pub reader: Box<dyn tokio::io::AsyncRead + Send + Unpin>,
    /// Where bytes go.
    pub writer: Box<dyn SimulatedWriter>,
}

/// The writing half of a simulated connection.
pub trait SimulatedWriter: tokio::io::AsyncWrite + Send + Unpin {
    /// The connection breaks when bytes stay unacknowledged for this long.
    fn set_user_timeout(&mut self, time_out: Duration);
}

thread_local! {
    static SIMULATED: RefCell<Option<Arc<dyn Host>>> = const { RefCell::new(None) };
}

/// As long as it lives, this thread is a simulated machine; it is used by simulations only.
#[derive(Debug)]
pub struct SimulationGuard {
    before: Option<Arc<dyn Host>>,
    _disk: juniperwing_storage::file_system::SimulationGuard,
}

/// Makes this thread a simulated machine until the guard is dropped.
#[must_use]
pub fn simulate(host: Arc<dyn Host>) -> SimulationGuard {
    let disk = juniperwing_storage::file_system::simulate(host.disk());
    SimulationGuard { before: SIMULATED.replace(Some(host)), _disk: disk }
}

impl Drop for SimulationGuard {
    fn drop(&mut self) {
        SIMULATED.set(self.before.take());
    }
}

/// The simulated machine that this thread is, if it is one.
pub(crate) fn simulated_host() -> Option<Arc<dyn Host>> {
    SIMULATED.with_borrow(Clone::clone)
}

/// An error with the address at which it came up.
pub(crate) fn with_address(address: SocketAddr, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{address}: {error}"))
}

/// Writes to the disk without holding up the process, and tells the log of writes that take long: whoever waits for
/// one may have given up.
///
/// # Errors
///
/// If the work panicked.
pub(crate) async fn run_disk_write<T: Send + 'static>(
    log: &Logger, work: impl FnOnce() -> T + Send + 'static,
) -> Result<T, JoinError> {
    let began = Instant::now();
    let done = run_disk_work(work).await;
    let took = began.elapsed();
    if took >= SLOW_WRITE_THRESHOLD {
        warn!(log, "the disk is slow"; "took_ms" => took.as_millis() as u64);
    }
    done
}

/// Does work that waits for the disk without holding up the process.
///
/// # Errors
///
/// If the work panicked.
pub(crate) async fn run_disk_work<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> Result<T, JoinError> {
    let Some(host) = simulated_host() else { return tokio::task::spawn_blocking(work).await };
    if host.uses_disk_thread() {
        let disk = host.disk();
        let on_that_disk = move || {
            let _entered = juniperwing_storage::file_system::simulate(disk);
            work()
        };
        return tokio::task::spawn_blocking(on_that_disk).await;
    }
    let done = work();
    tokio::time::sleep(host.take_disk_time()).await;
    Ok(done)
}
