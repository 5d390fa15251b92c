//! What a keeper knows of endpoint instances, and of its contact with the other keepers, as pure state machines.
//!
//! Instances are soft state: they come from heartbeats, are merged between keepers by
//! [`Instance::supersedes`](juniperwing_protocol::registry::Instance::supersedes), and expire when no keeper
//! hears of them. A drain is final within a life; an end leaves a tombstone for longer than a late call takes.

mod contact;
mod exchange;
mod heartbeat;
mod registry;

pub use contact::{Contact, needed_confirmations};
pub use exchange::{Batch, BatchNumber, ChangeNumber, Exchange};
pub use heartbeat::{FieldError, parse_heartbeat};
pub use registry::{
    EXPIRY_TIMEOUT_HEARTBEATS, HeartbeatOutcome, MAX_INSTANCES, Registry, RegistrySettings,
    TOMBSTONE_RETENTION,
};
