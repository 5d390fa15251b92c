//! The decisions of the data plane: which endpoint a request goes to, when it goes, and how long a try may last.
//!
//! Pure: no I/O, no clock but the `now` handed in. A [`Balancer`] holds one relay's view of the ready endpoints
//! of all services. Requests ask for an endpoint ([`Balancer::admit`]); where all are full they wait in a bounded
//! queue, and a freed slot goes to the most urgent waiting destination with the least recent slot time.

mod balancer;
mod endpoint;
mod latency;
mod placement_request;
mod prompt;
mod queue;
mod service_time;

pub use balancer::{Balancer, BalancerLimits};
pub use endpoint::{CallOutcome, ServerLoad};
pub use latency::LatencyModels;
pub use placement_request::{
    Admission, Destination, EndpointInfo, Grant, PlacementRequest, RejectionReason, Ticket,
};
pub use prompt::PromptSection;
