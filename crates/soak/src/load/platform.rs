//! The platform before the relays: it knows which of them take new connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use juniperwing_node::role::Role;
use tokio::time::{Instant, sleep, sleep_until};

use crate::http::{ask, request};
use crate::network::{FRONTEND_PORT, Network, READINESS_PORT};
use crate::schedule::RELAYS;
use juniperwing_random::Rng;

/// Between two questions to a relay.
const ASK_EVERY: Duration = Duration::from_secs(1);
/// How long an answer may take.
const ANSWER_WITHIN: Duration = Duration::from_millis(900);
/// Questions in a row without a 200 that take a relay out.
const MISSES: u32 = 2;

/// Which relays take new connections.
#[derive(Debug)]
pub struct Platform {
    network: Network,
    takes: Vec<AtomicBool>,
}

impl Platform {
    /// None does yet.
    pub fn new(network: Network) -> Platform {
        Platform { network, takes: (0..RELAYS).map(|_| AtomicBool::new(false)).collect() }
    }

    /// Asks one relay again and again whether it is ready.
    pub async fn watch(&self, relay: usize) {
        let address = self.network.listener(Role::Relay, relay, READINESS_PORT);
        let question = request("GET", "/readyz", &[("Host", "relay")], b"");
        let mut misses = 0;
        loop {
            let next = Instant::now() + ASK_EVERY;
            let answer = ask(address, &question, ANSWER_WITHIN).await;
            let is_ready = matches!(answer, Ok((head, _)) if head.status == 200);
            misses = if is_ready { 0 } else { misses + 1 };
            if is_ready || misses >= MISSES {
                self.takes[relay].store(is_ready, Ordering::Relaxed);
            }
            sleep_until(next).await;
        }
    }

    /// Whether a relay takes new connections.
    pub fn takes(&self, relay: usize) -> bool {
        self.takes[relay].load(Ordering::Relaxed)
    }

    /// Waits until all relays do, for a limited time. Returns whether they do.
    pub async fn all_take(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if (0..RELAYS).all(|relay| self.takes(relay)) {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// A relay for a new connection; any of them if none is known to be ready.
    pub fn choose(&self, rng: &mut Rng) -> usize {
        let ready: Vec<usize> = (0..RELAYS).filter(|relay| self.takes(*relay)).collect();
        if ready.is_empty() { rng.below(RELAYS as u64) as usize } else { rng.pick(&ready) }
    }

    /// Where a relay takes clients.
    pub fn frontend(&self, relay: usize) -> SocketAddr {
        self.network.listener(Role::Relay, relay, FRONTEND_PORT)
    }
}
