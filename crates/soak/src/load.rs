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

use crate::faults::Misbehaviour;
use crate::history::History;
use crate::network::{CONTROL_PORT, Network};
use crate::schedule::KEEPER_COUNT;
use crate::tier::Tier;
use juniperwing_random::Rng;

pub use self::endpoint::Endpoints;
pub use self::operator::{HOST, Operators, generation_of, read_configuration, retire_store};
pub use self::platform::Platform;
pub use self::program::{StoredTurn, continue_turn};

/// Lines of programs at the same time.
const PROGRAM_LINE_COUNT: u64 = 6;
/// Plain clients at the same time.
const CLIENT_COUNT: u64 = 5;
/// Further plain clients in a burst.
const BURST_CLIENT_COUNT: u64 = 40;

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
    clients_disconnect: AtomicBool,
    numbers: AtomicU64,
    stored_turns: Mutex<Vec<StoredTurn>>,
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
            clients_disconnect: AtomicBool::new(false),
            numbers: AtomicU64::new(0),
            stored_turns: Mutex::default(),
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
    pub fn set_clients_disconnect(&self, clients_disconnect: bool) {
        self.clients_disconnect.store(clients_disconnect, Ordering::Relaxed);
    }

    fn do_clients_disconnect(&self) -> bool {
        self.clients_disconnect.load(Ordering::Relaxed)
    }

    /// A turn was answered whole.
    fn add_stored_turn(&self, turn: &StoredTurn) {
        lock(&self.stored_turns).push(turn.clone());
    }

    /// The turns that were answered whole.
    pub fn stored_turns(&self) -> Vec<StoredTurn> {
        lock(&self.stored_turns).clone()
    }

    /// A name that is used once.
    fn unique_name(&self, prefix: &str) -> String {
        format!("{prefix}{:06x}", self.numbers.fetch_add(1, Ordering::Relaxed))
    }

    /// A sequence of draws of its own.
    fn rng(&self, purpose: &str) -> Rng {
        Rng::for_named_purpose(self.seed, purpose)
    }

    /// A keeper's control listener.
    fn keeper(&self, number: usize) -> std::net::SocketAddr {
        self.network.listener(Role::Keeper, number % KEEPER_COUNT, CONTROL_PORT)
    }
}

/// Has programs and plain clients work until the load ends.
pub fn start_clients(shared: &Arc<Shared>, tasks: &mut JoinSet<()>) {
    for line in 0..PROGRAM_LINE_COUNT {
        tasks.spawn(program::run(Arc::clone(shared), line));
    }
    for client in 0..CLIENT_COUNT {
        tasks.spawn(requests::run(Arc::clone(shared), client, u64::MAX));
    }
    tasks.spawn(probe::run(Arc::clone(shared)));
}

/// Has many more clients come for a while.
pub fn burst(shared: &Arc<Shared>, until: u64, tasks: &mut JoinSet<()>) {
    for client in 0..BURST_CLIENT_COUNT {
        tasks.spawn(requests::run(Arc::clone(shared), 1_000 + client, until));
    }
}
