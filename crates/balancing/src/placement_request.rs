//! The requests to a balancer and its replies.

use std::sync::Arc;

use juniperwing_clock::Span;
use juniperwing_protocol::identity::{InstanceId, ProgramId, ServiceName};

use crate::prompt::PromptSection;

/// A class of similar requests: those of one route that go to one service. Latencies and slot times are measured for
/// each.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// The host of the route.
    pub host: Arc<str>,
    /// The path prefix of the route.
    pub prefix: Arc<str>,
}

impl Default for Destination {
    fn default() -> Self {
        Destination { service: ServiceName::from(""), host: "".into(), prefix: "".into() }
    }
}

/// A request that needs an endpoint.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The class of the request.
    pub destination: Destination,
    /// The priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Endpoints to which the request must not be sent, because they were tried already.
    pub excluded: Vec<InstanceId>,
    /// The sections of the prompt in order; empty for plain requests.
    pub prompt: Vec<PromptSection>,
    /// The fraction of the prompt that is new in this turn, as far as is known; 1 for a first turn.
    pub new_prompt_fraction: f64,
    /// The endpoint that ran the previous turn, according to the stores.
    pub previous_endpoint: Option<InstanceId>,
    /// The program to which the request belongs.
    pub program: Option<ProgramId>,
    /// The timeout of the attempt, which is the time lost if the endpoint fails.
    pub attempt_timeout: Span,
}

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The reply to a [`PlacementRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent to this endpoint now; a slot is occupied for it.
    Granted(InstanceId),
    /// All endpoints are full: the request waits for a [`Grant`].
    Queued(Ticket),
    /// The request cannot be placed.
    Rejected(RejectionReason),
}

/// Why a request cannot be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// No endpoint is ready, except those that were tried already.
    NoEndpoint,
    /// Too many requests are queued.
    QueueFull,
}

/// Ends the wait of a queued request, normally with a slot that is occupied for it at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The queued request.
    pub ticket: Ticket,
    /// The class of the request.
    pub destination: Destination,
    /// The endpoint to which the request may be sent; `None` if no endpoint is left that could serve it.
    pub endpoint: Option<InstanceId>,
}

/// The properties of a ready endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// The incarnation of the endpoint.
    pub id: InstanceId,
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: Arc<str>,
    /// The number of requests that the endpoint runs concurrently.
    pub capacity: u32,
}
