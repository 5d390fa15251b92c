//! What is asked of a balancer, and what it answers.

use std::sync::Arc;

use juniperwing_clock::Span;
use juniperwing_protocol::identity::{InstanceId, ProgramId, ServiceName};

use crate::prompt::PromptSection;

/// Requests that are alike: those of one route that go to one service. LatencyModels and slot time are kept of each.
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

/// A request that wants an endpoint.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Where it belongs.
    pub destination: Destination,
    /// The rank of its route, 0 first.
    pub priority: u32,
    /// Endpoints that have had it already.
    pub excluded: Vec<InstanceId>,
    /// The parts of its prompt in order; empty for plain requests.
    pub prompt: Vec<PromptSection>,
    /// The share of the prompt that no turn before held, as far as it is known; 1 for a first turn.
    pub new_prompt_fraction: f64,
    /// The endpoint that ran the turn before.
    pub hint: Option<InstanceId>,
    /// The program that it belongs to.
    pub program: Option<ProgramId>,
    /// What it costs if the endpoint gives no good answer: the time-out of the try.
    pub time_out: Span,
}

/// A place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The answer to an [`PlacementRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent to this endpoint now; a slot is taken.
    Granted(InstanceId),
    /// All endpoints are full: it waits for a [`Grant`].
    Queued(Ticket),
    /// It does not go.
    Rejected(RejectionReason),
}

/// Why a request does not go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// No endpoint is ready that has not had the request already.
    NoEndpoint,
    /// Too many wait already.
    QueueFull,
}

/// A waiting request may go: a slot at the endpoint is taken for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Whose turn it is.
    pub ticket: Ticket,
    /// Where it belongs.
    pub destination: Destination,
    /// The endpoint; `None` if there is no endpoint left for it.
    pub endpoint: Option<InstanceId>,
}

/// What is known of a ready endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Its life.
    pub id: InstanceId,
    /// Its service.
    pub service: ServiceName,
    /// Its zone.
    pub zone: Arc<str>,
    /// Requests that it works on at a time.
    pub capacity: u32,
}
