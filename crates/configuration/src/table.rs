//! The routing table, in which the route of a request is looked up.

#![expect(clippy::disallowed_types, reason = "only looked up by key, for each request")]

use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use juniperwing_protocol::identity::ServiceName;

use crate::model::{Configuration, Limits};
use crate::route::Route;
use crate::service::Service;

/// The routes and services of one configuration, indexed for look-ups. It is immutable: each configuration has a table
/// of its own.
#[derive(Clone, Debug)]
pub struct RouteTable {
    generation: u64,
    limits: Limits,
    hosts: HashMap<Arc<str>, HostRoutes>,
    services: HashMap<ServiceName, Arc<Service>>,
}

/// The routes of one host, indexed by prefix.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    routes: HashMap<Arc<str>, Arc<Route>>,
    /// The lengths of the prefixes in bytes, in descending order and without duplicates.
    prefix_lengths: Vec<usize>,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut hosts: HashMap<Arc<str>, HostRoutes> = HashMap::new();
        for route in &configuration.routes {
            let host = hosts.entry(route.hostname.clone()).or_default();
            host.add(route.clone());
        }
        hosts.values_mut().for_each(HostRoutes::sort_prefix_lengths);
        let services = configuration.services.iter();
        let services = services.map(|service| (service.name.clone(), service.clone())).collect();
        let Configuration { generation, limits, .. } = *configuration;
        RouteTable { generation, limits, hosts, services }
    }

    /// The generation of the configuration.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The limits for clients.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Looks up a service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Looks up the route of the host with the longest matching path prefix. `host` is the value of a `Host` header, in
    /// any case, with or without a port; `path` is a request target, with or without a query.
    pub fn lookup(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = self.hosts.get(normalize_host(host).as_ref())?;
        host.lookup(without_query(path))
    }
}

impl HostRoutes {
    fn add(&mut self, route: Arc<Route>) {
        self.prefix_lengths.push(route.path_prefix.len());
        self.routes.insert(route.path_prefix.clone(), route);
    }

    fn sort_prefix_lengths(&mut self) {
        self.prefix_lengths.sort_unstable_by_key(|length| Reverse(*length));
        self.prefix_lengths.dedup();
    }

    /// Looks up the prefixes of the path that end with a slash and have the length of a route's prefix, longest first.
    fn lookup(&self, path: &str) -> Option<&Arc<Route>> {
        for &length in &self.prefix_lengths {
            // The slash at the end is a character boundary, so that slicing the path cannot panic.
            if length == 0 || path.as_bytes().get(length - 1) != Some(&b'/') {
                continue;
            }
            if let Some(route) = self.routes.get(&path[..length]) {
                return Some(route);
            }
        }
        None
    }
}

/// Normalizes a host: lower case, without surrounding white space and without its port.
pub(crate) fn normalize_host(host: &str) -> Cow<'_, str> {
    let host = without_port(host.trim());
    match host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        true => Cow::Owned(host.to_ascii_lowercase()),
        false => Cow::Borrowed(host),
    }
}

/// Strips a colon and digits from the end of a host. The colons of a bracketed IPv6 address remain.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Strips the query or fragment from a request target.
fn without_query(target: &str) -> &str {
    let end = target.find(['?', '#']).unwrap_or(target.len());
    &target[..end]
}
