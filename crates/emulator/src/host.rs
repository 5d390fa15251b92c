//! A simulated machine as the processes on it see it.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_clock::Time;
use juniperwing_node::host::{Host, IoFuture, SimulatedDatagrams, SimulatedListener, SimulatedStream};
use juniperwing_node::sync::lock;
use juniperwing_storage::file_system::FileSystem;

use crate::clock::{MachineClock, WorldTime};
use crate::disk::SimulatedDisk;
use crate::network::{Network, Opened};
use crate::stream::{Datagrams, Listener, Ports, sleep_until, stream};
use juniperwing_random::Rng;

/// When the opening packet of a connection is sent again.
const OPEN_AGAIN: Duration = Duration::from_secs(1);
/// The time of day at the beginning of a simulation, in milliseconds.
const DAYBREAK_MS: u64 = 1_700_000_000_000;

/// A simulated machine.
#[derive(Debug)]
pub struct SimulatedHost {
    /// Its address.
    pub address: IpAddr,
    /// Its clock.
    pub clock: Arc<MachineClock>,
    /// Its disk.
    pub disk: Arc<SimulatedDisk>,
    ports: Ports,
    rng: Mutex<Rng>,
}

impl SimulatedHost {
    /// A machine with an empty disk. `purpose` tells its random numbers from those of others.
    pub fn new(
        address: IpAddr, network: Arc<Network>, world: WorldTime, seed: u64, purpose: u64,
    ) -> Arc<SimulatedHost> {
        let clock = Arc::new(MachineClock::new(world));
        let disk =
            SimulatedDisk::new(Arc::clone(&clock), Rng::for_purpose(seed, purpose.wrapping_add(1 << 32)));
        let ports = Ports { network, clock: Arc::clone(&clock) };
        let rng = Mutex::new(Rng::for_purpose(seed, purpose));
        Arc::new(SimulatedHost { address, clock, disk: Arc::new(disk), ports, rng })
    }
}

impl Host for SimulatedHost {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn unix_time_ms(&self) -> u64 {
        DAYBREAK_MS + self.clock.now().since(Time::default()).as_nanos() / 1_000_000
    }

    fn random(&self) -> u64 {
        lock(&self.rng).next_u64()
    }

    fn listen(&self, address: SocketAddr) -> io::Result<Arc<dyn SimulatedListener>> {
        let accepting = self.ports.network.listen(address)?;
        Ok(Arc::new(Listener { ports: self.ports.clone(), address, accepting }))
    }

    fn connect(&self, address: SocketAddr) -> IoFuture<'static, SimulatedStream> {
        let (ports, from) = (self.ports.clone(), self.address);
        Box::pin(async move {
            loop {
                match ports.network.open(ports.clock.now(), from, address) {
                    Opened::Up(at, connection) => {
                        let stream = stream(&ports, connection);
                        sleep_until(&ports.clock, at).await;
                        return Ok(stream);
                    }
                    Opened::Refused(at) => {
                        sleep_until(&ports.clock, at).await;
                        return Err(io::ErrorKind::ConnectionRefused.into());
                    }
                    Opened::Silent => tokio::time::sleep(OPEN_AGAIN).await,
                }
            }
        })
    }

    fn bind(&self, address: SocketAddr) -> io::Result<Arc<dyn SimulatedDatagrams>> {
        let mailbox = self.ports.network.bind(address)?;
        Ok(Arc::new(Datagrams { ports: self.ports.clone(), address, mailbox }))
    }

    fn disk(&self) -> Arc<dyn FileSystem> {
        Arc::<SimulatedDisk>::clone(&self.disk)
    }

    fn take_disk_time(&self) -> Duration {
        self.disk.take_time()
    }
}
