//! Those who use the tier: endpoints, programs, plain clients, operators.

mod endpoint;
mod operator;
mod platform;
mod probe;
mod program;
mod requests;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use juniperwing_node::role::Role;
use juniperwing_node::sync::lock;
use tokio::task::JoinSet;

use crate::history::History;
use crate::network::{CONTROL_PORT, Network};
use crate::schedule::KEEPERS;
use crate::tier::Tier;
use crate::troubles::Misbehaviour;
use juniperwing_random::Rng;

pub use self::endpoint::Endpoints;
pub use self::operator::{HOST, Operators, generation_of, read as read_configuration, retired};
pub use self::platform::Platform;
pub use self::program::{KeptTurn, continue_turn};

/// Lines of programs at the same time.
const PROGRAMS: u64 = 6;
/// Plain clients at the same time.
const CLIENTS: u64 = 5;
/// Further plain clients in a burst.
const BURST_CLIENTS: u64 = 40;

/// What all users share.
#[derive(Debug)]
pub struct Shared {
    /// The addresses.
    pub network: Network,
    /// The tier.
    pub tier: Arc<Tier>,
    /// What is seen.
    pub history: Arc<History>,
    /// Which relays take connections.
    pub platform: Arc<Platform>,
    /// The seed of the play.
    pub seed: u64,
    /// Whether the load goes on.
    running: AtomicBool,
    /// What endpoints do to requests at present.
    misbehaviour: Mutex<Option<Misbehaviour>>,
    /// Whether clients leave in the middle at present.
    leaving: AtomicBool,
    numbers: AtomicU64,
    kept: Mutex<Vec<KeptTurn>>,
}

impl Shared {
    /// Nobody works yet.
    pub fn new(
        network: Network, tier: Arc<Tier>, history: Arc<History>, platform: Arc<Platform>, seed: u64,
    ) -> Shared {
        Shared {
            network,
            tier,
            history,
            platform,
            seed,
            running: AtomicBool::new(true),
            misbehaviour: Mutex::default(),
            leaving: AtomicBool::new(false),
            numbers: AtomicU64::new(0),
            kept: Mutex::default(),
        }
    }

    /// Whether the load goes on.
    pub fn is_running(&self) -> bool {
        self.running.load(Ordering::Relaxed)
    }

    /// Ends the load: whoever is at work finishes what is under way.
    pub fn stop(&self) {
        self.running.store(false, Ordering::Relaxed);
    }

    /// What endpoints do from now on.
    pub fn set_misbehaviour(&self, misbehaviour: Option<Misbehaviour>) {
        *lock(&self.misbehaviour) = misbehaviour;
    }

    fn misbehaviour(&self) -> Option<Misbehaviour> {
        *lock(&self.misbehaviour)
    }

    /// Whether clients leave in the middle from now on.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// A turn was answered whole.
    fn keep(&self, turn: &KeptTurn) {
        lock(&self.kept).push(turn.clone());
    }

    /// The turns that were answered whole.
    pub fn kept_turns(&self) -> Vec<KeptTurn> {
        lock(&self.kept).clone()
    }

    /// A name that is used once.
    fn name(&self, prefix: &str) -> String {
        format!("{prefix}{:06x}", self.numbers.fetch_add(1, Ordering::Relaxed))
    }

    /// A sequence of draws of its own.
    fn rng(&self, purpose: &str) -> Rng {
        Rng::for_named_purpose(self.seed, purpose)
    }

    /// A keeper's control listener.
    fn keeper(&self, number: usize) -> std::net::SocketAddr {
        self.network.listener(Role::Keeper, number % KEEPERS, CONTROL_PORT)
    }
}

/// Has programs and plain clients work until the load ends.
pub fn start_clients(shared: &Arc<Shared>, tasks: &mut JoinSet<()>) {
    for line in 0..PROGRAMS {
        tasks.spawn(program::run(Arc::clone(shared), line));
    }
    for client in 0..CLIENTS {
        tasks.spawn(requests::run(Arc::clone(shared), client, u64::MAX));
    }
    tasks.spawn(probe::run(Arc::clone(shared)));
}

/// Has many more clients come for a while.
pub fn burst(shared: &Arc<Shared>, until: u64, tasks: &mut JoinSet<()>) {
    for client in 0..BURST_CLIENTS {
        tasks.spawn(requests::run(Arc::clone(shared), 1_000 + client, until));
    }
}
