//! Users of the tier: endpoints, programs, plain clients and operators.

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

/// Programs at the same time.
const PROGRAM_COUNT: u64 = 6;
/// Plain clients at the same time.
const CLIENT_COUNT: u64 = 5;
/// Further plain clients in a burst.
const BURST_CLIENT_COUNT: u64 = 40;

/// State that all users share.
#[derive(Debug)]
pub struct Shared {
    /// The addresses.
    pub network: Network,
    /// The tier.
    pub tier: Arc<Tier>,
    /// Where observations are recorded.
    pub history: Arc<History>,
    /// Readiness of the relays.
    pub platform: Arc<Platform>,
    /// The seed of the play.
    pub seed: u64,
    /// Whether the load goes on.
    is_running: AtomicBool,
    /// How endpoints misbehave at present.
    misbehaviour: Mutex<Option<Misbehaviour>>,
    /// Whether clients disconnect early at present.
    early_disconnects: AtomicBool,
    /// Number of unique names that were given out.
    name_count: AtomicU64,
    stored_turns: Mutex<Vec<StoredTurn>>,
}

impl Shared {
    /// State for a load that has not started yet.
    pub fn new(
        network: Network, tier: Arc<Tier>, history: Arc<History>, platform: Arc<Platform>, seed: u64,
    ) -> Shared {
        Shared {
            network,
            tier,
            history,
            platform,
            seed,
            is_running: AtomicBool::new(true),
            misbehaviour: Mutex::default(),
            early_disconnects: AtomicBool::new(false),
            name_count: AtomicU64::new(0),
            stored_turns: Mutex::default(),
        }
    }

    /// Whether the load goes on.
    pub fn is_running(&self) -> bool {
        self.is_running.load(Ordering::Relaxed)
    }

    /// Ends the load: users finish what is in flight.
    pub fn stop(&self) {
        self.is_running.store(false, Ordering::Relaxed);
    }

    /// Sets how endpoints misbehave from now on.
    pub fn set_misbehaviour(&self, misbehaviour: Option<Misbehaviour>) {
        *lock(&self.misbehaviour) = misbehaviour;
    }

    fn misbehaviour(&self) -> Option<Misbehaviour> {
        *lock(&self.misbehaviour)
    }

    /// Sets whether clients disconnect early from now on.
    pub fn set_early_disconnects(&self, early_disconnects: bool) {
        self.early_disconnects.store(early_disconnects, Ordering::Relaxed);
    }

    fn has_early_disconnects(&self) -> bool {
        self.early_disconnects.load(Ordering::Relaxed)
    }

    /// Records a turn that was served completely.
    fn add_stored_turn(&self, turn: &StoredTurn) {
        lock(&self.stored_turns).push(turn.clone());
    }

    /// The turns that were served completely.
    pub fn stored_turns(&self) -> Vec<StoredTurn> {
        lock(&self.stored_turns).clone()
    }

    /// A name that is unique within the play.
    fn unique_name(&self, prefix: &str) -> String {
        format!("{prefix}{:06x}", self.name_count.fetch_add(1, Ordering::Relaxed))
    }

    /// A random stream of its own for a purpose.
    fn rng(&self, purpose: &str) -> Rng {
        Rng::for_named_purpose(self.seed, purpose)
    }

    /// The address of a keeper's control listener; numbers wrap around.
    fn keeper(&self, number: usize) -> std::net::SocketAddr {
        self.network.listener(Role::Keeper, number % KEEPER_COUNT, CONTROL_PORT)
    }
}

/// Starts programs, plain clients and probes, which run until the load ends.
pub fn start_clients(shared: &Arc<Shared>, tasks: &mut JoinSet<()>) {
    for number in 0..PROGRAM_COUNT {
        tasks.spawn(program::run(Arc::clone(shared), number));
    }
    for client in 0..CLIENT_COUNT {
        tasks.spawn(requests::run(Arc::clone(shared), client, u64::MAX));
    }
    tasks.spawn(probe::run(Arc::clone(shared)));
}

/// Starts many more clients, which run until a time.
pub fn burst(shared: &Arc<Shared>, until: u64, tasks: &mut JoinSet<()>) {
    for client in 0..BURST_CLIENT_COUNT {
        tasks.spawn(requests::run(Arc::clone(shared), 1_000 + client, until));
    }
}
