//! A discrete-event emulator of what a juniperwing relay serves, with a judge of the six rules.
//!
//! It hosts any number of relays, each with its own decisions behind [`policy::Policy`], and models the rest:
//! destinations, clients, the list of endpoints, the network, and what goes wrong. A run is a function of its
//! [`scenario::Scenario`] and its seed alone: no I/O, no threads, no wall clock. The figures are those of models,
//! not measurements of real destinations.

pub mod chance;
mod clients;
mod endpoint;
pub mod figures;
pub mod fleet;
pub mod judge;
pub mod limit;
pub mod policy;
pub mod queue;
pub mod scenario;
pub mod woes;
pub mod world;

pub use figures::Figures;
pub use judge::{Break, Rule};
pub use policy::{Core, Policies, Policy};
pub use scenario::{Fault, Scenario};
pub use world::play;
