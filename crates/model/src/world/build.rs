//! The world as it is before the first event, made of a scenario and a seed.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing::interface::Readiness;
use juniperwing::time::Time;
use rand::Rng;
use rand::seq::SliceRandom;

use super::state::{Node, Share};
use super::{EVENTS_A_SECOND, EVENTS_AN_ARRIVAL, WATCHED, World};
use crate::chance::{Chance, Concern};
use crate::clients::Traffic;
use crate::endpoint::{Endpoint, Lane};
use crate::figures::{Ledger, Watched};
use crate::fleet::{EndpointPlan, Fleet, RelayPlan, span_ms as ms};
use crate::judge::{self, Judge};
use crate::policy::Policies;
use crate::queue::Queue;
use crate::scenario::{Scenario, Woe};
use crate::woes::{Spell, Struck};

impl<'a> World<'a> {
    pub(super) fn new(scenario: &Scenario, seed: u64, policies: &'a dyn Policies) -> World<'a> {
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
            quota: account.quota_per_second,
            left: account.quota_per_second,
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
}

pub(super) fn new_endpoint(plan: EndpointPlan, struck: Struck, place: usize, chance: &Chance) -> Endpoint {
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
