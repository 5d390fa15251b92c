//! `sweep`: a scenario with one of its parameters at several values.

use std::path::Path;
use std::process::ExitCode;

use juniperwing_model::{Metrics, Scenario};
use snafu::{OptionExt, ResultExt};

use super::{check_policy, exit_code, mean};
use crate::cli::RunOptions;
use crate::error::{
    LabError, LabResult, NotANumberSnafu, SweepSyntaxSnafu, SweepValueSnafu, UnknownKeySnafu,
};
use crate::plots::{self, Line};
use crate::runner::Run;
use crate::{report, scenario_file};

/// The parameter that is swept.
struct SweptParameter<'a> {
    /// Keys and indices joined by dots.
    path: &'a str,
    values: Vec<f64>,
}

impl SweptParameter<'_> {
    /// Parses `KEY=VALUE,VALUE,..`.
    fn parse(argument: &str) -> LabResult<SweptParameter<'_>> {
        let (path, values) = argument.split_once('=').context(SweepSyntaxSnafu)?;
        let parse = |value: &str| value.trim().parse::<f64>().context(SweepValueSnafu { value });
        Ok(SweptParameter { path, values: values.split(',').map(parse).collect::<Result<_, _>>()? })
    }
}

/// Runs a scenario with each value, policy and seed; writes a table and a plot.
pub(super) fn sweep(
    scenario: &Path, over: &str, options: &RunOptions, policies: &[String],
) -> LabResult<ExitCode> {
    policies.iter().try_for_each(|policy| check_policy(policy))?;
    let scenario = scenario_file::read(scenario)?;
    let parameter = SweptParameter::parse(over)?;
    let metrics = options.simulate_all(&runs(&scenario, &parameter, options, policies)?)?;
    std::fs::create_dir_all(&options.out)?;
    let mut table = csv::Writer::from_path(options.out.join("sweep.csv"))?;
    table.write_record(["policy", parameter.path, "seed", "served", "worst_window", "broken"])?;
    let mut lines = Vec::new();
    let runs_of_policy = parameter.values.len() * options.seeds as usize;
    for (policy, metrics) in policies.iter().zip(metrics.chunks(runs_of_policy)) {
        let mut line = Line { name: policy.clone(), points: Vec::new(), band: Vec::new() };
        for (value, metrics) in parameter.values.iter().zip(metrics.chunks(options.seeds as usize)) {
            for run in metrics {
                table.serialize((
                    policy,
                    value,
                    run.seed,
                    run.served,
                    run.worst_window.served,
                    run.violation_count,
                ))?;
            }
            add_point(&mut line, parameter.path, *value, metrics);
        }
        lines.push(line);
    }
    table.flush()?;
    let title = format!("Served over {}: mean, least and most of {} seeds", parameter.path, options.seeds);
    let body = plots::line_plot(&title, parameter.path, "share", &lines, &[])?;
    let path = options.out.join("sweep.html");
    std::fs::write(&path, report::page(&format!("Sweep of {}", scenario.name), &body))?;
    println!("{}", path.display());
    Ok(exit_code(&metrics))
}

/// The runs, ordered by policy, value and seed.
fn runs(
    scenario: &Scenario, parameter: &SweptParameter<'_>, options: &RunOptions, policies: &[String],
) -> LabResult<Vec<Run>> {
    let mut runs = Vec::new();
    for policy in policies {
        for value in &parameter.values {
            let scenario = with_parameter(scenario, parameter.path, *value)?;
            let run = |seed| Run { scenario: scenario.clone(), seed, policy: policy.clone() };
            runs.extend(options.seeds().map(run));
        }
    }
    Ok(runs)
}

/// Prints the runs of one policy with one value, and adds them to its line.
fn add_point(line: &mut Line, path: &str, value: f64, metrics: &[Metrics]) {
    let served = || metrics.iter().map(|run| run.served);
    let mean = mean(served());
    let (min, max) = (served().fold(1.0, f64::min), served().fold(0.0, f64::max));
    let violating = metrics.iter().filter(|run| run.violation_count > 0).count();
    println!(
        "{:<9} {path} = {value:<8} served {mean:.4} ({min:.4} to {max:.4})  runs with a broken rule {violating}",
        line.name
    );
    line.points.push((value, mean));
    line.band.push((value, min, max));
}

/// Returns the scenario with the parameter at `path` set to `value`.
fn with_parameter(scenario: &Scenario, path: &str, value: f64) -> LabResult<Scenario> {
    let mut document = toml::Value::try_from(scenario)?;
    let mut parameter = &mut document;
    for key in path.split('.') {
        let next = match key.parse::<usize>() {
            Ok(index) => parameter.get_mut(index),
            Err(_) => parameter.get_mut(key),
        };
        parameter = next.context(UnknownKeySnafu { path })?;
    }
    *parameter = match parameter {
        toml::Value::Integer(_) if value.fract() == 0.0 => toml::Value::Integer(value as i64),
        toml::Value::Integer(_) | toml::Value::Float(_) | toml::Value::Array(_) => toml::Value::Float(value),
        _ => return NotANumberSnafu { path }.fail(),
    };
    let text = toml::to_string(&document)?;
    scenario_file::parse(&text, &format!("{path} = {value}")).map_err(LabError::from)
}
