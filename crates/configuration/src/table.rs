//! Finds the route of a request.

use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use juniperwing_protocol::identity::ServiceName;

use crate::model::{Configuration, Limits, Route, Service};

/// The routes and services of one configuration, ready for look-ups. It never changes; another configuration
/// makes another table.
#[derive(Clone, Debug)]
pub struct RouteTable {
    generation: u64,
    limits: Limits,
    hosts: HashMap<Arc<str>, HostRoutes>,
    services: HashMap<ServiceName, Arc<Service>>,
}

/// The routes of one host.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    routes: HashMap<Arc<str>, Arc<Route>>,
    /// The lengths that its prefixes have, in bytes, the longest first, each once.
    lengths: Vec<usize>,
}

impl RouteTable {
    /// The table of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut hosts: HashMap<Arc<str>, HostRoutes> = HashMap::new();
        for route in &configuration.routes {
            let host = hosts.entry(route.hostname.clone()).or_default();
            host.add(route.clone());
        }
        hosts.values_mut().for_each(HostRoutes::sort_lengths);
        let services = configuration.services.iter();
        let services = services.map(|service| (service.name.clone(), service.clone())).collect();
        let Configuration { generation, limits, .. } = *configuration;
        RouteTable { generation, limits, hosts, services }
    }

    /// The generation of the configuration.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// What clients may send, and how slowly.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The route with the longest prefix that begins the path, of those of the host. `host` is a `Host`
    /// header, with or without a port, in any case; `path` is a request's target, with or without a query.
    pub fn lookup(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = self.hosts.get(normalize_host(host).as_ref())?;
        host.lookup(path_only(path))
    }
}

impl HostRoutes {
    fn add(&mut self, route: Arc<Route>) {
        self.lengths.push(route.path_prefix.len());
        self.routes.insert(route.path_prefix.clone(), route);
    }

    fn sort_lengths(&mut self) {
        self.lengths.sort_unstable_by_key(|length| Reverse(*length));
        self.lengths.dedup();
    }

    /// Looks for each part of the path that ends with a slash and has the length of a prefix.
    fn lookup(&self, path: &str) -> Option<&Arc<Route>> {
        for &length in &self.lengths {
            // A prefix ends with a slash, so the path is cut between characters.
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

/// A host in lower case, without white space around it and without its port.
pub(crate) fn normalize_host(host: &str) -> Cow<'_, str> {
    let host = without_port(host.trim());
    match host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        true => Cow::Owned(host.to_ascii_lowercase()),
        false => Cow::Borrowed(host),
    }
}

/// A host without the colon and the digits at its end. The colons of an IPv6 address in brackets stay.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// A request's target up to its query.
fn path_only(target: &str) -> &str {
    let end = target.find(['?', '#']).unwrap_or(target.len());
    &target[..end]
}
