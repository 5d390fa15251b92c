//! `run` and `replay`: scenarios with their reports.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use juniperwing_model::Metrics;

use super::{check_policy, exit_code};
use crate::cli::RunOptions;
use crate::error::{LabError, LabResult};
use crate::runner::{self, Run, TimedRun};
use crate::{report, scenario_file};

/// The maximum of violations that are printed for a run.
const MAX_PRINTED_VIOLATIONS: usize = 3;

/// Runs a scenario with each seed and writes a report for each run.
pub(super) fn run(scenario: &Path, options: &RunOptions, policy: &str) -> LabResult<ExitCode> {
    check_policy(policy)?;
    let scenario = scenario_file::read(scenario)?;
    let run = |seed| Run { scenario: scenario.clone(), seed, policy: policy.to_owned() };
    let metrics = options.simulate_all(&options.seeds().map(run).collect::<Vec<_>>())?;
    for metrics in &metrics {
        let directory = run_directory(&options.out, metrics);
        report::write_run(&directory, &scenario, metrics)?;
        println!("{}\n  {}", report::summary(metrics), directory.join("report.html").display());
        for violation in metrics.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            println!("  {} at {:.3} s: {}", violation.rule, violation.at_s, violation.what);
        }
    }
    Ok(exit_code(&metrics))
}

fn run_directory(out: &Path, metrics: &Metrics) -> PathBuf {
    out.join(format!("{}-{}-{}", metrics.scenario, metrics.policy, metrics.seed))
}

/// Runs the first seed on one core and prints the time spent in the policy and in the model.
pub(super) fn run_timed(scenario: &Path, options: &RunOptions, policy: &str) -> LabResult<ExitCode> {
    let run = Run { scenario: scenario_file::read(scenario)?, seed: options.seed, policy: policy.to_owned() };
    let TimedRun { metrics, decisions, total } = runner::simulate_timed(&run)?;
    let (model, events) = (total.saturating_sub(decisions), metrics.events.max(1));
    let micros = |time: Duration| time.as_secs_f64() * 1e6;
    println!(
        "{:.1} simulated s a second; decisions {:.2} s ({:.2} us a turn), model {:.2} s ({:.2} us an event)",
        metrics.seconds.len() as f64 / total.as_secs_f64().max(1e-9),
        decisions.as_secs_f64(),
        micros(decisions) / metrics.turns.max(1) as f64,
        model.as_secs_f64(),
        micros(model) / events as f64
    );
    Ok(exit_code(&[metrics]))
}

/// Runs a scenario with the seed in its file.
pub(super) fn replay(path: &Path, out: &Path, policy: &str) -> LabResult<ExitCode> {
    let seed = scenario_file::read(path)?.seed.ok_or(LabError::NoSeed)?;
    let options = RunOptions { seed, seeds: 1, jobs: 1, out: out.to_owned(), quiet: true };
    run(path, &options, policy)
}
