//! Sections of a configuration, identified by their indexes.

use std::fmt;

use crate::location::Location;

/// The JSON object that a field belongs to.
#[derive(Clone, Copy)]
pub(super) enum Section {
    Route(usize),
    /// A weighted service of a route: the index of the route, and that of the service within the route.
    WeightedService(usize, usize),
    Service(usize),
    /// The engine of a service.
    Engine(usize),
    Limits,
}

impl Section {
    /// The location of a field of this section.
    pub(super) fn field(self, name: &str) -> Location {
        Location::field(format!("{self}.{name}"))
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Section::Route(route) => write!(f, "routes[{route}]"),
            Section::WeightedService(route, index) => write!(f, "routes[{route}].weightedBackends[{index}]"),
            Section::Service(service) => write!(f, "backends[{service}]"),
            Section::Engine(service) => write!(f, "backends[{service}].engine"),
            Section::Limits => f.write_str("limits"),
        }
    }
}
