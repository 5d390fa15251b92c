//! A run: the world in which relays take notifications on and push them, event by event. It owns the clock, the calls
//! that are out, the connections and what each relay holds in its folder; it hands relays their events and carries
//! out their commands as the relay on sockets does. It must never decide anything for a relay.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use juniperwing::interface::{
    Command, EndpointId, Entry, Event, LimitReport, News, Notification, NtfId, Outcome, Past, Readiness,
    Status,
};
use juniperwing::time::{Span, Time};
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::chance::{Chance, Concern};
use crate::clients::{Arrival, Traffic, comes_again};
use crate::endpoint::{CallId, Endpoint, Lane, Outage, Place};
use crate::figures::{Figures, Ledger, Undelivered, Watched, worth};
use crate::fleet::{EndpointPlan, Fleet, RelayPlan, destination_id, endpoint_id, span_ms as ms};
use crate::judge::{self, Judge, Ran, Repeat, Taken, To};
use crate::policy::{Policies, Policy, TrueState, Truth};
use crate::queue::Queue;
use crate::scenario::{Effect, Scenario, Woe};
use crate::woes::{Spell, Struck};

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

enum Happens {
    /// A source brings its next notification.
    Draw(usize, Box<Arrival>),
    HandIn {
        message: usize,
        relay: usize,
    },
    TakenBack {
        message: usize,
    },
    Turn {
        relay: usize,
        life: u32,
    },
    Wake {
        relay: usize,
        life: u32,
    },
    Tell {
        relay: usize,
        life: u32,
        told: Told,
    },
    /// A connection is asked for, and then the call reaches the endpoint.
    Connect(CallId),
    Reach(CallId),
    Served(CallId),
    Back {
        call: CallId,
        status: Status,
        wait: Option<Span>,
        limit: Option<LimitReport>,
    },
    Due {
        call: CallId,
        ntf: u64,
    },
    ConnectDue(CallId),
    Retire {
        relay: usize,
        endpoint: usize,
    },
    /// A trouble begins or ends.
    Edge(usize),
    Drain {
        endpoint: usize,
        gone_after: Span,
    },
    Gone(usize),
    Start(usize),
    /// A second is over.
    Second,
}

/// What a relay is told with its next turn.
enum Told {
    Accepted(u64),
    Ended { outcome: Box<Outcome>, lane: usize },
    List(Vec<(usize, Readiness)>),
    Whole,
    Broken,
    Withdrawn(u64),
    Heard(u64),
}

/// A notification as its client has it, over all times that it is handed in.
struct Message {
    topic: usize,
    destination: usize,
    account: Option<usize>,
    benefit: f64,
    born: Time,
    valid_until: Time,
    key: Option<String>,
    work: f64,
    again: u32,
    /// It was delivered, or its client has given up.
    done: bool,
    delivered: bool,
    /// Under which id it is held, and where.
    held: Option<(usize, u64)>,
}

/// What a relay's folder holds of a notification.
#[derive(Clone, Debug)]
struct Held {
    message: usize,
    pushes: u32,
    ran: Option<(Time, usize)>,
    out: Option<(Time, usize)>,
    doubt: Option<Time>,
    ended: bool,
    /// Handed in in this turn and not answered yet.
    fresh: bool,
}

struct Member {
    ntf: u64,
    message: usize,
    push: u32,
    out: bool,
    ordered: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Where {
    Flying,
    Waiting,
    Running,
    Done,
}

struct Call {
    relay: usize,
    endpoint: usize,
    lane: usize,
    members: Vec<Member>,
    sent: Time,
    one_way: Span,
    /// Its connection is up.
    up: bool,
    /// The relay still waits for it.
    open: bool,
    place: Where,
    /// Its connection breaks once it has run.
    breaks: bool,
}

struct Node {
    plan: RelayPlan,
    policy: Option<Box<dyn Policy>>,
    life: u32,
    up: bool,
    inbox: Vec<Told>,
    turn_at: Option<Time>,
    last_turn: Option<Time>,
    wake: Time,
    held: BTreeMap<u64, Held>,
    calls: BTreeSet<CallId>,
    /// Idle connections by endpoint, each with the time since when.
    idle: BTreeMap<usize, Vec<Time>>,
    chance: ChaCha8Rng,
    list: ChaCha8Rng,
    watches: bool,
    /// Changes of the list that could not be told.
    missed: BTreeSet<usize>,
    told_until: Time,
}

/// A token bucket for an account's share.
struct Share {
    quota: f64,
    left: f64,
    at: Time,
    over: f64,
}

/// What an oracle may see.
struct View<'a> {
    now: Time,
    endpoints: &'a [Endpoint],
    lanes: &'a [Lane],
    spells: &'a [Spell],
    ids: &'a HashMap<Arc<str>, usize>,
    figures: judge::Figures,
}

impl Truth for View<'_> {
    fn endpoint(&self, endpoint: &EndpointId) -> Option<TrueState> {
        let endpoint = &self.endpoints[*self.ids.get(&endpoint.0)?];
        let (lane, struck, now) = (&self.lanes[endpoint.plan.lane], &endpoint.struck, self.now);
        let cut = [Woe::CutThere, Woe::CutBack].into_iter().any(|what| struck.any(self.spells, what, now));
        let out = cut || struck.out(self.spells, now) || struck.goes_on(self.spells, now).is_some();
        let factor = struck.factor(self.spells, Woe::Limit, now) * lane.level(now);
        Some(TrueState {
            answers: !endpoint.gone && !lane.fallen && !out,
            room: endpoint.plan.servers.saturating_sub(endpoint.running),
            waiting: endpoint.queue.len(),
            left: lane.limit.told(1.0).map_or(1.0, |_| lane.limit.clone().left(now, factor)),
            spare: lane.spare(now, self.figures.tip_after, self.figures.fall_multiple),
        })
    }
}

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

impl<'a> World<'a> {
    fn new(scenario: &Scenario, seed: u64, policies: &'a dyn Policies) -> World<'a> {
        let chance = Chance::new(seed);
        let fleet = Fleet::draw(scenario, &chance);
        let rules = &scenario.rules;
        let judged = judge::Figures {
            answer_slack: ms(rules.answer_slack_ms),
            drain_grace: ms(rules.drain_grace_ms),
            settle: ms(rules.settle_ms),
            fall_multiple: rules.fall_multiple,
            tip_after: ms(rules.tip_after_ms),
            fall_slack: rules.fall_slack,
        };
        let spells: Vec<Spell> = scenario
            .trouble
            .iter()
            .map(|trouble| {
                let topic = trouble.topic.as_ref();
                let topic = topic.and_then(|name| scenario.topic.iter().position(|t| t.name == *name));
                let account = trouble.account.as_ref();
                let account = account.and_then(|name| scenario.account.iter().position(|a| a.name == *name));
                Spell::of(trouble, topic, account)
            })
            .collect();
        let mut endpoints: Vec<Endpoint> = Vec::new();
        for (place, plan) in fleet.endpoints.iter().enumerate() {
            endpoints.push(new_endpoint(plan.clone(), Struck::default(), place, &chance));
        }
        let mut lanes: Vec<Lane> = fleet.lanes.iter().cloned().map(Lane::new).collect();
        for (place, plan) in fleet.endpoints.iter().enumerate() {
            lanes[plan.lane].endpoints.push(place);
        }
        let mut struck = vec![Struck::default(); fleet.destinations.len()];
        let (mut struck_relays, mut struck_ends) = (Vec::new(), Vec::new());
        for (place, spell) in spells.iter().enumerate() {
            let (destinations, ends, relays) = strike(scenario, &fleet, place, spell, &chance);
            destinations.into_iter().for_each(|d| struck[d].by(place));
            ends.iter().for_each(|end| endpoints[*end].struck.by(place));
            struck_ends.push(ends);
            struck_relays.push(relays);
        }
        let hot = (0..spells.len()).filter(|n| spells[*n].what == Woe::HotRelays);
        let hot =
            hot.map(|n| (n, struck_relays[n].clone(), chance.stream(Concern::Trouble, n << 1 | 1))).collect();
        let traffic = Traffic::new(scenario, &fleet, &chance, &spells, &struck, hot);
        let node = |(place, plan): (usize, &RelayPlan)| Node {
            plan: plan.clone(),
            policy: None,
            life: 0,
            up: false,
            inbox: Vec::new(),
            turn_at: None,
            last_turn: None,
            wake: Time::NEVER,
            held: BTreeMap::new(),
            calls: BTreeSet::new(),
            idle: BTreeMap::new(),
            chance: chance.stream(Concern::Network, place),
            list: chance.stream(Concern::List, place),
            watches: false,
            missed: BTreeSet::new(),
            told_until: Time::default(),
        };
        let nodes = fleet.relays.iter().enumerate().map(node).collect();
        let topics: Vec<String> = scenario.topic.iter().map(|topic| topic.name.clone()).collect();
        let accounts: Vec<String> = scenario.account.iter().map(|account| account.name.clone()).collect();
        let mut ledger = Ledger::new(&topics, &accounts);
        ledger.figures.scenario = scenario.name.clone();
        ledger.figures.policy = policies.name().to_owned();
        ledger.figures.seed = seed;
        ledger.figures.size = (fleet.relays.len(), fleet.destinations.len(), fleet.endpoints.len());
        let shares = fleet.accounts.iter().zip(&scenario.account).map(|(account, plan)| Share {
            quota: account.quota,
            left: account.quota,
            at: Time::default(),
            over: plan.over_share,
        });
        let shares = shares.collect();
        // Those struck first, then the busiest.
        let mut order: Vec<usize> = (0..fleet.destinations.len()).collect();
        order.sort_by_key(|d| (struck[*d].is_never(), *d));
        order.truncate(WATCHED);
        let watched = order.iter().enumerate().map(|(n, d)| (*d, n)).collect();
        ledger.figures.watched =
            order.into_iter().map(|destination| Watched { destination, ..Watched::default() }).collect();
        let span = scenario.span_s.least;
        let rate = scenario.traffic.rate.least * scenario.traffic.load.least;
        let most_events = EVENTS_A_SECOND * fleet.relays.len() as f64 * (span + 120.0)
            + EVENTS_AN_ARRIVAL * (rate * span * 4.0 + 1_000.0);
        World {
            readiness: vec![Readiness::Serving; endpoints.len()],
            ids: fleet.endpoints.iter().enumerate().map(|(n, plan)| (plan.id.0.clone(), n)).collect(),
            judge: Judge::new(judged, lanes.len()),
            clients: chance.stream(Concern::Clients, 0),
            scenario: scenario.clone(),
            policies,
            chance,
            queue: Queue::default(),
            now: Time::default(),
            spells,
            struck,
            struck_relays,
            struck_ends,
            traffic,
            nodes,
            endpoints,
            lanes,
            messages: Vec::new(),
            shares,
            calls: BTreeMap::new(),
            next_call: 0,
            next_ntf: 0,
            open: 0,
            sources_left: 0,
            judged,
            ledger,
            watched,
            events: 0,
            most_events: most_events as u64,
            fleet,
        }
    }

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
        let span = Span::from_secs(self.scenario.span_s.least);
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
                    self.broke(call, Status::NoConnection);
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
        let place = before.since(Time::default()).secs() as usize;
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
            let second = self.now.since(Time::default()).secs() as usize;
            let series = what(&mut self.ledger.figures.watched[*place]);
            series.resize(series.len().max(second + 1), 0.0);
            series[second] += count;
        }
    }

    // ---- Clients ----

    fn draw(&mut self, source: usize) {
        match self.traffic.next(source, &self.fleet, &self.spells, &self.struck) {
            Some(arrival) => {
                let at = arrival.drawn;
                self.queue.put(at, Happens::Draw(source, Box::new(arrival)));
            }
            None => self.sources_left -= 1,
        }
    }

    fn arrives(&mut self, arrival: Arrival) {
        let Arrival { at, destination, topic, relay, key, work, ttl, patience, .. } = arrival;
        let account = self.fleet.destinations[destination].account;
        let mut benefit = self.scenario.topic[topic].benefit;
        if let Some(share) = account.map(|account| &mut self.shares[account]) {
            share.left = (share.left + share.quota * at.since(share.at).secs()).min(share.quota.max(1.0));
            share.at = share.at.max(at);
            if share.left < 1.0 {
                benefit *= share.over;
            } else {
                share.left -= 1.0;
            }
        }
        let message = self.messages.len();
        self.messages.push(Message {
            topic,
            destination,
            account,
            benefit,
            born: at,
            valid_until: at + ttl,
            key,
            work,
            again: 0,
            done: false,
            delivered: false,
            held: None,
        });
        self.open += 1;
        self.ledger.offered(at, topic, account, benefit);
        self.queue.put(at, Happens::HandIn { message, relay });
        if let Some(patience) = patience {
            self.queue.put(at + patience, Happens::TakenBack { message });
        }
    }

    fn hand_in(&mut self, message: usize, relay: usize) {
        if self.messages[message].done {
            return;
        }
        if self.now >= self.messages[message].valid_until {
            return self.give_up(message, Undelivered::Gone);
        }
        if !self.nodes[relay].up {
            return self.elsewhere(message);
        }
        if self.nodes[relay].held.len() >= self.nodes[relay].plan.allowance.held {
            self.ledger.figures.hold_full += 1;
            return self.again(message, relay, None);
        }
        self.next_ntf += 1;
        let ntf = self.next_ntf;
        let held = Held { message, pushes: 0, ran: None, out: None, doubt: None, ended: false, fresh: true };
        self.nodes[relay].held.insert(ntf, held);
        self.messages[message].held = Some((relay, ntf));
        self.tell(relay, Told::Accepted(ntf));
    }

    /// Its relay is gone: it comes to a live one after a while.
    fn elsewhere(&mut self, message: usize) {
        let live: Vec<usize> = (0..self.nodes.len()).filter(|relay| self.nodes[*relay].up).collect();
        let after = ms(self.scenario.clients.orphan_ms.draw(&mut self.clients));
        let place = self.clients.random::<u32>() as usize;
        // With none left, any will do: it asks again.
        let relay = if live.is_empty() { place % self.nodes.len() } else { live[place % live.len()] };
        self.queue.put(self.now + after, Happens::HandIn { message, relay });
    }

    /// It was turned away: its client comes again, or gives up.
    fn again(&mut self, message: usize, relay: usize, retry_in: Option<Span>) {
        self.messages[message].held = None;
        if self.messages[message].done {
            return;
        }
        let plan = &self.scenario.clients;
        let longest = ms(plan.longest_retry_ms);
        let told = retry_in.filter(|_| longest > Span::ZERO).map(|span| span.min(longest));
        let again = self.messages[message].again;
        match comes_again(plan, &mut self.clients, again, told) {
            Some(after) if self.now + after < self.messages[message].valid_until => {
                self.messages[message].again += 1;
                self.ledger.figures.again += 1;
                self.queue.put(self.now + after, Happens::HandIn { message, relay });
            }
            _ => self.give_up(message, Undelivered::Throttled),
        }
    }

    fn give_up(&mut self, message: usize, why: Undelivered) {
        let message = &mut self.messages[message];
        if !std::mem::replace(&mut message.done, true) {
            self.open -= 1;
            if !message.delivered {
                self.ledger.undelivered(message.topic, message.account, why);
            }
        }
    }

    fn taken_back(&mut self, message: usize) {
        if let Some((relay, ntf)) = self.messages[message].held
            && let Some(held) = self.nodes[relay].held.get(&ntf)
            && !held.ended
            && self.nodes[relay].up
        {
            self.nodes[relay].held.remove(&ntf);
            self.judge.withdrawn(ntf);
            self.tell(relay, Told::Withdrawn(ntf));
        }
        self.messages[message].held = None;
        self.give_up(message, Undelivered::Gone);
    }

    // ---- Relays ----

    fn start(&mut self, relay: usize) {
        let (seed, life) = (self.nodes[relay].plan.seed, self.nodes[relay].life);
        let seed = seed.wrapping_add(u64::from(life));
        let policy = self.policies.start(self.now, relay, seed, &self.fleet);
        let node = &mut self.nodes[relay];
        (node.policy, node.up, node.wake, node.turn_at) = (Some(policy), true, self.now, None);
        (node.watches, node.told_until) = (false, self.now);
        node.missed.clear();
        self.tell(relay, Told::Whole);
        self.judge.started(self.now, relay, MOMENT);
        let owed: Vec<u64> = self.nodes[relay].held.keys().copied().collect();
        for ntf in owed {
            let ended = self.nodes[relay].held[&ntf].ended;
            self.tell(relay, Told::Accepted(ntf));
            if ended {
                self.notice(relay, ntf);
            }
        }
        self.wants_turn(relay);
    }

    /// A relay's process ends at once.
    fn kill(&mut self, relay: usize, kept: bool, back_after: Span) {
        if !self.nodes[relay].up {
            return;
        }
        let calls: Vec<CallId> = self.nodes[relay].calls.iter().copied().collect();
        calls.into_iter().for_each(|call| self.close(call, false));
        let idle = std::mem::take(&mut self.nodes[relay].idle);
        for (endpoint, since) in idle {
            self.endpoints[endpoint].connections -= since.len();
        }
        // What was told to nobody: an answer that no turn has seen is lost with the process.
        let node = &mut self.nodes[relay];
        (node.policy, node.up, node.life) = (None, false, node.life + 1);
        node.inbox.clear();
        // What had no 202 yet is not owed: its client comes again.
        let fresh: Vec<u64> = node.held.iter().filter(|(_, held)| held.fresh).map(|(ntf, _)| *ntf).collect();
        let gone: Vec<(u64, Held)> = if kept {
            fresh.iter().filter_map(|ntf| node.held.remove(ntf).map(|held| (*ntf, held))).collect()
        } else {
            std::mem::take(&mut node.held).into_iter().collect()
        };
        self.judge.stopped(self.now, relay, kept);
        for (_, held) in gone {
            let once = self.scenario.topic[self.messages[held.message].topic].effect == Effect::OnceOnly;
            let may_have_run = held.ran.is_some() || held.out.is_some();
            self.messages[held.message].held = None;
            if held.ended || self.messages[held.message].done {
                continue;
            }
            if once && may_have_run {
                self.give_up(held.message, Undelivered::Gone);
            } else {
                self.elsewhere(held.message);
            }
        }
        self.queue.put(self.now + back_after, Happens::Start(relay));
    }

    fn tell(&mut self, relay: usize, told: Told) {
        self.nodes[relay].inbox.push(told);
        self.wants_turn(relay);
    }

    fn wants_turn(&mut self, relay: usize) {
        let node = &mut self.nodes[relay];
        if node.turn_at.is_none() && node.up {
            let tick = ms(self.scenario.relays.tick_ms).max(LEAST_TICK);
            let at = node.last_turn.map_or(self.now, |last| (last + tick).max(self.now));
            node.turn_at = Some(at);
            let life = node.life;
            self.queue.put(at, Happens::Turn { relay, life });
        }
    }

    fn turn(&mut self, relay: usize) {
        let now = self.now;
        let node = &mut self.nodes[relay];
        (node.turn_at, node.last_turn) = (None, Some(now));
        let inbox = std::mem::take(&mut node.inbox);
        let (mut events, mut waits, mut fresh) = (Vec::new(), Vec::new(), Vec::new());
        for told in inbox {
            if let Some(event) = self.event(relay, told, &mut waits, &mut fresh) {
                events.push(event);
            }
        }
        let node = &mut self.nodes[relay];
        if node.wake <= now {
            node.wake = Time::NEVER;
            events.push(Event::Woken);
        }
        if events.is_empty() {
            return;
        }
        self.ledger.figures.turns += 1;
        let Some(mut policy) = self.nodes[relay].policy.take() else { return };
        let view = View {
            now,
            endpoints: &self.endpoints,
            lanes: &self.lanes,
            spells: &self.spells,
            ids: &self.ids,
            figures: self.judged,
        };
        let commands = policy.handle(now, events, &view);
        self.nodes[relay].policy = Some(policy);
        self.carry_out(relay, &commands);
        for ntf in fresh {
            if let Some(held) = self.nodes[relay].held.get_mut(&ntf) {
                held.fresh = false;
            }
        }
        for (lane, until) in waits {
            self.judge.told_to_wait(relay, lane, until);
        }
    }

    /// What a relay is told, as the core has it; the judge and the folder take note.
    fn event(
        &mut self, relay: usize, told: Told, waits: &mut Vec<(usize, Time)>, fresh: &mut Vec<u64>,
    ) -> Option<Event> {
        let now = self.now;
        Some(match told {
            Told::Accepted(ntf) => {
                let held = self.nodes[relay].held.get(&ntf)?.clone();
                if held.fresh {
                    fresh.push(ntf);
                    self.judge.taken(now, relay, ntf, self.taken(held.message));
                } else {
                    // An earlier life took it: what was out then may have run, and may do so still.
                    let held = self.nodes[relay].held.get_mut(&ntf)?;
                    held.ran = held.ran.or(held.out);
                    held.doubt = if held.out.take().is_some() { Some(now) } else { held.doubt };
                }
                Event::Accepted(self.notification(ntf, &self.nodes[relay].held[&ntf]))
            }
            Told::Ended { mut outcome, lane } => {
                let (ntf, status) = (outcome.ntf.0, outcome.status);
                let ran = match status {
                    Status::Busy | Status::NoConnection | Status::Crowded | Status::Skipped => Ran::Never,
                    Status::TimedOut | Status::Reset | Status::Cancelled => Ran::Unsure,
                    Status::Delivered | Status::Error => Ran::Maybe,
                };
                self.judge.outcome(now, relay, ntf, outcome.push, ran);
                if !matches!(status, Status::Delivered | Status::Cancelled | Status::Skipped) {
                    self.judge.saw_failure(relay, lane);
                }
                if let Some(wait) = outcome.wait {
                    waits.push((lane, now + wait));
                }
                self.ledger.ended(now, status);
                let mut message = None;
                if let Some(held) = self.nodes[relay].held.get_mut(&ntf) {
                    let out = held.out.take();
                    if ran != Ran::Never {
                        held.ran = held.ran.or(out);
                    }
                    if ran == Ran::Unsure {
                        held.doubt = Some(now);
                    }
                    if status == Status::Delivered {
                        message = Some((held.message, held.ended));
                    }
                    outcome.settled = held.ended;
                } else {
                    outcome.settled = true;
                }
                if let Some((message, ended)) = message {
                    outcome.settled = true;
                    self.nodes[relay].held.remove(&ntf);
                    self.messages[message].held = None;
                    if !ended {
                        self.judge.ended(now, relay, ntf, "delivered");
                    }
                    self.give_up(message, Undelivered::Gone);
                }
                Event::Ended(*outcome)
            }
            Told::List(changes) => {
                for (endpoint, readiness) in &changes {
                    self.judge.told_of(now, relay, *endpoint, *readiness == Readiness::Serving);
                }
                let entries =
                    changes.into_iter().map(|(endpoint, readiness)| self.entry(endpoint, readiness));
                Event::List(News::Changes(entries.collect()))
            }
            Told::Whole => {
                let live = (0..self.endpoints.len()).filter(|e| self.readiness[*e] != Readiness::Deleted);
                let live: Vec<(usize, Readiness)> = live.map(|e| (e, self.readiness[e])).collect();
                for (endpoint, readiness) in &live {
                    self.judge.told_of(now, relay, *endpoint, *readiness == Readiness::Serving);
                }
                let entries = live.into_iter().map(|(endpoint, readiness)| self.entry(endpoint, readiness));
                Event::List(News::Whole(entries.collect()))
            }
            Told::Broken => Event::List(News::Broken),
            Told::Withdrawn(ntf) => Event::Withdrawn(NtfId(ntf)),
            Told::Heard(ntf) => {
                self.nodes[relay].held.remove(&ntf);
                Event::Heard(NtfId(ntf))
            }
        })
    }

    fn taken(&self, message: usize) -> Taken {
        let message_ = &self.messages[message];
        let topic = &self.scenario.topic[message_.topic];
        let repeat = match topic.effect {
            Effect::Repeatable => Repeat::Harmless,
            Effect::Collapsible => Repeat::Dropped(ms(topic.window_ms), false),
            Effect::CollapsibleInZone => Repeat::Dropped(ms(topic.window_ms), true),
            Effect::OnceOnly => Repeat::Never,
        };
        let key = message_.key.clone().filter(|_| topic.ordered);
        Taken { repeat, key, valid_until: message_.valid_until }
    }

    fn notification(&self, ntf: u64, held: &Held) -> Notification {
        let message = &self.messages[held.message];
        let zone = |zone: usize| self.fleet.zones[zone].clone();
        Notification {
            id: NtfId(ntf),
            destination: destination_id(message.destination),
            topic: self.fleet.topics[message.topic].topic.clone(),
            account: message.account.map(|account| self.fleet.accounts[account].clone()),
            key: message.key.clone(),
            valid_until: message.valid_until,
            past: Past {
                taken_up: true,
                pushes: held.pushes,
                ran: held.ran.map(|(at, of)| (at, zone(of))),
                doubt: held.doubt,
                ended: held.ended,
            },
        }
    }

    fn entry(&self, endpoint: usize, readiness: Readiness) -> Entry {
        let plan = &self.endpoints[endpoint].plan;
        Entry {
            endpoint: plan.id.clone(),
            destination: destination_id(plan.destination),
            kind: self.fleet.kinds[self.fleet.destinations[plan.destination].kind].clone(),
            zone: self.fleet.zones[plan.zone].clone(),
            readiness,
            rate: self.lanes[plan.lane].plan.listed,
        }
    }

    /// Carries out what a relay commanded, in order, as the relay on sockets does.
    fn carry_out(&mut self, relay: usize, commands: &[Command]) {
        let mut rest = commands;
        while let Some((command, later)) = rest.split_first() {
            rest = later;
            match command {
                Command::Push { ntf, endpoint, time_out, .. } => {
                    let mut pushes = vec![(ntf.0, *time_out)];
                    let most = self.per_call(endpoint);
                    while let Some((Command::Push { ntf, endpoint: same, time_out, .. }, later)) =
                        rest.split_first()
                        && same == endpoint
                        && pushes.len() < most
                    {
                        pushes.push((ntf.0, *time_out));
                        rest = later;
                    }
                    self.push(relay, endpoint, &pushes);
                }
                Command::Cancel { ntf, push } => self.cancel(relay, ntf.0, *push),
                Command::Throttle { ntf, retry_in } => self.end(relay, ntf.0, Some(*retry_in)),
                Command::Expire(ntf) => self.end(relay, ntf.0, None),
                Command::Wake(after) => {
                    let at = self.now + *after;
                    let node = &mut self.nodes[relay];
                    if at < node.wake {
                        node.wake = at;
                        let life = node.life;
                        self.queue.put(at, Happens::Wake { relay, life });
                    }
                }
                Command::Subscribe => self.subscribe(relay),
                Command::Probe(_) => self.ledger.figures.probes += 1,
                Command::CloseIdle(endpoint) => {
                    if let Some(endpoint) = self.ids.get(&endpoint.0).copied() {
                        let idle = self.nodes[relay].idle.remove(&endpoint).unwrap_or_default();
                        self.endpoints[endpoint].connections -= idle.len();
                    }
                }
                // Here a call is out at once.
                Command::Log(_) | Command::Recall(_) => {}
            }
        }
    }

    fn per_call(&self, endpoint: &EndpointId) -> usize {
        let Some(endpoint) = self.ids.get(&endpoint.0) else { return 1 };
        let destination = self.endpoints[*endpoint].plan.destination;
        self.fleet.kinds[self.fleet.destinations[destination].kind].per_call.max(1)
    }

    /// A final answer that is no delivery.
    fn end(&mut self, relay: usize, ntf: u64, throttled: Option<Span>) {
        let name = if throttled.is_some() { "throttled" } else { "expired" };
        self.judge.ended(self.now, relay, ntf, name);
        let Some(held) = self.nodes[relay].held.get_mut(&ntf).filter(|held| !held.ended) else { return };
        held.ended = true;
        let (message, fresh) = (held.message, held.fresh);
        // In the turn that took it on the answer itself says so; later a notice does.
        if fresh {
            self.tell(relay, Told::Heard(ntf));
        } else {
            self.notice(relay, ntf);
        }
        match throttled {
            Some(retry_in) => self.again(message, relay, Some(retry_in)),
            None => {
                self.messages[message].held = None;
                self.give_up(message, Undelivered::Expired);
            }
        }
    }

    fn notice(&mut self, relay: usize, ntf: u64) {
        let node = &mut self.nodes[relay];
        let after = ms(self.scenario.relays.notice_ms.draw(&mut node.chance));
        let life = node.life;
        self.queue.put(self.now + after, Happens::Tell { relay, life, told: Told::Heard(ntf) });
    }

    // ---- The list ----

    fn list_down(&self) -> bool {
        self.spells.iter().any(|spell| spell.what == Woe::ListDown && spell.acts(self.now))
    }

    fn subscribe(&mut self, relay: usize) {
        self.ledger.figures.list_requests += 1;
        let down = self.list_down();
        let node = &mut self.nodes[relay];
        let at = self.now + ms(self.scenario.list.answer_ms.draw(&mut node.list));
        let life = node.life;
        let told = if down {
            Told::Broken
        } else {
            node.watches = true;
            let missed = std::mem::take(&mut node.missed);
            node.told_until = node.told_until.max(at);
            Told::List(missed.into_iter().map(|endpoint| (endpoint, self.readiness[endpoint])).collect())
        };
        self.queue.put(at, Happens::Tell { relay, life, told });
    }

    /// The list changes; each relay hears of it in its own time, of one change after the other.
    fn changed(&mut self, endpoint: usize, readiness: Readiness) {
        self.readiness[endpoint] = readiness;
        let stale = self.spells.iter().filter(|spell| spell.what == Woe::ListStale && spell.acts(self.now));
        let later = Span::from_secs(stale.map(|spell| spell.size).sum());
        let down = self.list_down();
        for relay in 0..self.nodes.len() {
            let node = &mut self.nodes[relay];
            let after = Span::from_secs(self.scenario.list.notice_s.draw(&mut node.list)) + later;
            if !node.up || !node.watches || down {
                node.missed.insert(endpoint);
                continue;
            }
            node.told_until = node.told_until.max(self.now + after);
            let (at, life) = (node.told_until, node.life);
            let told = Told::List(vec![(endpoint, readiness)]);
            self.queue.put(at, Happens::Tell { relay, life, told });
        }
    }

    // ---- Troubles ----

    fn edge(&mut self, place: usize) {
        let spell = self.spells[place].clone();
        let begins = self.now < spell.to;
        match spell.what {
            Woe::ListDown if begins => {
                for relay in 0..self.nodes.len() {
                    if self.nodes[relay].up && std::mem::take(&mut self.nodes[relay].watches) {
                        self.tell(relay, Told::Broken);
                    }
                }
            }
            Woe::Kill | Woe::Lose if begins => {
                let relays = self.struck_relays[place].clone();
                let kept = spell.what == Woe::Kill;
                relays.into_iter().for_each(|relay| self.kill(relay, kept, Span::from_secs(spell.size)));
            }
            Woe::Deploy if begins => {
                let ends = self.struck_ends[place].clone();
                let each = spell.to.since(spell.from).times(1.0 / ends.len().max(1) as f64);
                for (n, endpoint) in ends.into_iter().enumerate() {
                    let at = spell.from + each.times(n as f64);
                    self.queue.put(at, Happens::Drain { endpoint, gone_after: Span::from_secs(spell.size) });
                }
            }
            _ => {}
        }
        let lanes: BTreeSet<usize> =
            self.struck_ends[place].iter().map(|end| self.endpoints[*end].plan.lane).collect();
        lanes.into_iter().for_each(|lane| self.note_lane(lane));
    }

    /// Whether all of a lane is out just now.
    fn note_lane(&mut self, lane: usize) {
        let (now, spells) = (self.now, &self.spells);
        let mut live =
            self.lanes[lane].endpoints.iter().map(|e| &self.endpoints[*e]).filter(|e| !e.gone).peekable();
        let out = live.peek().is_some() && live.all(|end| end.struck.out(spells, now));
        let record = &mut self.lanes[lane];
        let least = Span::from_secs(self.scenario.rules.least_outage_s);
        match record.note_out(out, now, least) {
            Some(Outage::Began) => self.judge.outage(lane),
            Some(Outage::Ended) => {
                let cold = Some((record.plan.capacity, record.plan.cold));
                self.judge.returned(now, lane, cold);
            }
            Some(Outage::Brief) => self.judge.returned(now, lane, None),
            None => {}
        }
    }

    /// An endpoint drains, and another takes its place.
    fn drain(&mut self, endpoint: usize, gone_after: Span) {
        if self.readiness[endpoint] != Readiness::Serving {
            return;
        }
        let place = self.endpoints.len();
        let plan = EndpointPlan { id: endpoint_id(place), ..self.endpoints[endpoint].plan.clone() };
        let (lane, struck) = (plan.lane, self.endpoints[endpoint].struck.clone());
        self.ids.insert(plan.id.0.clone(), place);
        self.endpoints.push(new_endpoint(plan, struck, place, &self.chance));
        self.lanes[lane].endpoints.push(place);
        self.readiness.push(Readiness::Serving);
        self.changed(place, Readiness::Serving);
        self.changed(endpoint, Readiness::Draining);
        self.queue.put(self.now + gone_after, Happens::Gone(endpoint));
    }

    // ---- Calls ----

    fn push(&mut self, relay: usize, endpoint: &EndpointId, pushes: &[(u64, Span)]) {
        let now = self.now;
        let Some(place) = self.ids.get(&endpoint.0).copied() else {
            self.ledger.figures.faults += pushes.len() as u64;
            return;
        };
        let (lane, zone) = (self.endpoints[place].plan.lane, self.endpoints[place].plan.zone);
        let to = To { endpoint: place, zone, lane };
        let mut members = Vec::new();
        for (ntf, _) in pushes {
            let Some(held) = self.nodes[relay].held.get_mut(ntf) else {
                // The judge sees what was sent for something that is over; nobody else does.
                self.judge.sent(now, relay, *ntf, 0, to);
                self.ledger.figures.faults += 1;
                continue;
            };
            let (push, message) = (held.pushes, held.message);
            held.pushes += 1;
            held.out = Some((now, zone));
            self.judge.sent(now, relay, *ntf, push, to);
            if self.messages[message].destination != self.endpoints[place].plan.destination {
                self.ledger.figures.faults += 1;
            }
            let ordered = self.messages[message].key.is_some();
            members.push(Member { ntf: *ntf, message, push, out: true, ordered });
        }
        if members.is_empty() {
            return;
        }
        self.ledger.figures.pushes.sent += members.len() as u64;
        self.ledger.figures.pushes.calls += 1;
        self.ledger.second(now).pushes += members.len() as u64;
        self.next_call += 1;
        let id = self.next_call;
        let one_way = self.one_way(relay, place);
        let node = &mut self.nodes[relay];
        let call = Call {
            relay,
            endpoint: place,
            lane,
            members,
            sent: now,
            one_way,
            up: false,
            open: true,
            place: Where::Flying,
            breaks: false,
        };
        if node.calls.len() >= node.plan.allowance.slots {
            // More calls than slots: not sent at all.
            node.calls.insert(id);
            self.calls.insert(id, Call { place: Where::Done, ..call });
            self.queue.put(now, Happens::Back { call: id, status: Status::Skipped, wait: None, limit: None });
            return;
        }
        node.calls.insert(id);
        let idle = node.idle.get_mut(&place).and_then(Vec::pop).is_some();
        let cut = self.endpoints[place].struck.any(&self.spells, Woe::CutThere, now);
        self.calls.insert(id, Call { up: idle, ..call });
        for (ntf, time_out) in pushes {
            self.queue.put(now + *time_out, Happens::Due { call: id, ntf: *ntf });
        }
        if !idle {
            self.ledger.figures.connections += 1;
            let within = ms(self.scenario.network.connect_timeout_ms);
            self.queue.put(now + within, Happens::ConnectDue(id));
        }
        if cut {
            // Lost on the way: it reaches nobody.
            self.at(id, Where::Done);
        } else {
            let next = if idle { Happens::Reach(id) } else { Happens::Connect(id) };
            self.queue.put(now + one_way, next);
        }
    }

    /// How long a message takes between a relay and an endpoint just now.
    fn one_way(&mut self, relay: usize, endpoint: usize) -> Span {
        let network = &self.scenario.network;
        let (node, plan) = (&mut self.nodes[relay], &self.endpoints[endpoint].plan);
        let range = if node.plan.zone == plan.zone { network.near_ms } else { network.far_ms };
        let base = range.least + (range.most - range.least) * (node.plan.distance + plan.distance) / 2.0;
        ms(base * (1.0 + network.jitter * node.chance.random::<f64>()))
    }

    /// A connection is asked for at the endpoint.
    fn connect(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        if !call.open {
            return self.at(id, Where::Done);
        }
        let endpoint = &mut self.endpoints[call.endpoint];
        let struck = &endpoint.struck;
        let refuses = endpoint.gone || struck.any(&self.spells, Woe::Down, now);
        if refuses || endpoint.connections >= endpoint.plan.connections {
            let status = if refuses { Status::NoConnection } else { Status::Crowded };
            self.queue.put(now + call.one_way, Happens::Back { call: id, status, wait: None, limit: None });
            return self.at(id, Where::Done);
        }
        endpoint.connections += 1;
        call.up = true;
        let slow = struck.factor(&self.spells, Woe::Handshakes, now);
        let trips = 2.0 * self.scenario.network.handshake_rtts * slow;
        let kind = &self.scenario.kind[self.fleet.destinations[endpoint.plan.destination].kind];
        let work = ms(kind.handshake_work_ms * slow);
        self.queue.put(now + call.one_way.times(trips) + work, Happens::Reach(id));
    }

    /// The last byte of a call reaches the endpoint.
    fn reach(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let (place, lane, relay) = (call.endpoint, call.lane, call.relay);
        let destination = self.endpoints[place].plan.destination;
        let kind = &self.scenario.kind[self.fleet.destinations[destination].kind];
        let count = call.members.len();
        let item = (kind.item_cost.least + kind.item_cost.most) / 2.0;
        let weight = 1.0 + item * (count - 1) as f64;
        let (tells_wait, refused_count, noise) = (kind.tells_wait, kind.refused_count, kind.report_noise);
        let failing = call.members.iter().any(|member| {
            self.endpoints[place].struck.fails(&self.spells, self.messages[member.message].topic, now)
        });
        self.watch(destination, |w| &mut w.reached, count as f64);
        let endpoint = &mut self.endpoints[place];
        if endpoint.gone || endpoint.struck.any(&self.spells, Woe::Down, now) {
            return self.answer(id, Status::Reset, None);
        }
        if !self.lanes[lane].is_out() {
            self.judge.reached(now, relay, lane, weight);
        }
        let (window, multiple) = (self.judged.tip_after, self.judged.fall_multiple);
        let fell = self.lanes[lane].reach(now, weight, window, multiple, self.judged.fall_slack);
        let endpoint = &mut self.endpoints[place];
        let struck = &endpoint.struck;
        if fell || self.lanes[lane].fallen || struck.any(&self.spells, Woe::Silent, now) {
            // Taken, and never answered.
            return self.at(id, Where::Done);
        }
        if struck.any(&self.spells, Woe::Errors, now) || failing {
            return self.answer(id, Status::Error, None);
        }
        if struck.any(&self.spells, Woe::Refuses, now) {
            return self.answer(id, Status::Busy, None);
        }
        let spared = struck.spared(&self.spells, Woe::Resets, now);
        if spared < 1.0 {
            let broken = 1.0 - spared;
            let drawn = endpoint.draw();
            if drawn < broken / 2.0 {
                return self.answer(id, Status::Reset, None);
            }
            if let Some(call) = self.calls.get_mut(&id) {
                call.breaks = drawn < broken;
            }
        }
        let factor = endpoint.struck.factor(&self.spells, Woe::Limit, now) * self.lanes[lane].level(now);
        let limit = &mut self.lanes[lane].limit;
        let within = limit.take(now, factor, refused_count);
        endpoint.make_report(now, noise, limit, factor);
        if !within {
            let wait = (endpoint.draw() < tells_wait).then(|| limit.opens(now, factor));
            return self.answer(id, Status::Busy, wait.filter(|wait| *wait > Span::ZERO));
        }
        match endpoint.admit(id) {
            Place::Served => self.serve(id),
            Place::Waits => self.at(id, Where::Waiting),
            Place::Full => self.answer(id, Status::Busy, None),
        }
    }

    /// A call begins to be served.
    fn serve(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.place = Where::Running;
        let endpoint = &mut self.endpoints[call.endpoint];
        let destination = &self.fleet.destinations[endpoint.plan.destination];
        let item = self.scenario.kind[destination.kind].item_cost;
        let mut work = 0.0;
        for (n, member) in call.members.iter().enumerate() {
            let part = if n == 0 { 1.0 } else { item.least + (item.most - item.least) * endpoint.draw() };
            work += self.messages[member.message].work * part;
        }
        // Each try differs a little from the last, for the same notification.
        let first = call.members.first().map_or(0, |member| self.messages[member.message].topic);
        let work = endpoint.service(work / destination.speed, self.fleet.topics[first].try_cv);
        let slow = endpoint.struck.factor(&self.spells, Woe::Slow, now) / self.lanes[call.lane].level(now);
        let from = endpoint.struck.goes_on(&self.spells, now).unwrap_or(now);
        self.queue.put(from + Span::from_secs(work * slow), Happens::Served(id));
    }

    fn served(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let (place, lane, breaks) = (call.endpoint, call.lane, call.breaks);
        let endpoint = &mut self.endpoints[place];
        if let Some(at) = endpoint.struck.goes_on(&self.spells, now) {
            return self.queue.put(at, Happens::Served(id));
        }
        let silent = self.lanes[lane].fallen || endpoint.struck.any(&self.spells, Woe::Silent, now);
        let error = endpoint.draw() < endpoint.plan.error_rate;
        if let Some(next) = endpoint.release() {
            self.serve(next);
        }
        if silent {
            return self.at(id, Where::Done);
        }
        let status = if error { Status::Error } else { Status::Delivered };
        if !error {
            self.ran(id);
        }
        self.answer(id, if breaks { Status::Reset } else { status }, None);
    }

    /// What a call carried has run.
    fn ran(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let destination = self.endpoints[call.endpoint].plan.destination;
        let ran: Vec<(usize, u64)> = call.members.iter().map(|member| (member.message, member.ntf)).collect();
        for (place, ntf) in ran {
            let message = &mut self.messages[place];
            let topic = &self.scenario.topic[message.topic];
            self.judge.ran(self.now, place, ntf, topic.effect == Effect::OnceOnly);
            let spent = self.now.since(message.born);
            let in_time = self.now <= message.valid_until;
            let first = in_time && !std::mem::replace(&mut message.delivered, true);
            if !first {
                self.ledger.figures.pushes.wasted += 1;
                continue;
            }
            let (born, share) = (message.born, worth(topic, spent));
            let (topic, account, benefit, done) =
                (message.topic, message.account, message.benefit, message.done);
            // What its client gave up on before is delivered all the same, but no benefit to anybody.
            if !done {
                self.ledger.delivered(born, spent, topic, account, benefit, share);
                self.watch(destination, |w| &mut w.delivered, 1.0);
            }
        }
    }

    /// The endpoint answers a call, or its connection breaks.
    fn answer(&mut self, id: CallId, status: Status, wait: Option<Span>) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let endpoint = &self.endpoints[call.endpoint];
        let cut = endpoint.struck.any(&self.spells, Woe::CutBack, now);
        let kind = &self.scenario.kind[self.fleet.destinations[endpoint.plan.destination].kind];
        let limit = if kind.reports && status != Status::Reset { endpoint.report(now) } else { None };
        if !cut && call.open {
            self.queue.put(now + call.one_way, Happens::Back { call: id, status, wait, limit });
        }
        self.at(id, Where::Done);
    }

    /// Notes where a call is; one that is done and that nobody waits for is forgotten.
    fn at(&mut self, id: CallId, place: Where) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.place = place;
            if place == Where::Done && !call.open {
                self.calls.remove(&id);
            }
        }
    }

    /// An answer reaches the relay.
    fn back(&mut self, id: CallId, status: Status, wait: Option<Span>, limit: Option<LimitReport>) {
        if self.calls.get(&id).is_some_and(|call| call.open) {
            self.ended_all(id, status, wait, limit);
            let keep =
                !matches!(status, Status::NoConnection | Status::Crowded | Status::Reset | Status::Skipped);
            self.close(id, keep);
        }
    }

    /// All pushes of a call that are still out have their outcome.
    fn ended_all(&mut self, id: CallId, status: Status, wait: Option<Span>, limit: Option<LimitReport>) {
        let Some(call) = self.calls.get(&id) else { return };
        let out: Vec<usize> = (0..call.members.len()).filter(|n| call.members[*n].out).collect();
        out.into_iter().for_each(|member| self.ended(id, member, status, wait, limit));
    }

    /// One push of a call has its outcome.
    fn ended(
        &mut self, id: CallId, member: usize, status: Status, wait: Option<Span>, limit: Option<LimitReport>,
    ) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let of = &mut call.members[member];
        of.out = false;
        let outcome = Outcome {
            ntf: NtfId(of.ntf),
            push: of.push,
            endpoint: self.endpoints[call.endpoint].plan.id.clone(),
            status,
            spent: now.since(call.sent),
            settled: false,
            wait,
            limit,
        };
        let (relay, lane) = (call.relay, call.lane);
        self.tell(relay, Told::Ended { outcome: Box::new(outcome), lane });
    }

    /// A push's time is up.
    fn due(&mut self, id: CallId, ntf: u64) {
        let Some(call) = self.calls.get(&id).filter(|call| call.open) else { return };
        let Some(member) = call.members.iter().position(|m| m.ntf == ntf && m.out) else { return };
        let status = if call.up { Status::TimedOut } else { Status::NoConnection };
        self.end_member(id, member, status);
    }

    fn cancel(&mut self, relay: usize, ntf: u64, push: u32) {
        for id in &self.nodes[relay].calls {
            let of = |m: &Member| m.ntf == ntf && m.push == push && m.out;
            if let Some(member) = self.calls.get(id).and_then(|call| call.members.iter().position(of)) {
                return self.end_member(*id, member, Status::Cancelled);
            }
        }
    }

    /// A push ends before its call does. With the last the call is closed, and so it is with an ordered one.
    fn end_member(&mut self, id: CallId, member: usize, status: Status) {
        self.ended(id, member, status, None, None);
        let Some(call) = self.calls.get(&id) else { return };
        if call.members[member].ordered || !call.members.iter().any(|m| m.out) {
            self.broke(id, Status::Cancelled);
        }
    }

    /// A call is over without an answer.
    fn broke(&mut self, id: CallId, status: Status) {
        self.ended_all(id, status, None, None);
        self.close(id, false);
    }

    /// The relay is done with a call: its connection is kept or closed.
    fn close(&mut self, id: CallId, keep: bool) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.open = false;
        let (relay, place, up) = (call.relay, call.endpoint, call.up);
        let drops = call.place == Where::Waiting && {
            let destination = self.endpoints[place].plan.destination;
            self.scenario.kind[self.fleet.destinations[destination].kind].drops_cancelled
        };
        if drops {
            self.endpoints[place].queue.retain(|waiting| *waiting != id);
        }
        if drops || call.place == Where::Done {
            self.calls.remove(&id);
        }
        let node = &mut self.nodes[relay];
        node.calls.remove(&id);
        if up && keep {
            let idle = node.idle.entry(place).or_default();
            idle.push(now);
            if idle.len() == 1 {
                let after = Span::from_secs(self.scenario.network.idle_s * RETIRED_AT);
                self.queue.put(now + after, Happens::Retire { relay, endpoint: place });
            }
        } else if up {
            self.endpoints[place].connections -= 1;
        }
    }

    /// Connections that have been idle for long are closed.
    fn retire(&mut self, relay: usize, endpoint: usize) {
        let after = Span::from_secs(self.scenario.network.idle_s * RETIRED_AT);
        let node = &mut self.nodes[relay];
        let Some(idle) = node.idle.get_mut(&endpoint) else { return };
        let before = idle.len();
        idle.retain(|since| *since + after > self.now);
        self.endpoints[endpoint].connections -= before - idle.len();
        match idle.first() {
            Some(first) => {
                let at = *first + after;
                self.queue.put(at, Happens::Retire { relay, endpoint });
            }
            None => drop(node.idle.remove(&endpoint)),
        }
    }
}

fn new_endpoint(plan: EndpointPlan, struck: Struck, place: usize, chance: &Chance) -> Endpoint {
    let (service, noise) = (chance.stream(Concern::Service, place), chance.stream(Concern::Reports, place));
    Endpoint::new(plan, struck, service, noise)
}

/// Whom a trouble strikes: destinations, endpoints, relays.
fn strike(
    scenario: &Scenario, fleet: &Fleet, place: usize, spell: &Spell, chance: &Chance,
) -> (Vec<usize>, Vec<usize>, Vec<usize>) {
    let trouble = &scenario.trouble[place];
    let mut draws = chance.stream(Concern::Trouble, place << 1);
    // The first draws of this stream were the trouble's own figures.
    for _ in 0..5 {
        let _: f64 = draws.random();
    }
    let zone = trouble.zone.as_ref().and_then(|name| scenario.zones.iter().position(|zone| zone == name));
    let allowed = |destination: &usize| {
        let plan = &fleet.destinations[*destination];
        let kind = &scenario.kind[plan.kind].name;
        trouble.kind.as_ref().is_none_or(|name| name == kind)
            && spell.account.is_none_or(|account| plan.account == Some(account))
            && spell.topic.is_none_or(|topic| plan.rates[topic] > 0.0)
            && trouble.destination.is_none_or(|only| only == *destination)
            && zone.is_none_or(|zone| plan.endpoints.iter().any(|end| fleet.endpoints[*end].zone == zone))
    };
    let mut candidates: Vec<usize> = (0..fleet.destinations.len()).filter(allowed).collect();
    candidates.shuffle(&mut draws);
    let total: f64 = candidates.iter().map(|d| fleet.destinations[*d].rate()).sum();
    let (mut wanted, mut destinations) = (trouble.extent.least * total, Vec::new());
    for destination in candidates {
        let rate = fleet.destinations[destination].rate();
        // The one that would pass the extent by more than half of itself is left out, unless there is no other.
        if destinations.is_empty() || wanted >= rate / 2.0 {
            wanted -= rate;
            destinations.push(destination);
        }
    }
    if trouble.extent.least <= 0.0 {
        destinations.clear();
    }
    destinations.sort_unstable();
    let mut ends = Vec::new();
    for destination in &destinations {
        let of = &fleet.destinations[*destination].endpoints;
        let one = draws.random::<u32>() as usize % of.len();
        let of: Vec<usize> = if trouble.whole { of.clone() } else { vec![of[one]] };
        ends.extend(of.into_iter().filter(|end| zone.is_none_or(|zone| fleet.endpoints[*end].zone == zone)));
    }
    if trouble.what == Woe::Deploy {
        ends.shuffle(&mut draws);
    }
    let mut relays: Vec<usize> = (0..fleet.relays.len()).collect();
    relays.shuffle(&mut draws);
    let share = (trouble.extent.least * relays.len() as f64).round() as usize;
    relays.truncate(share.max(1));
    (destinations, ends, relays)
}
