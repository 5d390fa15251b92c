//! `survey`: the cost of each fault, alone and in pairs, for the core.

use std::fmt::Write;
use std::path::Path;
use std::process::ExitCode;

use juniperwing_model::scenario::FaultKind;
use juniperwing_model::{Metrics, Scenario};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::cli::RunOptions;
use crate::error::LabResult;
use crate::hunt::{draw_fault, searched_fault_kinds};
use crate::plots::{self, Line};
use crate::runner::{POLICIES, Run};
use crate::{report, scenario_file};

/// Indices into [`POLICIES`].
const CORE: usize = 0;
const BASELINES: std::ops::Range<usize> = 1..4;
const ORACLE: usize = 4;
/// The maximum of rows that are printed.
const MAX_PRINTED_ROWS: usize = 30;

/// The results with one set of faults.
struct Row {
    /// The faults, joined by `+`.
    faults: String,
    /// The mean served fraction of each policy.
    served: Vec<f64>,
    /// The difference between the best baseline without rule violations and the core.
    behind_best: f64,
    /// The difference between the oracle and the core.
    behind_oracle: f64,
    /// Runs in which the core violated a rule.
    violating: usize,
}

/// Runs all policies with each fault, and with `pairs` each pair of faults; writes a table and a page.
pub(super) fn survey(scenario: &Path, options: &RunOptions, pairs: bool) -> LabResult<ExitCode> {
    let mut scenario = scenario_file::read(scenario)?;
    scenario.faults.clear();
    let sets = fault_sets(pairs);
    let metrics = options.simulate_all(&runs(&scenario, &sets, options))?;
    std::fs::create_dir_all(&options.out)?;
    let runs_of_set = POLICIES.len() * options.seeds as usize;
    let sets = sets.iter().zip(metrics.chunks(runs_of_set));
    let mut rows: Vec<Row> = sets.map(|(set, metrics)| row(set, metrics, options.seeds)).collect();
    write_table(&rows, &options.out.join("survey.csv"))?;
    rows.sort_by(|a, b| b.behind_oracle.total_cmp(&a.behind_oracle));
    print_rows(&rows);
    let path = options.out.join("survey.html");
    std::fs::write(&path, report::page(&format!("Survey of {}", scenario.name), &page_body(&rows)?))?;
    println!("{}", path.display());
    Ok(ExitCode::SUCCESS)
}

/// No fault, each fault, and with `pairs` each pair.
fn fault_sets(pairs: bool) -> Vec<Vec<FaultKind>> {
    let all: Vec<FaultKind> = searched_fault_kinds().collect();
    let mut sets = vec![Vec::new()];
    sets.extend(all.iter().map(|kind| vec![*kind]));
    if pairs {
        for (n, first) in all.iter().enumerate() {
            sets.extend(all[n + 1..].iter().map(|second| vec![*first, *second]));
        }
    }
    sets
}

/// The runs, ordered by set, seed and policy.
fn runs(scenario: &Scenario, sets: &[Vec<FaultKind>], options: &RunOptions) -> Vec<Run> {
    let mut runs = Vec::new();
    for set in sets {
        for seed in options.seeds() {
            let mut scenario = scenario.resolve(seed);
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            scenario.faults = set.iter().map(|kind| draw_fault(&scenario, *kind, &mut rng)).collect();
            let run = |policy: &str| Run { scenario: scenario.clone(), seed, policy: policy.to_owned() };
            runs.extend(POLICIES.map(run));
        }
    }
    runs
}

fn row(set: &[FaultKind], metrics: &[Metrics], seeds: u64) -> Row {
    let of = |policy: usize| metrics.iter().skip(policy).step_by(POLICIES.len());
    let violating = |policy: usize| of(policy).filter(|metrics| metrics.violation_count > 0).count();
    let served: Vec<f64> = (0..POLICIES.len())
        .map(|policy| of(policy).map(|metrics| metrics.served).sum::<f64>() / seeds as f64)
        .collect();
    // A comparison with a baseline that violates rules is not meaningful.
    let compliant = BASELINES.filter(|policy| violating(*policy) == 0);
    let best = compliant.map(|policy| served[policy]).fold(0.0, f64::max);
    let names: Vec<String> = set.iter().map(|kind| report::fault_name(*kind)).collect();
    Row {
        faults: if names.is_empty() { "calm".to_owned() } else { names.join("+") },
        behind_best: best - served[CORE],
        behind_oracle: served[ORACLE] - served[CORE],
        violating: violating(CORE),
        served,
    }
}

fn write_table(rows: &[Row], path: &Path) -> LabResult {
    let mut table = csv::Writer::from_path(path)?;
    let mut head = vec!["troubles"];
    head.extend(POLICIES);
    head.extend(["behind_best_kept", "behind_oracle", "core_broken"]);
    table.write_record(head)?;
    for row in rows {
        table.serialize((&row.faults, &row.served, row.behind_best, row.behind_oracle, row.violating))?;
    }
    table.flush()?;
    Ok(())
}

fn print_rows(rows: &[Row]) {
    println!(
        "{:<26} {:>7} {:>8} {:>8} {:>8} {:>7} {:>9} {:>9}  broken",
        "troubles", "core", "one-try", "backoff", "breaker", "oracle", "b. best", "b. oracle"
    );
    for Row { faults, served, behind_best, behind_oracle, violating } in rows.iter().take(MAX_PRINTED_ROWS) {
        println!(
            "{faults:<26} {:>7.4} {:>8.4} {:>8.4} {:>8.4} {:>7.4} {behind_best:>+9.4} {behind_oracle:>+9.4}  {violating}",
            served[0], served[1], served[2], served[3], served[4]
        );
    }
}

fn page_body(rows: &[Row]) -> LabResult<String> {
    let behind_oracle: Vec<f64> = rows.iter().map(|row| row.behind_oracle.max(0.0)).collect();
    let behind_best: Vec<f64> = rows.iter().map(|row| row.behind_best.max(0.0)).collect();
    let lines = [
        Line::of_values("behind the oracle", &behind_oracle),
        Line::of_values("behind the best baseline that kept the rules", &behind_best),
    ];
    let title = "What each set of troubles costs the core";
    let mut body = plots::line_plot(title, "place in the table", "share", &lines, &[])?;
    body += "<table><tr><th>Troubles<th>core<th>one try<th>backoff<th>breaker<th>oracle<th>behind best<th>behind \
             oracle<th>core broke</tr>";
    for Row { faults, served, behind_best, behind_oracle, violating } in rows {
        write!(body, "<tr><td>{faults}")?;
        served.iter().try_for_each(|served| write!(body, "<td>{served:.4}"))?;
        write!(body, "<td>{behind_best:+.4}<td>{behind_oracle:+.4}<td>{violating}</tr>")?;
    }
    body += "</table>";
    Ok(body)
}
