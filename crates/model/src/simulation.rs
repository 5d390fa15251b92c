//! A run: the world in which relays take notifications on and push them, event by event. It owns the clock, the calls
//! that are out, the connections and what each relay holds in its folder; it hands relays their events and carries
//! out their commands as the relay on sockets does. It must never decide anything for a relay.

mod call_ends;
mod calls;
mod clients;
mod faults;
mod oracle;
mod relays;
mod setup;
mod state;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use juniperwing::interface::{Readiness, Status};
use juniperwing::time::{Span, Time};
use rand_chacha::ChaCha8Rng;

use crate::endpoint::{CallId, Endpoint, Route};
use crate::event_queue::EventQueue;
use crate::faults::{FaultSet, FaultWindow};
use crate::fleet::{Fleet, span_ms as ms};
use crate::judge::{self, Judge};
use crate::metrics::{DestinationSeries, Metrics, MetricsRecorder, UndeliveredReason};
use crate::policy::Policies;
use crate::random::RngStreams;
use crate::scenario::{FaultKind, Scenario};
use crate::traffic::Traffic;
use state::{Call, ClientNotification, QuotaBucket, RelayProcess, SimulationEvent};

/// Idle connections are closed after this share of the time after which their endpoint closes them.
const RETIRED_AT: f64 = 0.9;
/// A relay that starts over what it held may take so long to answer what fell due in between.
const MOMENT: Span = Span::from_millis(1_000);
/// Destinations whose load is written down.
const WATCHED: usize = 8;
/// After the last arrival a run goes on for the longest TTL and this, at the most.
const TAIL: Span = Span::from_millis(60_000);
/// Guards against a policy that never rests: so many events for each second of a relay and for each arrival.
const EVENTS_A_SECOND: f64 = 5_000.0;
const EVENTS_AN_ARRIVAL: f64 = 2_000.0;
/// The shortest time between two turns of a relay, whatever it asks for.
const LEAST_TICK: Span = Span::from_nanos(1_000);

/// Plays a scenario, resolved with its seed, under a policy.
pub fn simulate(scenario: &Scenario, seed: u64, policies: &dyn Policies) -> Metrics {
    let mut world = Simulation::new(&scenario.resolve(seed), seed, policies);
    world.run();
    world.finish()
}

struct Simulation<'a> {
    scenario: Scenario,
    fleet: Fleet,
    policies: &'a dyn Policies,
    rng_streams: RngStreams,
    queue: EventQueue<SimulationEvent>,
    now: Time,
    fault_windows: Vec<FaultWindow>,
    /// Whom the troubles strike: destinations, and relays for those that act on them.
    destination_faults: Vec<FaultSet>,
    faulted_relays: Vec<Vec<usize>>,
    faulted_endpoints: Vec<Vec<usize>>,
    traffic: Traffic,
    nodes: Vec<RelayProcess>,
    endpoints: Vec<Endpoint>,
    routes: Vec<Route>,
    readiness: Vec<Readiness>,
    endpoint_indices: HashMap<Arc<str>, usize>,
    notifications: Vec<ClientNotification>,
    quotas: Vec<QuotaBucket>,
    calls: BTreeMap<CallId, Call>,
    next_call: CallId,
    next_notification_id: u64,
    client_rng: ChaCha8Rng,
    /// Messages that are neither delivered nor given up.
    unfinished: usize,
    active_sources: usize,
    judge: Judge,
    rule_parameters: judge::RuleParameters,
    recorder: MetricsRecorder,
    series_index: BTreeMap<usize, usize>,
    events: u64,
    max_events: u64,
}

impl Simulation<'_> {
    fn run(&mut self) {
        for relay in 0..self.nodes.len() {
            self.start_relay(relay);
        }
        for source in 0..self.traffic.sources() {
            self.active_sources += 1;
            self.schedule_next_arrival(source);
        }
        for index in 0..self.fault_windows.len() {
            self.queue.schedule(self.fault_windows[index].from, SimulationEvent::FaultBoundary(index));
            self.queue.schedule(self.fault_windows[index].to, SimulationEvent::FaultBoundary(index));
        }
        self.queue.schedule(Time::from_nanos(1_000_000_000), SimulationEvent::SampleSecond);
        let span = Span::from_secs_f64(self.scenario.span_s.least);
        let longest = self.scenario.topic.iter().map(|topic| topic.ttl_ms).fold(0.0, f64::max);
        let last = Time::default() + span + ms(longest) + TAIL;
        let edges = self
            .fault_windows
            .iter()
            .map(|window| window.to)
            .filter(|to| *to < last)
            .max()
            .unwrap_or_default();
        let end = edges.max(Time::default() + span);
        while let Some((now, event)) = self.queue.pop() {
            self.now = now;
            self.events += 1;
            if self.events > self.max_events {
                self.recorder.metrics.is_truncated = true;
                break;
            }
            self.handle_event(event);
            let over = self.unfinished == 0 && self.active_sources == 0 && self.calls.is_empty();
            if now > last || now >= end && over {
                break;
            }
        }
    }

    fn finish(mut self) -> Metrics {
        let left: Vec<usize> =
            (0..self.notifications.len()).filter(|m| !self.notifications[*m].is_finished).collect();
        left.into_iter().for_each(|notification| self.give_up(notification, UndeliveredReason::Abandoned));
        let (breaks, broken) = self.judge.finish(self.now);
        let metrics = &mut self.recorder.metrics;
        (metrics.violations, metrics.violation_count, metrics.events) = (breaks, broken, self.events);
        metrics.recoveries = (
            self.routes.iter().filter(|l| l.recovered_at.is_some()).count(),
            self.routes.iter().filter(|l| l.is_overloaded).count(),
        );
        self.recorder.finish()
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival(source, arrival) => {
                self.handle_arrival(*arrival);
                self.schedule_next_arrival(source);
            }
            SimulationEvent::Submit { notification, relay } => self.handle_submission(notification, relay),
            SimulationEvent::Withdraw { notification } => self.handle_withdrawal(notification),
            SimulationEvent::RelayTurn { relay, incarnation } => {
                let node = &mut self.nodes[relay];
                if node.incarnation == incarnation && node.is_running {
                    self.run_turn(relay);
                }
            }
            SimulationEvent::Wake { relay, incarnation } => {
                if self.nodes[relay].incarnation == incarnation && self.nodes[relay].wake_at <= self.now {
                    self.schedule_turn(relay);
                }
            }
            SimulationEvent::RelayInput { relay, incarnation, input } => {
                if self.nodes[relay].incarnation == incarnation && self.nodes[relay].is_running {
                    self.enqueue_input(relay, input);
                }
            }
            SimulationEvent::ConnectionRequest(call) => self.handle_connection_request(call),
            SimulationEvent::RequestReceived(call) => self.handle_request(call),
            SimulationEvent::ServiceFinished(call) => self.handle_service_finished(call),
            SimulationEvent::ResponseReceived { call, status, wait, limit } => {
                self.handle_response(call, status, wait, limit)
            }
            SimulationEvent::PushTimeout { call, ntf } => self.handle_push_timeout(call, ntf),
            SimulationEvent::ConnectTimeout(call) => {
                if self.calls.get(&call).is_some_and(|c| c.is_awaited && !c.is_connected) {
                    self.abort_call(call, Status::NoConnection);
                }
            }
            SimulationEvent::CloseIdleConnections { relay, endpoint } => {
                self.close_idle_connections(relay, endpoint)
            }
            SimulationEvent::FaultBoundary(index) => self.handle_fault_boundary(index),
            SimulationEvent::EndpointDrain { endpoint, terminates_after } => {
                self.replace_endpoint(endpoint, terminates_after)
            }
            SimulationEvent::EndpointTerminated(endpoint) => {
                self.endpoints[endpoint].is_terminated = true;
                self.publish_readiness(endpoint, Readiness::Deleted);
                self.update_route_outage(self.endpoints[endpoint].plan.route);
            }
            SimulationEvent::RelayStart(relay) => self.start_relay(relay),
            SimulationEvent::SampleSecond => self.sample_second(),
        }
    }

    fn sample_second(&mut self) {
        let (out, held) = (self.calls.len(), self.nodes.iter().map(|node| node.pending.len()).sum());
        let before = self.now - Span::from_nanos(1);
        let second = self.recorder.second_at(before);
        (second.in_flight_calls, second.pending_notifications) = (out, held);
        let index = before.since(Time::default()).as_secs_f64() as usize;
        for (destination, n) in &self.series_index {
            let mut routes: BTreeSet<usize> = BTreeSet::new();
            let ends = &self.fleet.destinations[*destination].endpoints;
            routes.extend(ends.iter().map(|end| self.fleet.endpoints[*end].route));
            let mut capacity = 0.0;
            for route in &routes {
                let route = &self.routes[*route];
                let faults = route.endpoints.first().map(|end| &self.endpoints[*end].faults);
                let limit = faults
                    .map_or(1.0, |s| s.factor(&self.fault_windows, FaultKind::Limit, self.now).min(1.0));
                capacity += if route.is_out() {
                    0.0
                } else {
                    route.plan.capacity * route.capacity_fraction(self.now) * limit
                };
            }
            let watched = &mut self.recorder.metrics.destination_series[*n];
            let least = index + 1;
            for series in [&mut watched.reached, &mut watched.delivered, &mut watched.capacity] {
                series.resize(series.len().max(least), 0.0);
            }
            watched.capacity[index] = capacity;
        }
        self.queue.schedule(self.now + Span::from_millis(1_000), SimulationEvent::SampleSecond);
    }

    fn add_to_series(
        &mut self, destination: usize, what: impl Fn(&mut DestinationSeries) -> &mut Vec<f64>, count: f64,
    ) {
        if let Some(index) = self.series_index.get(&destination) {
            let second = self.now.since(Time::default()).as_secs_f64() as usize;
            let series = what(&mut self.recorder.metrics.destination_series[*index]);
            series.resize(series.len().max(second + 1), 0.0);
            series[second] += count;
        }
    }

    // ---- Clients ----

    // ---- Relays ----

    // ---- The list ----

    // ---- Troubles ----

    // ---- Calls ----
}
