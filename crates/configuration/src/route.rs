//! Routes of a configuration.

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

/// The type of a route, which determines whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteType {
    /// The response is a stream of events.
    Streaming {
        /// Whether a stream may be resumed from another endpoint.
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

/// Assigns the requests for a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name; may be empty.
    pub name: RouteName,
    /// The host, in lower case and without a port.
    pub hostname: Arc<str>,
    /// The prefix of the path; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// The type, which determines whether a request may be executed more than once.
    pub route_type: RouteType,
    /// The timeout of a request; greater than 0.
    pub timeout: Span,
    /// The latency objective of a response (service level objective).
    pub target_latency: Option<Span>,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The services with their weights.
    pub services: WeightedServices,
    /// The maximum number of endpoints to which a request is sent; at least 1.
    pub max_retries: u32,
    /// Whether turns are stored.
    pub stores_turns: bool,
    /// How long turns are stored after the end of the response.
    pub retention: Span,
    /// Whether requests share sections of their prompts.
    pub session_affinity: bool,
    /// The objective for the gap between events of a stream.
    pub target_event_gap: Option<Span>,
}

impl Route {
    /// Whether a request may be executed more than once.
    pub fn is_retryable(&self) -> bool {
        self.route_type.is_retryable()
    }

    /// Chooses the service for a request by a uniformly distributed random number; never one with weight 0.
    pub fn service_for(&self, random: u64) -> &ServiceName {
        self.services.choose(random)
    }
}
