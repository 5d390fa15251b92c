//! What clients hand in, drawn ahead: arrivals never wait for an answer. It owns the sources of traffic and the keys in
//! use. What a client does after an answer is drawn here too. It must never look at how a notification fares.

use std::collections::BTreeMap;

use juniperwing::time::{Span, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

use crate::endpoint::lognormal;
use crate::faults::{FaultSet, FaultWindow};
use crate::fleet::Fleet;
use crate::random::{Concern, RngStreams, sums, weighted};
use crate::scenario::{Clients, FaultKind, LatencyDistribution, Range, Scenario};

/// Those of one clump come within this long of each other.
const CLUMP_MS: f64 = 100.0;
/// A clump has so many at least.
const LEAST_CLUMP: f64 = 2.0;
/// Generations of keys remembered: sources draw ahead of each other, though never that far.
const GENERATIONS: usize = 4;

/// A notification that is to be handed in.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Arrival {
    /// When its source drew it, and when it is handed in: later where it was held back.
    pub(crate) drawn: Time,
    pub(crate) at: Time,
    pub(crate) destination: usize,
    pub(crate) topic: usize,
    pub(crate) relay: usize,
    pub(crate) key: Option<String>,
    /// Its work at an endpoint of usual pace, in seconds.
    pub(crate) work: f64,
    pub(crate) ttl: Span,
    /// After so long it is taken back.
    pub(crate) patience: Option<Span>,
}

/// What a source brings.
enum SourceKind {
    /// Single ones, in proportion to what each destination gets.
    Single,
    /// Clumps for one destination; those of the clump at hand still to come, the next last.
    Clumps(Vec<Arrival>),
}

struct Source {
    kind: SourceKind,
    rng: ChaCha8Rng,
    /// Destinations and running sums of what they get from it.
    destinations: Vec<usize>,
    sums: Vec<f64>,
    /// Arrivals (clumps) a second at most, and until when.
    rate: f64,
    at: Time,
    to: Time,
    /// The trouble that it belongs to.
    window: Option<usize>,
}

/// The keys of one destination.
struct Keys {
    rng: ChaCha8Rng,
    slots: usize,
    life: Span,
    drawn: u64,
    /// The relays of the latest generations.
    relays: BTreeMap<u64, Vec<usize>>,
}

impl Keys {
    fn key(&mut self, at: Time, slot: usize, destination: usize, parts: &[f64]) -> (String, usize) {
        let generation = at.since(Time::default()).as_nanos() / self.life.as_nanos().max(1);
        // One after the other, so that what is drawn for one hangs on no arrival.
        while self.drawn <= generation {
            let relays = (0..self.slots).map(|_| weighted(&mut self.rng, parts)).collect();
            self.relays.insert(self.drawn, relays);
            self.drawn += 1;
            if self.relays.len() > GENERATIONS {
                self.relays.pop_first();
            }
        }
        let relay = self.relays.get(&generation).map_or(0, |relays| relays[slot]);
        (format!("k{destination}-{slot}-{generation}"), relay)
    }
}

/// All traffic.
pub(crate) struct Traffic {
    sources: Vec<Source>,
    keys: Vec<Keys>,
    parts: Vec<f64>,
    swing: (f64, f64),
    clump_s: Range,
    impatient: f64,
    patience: Range,
    /// Troubles that send traffic to few relays, with these and a stream of chance.
    hot_relays: Vec<(usize, Vec<usize>, ChaCha8Rng)>,
    hurries: Vec<usize>,
}

impl Traffic {
    pub(crate) fn new(
        scenario: &Scenario, fleet: &Fleet, rng: &RngStreams, fault_windows: &[FaultWindow],
        destination_faults: &[FaultSet], hot_relays: Vec<(usize, Vec<usize>, ChaCha8Rng)>,
    ) -> Traffic {
        let (plan, span) = (&scenario.traffic, Span::from_secs_f64(scenario.span_s.least));
        let (load, end) = (plan.load.least, Time::default() + span);
        let rates: Vec<f64> = fleet.destinations.iter().map(|d| d.rate()).collect();
        let all: Vec<usize> = (0..rates.len()).collect();
        let total: f64 = rates.iter().sum::<f64>() * load;
        let peak = total * (1.0 + plan.swing.least);
        let mut traffic = Traffic {
            sources: Vec::new(),
            keys: Vec::new(),
            parts: sums(fleet.relays.iter().map(|relay| relay.part)),
            swing: (plan.swing.least, plan.swing_s.least),
            clump_s: plan.clump_s,
            impatient: scenario.clients.impatient,
            patience: scenario.clients.patience,
            hot_relays,
            hurries: (0..fault_windows.len())
                .filter(|n| fault_windows[*n].kind == FaultKind::Hurry)
                .collect(),
        };
        let mut add = |kind, destinations: &[usize], rate, from, to, window, rng| {
            let sums = sums(destinations.iter().map(|d| rates[*d]));
            let destinations = destinations.to_vec();
            traffic.sources.push(Source { kind, rng, destinations, sums, rate, at: from, to, window });
        };
        let single = peak * (1.0 - plan.clumps.least);
        add(SourceKind::Single, &all, single, Time::default(), end, None, rng.stream(Concern::Arrivals, 0));
        // What a clump has in the mean; busy destinations have more and larger ones.
        let squares: f64 = rates.iter().map(|rate| rate * rate).sum();
        let mean =
            (plan.clump_s.least + plan.clump_s.most) / 2.0 * squares / rates.iter().sum::<f64>().max(1e-9);
        let clumps = peak * plan.clumps.least / mean.max(LEAST_CLUMP);
        let stream = rng.stream(Concern::Clumps, 0);
        add(SourceKind::Clumps(Vec::new()), &all, clumps, Time::default(), end, None, stream);
        for (index, window) in fault_windows.iter().enumerate() {
            let hit: Vec<usize> = match window.kind {
                FaultKind::Burst => all.clone(),
                FaultKind::Hot => {
                    all.iter().copied().filter(|d| destination_faults[*d].contains(index)).collect()
                }
                FaultKind::AccountBurst => {
                    all.iter().copied().filter(|d| fleet.destinations[*d].account == window.account).collect()
                }
                _ => continue,
            };
            let further = (window.size - 1.0).max(0.0) * load * hit.iter().map(|d| rates[*d]).sum::<f64>();
            let stream = rng.stream(Concern::Faults, index << 1 | 1);
            add(SourceKind::Single, &hit, further, window.from, window.to.min(end), Some(index), stream);
        }
        for destination in 0..rates.len() {
            let mut draws = rng.stream(Concern::Keys, destination);
            let slots = (plan.keys.draw(&mut draws).round() as usize).max(1);
            let life = Span::from_secs_f64(plan.key_life_s.draw(&mut draws));
            let relays = BTreeMap::new();
            traffic.keys.push(Keys { rng: draws, slots, life, drawn: 0, relays });
        }
        traffic
    }

    /// How many sources there are.
    pub(crate) fn sources(&self) -> usize {
        self.sources.len()
    }

    /// The next notification of a source; nothing when it has no more.
    pub(crate) fn next(
        &mut self, source: usize, fleet: &Fleet, fault_windows: &[FaultWindow],
        destination_faults: &[FaultSet],
    ) -> Option<Arrival> {
        if let SourceKind::Clumps(rest) = &mut self.sources[source].kind
            && let Some(next) = rest.pop()
        {
            return Some(next);
        }
        let (swing, swing_s) = self.swing;
        loop {
            let from = &mut self.sources[source];
            if from.rate <= 0.0 || from.sums.last().is_none_or(|sum| *sum <= 0.0) {
                return None;
            }
            let gap: f64 = Exp1.sample(&mut from.rng);
            from.at = from.at + Span::from_secs_f64(gap / from.rate);
            if from.at >= from.to {
                return None;
            }
            // Thinned to the load of the moment: drawn at the peak, each kept with its share of it.
            let turn = std::f64::consts::TAU * from.at.since(Time::default()).as_secs_f64() / swing_s;
            let (mut now, mut peak) = (1.0 + swing * turn.sin(), 1.0 + swing);
            if let Some(window) = from.window {
                (now, peak) = (fault_windows[window].factor(from.at) - 1.0, fault_windows[window].size - 1.0);
            }
            if from.rng.random::<f64>() * peak >= now {
                continue;
            }
            let destination = from.destinations[weighted(&mut from.rng, &from.sums)];
            if matches!(from.kind, SourceKind::Single) {
                let at = from.at;
                return Some(self.arrival(source, destination, at, fleet, fault_windows, destination_faults));
            }
            let secs = self.clump_s.draw(&mut from.rng);
            let start = from.at;
            let size = (secs * fleet.destinations[destination].rate()).max(LEAST_CLUMP) as usize;
            let mut all: Vec<Arrival> = (0..size)
                .map(|_| {
                    let late = self.sources[source].rng.random::<f64>() * CLUMP_MS / 1_000.0;
                    let at = start + Span::from_secs_f64(late);
                    self.arrival(source, destination, at, fleet, fault_windows, destination_faults)
                })
                .collect();
            all.sort_by_key(|arrival| std::cmp::Reverse(arrival.drawn));
            let next = all.pop();
            self.sources[source].kind = SourceKind::Clumps(all);
            return next;
        }
    }

    fn arrival(
        &mut self, source: usize, destination: usize, at: Time, fleet: &Fleet, fault_windows: &[FaultWindow],
        destination_faults: &[FaultSet],
    ) -> Arrival {
        let plan = &fleet.destinations[destination];
        let rng = &mut self.sources[source].rng;
        let topic = weighted(rng, &plan.rate_sums);
        let (mut relay, slot) = (weighted(rng, &self.parts), rng.random::<u32>() as usize);
        let of = &fleet.topics[topic];
        let work = match of.law {
            LatencyDistribution::Lognormal => lognormal(rng, of.work, of.cv),
            LatencyDistribution::Exponential => of.work * Distribution::<f64>::sample(&Exp1, rng),
        };
        let (hurried, impatient): (f64, f64) = (rng.random(), rng.random());
        let late = self.patience.draw(rng);
        let mut key = None;
        if fleet.topics[topic].topic.ordered {
            let keys = &mut self.keys[destination];
            let (name, at_relay) = keys.key(at, slot % keys.slots, destination, &self.parts);
            (key, relay) = (Some(name), at_relay);
        } else {
            for (window, relays, rng) in &mut self.hot_relays {
                let hit: (f64, u32) = (rng.random(), rng.random());
                if fault_windows[*window].is_active(at)
                    && hit.0 < fault_windows[*window].size
                    && !relays.is_empty()
                {
                    relay = relays[hit.1 as usize % relays.len()];
                }
            }
        }
        // Held back and let go all at once.
        let drawn = at;
        let held = |n: &usize| {
            fault_windows[*n].kind == FaultKind::Release
                && fault_windows[*n].is_active(at)
                && destination_faults[destination].contains(*n)
        };
        let at = (0..fault_windows.len()).find(held).map_or(at, |n| fault_windows[n].to.max(at));
        let ttl = fleet.topics[topic].topic.ttl;
        let mut ends = None;
        for window in self.hurries.iter().map(|n| &fault_windows[*n]).filter(|window| window.is_active(at)) {
            // Those of the struck share want it in less time, and then no longer.
            if hurried < window.extent {
                ends = Some(ttl.mul_f64(window.size));
            }
        }
        let taken_back = (impatient < self.impatient).then(|| ttl.mul_f64(late));
        let patience = match (ends, taken_back) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        Arrival { drawn, at, destination, topic, relay, key, work, ttl: ends.unwrap_or(ttl), patience }
    }
}

/// How long a client waits before it hands in again, having been told `retry_in` or nothing, for the n-th time.
pub(crate) fn resubmit_delay(
    plan: &Clients, rng: &mut ChaCha8Rng, again: u32, retry_in: Option<Span>,
) -> Option<Span> {
    let (backoff, heeds) = (plan.backoff_ms.draw(rng), rng.random::<f64>() < plan.honour);
    if again >= plan.again {
        return None;
    }
    let own = Span::from_secs_f64(backoff / 1_000.0 * f64::from(1u32 << again.min(8)));
    Some(retry_in.filter(|span| heeds && *span > Span::ZERO).unwrap_or(own))
}
