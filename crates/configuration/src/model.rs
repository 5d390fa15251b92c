//! A validated configuration.

use std::sync::Arc;

use juniperwing_clock::Span;

use crate::findings::Findings;
use crate::location::Location;
use crate::problem::Problem;
use crate::route::Route;
use crate::service::Service;

/// How long turns are stored if the operator does not specify it.
pub const DEFAULT_RETENTION: Span = Span::from_millis(60_000);

/// Default limits, which also apply where the operator specifies 0.
pub const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout: Span::from_millis(3_000),
    idle_timeout: Span::from_millis(15_000),
};

/// The operator's configuration. Every service that a route names is defined in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The generation number that the operator assigned; it increases with each configuration.
    pub generation: u64,
    /// The routes; host and prefix are unique.
    pub routes: Vec<Arc<Route>>,
    /// The services; names are unique.
    pub services: Vec<Arc<Service>>,
    /// The limits for clients.
    pub limits: Limits,
}

impl Configuration {
    /// Checks whether this configuration may replace the one in force, whose generation is `current` (0 if there is none).
    ///
    /// # Errors
    ///
    /// A single finding if the generation is not greater than `current`.
    pub fn check_generation_follows(&self, current: u64) -> Result<(), Findings> {
        let generation = self.generation;
        if generation > current {
            return Ok(());
        }
        let problem = Problem::GenerationNotIncreased { generation, current };
        Err(Findings::single(Location::field("generation"), problem))
    }
}

/// The limits for clients; none is 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the header of a request, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of the body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Timeout for receiving the header of a request.
    pub header_timeout: Span,
    /// Timeout of idle connections.
    pub idle_timeout: Span,
}
