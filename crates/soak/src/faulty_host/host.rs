//! The host that a role runs on.

use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use juniperwing_clock::Time;
use juniperwing_node::host::{Host, IoFuture, SimulatedDatagrams, SimulatedListener, SimulatedStream};
use juniperwing_storage::file_system::FileSystem;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};

use super::disk::FaultyDisk;
use super::link::{apply_rules, wait_until_reachable};
use super::rules::LiveFaultRules;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// A host on the real operating system whose links, clock and disk follow fault rules.
#[derive(Debug)]
pub struct FaultyHost {
    address: IpAddr,
    rules: LiveFaultRules,
    disk: Arc<FaultyDisk>,
    started_at: Instant,
    draw_count: AtomicU64,
    rng: RandomState,
}

impl FaultyHost {
    /// The host with an address.
    pub fn new(address: IpAddr, rules: LiveFaultRules) -> FaultyHost {
        let disk = Arc::new(FaultyDisk::new(rules.clone()));
        let (draw_count, rng) = (AtomicU64::new(0), RandomState::new());
        FaultyHost { address, rules, disk, started_at: Instant::now(), draw_count, rng }
    }
}

impl Host for FaultyHost {
    fn now(&self) -> Time {
        Time::from_nanos(1 + self.started_at.elapsed().as_nanos() as u64)
    }

    fn unix_time_ms(&self) -> u64 {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let offset = self.rules.get(|rules| rules.clock_offset_ms);
        (elapsed.as_millis() as u64).saturating_add_signed(offset)
    }

    fn random(&self) -> u64 {
        self.rng.hash_one(self.draw_count.fetch_add(1, Ordering::Relaxed))
    }

    fn listen(&self, address: SocketAddr) -> io::Result<Arc<dyn SimulatedListener>> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG as u32)?;
        Ok(Arc::new(Listener { listener, rules: self.rules.clone() }))
    }

    fn connect(&self, address: SocketAddr) -> IoFuture<'static, SimulatedStream> {
        let (rules, from) = (self.rules.clone(), SocketAddr::new(self.address, 0));
        Box::pin(async move {
            wait_until_reachable(&rules, address).await;
            let socket = TcpSocket::new_v4()?;
            // The peer selects the rules of this link by the source address.
            socket.bind(from)?;
            apply_rules(socket.connect(address).await?, &rules)
        })
    }

    fn bind(&self, address: SocketAddr) -> io::Result<Arc<dyn SimulatedDatagrams>> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        Ok(Arc::new(Datagrams { socket, rules: self.rules.clone() }))
    }

    fn disk(&self) -> Arc<dyn FileSystem> {
        Arc::<FaultyDisk>::clone(&self.disk)
    }

    fn take_disk_time(&self) -> Duration {
        Duration::ZERO
    }

    fn uses_disk_thread(&self) -> bool {
        true
    }
}

#[derive(Debug)]
struct Listener {
    listener: TcpListener,
    rules: LiveFaultRules,
}

impl SimulatedListener for Listener {
    fn accept(&self) -> IoFuture<'_, SimulatedStream> {
        Box::pin(async {
            let (stream, _) = self.listener.accept().await?;
            apply_rules(stream, &self.rules)
        })
    }
}

#[derive(Debug)]
struct Datagrams {
    socket: UdpSocket,
    rules: LiveFaultRules,
}

impl SimulatedDatagrams for Datagrams {
    fn readable(&self) -> IoFuture<'_, ()> {
        Box::pin(self.socket.readable())
    }

    fn try_recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.try_recv_from(buffer)
    }

    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        if self.rules.get(|rules| rules.blocked_destinations.contains(&to.ip())) {
            return Ok(bytes.len());
        }
        self.socket.try_send_to(bytes, to)
    }
}
