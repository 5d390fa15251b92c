//! What a run consists of before anything happens: destinations, endpoints, lanes and relays, drawn from a resolved
//! scenario. It owns the draws that give each its size, pace and place; nothing here changes once the run goes, and
//! nothing here may hang on what a relay does.

use std::sync::Arc;

use juniperwing::interface::{
    self, Allowance, DestinationId, EndpointId, Group, RuleFigures, Terms, TopicType,
};
use juniperwing::time::Span;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::limit::Limit;
use crate::random::{Concern, RngStreams, sums};
use crate::scenario::{Effect, LatencyDistribution, LimitForm, Scenario};

/// A topic type, for the core and for the model.
#[derive(Clone, Debug)]
pub struct TopicPlan {
    /// As the core has it.
    pub topic: Arc<TopicType>,
    /// Mean work in seconds.
    pub work: f64,
    /// Its coefficient of variation.
    pub cv: f64,
    /// How it varies.
    pub law: LatencyDistribution,
    /// How much one try differs from the next.
    pub try_cv: f64,
}

/// A destination.
#[derive(Clone, Debug)]
pub struct DestinationPlan {
    /// Its kind, by place.
    pub kind: usize,
    /// Its account, by place.
    pub account: Option<usize>,
    /// What comes for it at full load, in notifications a second, by topic type.
    pub rates: Vec<f64>,
    /// Running sums of these.
    pub rate_sums: Vec<f64>,
    /// Its endpoints at the start, by place.
    pub endpoints: Vec<usize>,
    /// Its pace: times are divided by it.
    pub speed: f64,
    /// Mean work of what comes for it, in seconds at its pace.
    pub work: f64,
}

impl DestinationPlan {
    /// What comes for it at full load, in notifications a second.
    pub fn rate(&self) -> f64 {
        self.rate_sums.last().copied().unwrap_or(0.0)
    }
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct EndpointPlan {
    /// Its id on the list.
    pub id: EndpointId,
    /// Its destination, by place.
    pub destination: usize,
    /// Its lane, by place.
    pub route: usize,
    /// Its zone, by place.
    pub zone: usize,
    /// Calls that it serves at once.
    pub servers: usize,
    /// Calls that may wait there.
    pub queue: usize,
    /// Connections that it takes.
    pub connections: usize,
    /// The share of calls that it answers with an error.
    pub error_rate: f64,
    /// How often it makes a load report, and how old one must be to be told.
    pub report: (Span, Span),
    /// Where it lies between the nearest and the farthest, from 0 to 1.
    pub distance: f64,
}

/// What limits, waits and outages hold for: a destination or, where routes are apart, one endpoint.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    /// The limit at full strength.
    pub limit: Limit,
    /// What it can do when warm, in notifications a second.
    pub capacity: f64,
    /// The share of it right after an outage, and how long until it has all.
    pub cold: (f64, Span),
    /// What the list says of its rate.
    pub listed: f64,
}

/// A relay.
#[derive(Clone, Debug)]
pub struct RelayPlan {
    /// Its part of the traffic.
    pub part: f64,
    /// Its zone, by place.
    pub zone: usize,
    /// What it may use.
    pub allowance: Allowance,
    /// Where it lies between the nearest and the farthest, from 0 to 1.
    pub distance: f64,
    /// The seed that it is started with.
    pub seed: u64,
}

/// All that a run consists of.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Topic types.
    pub topics: Vec<TopicPlan>,
    /// Kinds, as the core has them.
    pub kinds: Vec<Arc<interface::Kind>>,
    /// Zones by name.
    pub zones: Vec<Arc<str>>,
    /// Accounts, as the core has them.
    pub accounts: Vec<Arc<interface::Account>>,
    /// Destinations, the busiest first.
    pub destinations: Vec<DestinationPlan>,
    /// Endpoints at the start.
    pub endpoints: Vec<EndpointPlan>,
    /// Lanes.
    pub routes: Vec<RoutePlan>,
    /// Relays.
    pub relays: Vec<RelayPlan>,
    /// The figures of the rules, as relays are told them.
    pub rules: RuleFigures,
    /// The shortest gap between two rounds of a relay.
    pub tick: Span,
    /// Whether list entries carry a rate.
    pub rates_listed: bool,
}

/// The id of the endpoint with that place.
pub(crate) fn endpoint_id(index: usize) -> EndpointId {
    EndpointId(Arc::from(format!("e{index}")))
}

/// The id of the destination with that place.
pub(crate) fn destination_id(index: usize) -> DestinationId {
    DestinationId(index as u64)
}

/// A span of so many milliseconds, whole or not.
pub(crate) fn span_ms(ms: f64) -> Span {
    Span::from_secs_f64(ms / 1_000.0)
}

impl Fleet {
    /// Draws what a resolved scenario consists of.
    pub fn draw(scenario: &Scenario, rng: &RngStreams) -> Fleet {
        let zones: Vec<Arc<str>> = scenario.zones.iter().map(|zone| Arc::from(zone.as_str())).collect();
        let mut fleet = Fleet {
            topics: topics(scenario),
            kinds: kinds(scenario),
            zones,
            accounts: accounts(scenario),
            destinations: Vec::new(),
            endpoints: Vec::new(),
            routes: Vec::new(),
            relays: Vec::new(),
            rules: rule_figures(scenario),
            tick: span_ms(scenario.relays.tick_ms),
            rates_listed: scenario.list.rates,
        };
        fleet.draw_destinations(scenario, rng);
        fleet.draw_relays(scenario, rng);
        fleet
    }

    /// What a relay, by place, is told of where it serves. Crossing zones has no price here.
    pub fn terms(&self, relay: usize) -> Terms {
        let fleet = interface::Fleet {
            relays: self.relays.len(),
            rates_listed: self.rates_listed,
            list_on_request: true,
            list_pushed: false,
            tick: self.tick,
            home: None,
        };
        Terms { fleet, allowance: self.relays[relay].allowance, figures: self.rules }
    }

    fn draw_destinations(&mut self, scenario: &Scenario, rng: &RngStreams) {
        let count = scenario.destinations.count.least as usize;
        let mut draws = rng.stream(Concern::Destinations, 0);
        let kinds = deal(count, scenario.kind.iter().map(|kind| kind.share));
        let mut order: Vec<usize> = kinds;
        order.shuffle(&mut draws);
        let accounts = deal(count, scenario.account.iter().map(|account| account.share));
        let weights: Vec<f64> =
            (0..count).map(|n| ((n + 1) as f64).powf(-scenario.destinations.zipf.least)).collect();
        let rates = rates(scenario, &order, &weights);
        let whole = scenario.destinations.endpoints.least;
        for (index, kind) in order.into_iter().enumerate() {
            // A stream for each, so that one destination more leaves the others as they are.
            let mut draws = rng.stream(Concern::Destinations, index + 1);
            let plan = &scenario.kind[kind];
            let (speed, account) = (plan.speed.draw(&mut draws), accounts.get(index).copied());
            let rate: f64 = rates[index].iter().sum();
            let works = rates[index].iter().zip(&self.topics).map(|(rate, topic)| rate * topic.work);
            let usual =
                self.topics.iter().map(|topic| topic.work).sum::<f64>() / self.topics.len().max(1) as f64;
            let work = if rate > 0.0 { works.sum::<f64>() / rate } else { usual } / speed;
            let ends = whole.floor() as usize + usize::from(draws.random::<f64>() < whole.fract());
            let busy = plan.spare.draw(&mut draws) * rate * work;
            let servers = ((busy / ends as f64).ceil() as usize).max(1);
            let served = (servers * ends) as f64 / work;
            let told = (plan.headroom.draw(&mut draws) * rate).max(plan.least_rate.draw(&mut draws));
            let (depth, window) = (plan.depth_s.draw(&mut draws), span_ms(plan.window_ms.draw(&mut draws)));
            let routes = if plan.apart { ends } else { 1 };
            let told = told / routes as f64;
            let limit = match plan.limit {
                LimitForm::None => Limit::None,
                LimitForm::Rate => Limit::rate(told, depth),
                LimitForm::Window => Limit::window(told, window),
            };
            let limited = limit.calls_per_s(1.0).unwrap_or(f64::INFINITY);
            let cold = (
                scenario.rules.cold_from.draw(&mut draws),
                Span::from_secs_f64(scenario.rules.cold_s.draw(&mut draws)),
            );
            let rough = 0.5 + draws.random::<f64>();
            let first_lane = self.routes.len();
            for _ in 0..routes {
                let capacity = (served / routes as f64).min(limited);
                let listed = if scenario.list.rates { capacity * rough } else { 1.0 };
                self.routes.push(RoutePlan { limit: limit.clone(), capacity, cold, listed });
            }
            let mut endpoints = Vec::new();
            for end in 0..ends {
                let connections = plan.connections.draw(&mut draws) * servers as f64;
                let most =
                    if connections > 0.0 { connections.max(plan.least_connections) } else { f64::INFINITY };
                endpoints.push(self.endpoints.len());
                self.endpoints.push(EndpointPlan {
                    id: endpoint_id(self.endpoints.len()),
                    destination: index,
                    route: first_lane + if plan.apart { end } else { 0 },
                    zone: (index + end) % self.zones.len(),
                    servers,
                    queue: (plan.queue.draw(&mut draws) * servers as f64).ceil() as usize,
                    connections: most as usize,
                    error_rate: plan.error_rate.draw(&mut draws),
                    report: (
                        span_ms(plan.report_ms.draw(&mut draws)),
                        span_ms(plan.report_late_ms.draw(&mut draws)),
                    ),
                    distance: draws.random(),
                });
            }
            let rate_sums = sums(rates[index].iter().copied());
            let rates = rates[index].clone();
            self.destinations.push(DestinationPlan {
                kind,
                account,
                rates,
                rate_sums,
                endpoints,
                speed,
                work,
            });
        }
    }

    fn draw_relays(&mut self, scenario: &Scenario, rng: &RngStreams) {
        let (plan, network) = (&scenario.relays, &scenario.network);
        let count = plan.count.least as usize;
        let weights: Vec<f64> = (0..count).map(|n| ((n + 1) as f64).powf(-plan.zipf.least)).collect();
        let total: f64 = weights.iter().sum();
        // What full load keeps busy: the work and a round trip of each call.
        let trip = (network.near_ms.least + network.near_ms.most) / 1_000.0;
        let busy: f64 = self.destinations.iter().map(|d| d.rate() * (d.work + trip)).sum();
        let rate = scenario.traffic.rate.least;
        for (index, weight) in weights.into_iter().enumerate() {
            let mut draws = rng.stream(Concern::Relays, index);
            let part = weight / total;
            let slots = (plan.slots_room.draw(&mut draws) * busy * part).max(plan.least_slots).round();
            let held = (plan.hold_s.draw(&mut draws) * rate * part).max(plan.least_held).round();
            let allowance = Allowance {
                slots: slots as usize,
                pushes: plan.pushes,
                held: held as usize,
                longest_retry: span_ms(scenario.clients.longest_retry_ms),
                probes: false,
                cancel: true,
                idle: Span::from_secs_f64(scenario.network.idle_s),
            };
            let seed = rng.stream(Concern::Policies, index).random();
            let (zone, distance) = (index % self.zones.len(), draws.random());
            self.relays.push(RelayPlan { part, zone, allowance, distance, seed });
        }
    }
}

/// Deals `count` things out by weight, as evenly as whole numbers allow; each has one at least if there are enough.
fn deal(count: usize, weights: impl Iterator<Item = f64>) -> Vec<usize> {
    let weights: Vec<f64> = weights.collect();
    let total: f64 = weights.iter().sum();
    let mut given = vec![0.0; weights.len()];
    let next = |given: &Vec<f64>, so_far: usize| {
        let lacks = |index: &usize| weights[*index] / total * (so_far + 1) as f64 - given[*index];
        (0..weights.len()).max_by(|a, b| lacks(a).total_cmp(&lacks(b)).then(b.cmp(a)))
    };
    let mut dealt = Vec::new();
    for so_far in 0..count {
        let first = if so_far < weights.len() { Some(so_far) } else { next(&given, so_far) };
        let Some(index) = first else { break };
        given[index] += 1.0;
        dealt.push(index);
    }
    dealt
}

/// What comes for each destination at full load, by topic type.
fn rates(scenario: &Scenario, kinds: &[usize], weights: &[f64]) -> Vec<Vec<f64>> {
    let total: f64 = scenario.topic.iter().map(|topic| topic.share.least).sum();
    let mut rates = vec![vec![0.0; scenario.topic.len()]; kinds.len()];
    for (n, topic) in scenario.topic.iter().enumerate() {
        let goes = |kind: usize| topic.kinds.is_empty() || topic.kinds.contains(&scenario.kind[kind].name);
        let all: f64 = kinds.iter().zip(weights).filter(|(kind, _)| goes(**kind)).map(|(_, w)| w).sum();
        let rate = scenario.traffic.rate.least * topic.share.least / total.max(1e-12);
        for ((kind, weight), rates) in kinds.iter().zip(weights).zip(&mut rates) {
            if goes(*kind) && all > 0.0 {
                rates[n] = rate * weight / all;
            }
        }
    }
    rates
}

fn topics(scenario: &Scenario) -> Vec<TopicPlan> {
    let topic = |plan: &crate::scenario::Topic| {
        let window = span_ms(plan.window_ms);
        let effect = match plan.effect {
            Effect::Repeatable => interface::Effect::Repeatable,
            Effect::Collapsible => interface::Effect::Collapsible { group: Group::All, window },
            Effect::CollapsibleInZone => interface::Effect::Collapsible { group: Group::Zone, window },
            Effect::OnceOnly => interface::Effect::OnceOnly,
        };
        let topic = TopicType {
            name: plan.name.clone(),
            effect,
            objective: span_ms(plan.objective_ms),
            ttl: span_ms(plan.ttl_ms),
            benefit: plan.benefit,
            late_share: plan.late_share,
            ordered: plan.ordered,
        };
        let (work, cv, law, try_cv) =
            (plan.work_ms.least / 1_000.0, plan.work_cv.least, plan.work_law, plan.try_cv);
        TopicPlan { topic: Arc::new(topic), work, cv, law, try_cv }
    };
    scenario.topic.iter().map(topic).collect()
}

fn kinds(scenario: &Scenario) -> Vec<Arc<interface::Kind>> {
    let kind = |plan: &crate::scenario::Kind| {
        let (name, per_call) = (plan.name.clone(), plan.per_call);
        Arc::new(interface::Kind { name, separate_routes: plan.apart, per_call })
    };
    scenario.kind.iter().map(kind).collect()
}

fn accounts(scenario: &Scenario) -> Vec<Arc<interface::Account>> {
    let total: f64 = scenario.account.iter().map(|account| account.share).sum();
    let account = |plan: &crate::scenario::Account| {
        let quota = scenario.traffic.rate.least * plan.share / total * plan.quota;
        Arc::new(interface::Account { name: plan.name.clone(), quota })
    };
    scenario.account.iter().map(account).collect()
}

fn rule_figures(scenario: &Scenario) -> RuleFigures {
    let rules = &scenario.rules;
    RuleFigures {
        ask_every: Span::from_secs_f64(rules.ask_every_s),
        cold_from: rules.cold_from.least,
        cold: Span::from_secs_f64(rules.cold_s.most),
        fall_multiple: rules.fall_multiple,
        tip_after: span_ms(rules.tip_after_ms),
        settle: span_ms(rules.settle_ms),
    }
}

#[cfg(test)]
mod tests {
    use super::deal;

    #[test]
    fn things_are_dealt_out_by_weight_and_each_has_one() {
        let dealt = deal(12, [1.0, 2.0, 0.001].into_iter());
        let count = |which| dealt.iter().filter(|index| **index == which).count();
        assert_eq!((count(0), count(1), count(2)), (4, 7, 1));
        assert!(deal(5, std::iter::empty()).is_empty());
    }
}
