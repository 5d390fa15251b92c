//! Writes what a run or a comparison came to: figures as JSON and CSV, and one HTML page with its plots inside. It owns
//! the folder's layout. It must never leave half a folder behind without saying so, or take a figure from anywhere but
//! the runs.

use std::error::Error;
use std::fmt::Write;
use std::fs;
use std::path::Path;

use juniperwing_model::metrics::{GroupMetrics, Metrics, QUANTILES};
use juniperwing_model::{Scenario, scenario};

use crate::file;
use crate::plots::{self, Line};

type Done<T = ()> = Result<T, Box<dyn Error>>;

const STYLE: &str = "body{font:14px/1.45 sans-serif;max-width:960px;margin:2em auto;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}\
td:first-child,th:first-child{text-align:left}.bad{color:#b00}.good{color:#070}pre{background:#f6f6f6;padding:1em;\
overflow:auto}svg{width:100%;height:auto}";

/// Text that may stand in HTML.
pub fn text(plain: &str) -> String {
    plain.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// A page.
pub fn page(title: &str, body: &str) -> String {
    let title = text(title);
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style>\
         <h1>{title}</h1>{body}<p>Figures of models, worked out by juniperwing-lab {}; nothing here was measured on \
         real destinations.</p></html>\n",
        env!("CARGO_PKG_VERSION")
    )
}

/// Writes the folder of one run.
pub fn run(folder: &Path, scenario: &Scenario, metrics: &Metrics) -> Done {
    fs::create_dir_all(folder)?;
    let resolved = scenario.resolve(metrics.seed);
    let seed = format!("# Resolved with --seed {}\n", metrics.seed);
    fs::write(folder.join("scenario.toml"), seed + &file::write(&resolved)?)?;
    fs::write(folder.join("figures.json"), serde_json::to_vec_pretty(metrics)?)?;
    seconds(&folder.join("seconds.csv"), metrics)?;
    // Last, so that a folder with a report is whole.
    fs::write(folder.join("report.html"), html(&resolved, metrics)?)?;
    Ok(())
}

fn seconds(path: &Path, metrics: &Metrics) -> Done {
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

/// One line about a run.
pub fn summary(metrics: &Metrics) -> String {
    let (relays, destinations, endpoints) = metrics.size;
    let broken = match metrics.violation_count {
        0 => "rules kept".to_owned(),
        n => {
            let rules: std::collections::BTreeSet<String> =
                metrics.violations.iter().map(|b| b.rule.to_string()).collect();
            format!("{n} BROKEN ({})", rules.into_iter().collect::<Vec<_>>().join(", "))
        }
    };
    let cut = if metrics.is_truncated { ", CUT OFF: too many events" } else { "" };
    format!(
        "{:<9} seed {:<4} {relays}x{endpoints} in {destinations}  served {:.4}  worst 10 s {:.4}  worst topic {:.4}  \
         {broken}{cut}",
        metrics.policy, metrics.seed, metrics.served, metrics.worst_window.0, metrics.worst_topic
    )
}

fn html(scenario: &Scenario, metrics: &Metrics) -> Done<String> {
    let mut body = format!("<p>{}</p><p>{}</p>", text(&scenario.about), text(&summary(metrics)));
    breaks(&mut body, metrics)?;
    parts(&mut body, "Topic type", &metrics.topics)?;
    if !metrics.accounts.is_empty() {
        parts(&mut body, "Account", &metrics.accounts)?;
    }
    let shaded = shaded(scenario);
    troubles(&mut body, scenario)?;
    let share = |s: &juniperwing_model::metrics::SecondMetrics| {
        if s.requested_benefit > 0.0 { s.delivered_benefit / s.requested_benefit } else { 1.0 }
    };
    // What is handed in after the end of traffic is nothing.
    let until = metrics.seconds.iter().rposition(|s| s.offered > 0).map_or(0, |n| n + 1);
    let benefit: Vec<f64> = metrics.seconds[..until].iter().map(share).collect();
    body += &plots::lines(
        "Benefit served, by when it was handed in",
        "second",
        "share",
        &[Line::of("served", &benefit)],
        &shaded,
    )?;
    let series = |of: fn(&juniperwing_model::metrics::SecondMetrics) -> f64| -> Vec<f64> {
        metrics.seconds.iter().map(of).collect()
    };
    body += &plots::lines(
        "Handed in, pushed, turned away",
        "second",
        "a second",
        &[
            Line::of("handed in", &series(|s| s.offered as f64)),
            Line::of("pushes", &series(|s| s.pushes as f64)),
            Line::of("turned away", &series(|s| s.rejected_pushes as f64)),
        ],
        &shaded,
    )?;
    body += &plots::lines(
        "Held, and calls out",
        "second",
        "count",
        &[
            Line::of("held", &series(|s| s.pending_notifications as f64)),
            Line::of("calls out", &series(|s| s.in_flight_calls as f64)),
        ],
        &shaded,
    )?;
    latencies(&mut body, metrics)?;
    for watched in &metrics.destination_series {
        let title = format!("Destination {}: what reached it beside what it can do", watched.destination);
        let lines = [
            Line::of("reached", &watched.reached),
            Line::of("delivered", &watched.delivered),
            Line::of("capacity", &watched.capacity),
        ];
        body += &plots::lines(&title, "second", "a second", &lines, &shaded)?;
    }
    let pushes = &metrics.pushes;
    write!(
        body,
        "<h2>Pushes</h2><table><tr><th>sent<th>calls<th>delivered<th>error<th>turned away<th>timed out<th>no \
         connection<th>reset<th>called off<th>not sent<th>wasted</tr><tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}\
         <td>{}<td>{}<td>{}<td>{}</tr></table>",
        pushes.sent,
        pushes.calls,
        pushes.delivered,
        pushes.error,
        pushes.busy,
        pushes.timed_out,
        pushes.no_connection,
        pushes.reset,
        pushes.cancelled,
        pushes.skipped,
        pushes.wasted
    )?;
    write!(
        body,
        "<p>Connections opened {}, requests for the list {}, handed in again {}, turned away at a full hold {}, faults \
         {}, events {}, turns of relays {}.</p><h2>Scenario as resolved</h2><pre>{}</pre>",
        metrics.connections,
        metrics.list_requests,
        metrics.resubmissions,
        metrics.rejected_at_capacity,
        metrics.invalid_commands,
        metrics.events,
        metrics.turns,
        text(&file::write(scenario)?)
    )?;
    Ok(page(&format!("{}, seed {}, {}", metrics.scenario, metrics.seed, metrics.policy), &body))
}

fn breaks(body: &mut String, metrics: &Metrics) -> Done {
    if metrics.violation_count == 0 {
        *body += "<p class=\"good\">All six rules kept.</p>";
        return Ok(());
    }
    write!(body, "<h2 class=\"bad\">Broken rules: {}</h2>", metrics.violation_count)?;
    for broken in &metrics.violations {
        write!(body, "<p><b>{}</b> at {:.3} s", broken.rule, broken.at_s)?;
        if let Some(relay) = broken.relay {
            write!(body, ", relay {relay}")?;
        }
        if let Some(ntf) = broken.notification {
            write!(body, ", notification {ntf}")?;
        }
        write!(body, ": {}</p>", text(&broken.what))?;
        if !broken.before.is_empty() {
            write!(
                body,
                "<details><summary>before</summary><pre>{}</pre></details>",
                text(&broken.before.join("\n"))
            )?;
        }
    }
    Ok(())
}

fn parts(body: &mut String, what: &str, parts: &[GroupMetrics]) -> Done {
    write!(
        body,
        "<table><tr><th>{what}<th>handed in<th>served<th>in objective<th>throttled<th>expired<th>gone"
    )?;
    for quantile in QUANTILES {
        write!(body, "<th>p{} ms", quantile * 100.0)?;
    }
    *body += "</tr>";
    for part in parts {
        let served =
            if part.requested_benefit > 0.0 { part.delivered_benefit / part.requested_benefit } else { 1.0 };
        write!(
            body,
            "<tr><td>{}<td>{}<td>{served:.4}<td>{}<td>{}<td>{}<td>{}",
            text(&part.name),
            part.offered,
            part.within_objective,
            part.throttled,
            part.expired,
            part.abandoned
        )?;
        for latency in &part.latency_ms {
            write!(body, "<td>{latency:.0}")?;
        }
        *body += "</tr>";
    }
    *body += "</table>";
    Ok(())
}

fn latencies(body: &mut String, metrics: &Metrics) -> Done {
    let line = |part: &GroupMetrics| Line {
        name: part.name.clone(),
        points: QUANTILES.iter().zip(&part.latency_ms).map(|(q, ms)| (q * 100.0, *ms)).collect(),
        band: Vec::new(),
    };
    let lines: Vec<Line> = metrics.topics.iter().filter(|p| !p.latency_ms.is_empty()).map(line).collect();
    *body += &plots::lines("Latency of what was delivered", "percentile", "ms", &lines, &[])?;
    Ok(())
}

fn troubles(body: &mut String, scenario: &Scenario) -> Done {
    if scenario.faults.is_empty() {
        return Ok(());
    }
    *body += "<table><tr><th>Trouble<th>from s<th>to s<th>size<th>extent</tr>";
    for trouble in &scenario.faults {
        let (from, span) = (trouble.start_s.least, trouble.span_s.least);
        write!(
            body,
            "<tr><td>{}<td>{from:.1}<td>{:.1}<td>{:.2}<td>{:.2}</tr>",
            name(trouble.what),
            from + span,
            trouble.size.least,
            trouble.extent.least
        )?;
    }
    *body += "</table>";
    Ok(())
}

/// A trouble's name as scenarios write it.
pub fn name(woe: scenario::FaultKind) -> String {
    serde_json::to_value(woe).ok().and_then(|value| value.as_str().map(str::to_owned)).unwrap_or_default()
}

fn shaded(scenario: &Scenario) -> Vec<(f64, f64)> {
    let span = |t: &scenario::Fault| (t.start_s.least, t.start_s.least + t.span_s.least);
    scenario.faults.iter().map(span).filter(|(from, to)| from < to).collect()
}
