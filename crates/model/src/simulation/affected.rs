//! The selection of the targets of a fault.

use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::faults::FaultWindow;
use crate::fleet::Fleet;
use crate::random::RngStreams;
use crate::scenario::{FAULT_RANGES, Fault, FaultKind, Scenario};

/// Indices of the targets of a fault; which of the lists apply depends on its kind.
pub(super) struct Affected {
    pub(super) destinations: Vec<usize>,
    /// Endpoints of these destinations; for a deployment in the order of replacement.
    pub(super) endpoints: Vec<usize>,
    pub(super) relays: Vec<usize>,
}

/// A fault with its scope: what it is restricted to.
struct Scope<'a> {
    scenario: &'a Scenario,
    fleet: &'a Fleet,
    fault: &'a Fault,
    window: &'a FaultWindow,
    /// Index of its zone, if it is restricted to one.
    zone: Option<usize>,
}

impl Affected {
    /// Selects the targets of the fault with that index.
    pub(super) fn select(
        scenario: &Scenario, fleet: &Fleet, index: usize, window: &FaultWindow, rng: &RngStreams,
    ) -> Affected {
        let fault = &scenario.faults[index];
        let zone = fault.zone.as_ref().and_then(|name| scenario.zones.iter().position(|zone| zone == name));
        let scope = Scope { scenario, fleet, fault, window, zone };
        let mut draws = rng.fault(index);
        // Skips the draws of this stream that resolved the ranges of the fault.
        for _ in 0..FAULT_RANGES {
            let _: f64 = draws.random();
        }
        let destinations = scope.select_destinations(&mut draws);
        let endpoints = scope.select_endpoints(&destinations, &mut draws);
        let relays = scope.select_relays(&mut draws);
        Affected { destinations, endpoints, relays }
    }
}

impl Scope<'_> {
    fn allows(&self, destination: usize) -> bool {
        let plan = &self.fleet.destinations[destination];
        let kind = &self.scenario.kinds[plan.kind].name;
        self.fault.destination_kind.as_ref().is_none_or(|name| name == kind)
            && self.window.account.is_none_or(|account| plan.account == Some(account))
            && self.window.topic.is_none_or(|topic| plan.rates[topic] > 0.0)
            && self.fault.destination.is_none_or(|only| only == destination)
            && (self.zone.is_none() || plan.endpoints.iter().any(|endpoint| self.is_in_zone(*endpoint)))
    }

    fn is_in_zone(&self, endpoint: usize) -> bool {
        self.zone.is_none_or(|zone| self.fleet.endpoints[endpoint].zone == zone)
    }

    /// Selects destinations that together have about the fraction `extent` of the traffic, in order of index.
    fn select_destinations(&self, draws: &mut ChaCha8Rng) -> Vec<usize> {
        let rate = |destination: usize| self.fleet.destinations[destination].rate();
        let extent = self.fault.extent.min;
        let mut candidates: Vec<usize> =
            (0..self.fleet.destinations.len()).filter(|destination| self.allows(*destination)).collect();
        candidates.shuffle(draws);
        let total: f64 = candidates.iter().map(|destination| rate(*destination)).sum();
        let (mut wanted, mut selected) = (extent * total, Vec::new());
        for destination in candidates {
            // Skips a destination that would exceed the extent by more than half of its rate, unless it is the first.
            if selected.is_empty() || wanted >= rate(destination) / 2.0 {
                wanted -= rate(destination);
                selected.push(destination);
            }
        }
        if extent <= 0.0 {
            selected.clear();
        }
        selected.sort_unstable();
        selected
    }

    /// Selects all endpoints of the destinations, or one of each.
    fn select_endpoints(&self, destinations: &[usize], draws: &mut ChaCha8Rng) -> Vec<usize> {
        let mut selected = Vec::new();
        for destination in destinations {
            let all = &self.fleet.destinations[*destination].endpoints;
            let one = draws.random::<u32>() as usize % all.len();
            let chosen = if self.fault.affects_all_endpoints { &all[..] } else { &all[one..=one] };
            selected.extend(chosen.iter().copied().filter(|endpoint| self.is_in_zone(*endpoint)));
        }
        if self.fault.kind == FaultKind::Deploy {
            selected.shuffle(draws);
        }
        selected
    }

    /// Selects the fraction `extent` of all relays, at least one.
    fn select_relays(&self, draws: &mut ChaCha8Rng) -> Vec<usize> {
        let mut relays: Vec<usize> = (0..self.fleet.relays.len()).collect();
        relays.shuffle(draws);
        let count = (self.fault.extent.min * relays.len() as f64).round() as usize;
        relays.truncate(count.max(1));
        relays
    }
}
