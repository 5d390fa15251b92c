//! Clocks, random numbers, sockets and disk of a process: those of the operating system, or simulated ones.
//!
//! On a thread for which [`simulate`] was called, a process uses those of the given [`Host`]: the same code then runs in
//! virtual time, and the same seed gives the same run.

mod datagrams;
mod disk;
mod listener;
mod simulation;
mod stream;

use std::io;
use std::net::SocketAddr;

pub use self::datagrams::Datagrams;
pub(crate) use self::disk::{run_disk_work, run_disk_write};
pub use self::listener::Listener;
pub(crate) use self::simulation::simulated_host;
pub use self::simulation::{
    Host, IoFuture, SimulatedDatagrams, SimulatedListener, SimulatedStream, SimulatedWriter, SimulationGuard,
    simulate,
};
pub use self::stream::{ReadHalf, Stream, WriteHalf};

/// Adds the address to the message of an error.
pub(crate) fn with_address(address: SocketAddr, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{address}: {error}"))
}
