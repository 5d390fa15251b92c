//! Real keepers in virtual time.
//!
//! A [`Day`](day::Day) is drawn from a seed: which machines are cut off, frozen, killed, wiped or replaced, and
//! when. [`play`](world::play) runs keepers as they are (`juniperwing_node::keeper`) on simulated machines through
//! that day, with operators, endpoints and relays as callers, and records what these saw. The
//! [`oracle`] judges this record alone. [`shrink`] removes what a finding doesn't need.

pub mod aim;
pub mod clock;
pub mod day;
pub mod disk;
pub mod endpoints;
pub mod history;
pub mod host;
pub mod http;
pub mod log;
pub mod machine;
pub mod network;
pub mod operators;
pub mod oracle;
pub mod relay;
pub mod shrink;
pub mod stability;
mod stream;
pub mod world;
