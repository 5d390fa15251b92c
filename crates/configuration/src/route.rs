//! The routes of a configuration.

use std::fmt;
use std::sync::Arc;

use juniperwing_clock::Span;
use juniperwing_protocol::identity::ServiceName;

use crate::weighted_services::WeightedServices;

/// The name of a route.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteName(pub Arc<str>);

impl fmt::Display for RouteName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What the requests of a route are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteType {
    /// The response is a stream of events.
    Streaming {
        /// Whether a stream may be resumed at another endpoint.
        resumable: bool,
    },
    /// A request may be executed more than once.
    Idempotent,
    /// A request may be executed at most once.
    NonIdempotent,
}

impl RouteType {
    /// Whether a request may be executed more than once.
    pub fn is_retryable(self) -> bool {
        match self {
            RouteType::Streaming { resumable } => resumable,
            RouteType::Idempotent => true,
            RouteType::NonIdempotent => false,
        }
    }

    /// Whether the response is a stream of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, RouteType::Streaming { .. })
    }
}

/// Which requests go to which services, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name; may be empty.
    pub name: RouteName,
    /// The host, in lower case and without a port.
    pub hostname: Arc<str>,
    /// The prefix of the path; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What the requests are.
    pub route_type: RouteType,
    /// The longest that a request may take; greater than 0.
    pub timeout: Span,
    /// The latency within which a response has its full value (the service level objective).
    pub target_latency: Option<Span>,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The services with their weights.
    pub services: WeightedServices,
    /// The number of endpoints to which a request may be sent; at least 1.
    pub max_retries: u32,
    /// Whether turns are stored.
    pub stores_turns: bool,
    /// For how long turns are stored from the end of the response on.
    pub retention: Span,
    /// Whether requests share sections of their prompts.
    pub session_affinity: bool,
    /// The longest gap between events of a response that is in time.
    pub target_event_gap: Option<Span>,
}

impl Route {
    /// Whether a request may be executed more than once.
    pub fn is_retryable(&self) -> bool {
        self.route_type.is_retryable()
    }

    /// The service for a request, given a uniformly distributed random number; never one with weight 0.
    pub fn service_for(&self, random: u64) -> &ServiceName {
        self.services.choose(random)
    }
}
