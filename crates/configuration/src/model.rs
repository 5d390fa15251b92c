//! A configuration that has passed every check.

use std::fmt;
use std::sync::Arc;

use juniperwing_clock::Span;
use juniperwing_protocol::identity::ServiceName;

use crate::findings::{Findings, Location, Problem};

/// For how long turns are kept where the operator does not say.
pub const DEFAULT_RETENTION: Span = Span::from_millis(60_000);

/// The limits where the operator gives none, or gives 0.
pub const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout: Span::from_millis(3_000),
    idle_timeout: Span::from_millis(15_000),
};

/// The operator's configuration. Every service that a route names is in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its number; configurations climb.
    pub generation: u64,
    /// The routes, no two with the same host and prefix.
    pub routes: Vec<Arc<Route>>,
    /// The services, no two with the same name.
    pub services: Vec<Arc<Service>>,
    /// What clients may send, and how slowly.
    pub limits: Limits,
}

impl Configuration {
    /// Whether this may follow the configuration that is in force, whose generation is `current` (0 if there
    /// is none).
    ///
    /// # Errors
    ///
    /// One finding, if its own generation is not above.
    pub fn check_generation_follows(&self, current: u64) -> Result<(), Findings> {
        let generation = self.generation;
        if generation > current {
            return Ok(());
        }
        Err(Findings::one(
            Location::field("generation"),
            Problem::GenerationNotIncreased { generation, current },
        ))
    }
}

/// The name of a route.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteName(pub Arc<str>);

impl fmt::Display for RouteName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The name of a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelName(pub Arc<str>);

/// What a route's requests are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteType {
    /// Answered with a series of events.
    Streaming {
        /// Whether a stream may be taken up at another endpoint.
        resumable: bool,
    },
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
}

impl RouteType {
    /// Whether a request may run more than once.
    pub fn is_retryable(self) -> bool {
        match self {
            RouteType::Streaming { resumable } => resumable,
            RouteType::Idempotent => true,
            RouteType::NonIdempotent => false,
        }
    }

    /// Whether the answer is a series of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, RouteType::Streaming { .. })
    }
}

/// Which requests go to which services, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name; may be empty.
    pub name: RouteName,
    /// The host, in lower case and without a port.
    pub hostname: Arc<str>,
    /// What the path begins with; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What its requests are.
    pub route_type: RouteType,
    /// The longest that a request may be held; above 0.
    pub timeout: Span,
    /// The time within which an answer earns its full worth.
    pub target_latency: Option<Span>,
    /// The rank, 0 first.
    pub priority: u32,
    /// The services with their shares.
    pub services: WeightedServices,
    /// The greatest number of endpoints to which one try may be sent; at least 1.
    pub max_retries: u32,
    /// Whether turns are kept.
    pub stores_turns: bool,
    /// How long they are kept from the end of the answer on.
    pub retention: Span,
    /// Whether requests share parts of their prompts.
    pub session_affinity: bool,
    /// The longest pause between events of an answer in time.
    pub target_event_gap: Option<Span>,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_retryable(&self) -> bool {
        self.route_type.is_retryable()
    }

    /// The service for a request, given an evenly distributed random number; never one with weight 0.
    pub fn service_for(&self, random: u64) -> &ServiceName {
        self.services.choose(random)
    }
}

/// A service and its share of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight, above 0; the share is this against the sum.
    pub weight: f64,
}

/// The services of a route that receive requests: at least one, all with a weight above 0.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedServices {
    /// All services but the last.
    others: Vec<WeightedService>,
    /// The last.
    last: WeightedService,
    /// The sum of all weights.
    total: f64,
}

impl WeightedServices {
    /// The services with a weight above 0; `None` if there is none.
    pub(crate) fn new(services: Vec<WeightedService>) -> Option<Self> {
        let mut others = services;
        others.retain(|service| service.weight > 0.0);
        let total = others.iter().map(|service| service.weight).sum();
        let last = others.pop()?;
        Some(WeightedServices { others, last, total })
    }

    /// The services in the operator's order.
    pub fn iter(&self) -> impl Iterator<Item = &WeightedService> {
        self.others.iter().chain([&self.last])
    }

    /// A service by an evenly distributed random number.
    pub fn choose(&self, random: u64) -> &ServiceName {
        let mut remaining = random as f64 / u64::MAX as f64 * self.total;
        for candidate in &self.others {
            if remaining < candidate.weight {
                return &candidate.service;
            }
            remaining -= candidate.weight;
        }
        &self.last.service
    }
}

/// A service: endpoints that are alike in what they do.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The path of health checks.
    pub health_check: Option<Arc<str>>,
    /// Connections that one endpoint accepts from all callers together; `None` if that is not known.
    pub max_connections: Option<u32>,
    /// What its endpoints speak (`h1`), as the operator puts it.
    pub protocol: Option<Arc<str>>,
    /// Whether its endpoints speak it over TLS.
    pub tls: bool,
    /// The engine, if these are model endpoints.
    pub engine: Option<Engine>,
}

/// The engine of model endpoints. `None` stands for what the operator did not tell.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests in a batch.
    pub capacity: Option<u32>,
    /// Tokens that the memory holds.
    pub kv_tokens: Option<u64>,
    /// Bytes of memory for a token.
    pub kv_bytes: Option<u64>,
    /// The speed of an endpoint's link, in Mbit/s.
    pub link_mbps: Option<f64>,
    /// Tokens in an event of a stream; at least 1.
    pub tokens_per_event: u32,
    /// The models served.
    pub models: Vec<ModelName>,
}

/// What clients may send, and how slowly. None of these is 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub max_header_bytes: u64,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// The longest that a head may take.
    pub header_timeout: Span,
    /// The longest that a connection may rest.
    pub idle_timeout: Span,
}
