//! What callers saw, in order.

use std::sync::{Arc, Mutex};

use juniperwing_clock::Time;
use juniperwing_node::sync::lock;
use juniperwing_protocol::registry::InstanceState;

/// Tells orders apart; it stands in the body of each.
pub type OrderId = usize;

/// Something that a caller did or saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// An operator sends a configuration for the first time.
    OrderMade {
        /// Which.
        order: OrderId,
        /// The version that it builds on.
        base: u64,
        /// Its own number.
        generation: u64,
    },
    /// An order was answered.
    OrderAnswered {
        /// Which.
        order: OrderId,
        /// With what.
        status: u16,
        /// When this call was made.
        asked: Time,
        /// Whom it asked.
        keeper: usize,
    },
    /// The operator no longer sends it, without a clear answer.
    OrderGivenUp {
        /// Which.
        order: OrderId,
    },
    /// The configuration was read.
    Read {
        /// With what status.
        status: u16,
        /// When this call was made.
        asked: Time,
        /// Whom it asked.
        keeper: usize,
        /// Whose body it is; `None` if no such body was ever sent.
        order: Option<OrderId>,
    },
    /// A relay has started and knows nothing.
    RelayStarted {
        /// Which.
        relay: usize,
    },
    /// A relay's process has ended.
    RelayEnded {
        /// Which.
        relay: usize,
    },
    /// A relay applies a configuration.
    RelayConfiguration {
        /// Which.
        relay: usize,
        /// Whose body it is.
        order: Option<OrderId>,
    },
    /// A relay applies what it is told of an endpoint.
    RelayInstance {
        /// Which.
        relay: usize,
        /// The endpoint's life.
        id: String,
        /// The state that it has there from now on.
        state: InstanceState,
    },
    /// A heartbeat was answered.
    BeatAnswered {
        /// The endpoint's life.
        id: String,
        /// What it said.
        said: InstanceState,
        /// With what.
        status: u16,
        /// Whom it asked.
        keeper: usize,
    },
    /// A heartbeat had no answer in time, or none that is one.
    BeatFailed {
        /// The endpoint's life.
        id: String,
        /// What it said.
        said: InstanceState,
    },
    /// The endpoint sends nothing more.
    EndpointSilent {
        /// The endpoint's life.
        id: String,
    },
    /// A keeper's process has ended by itself.
    KeeperEnded {
        /// Which.
        keeper: usize,
    },
    /// A keeper's process that was told to end has ended, in its own time.
    KeeperStopped {
        /// Which.
        keeper: usize,
    },
    /// A keeper's process has started.
    KeeperStarted {
        /// Which.
        keeper: usize,
    },
    /// Something that happened to a machine, or that its log says; not judged.
    Note(String),
}

/// All that was seen, with its times. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct History(Arc<Mutex<Vec<(Time, Seen)>>>);

impl History {
    /// Adds what was seen at `now`.
    pub fn add(&self, now: Time, seen: Seen) {
        lock(&self.0).push((now, seen));
    }

    /// All, in order of time.
    pub fn take(&self) -> Vec<(Time, Seen)> {
        let mut all = std::mem::take(&mut *lock(&self.0));
        all.sort_by_key(|(at, _)| *at);
        all
    }
}
