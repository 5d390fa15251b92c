//! Load balancing for the data plane: decides which endpoint serves a request, when, and how long an attempt may last.
//!
//! The crate does no I/O, and the current time is passed in as `now`. A [`Balancer`] holds one relay's view of the
//! ready endpoints of all services. Requests are placed with [`Balancer::admit`]. While all endpoints are full they
//! wait in a bounded queue, from which a free slot goes to the most urgent priority and, within it, to the destination
//! with the least recent slot time. [`LatencyModels`] set the timeouts of attempts.

mod balancer;
mod call_outcome;
mod decaying_mean;
mod endpoint;
mod latency;
mod placement_request;
mod prefix_cache;
mod prompt;
mod queue;
mod rank;
mod server_load;
mod service;
mod service_time;
mod shared_sections;

pub use balancer::{Balancer, BalancerLimits};
pub use call_outcome::CallOutcome;
pub use latency::LatencyModels;
pub use placement_request::{
    Admission, Destination, EndpointInfo, Grant, PlacementRequest, RejectionReason, Ticket,
};
pub use prompt::PromptSection;
pub use server_load::ServerLoad;
