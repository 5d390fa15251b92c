//! Endpoint instances, and the messages with which keepers share them and forward operators' orders.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::{DiskId, EpochNumber, InstanceId, NodeName, ServiceName};
use crate::replication::Version;
use crate::subscription::{CaughtUp, StoreNode};

/// Whether an endpoint accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum InstanceState {
    /// Accepts requests.
    Ready,
    /// Shuts down gracefully and accepts no new requests. It never becomes ready again.
    Draining,
    /// Its heartbeats have stopped. A later heartbeat makes it ready again.
    Expired,
    /// Has deregistered. Final.
    Terminated,
}

/// An endpoint as described by its newest heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The id of the incarnation.
    pub id: InstanceId,
    /// The service to which it belongs.
    pub service: ServiceName,
    /// Where it listens for requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// The maximum number of concurrent requests.
    pub capacity: u32,
    /// Whether it accepts requests.
    pub state: InstanceState,
    /// The sequence number of that heartbeat.
    pub sequence: u64,
}

impl Instance {
    /// Whether this supersedes `known`: the state closer to termination wins, then the later heartbeat.
    pub fn supersedes(&self, known: &Instance) -> bool {
        let rank = |instance: &Instance| match instance.state {
            InstanceState::Ready | InstanceState::Expired => 0,
            InstanceState::Draining => 1,
            InstanceState::Terminated => 2,
        };
        (rank(self), self.sequence, self.state) > (rank(known), known.sequence, known.state)
    }
}

/// A heartbeat of an instance that is otherwise unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refresh {
    /// The instance.
    pub id: InstanceId,
    /// The sequence number of its newest heartbeat.
    pub sequence: u64,
}

/// Messages between keepers other than those of replication.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RegistryMessage {
    /// Shares new and changed instances, and the heartbeats of unchanged ones.
    Instances {
        /// The sender.
        from: DiskId,
        /// The new and changed instances.
        changed: Vec<Instance>,
        /// The heartbeats of unchanged instances.
        refreshed: Vec<Refresh>,
        /// Whether the reply must wait until the subscribed relays have applied every update sent so far.
        confirm: bool,
    },
    /// Reply to [`RegistryMessage::Instances`].
    InstancesMerged {
        /// The highest epoch known to the replying keeper.
        epoch: EpochNumber,
        /// Whether every relay subscribed to the replying keeper has applied all instances sent so far, including those
        /// of this message; `false` if a relay has not done so in time.
        applied: bool,
    },
    /// From the primary: requests the distribution of a configuration to the receiver's subscribers. The reply is sent
    /// when all of them have applied it or the wait has timed out.
    DistributeConfiguration {
        /// The configuration's version, as in [`crate::subscription::Update::Configuration`].
        version: Version,
        /// The timeout of the wait for subscribers, in milliseconds.
        wait_ms: u32,
    },
    /// Reply to [`RegistryMessage::DistributeConfiguration`].
    ConfigurationDistributed,
    /// An operator's order, forwarded to the primary by the keeper that received it.
    Order(Order),
    /// Reply to [`RegistryMessage::Order`].
    OrderReply(OrderReply),
    /// Requests from the primary the newest committed version, confirmed by a majority after this message was received.
    ReadCommittedVersion,
    /// Reply to [`RegistryMessage::ReadCommittedVersion`].
    CommittedVersion {
        /// The version; `None` if the replying keeper could not confirm it.
        version: Option<Version>,
    },
    /// Reports the stores with a live link to the sender.
    ReachableStores {
        /// The sender.
        from: DiskId,
        /// The stores.
        stores: Vec<StoreNode>,
    },
    /// Reply to [`RegistryMessage::ReachableStores`]; proves to the sender that it can reach this keeper.
    ReachableStoresReply {
        /// The highest epoch known to the replying keeper.
        epoch: EpochNumber,
    },
    /// Reports of caught-up replicas, forwarded to the primary keeper.
    CaughtUp(Vec<CaughtUp>),
}

/// An operator's order: a request to the control plane.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// `PUT /config`.
    PutConfiguration {
        /// The generation that it is based on (`If-Match`).
        base: u64,
        /// The configuration as received (JSON).
        body: Vec<u8>,
    },
    /// `GET /config`.
    GetConfiguration,
    /// `POST /retire/NODE`.
    Retire {
        /// The store machine.
        node: NodeName,
        /// The time allowed for moving its replicas to other stores, in seconds.
        duration_s: f64,
    },
    /// `GET /retire/NODE`.
    RetireState {
        /// The store machine.
        node: NodeName,
    },
}

/// The outcome of an order: an HTTP status and a JSON body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}
