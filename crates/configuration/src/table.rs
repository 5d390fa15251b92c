//! Looks up the route of a request.

#![expect(clippy::disallowed_types, reason = "only looked up by key, for each request")]

use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use juniperwing_protocol::identity::ServiceName;

use crate::model::{Configuration, Limits};
use crate::route::Route;
use crate::service::Service;

/// The routes and services of one configuration, indexed for look-ups. It never changes: another configuration has
/// another table.
#[derive(Clone, Debug)]
pub struct RouteTable {
    generation: u64,
    limits: Limits,
    hosts: HashMap<Arc<str>, HostRoutes>,
    services: HashMap<ServiceName, Arc<Service>>,
}

/// The routes of one host by prefix.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    routes: HashMap<Arc<str>, Arc<Route>>,
    /// The lengths of the prefixes in bytes, in descending order and without duplicates.
    prefix_lengths: Vec<usize>,
}

impl RouteTable {
    /// The table of a configuration.
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

    /// The service with a name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The host's route with the longest prefix of the path. `host` is a `Host` header, with or without a port, in any
    /// case; `path` is a request target, with or without a query.
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

    /// Looks up every prefix of the path that ends with a slash and has the length of a route's prefix.
    fn lookup(&self, path: &str) -> Option<&Arc<Route>> {
        for &length in &self.prefix_lengths {
            // The slash at the end makes sure that the path is not split within a character.
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

/// A host in lower case, without surrounding white space and without its port.
pub(crate) fn normalize_host(host: &str) -> Cow<'_, str> {
    let host = without_port(host.trim());
    match host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        true => Cow::Owned(host.to_ascii_lowercase()),
        false => Cow::Borrowed(host),
    }
}

/// A host without the colon and the digits at its end. The colons of a bracketed IPv6 address remain.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// A request target up to its query.
fn without_query(target: &str) -> &str {
    let end = target.find(['?', '#']).unwrap_or(target.len());
    &target[..end]
}
