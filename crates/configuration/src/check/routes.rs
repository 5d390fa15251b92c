//! Validates routes.

use std::collections::btree_map::Entry;
use std::sync::Arc;

use juniperwing_clock::Span;
use juniperwing_protocol::identity::ServiceName;

use super::Checker;
use super::fields::{MAX_COUNT, MAX_DURATION_MS};
use super::section::Section;
use crate::message::{RouteMessage, WeightedBackendMessage};
use crate::model::DEFAULT_RETENTION;
use crate::problem::{Problem, excerpt};
use crate::route::{Route, RouteName, RouteType};
use crate::table::normalize_host;
use crate::weighted_services::{WeightedService, WeightedServices};

/// Host and path prefix, which together identify a route.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RouteKey {
    hostname: Arc<str>,
    path_prefix: Arc<str>,
}

impl Checker {
    pub(super) fn routes(&mut self, messages: Vec<RouteMessage>) -> Vec<Arc<Route>> {
        let mut routes = Vec::with_capacity(messages.len());
        for (index, message) in messages.into_iter().enumerate() {
            routes.extend(self.route(index, message).map(Arc::new));
        }
        routes
    }

    /// Converts a route; `None` only after a finding.
    fn route(&mut self, index: usize, message: RouteMessage) -> Option<Route> {
        let section = Section::Route(index);
        let hostname = self.hostname(section, message.hostname);
        let path_prefix = self.path_prefix(section, message.path_prefix);
        self.register_route(index, &hostname, &path_prefix);
        let resumable = message.resumable.unwrap_or(false);
        let route_type = self.route_type(section, message.route_type, resumable);
        let timeout = self.timeout(section, message.timeout_ms);
        let target_latency = self.duration_ms(section, "targetLatencyMs", message.target_latency_ms);
        let priority = self.count(section, "priority", message.priority).unwrap_or(0);
        let services = self.weighted_services(index, message.backend, message.weighted_backends);
        let max_retries = self.count(section, "maxRetries", message.max_retries).unwrap_or(1);
        let retention = self.retention(section, message.retention_s);
        let target_event_gap = self.duration_ms(section, "gap_aim_ms", message.gap_aim_ms);
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

    /// Normalizes a host to lower case without its port.
    fn hostname(&mut self, section: Section, hostname: Option<String>) -> Arc<str> {
        let hostname = hostname.map(|hostname| normalize_host(&hostname).into_owned());
        self.required_string(section, "hostname", hostname)
    }

    fn path_prefix(&mut self, section: Section, prefix: Option<String>) -> Arc<str> {
        let prefix = self.required_string(section, "pathPrefix", prefix);
        let is_well_formed = prefix.starts_with('/') && prefix.ends_with('/');
        if !prefix.is_empty() && !is_well_formed {
            let problem = Problem::PrefixWithoutSlash { prefix: excerpt(&prefix) };
            self.findings.add(section.field("pathPrefix"), problem);
        }
        prefix
    }

    /// Registers a route by its host and prefix; a duplicate is a finding.
    fn register_route(&mut self, index: usize, hostname: &Arc<str>, path_prefix: &Arc<str>) {
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

    /// Parses the type of a route; the default is the most restrictive one.
    fn route_type(&mut self, section: Section, value: Option<String>, resumable: bool) -> RouteType {
        match value.as_deref() {
            Some("streaming") => RouteType::Streaming { resumable },
            Some("idempotent") => RouteType::Idempotent,
            Some("non_idempotent") | None => RouteType::NonIdempotent,
            Some(other) => {
                let problem = Problem::UnknownRouteType { value: excerpt(other) };
                self.findings.add(section.field("routeType"), problem);
                RouteType::NonIdempotent
            }
        }
    }

    fn timeout(&mut self, section: Section, timeout_ms: Option<f64>) -> Span {
        match timeout_ms {
            None => self.findings.add(section.field("timeoutMs"), Problem::Missing),
            Some(0.0) => self.findings.add(section.field("timeoutMs"), Problem::Zero),
            Some(_) => {}
        }
        self.duration_ms(section, "timeoutMs", timeout_ms).unwrap_or(Span::ZERO)
    }

    fn retention(&mut self, section: Section, retention_s: Option<f64>) -> Span {
        let Some(retention_s) = retention_s else { return DEFAULT_RETENTION };
        let retention = self.number(section, "retentionS", Some(retention_s), MAX_DURATION_MS / 1e3);
        Span::from_secs_f64(retention.unwrap_or(0.0))
    }

    /// Resolves the services of a route; `None` only after a finding.
    fn weighted_services(
        &mut self, route: usize, backend: Option<String>, weighted: Vec<WeightedBackendMessage>,
    ) -> Option<WeightedServices> {
        if weighted.is_empty() {
            return self.single_service(route, backend);
        }
        if !weighted.iter().any(|service| service.weight.is_some_and(|weight| weight > 0.0)) {
            self.findings.add(Section::Route(route).field("weightedBackends"), Problem::NoWeight);
        }
        let services = weighted.into_iter().enumerate();
        let services =
            services.filter_map(|(index, message)| self.weighted_service(route, index, message)).collect();
        WeightedServices::new(services)
    }

    fn single_service(&mut self, route: usize, backend: Option<String>) -> Option<WeightedServices> {
        let section = Section::Route(route);
        let Some(name) = backend.filter(|name| !name.is_empty()) else {
            self.findings.add(section.field("backend"), Problem::NoService);
            return None;
        };
        let service = self.resolve_service(section, &name)?;
        WeightedServices::new(vec![WeightedService { service, weight: 1.0 }])
    }

    /// Resolves a service and checks its weight, which may be 0.
    fn weighted_service(
        &mut self, route: usize, index: usize, message: WeightedBackendMessage,
    ) -> Option<WeightedService> {
        let section = Section::WeightedService(route, index);
        let weight = self.number(section, "weight", message.weight, MAX_COUNT);
        let name = self.required_string(section, "backend", message.backend);
        if name.is_empty() {
            return None;
        }
        let service = self.resolve_service(section, &name)?;
        Some(WeightedService { service, weight: weight.unwrap_or(0.0) })
    }

    /// Looks up a service and returns its registered name, whose allocation all references share.
    fn resolve_service(&mut self, section: Section, name: &str) -> Option<ServiceName> {
        let registered = self.services.get_key_value(&ServiceName::from(name));
        if registered.is_none() {
            let problem = Problem::UnknownService { name: excerpt(name) };
            self.findings.add(section.field("backend"), problem);
        }
        registered.map(|(name, _)| name.clone())
    }
}
