//! `hunt`: a search for a scenario with a rule violation or a large loss of benefit.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use juniperwing_model::scenario::FaultKind;
use juniperwing_model::{Metrics, Scenario};

use super::check_policy;
use crate::cli::RunOptions;
use crate::error::{LabResult, UnknownFaultSnafu};
use crate::hunt::{Finding, draw_runs, searched_fault_kinds, shrink};
use crate::runner::Run;
use crate::{report, scenario_file};

/// What the search looks for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Goal {
    /// Rule violations only.
    Violation,
    /// Rule violations, and the loss against an oracle.
    ViolationOrLoss,
}

/// Runs combinations of faults, shrinks the worst and writes it as a scenario file.
pub(super) fn hunt(
    scenario: &Path, options: &RunOptions, budget: usize, only: &[String], goal: Goal, policy: &str,
) -> LabResult<ExitCode> {
    check_policy(policy)?;
    let (scenario, kinds) = (scenario_file::read(scenario)?, fault_kinds(only)?);
    let runs: Vec<Run> = draw_runs(&scenario, &kinds, options.seed, budget)
        .into_iter()
        .map(|run| Run { policy: policy.to_owned(), ..run })
        .collect();
    let findings = run_and_classify(&runs, options, goal)?;
    let violating = findings.iter().filter(|finding| matches!(finding, Finding::Violations(_))).count();
    println!("{} days played, {violating} with a broken rule", runs.len());
    let worst = worst(&findings).filter(|_| goal == Goal::ViolationOrLoss || violating > 0);
    let Some(worst) = worst else { return Ok(ExitCode::SUCCESS) };
    let (run, finding) = (&runs[worst], &findings[worst]);
    println!("the worst: {finding}, seed {}; it is cut down ...", run.seed);
    let quiet = RunOptions { quiet: true, out: options.out.clone(), ..*options };
    let evaluate = |scenario: &Scenario| {
        let run = Run { scenario: scenario.clone(), ..run.clone() };
        Ok(run_and_classify(&[run], &quiet, goal)?.remove(0))
    };
    let (mut smallest, finding) = shrink(&run.scenario, finding, evaluate)?;
    smallest.name = format!("{}-found-{}", scenario.name, run.seed);
    smallest.about = format!("Found by a hunt with {policy}: {finding}");
    smallest.seed = Some(run.seed);
    let path = write_found(&smallest, &options.out)?;
    print_found(&smallest, &finding, &path);
    Ok(if violating > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// Parses kinds of faults by their names in scenarios; returns all kinds that the search draws if none is named.
fn fault_kinds(names: &[String]) -> LabResult<Vec<FaultKind>> {
    let named = |name: &String| {
        let found = searched_fault_kinds().find(|kind| report::fault_name(*kind) == *name);
        let known = || searched_fault_kinds().map(report::fault_name).collect::<Vec<_>>();
        found.ok_or_else(|| UnknownFaultSnafu { name, known: known() }.build())
    };
    if names.is_empty() { Ok(searched_fault_kinds().collect()) } else { names.iter().map(named).collect() }
}

/// Executes runs, each also with the oracle if losses count, and classifies the results.
fn run_and_classify(runs: &[Run], options: &RunOptions, goal: Goal) -> LabResult<Vec<Finding>> {
    let metrics = options.simulate_all(runs)?;
    let oracle: Vec<Option<Metrics>> = if goal == Goal::Violation {
        runs.iter().map(|_| None).collect()
    } else {
        let runs: Vec<Run> =
            runs.iter().map(|run| Run { policy: "oracle".to_owned(), ..run.clone() }).collect();
        options.simulate_all(&runs)?.into_iter().map(Some).collect()
    };
    Ok(metrics.iter().zip(&oracle).map(|(metrics, oracle)| Finding::of(metrics, oracle.as_ref())).collect())
}

/// The index of the worst finding, the last of equals.
fn worst(findings: &[Finding]) -> Option<usize> {
    (0..findings.len()).max_by(|a, b| findings[*a].compare_severity(&findings[*b]))
}

fn write_found(scenario: &Scenario, out: &Path) -> LabResult<PathBuf> {
    std::fs::create_dir_all(out)?;
    let path = out.join(format!("{}.toml", scenario.name));
    std::fs::write(&path, scenario_file::write(scenario)?)?;
    Ok(path)
}

fn print_found(scenario: &Scenario, finding: &Finding, path: &Path) {
    let faults: Vec<String> = scenario.faults.iter().map(|fault| report::fault_name(fault.kind)).collect();
    println!(
        "{finding} with {} relays, {} destinations, {:.1} s, troubles: {}\n{}",
        scenario.relays.count.min,
        scenario.destinations.count.min,
        scenario.duration_s.min,
        faults.join(", "),
        path.display()
    );
}
