//! `check` and `scenarios`: commands on scenario files that need no run.

use std::path::PathBuf;
use std::process::ExitCode;

use snafu::ResultExt;

use crate::error::{LabResult, NoScenarioDirectorySnafu};
use crate::scenario_file;

/// Prints the errors of scenario files; exit code 2 if there are any.
pub(super) fn check(scenarios: &[PathBuf]) -> ExitCode {
    let mut is_valid = true;
    for path in scenarios {
        match scenario_file::read(path) {
            Ok(scenario) => println!("{}: {} can be played", path.display(), scenario.name),
            Err(error) => {
                is_valid = false;
                println!("{error}");
            }
        }
    }
    if is_valid { ExitCode::SUCCESS } else { ExitCode::from(2) }
}

/// Prints the scenarios in `lab/scenarios`.
pub(super) fn list() -> LabResult<ExitCode> {
    let entries = std::fs::read_dir("lab/scenarios").context(NoScenarioDirectorySnafu)?;
    let mut paths: Vec<PathBuf> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "toml"))
        .collect();
    paths.sort();
    for path in paths {
        match scenario_file::read(&path) {
            Ok(scenario) => println!("{:<24} {}", scenario.name, scenario.about),
            Err(error) => println!("{error}"),
        }
    }
    Ok(ExitCode::SUCCESS)
}
