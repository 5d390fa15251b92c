//! Abstraction of the machine: clocks, random numbers, sockets and disk of the operating system, or simulated ones.
//!
//! On a thread that has called [`simulate`], a process uses those of the given [`Host`]: the same code then runs in
//! virtual time, and equal seeds give equal runs.

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

/// Prefixes the message of an error with the address.
pub(crate) fn with_address(address: SocketAddr, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{address}: {error}"))
}
