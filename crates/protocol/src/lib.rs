//! The messages between relays, keepers and stores, and their encoding.
//!
//! Every message is sent in an [`Envelope`], encoded with `postcard` and prefixed by its length in four bytes. Each pair
//! of roles has its module: [`replication`] between keepers, [`registry`] between keepers,
//! [`subscription`] from keepers to relays and stores, [`session`] between relays and stores, [`transfer`]
//! between stores.

pub mod envelope;
pub mod headers;
pub mod identity;
pub mod registry;
pub mod replication;
pub mod session;
pub mod shared_bytes;
pub mod subscription;
pub mod trailing;
pub mod transfer;

pub use envelope::{CallId, Envelope, EnvelopeError, Message};
pub use identity::{
    DiskId, EpochNumber, InstanceId, NodeName, PartitionId, ProgramId, RequestId, ServiceName,
};
