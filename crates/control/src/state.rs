//! The state itself, and its changes.

use std::sync::Arc;

use juniperwing_configuration::OrderDigest;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{StoreMap, StoreNode};
use juniperwing_protocol::{DiskId, EpochNumber};
use juniperwing_replication::{MalformedState, ReplicatedState};
use serde::{Deserialize, Serialize};

use crate::order_history::OrderHistory;

/// Orders taken whose digests are remembered; the oldest give way.
pub const MAX_REMEMBERED_ORDERS: usize = 100_000;

/// Refusals that are remembered; the oldest give way.
pub const MAX_REMEMBERED_REJECTIONS: usize = 1_000;

/// Retirements that are remembered; the oldest completed ones give way.
pub const MAX_REMEMBERED_RETIREMENTS: usize = 1_000;

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationInForce {
    /// The number that the operator gave it.
    pub generation: u64,
    /// The configuration as the operator sent it (JSON).
    #[serde(with = "juniperwing_protocol::shared_bytes")]
    pub body: Arc<[u8]>,
}

/// How far the emptying of a store machine has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetirementState {
    /// Its replicas are being moved away.
    Active,
    /// It holds nothing that counts and may be taken away.
    Completed,
}

/// A store machine that is being emptied, or was.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retirement {
    /// The store.
    pub store: StoreNode,
    /// How far it has come.
    pub state: RetirementState,
}

/// What the keepers agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// The configuration in force; `None` before the first.
    pub configuration: Option<ConfigurationInForce>,
    /// Counts the configurations ever taken.
    pub configurations_accepted: u64,
    /// Which store holds which partition.
    pub store_map: Arc<StoreMap>,
    /// Store machines that are being emptied, or were.
    pub retirements: Vec<Retirement>,
    /// The orders that were refused although they could have been taken later.
    rejected: OrderHistory,
    /// The orders that were taken.
    accepted: OrderHistory,
}

/// A change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlChange {
    /// An operator's configuration comes into force.
    ApplyConfiguration {
        /// Identifies the order.
        digest: OrderDigest,
        /// The configuration.
        configuration: ConfigurationInForce,
    },
    /// An operator's configuration is refused for good, though the version that it builds on may yet come.
    RejectConfiguration(OrderDigest),
    /// Another store map comes into force.
    SetStoreMap(Arc<StoreMap>),
    /// A store machine is to be emptied.
    BeginRetirement(StoreNode),
    /// A store machine is empty.
    CompleteRetirement(DiskId),
}

impl ControlState {
    /// The generation of the configuration in force; 0 if there is none.
    pub fn generation(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.generation)
    }

    /// The version of the configuration in force, for subscribers. It rises with every configuration taken and
    /// does not depend on the epoch in which it was written.
    pub fn configuration_version(&self) -> Version {
        Version { epoch: EpochNumber(0), sequence: self.configurations_accepted }
    }

    /// Whether this very order was ever taken.
    pub fn has_accepted(&self, digest: OrderDigest) -> bool {
        self.accepted.contains(digest)
    }

    /// Whether this very order was refused and must never come into force.
    pub fn has_rejected(&self, digest: OrderDigest) -> bool {
        self.rejected.contains(digest)
    }

    /// Whether the store is being emptied, or was: it is given nothing new.
    pub fn is_retiring(&self, disk: DiskId) -> bool {
        self.retirements.iter().any(|retirement| retirement.store.disk == disk)
    }

    fn apply_configuration(&mut self, digest: OrderDigest, configuration: ConfigurationInForce) {
        self.accepted.insert(digest, MAX_REMEMBERED_ORDERS);
        self.configurations_accepted += 1;
        self.configuration = Some(configuration);
    }

    fn begin_retirement(&mut self, store: StoreNode) {
        if self.is_retiring(store.disk) {
            return;
        }
        if self.retirements.len() >= MAX_REMEMBERED_RETIREMENTS {
            let completed = |retirement: &Retirement| retirement.state == RetirementState::Completed;
            let oldest = self.retirements.iter().position(completed).unwrap_or(0);
            self.retirements.remove(oldest);
        }
        self.retirements.push(Retirement { store, state: RetirementState::Active });
    }

    fn complete_retirement(&mut self, disk: DiskId) {
        let found = self.retirements.iter_mut().find(|retirement| retirement.store.disk == disk);
        if let Some(retirement) = found {
            retirement.state = RetirementState::Completed;
        }
    }
}

impl ReplicatedState for ControlState {
    type Change = ControlChange;

    fn apply(&mut self, change: &ControlChange) {
        match change.clone() {
            ControlChange::ApplyConfiguration { digest, configuration } => {
                self.apply_configuration(digest, configuration);
            }
            ControlChange::RejectConfiguration(digest) => {
                self.rejected.insert(digest, MAX_REMEMBERED_REJECTIONS);
            }
            ControlChange::SetStoreMap(stores) => self.store_map = stores,
            ControlChange::BeginRetirement(store) => self.begin_retirement(store),
            ControlChange::CompleteRetirement(disk) => self.complete_retirement(disk),
        }
    }

    fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    fn decode(bytes: &[u8]) -> Result<Self, MalformedState> {
        decode(bytes)
    }

    fn encode_change(change: &ControlChange) -> Vec<u8> {
        encode(change)
    }

    fn decode_change(bytes: &[u8]) -> Result<ControlChange, MalformedState> {
        decode(bytes)
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Into memory, and of types that have an encoding: this cannot fail.
    postcard::to_stdvec(value).expect("every value of this type has an encoding")
}

fn decode<T: for<'bytes> Deserialize<'bytes>>(bytes: &[u8]) -> Result<T, MalformedState> {
    postcard::from_bytes(bytes).map_err(|error| MalformedState { reason: error.to_string() })
}
