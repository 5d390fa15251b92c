//! A discrete-event simulator of the environment of juniperwing relays, with a checker of the six rules.
//!
//! It hosts any number of relays, each with a policy behind [`policy::Policy`], and models their environment:
//! destinations, clients, the endpoint list, the network and faults. A run is a function of its
//! [`scenario::Scenario`] and its seed alone: it uses no I/O, no threads and no wall clock. Its metrics are those of
//! a model, not measurements of real destinations.

mod endpoint;
pub mod event_queue;
pub mod faults;
pub mod fleet;
pub mod limit;
pub mod metrics;
pub mod policy;
pub mod random;
pub mod route;
pub mod rule_checker;
pub mod scenario;
pub mod simulation;
mod traffic;

pub use metrics::Metrics;
pub use policy::{Core, Policies, Policy};
pub use rule_checker::{Rule, Violation};
pub use scenario::{Scenario, ScenarioError};
pub use simulation::simulate;
