//! The search over seeds and combinations of faults for a rule violation or a large loss of benefit, and the shrinking
//! of the scenario found to fewer faults and a smaller size that still show it.
//!
//! Each reported scenario has been run in exactly the form in which it is reported.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::fmt;

use juniperwing_model::scenario::{Fault, FaultKind, Range};
use juniperwing_model::{Metrics, Rule, Scenario};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::error::LabResult;
use crate::runner::Run;

/// A kind of fault that the search draws, with the range of its sizes.
struct FaultTemplate {
    kind: FaultKind,
    min_size: f64,
    max_size: f64,
}

const fn template(kind: FaultKind, min_size: f64, max_size: f64) -> FaultTemplate {
    FaultTemplate { kind, min_size, max_size }
}

/// All kinds of faults that the search draws.
const FAULT_TEMPLATES: [FaultTemplate; 22] = [
    template(FaultKind::Slow, 3.0, 20.0),
    template(FaultKind::Silent, 1.0, 1.0),
    template(FaultKind::Errors, 1.0, 1.0),
    template(FaultKind::Rejections, 1.0, 1.0),
    template(FaultKind::Down, 1.0, 1.0),
    template(FaultKind::Pauses, 0.2, 2.0),
    template(FaultKind::TopicFails, 1.0, 1.0),
    template(FaultKind::Limit, 0.2, 0.7),
    template(FaultKind::Handshakes, 3.0, 20.0),
    template(FaultKind::Burst, 1.2, 2.0),
    template(FaultKind::HotDestinations, 2.0, 5.0),
    template(FaultKind::TrafficRelease, 1.0, 1.0),
    template(FaultKind::HotRelays, 0.1, 0.3),
    template(FaultKind::ListDown, 1.0, 1.0),
    template(FaultKind::ListStale, 3.0, 10.0),
    template(FaultKind::Deploy, 2.0, 6.0),
    template(FaultKind::RequestLoss, 1.0, 1.0),
    template(FaultKind::ResponseLoss, 1.0, 1.0),
    template(FaultKind::Resets, 0.05, 0.5),
    template(FaultKind::ShortenedTtl, 0.2, 0.6),
    template(FaultKind::RelayKill, 1.0, 5.0),
    template(FaultKind::RelayLoss, 1.0, 5.0),
];
/// The maximum of faults in a scenario.
const MAX_FAULTS: usize = 3;
/// A smaller scenario shows the same finding if its loss is at least this fraction of the original loss.
const SAME_LOSS_FRACTION: f64 = 0.7;
/// The duration of a scenario is not shrunk below this.
pub const MIN_SCENARIO_SPAN_S: f64 = 4.0;
/// The duration of a fault is not shrunk below half of this.
const MIN_SHRINKABLE_FAULT_S: f64 = 2.0;

/// All kinds of faults that the search draws.
pub fn searched_fault_kinds() -> impl Iterator<Item = FaultKind> {
    FAULT_TEMPLATES.iter().map(|fault| fault.kind)
}

/// Draws the parameters of a fault of that kind for a scenario.
pub fn draw_fault(scenario: &Scenario, kind: FaultKind, rng: &mut ChaCha8Rng) -> Fault {
    let span_s = scenario.duration_s.min;
    let template = FAULT_TEMPLATES.iter().find(|template| template.kind == kind);
    let (min_size, max_size) = template.map_or((1.0, 1.0), |template| (template.min_size, template.max_size));
    let mut between = |min: f64, max: f64| Range::from(Range { min, max }.draw(rng));
    let start_s = between(0.15 * span_s, 0.5 * span_s);
    let duration_s = between(0.1 * span_s, 0.35 * span_s);
    let (size, extent) = (between(min_size, max_size), between(0.1, 0.6));
    let affects_all_endpoints = rng.random::<f64>() < 0.7;
    let topic = scenario.topics.choose(rng).map(|topic| topic.name.clone());
    Fault {
        kind,
        start_s,
        duration_s,
        ramp_s: Range::from(0.0),
        size,
        extent,
        affects_all_endpoints,
        destination_kind: None,
        zone: None,
        topic: topic.filter(|_| kind == FaultKind::TopicFails),
        account: None,
        destination: None,
    }
}

/// Draws the runs of a search: the scenario with one to three faults of `kinds`, each run with its own seed.
pub fn draw_runs(scenario: &Scenario, kinds: &[FaultKind], seed: u64, budget: usize) -> Vec<Run> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut draw_run = |n: usize| {
        let count = rng.random_range(1..=MAX_FAULTS);
        let mut scenario = scenario.resolve(seed + n as u64);
        let drawn: Vec<FaultKind> = (0..count).filter_map(|_| kinds.choose(&mut rng).copied()).collect();
        scenario.faults = drawn.into_iter().map(|kind| draw_fault(&scenario, kind, &mut rng)).collect();
        Run { scenario, seed: seed + n as u64, policy: "core".to_owned() }
    };
    (0..budget).map(&mut draw_run).collect()
}

/// The result of a run in a search.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// Violations of these rules.
    Violations(BTreeSet<Rule>),
    /// The difference by which the served fraction is below that of the reference policy.
    Loss(f64),
}

/// The terms of reports, which differ from the names of the variants.
impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::Violations(rules) => {
                let rules: Vec<String> = rules.iter().map(|rule| capitalize(&rule.to_string())).collect();
                write!(f, "Broken({{{}}})", rules.join(", "))
            }
            Finding::Loss(loss) => write!(f, "Loses({loss:?})"),
        }
    }
}

fn capitalize(word: &str) -> String {
    let mut letters = word.chars();
    letters.next().map(|first| first.to_ascii_uppercase()).into_iter().chain(letters).collect()
}

impl Finding {
    /// The finding of a run, by its metrics and those of the reference policy. Without a reference the loss is that
    /// against a served fraction of 1.
    pub fn of(metrics: &Metrics, reference: Option<&Metrics>) -> Finding {
        if metrics.violation_count > 0 {
            return Finding::Violations(metrics.violations.iter().map(|violation| violation.rule).collect());
        }
        Finding::Loss(reference.map_or(1.0 - metrics.served, |other| other.served - metrics.served))
    }

    /// Orders findings by severity: any violation above any loss.
    pub fn compare_severity(&self, other: &Finding) -> Ordering {
        let (rules, loss) = self.severity();
        let (other_rules, other_loss) = other.severity();
        rules.cmp(&other_rules).then(loss.total_cmp(&other_loss))
    }

    /// The number of violated rules, and the loss.
    fn severity(&self) -> (usize, f64) {
        match self {
            Finding::Violations(rules) => (1 + rules.len(), 0.0),
            Finding::Loss(loss) => (0, *loss),
        }
    }

    /// Whether the finding of a smaller scenario counts as the same.
    pub fn is_shown_by(&self, other: &Finding) -> bool {
        match (self, other) {
            (Finding::Violations(rules), Finding::Violations(others)) => !rules.is_disjoint(others),
            (Finding::Loss(loss), Finding::Loss(other)) => *other >= loss * SAME_LOSS_FRACTION,
            (Finding::Loss(_), Finding::Violations(_)) => true,
            (Finding::Violations(_), Finding::Loss(_)) => false,
        }
    }
}

/// Smaller scenarios, the largest reduction first: one fault fewer, half the size, half the duration.
fn smaller_scenarios(scenario: &Scenario) -> Vec<Scenario> {
    let mut smaller = Vec::new();
    let mut add = |change: &dyn Fn(&mut Scenario)| {
        let mut changed = scenario.clone();
        change(&mut changed);
        smaller.push(changed);
    };
    for fault in 0..scenario.faults.len() {
        add(&|smaller| drop(smaller.faults.remove(fault)));
    }
    let half = |range: Range| Range::from((range.min / 2.0).floor().max(1.0));
    let (relays, destinations) = (half(scenario.relays.count), half(scenario.destinations.count));
    let has_fewer_relays = relays != scenario.relays.count;
    if has_fewer_relays && destinations.min >= scenario.kinds.len() as f64 {
        add(&|smaller| {
            let fraction = destinations.min / scenario.destinations.count.min;
            smaller.relays.count = relays;
            smaller.destinations.count = destinations;
            smaller.traffic.rate = Range::from(scenario.traffic.rate.min * fraction);
        });
    }
    if has_fewer_relays {
        add(&|smaller| smaller.relays.count = relays);
    }
    let half_span_s = scenario.duration_s.min / 2.0;
    if half_span_s >= MIN_SCENARIO_SPAN_S {
        add(&|smaller| smaller.duration_s = Range::from(half_span_s));
    }
    for (n, fault) in scenario.faults.iter().enumerate() {
        let duration_s = fault.duration_s.min;
        if duration_s >= MIN_SHRINKABLE_FAULT_S {
            add(&|smaller| smaller.faults[n].duration_s = Range::from(duration_s / 2.0));
        }
    }
    smaller
}

/// Shrinks a scenario as long as `evaluate` has the same finding for a smaller one. It terminates, because each step
/// removes a fault or reduces the size or a duration.
///
/// # Errors
///
/// Those of `evaluate`.
pub fn shrink(
    scenario: &Scenario, finding: &Finding, mut evaluate: impl FnMut(&Scenario) -> LabResult<Finding>,
) -> LabResult<(Scenario, Finding)> {
    let (mut smallest, mut shown) = (scenario.clone(), finding.clone());
    loop {
        let candidates =
            smaller_scenarios(&smallest).into_iter().filter(|smaller| smaller.check().is_empty());
        let mut next = None;
        for smaller in candidates {
            let other = evaluate(&smaller)?;
            if finding.is_shown_by(&other) {
                next = Some((smaller, other));
                break;
            }
        }
        match next {
            Some((smaller, other)) => (smallest, shown) = (smaller, other),
            None => return Ok((smallest, shown)),
        }
    }
}
