//! Loopback addresses for the processes of one test, so that concurrent tests, in the same or in another test process,
//! do not share a port.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU8, Ordering};

/// A network of loopback addresses, unique within this process.
pub struct LoopbackNetwork {
    process: u8,
    number: u8,
}

impl LoopbackNetwork {
    /// The next unused network of this process.
    pub fn reserve() -> Self {
        static NETWORKS: AtomicU8 = AtomicU8::new(1);
        let process = (std::process::id() % 200) as u8 + 20;
        LoopbackNetwork { process, number: NETWORKS.fetch_add(1, Ordering::Relaxed) }
    }

    /// The number of the network within this process.
    pub fn number(&self) -> u8 {
        self.number
    }

    /// The address of a machine.
    pub fn address(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.process, self.number, machine)
    }
}
