//! The weighted services of a route, and the random choice among them.

use juniperwing_protocol::identity::ServiceName;

/// A service of a route with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// The weight, greater than 0; the share of the requests is the weight divided by the sum of all weights.
    pub weight: f64,
}

/// The services of a route that receive requests: at least one, all with a weight greater than 0.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedServices {
    /// All services except the last.
    others: Vec<WeightedService>,
    last: WeightedService,
    total_weight: f64,
}

impl WeightedServices {
    /// Retains the services with a weight greater than 0; `None` if there is none.
    pub(crate) fn new(services: Vec<WeightedService>) -> Option<Self> {
        let mut others = services;
        others.retain(|service| service.weight > 0.0);
        let total_weight = others.iter().map(|service| service.weight).sum();
        let last = others.pop()?;
        Some(WeightedServices { others, last, total_weight })
    }

    /// The services in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &WeightedService> {
        self.others.iter().chain([&self.last])
    }

    /// Chooses a service by a uniformly distributed random number, in proportion to the weights.
    pub fn choose(&self, random: u64) -> &ServiceName {
        let mut remaining = random as f64 / u64::MAX as f64 * self.total_weight;
        for candidate in &self.others {
            if remaining < candidate.weight {
                return &candidate.service;
            }
            remaining -= candidate.weight;
        }
        &self.last.service
    }
}
