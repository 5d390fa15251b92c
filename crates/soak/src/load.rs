//! Load on the tier: endpoints, programs, plain clients and operators.

mod endpoint;
mod load_balancer;
mod operator;
mod probe;
mod program;
mod requests;
mod resumable_turn;
mod turn_attempt;

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
pub use self::load_balancer::LoadBalancer;
pub use self::operator::{HOST, Operators, generation_of, read_configuration, retire_store};
pub use self::program::{StoredTurn, continue_turn};

/// Number of concurrent programs.
const PROGRAM_COUNT: u64 = 6;
/// Number of concurrent plain clients.
const CLIENT_COUNT: u64 = 5;
/// Number of additional plain clients in a burst.
const BURST_CLIENT_COUNT: u64 = 40;

/// State shared by all generators of load.
#[derive(Debug)]
pub struct Shared {
    /// The addresses of the play.
    pub network: Network,
    /// The tier.
    pub tier: Arc<Tier>,
    /// Where observations are recorded.
    pub history: Arc<History>,
    /// The load balancer that selects relays for new connections.
    pub load_balancer: Arc<LoadBalancer>,
    /// The seed of the play.
    pub seed: u64,
    /// Whether load is still generated.
    is_running: AtomicBool,
    /// How endpoints currently mishandle requests.
    misbehaviour: Mutex<Option<Misbehaviour>>,
    /// Whether clients currently disconnect early.
    early_disconnects: AtomicBool,
    /// Number of unique names that were generated.
    name_count: AtomicU64,
    stored_turns: Mutex<Vec<StoredTurn>>,
}

impl Shared {
    /// The state before the load starts.
    pub fn new(
        network: Network, tier: Arc<Tier>, history: Arc<History>, load_balancer: Arc<LoadBalancer>, seed: u64,
    ) -> Shared {
        Shared {
            network,
            tier,
            history,
            load_balancer,
            seed,
            is_running: AtomicBool::new(true),
            misbehaviour: Mutex::default(),
            early_disconnects: AtomicBool::new(false),
            name_count: AtomicU64::new(0),
            stored_turns: Mutex::default(),
        }
    }

    /// Whether load is still generated.
    pub fn is_running(&self) -> bool {
        self.is_running.load(Ordering::Relaxed)
    }

    /// Ends the load: no new requests are sent, and those in flight are completed.
    pub fn stop(&self) {
        self.is_running.store(false, Ordering::Relaxed);
    }

    /// Sets how endpoints mishandle requests from now on.
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

    /// Adds a turn that was served completely.
    fn add_stored_turn(&self, turn: &StoredTurn) {
        lock(&self.stored_turns).push(turn.clone());
    }

    /// All turns that were served completely.
    pub fn stored_turns(&self) -> Vec<StoredTurn> {
        lock(&self.stored_turns).clone()
    }

    /// Generates a name that is unique within the play.
    fn unique_name(&self, prefix: &str) -> String {
        format!("{prefix}{:06x}", self.name_count.fetch_add(1, Ordering::Relaxed))
    }

    /// An independent random number generator for a purpose.
    fn rng(&self, purpose: &str) -> Rng {
        Rng::for_named_purpose(self.seed, purpose)
    }

    /// The address of a keeper's control listener. Numbers above the last keeper wrap around.
    fn keeper(&self, number: usize) -> std::net::SocketAddr {
        self.network.listener(Role::Keeper, number % KEEPER_COUNT, CONTROL_PORT)
    }
}

/// Starts the programs, plain clients and probes, which run until the load ends.
pub fn start_clients(shared: &Arc<Shared>, tasks: &mut JoinSet<()>) {
    for number in 0..PROGRAM_COUNT {
        tasks.spawn(program::run(Arc::clone(shared), number));
    }
    for client in 0..CLIENT_COUNT {
        tasks.spawn(requests::run(Arc::clone(shared), client, u64::MAX));
    }
    tasks.spawn(probe::run(Arc::clone(shared)));
}

/// Starts the additional clients of a burst, which run until a given time.
pub fn start_burst(shared: &Arc<Shared>, until: u64, tasks: &mut JoinSet<()>) {
    for client in 0..BURST_CLIENT_COUNT {
        tasks.spawn(requests::run(Arc::clone(shared), 1_000 + client, until));
    }
}
