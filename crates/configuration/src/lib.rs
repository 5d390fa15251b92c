//! The operator's configuration: parsing from JSON, validation, and the routing table built from it.
//!
//! [`Configuration::read`] returns either a configuration in which every reference resolves and every number is in its
//! range, or [`Findings`]: all problems with their locations. It depends on nothing but the text; whether a configuration
//! may replace the one in force is checked separately, by [`Configuration::check_generation_follows`].

mod check;
mod digest;
mod findings;
mod json;
mod location;
mod message;
mod model;
mod problem;
mod read;
mod route;
mod service;
mod table;
mod weighted_services;

pub use digest::{DIGEST_BYTES, OrderDigest, digest};
pub use findings::{Finding, Findings, MAX_FINDINGS};
pub use location::{Location, Position};
pub use model::{Configuration, DEFAULT_LIMITS, DEFAULT_RETENTION, Limits};
pub use problem::Problem;
pub use read::MAX_CONFIGURATION_BYTES;
pub use route::{Route, RouteName, RouteType};
pub use service::{Engine, ModelName, Service};
pub use table::RouteTable;
pub use weighted_services::{WeightedService, WeightedServices};
