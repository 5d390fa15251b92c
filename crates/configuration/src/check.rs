//! Validates a configuration message and converts it into the model. Validation continues after a finding, so that
//! all findings are reported together.

mod fields;
mod routes;
mod section;
mod services;

use std::collections::BTreeMap;

use juniperwing_protocol::identity::ServiceName;

use crate::findings::Findings;
use crate::location::Location;
use crate::message::{ConfigurationMessage, LimitsMessage};
use crate::model::{Configuration, DEFAULT_LIMITS, Limits};
use crate::problem::Problem;
use routes::RouteKey;
use section::Section;

/// Validates a configuration message.
///
/// # Errors
///
/// All findings.
pub(crate) fn check(message: ConfigurationMessage) -> Result<Configuration, Findings> {
    let mut checker = Checker::default();
    let generation = checker.generation(message.generation);
    let limits = checker.limits(message.limits.unwrap_or_default());
    let services = checker.services(message.backends);
    let routes = checker.routes(message.routes);
    if !checker.findings.is_empty() {
        return Err(checker.findings);
    }
    Ok(Configuration { generation, routes, services, limits })
}

/// The names registered so far, for detecting duplicates and unknown references, and the findings.
#[derive(Default)]
struct Checker {
    findings: Findings,
    /// Indexes of the services in the message.
    services: BTreeMap<ServiceName, usize>,
    /// Indexes of the routes in the message.
    routes: BTreeMap<RouteKey, usize>,
}

impl Checker {
    fn generation(&mut self, generation: Option<u64>) -> u64 {
        if generation.is_none() {
            self.findings.add(Location::field("generation"), Problem::Missing);
        }
        generation.unwrap_or_default()
    }

    fn limits(&mut self, message: LimitsMessage) -> Limits {
        let section = Section::Limits;
        let header_bytes = self.byte_or_token_count(section, "maxHeaderBytes", message.max_header_bytes);
        let body_bytes = self.byte_or_token_count(section, "maxBodyBytes", message.max_body_bytes);
        let header_timeout = self.duration_ms(section, "headerTimeoutMs", message.header_timeout_ms);
        let idle_timeout = self.duration_ms(section, "idleTimeoutMs", message.idle_timeout_ms);
        Limits {
            max_header_bytes: header_bytes.unwrap_or(DEFAULT_LIMITS.max_header_bytes),
            max_body_bytes: body_bytes.unwrap_or(DEFAULT_LIMITS.max_body_bytes),
            header_timeout: header_timeout.unwrap_or(DEFAULT_LIMITS.header_timeout),
            idle_timeout: idle_timeout.unwrap_or(DEFAULT_LIMITS.idle_timeout),
        }
    }
}
