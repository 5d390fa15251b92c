//! The discrete-event simulation of a run, in which relays accept notifications and push them.
//!
//! It maintains the clock, the calls in flight, the connections and the storage of each relay. It passes events to
//! relays and executes their commands as the relay on sockets does, and takes no decisions for them.

#![expect(clippy::disallowed_types, reason = "only looked up by key")]

mod affected;
mod call_ends;
mod calls;
mod clients;
mod commands;
mod endpoint_list;
mod faults;
mod inputs;
mod oracle;
mod relays;
mod service;
mod setup;
mod state;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use juniperwing::interface::Readiness;
use juniperwing::time::{Span, Time};
use rand_chacha::ChaCha8Rng;

use crate::endpoint::{CallId, Endpoint};
use crate::event_queue::EventQueue;
use crate::faults::{FaultSet, FaultWindow};
use crate::fleet::{Fleet, span_ms};
use crate::metrics::{DestinationSeries, Metrics, MetricsRecorder, RouteRecoveries, UndeliveredReason};
use crate::policy::Policies;
use crate::random::RngStreams;
use crate::route::{OverloadThreshold, Route};
use crate::rule_checker::RuleChecker;
use crate::scenario::{FaultKind, Scenario};
use crate::traffic::Traffic;
use affected::Affected;
use state::{Call, ClientNotification, QuotaBucket, RelayProcess, SimulationEvent};

/// Relays close idle connections after this fraction of the idle timeout of the endpoint.
const IDLE_CLOSE_FRACTION: f64 = 0.9;
/// How long after a restart a relay may take for final answers that fell due while it was down.
const RESTART_ALLOWANCE: Span = Span::from_millis(1_000);
/// Destinations whose load is recorded.
const MAX_RECORDED_DESTINATIONS: usize = 8;
/// The time after the last arrival and the longest TTL at which a run ends at the latest.
const MAX_TAIL: Span = Span::from_millis(60_000);
/// The maximum of events for each relay and simulated second, which stops the run of a policy that loops.
const MAX_EVENTS_PER_RELAY_SECOND: f64 = 5_000.0;
/// The same, for each arrival.
const MAX_EVENTS_PER_ARRIVAL: f64 = 2_000.0;
/// The lower limit of the tick of relays.
const MIN_TICK: Span = Span::from_nanos(1_000);
const SAMPLE_INTERVAL: Span = Span::from_millis(1_000);

/// Runs a scenario, resolved with its seed, under a policy.
pub fn simulate(scenario: &Scenario, seed: u64, policies: &dyn Policies) -> Metrics {
    let mut simulation = Simulation::new(&scenario.resolve(seed), seed, policies);
    simulation.run();
    simulation.finish()
}

/// The state of a run. Relays, endpoints, routes, accounts, notifications and faults are identified by index.
struct Simulation<'a> {
    scenario: Scenario,
    fleet: Fleet,
    policies: &'a dyn Policies,
    rng_streams: RngStreams,
    queue: EventQueue<SimulationEvent>,
    now: Time,
    fault_windows: Vec<FaultWindow>,
    /// The targets of each fault.
    affected: Vec<Affected>,
    destination_faults: Vec<FaultSet>,
    traffic: Traffic,
    relays: Vec<RelayProcess>,
    endpoints: Vec<Endpoint>,
    routes: Vec<Route>,
    /// The published readiness of each endpoint.
    readiness: Vec<Readiness>,
    endpoint_indices: HashMap<Arc<str>, usize>,
    notifications: Vec<ClientNotification>,
    quotas: Vec<QuotaBucket>,
    calls: BTreeMap<CallId, Call>,
    last_call: CallId,
    last_notification_id: u64,
    client_rng: ChaCha8Rng,
    /// The number of notifications that are neither delivered nor given up.
    unfinished: usize,
    /// The number of traffic sources that are not exhausted.
    active_sources: usize,
    rule_checker: RuleChecker,
    overload_threshold: OverloadThreshold,
    recorder: MetricsRecorder,
    /// By destination: the index of its series in the metrics.
    series_index: BTreeMap<usize, usize>,
    events: u64,
    max_events: u64,
}

/// The index of the second that contains a time.
fn second_index(at: Time) -> usize {
    at.since(Time::default()).as_secs_f64() as usize
}

impl Simulation<'_> {
    fn run(&mut self) {
        self.schedule_first_events();
        let span = Span::from_secs_f64(self.scenario.duration_s.min);
        let max_ttl_ms = self.scenario.topics.iter().map(|topic| topic.ttl_ms).fold(0.0, f64::max);
        let latest_end = Time::default() + span + span_ms(max_ttl_ms) + MAX_TAIL;
        let fault_ends = self.fault_windows.iter().map(|window| window.to).filter(|to| *to < latest_end);
        let earliest_end = fault_ends.max().unwrap_or_default().max(Time::default() + span);
        while let Some((now, event)) = self.queue.pop() {
            self.now = now;
            self.events += 1;
            if self.events > self.max_events {
                self.recorder.metrics.is_truncated = true;
                break;
            }
            self.handle_event(event);
            let is_idle = self.unfinished == 0 && self.active_sources == 0 && self.calls.is_empty();
            if now > latest_end || now >= earliest_end && is_idle {
                break;
            }
        }
    }

    fn schedule_first_events(&mut self) {
        for relay in 0..self.relays.len() {
            self.start_relay(relay);
        }
        for source in 0..self.traffic.sources() {
            self.active_sources += 1;
            self.schedule_next_arrival(source);
        }
        for (fault, window) in self.fault_windows.iter().enumerate() {
            self.queue.schedule(window.from, SimulationEvent::FaultBoundary(fault));
            self.queue.schedule(window.to, SimulationEvent::FaultBoundary(fault));
        }
        self.queue.schedule(Time::default() + SAMPLE_INTERVAL, SimulationEvent::SampleSecond);
    }

    fn finish(mut self) -> Metrics {
        for notification in 0..self.notifications.len() {
            self.give_up(notification, UndeliveredReason::Abandoned);
        }
        let (violations, violation_count) = self.rule_checker.finish(self.now);
        let metrics = &mut self.recorder.metrics;
        (metrics.violations, metrics.violation_count) = (violations, violation_count);
        metrics.events = self.events;
        metrics.recoveries = RouteRecoveries {
            recovered: self.routes.iter().filter(|route| route.has_recovered()).count(),
            overloaded: self.routes.iter().filter(|route| route.is_overloaded()).count(),
        };
        self.recorder.finish()
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival { source, arrival } => {
                self.handle_arrival(*arrival);
                self.schedule_next_arrival(source);
            }
            SimulationEvent::Submit { notification, relay } => self.handle_submission(notification, relay),
            SimulationEvent::Withdraw { notification } => self.handle_withdrawal(notification),
            SimulationEvent::RelayTurn { relay, incarnation } => self.handle_turn(relay, incarnation),
            SimulationEvent::Wake { relay, incarnation } => self.handle_wake(relay, incarnation),
            SimulationEvent::RelayInput { relay, incarnation, input } => {
                if self.is_current(relay, incarnation) && self.relays[relay].is_running {
                    self.enqueue_input(relay, input);
                }
            }
            SimulationEvent::ConnectionRequest(call) => self.handle_connection_request(call),
            SimulationEvent::RequestReceived(call) => self.handle_request(call),
            SimulationEvent::ServiceFinished(call) => self.handle_service_finished(call),
            SimulationEvent::ResponseReceived { call, response } => self.handle_response(call, response),
            SimulationEvent::PushTimeout { call, notification_id } => {
                self.handle_push_timeout(call, notification_id);
            }
            SimulationEvent::ConnectTimeout(call) => self.handle_connect_timeout(call),
            SimulationEvent::CloseIdleConnections { relay, endpoint } => {
                self.close_idle_connections(relay, endpoint);
            }
            SimulationEvent::FaultBoundary(fault) => self.handle_fault_boundary(fault),
            SimulationEvent::EndpointDrain { endpoint, terminates_after } => {
                self.replace_endpoint(endpoint, terminates_after);
            }
            SimulationEvent::EndpointTerminated(endpoint) => self.terminate_endpoint(endpoint),
            SimulationEvent::RelayStart(relay) => self.start_relay(relay),
            SimulationEvent::SampleSecond => self.sample_second(),
        }
    }

    /// Records the state at the end of a second.
    fn sample_second(&mut self) {
        let in_flight_calls = self.calls.len();
        let pending_notifications = self.relays.iter().map(|process| process.pending.len()).sum();
        let within_second = self.now - Span::from_nanos(1);
        let second = self.recorder.second_at(within_second);
        (second.in_flight_calls, second.pending_notifications) = (in_flight_calls, pending_notifications);
        let index = second_index(within_second);
        let capacities: Vec<(usize, f64)> = self
            .series_index
            .iter()
            .map(|(destination, series)| (*series, self.present_capacity(*destination)))
            .collect();
        for (series, capacity) in capacities {
            let series = &mut self.recorder.metrics.destination_series[series];
            for values in [&mut series.reached, &mut series.delivered, &mut series.capacity] {
                values.resize(values.len().max(index + 1), 0.0);
            }
            series.capacity[index] = capacity;
        }
        self.queue.schedule(self.now + SAMPLE_INTERVAL, SimulationEvent::SampleSecond);
    }

    /// The present capacity of the routes of a destination, in notifications a second.
    fn present_capacity(&self, destination: usize) -> f64 {
        let endpoints = self.fleet.destinations[destination].endpoints.iter();
        let routes: BTreeSet<usize> =
            endpoints.map(|endpoint| self.fleet.endpoints[*endpoint].route).collect();
        let mut capacity = 0.0;
        for route in routes.iter().map(|route| &self.routes[*route]).filter(|route| !route.is_out()) {
            let faults = route.endpoints.first().map(|endpoint| &self.endpoints[*endpoint].faults);
            let limit = faults.map_or(1.0, |faults| {
                faults.factor(&self.fault_windows, FaultKind::Limit, self.now).min(1.0)
            });
            capacity += route.plan.capacity * route.capacity_fraction(self.now) * limit;
        }
        capacity
    }

    /// Adds to the present second of a series of a destination, if the destination is recorded.
    fn add_to_series(
        &mut self, destination: usize, values: impl Fn(&mut DestinationSeries) -> &mut Vec<f64>, count: f64,
    ) {
        if let Some(series) = self.series_index.get(&destination) {
            let second = second_index(self.now);
            let values = values(&mut self.recorder.metrics.destination_series[*series]);
            values.resize(values.len().max(second + 1), 0.0);
            values[second] += count;
        }
    }
}
