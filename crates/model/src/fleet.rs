//! The fleet of a run before its first event: topic types, destinations, endpoints, routes and relays, drawn from a
//! resolved scenario.
//!
//! Nothing here changes during a run, and nothing here depends on what a relay does.

mod allocation;
mod convert;
mod draw;

use std::sync::Arc;

use juniperwing::interface::{
    self, DestinationId, EndpointId, RelayConfig, RelayLimits, RuleParameters, TopicType,
};
use juniperwing::time::Span;

pub use allocation::allocate_by_weight;

use crate::limit::Limit;
use crate::random::RngStreams;
use crate::scenario::{Scenario, ServiceTimeDistribution};

/// A topic type, with the parameters of its service times.
#[derive(Clone, Debug)]
pub struct TopicPlan {
    /// The type as the core represents it.
    pub topic: Arc<TopicType>,
    /// Mean service time at a speed of 1, in seconds.
    pub mean_work_s: f64,
    /// Coefficient of variation of the work from one notification to another.
    pub work_cv: f64,
    /// The distribution of the work.
    pub work_distribution: ServiceTimeDistribution,
    /// Coefficient of variation of the service time from one attempt for a notification to the next.
    pub attempt_cv: f64,
}

/// A destination.
#[derive(Clone, Debug)]
pub struct DestinationPlan {
    /// Index of its kind.
    pub kind: usize,
    /// Index of its account.
    pub account: Option<usize>,
    /// Notifications a second at full load, by topic type.
    pub rates: Vec<f64>,
    /// Running sums of `rates`.
    pub cumulative_rates: Vec<f64>,
    /// Indices of its endpoints at the start.
    pub endpoints: Vec<usize>,
    /// The speed; service times are divided by it.
    pub speed: f64,
    /// Mean service time of its notifications at its speed, in seconds.
    pub mean_work_s: f64,
}

impl DestinationPlan {
    /// Notifications a second at full load, of all topic types.
    pub fn rate(&self) -> f64 {
        self.cumulative_rates.last().copied().unwrap_or(0.0)
    }
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct EndpointPlan {
    /// Its id on the endpoint list.
    pub id: EndpointId,
    /// Index of its destination.
    pub destination: usize,
    /// Index of its route.
    pub route: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Calls that it serves at once.
    pub servers: usize,
    /// Calls that may wait in its queue.
    pub queue_capacity: usize,
    /// Connections that it accepts.
    pub max_connections: usize,
    /// The fraction of calls that it answers with an error.
    pub error_rate: f64,
    /// The time between two load reports.
    pub report_interval: Span,
    /// The minimum age at which a load report is sent.
    pub report_delay: Span,
    /// Its position in the range of network delays, from 0 (nearest) to 1 (farthest).
    pub distance: f64,
}

/// How a route recovers its capacity after an outage.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// The fraction of the capacity right after the outage.
    pub initial_fraction: f64,
    /// How long until the full capacity is available; it rises linearly.
    pub duration: Span,
}

/// The unit that a rate limit, a retry-after and an outage apply to: a destination or, where its endpoints are
/// separate routes, one endpoint.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    /// The rate limit without faults.
    pub limit: Limit,
    /// Notifications a second when warm.
    pub capacity: f64,
    /// The recovery after an outage.
    pub warm_up: WarmUp,
    /// The rate that the endpoint list publishes for it.
    pub listed_rate: f64,
}

/// A relay.
#[derive(Clone, Debug)]
pub struct RelayPlan {
    /// Its fraction of the traffic.
    pub traffic_share: f64,
    /// Index of its zone.
    pub zone: usize,
    /// Its limits.
    pub limits: RelayLimits,
    /// Its position in the range of network delays, from 0 (nearest) to 1 (farthest).
    pub distance: f64,
    /// The seed of its policy.
    pub seed: u64,
}

/// The components of a run. Destinations, endpoints, routes and relays are identified by their indices in these lists.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Topic types.
    pub topics: Vec<TopicPlan>,
    /// Kinds of destination, as the core represents them.
    pub kinds: Vec<Arc<interface::DestinationKind>>,
    /// Names of zones.
    pub zones: Vec<Arc<str>>,
    /// Accounts, as the core represents them.
    pub accounts: Vec<Arc<interface::Account>>,
    /// Destinations, by descending traffic.
    pub destinations: Vec<DestinationPlan>,
    /// Endpoints at the start.
    pub endpoints: Vec<EndpointPlan>,
    /// Routes.
    pub routes: Vec<RoutePlan>,
    /// Relays.
    pub relays: Vec<RelayPlan>,
    /// The parameters of the rules in the configuration of relays.
    pub rules: RuleParameters,
    /// The shortest time between two turns of a relay.
    pub tick: Span,
    /// Whether entries of the endpoint list carry a rate.
    pub has_listed_rates: bool,
}

/// The id of the endpoint with that index.
pub(crate) fn endpoint_id(index: usize) -> EndpointId {
    EndpointId(Arc::from(format!("e{index}")))
}

/// The id of the destination with that index.
pub(crate) fn destination_id(index: usize) -> DestinationId {
    DestinationId(index as u64)
}

/// Converts milliseconds, including their fraction, to a span.
pub(crate) fn span_ms(ms: f64) -> Span {
    Span::from_secs_f64(ms / 1_000.0)
}

impl Fleet {
    /// Draws the fleet of a resolved scenario.
    pub fn draw(scenario: &Scenario, rng: &RngStreams) -> Fleet {
        let mut fleet = Fleet {
            topics: convert::topics(scenario),
            kinds: convert::kinds(scenario),
            zones: scenario.zones.iter().map(|zone| Arc::from(zone.as_str())).collect(),
            accounts: convert::accounts(scenario),
            destinations: Vec::new(),
            endpoints: Vec::new(),
            routes: Vec::new(),
            relays: Vec::new(),
            rules: convert::rule_parameters(scenario),
            tick: span_ms(scenario.relays.tick_ms),
            has_listed_rates: scenario.list.has_rates,
        };
        fleet.draw_destinations(scenario, rng);
        fleet.draw_relays(scenario, rng);
        fleet
    }

    /// The configuration of the relay with that index. The model has no cost for traffic between zones.
    pub fn relay_config(&self, relay: usize) -> RelayConfig {
        let fleet = interface::Fleet {
            relay_count: self.relays.len(),
            has_listed_rates: self.has_listed_rates,
            is_list_on_request: true,
            is_list_pushed: false,
            tick: self.tick,
            home_zone: None,
        };
        RelayConfig { fleet, limits: self.relays[relay].limits, rules: self.rules }
    }
}
