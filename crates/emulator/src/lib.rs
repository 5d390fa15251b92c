//! Deterministic simulation of keepers in virtual time.
//!
//! A [`Scenario`](scenario::Scenario) is generated from a seed: which machines are partitioned, frozen, killed, wiped
//! or replaced, and when. [`run`](simulation::run) runs the real keepers (`juniperwing_node::keeper`) on simulated
//! machines through the scenario, with operators, endpoints and relays as clients, with stores
//! (`juniperwing_node::store`) and programs where the scenario has any, and records a
//! [`History`](history::History) of what the clients observed. The [`checker`] searches only this history for
//! violated properties. [`shrink`] removes faults that are not needed to reproduce a violation.

pub mod checker;
pub mod clock;
pub mod disk;
pub mod endpoints;
pub mod history;
pub mod host;
pub mod http;
pub mod log;
pub mod machine;
pub mod network;
pub mod operators;
pub mod programs;
pub mod relay;
pub mod retirements;
pub mod scenario;
pub mod shrink;
pub mod simulation;
mod sockets;
pub mod stability;
pub mod targeting;
