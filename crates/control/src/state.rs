//! The replicated control state and its changes.
//!
//! Both are encoded with postcard on disk and between keepers: the order of fields and variants is part of the
//! format.

use std::sync::Arc;

use juniperwing_configuration::OrderDigest;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{StoreMap, StoreNode};
use juniperwing_protocol::{DiskId, EpochNumber};
use juniperwing_replication::{MalformedState, ReplicatedState};
use serde::{Deserialize, Serialize};

use crate::order_history::OrderHistory;

/// The number of accepted orders whose digests are retained; the oldest are dropped.
pub const MAX_REMEMBERED_ORDERS: usize = 100_000;

/// The number of rejected orders whose digests are retained; the oldest are dropped.
pub const MAX_REMEMBERED_REJECTIONS: usize = 1_000;

/// The number of retirements that are retained; the oldest completed ones are dropped.
pub const MAX_REMEMBERED_RETIREMENTS: usize = 1_000;

/// The active configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveConfiguration {
    /// The number that the operator assigned; it increases with every accepted configuration.
    pub generation: u64,
    /// The configuration as the operator submitted it (JSON).
    #[serde(with = "juniperwing_protocol::shared_bytes")]
    pub body: Arc<[u8]>,
}

/// The progress of a store machine's retirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetirementState {
    /// Its replicas are being moved to other stores.
    Active,
    /// It holds no replica and may be removed.
    Completed,
}

/// An active or completed retirement of a store machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retirement {
    /// The retired store.
    pub store: StoreNode,
    /// Its progress.
    pub state: RetirementState,
}

/// The state that all keepers replicate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// The active configuration; `None` before the first.
    pub configuration: Option<ActiveConfiguration>,
    /// The number of configurations ever accepted.
    pub configurations_accepted: u64,
    /// The assignment of partitions to stores.
    pub store_map: Arc<StoreMap>,
    /// Active and completed retirements, oldest first; at most [`MAX_REMEMBERED_RETIREMENTS`].
    pub retirements: Vec<Retirement>,
    /// Orders that were rejected although a later state could have accepted them.
    rejected: OrderHistory,
    /// Orders that were accepted.
    accepted: OrderHistory,
}

/// A change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlChange {
    /// Activates an operator's configuration.
    ApplyConfiguration {
        /// The digest that identifies the order.
        digest: OrderDigest,
        /// The configuration.
        configuration: ActiveConfiguration,
    },
    /// Rejects an operator's configuration permanently, although the generation it is based on may still be
    /// accepted.
    RejectConfiguration(OrderDigest),
    /// Replaces the store map.
    SetStoreMap(Arc<StoreMap>),
    /// Begins the retirement of a store machine.
    BeginRetirement(StoreNode),
    /// Completes the retirement of a store machine.
    CompleteRetirement(DiskId),
}

impl ControlState {
    /// The generation of the active configuration; 0 if there is none.
    pub fn generation(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.generation)
    }

    /// The version of the active configuration, for subscribers. It increases with every accepted
    /// configuration and does not depend on the epoch in which it was written.
    pub fn configuration_version(&self) -> Version {
        Version { epoch: EpochNumber(0), sequence: self.configurations_accepted }
    }

    /// Whether this order was accepted.
    pub fn has_accepted(&self, digest: OrderDigest) -> bool {
        self.accepted.contains(digest)
    }

    /// Whether this order was rejected and must never be accepted.
    pub fn has_rejected(&self, digest: OrderDigest) -> bool {
        self.rejected.contains(digest)
    }

    /// Whether the store's retirement is active or completed; such a store is assigned no replicas.
    pub fn is_retiring(&self, disk: DiskId) -> bool {
        self.retirements.iter().any(|retirement| retirement.store.disk == disk)
    }

    /// Whether the store's retirement is completed: it holds no replica and may have been removed.
    pub fn is_retired(&self, disk: DiskId) -> bool {
        let mut completed = self.retirements.iter().filter(|one| one.state == RetirementState::Completed);
        completed.any(|retirement| retirement.store.disk == disk)
    }

    fn apply_configuration(&mut self, digest: OrderDigest, configuration: ActiveConfiguration) {
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
            ControlChange::SetStoreMap(store_map) => self.store_map = store_map,
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
    // Serialization to memory cannot fail: all types are supported by postcard.
    postcard::to_stdvec(value).expect("postcard encodes every value of this type")
}

fn decode<T: for<'bytes> Deserialize<'bytes>>(bytes: &[u8]) -> Result<T, MalformedState> {
    postcard::from_bytes(bytes).map_err(|error| MalformedState { reason: error.to_string() })
}
