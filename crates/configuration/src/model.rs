//! A configuration that has passed every check.

use std::sync::Arc;

use juniperwing_clock::Span;

use crate::findings::Findings;
use crate::location::Location;
use crate::problem::Problem;
use crate::route::Route;
use crate::service::Service;

/// For how long turns are stored where the operator does not say.
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
    /// The operator's number, which increases from one configuration to the next.
    pub generation: u64,
    /// The routes, no two with the same host and prefix.
    pub routes: Vec<Arc<Route>>,
    /// The services, no two with the same name.
    pub services: Vec<Arc<Service>>,
    /// The limits for clients.
    pub limits: Limits,
}

impl Configuration {
    /// Checks whether this may follow the configuration in force, whose generation is `current` (0 if there is none).
    ///
    /// # Errors
    ///
    /// One finding, if its own generation is not greater.
    pub fn check_generation_follows(&self, current: u64) -> Result<(), Findings> {
        let generation = self.generation;
        if generation > current {
            return Ok(());
        }
        let problem = Problem::GenerationNotIncreased { generation, current };
        Err(Findings::single(Location::field("generation"), problem))
    }
}

/// The limits for clients. None of these is 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The size of the largest head of a request, in bytes.
    pub max_header_bytes: u64,
    /// The size of the largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// The longest that the head of a request may take.
    pub header_timeout: Span,
    /// The longest that a connection may be idle.
    pub idle_timeout: Span,
}
