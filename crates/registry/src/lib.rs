//! Service discovery of a keeper: endpoint instances and quorum contact with the other keepers, without I/O.
//!
//! Instances are soft state: they come from heartbeats, are merged between keepers by
//! [`Instance::supersedes`](juniperwing_protocol::registry::Instance::supersedes), and expire when no keeper receives
//! heartbeats of them. An instance cannot return from draining to ready; a terminated instance leaves a tombstone
//! that is retained for longer than heartbeats are delayed.

mod contact;
mod exchange;
mod heartbeat;
mod registry;

pub use contact::{Contact, required_confirmations};
pub use exchange::{Batch, BatchNumber, ChangeNumber, Exchange};
pub use heartbeat::{FieldError, parse_heartbeat};
pub use registry::{
    EXPIRY_TIMEOUT_HEARTBEATS, HeartbeatOutcome, MAX_INSTANCES, Registry, RegistrySettings,
    TOMBSTONE_RETENTION,
};
