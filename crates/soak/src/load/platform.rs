//! The platform before the relays: it knows which of them take new connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use juniperwing_node::role::Role;
use tokio::time::{Instant, sleep, sleep_until};

use crate::http::{encode_request, exchange};
use crate::network::{FRONTEND_PORT, Network, READINESS_PORT};
use crate::schedule::RELAY_COUNT;
use juniperwing_random::Rng;

/// Between two questions to a relay.
const READINESS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// How long an answer may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// Questions in a row without a 200 that take a relay out.
const UNREADY_THRESHOLD: u32 = 2;

/// Which relays take new connections.
#[derive(Debug)]
pub struct Platform {
    network: Network,
    is_ready: Vec<AtomicBool>,
}

impl Platform {
    /// None does yet.
    pub fn new(network: Network) -> Platform {
        Platform { network, is_ready: (0..RELAY_COUNT).map(|_| AtomicBool::new(false)).collect() }
    }

    /// Asks one relay again and again whether it is ready.
    pub async fn watch(&self, relay: usize) {
        let address = self.network.listener(Role::Relay, relay, READINESS_PORT);
        let question = encode_request("GET", "/readyz", &[("Host", "relay")], b"");
        let mut failures = 0;
        loop {
            let next = Instant::now() + READINESS_POLL_INTERVAL;
            let answer = exchange(address, &question, RESPONSE_TIMEOUT).await;
            let is_ready = matches!(answer, Ok((head, _)) if head.status == 200);
            failures = if is_ready { 0 } else { failures + 1 };
            if is_ready || failures >= UNREADY_THRESHOLD {
                self.is_ready[relay].store(is_ready, Ordering::Relaxed);
            }
            sleep_until(next).await;
        }
    }

    /// Whether a relay takes new connections.
    pub fn is_ready(&self, relay: usize) -> bool {
        self.is_ready[relay].load(Ordering::Relaxed)
    }

    /// Waits until all relays do, for a limited time. Returns whether they do.
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

    /// A relay for a new connection; any of them if none is known to be ready.
    pub fn choose(&self, rng: &mut Rng) -> usize {
        let ready: Vec<usize> = (0..RELAY_COUNT).filter(|relay| self.is_ready(*relay)).collect();
        if ready.is_empty() { rng.below(RELAY_COUNT as u64) as usize } else { rng.pick(&ready) }
    }

    /// Where a relay takes clients.
    pub fn frontend(&self, relay: usize) -> SocketAddr {
        self.network.listener(Role::Relay, relay, FRONTEND_PORT)
    }
}
