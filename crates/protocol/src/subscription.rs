//! Subscriptions: how keepers distribute committed state to relays and stores, and how these acknowledge it.

use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

use fnv::FnvHasher;
use serde::{Deserialize, Serialize};

use crate::identity::{DiskId, EpochNumber, NodeName, PartitionId};
use crate::registry::Instance;
use crate::replication::Version;

/// The role of a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscriberKind {
    /// A relay: receives configuration, endpoints and the store map.
    Relay,
    /// A store: receives the store map, which assigns partitions to it.
    Store {
        /// The identity of its disk.
        disk: DiskId,
    },
}

/// The first message of a subscription. The keeper sends complete snapshots first, then changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// The subscriber's machine.
    pub node: NodeName,
    /// Its zone.
    pub zone: Arc<str>,
    /// Where it listens for messages between processes of the tier.
    pub address: SocketAddr,
    /// Its role.
    pub subscriber: SubscriberKind,
    /// The version of the configuration that it has applied, which is not sent again.
    pub configuration: Version,
}

/// An update from a keeper to a subscriber. Only committed state is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The addresses of all keepers, so that the subscriber can connect to another one when this one fails.
    Keepers(Vec<SocketAddr>),
    /// The configuration in force.
    Configuration {
        /// The version; a subscriber ignores a lower one than it has applied.
        version: Version,
        /// The configuration as the operator submitted it (JSON).
        body: Arc<[u8]>,
    },
    /// Endpoint instances.
    Instances(InstancesUpdate),
    /// The assignment of partitions to stores.
    Stores(Arc<StoreMap>),
}

/// Endpoint instances that are new or have changed, or all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstancesUpdate {
    /// Sequence number of the keeper's updates to this subscriber, acknowledged by [`AppliedVersions`].
    pub revision: u64,
    /// Whether the update contains all instances known to the keeper, so that the subscriber may drop all others.
    pub is_snapshot: bool,
    /// Whether the keeper has been running long enough to have received a heartbeat of every live endpoint.
    pub is_registry_complete: bool,
    /// The instances.
    pub instances: Vec<Instance>,
}

/// The versions that a subscriber has applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedVersions {
    /// The configuration in force at the subscriber.
    pub configuration: Version,
    /// The highest [`InstancesUpdate::revision`] applied.
    pub instances: u64,
    /// The store map's version.
    pub stores: u64,
    /// Stores only: joining replicas that have caught up.
    pub caught_up: Vec<CaughtUp>,
}

/// A partition's primary reports that a joining replica has all of its records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaughtUp {
    /// The partition.
    pub partition: PartitionId,
    /// The epoch in which the replica caught up.
    pub epoch: EpochNumber,
    /// The replica.
    pub replica: DiskId,
}

/// The assignment of partitions to stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreMap {
    /// Increases with every change.
    pub version: u64,
    /// The stores that the map refers to.
    pub stores: Vec<StoreNode>,
    /// The assignments, indexed by [`PartitionId`]; empty until there are enough stores.
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
    /// Where it listens for messages between processes of the tier.
    pub address: SocketAddr,
}

/// The replicas of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Increases whenever the assignment changes. Used as fencing token of all writes.
    pub epoch: EpochNumber,
    /// The only store that accepts calls for the partition.
    pub primary: DiskId,
    /// The stores that must acknowledge every write, the primary included.
    pub in_sync: Vec<DiskId>,
    /// Stores that are catching up: they receive every write, but their acknowledgement is not required.
    pub joining: Vec<DiskId>,
    /// How many of the required replicas may be missing while the machines that should hold them are lost; 0 as soon as
    /// another store can replace one.
    pub lost_replicas: u16,
}

impl StoreMap {
    /// The partition of a key (a program); `None` while the map is empty.
    pub fn partition_of(&self, key: &str) -> Option<PartitionId> {
        let count = self.partitions.len() as u64;
        // FNV-1a: the result is the same on every machine and in every release.
        let mut hasher = FnvHasher::default();
        hasher.write(key.as_bytes());
        (count > 0).then(|| PartitionId((hasher.finish() % count) as u16))
    }

    /// The number of in-sync replicas of the partition that has the fewest; 0 while the map is empty.
    pub fn min_in_sync_replicas(&self) -> usize {
        self.partitions.iter().map(|assignment| assignment.in_sync.len()).min().unwrap_or(0)
    }

    /// The highest number of required replicas that any partition may lack.
    pub fn max_lost_replicas(&self) -> u16 {
        self.partitions.iter().map(|assignment| assignment.lost_replicas).max().unwrap_or(0)
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
