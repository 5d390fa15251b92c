//! Endpoint instances, and what keepers tell each other of them and of operators' orders.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::{DiskId, EpochNumber, InstanceId, NodeName, ServiceName};
use crate::replication::Version;
use crate::subscription::{CaughtUp, StoreNode};

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum InstanceState {
    /// It takes requests.
    Ready,
    /// It has announced its end; nothing new may go to it. It is never ready again in this life.
    Draining,
    /// It was not heard of for too long; a later heartbeat brings it back.
    Expired,
    /// It has said that it ends. Final.
    Terminated,
}

/// What is known of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its life.
    pub id: InstanceId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Requests that it works on at a time.
    pub capacity: u32,
    /// Whether it takes requests.
    pub state: InstanceState,
    /// The number of the heartbeat that this is from; a lower one is older.
    pub sequence: u64,
}

impl Instance {
    /// Whether this supersedes `known`: the final states win, then the later heartbeat.
    pub fn supersedes(&self, known: &Instance) -> bool {
        let rank = |instance: &Instance| match instance.state {
            InstanceState::Ready | InstanceState::Expired => 0,
            InstanceState::Draining => 1,
            InstanceState::Terminated => 2,
        };
        (rank(self), self.sequence, self.state) > (rank(known), known.sequence, known.state)
    }
}

/// An instance that was heard of again and has not changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refresh {
    /// Which.
    pub id: InstanceId,
    /// The number of its newest heartbeat.
    pub sequence: u64,
}

/// What keepers tell each other beside replication.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RegistryMessage {
    /// Instances that are new or have changed, and those heard of again (id and sequence only).
    Instances {
        /// Who tells.
        from: DiskId,
        /// New or changed.
        changed: Vec<Instance>,
        /// Heard of, not changed.
        refreshed: Vec<Refresh>,
        /// Whether the answer has to wait until the subscribed relays have applied everything told so far.
        confirm: bool,
    },
    /// Answers [`RegistryMessage::Instances`].
    InstancesMerged {
        /// The highest epoch that the answering keeper knows.
        epoch: EpochNumber,
        /// Whether every relay subscribed to the answering keeper has applied all instances told so far, this
        /// message's included; `false` if one has not within the time for it.
        applied: bool,
    },
    /// The primary asks: bring your subscribers to this configuration and answer when they have it, or after
    /// the time given.
    DistributeConfiguration {
        /// The configuration's version, as in [`crate::subscription::Update::Configuration`].
        version: Version,
        /// Milliseconds to wait for subscribers at the most.
        wait_ms: u32,
    },
    /// Answers [`RegistryMessage::Distribute`].
    ConfigurationDistributed,
    /// An operator's order that another keeper took, passed on to the primary.
    Order(Order),
    /// Its answer.
    OrderReply(OrderReply),
    /// Asks the primary for the newest committed version, confirmed by a majority after this was received.
    ReadCommittedVersion,
    /// Answers [`RegistryMessage::ReadCommitted`].
    CommittedVersion {
        /// The version; `None` if it could not be confirmed here.
        version: Option<Version>,
    },
    /// Stores whose links to the telling keeper are alive.
    ReachableStores {
        /// Who tells.
        from: DiskId,
        /// The stores.
        stores: Vec<StoreNode>,
    },
    /// Answers [`RegistryMessage::StoresSeen`]: shows the asker that it reaches this keeper.
    ReachableStoresReply {
        /// The highest epoch that the answering keeper knows.
        epoch: EpochNumber,
    },
    /// Reports of partitions' primaries, passed on to the primary keeper.
    CaughtUp(Vec<CaughtUp>),
}

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// `PUT /config`.
    PutConfiguration {
        /// The version that it builds on.
        base: u64,
        /// The configuration as sent.
        body: Vec<u8>,
    },
    /// `GET /config`.
    GetConfiguration,
    /// `POST /retire/NODE`.
    Retire {
        /// The store machine.
        node: NodeName,
        /// Seconds that it may take.
        duration_s: f64,
    },
    /// `GET /retire/NODE`.
    RetireState {
        /// The store machine.
        node: NodeName,
    },
}

/// How an order ended: an HTTP status and a JSON body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}
