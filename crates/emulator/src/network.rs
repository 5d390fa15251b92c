//! The simulated network between machines.
//!
//! Connections and datagrams are delayed; each direction between two machines can be blocked; machines that are
//! frozen or without power do not respond. The concerns are split: [`machines`] holds the state of machines,
//! [`partitions`] blocks directions, [`connections`] establishes connections, [`pipes`] carries their bytes, and
//! [`datagrams`] carries datagrams.
//!
//! One lock guards the whole state. Machines run one after the other, each for one step of the simulation, and no
//! message takes less than a step, so no message arrives in the past of its receiver.

mod connections;
mod datagrams;
mod machines;
mod partitions;
mod pipes;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::Waker;

use juniperwing_clock::Span;
use juniperwing_node::sync::lock;
use juniperwing_random::Rng;

pub use self::connections::{AcceptQueue, ConnectOutcome, Connection};
pub use self::datagrams::{Datagram, DatagramQueue};
use self::machines::MachineState;
pub use self::partitions::directions;
use self::pipes::Pipe;
pub use self::pipes::{PipeId, ReadOutcome};

/// The minimum latency of a message; also the step of the simulation.
pub const MIN_DELAY: Span = Span::from_millis(2);
/// The maximum random latency that is added to [`MIN_DELAY`], in nanoseconds.
const MAX_EXTRA_DELAY_NANOS: u64 = 3_000_000;

/// The state of the network, guarded by its lock.
#[derive(Debug)]
struct State {
    rng: Rng,
    machines: BTreeMap<IpAddr, MachineState>,
    /// Blocked directions (from, to), each with the number of partitions that block it; never 0.
    blocked_directions: BTreeMap<(IpAddr, IpAddr), u32>,
    pipes: BTreeMap<PipeId, Pipe>,
    next_pipe: PipeId,
    listeners: BTreeMap<SocketAddr, Arc<AcceptQueue>>,
    datagram_queues: BTreeMap<SocketAddr, Arc<DatagramQueue>>,
    /// Tasks to wake once the lock is released.
    wakers: Vec<Waker>,
}

/// The network of a simulation, shared by all its machines.
#[derive(Debug)]
pub struct Network {
    state: Mutex<State>,
}

impl Network {
    /// Creates a network without machines; `rng` decides latencies and losses.
    pub fn new(rng: Rng) -> Network {
        let state = State {
            rng,
            machines: BTreeMap::new(),
            blocked_directions: BTreeMap::new(),
            pipes: BTreeMap::new(),
            next_pipe: 1,
            listeners: BTreeMap::new(),
            datagram_queues: BTreeMap::new(),
            wakers: Vec::new(),
        };
        Network { state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Changes the state, releases the lock and wakes the tasks that waited for the change.
    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let (outcome, wakers) = {
            let mut state = self.lock();
            let outcome = change(&mut state);
            (outcome, std::mem::take(&mut state.wakers))
        };
        wakers.into_iter().for_each(Waker::wake);
        outcome
    }
}

impl State {
    /// Draws the latency of a message.
    fn random_delay(&mut self) -> Span {
        MIN_DELAY + Span::from_nanos(self.rng.below(MAX_EXTRA_DELAY_NANOS))
    }
}
