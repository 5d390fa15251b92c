//! The simulated host: the clock, random numbers, sockets and disk that a process on a simulated machine uses.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_clock::Time;
use juniperwing_node::host::{Host, IoFuture, SimulatedDatagrams, SimulatedListener, SimulatedStream};
use juniperwing_node::sync::lock;
use juniperwing_random::Rng;
use juniperwing_storage::file_system::FileSystem;

use crate::clock::{MachineClock, SimulationTime};
use crate::disk::SimulatedDisk;
use crate::network::{ConnectOutcome, Network};
use crate::sockets::{DatagramSocket, SocketContext, SocketListener, sleep_until, stream};

/// The interval at which the first packet of a connection is resent.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The Unix time at the start of a simulation, in milliseconds.
const START_UNIX_TIME_MS: u64 = 1_700_000_000_000;

/// A simulated machine.
#[derive(Debug)]
pub struct SimulatedHost {
    /// The address of the machine.
    pub address: IpAddr,
    /// The clock of the machine.
    pub clock: Arc<MachineClock>,
    /// The disk of the machine.
    pub disk: Arc<SimulatedDisk>,
    context: SocketContext,
    rng: Mutex<Rng>,
}

impl SimulatedHost {
    /// Creates a machine with an empty disk. `seed` and `address` together select its random stream.
    pub fn new(
        address: IpAddr, network: Arc<Network>, simulation_time: SimulationTime, seed: u64,
    ) -> Arc<SimulatedHost> {
        let purpose = rng_purpose(address);
        let clock = Arc::new(MachineClock::new(simulation_time));
        let disk =
            SimulatedDisk::new(Arc::clone(&clock), Rng::for_purpose(seed, purpose.wrapping_add(1 << 32)));
        let context = SocketContext { network, clock: Arc::clone(&clock) };
        let rng = Mutex::new(Rng::for_purpose(seed, purpose));
        Arc::new(SimulatedHost { address, clock, disk: Arc::new(disk), context, rng })
    }

    /// Closes all sockets of a process that ends.
    pub fn close_sockets(&self) {
        self.context.network.close_sockets(self.clock.now(), self.address);
    }
}

/// The purpose of the random stream of a machine, derived from the group and the number at the end of its address.
fn rng_purpose(address: IpAddr) -> u64 {
    let (group, number) = match address {
        IpAddr::V4(address) => (address.octets()[2], address.octets()[3]),
        IpAddr::V6(address) => (address.octets()[14], address.octets()[15]),
    };
    u64::from(group) * 1_000 + u64::from(number) + 10_000
}

impl Host for SimulatedHost {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn unix_time_ms(&self) -> u64 {
        START_UNIX_TIME_MS + self.clock.now().since(Time::default()).as_millis()
    }

    fn random(&self) -> u64 {
        lock(&self.rng).next_u64()
    }

    fn listen(&self, address: SocketAddr) -> io::Result<Arc<dyn SimulatedListener>> {
        let accept_queue = self.context.network.listen(address)?;
        Ok(Arc::new(SocketListener { context: self.context.clone(), address, accept_queue }))
    }

    fn connect(&self, address: SocketAddr) -> IoFuture<'static, SimulatedStream> {
        let (context, from) = (self.context.clone(), self.address);
        Box::pin(async move {
            loop {
                match context.network.connect(context.clock.now(), from, address) {
                    ConnectOutcome::Established(at, connection) => {
                        let stream = stream(&context, connection);
                        sleep_until(&context.clock, at).await;
                        return Ok(stream);
                    }
                    ConnectOutcome::Refused(at) => {
                        sleep_until(&context.clock, at).await;
                        return Err(io::ErrorKind::ConnectionRefused.into());
                    }
                    ConnectOutcome::NoResponse => tokio::time::sleep(CONNECT_RETRY_INTERVAL).await,
                }
            }
        })
    }

    fn bind(&self, address: SocketAddr) -> io::Result<Arc<dyn SimulatedDatagrams>> {
        let datagram_queue = self.context.network.bind(address)?;
        Ok(Arc::new(DatagramSocket { context: self.context.clone(), address, datagram_queue }))
    }

    fn disk(&self) -> Arc<dyn FileSystem> {
        Arc::<SimulatedDisk>::clone(&self.disk)
    }

    fn take_disk_time(&self) -> Duration {
        self.disk.take_elapsed()
    }
}
