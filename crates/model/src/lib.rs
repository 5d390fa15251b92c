//! A discrete-event emulator of what a juniperwing relay serves, with a judge of the six rules.
//!
//! It hosts any number of relays, each with its own decisions behind [`policy::Policy`], and models the rest:
//! destinations, clients, the list of endpoints, the network, and what goes wrong. A run is a function of its
//! [`scenario::Scenario`] and its seed alone: no I/O, no threads, no wall clock. The figures are those of models,
//! not measurements of real destinations.

mod endpoint;
pub mod event_queue;
pub mod faults;
pub mod fleet;
pub mod judge;
pub mod limit;
pub mod metrics;
pub mod policy;
pub mod random;
pub mod route;
pub mod scenario;
pub mod simulation;
mod traffic;

pub use judge::{Rule, Violation};
pub use metrics::Metrics;
pub use policy::{Core, Policies, Policy};
pub use scenario::{Scenario, ScenarioError};
pub use simulation::simulate;
