//! The initial state of a simulation, from a scenario and a seed.

#![expect(clippy::disallowed_types, reason = "only looked up by key")]

use std::collections::{BTreeMap, HashMap};

use juniperwing::interface::Readiness;
use juniperwing::time::Time;

use super::affected::Affected;
use super::state::{QuotaBucket, RelayProcess};
use super::{MAX_EVENTS_PER_ARRIVAL, MAX_EVENTS_PER_RELAY_SECOND, MAX_RECORDED_DESTINATIONS, Simulation};
use crate::endpoint::Endpoint;
use crate::event_queue::EventQueue;
use crate::faults::{FaultSet, FaultWindow};
use crate::fleet::{Fleet, span_ms};
use crate::metrics::{DestinationSeries, FleetSize, MetricsRecorder};
use crate::policy::Policies;
use crate::random::{RngStreams, StreamPurpose};
use crate::route::{OverloadThreshold, Route};
use crate::rule_checker::{RuleChecker, RuleTolerances};
use crate::scenario::{FaultKind, Rules, Scenario};
use crate::traffic::{HotRelays, Traffic};

impl<'a> Simulation<'a> {
    /// Creates a simulation of a resolved scenario.
    pub(super) fn new(scenario: &Scenario, seed: u64, policies: &'a dyn Policies) -> Simulation<'a> {
        let rng = RngStreams::new(seed);
        let fleet = Fleet::draw(scenario, &rng);
        let fault_windows = FaultWindow::all_of(scenario);
        let affected = select_affected(scenario, &fleet, &fault_windows, &rng);
        let destination_faults = destination_faults(&fleet, &affected);
        let hot = hot_relays(&fault_windows, &affected, &rng);
        let traffic = Traffic::new(scenario, &fleet, &rng, &fault_windows, &destination_faults, hot);
        let series = destinations_with_series(&destination_faults);
        let recorder = recorder(scenario, seed, policies, &fleet, &series);
        Simulation {
            readiness: vec![Readiness::Serving; fleet.endpoints.len()],
            endpoint_indices: endpoint_indices(&fleet),
            rule_checker: RuleChecker::new(rule_tolerances(&scenario.rules), fleet.routes.len()),
            overload_threshold: overload_threshold(&scenario.rules),
            client_rng: rng.stream(StreamPurpose::Clients, 0),
            scenario: scenario.clone(),
            policies,
            queue: EventQueue::default(),
            now: Time::default(),
            endpoints: endpoints(&fleet, &affected, &rng),
            routes: routes(&fleet),
            relays: relay_processes(&fleet, &rng),
            quotas: quotas(scenario, &fleet),
            fault_windows,
            affected,
            destination_faults,
            traffic,
            notifications: Vec::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            last_notification_id: 0,
            unfinished: 0,
            active_sources: 0,
            recorder,
            series_index: series.into_iter().zip(0..).collect(),
            events: 0,
            max_events: max_events(scenario, &fleet),
            rng_streams: rng,
            fleet,
        }
    }
}

fn select_affected(
    scenario: &Scenario, fleet: &Fleet, windows: &[FaultWindow], rng: &RngStreams,
) -> Vec<Affected> {
    let windows = windows.iter().enumerate();
    windows.map(|(fault, window)| Affected::select(scenario, fleet, fault, window, rng)).collect()
}

fn destination_faults(fleet: &Fleet, affected: &[Affected]) -> Vec<FaultSet> {
    let mut faults = vec![FaultSet::default(); fleet.destinations.len()];
    for (fault, affected) in affected.iter().enumerate() {
        affected.destinations.iter().for_each(|destination| faults[*destination].insert(fault));
    }
    faults
}

fn endpoints(fleet: &Fleet, affected: &[Affected], rng: &RngStreams) -> Vec<Endpoint> {
    let mut endpoints: Vec<Endpoint> = Vec::new();
    for (index, plan) in fleet.endpoints.iter().enumerate() {
        endpoints.push(Endpoint::new(plan.clone(), FaultSet::default(), index, rng));
    }
    for (fault, affected) in affected.iter().enumerate() {
        affected.endpoints.iter().for_each(|endpoint| endpoints[*endpoint].faults.insert(fault));
    }
    endpoints
}

fn routes(fleet: &Fleet) -> Vec<Route> {
    let mut routes: Vec<Route> = fleet.routes.iter().cloned().map(Route::new).collect();
    for (index, plan) in fleet.endpoints.iter().enumerate() {
        routes[plan.route].endpoints.push(index);
    }
    routes
}

fn relay_processes(fleet: &Fleet, rng: &RngStreams) -> Vec<RelayProcess> {
    let mut processes = Vec::new();
    for (index, plan) in fleet.relays.iter().enumerate() {
        let (network, list) =
            (rng.stream(StreamPurpose::Network, index), rng.stream(StreamPurpose::List, index));
        processes.push(RelayProcess::new(plan.clone(), network, list));
    }
    processes
}

fn quotas(scenario: &Scenario, fleet: &Fleet) -> Vec<QuotaBucket> {
    let accounts = fleet.accounts.iter().zip(&scenario.accounts);
    accounts
        .map(|(account, plan)| QuotaBucket::new(account.quota_per_second, plan.over_quota_benefit_fraction))
        .collect()
}

fn endpoint_indices(fleet: &Fleet) -> HashMap<std::sync::Arc<str>, usize> {
    fleet.endpoints.iter().enumerate().map(|(index, plan)| (plan.id.0.clone(), index)).collect()
}

fn hot_relays(windows: &[FaultWindow], affected: &[Affected], rng: &RngStreams) -> Vec<HotRelays> {
    let hot = (0..windows.len()).filter(|fault| windows[*fault].kind == FaultKind::HotRelays);
    hot.map(|fault| HotRelays {
        fault,
        relays: affected[fault].relays.clone(),
        rng: rng.fault_traffic(fault),
    })
    .collect()
}

fn recorder(
    scenario: &Scenario, seed: u64, policies: &dyn Policies, fleet: &Fleet, series: &[usize],
) -> MetricsRecorder {
    let topics: Vec<String> = scenario.topics.iter().map(|topic| topic.name.clone()).collect();
    let accounts: Vec<String> = scenario.accounts.iter().map(|account| account.name.clone()).collect();
    let mut recorder = MetricsRecorder::new(&topics, &accounts);
    let metrics = &mut recorder.metrics;
    metrics.scenario = scenario.name.clone();
    metrics.policy = policies.name().to_owned();
    metrics.seed = seed;
    metrics.destination_series = series.iter().map(|index| empty_series(*index)).collect();
    metrics.size = FleetSize {
        relays: fleet.relays.len(),
        destinations: fleet.destinations.len(),
        endpoints: fleet.endpoints.len(),
    };
    recorder
}

fn empty_series(destination: usize) -> DestinationSeries {
    DestinationSeries { destination, ..DestinationSeries::default() }
}

/// The destinations that are recorded: those with faults first, then the busiest.
fn destinations_with_series(destination_faults: &[FaultSet]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..destination_faults.len()).collect();
    order.sort_by_key(|destination| (destination_faults[*destination].is_empty(), *destination));
    order.truncate(MAX_RECORDED_DESTINATIONS);
    order
}

fn rule_tolerances(rules: &Rules) -> RuleTolerances {
    RuleTolerances {
        answer_slack: span_ms(rules.answer_slack_ms),
        drain_grace: span_ms(rules.drain_grace_ms),
        key_cooldown: span_ms(rules.key_cooldown_ms),
        overload_factor: rules.overload_factor,
        overload_duration: span_ms(rules.overload_duration_ms),
        overload_slack: rules.overload_slack,
    }
}

fn overload_threshold(rules: &Rules) -> OverloadThreshold {
    OverloadThreshold {
        factor: rules.overload_factor,
        duration: span_ms(rules.overload_duration_ms),
        slack: rules.overload_slack,
    }
}

/// The number of events at which a run is stopped, above that of any regular run of its size. It stops the run of a
/// policy that loops.
fn max_events(scenario: &Scenario, fleet: &Fleet) -> u64 {
    let span_s = scenario.duration_s.min;
    let rate = scenario.traffic.rate.min * scenario.traffic.load.min;
    let of_relays = MAX_EVENTS_PER_RELAY_SECOND * fleet.relays.len() as f64 * (span_s + 120.0);
    (of_relays + MAX_EVENTS_PER_ARRIVAL * (rate * span_s * 4.0 + 1_000.0)) as u64
}
