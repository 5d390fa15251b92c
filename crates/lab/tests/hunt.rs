//! The draw of runs for a hunt, and the shrinking of scenarios that show a finding.

use std::collections::BTreeSet;

use juniperwing_lab::hunt::{
    Finding, MIN_SCENARIO_SPAN_S, draw_fault, draw_runs, searched_fault_kinds, shrink,
};
use juniperwing_lab::runner::Run;
use juniperwing_lab::scenario_file;
use juniperwing_model::scenario::{FaultKind, Range};
use juniperwing_model::{Rule, Scenario};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn small() -> Scenario {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../lab/scenarios/small.toml");
    scenario_file::read(std::path::Path::new(path)).expect("the bundled scenario").resolve(1)
}

#[test]
fn drawn_runs_are_valid_reproducible_and_cover_all_faults() {
    let all: Vec<FaultKind> = searched_fault_kinds().collect();
    let text = |runs: &[Run]| {
        runs.iter().map(|r| scenario_file::write(&r.scenario).expect("TOML")).collect::<String>()
    };
    let runs = draw_runs(&small(), &all, 3, 200);
    for run in &runs {
        assert_eq!(run.scenario.check(), [], "{:?}", run.scenario.faults);
    }
    assert_eq!(text(&runs), text(&draw_runs(&small(), &all, 3, 200)));
    let drawn: BTreeSet<FaultKind> =
        runs.iter().flat_map(|run| run.scenario.faults.iter().map(|t| t.kind)).collect();
    assert_eq!(drawn.len(), all.len());
}

/// The evaluation function reports a violation if the scenario has the silent fault and two relays; everything else
/// must be removed.
#[test]
fn shrinking_keeps_the_finding_and_removes_the_rest() {
    let mut scenario = small();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let more = [FaultKind::Slow, FaultKind::Silent, FaultKind::Burst]
        .map(|what| draw_fault(&scenario, what, &mut rng));
    scenario.faults = more.into_iter().collect();
    scenario.relays.count = Range::from(64.0);
    let broken = Finding::Violations([Rule::Recovery].into_iter().collect());
    let mut played = 0;
    let evaluate = |scenario: &Scenario| {
        played += 1;
        let shown =
            scenario.relays.count.min >= 2.0 && scenario.faults.iter().any(|t| t.kind == FaultKind::Silent);
        Ok(if shown { broken.clone() } else { Finding::Loss(0.1) })
    };
    let (smallest, found) = shrink(&scenario, &broken, evaluate).expect("no run fails");
    assert_eq!(found, broken);
    assert_eq!(smallest.faults.iter().map(|t| t.kind).collect::<Vec<_>>(), [FaultKind::Silent]);
    assert_eq!(smallest.relays.count.min, 2.0);
    assert!(
        smallest.duration_s.min < 2.0 * MIN_SCENARIO_SPAN_S && played < 100,
        "{} s, {played}",
        smallest.duration_s.min
    );
}

#[test]
fn violation_is_more_severe_than_any_loss() {
    let broken = Finding::Violations([Rule::FinalAnswer].into_iter().collect());
    assert!(
        broken.compare_severity(&Finding::Loss(0.9)).is_gt()
            && Finding::Loss(0.9).compare_severity(&Finding::Loss(0.1)).is_gt()
    );
    assert!(!broken.is_shown_by(&Finding::Loss(0.9)) && Finding::Loss(0.2).is_shown_by(&Finding::Loss(0.15)));
}

#[test]
fn findings_are_printed_in_the_terms_of_reports() {
    let broken = Finding::Violations([Rule::Recovery, Rule::FinalAnswer].into_iter().collect());
    assert_eq!(broken.to_string(), "Broken({Lost, Return})");
    assert_eq!(Finding::Loss(0.25).to_string(), "Loses(0.25)");
}
