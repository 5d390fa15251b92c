//! What keepers tell relays and stores, and how these confirm it.

use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

use fnv::FnvHasher;
use serde::{Deserialize, Serialize};

use crate::identity::{DiskId, EpochNumber, NodeName, PartitionId};
use crate::registry::Instance;
use crate::replication::Version;

/// What a subscriber is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscriberKind {
    /// A relay: wants configuration, endpoints and the store map.
    Relay,
    /// A store: wants the store map, and is placed by it.
    Store {
        /// The identity of its disk.
        disk: DiskId,
    },
}

/// The first message on a subscription. The keeper answers with whole updates and then with changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// The subscriber's machine.
    pub node: NodeName,
    /// Its zone.
    pub zone: Arc<str>,
    /// Where it listens for the tier's own messages.
    pub address: SocketAddr,
    /// What it is.
    pub subscriber: SubscriberKind,
    /// The configuration that it holds already; it is not sent again.
    pub configuration: Version,
}

/// What a keeper tells a subscriber. Only committed state is ever told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The keepers there are; for finding others when this one is lost.
    Keepers(Vec<SocketAddr>),
    /// The configuration in force.
    Configuration {
        /// The version; a subscriber never goes back to a lower one.
        version: Version,
        /// The configuration as the operator sent it (JSON).
        body: Arc<[u8]>,
    },
    /// Endpoints.
    Instances(InstancesUpdate),
    /// Where sessions are stored.
    Stores(Arc<StoreMap>),
}

/// Endpoints that are new or have changed, or all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstancesUpdate {
    /// Counts the keeper's updates to this subscriber; confirmed by [`Applied`].
    pub revision: u64,
    /// Whether all instances that the keeper knows are in it.
    pub is_snapshot: bool,
    /// Whether the keeper has run for long enough to have heard of every live endpoint.
    pub is_registry_complete: bool,
    /// The instances.
    pub instances: Vec<Instance>,
}

/// What a subscriber has applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedVersions {
    /// The configuration in force at the subscriber.
    pub configuration: Version,
    /// The highest [`InstancesUpdate::revision`] applied.
    pub instances: u64,
    /// The store map's version.
    pub stores: u64,
    /// Stores only: partitions whose joining replica now holds everything.
    pub caught_up: Vec<CaughtUp>,
}

/// A partition's primary reports that a joining replica holds all that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaughtUp {
    /// The partition.
    pub partition: PartitionId,
    /// The epoch in which the replica caught up.
    pub epoch: EpochNumber,
    /// The replica.
    pub replica: DiskId,
}

/// Which store machine holds which partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreMap {
    /// Rises with every change.
    pub version: u64,
    /// The stores that the map speaks of.
    pub stores: Vec<StoreNode>,
    /// Indexed by [`PartitionId`]; empty until there are enough stores.
    pub partitions: Vec<Assignment>,
}

/// A store machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreNode {
    /// The identity of its disk.
    pub disk: DiskId,
    /// Its machine.
    pub node: NodeName,
    /// Its zone.
    pub zone: Arc<str>,
    /// Where it listens for the tier's own messages.
    pub address: SocketAddr,
}

/// Who holds a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Rises whenever anything of the assignment changes. The fencing token of all writes.
    pub epoch: EpochNumber,
    /// The store that alone decides.
    pub primary: DiskId,
    /// The stores whose confirmation every write needs, the primary included.
    pub in_sync: Vec<DiskId>,
    /// Stores that are being filled and are sent every write, but whose confirmation is not waited for.
    pub joining: Vec<DiskId>,
    /// How many of the required copies may be missing while the machines that should hold them are lost. It is 0
    /// as soon as any other store can hold one.
    pub lost_replicas: u16,
}

impl StoreMap {
    /// The partition that a key (a program) belongs to; `None` until the map is made.
    pub fn partition_of(&self, key: &str) -> Option<PartitionId> {
        let count = self.partitions.len() as u64;
        // FNV-1a: the same on every machine and in every version.
        let mut hasher = FnvHasher::default();
        hasher.write(key.as_bytes());
        (count > 0).then(|| PartitionId((hasher.finish() % count) as u16))
    }

    /// The store with this disk.
    pub fn store(&self, disk: DiskId) -> Option<&StoreNode> {
        self.stores.iter().find(|store| store.disk == disk)
    }

    /// The assignment of a partition.
    pub fn assignment(&self, partition: PartitionId) -> Option<&Assignment> {
        self.partitions.get(usize::from(partition.0))
    }
}
