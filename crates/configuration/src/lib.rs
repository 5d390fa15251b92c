//! The operator's configuration: read from JSON, checked as a whole, and turned into the table by which the
//! route of a request is found.
//!
//! [`Configuration::read`] either gives a configuration in which every reference holds and every number is in
//! its range, or [`Findings`]: all that is wrong with it, each with its place. Reading is pure; whether a
//! configuration may follow the one in force is a check of its own, [`Configuration::check_generation_follows`].

mod check;
mod digest;
mod findings;
pub mod message;
mod model;
mod read;
mod table;

pub use digest::{DIGEST_BYTES, OrderDigest, digest};
pub use findings::{Finding, Findings, Location, MAX_FINDINGS, Position, Problem};
pub use model::{
    Configuration, DEFAULT_LIMITS, DEFAULT_RETENTION, Engine, Limits, ModelName, Route, RouteName, RouteType,
    Service, WeightedService, WeightedServices,
};
pub use read::MAX_CONFIGURATION_BYTES;
pub use table::RouteTable;
