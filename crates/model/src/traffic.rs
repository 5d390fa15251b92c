//! The generation of the notifications that clients submit, as an open-loop workload: arrivals do not depend on answers.
//!
//! The delay of a resubmission after an answer is drawn here too.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use juniperwing::time::{Span, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

use crate::faults::{FaultSet, FaultWindow};
use crate::fleet::{Fleet, TopicPlan};
use crate::random::{RngStreams, StreamPurpose, cumulative_sums, lognormal, weighted_index};
use crate::scenario::{Clients, FaultKind, Range, Scenario, ServiceTimeDistribution};

/// The arrivals of one batch are within this time.
const BATCH_SPREAD_MS: f64 = 100.0;
/// The minimum of arrivals in a batch.
const MIN_BATCH_SIZE: f64 = 2.0;
/// The number of generations of keys that are kept. Sources draw ahead of each other, but by fewer generations.
const KEY_GENERATIONS: usize = 4;
/// The number of resubmissions after which a client's backoff doubles no further.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// A notification to be submitted.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Arrival {
    /// The time of arrival that its source drew.
    pub(crate) drawn_at: Time,
    /// When it is submitted; later than `drawn_at` while a fault holds traffic back.
    pub(crate) submitted_at: Time,
    pub(crate) destination: usize,
    pub(crate) topic: usize,
    pub(crate) relay: usize,
    pub(crate) key: Option<String>,
    /// Service time at a speed of 1, in seconds.
    pub(crate) work_s: f64,
    pub(crate) ttl: Span,
    /// The time from its submission to its withdrawal, if its client withdraws it.
    pub(crate) withdrawn_after: Option<Span>,
}

/// The arrivals of a source.
enum SourceKind {
    /// Single arrivals.
    Single,
    /// Batches, each for one destination: the remaining arrivals of the present batch, the next one last.
    Batches(Vec<Arrival>),
}

/// A Poisson process of arrivals.
struct Source {
    kind: SourceKind,
    rng: ChaCha8Rng,
    /// Its destinations.
    destinations: Vec<usize>,
    /// Running sums of the rates of its destinations.
    cumulative_rates: Vec<f64>,
    /// Arrivals or batches a second at the peak.
    peak_rate: f64,
    /// The time of the latest arrival.
    at: Time,
    to: Time,
    /// The fault that adds this traffic; `None` for the normal traffic.
    fault: Option<usize>,
}

/// The keys of one destination. Each of its slots has one key at a time; all keys are replaced at the same time.
struct Keys {
    rng: ChaCha8Rng,
    slots: usize,
    lifetime: Span,
    /// Generations drawn so far.
    generations: u64,
    /// The relay of each slot, for the latest generations.
    relays: BTreeMap<u64, Vec<usize>>,
}

impl Keys {
    /// The key of a slot at a time, and the relay of the key.
    fn key(&mut self, at: Time, slot: usize, destination: usize, relay_sums: &[f64]) -> (String, usize) {
        let generation = at.since(Time::default()).as_nanos() / self.lifetime.as_nanos().max(1);
        // Generations are drawn in order, so that their draws do not depend on arrivals.
        while self.generations <= generation {
            let relays = (0..self.slots).map(|_| weighted_index(&mut self.rng, relay_sums)).collect();
            self.relays.insert(self.generations, relays);
            self.generations += 1;
            if self.relays.len() > KEY_GENERATIONS {
                self.relays.pop_first();
            }
        }
        let relay = self.relays.get(&generation).map_or(0, |relays| relays[slot]);
        (format!("k{destination}-{slot}-{generation}"), relay)
    }
}

/// A fault that moves a fraction of all traffic to a few relays.
pub(crate) struct HotRelays {
    pub(crate) fault: usize,
    pub(crate) relays: Vec<usize>,
    pub(crate) rng: ChaCha8Rng,
}

impl HotRelays {
    /// The relay that the fault moves an arrival to, if any. Consumes the same draws whether or not the fault is active.
    fn draw_relay(&mut self, at: Time, window: &FaultWindow) -> Option<usize> {
        let (draw, choice): (f64, u32) = (self.rng.random(), self.rng.random());
        let is_moved = window.is_active(at) && draw < window.size && !self.relays.is_empty();
        is_moved.then(|| self.relays[choice as usize % self.relays.len()])
    }
}

/// A sinusoidal variation of load about its mean.
struct SineModulation {
    amplitude: f64,
    period_s: f64,
}

impl SineModulation {
    /// The load at a time, as a multiple of its mean.
    fn factor(&self, at: Time) -> f64 {
        let phase = std::f64::consts::TAU * at.since(Time::default()).as_secs_f64() / self.period_s;
        1.0 + self.amplitude * phase.sin()
    }

    fn peak(&self) -> f64 {
        1.0 + self.amplitude
    }
}

/// The faults of a run, with those of each destination.
struct Faults<'a> {
    windows: &'a [FaultWindow],
    of_destinations: &'a [FaultSet],
}

/// All traffic of a run.
pub(crate) struct Traffic {
    sources: Vec<Source>,
    /// By destination.
    keys: Vec<Keys>,
    /// Running sums of the relays' shares of the traffic.
    relay_sums: Vec<f64>,
    modulation: SineModulation,
    /// The size of a batch, in seconds of its destination's traffic.
    batch_s: Range,
    /// The fraction of notifications that are withdrawn.
    withdrawn_fraction: f64,
    /// The fraction of the TTL after which they are withdrawn.
    withdrawn_after: Range,
    hot_relays: Vec<HotRelays>,
    /// Faults that shorten TTLs.
    ttl_faults: Vec<usize>,
}

impl Traffic {
    pub(crate) fn new(
        scenario: &Scenario, fleet: &Fleet, rng: &RngStreams, windows: &[FaultWindow],
        destination_faults: &[FaultSet], hot_relays: Vec<HotRelays>,
    ) -> Traffic {
        let plan = &scenario.traffic;
        let is_ttl_fault = |fault: &usize| windows[*fault].kind == FaultKind::ShortenedTtl;
        let mut traffic = Traffic {
            sources: Vec::new(),
            keys: (0..fleet.destinations.len()).map(|index| keys(scenario, index, rng)).collect(),
            relay_sums: cumulative_sums(fleet.relays.iter().map(|relay| relay.traffic_share)),
            modulation: SineModulation {
                amplitude: plan.swing_amplitude.min,
                period_s: plan.swing_period_s.min,
            },
            batch_s: plan.batch_size_s,
            withdrawn_fraction: scenario.clients.withdrawn_fraction,
            withdrawn_after: scenario.clients.withdrawal_ttl_fraction,
            hot_relays,
            ttl_faults: (0..windows.len()).filter(is_ttl_fault).collect(),
        };
        traffic.add_normal_sources(scenario, fleet, rng);
        let faults = Faults { windows, of_destinations: destination_faults };
        traffic.add_fault_sources(scenario, fleet, rng, &faults);
        traffic
    }

    /// Adds the sources of single arrivals and batches, which are active during the whole run.
    fn add_normal_sources(&mut self, scenario: &Scenario, fleet: &Fleet, rng: &RngStreams) {
        let plan = &scenario.traffic;
        let rates: Vec<f64> = fleet.destinations.iter().map(super::fleet::DestinationPlan::rate).collect();
        let total: f64 = rates.iter().sum();
        let peak = total * plan.load.min * self.modulation.peak();
        // Batches of busy destinations are more frequent and larger.
        let squares: f64 = rates.iter().map(|rate| rate * rate).sum();
        let mean_batch_size =
            (plan.batch_size_s.min + plan.batch_size_s.max) / 2.0 * squares / total.max(1e-9);
        let batch_rate = peak * plan.batched_fraction.min / mean_batch_size.max(MIN_BATCH_SIZE);
        let source = |kind, peak_rate, rng| Source {
            kind,
            rng,
            destinations: (0..rates.len()).collect(),
            cumulative_rates: cumulative_sums(rates.iter().copied()),
            peak_rate,
            at: Time::default(),
            to: Time::default() + Span::from_secs_f64(scenario.duration_s.min),
            fault: None,
        };
        let single_rate = peak * (1.0 - plan.batched_fraction.min);
        self.sources.push(source(SourceKind::Single, single_rate, rng.stream(StreamPurpose::Arrivals, 0)));
        let batches = SourceKind::Batches(Vec::new());
        self.sources.push(source(batches, batch_rate, rng.stream(StreamPurpose::BatchArrivals, 0)));
    }

    /// Adds the sources of the traffic that faults add.
    fn add_fault_sources(
        &mut self, scenario: &Scenario, fleet: &Fleet, rng: &RngStreams, faults: &Faults<'_>,
    ) {
        let end = Time::default() + Span::from_secs_f64(scenario.duration_s.min);
        for (fault, window) in faults.windows.iter().enumerate() {
            let is_affected = |destination: &usize| match window.kind {
                FaultKind::Burst => true,
                FaultKind::HotDestinations => faults.of_destinations[*destination].contains(fault),
                FaultKind::AccountBurst => fleet.destinations[*destination].account == window.account,
                _ => false,
            };
            if !matches!(window.kind, FaultKind::Burst | FaultKind::HotDestinations | FaultKind::AccountBurst)
            {
                continue;
            }
            let destinations: Vec<usize> = (0..fleet.destinations.len()).filter(is_affected).collect();
            let rates = || destinations.iter().map(|destination| fleet.destinations[*destination].rate());
            let added = (window.size - 1.0).max(0.0) * scenario.traffic.load.min;
            self.sources.push(Source {
                kind: SourceKind::Single,
                rng: rng.fault_traffic(fault),
                cumulative_rates: cumulative_sums(rates()),
                peak_rate: added * rates().sum::<f64>(),
                destinations,
                at: window.from,
                to: window.to.min(end),
                fault: Some(fault),
            });
        }
    }

    /// The number of sources.
    pub(crate) fn sources(&self) -> usize {
        self.sources.len()
    }

    /// The next notification of a source; `None` if the source is exhausted.
    pub(crate) fn next(
        &mut self, source: usize, fleet: &Fleet, windows: &[FaultWindow], destination_faults: &[FaultSet],
    ) -> Option<Arrival> {
        if let SourceKind::Batches(rest) = &mut self.sources[source].kind
            && let Some(next) = rest.pop()
        {
            return Some(next);
        }
        let faults = Faults { windows, of_destinations: destination_faults };
        let (at, destination) = self.sources[source].next_arrival(&self.modulation, windows)?;
        if matches!(self.sources[source].kind, SourceKind::Single) {
            return Some(self.draw_arrival(source, destination, at, fleet, &faults));
        }
        let batch_s = self.batch_s.draw(&mut self.sources[source].rng);
        let size = (batch_s * fleet.destinations[destination].rate()).max(MIN_BATCH_SIZE) as usize;
        let mut batch: Vec<Arrival> = (0..size)
            .map(|_| {
                let delay_s = self.sources[source].rng.random::<f64>() * BATCH_SPREAD_MS / 1_000.0;
                let at = at + Span::from_secs_f64(delay_s);
                self.draw_arrival(source, destination, at, fleet, &faults)
            })
            .collect();
        batch.sort_by_key(|arrival| Reverse(arrival.drawn_at));
        let next = batch.pop();
        self.sources[source].kind = SourceKind::Batches(batch);
        next
    }

    fn draw_arrival(
        &mut self, source: usize, destination: usize, at: Time, fleet: &Fleet, faults: &Faults<'_>,
    ) -> Arrival {
        let rng = &mut self.sources[source].rng;
        let topic = weighted_index(rng, &fleet.destinations[destination].cumulative_rates);
        let (mut relay, slot) = (weighted_index(rng, &self.relay_sums), rng.random::<u32>() as usize);
        let work_s = draw_work_s(&fleet.topics[topic], rng);
        let (ttl_draw, withdrawal): (f64, f64) = (rng.random(), rng.random());
        let withdrawn_after = self.withdrawn_after.draw(rng);
        let mut key = None;
        if fleet.topics[topic].topic.is_ordered {
            let keys = &mut self.keys[destination];
            let (name, relay_of_key) = keys.key(at, slot % keys.slots, destination, &self.relay_sums);
            (key, relay) = (Some(name), relay_of_key);
        } else {
            for hot in &mut self.hot_relays {
                relay = hot.draw_relay(at, &faults.windows[hot.fault]).unwrap_or(relay);
            }
        }
        let submitted_at = faults.release_time(destination, at);
        let ttl = fleet.topics[topic].topic.ttl;
        let shortened_ttl = self.shortened_ttl(ttl, ttl_draw, submitted_at, faults);
        let withdrawal = (withdrawal < self.withdrawn_fraction).then(|| ttl.mul_f64(withdrawn_after));
        Arrival {
            drawn_at: at,
            submitted_at,
            destination,
            topic,
            relay,
            key,
            work_s,
            ttl: shortened_ttl.unwrap_or(ttl),
            withdrawn_after: [shortened_ttl, withdrawal].into_iter().flatten().min(),
        }
    }

    /// The TTL of a notification if a fault shortens it, which `drawn`, a random number from 0 to 1, decides.
    fn shortened_ttl(&self, ttl: Span, drawn: f64, at: Time, faults: &Faults<'_>) -> Option<Span> {
        let windows = self.ttl_faults.iter().map(|fault| &faults.windows[*fault]);
        let mut affecting = windows.filter(|window| window.is_active(at) && drawn < window.extent);
        affecting.next_back().map(|window| ttl.mul_f64(window.size))
    }
}

impl Source {
    /// Draws the time and the destination of the next arrival.
    fn next_arrival(
        &mut self, modulation: &SineModulation, windows: &[FaultWindow],
    ) -> Option<(Time, usize)> {
        if self.peak_rate <= 0.0 || self.cumulative_rates.last().is_none_or(|sum| *sum <= 0.0) {
            return None;
        }
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            self.at = self.at + Span::from_secs_f64(gap / self.peak_rate);
            if self.at >= self.to {
                return None;
            }
            // Thinning: arrivals are drawn at the peak rate, and each is kept with the probability present / peak.
            let (present, peak) = match self.fault.map(|fault| &windows[fault]) {
                Some(window) => (window.factor(self.at) - 1.0, window.size - 1.0),
                None => (modulation.factor(self.at), modulation.peak()),
            };
            if self.rng.random::<f64>() * peak < present {
                let destination = weighted_index(&mut self.rng, &self.cumulative_rates);
                return Some((self.at, self.destinations[destination]));
            }
        }
    }
}

impl Faults<'_> {
    /// When an arrival is submitted: at the end of a fault that holds back its destination's traffic, else immediately.
    fn release_time(&self, destination: usize, at: Time) -> Time {
        let is_held = |(fault, window): &(usize, &FaultWindow)| {
            window.kind == FaultKind::TrafficRelease
                && window.is_active(at)
                && self.of_destinations[destination].contains(*fault)
        };
        self.windows.iter().enumerate().find(is_held).map_or(at, |(_, window)| window.to.max(at))
    }
}

fn keys(scenario: &Scenario, destination: usize, rng: &RngStreams) -> Keys {
    let plan = &scenario.traffic;
    let mut rng = rng.stream(StreamPurpose::Keys, destination);
    let slots = (plan.keys_per_destination.draw(&mut rng).round() as usize).max(1);
    let lifetime = Span::from_secs_f64(plan.key_lifetime_s.draw(&mut rng));
    Keys { rng, slots, lifetime, generations: 0, relays: BTreeMap::new() }
}

fn draw_work_s(topic: &TopicPlan, rng: &mut ChaCha8Rng) -> f64 {
    match topic.work_distribution {
        ServiceTimeDistribution::Lognormal => lognormal(rng, topic.mean_work_s, topic.work_cv),
        ServiceTimeDistribution::Exponential => topic.mean_work_s * Distribution::<f64>::sample(&Exp1, rng),
    }
}

/// How long a client waits before it resubmits a throttled notification: the time that the relay announced, or the
/// client's own backoff. `None` if the client gives up after the maximum of resubmissions.
pub(crate) fn resubmit_delay(
    plan: &Clients, rng: &mut ChaCha8Rng, resubmissions: u32, announced: Option<Span>,
) -> Option<Span> {
    let (backoff_ms, is_compliant) =
        (plan.backoff_ms.draw(rng), rng.random::<f64>() < plan.compliant_fraction);
    if resubmissions >= plan.max_resubmissions {
        return None;
    }
    let doublings = f64::from(1u32 << resubmissions.min(MAX_BACKOFF_DOUBLINGS));
    let backoff = Span::from_secs_f64(backoff_ms / 1_000.0 * doublings);
    Some(announced.filter(|span| is_compliant && *span > Span::ZERO).unwrap_or(backoff))
}
