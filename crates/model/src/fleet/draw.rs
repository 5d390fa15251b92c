//! Random draws of the sizes, speeds and positions of destinations, endpoints and relays.
//!
//! Reordering the draws within a stream changes the results of every seed.

use juniperwing::interface::RelayLimits;
use juniperwing::time::Span;
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::allocation::{allocate_by_weight, rates_per_s, zipf_weights};
use super::{
    DestinationPlan, EndpointPlan, Fleet, RelayPlan, RoutePlan, TopicPlan, WarmUp, endpoint_id, span_ms,
};
use crate::limit::Limit;
use crate::random::{RngStreams, StreamPurpose, cumulative_sums};
use crate::scenario::{Kind, LimitKind, Scenario};

/// The properties that all endpoints of a destination share.
struct DestinationShape<'a> {
    destination: usize,
    plan: &'a Kind,
    endpoints: usize,
    servers: usize,
}

impl DestinationShape<'_> {
    /// The number of routes of the destination: one, or one for each endpoint.
    fn routes(&self) -> usize {
        if self.plan.has_separate_routes { self.endpoints } else { 1 }
    }
}

impl Fleet {
    pub(super) fn draw_destinations(&mut self, scenario: &Scenario, rng: &RngStreams) {
        let count = scenario.destinations.count.min as usize;
        let mut kinds = allocate_by_weight(count, scenario.kinds.iter().map(|kind| kind.weight));
        kinds.shuffle(&mut rng.stream(StreamPurpose::Destinations, 0));
        let accounts = allocate_by_weight(count, scenario.accounts.iter().map(|account| account.weight));
        let weights = zipf_weights(count, scenario.destinations.zipf_exponent.min);
        let rates = rates_per_s(scenario, &kinds, &weights);
        for (index, (kind, rates)) in kinds.into_iter().zip(rates).enumerate() {
            // Each destination has its own stream, so that adding one does not change the others.
            let mut draws = rng.stream(StreamPurpose::Destinations, index + 1);
            self.draw_destination(scenario, kind, accounts.get(index).copied(), rates, &mut draws);
        }
    }

    fn draw_destination(
        &mut self, scenario: &Scenario, kind: usize, account: Option<usize>, rates: Vec<f64>,
        draws: &mut ChaCha8Rng,
    ) {
        let (destination, plan) = (self.destinations.len(), &scenario.kinds[kind]);
        let speed = plan.speed.draw(draws);
        let rate: f64 = rates.iter().sum();
        let mean_work_s = mean_work_s(&self.topics, &rates) / speed;
        let mean_endpoints = scenario.destinations.endpoints.min;
        let has_one_more = draws.random::<f64>() < mean_endpoints.fract();
        let endpoints = mean_endpoints.floor() as usize + usize::from(has_one_more);
        let busy_servers = plan.capacity_headroom.draw(draws) * rate * mean_work_s;
        let servers = ((busy_servers / endpoints as f64).ceil() as usize).max(1);
        let shape = DestinationShape { destination, plan, endpoints, servers };
        let first_route = self.routes.len();
        let route = draw_route(scenario, &shape, rate, mean_work_s, draws);
        self.routes.extend(std::iter::repeat_n(route, shape.routes()));
        let first_endpoint = self.endpoints.len();
        for n in 0..endpoints {
            self.draw_endpoint(&shape, n, first_route, draws);
        }
        self.destinations.push(DestinationPlan {
            kind,
            account,
            cumulative_rates: cumulative_sums(rates.iter().copied()),
            rates,
            endpoints: (first_endpoint..self.endpoints.len()).collect(),
            speed,
            mean_work_s,
        });
    }

    fn draw_endpoint(
        &mut self, shape: &DestinationShape<'_>, n: usize, first_route: usize, draws: &mut ChaCha8Rng,
    ) {
        let (plan, servers) = (shape.plan, shape.servers);
        let connections = plan.connections_per_server.draw(draws) * servers as f64;
        let max_connections =
            if connections > 0.0 { connections.max(plan.min_connections) } else { f64::INFINITY };
        let queue_capacity = (plan.queue_per_server.draw(draws) * servers as f64).ceil() as usize;
        let error_rate = plan.error_rate.draw(draws);
        let report_interval = span_ms(plan.report_interval_ms.draw(draws));
        let report_delay = span_ms(plan.report_delay_ms.draw(draws));
        self.endpoints.push(EndpointPlan {
            id: endpoint_id(self.endpoints.len()),
            destination: shape.destination,
            route: first_route + if plan.has_separate_routes { n } else { 0 },
            zone: (shape.destination + n) % self.zones.len(),
            servers,
            queue_capacity,
            max_connections: max_connections as usize,
            error_rate,
            report_interval,
            report_delay,
            distance: draws.random(),
        });
    }

    pub(super) fn draw_relays(&mut self, scenario: &Scenario, rng: &RngStreams) {
        let (plan, network) = (&scenario.relays, &scenario.network);
        let weights = zipf_weights(plan.count.min as usize, plan.zipf_exponent.min);
        let total: f64 = weights.iter().sum();
        // Slots in use at full load: each call occupies one for its service time and a round trip.
        let round_trip_s = (network.same_zone_delay_ms.min + network.same_zone_delay_ms.max) / 1_000.0;
        let busy_slots: f64 =
            self.destinations.iter().map(|d| d.rate() * (d.mean_work_s + round_trip_s)).sum();
        let rate = scenario.traffic.rate.min;
        for (index, weight) in weights.into_iter().enumerate() {
            let mut draws = rng.stream(StreamPurpose::Relays, index);
            let traffic_share = weight / total;
            let slots = (plan.slot_headroom.draw(&mut draws) * busy_slots * traffic_share)
                .max(plan.min_slots)
                .round();
            let max_pending = (plan.pending_capacity_s.draw(&mut draws) * rate * traffic_share)
                .max(plan.min_pending_capacity)
                .round();
            let limits = RelayLimits {
                slots: slots as usize,
                max_pushes: plan.max_pushes,
                max_pending: max_pending as usize,
                max_retry_after: span_ms(scenario.clients.max_retry_after_ms),
                can_probe: false,
                can_cancel: true,
                idle_timeout: Span::from_secs_f64(network.idle_timeout_s),
            };
            let seed = rng.stream(StreamPurpose::Policies, index).random();
            let (zone, distance) = (index % self.zones.len(), draws.random());
            self.relays.push(RelayPlan { traffic_share, zone, limits, distance, seed });
        }
    }
}

/// Mean service time at a speed of 1, weighted by the rates of topic types. Without traffic it is the unweighted mean
/// over topic types.
fn mean_work_s(topics: &[TopicPlan], rates: &[f64]) -> f64 {
    let rate: f64 = rates.iter().sum();
    if rate > 0.0 {
        rates.iter().zip(topics).map(|(rate, topic)| rate * topic.mean_work_s).sum::<f64>() / rate
    } else {
        topics.iter().map(|topic| topic.mean_work_s).sum::<f64>() / topics.len().max(1) as f64
    }
}

/// The rate limit, warm-up and capacity of each route of a destination.
fn draw_route(
    scenario: &Scenario, shape: &DestinationShape<'_>, rate: f64, mean_work_s: f64, draws: &mut ChaCha8Rng,
) -> RoutePlan {
    let (plan, routes) = (shape.plan, shape.routes() as f64);
    let limited_rate = (plan.limit_headroom.draw(draws) * rate).max(plan.min_limit_rate.draw(draws));
    let (depth_s, window) = (plan.bucket_depth_s.draw(draws), span_ms(plan.limit_window_ms.draw(draws)));
    let limit = match plan.limit {
        LimitKind::None => Limit::None,
        LimitKind::Rate => Limit::rate(limited_rate / routes, depth_s),
        LimitKind::Window => Limit::window(limited_rate / routes, window),
    };
    let warm_up = WarmUp {
        initial_fraction: scenario.rules.warm_up_initial_fraction.draw(draws),
        duration: Span::from_secs_f64(scenario.rules.warm_up_duration_s.draw(draws)),
    };
    let listed_fraction = 0.5 + draws.random::<f64>();
    let served_rate = (shape.servers * shape.endpoints) as f64 / mean_work_s;
    let capacity = (served_rate / routes).min(limit.calls_per_s(1.0).unwrap_or(f64::INFINITY));
    let listed_rate = if scenario.list.has_rates { capacity * listed_fraction } else { 1.0 };
    RoutePlan { limit, capacity, warm_up, listed_rate }
}
