//! `compare`: two scenarios, or two policies on one, on the same seeds.

use std::fmt::Write;
use std::path::Path;
use std::process::ExitCode;

use juniperwing_model::{Metrics, Scenario};

use super::{check_policy, exit_code};
use crate::cli::RunOptions;
use crate::difference::Difference;
use crate::error::LabResult;
use crate::plots::{self, Line};
use crate::runner::Run;
use crate::{report, scenario_file};

/// One side of a comparison.
struct Side {
    scenario: Scenario,
    policy: String,
}

/// The metrics of both sides for one seed.
struct Pair<'a> {
    a: &'a Metrics,
    b: &'a Metrics,
}

/// A metric that is compared.
struct ComparedMetric {
    name: &'static str,
    read: fn(&Metrics) -> f64,
}

const COMPARED_METRICS: [ComparedMetric; 6] = [
    ComparedMetric { name: "served", read: |metrics| metrics.served },
    ComparedMetric { name: "worst 10 s", read: |metrics| metrics.worst_window.served },
    ComparedMetric { name: "worst topic type", read: |metrics| metrics.worst_topic },
    ComparedMetric { name: "worst account", read: |metrics| metrics.worst_account },
    ComparedMetric { name: "pushes for each handed in", read: pushes_per_notification },
    ComparedMetric { name: "rules broken", read: |metrics| metrics.violation_count as f64 },
];

fn pushes_per_notification(metrics: &Metrics) -> f64 {
    let offered = metrics.topics.iter().map(|topic| topic.offered).sum::<u64>();
    metrics.pushes.sent as f64 / offered.max(1) as f64
}

/// Prints and plots the differences of two sides, each `SCENARIO` or `SCENARIO@POLICY`.
pub(super) fn compare(a: &str, b: &str, options: &RunOptions) -> LabResult<ExitCode> {
    let sides = [side(a)?, side(b)?];
    let run = |side: &Side, seed| Run { scenario: side.scenario.clone(), seed, policy: side.policy.clone() };
    let runs: Vec<Run> =
        options.seeds().flat_map(|seed| sides.each_ref().map(|side| run(side, seed))).collect();
    let metrics = options.simulate_all(&runs)?;
    let pairs: Vec<Pair<'_>> = metrics.chunks(2).map(|pair| Pair { a: &pair[0], b: &pair[1] }).collect();
    let mut body = format!("<p>A: {}<br>B: {}</p>", report::escape_html(a), report::escape_html(b));
    println!("A: {a}\nB: {b}\n{:<26} {:>9} {:>9} {:>9}  95 % of the mean", "figure", "A", "B", "B - A");
    write_differences(&mut body, &pairs)?;
    body += &plot(&pairs)?;
    let path = options.out.join("compare.html");
    std::fs::create_dir_all(&options.out)?;
    std::fs::write(&path, report::page("Comparison", &body))?;
    println!("{} pairs; {}", pairs.len(), path.display());
    Ok(exit_code(&metrics))
}

/// Parses `SCENARIO` or `SCENARIO@POLICY` and reads the scenario.
fn side(argument: &str) -> LabResult<Side> {
    let (path, policy) = argument.split_once('@').unwrap_or((argument, "core"));
    check_policy(policy)?;
    Ok(Side { scenario: scenario_file::read(Path::new(path))?, policy: policy.to_owned() })
}

/// Prints each metric and writes the table of the page.
fn write_differences(body: &mut String, pairs: &[Pair<'_>]) -> LabResult {
    *body += "<table><tr><th>Figure<th>A<th>B<th>B less A<th>95 %</tr>";
    for ComparedMetric { name, read } in COMPARED_METRICS {
        let values: Vec<(f64, f64)> = pairs.iter().map(|pair| (read(pair.a), read(pair.b))).collect();
        let difference = Difference::of_pairs(&values);
        let (a, b) = difference.means;
        let (low, high) = difference.interval;
        let remark = if difference.is_clear() { "" } else { "  not clear" };
        println!("{name:<26} {a:>9.4} {b:>9.4} {:>+9.4}  {low:+.4} to {high:+.4}{remark}", difference.mean);
        write!(
            body,
            "<tr><td>{name}<td>{a:.4}<td>{b:.4}<td>{:+.4}<td>{low:+.4} to {high:+.4}{remark}</tr>",
            difference.mean
        )?;
    }
    *body += "</table>";
    Ok(())
}

fn plot(pairs: &[Pair<'_>]) -> LabResult<String> {
    let a: Vec<f64> = pairs.iter().map(|pair| pair.a.served).collect();
    let b: Vec<f64> = pairs.iter().map(|pair| pair.b.served).collect();
    let lines = [Line::of_values("A", &a), Line::of_values("B", &b)];
    plots::line_plot("Served, by seed", "place of the seed", "share", &lines, &[])
}
