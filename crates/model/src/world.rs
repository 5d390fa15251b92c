//! A run: the world in which relays take notifications on and push them, event by event. It owns the clock, the calls
//! that are out, the connections and what each relay holds in its folder; it hands relays their events and carries
//! out their commands as the relay on sockets does. It must never decide anything for a relay.

mod build;
mod calls;
mod ends;
mod hand_in;
mod relays;
mod state;
mod troubles;
mod truth;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use juniperwing::interface::{CallStatus, Readiness};
use juniperwing::time::{Span, Time};
use rand_chacha::ChaCha8Rng;

use crate::chance::Chance;
use crate::clients::Traffic;
use crate::endpoint::{CallId, Endpoint, Lane};
use crate::figures::{Figures, Ledger, Undelivered, Watched};
use crate::fleet::{Fleet, span_ms as ms};
use crate::judge::{self, Judge};
use crate::policy::Policies;
use crate::queue::Queue;
use crate::scenario::{Scenario, Woe};
use crate::woes::{Spell, Struck};
use state::{Call, Happens, Message, Node, Share};

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
pub fn play(scenario: &Scenario, seed: u64, policies: &dyn Policies) -> Figures {
    let mut world = World::new(&scenario.resolve(seed), seed, policies);
    world.run();
    world.finish()
}

struct World<'a> {
    scenario: Scenario,
    fleet: Fleet,
    policies: &'a dyn Policies,
    chance: Chance,
    queue: Queue<Happens>,
    now: Time,
    spells: Vec<Spell>,
    /// Whom the troubles strike: destinations, and relays for those that act on them.
    struck: Vec<Struck>,
    struck_relays: Vec<Vec<usize>>,
    struck_ends: Vec<Vec<usize>>,
    traffic: Traffic,
    nodes: Vec<Node>,
    endpoints: Vec<Endpoint>,
    lanes: Vec<Lane>,
    readiness: Vec<Readiness>,
    ids: HashMap<Arc<str>, usize>,
    messages: Vec<Message>,
    shares: Vec<Share>,
    calls: BTreeMap<CallId, Call>,
    next_call: CallId,
    next_ntf: u64,
    clients: ChaCha8Rng,
    /// Messages that are neither delivered nor given up.
    open: usize,
    sources_left: usize,
    judge: Judge,
    judged: judge::Figures,
    ledger: Ledger,
    watched: BTreeMap<usize, usize>,
    events: u64,
    most_events: u64,
}

impl World<'_> {
    fn run(&mut self) {
        for relay in 0..self.nodes.len() {
            self.start(relay);
        }
        for source in 0..self.traffic.sources() {
            self.sources_left += 1;
            self.draw(source);
        }
        for place in 0..self.spells.len() {
            self.queue.put(self.spells[place].from, Happens::Edge(place));
            self.queue.put(self.spells[place].to, Happens::Edge(place));
        }
        self.queue.put(Time::from_nanos(1_000_000_000), Happens::Second);
        let span = Span::from_secs_f64(self.scenario.span_s.least);
        let longest = self.scenario.topic.iter().map(|topic| topic.ttl_ms).fold(0.0, f64::max);
        let last = Time::default() + span + ms(longest) + TAIL;
        let edges =
            self.spells.iter().map(|spell| spell.to).filter(|to| *to < last).max().unwrap_or_default();
        let end = edges.max(Time::default() + span);
        while let Some((now, event)) = self.queue.take() {
            self.now = now;
            self.events += 1;
            if self.events > self.most_events {
                self.ledger.figures.cut = true;
                break;
            }
            self.happens(event);
            let over = self.open == 0 && self.sources_left == 0 && self.calls.is_empty();
            if now > last || now >= end && over {
                break;
            }
        }
    }

    fn finish(mut self) -> Figures {
        let left: Vec<usize> = (0..self.messages.len()).filter(|m| !self.messages[*m].done).collect();
        left.into_iter().for_each(|message| self.give_up(message, Undelivered::Gone));
        let (breaks, broken) = self.judge.finish(self.now);
        let figures = &mut self.ledger.figures;
        (figures.breaks, figures.broken, figures.events) = (breaks, broken, self.events);
        figures.returns = (
            self.lanes.iter().filter(|l| l.back.is_some()).count(),
            self.lanes.iter().filter(|l| l.fallen).count(),
        );
        self.ledger.finish()
    }

    fn happens(&mut self, event: Happens) {
        match event {
            Happens::Draw(source, arrival) => {
                self.arrives(*arrival);
                self.draw(source);
            }
            Happens::HandIn { message, relay } => self.hand_in(message, relay),
            Happens::TakenBack { message } => self.taken_back(message),
            Happens::Turn { relay, life } => {
                let node = &mut self.nodes[relay];
                if node.life == life && node.up {
                    self.turn(relay);
                }
            }
            Happens::Wake { relay, life } => {
                if self.nodes[relay].life == life && self.nodes[relay].wake <= self.now {
                    self.wants_turn(relay);
                }
            }
            Happens::Tell { relay, life, told } => {
                if self.nodes[relay].life == life && self.nodes[relay].up {
                    self.tell(relay, told);
                }
            }
            Happens::Connect(call) => self.connect(call),
            Happens::Reach(call) => self.reach(call),
            Happens::Served(call) => self.served(call),
            Happens::Back { call, status, wait, limit } => self.back(call, status, wait, limit),
            Happens::Due { call, ntf } => self.due(call, ntf),
            Happens::ConnectDue(call) => {
                if self.calls.get(&call).is_some_and(|c| c.open && !c.up) {
                    self.broke(call, CallStatus::NoConnection);
                }
            }
            Happens::Retire { relay, endpoint } => self.retire(relay, endpoint),
            Happens::Edge(place) => self.edge(place),
            Happens::Drain { endpoint, gone_after } => self.drain(endpoint, gone_after),
            Happens::Gone(endpoint) => {
                self.endpoints[endpoint].gone = true;
                self.changed(endpoint, Readiness::Deleted);
                self.note_lane(self.endpoints[endpoint].plan.lane);
            }
            Happens::Start(relay) => self.start(relay),
            Happens::Second => self.second(),
        }
    }

    fn second(&mut self) {
        let (out, held) = (self.calls.len(), self.nodes.iter().map(|node| node.held.len()).sum());
        let before = self.now - Span::from_nanos(1);
        let second = self.ledger.second(before);
        (second.out, second.held) = (out, held);
        let place = before.since(Time::default()).as_secs_f64() as usize;
        for (destination, n) in &self.watched {
            let mut lanes: BTreeSet<usize> = BTreeSet::new();
            let ends = &self.fleet.destinations[*destination].endpoints;
            lanes.extend(ends.iter().map(|end| self.fleet.endpoints[*end].lane));
            let mut capacity = 0.0;
            for lane in &lanes {
                let lane = &self.lanes[*lane];
                let struck = lane.endpoints.first().map(|end| &self.endpoints[*end].struck);
                let limit = struck.map_or(1.0, |s| s.factor(&self.spells, Woe::Limit, self.now).min(1.0));
                capacity +=
                    if lane.is_out() { 0.0 } else { lane.plan.capacity * lane.level(self.now) * limit };
            }
            let watched = &mut self.ledger.figures.watched[*n];
            let least = place + 1;
            for series in [&mut watched.reached, &mut watched.delivered, &mut watched.capacity] {
                series.resize(series.len().max(least), 0.0);
            }
            watched.capacity[place] = capacity;
        }
        self.queue.put(self.now + Span::from_millis(1_000), Happens::Second);
    }

    fn watch(&mut self, destination: usize, what: impl Fn(&mut Watched) -> &mut Vec<f64>, count: f64) {
        if let Some(place) = self.watched.get(&destination) {
            let second = self.now.since(Time::default()).as_secs_f64() as usize;
            let series = what(&mut self.ledger.figures.watched[*place]);
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
