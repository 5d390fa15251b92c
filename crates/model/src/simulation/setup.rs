//! The world as it is before the first event, made of a scenario and a seed.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing::interface::Readiness;
use juniperwing::time::Time;
use rand::Rng;
use rand::seq::SliceRandom;

use super::state::{QuotaBucket, RelayProcess};
use super::{EVENTS_A_SECOND, EVENTS_AN_ARRIVAL, Simulation, WATCHED};
use crate::endpoint::{Endpoint, Route};
use crate::event_queue::EventQueue;
use crate::faults::{FaultSet, FaultWindow};
use crate::fleet::{EndpointPlan, Fleet, RelayPlan, span_ms as ms};
use crate::judge::{self, Judge};
use crate::metrics::{DestinationSeries, MetricsRecorder};
use crate::policy::Policies;
use crate::random::{Concern, RngStreams};
use crate::scenario::{FaultKind, Scenario};
use crate::traffic::Traffic;

impl<'a> Simulation<'a> {
    pub(super) fn new(scenario: &Scenario, seed: u64, policies: &'a dyn Policies) -> Simulation<'a> {
        let rng = RngStreams::new(seed);
        let fleet = Fleet::draw(scenario, &rng);
        let rules = &scenario.rules;
        let rule_parameters = judge::RuleParameters {
            answer_slack: ms(rules.answer_slack_ms),
            drain_grace: ms(rules.drain_grace_ms),
            settle: ms(rules.settle_ms),
            fall_multiple: rules.fall_multiple,
            tip_after: ms(rules.tip_after_ms),
            fall_slack: rules.fall_slack,
        };
        let fault_windows: Vec<FaultWindow> = scenario
            .faults
            .iter()
            .map(|fault| {
                let topic = fault.topic.as_ref();
                let topic = topic.and_then(|name| scenario.topic.iter().position(|t| t.name == *name));
                let account = fault.account.as_ref();
                let account = account.and_then(|name| scenario.account.iter().position(|a| a.name == *name));
                FaultWindow::of(fault, topic, account)
            })
            .collect();
        let mut endpoints: Vec<Endpoint> = Vec::new();
        for (index, plan) in fleet.endpoints.iter().enumerate() {
            endpoints.push(new_endpoint(plan.clone(), FaultSet::default(), index, &rng));
        }
        let mut routes: Vec<Route> = fleet.routes.iter().cloned().map(Route::new).collect();
        for (index, plan) in fleet.endpoints.iter().enumerate() {
            routes[plan.route].endpoints.push(index);
        }
        let mut destination_faults = vec![FaultSet::default(); fleet.destinations.len()];
        let (mut faulted_relays, mut faulted_endpoints) = (Vec::new(), Vec::new());
        for (index, window) in fault_windows.iter().enumerate() {
            let (destinations, ends, relays) = strike(scenario, &fleet, index, window, &rng);
            destinations.into_iter().for_each(|d| destination_faults[d].insert(index));
            ends.iter().for_each(|end| endpoints[*end].faults.insert(index));
            faulted_endpoints.push(ends);
            faulted_relays.push(relays);
        }
        let hot = (0..fault_windows.len()).filter(|n| fault_windows[*n].kind == FaultKind::HotRelays);
        let hot =
            hot.map(|n| (n, faulted_relays[n].clone(), rng.stream(Concern::Faults, n << 1 | 1))).collect();
        let traffic = Traffic::new(scenario, &fleet, &rng, &fault_windows, &destination_faults, hot);
        let node = |(index, plan): (usize, &RelayPlan)| RelayProcess {
            plan: plan.clone(),
            policy: None,
            incarnation: 0,
            is_running: false,
            inputs: Vec::new(),
            next_turn_at: None,
            last_turn_at: None,
            wake_at: Time::NEVER,
            pending: BTreeMap::new(),
            calls: BTreeSet::new(),
            idle_connections: BTreeMap::new(),
            network_rng: rng.stream(Concern::Network, index),
            list_rng: rng.stream(Concern::List, index),
            is_subscribed: false,
            unreported_changes: BTreeSet::new(),
            last_list_update_at: Time::default(),
        };
        let nodes = fleet.relays.iter().enumerate().map(node).collect();
        let topics: Vec<String> = scenario.topic.iter().map(|topic| topic.name.clone()).collect();
        let accounts: Vec<String> = scenario.account.iter().map(|account| account.name.clone()).collect();
        let mut recorder = MetricsRecorder::new(&topics, &accounts);
        recorder.metrics.scenario = scenario.name.clone();
        recorder.metrics.policy = policies.name().to_owned();
        recorder.metrics.seed = seed;
        recorder.metrics.size = (fleet.relays.len(), fleet.destinations.len(), fleet.endpoints.len());
        let shares = fleet.accounts.iter().zip(&scenario.account).map(|(account, plan)| QuotaBucket {
            rate_per_s: account.quota,
            tokens: account.quota,
            refilled_at: Time::default(),
            over_quota_value: plan.over_share,
        });
        let shares = shares.collect();
        // Those struck first, then the busiest.
        let mut order: Vec<usize> = (0..fleet.destinations.len()).collect();
        order.sort_by_key(|d| (destination_faults[*d].is_empty(), *d));
        order.truncate(WATCHED);
        let watched = order.iter().enumerate().map(|(n, d)| (*d, n)).collect();
        recorder.metrics.destination_series = order
            .into_iter()
            .map(|destination| DestinationSeries { destination, ..DestinationSeries::default() })
            .collect();
        let span = scenario.span_s.least;
        let rate = scenario.traffic.rate.least * scenario.traffic.load.least;
        let max_events = EVENTS_A_SECOND * fleet.relays.len() as f64 * (span + 120.0)
            + EVENTS_AN_ARRIVAL * (rate * span * 4.0 + 1_000.0);
        Simulation {
            readiness: vec![Readiness::Serving; endpoints.len()],
            endpoint_indices: fleet
                .endpoints
                .iter()
                .enumerate()
                .map(|(n, plan)| (plan.id.0.clone(), n))
                .collect(),
            judge: Judge::new(rule_parameters, routes.len()),
            client_rng: rng.stream(Concern::Clients, 0),
            scenario: scenario.clone(),
            policies,
            rng_streams: rng,
            queue: EventQueue::default(),
            now: Time::default(),
            fault_windows,
            destination_faults,
            faulted_relays,
            faulted_endpoints,
            traffic,
            nodes,
            endpoints,
            routes,
            notifications: Vec::new(),
            quotas: shares,
            calls: BTreeMap::new(),
            next_call: 0,
            next_notification_id: 0,
            unfinished: 0,
            active_sources: 0,
            rule_parameters,
            recorder,
            series_index: watched,
            events: 0,
            max_events: max_events as u64,
            fleet,
        }
    }
}

pub(super) fn new_endpoint(plan: EndpointPlan, faults: FaultSet, index: usize, rng: &RngStreams) -> Endpoint {
    let (service, noise) = (rng.stream(Concern::Service, index), rng.stream(Concern::Reports, index));
    Endpoint::new(plan, faults, service, noise)
}

/// Whom a trouble strikes: destinations, endpoints, relays.
fn strike(
    scenario: &Scenario, fleet: &Fleet, index: usize, window: &FaultWindow, rng: &RngStreams,
) -> (Vec<usize>, Vec<usize>, Vec<usize>) {
    let fault = &scenario.faults[index];
    let mut draws = rng.stream(Concern::Faults, index << 1);
    // The first draws of this stream were the trouble's own figures.
    for _ in 0..5 {
        let _: f64 = draws.random();
    }
    let zone = fault.zone.as_ref().and_then(|name| scenario.zones.iter().position(|zone| zone == name));
    let allowed = |destination: &usize| {
        let plan = &fleet.destinations[*destination];
        let kind = &scenario.kind[plan.kind].name;
        fault.kind.as_ref().is_none_or(|name| name == kind)
            && window.account.is_none_or(|account| plan.account == Some(account))
            && window.topic.is_none_or(|topic| plan.rates[topic] > 0.0)
            && fault.destination.is_none_or(|only| only == *destination)
            && zone.is_none_or(|zone| plan.endpoints.iter().any(|end| fleet.endpoints[*end].zone == zone))
    };
    let mut candidates: Vec<usize> = (0..fleet.destinations.len()).filter(allowed).collect();
    candidates.shuffle(&mut draws);
    let total: f64 = candidates.iter().map(|d| fleet.destinations[*d].rate()).sum();
    let (mut wanted, mut destinations) = (fault.extent.least * total, Vec::new());
    for destination in candidates {
        let rate = fleet.destinations[destination].rate();
        // The one that would pass the extent by more than half of itself is left out, unless there is no other.
        if destinations.is_empty() || wanted >= rate / 2.0 {
            wanted -= rate;
            destinations.push(destination);
        }
    }
    if fault.extent.least <= 0.0 {
        destinations.clear();
    }
    destinations.sort_unstable();
    let mut ends = Vec::new();
    for destination in &destinations {
        let of = &fleet.destinations[*destination].endpoints;
        let one = draws.random::<u32>() as usize % of.len();
        let of: Vec<usize> = if fault.whole { of.clone() } else { vec![of[one]] };
        ends.extend(of.into_iter().filter(|end| zone.is_none_or(|zone| fleet.endpoints[*end].zone == zone)));
    }
    if fault.what == FaultKind::Deploy {
        ends.shuffle(&mut draws);
    }
    let mut relays: Vec<usize> = (0..fleet.relays.len()).collect();
    relays.shuffle(&mut draws);
    let share = (fault.extent.least * relays.len() as f64).round() as usize;
    relays.truncate(share.max(1));
    (destinations, ends, relays)
}
