//! Searches seeds and combinations of troubles for a day on which a rule breaks or most is lost, and shrinks what it
//! finds to the fewest troubles and the smallest size that still show it. It owns the draw of troubles and the steps of
//! shrinking. It must never report a day that it has not played in the form in which it reports it.

use std::collections::BTreeSet;

use juniperwing_model::scenario::{Fault, FaultKind, Range};
use juniperwing_model::{Metrics, Rule, Scenario};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::play::Run;

/// What troubles are drawn from, with the range of their sizes.
const WOES: [(FaultKind, f64, f64); 22] = [
    (FaultKind::Slow, 3.0, 20.0),
    (FaultKind::Silent, 1.0, 1.0),
    (FaultKind::Errors, 1.0, 1.0),
    (FaultKind::Refuses, 1.0, 1.0),
    (FaultKind::Down, 1.0, 1.0),
    (FaultKind::Pauses, 0.2, 2.0),
    (FaultKind::TopicFails, 1.0, 1.0),
    (FaultKind::Limit, 0.2, 0.7),
    (FaultKind::Handshakes, 3.0, 20.0),
    (FaultKind::Burst, 1.2, 2.0),
    (FaultKind::Hot, 2.0, 5.0),
    (FaultKind::Release, 1.0, 1.0),
    (FaultKind::HotRelays, 0.1, 0.3),
    (FaultKind::ListDown, 1.0, 1.0),
    (FaultKind::ListStale, 3.0, 10.0),
    (FaultKind::Deploy, 2.0, 6.0),
    (FaultKind::CutThere, 1.0, 1.0),
    (FaultKind::CutBack, 1.0, 1.0),
    (FaultKind::Resets, 0.05, 0.5),
    (FaultKind::Hurry, 0.2, 0.6),
    (FaultKind::Kill, 1.0, 5.0),
    (FaultKind::Lose, 1.0, 5.0),
];
/// Most troubles on one day.
const MOST_TROUBLES: usize = 3;
/// What is left of a loss for a smaller day to show the same.
const SAME: f64 = 0.7;
/// A span or a size is not shrunk below these.
const LEAST_SPAN_S: f64 = 4.0;

/// The names of all troubles that are drawn.
pub fn woes() -> impl Iterator<Item = FaultKind> {
    WOES.iter().map(|woe| woe.0)
}

/// A trouble of that kind for a scenario, its figures from chance.
pub fn trouble(scenario: &Scenario, what: FaultKind, chance: &mut ChaCha8Rng) -> Fault {
    let span = scenario.span_s.least;
    let (_, least, most) = WOES.iter().copied().find(|woe| woe.0 == what).unwrap_or((what, 1.0, 1.0));
    let mut between = |least: f64, most: f64| Range::from(Range { least, most }.draw(chance));
    let (start_s, span_s) = (between(0.15 * span, 0.5 * span), between(0.1 * span, 0.35 * span));
    let (size, extent) = (between(least, most), between(0.1, 0.6));
    let whole = chance.random::<f64>() < 0.7;
    let topic = scenario.topic.choose(chance).map(|topic| topic.name.clone());
    Fault {
        what,
        start_s,
        span_s,
        ramp_s: Range::from(0.0),
        size,
        extent,
        whole,
        kind: None,
        zone: None,
        topic: topic.filter(|_| what == FaultKind::TopicFails),
        account: None,
        destination: None,
    }
}

/// The days of a hunt: the scenario with one to three troubles of `only`, each with a seed of its own.
pub fn days(scenario: &Scenario, only: &[FaultKind], seed: u64, budget: usize) -> Vec<Run> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut day = |n: usize| {
        let count = chance.random_range(1..=MOST_TROUBLES);
        let mut scenario = scenario.resolve(seed + n as u64);
        let whats: Vec<FaultKind> = (0..count).filter_map(|_| only.choose(&mut chance).copied()).collect();
        scenario.faults = whats.into_iter().map(|what| trouble(&scenario, what, &mut chance)).collect();
        Run { scenario, seed: seed + n as u64, policy: "core".to_owned() }
    };
    (0..budget).map(&mut day).collect()
}

/// What a day shows.
#[derive(Clone, Debug, PartialEq)]
pub enum Shows {
    /// Broken rules.
    Broken(BTreeSet<Rule>),
    /// So much less served than by the policy compared with.
    Loses(f64),
}

impl Shows {
    /// What a day shows, by its figures and those of the policy compared with.
    pub fn of(metrics: &Metrics, beside: Option<&Metrics>) -> Shows {
        if metrics.violation_count > 0 {
            return Shows::Broken(metrics.violations.iter().map(|b| b.rule).collect());
        }
        Shows::Loses(beside.map_or(1.0 - metrics.served, |beside| beside.served - metrics.served))
    }

    /// How bad it is, the worst last.
    pub fn rank(&self) -> (usize, f64) {
        match self {
            Shows::Broken(rules) => (1 + rules.len(), 0.0),
            Shows::Loses(loss) => (0, *loss),
        }
    }

    /// Whether a smaller day shows the same.
    fn is_shown_by(&self, other: &Shows) -> bool {
        match (self, other) {
            (Shows::Broken(rules), Shows::Broken(others)) => !rules.is_disjoint(others),
            (Shows::Loses(loss), Shows::Loses(other)) => *other >= loss * SAME,
            (Shows::Loses(_), Shows::Broken(_)) => true,
            (Shows::Broken(_), Shows::Loses(_)) => false,
        }
    }
}

/// Smaller days, the boldest step first: a trouble less, half the size, half the time.
fn smaller(scenario: &Scenario) -> Vec<Scenario> {
    let mut all = Vec::new();
    for place in 0..scenario.faults.len() {
        let mut less = scenario.clone();
        less.faults.remove(place);
        all.push(less);
    }
    let half = |range: Range| Range::from((range.least / 2.0).floor().max(1.0));
    let kinds = scenario.kind.len() as f64;
    let (relays, destinations) = (half(scenario.relays.count), half(scenario.destinations.count));
    if relays != scenario.relays.count && destinations.least >= kinds {
        let mut less = scenario.clone();
        let share = destinations.least / scenario.destinations.count.least;
        (less.relays.count, less.destinations.count) = (relays, destinations);
        less.traffic.rate = Range::from(scenario.traffic.rate.least * share);
        all.push(less);
    }
    if relays != scenario.relays.count {
        let mut less = scenario.clone();
        less.relays.count = relays;
        all.push(less);
    }
    if scenario.span_s.least / 2.0 >= LEAST_SPAN_S {
        let mut less = scenario.clone();
        less.span_s = Range::from(scenario.span_s.least / 2.0);
        all.push(less);
    }
    for place in 0..scenario.faults.len() {
        let span = scenario.faults[place].span_s.least;
        if span >= 2.0 {
            let mut less = scenario.clone();
            less.faults[place].span_s = Range::from(span / 2.0);
            all.push(less);
        }
    }
    all
}

/// Shrinks a day as long as `show` says that a smaller one shows the same. It ends: each step takes something away.
pub fn shrink(
    scenario: &Scenario, shows: &Shows, mut show: impl FnMut(&Scenario) -> Result<Shows, String>,
) -> Result<(Scenario, Shows), String> {
    let (mut best, mut found) = (scenario.clone(), shows.clone());
    loop {
        let mut next = None;
        for less in smaller(&best).into_iter().filter(|less| less.check().is_empty()) {
            let other = show(&less)?;
            if shows.is_shown_by(&other) {
                next = Some((less, other));
                break;
            }
        }
        match next {
            Some((less, other)) => (best, found) = (less, other),
            None => return Ok((best, found)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::file;

    fn small() -> Scenario {
        let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../lab/scenarios/small.toml");
        file::read(std::path::Path::new(path)).expect("the scenario kept here").resolve(1)
    }

    #[test]
    fn every_day_of_a_hunt_can_be_played_and_the_same_seed_draws_the_same() {
        let all: Vec<FaultKind> = woes().collect();
        let text =
            |runs: &[Run]| runs.iter().map(|r| file::write(&r.scenario).expect("TOML")).collect::<String>();
        let runs = days(&small(), &all, 3, 200);
        for run in &runs {
            assert_eq!(run.scenario.check(), [], "{:?}", run.scenario.faults);
        }
        assert_eq!(text(&runs), text(&days(&small(), &all, 3, 200)));
        let drawn: BTreeSet<FaultKind> =
            runs.iter().flat_map(|run| run.scenario.faults.iter().map(|t| t.what)).collect();
        assert_eq!(drawn.len(), all.len());
    }

    /// The fault of this stand-in for a run needs the silence and two relays: all else must go.
    #[test]
    fn shrinking_keeps_the_fault_and_takes_away_the_rest() {
        let mut day = small();
        let mut chance = ChaCha8Rng::seed_from_u64(1);
        let more = [FaultKind::Slow, FaultKind::Silent, FaultKind::Burst]
            .map(|what| trouble(&day, what, &mut chance));
        day.faults = more.into_iter().collect();
        day.relays.count = Range::from(64.0);
        let broken = Shows::Broken([Rule::Return].into_iter().collect());
        let mut played = 0;
        let show = |day: &Scenario| {
            played += 1;
            let shown =
                day.relays.count.least >= 2.0 && day.faults.iter().any(|t| t.what == FaultKind::Silent);
            Ok(if shown { broken.clone() } else { Shows::Loses(0.1) })
        };
        let (least, found) = shrink(&day, &broken, show).expect("no run fails");
        assert_eq!(found, broken);
        assert_eq!(least.faults.iter().map(|t| t.what).collect::<Vec<_>>(), [FaultKind::Silent]);
        assert_eq!(least.relays.count.least, 2.0);
        assert!(
            least.span_s.least < 2.0 * LEAST_SPAN_S && played < 100,
            "{} s, {played}",
            least.span_s.least
        );
    }

    #[test]
    fn a_broken_rule_is_worse_than_any_loss() {
        let broken = Shows::Broken([Rule::Lost].into_iter().collect());
        assert!(
            broken.rank() > Shows::Loses(0.9).rank() && Shows::Loses(0.9).rank() > Shows::Loses(0.1).rank()
        );
        assert!(
            !broken.is_shown_by(&Shows::Loses(0.9)) && Shows::Loses(0.2).is_shown_by(&Shows::Loses(0.15))
        );
    }
}
