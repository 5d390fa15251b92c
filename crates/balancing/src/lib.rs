//! The decisions of the data plane: which endpoint a request goes to, when it goes, and how long a try may last.
//!
//! Pure: no I/O, no clock but the `now` handed in. A [`Balancer`] holds one relay's view of the ready endpoints
//! of all services. Requests ask for an endpoint ([`Balancer::admit`]); where all are full they wait in a bounded
//! queue, and a freed slot goes to the most urgent waiting destination with the least recent slot time.

mod ask;
mod balancer;
mod endpoint;
mod latency;
mod prompt;
mod queue;
mod service_time;

pub use ask::{Admission, Ask, Destination, EndpointInfo, Grant, Refusal, Ticket};
pub use balancer::{Balancer, Bounds};
pub use endpoint::{Ending, ServerLoad};
pub use latency::Latencies;
pub use prompt::PromptPart;
