//! The commands of the command line.

mod compare;
mod hunt;
mod run;
mod scenarios;
mod survey;
mod sweep;

use std::process::ExitCode;

use juniperwing_model::Metrics;

use crate::cli::Command;
use crate::error::{LabResult, UnknownPolicySnafu};
use crate::runner;

/// Executes a command. The exit code is 1 if a rule was violated or a run was stopped early, else 0.
///
/// # Errors
///
/// If a policy is unknown, a file cannot be read or written, or a run fails.
pub fn execute(command: Command) -> LabResult<ExitCode> {
    match command {
        Command::Run { scenario, options, policy, time } => {
            let code = run::run(&scenario, &options, &policy)?;
            if time { run::run_timed(&scenario, &options, &policy) } else { Ok(code) }
        }
        Command::Compare { a, b, options } => compare::compare(&a, &b, &options),
        Command::Sweep { scenario, over, options, policy } => {
            sweep::sweep(&scenario, &over, &options, &policy)
        }
        Command::Hunt { scenario, options, budget, only, rules, policy } => {
            let goal = if rules { hunt::Goal::Violation } else { hunt::Goal::ViolationOrLoss };
            hunt::hunt(&scenario, &options, budget as usize, &only, goal, &policy)
        }
        Command::Replay { file, out, policy } => run::replay(&file, &out, &policy),
        Command::Survey { scenario, options, pairs } => survey::survey(&scenario, &options, pairs),
        Command::Check { scenarios } => Ok(scenarios::check(&scenarios)),
        Command::Scenarios => scenarios::list(),
    }
}

/// The exit code of a command with these runs.
fn exit_code(metrics: &[Metrics]) -> ExitCode {
    let is_bad = metrics.iter().any(|metrics| metrics.violation_count > 0 || metrics.is_truncated);
    if is_bad { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn check_policy(name: &str) -> LabResult {
    if runner::is_known_policy(name) {
        return Ok(());
    }
    UnknownPolicySnafu { name, known: &runner::POLICIES[..] }.fail()
}

/// The arithmetic mean; 0 without values.
fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}
