//! The decisions of the data plane: which endpoint a request goes to, when, and how long an attempt may last.
//!
//! Pure: there is no I/O, and the time is passed in as `now`. A [`Balancer`] is one relay's view of the ready endpoints
//! of all services. Requests ask for an endpoint ([`Balancer::admit`]); where all are full they wait in a bounded
//! queue, and a free slot goes to the most urgent priority, within it to the destination with the least recent slot
//! time. [`LatencyModels`] set the timeouts of attempts.

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
