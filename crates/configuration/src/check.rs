//! Checks messages and turns them into the model. Every check goes on after a finding.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;
use std::sync::Arc;

use juniperwing_clock::Span;
use juniperwing_protocol::identity::ServiceName;

use crate::findings::{Findings, Location, Problem, excerpt};
use crate::message::{
    BackendMessage, ConfigurationMessage, EngineMessage, LimitsMessage, RouteMessage, WeightedBackendMessage,
};
use crate::model::{
    Configuration, DEFAULT_LIMITS, DEFAULT_RETENTION, Engine, Limits, ModelName, Route, RouteName, RouteType,
    Service, WeightedService, WeightedServices,
};
use crate::table::normalize_host;

/// The longest span that makes sense, in milliseconds: a year of 366 days.
const MAX_SPAN_MS: f64 = 366.0 * 86_400_000.0;
/// The greatest weight, rank, count of endpoints, connections or requests.
const MAX_COUNT: f64 = u32::MAX as f64;
/// The greatest number of bytes or tokens; doubles are exact up to here.
const MAX_AMOUNT: f64 = (1_u64 << 53) as f64;

/// The part of a configuration that a field is in.
#[derive(Clone, Copy)]
enum Section {
    Route(usize),
    Weight(usize, usize),
    Backend(usize),
    Engine(usize),
    Limits,
}

impl Section {
    /// The place of one of its fields.
    fn field(self, name: &str) -> Location {
        Location::field(format!("{self}.{name}"))
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Section::Route(route) => write!(f, "routes[{route}]"),
            Section::Weight(route, weight) => write!(f, "routes[{route}].weightedBackends[{weight}]"),
            Section::Backend(backend) => write!(f, "backends[{backend}]"),
            Section::Engine(backend) => write!(f, "backends[{backend}].engine"),
            Section::Limits => f.write_str("limits"),
        }
    }
}

/// Checks a whole configuration.
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

/// A host and a prefix, by which routes must differ.
#[derive(PartialEq, Eq, Hash)]
struct RouteKey {
    hostname: Arc<str>,
    path_prefix: Arc<str>,
}

/// What has been seen so far, and what was wrong with it.
#[derive(Default)]
struct Checker {
    findings: Findings,
    /// The services by name, with their places in the list.
    services: HashMap<ServiceName, usize>,
    /// The routes by host and prefix, with their places in the list.
    routes: HashMap<RouteKey, usize>,
}

impl Checker {
    fn generation(&mut self, generation: Option<u64>) -> u64 {
        if generation.is_none() {
            self.findings.add(Location::field("generation"), Problem::Missing);
        }
        generation.unwrap_or_default()
    }

    fn limits(&mut self, message: LimitsMessage) -> Limits {
        let part = Section::Limits;
        let header_bytes = self.amount(part, "maxHeaderBytes", message.max_header_bytes);
        let body_bytes = self.amount(part, "maxBodyBytes", message.max_body_bytes);
        let header_timeout = self.span_ms(part, "headerTimeoutMs", message.header_timeout_ms);
        let idle_timeout = self.span_ms(part, "idleTimeoutMs", message.idle_timeout_ms);
        Limits {
            max_header_bytes: header_bytes.unwrap_or(DEFAULT_LIMITS.max_header_bytes),
            max_body_bytes: body_bytes.unwrap_or(DEFAULT_LIMITS.max_body_bytes),
            header_timeout: header_timeout.unwrap_or(DEFAULT_LIMITS.header_timeout),
            idle_timeout: idle_timeout.unwrap_or(DEFAULT_LIMITS.idle_timeout),
        }
    }

    fn services(&mut self, messages: Vec<BackendMessage>) -> Vec<Arc<Service>> {
        let mut services = Vec::with_capacity(messages.len());
        for (index, message) in messages.into_iter().enumerate() {
            services.push(Arc::new(self.service(index, message)));
        }
        services
    }

    fn service(&mut self, index: usize, message: BackendMessage) -> Service {
        let part = Section::Backend(index);
        let name = ServiceName(self.text(part, "name", message.name));
        self.note_service(index, &name);
        Service {
            name,
            health_check: message.health_check.filter(|path| !path.is_empty()).map(Arc::from),
            max_connections: self.count(part, "maxConnections", message.max_connections),
            protocol: message.protocol.filter(|protocol| !protocol.is_empty()).map(Arc::from),
            tls: message.tls.unwrap_or(false),
            engine: message.engine.map(|engine| self.engine(index, engine)),
        }
    }

    /// Remembers a service's name and reports it if another has it.
    fn note_service(&mut self, index: usize, name: &ServiceName) {
        if name.0.is_empty() {
            return;
        }
        match self.services.entry(name.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(index);
            }
            Entry::Occupied(entry) => {
                let problem = Problem::DuplicateService { first: *entry.get() };
                self.findings.add(Section::Backend(index).field("name"), problem);
            }
        }
    }

    fn engine(&mut self, backend: usize, message: EngineMessage) -> Engine {
        let part = Section::Engine(backend);
        let models = message.models.into_iter().filter_map(|model| model.name);
        Engine {
            capacity: self.count(part, "capacity", message.capacity),
            kv_tokens: self.amount(part, "kvTokens", message.kv_tokens),
            kv_bytes: self.amount(part, "kvBytes", message.kv_bytes),
            link_mbps: self.number(part, "linkMbps", message.link_mbps, MAX_AMOUNT),
            tokens_per_event: self.count(part, "stride", message.stride).unwrap_or(1),
            models: models.map(|name| ModelName(name.into())).collect(),
        }
    }

    fn routes(&mut self, messages: Vec<RouteMessage>) -> Vec<Arc<Route>> {
        let mut routes = Vec::with_capacity(messages.len());
        for (index, message) in messages.into_iter().enumerate() {
            routes.extend(self.route(index, message).map(Arc::new));
        }
        routes
    }

    /// A route; `None` only if something was found.
    fn route(&mut self, index: usize, message: RouteMessage) -> Option<Route> {
        let part = Section::Route(index);
        let hostname = self.hostname(part, message.hostname);
        let path_prefix = self.path_prefix(part, message.path_prefix);
        self.note_route(index, &hostname, &path_prefix);
        let resumable = message.resumable.unwrap_or(false);
        let route_type = self.route_type(part, message.route_type, resumable);
        let timeout = self.timeout(part, message.timeout_ms);
        let target_latency = self.span_ms(part, "targetLatencyMs", message.target_latency_ms);
        let priority = self.count(part, "priority", message.priority).unwrap_or(0);
        let services = self.targets(index, message.backend, message.weighted_backends);
        let max_retries = self.count(part, "maxRetries", message.max_retries).unwrap_or(1);
        let retention = self.retention(part, message.retention_s);
        let target_event_gap = self.span_ms(part, "gap_aim_ms", message.gap_aim_ms);
        Some(Route {
            name: RouteName(message.name.unwrap_or_default().into()),
            hostname,
            path_prefix,
            route_type,
            timeout,
            target_latency,
            priority,
            services: services?,
            max_retries,
            stores_turns: message.kept.unwrap_or(false),
            retention,
            session_affinity: message.session_affinity.unwrap_or(false),
            target_event_gap,
        })
    }

    /// A host in lower case and without its port.
    fn hostname(&mut self, part: Section, hostname: Option<String>) -> Arc<str> {
        let hostname = hostname.map(|hostname| normalize_host(&hostname).into_owned());
        self.text(part, "hostname", hostname)
    }

    fn path_prefix(&mut self, part: Section, prefix: Option<String>) -> Arc<str> {
        let prefix = self.text(part, "pathPrefix", prefix);
        let well_formed = prefix.starts_with('/') && prefix.ends_with('/');
        if !prefix.is_empty() && !well_formed {
            let problem = Problem::PrefixWithoutSlash { prefix: excerpt(&prefix) };
            self.findings.add(part.field("pathPrefix"), problem);
        }
        prefix
    }

    /// Remembers a route's host and prefix and reports it if another has both.
    fn note_route(&mut self, index: usize, hostname: &Arc<str>, path_prefix: &Arc<str>) {
        if hostname.is_empty() || path_prefix.is_empty() {
            return;
        }
        let key = RouteKey { hostname: hostname.clone(), path_prefix: path_prefix.clone() };
        match self.routes.entry(key) {
            Entry::Vacant(entry) => {
                entry.insert(index);
            }
            Entry::Occupied(entry) => {
                let problem = Problem::DuplicateRoute { first: *entry.get() };
                self.findings.add(Section::Route(index).field("pathPrefix"), problem);
            }
        }
    }

    /// The type of a route; the one that allows least if none is given.
    fn route_type(&mut self, part: Section, value: Option<String>, resumable: bool) -> RouteType {
        match value.as_deref() {
            Some("streaming") => RouteType::Streaming { resumable },
            Some("idempotent") => RouteType::Idempotent,
            Some("non_idempotent") | None => RouteType::NonIdempotent,
            Some(other) => {
                let problem = Problem::UnknownRouteType { value: excerpt(other) };
                self.findings.add(part.field("routeType"), problem);
                RouteType::NonIdempotent
            }
        }
    }

    fn timeout(&mut self, part: Section, timeout_ms: Option<f64>) -> Span {
        match timeout_ms {
            None => self.findings.add(part.field("timeoutMs"), Problem::Missing),
            Some(0.0) => self.findings.add(part.field("timeoutMs"), Problem::Zero),
            Some(_) => {}
        }
        self.span_ms(part, "timeoutMs", timeout_ms).unwrap_or(Span::ZERO)
    }

    fn retention(&mut self, part: Section, retention_s: Option<f64>) -> Span {
        let Some(retention_s) = retention_s else { return DEFAULT_RETENTION };
        let retention = self.number(part, "retentionS", Some(retention_s), MAX_SPAN_MS / 1e3);
        Span::from_secs_f64(retention.unwrap_or(0.0))
    }

    /// The services of a route; `None` only if something was found.
    fn targets(
        &mut self, route: usize, backend: Option<String>, weights: Vec<WeightedBackendMessage>,
    ) -> Option<WeightedServices> {
        if weights.is_empty() {
            return self.only_target(route, backend);
        }
        if !weights.iter().any(|target| target.weight.is_some_and(|weight| weight > 0.0)) {
            self.findings.add(Section::Route(route).field("weightedBackends"), Problem::NoWeight);
        }
        let targets = weights.into_iter().enumerate();
        let targets = targets.filter_map(|(index, weight)| self.target(route, index, weight)).collect();
        WeightedServices::new(targets)
    }

    fn only_target(&mut self, route: usize, backend: Option<String>) -> Option<WeightedServices> {
        let part = Section::Route(route);
        let Some(name) = backend.filter(|name| !name.is_empty()) else {
            self.findings.add(part.field("backend"), Problem::NoService);
            return None;
        };
        let service = self.known_service(part, &name)?;
        WeightedServices::new(vec![WeightedService { service, weight: 1.0 }])
    }

    /// A service with its weight, which may be 0.
    fn target(
        &mut self, route: usize, index: usize, message: WeightedBackendMessage,
    ) -> Option<WeightedService> {
        let part = Section::Weight(route, index);
        let weight = self.number(part, "weight", message.weight, MAX_COUNT);
        let name = self.text(part, "backend", message.backend);
        if name.is_empty() {
            return None;
        }
        let service = self.known_service(part, &name)?;
        Some(WeightedService { service, weight: weight.unwrap_or(0.0) })
    }

    /// The service of this name, sharing the name's memory.
    fn known_service(&mut self, part: Section, name: &str) -> Option<ServiceName> {
        let known = self.services.get_key_value(&ServiceName::from(name));
        if known.is_none() {
            let problem = Problem::UnknownService { name: excerpt(name) };
            self.findings.add(part.field("backend"), problem);
        }
        known.map(|(name, _)| name.clone())
    }

    /// A text that has to be there and to say something; empty if it does not.
    fn text(&mut self, part: Section, field: &str, value: Option<String>) -> Arc<str> {
        match value.as_deref() {
            None => self.findings.add(part.field(field), Problem::Missing),
            Some("") => self.findings.add(part.field(field), Problem::Empty),
            Some(_) => {}
        }
        value.unwrap_or_default().into()
    }

    /// A span in milliseconds; `None` if it is missing or 0.
    fn span_ms(&mut self, part: Section, field: &str, value: Option<f64>) -> Option<Span> {
        let millis = self.number(part, field, value, MAX_SPAN_MS)?;
        let span = Span::from_secs_f64(millis / 1e3);
        // A tiny span stays one: only 0 itself means "not given".
        Some(span.max(Span::from_nanos(1)))
    }

    /// A whole number for counting; `None` if it is missing or 0.
    fn count(&mut self, part: Section, field: &str, value: Option<f64>) -> Option<u32> {
        self.whole(part, field, value, MAX_COUNT).map(|count| count as u32)
    }

    /// A whole number of bytes or tokens; `None` if it is missing or 0.
    fn amount(&mut self, part: Section, field: &str, value: Option<f64>) -> Option<u64> {
        self.whole(part, field, value, MAX_AMOUNT)
    }

    /// A whole number; `None` if it is missing or 0.
    fn whole(&mut self, part: Section, field: &str, value: Option<f64>, most: f64) -> Option<u64> {
        let value = self.number(part, field, value, most)?;
        if value.fract() != 0.0 {
            self.findings.add(part.field(field), Problem::NotInteger { value });
            return None;
        }
        Some(value as u64)
    }

    /// A number from 0 to `most`; `None` if it is missing or 0, or was found to be outside.
    fn number(&mut self, part: Section, field: &str, value: Option<f64>, most: f64) -> Option<f64> {
        let value = value?;
        if value < 0.0 {
            self.findings.add(part.field(field), Problem::Negative { value });
            return None;
        }
        if value > most {
            self.findings.add(part.field(field), Problem::NumberTooLarge { value, most });
            return None;
        }
        Some(value).filter(|value| *value > 0.0)
    }
}
