//! The tables of `docs/CAPACITY.md`, written between markers from the data file.

use std::fmt::Write as _;

use snafu::{OptionExt, Snafu};

use crate::data::Data;

/// The line before the tables.
pub const BEGIN: &str = "<!-- measured: begin -->";
/// The line behind them.
pub const END: &str = "<!-- measured: end -->";

/// The page lacks its markers.
#[derive(Clone, Copy, Debug, Snafu, PartialEq, Eq)]
#[snafu(display("the page lacks the lines {BEGIN} and {END}"))]
pub struct NoMarkers;

/// The page with the tables of this data between its markers.
///
/// # Errors
///
/// If the page lacks a marker.
pub fn rewrite(page: &str, data: &Data) -> Result<String, NoMarkers> {
    let (before, rest) = page.split_once(BEGIN).context(NoMarkersSnafu)?;
    let (_, behind) = rest.split_once(END).context(NoMarkersSnafu)?;
    Ok(format!("{before}{BEGIN}\n{}{END}{behind}", tables(data)))
}

/// The tables.
pub fn tables(data: &Data) -> String {
    let mut text = format!("Given by `{}`.\n\n", data.command);
    write_slopes(&mut text, data);
    text.push('\n');
    write_runs(&mut text, data);
    text
}

fn write_slopes(text: &mut String, data: &Data) {
    text.push_str("| for each of | role | resource of one process | at 0 | slope | residual | points |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- | --- |\n");
    for slope in &data.slopes {
        let line = &slope.line;
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {:.3e} | {:.3e} | {:.3e} | {} |",
            slope.series, slope.role, slope.resource, line.intercept, line.slope, line.residual, slope.points
        );
    }
}

fn write_runs(text: &mut String, data: &Data) {
    text.push_str("| series | at | keeper cores, MB | store cores, MB | relay cores, MB | counted by the hollow ones |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for run in &data.runs {
        let used = |role: &str| {
            let used = run.roles.get(role).copied().unwrap_or_default();
            format!("{:.4}, {:.1}", used.cores, used.megabytes)
        };
        let counted: Vec<String> = run.hollow.iter().filter_map(counted).collect();
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} |",
            run.series,
            run.x,
            used("keeper"),
            used("store"),
            used("relay"),
            counted.join("; ")
        );
    }
}

fn counted(figures: &serde_json::Value) -> Option<String> {
    let name = figures["name"].as_str()?;
    let done = figures["done"].as_u64()?;
    let failed = figures["failed"].as_u64()?;
    let p99 = figures["p99_ms"].as_f64()?;
    Some(format!("{done} {name}, {failed} failed, {p99:.1} ms for 99 in 100"))
}
