//! Reports: the metrics of a run as JSON and CSV, and an HTML page with embedded plots.

mod html;

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use juniperwing_model::metrics::FleetSize;
use juniperwing_model::scenario::FaultKind;
use juniperwing_model::{Metrics, Scenario};

use crate::error::LabResult;
use crate::scenario_file;

const STYLE: &str = "body{font:14px/1.45 sans-serif;max-width:960px;margin:2em auto;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}\
td:first-child,th:first-child{text-align:left}.bad{color:#b00}.good{color:#070}pre{background:#f6f6f6;padding:1em;\
overflow:auto}svg{width:100%;height:auto}";

/// Escapes text for HTML.
pub fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// An HTML page with a title and a body.
pub fn page(title: &str, body: &str) -> String {
    let title = escape_html(title);
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style>\
         <h1>{title}</h1>{body}<p>Figures of models, worked out by juniperwing-lab {}; nothing here was measured on \
         real destinations.</p></html>\n",
        env!("CARGO_PKG_VERSION")
    )
}

/// Writes the directory of one run. The report is written last, so that a directory with a report is complete.
///
/// # Errors
///
/// If a file cannot be written, or a plot not drawn.
pub fn write_run(directory: &Path, scenario: &Scenario, metrics: &Metrics) -> LabResult {
    fs::create_dir_all(directory)?;
    let resolved = scenario.resolve(metrics.seed);
    let seed = format!("# Resolved with --seed {}\n", metrics.seed);
    fs::write(directory.join("scenario.toml"), seed + &scenario_file::write(&resolved)?)?;
    fs::write(directory.join("figures.json"), serde_json::to_vec_pretty(metrics)?)?;
    write_seconds(&directory.join("seconds.csv"), metrics)?;
    fs::write(directory.join("report.html"), html::report(&resolved, metrics)?)?;
    Ok(())
}

fn write_seconds(path: &Path, metrics: &Metrics) -> LabResult {
    let mut table = csv::Writer::from_path(path)?;
    table.write_record(["second", "offered", "asked", "benefit", "pushes", "refused", "out", "held"])?;
    for (n, second) in metrics.seconds.iter().enumerate() {
        table.serialize((
            n,
            second.offered,
            second.requested_benefit,
            second.delivered_benefit,
            second.pushes,
            second.rejected_pushes,
            second.in_flight_calls,
            second.pending_notifications,
        ))?;
    }
    table.flush()?;
    Ok(())
}

/// A one-line summary of a run.
pub fn summary(metrics: &Metrics) -> String {
    let FleetSize { relays, destinations, endpoints } = metrics.size;
    let truncated = if metrics.is_truncated { ", CUT OFF: too many events" } else { "" };
    format!(
        "{:<9} seed {:<4} {relays}x{endpoints} in {destinations}  served {:.4}  worst 10 s {:.4}  worst topic {:.4}  \
         {}{truncated}",
        metrics.policy,
        metrics.seed,
        metrics.served,
        metrics.worst_window.served,
        metrics.worst_topic,
        violations_summary(metrics)
    )
}

fn violations_summary(metrics: &Metrics) -> String {
    if metrics.violation_count == 0 {
        return "rules kept".to_owned();
    }
    let rules: BTreeSet<String> =
        metrics.violations.iter().map(|violation| violation.rule.to_string()).collect();
    let rules = rules.into_iter().collect::<Vec<_>>().join(", ");
    format!("{} BROKEN ({rules})", metrics.violation_count)
}

/// The name of a kind of fault in scenarios.
pub fn fault_name(kind: FaultKind) -> String {
    serde_json::to_value(kind).ok().and_then(|value| value.as_str().map(str::to_owned)).unwrap_or_default()
}
