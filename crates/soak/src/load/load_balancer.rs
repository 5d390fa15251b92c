//! The load balancer in front of the relays: it probes which of them are ready.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use juniperwing_node::role::Role;
use tokio::time::{Instant, sleep, sleep_until};

use crate::http::{encode_request, exchange};
use crate::network::{FRONTEND_PORT, Network, READINESS_PORT};
use crate::schedule::RELAY_COUNT;
use juniperwing_random::Rng;

/// Interval between two readiness probes of a relay.
const READINESS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a readiness probe.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of consecutive failed probes after which a relay is considered not ready.
const UNREADY_THRESHOLD: u32 = 2;

/// Readiness of all relays, as the probes observed it.
#[derive(Debug)]
pub struct LoadBalancer {
    network: Network,
    is_ready: Vec<AtomicBool>,
}

impl LoadBalancer {
    /// A load balancer that considers no relay ready yet.
    pub fn new(network: Network) -> LoadBalancer {
        LoadBalancer { network, is_ready: (0..RELAY_COUNT).map(|_| AtomicBool::new(false)).collect() }
    }

    /// Probes the readiness of one relay until the task is aborted.
    pub async fn watch(&self, relay: usize) {
        let address = self.network.listener(Role::Relay, relay, READINESS_PORT);
        let request = encode_request("GET", "/readyz", &[("Host", "relay")], b"");
        let mut failures = 0;
        loop {
            let next = Instant::now() + READINESS_POLL_INTERVAL;
            let response = exchange(address, &request, RESPONSE_TIMEOUT).await;
            let is_ready = matches!(response, Ok((head, _)) if head.status == 200);
            failures = if is_ready { 0 } else { failures + 1 };
            if is_ready || failures >= UNREADY_THRESHOLD {
                self.is_ready[relay].store(is_ready, Ordering::Relaxed);
            }
            sleep_until(next).await;
        }
    }

    /// Whether a relay is ready for new connections.
    pub fn is_ready(&self, relay: usize) -> bool {
        self.is_ready[relay].load(Ordering::Relaxed)
    }

    /// Waits until all relays are ready. Returns `false` if that takes longer than `within`.
    pub async fn wait_until_all_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if (0..RELAY_COUNT).all(|relay| self.is_ready(relay)) {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Chooses a random ready relay for a new connection, or any relay if none is known to be ready.
    pub fn choose(&self, rng: &mut Rng) -> usize {
        let ready: Vec<usize> = (0..RELAY_COUNT).filter(|relay| self.is_ready(*relay)).collect();
        if ready.is_empty() { rng.below(RELAY_COUNT as u64) as usize } else { rng.choose_copied(&ready) }
    }

    /// The client-facing address of a relay.
    pub fn frontend(&self, relay: usize) -> SocketAddr {
        self.network.listener(Role::Relay, relay, FRONTEND_PORT)
    }
}
