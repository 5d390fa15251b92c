//! The state of the components, with accessors and updates that involve no policy. Decisions and tuning constants are
//! in [`rules`](crate::rules).

mod destination;
mod destination_limiter;
mod endpoint;
mod endpoint_list;
mod key_queues;
mod slots;

pub(crate) use destination::{Destination, PendingNotification, ServingEndpoint, TopicAtEndpoint};
pub(crate) use destination_limiter::{DestinationLimiter, Recovery};
pub(crate) use endpoint::{Endpoint, IdleLimit};
pub(crate) use endpoint_list::EndpointList;
pub(crate) use key_queues::{KeyQueues, QueuedNotification};
pub(crate) use slots::Slots;
