//! Writes what a run or a comparison came to: figures as JSON and CSV, and one HTML page with its plots inside. It owns
//! the folder's layout. It must never leave half a folder behind without saying so, or take a figure from anywhere but
//! the runs.

use std::error::Error;
use std::fmt::Write;
use std::fs;
use std::path::Path;

use juniperwing_model::figures::{Figures, Part, QUANTILES};
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
pub fn run(folder: &Path, scenario: &Scenario, figures: &Figures) -> Done {
    fs::create_dir_all(folder)?;
    let resolved = scenario.resolve(figures.seed);
    let seed = format!("# Resolved with --seed {}\n", figures.seed);
    fs::write(folder.join("scenario.toml"), seed + &file::write(&resolved)?)?;
    fs::write(folder.join("figures.json"), serde_json::to_vec_pretty(figures)?)?;
    seconds(&folder.join("seconds.csv"), figures)?;
    // Last, so that a folder with a report is whole.
    fs::write(folder.join("report.html"), html(&resolved, figures)?)?;
    Ok(())
}

fn seconds(path: &Path, figures: &Figures) -> Done {
    let mut table = csv::Writer::from_path(path)?;
    table.write_record(["second", "offered", "asked", "benefit", "pushes", "refused", "out", "held"])?;
    for (n, second) in figures.seconds.iter().enumerate() {
        table.serialize((
            n,
            second.offered,
            second.asked,
            second.benefit,
            second.pushes,
            second.refused,
            second.out,
            second.held,
        ))?;
    }
    table.flush()?;
    Ok(())
}

/// One line about a run.
pub fn summary(figures: &Figures) -> String {
    let (relays, destinations, endpoints) = figures.size;
    let broken = match figures.broken {
        0 => "rules kept".to_owned(),
        n => {
            let rules: std::collections::BTreeSet<String> =
                figures.breaks.iter().map(|b| b.rule.to_string()).collect();
            format!("{n} BROKEN ({})", rules.into_iter().collect::<Vec<_>>().join(", "))
        }
    };
    let cut = if figures.cut { ", CUT OFF: too many events" } else { "" };
    format!(
        "{:<9} seed {:<4} {relays}x{endpoints} in {destinations}  served {:.4}  worst 10 s {:.4}  worst topic {:.4}  \
         {broken}{cut}",
        figures.policy, figures.seed, figures.served, figures.worst_window.0, figures.worst_topic
    )
}

fn html(scenario: &Scenario, figures: &Figures) -> Done<String> {
    let mut body = format!("<p>{}</p><p>{}</p>", text(&scenario.about), text(&summary(figures)));
    breaks(&mut body, figures)?;
    parts(&mut body, "Topic type", &figures.topics)?;
    if !figures.accounts.is_empty() {
        parts(&mut body, "Account", &figures.accounts)?;
    }
    let shaded = shaded(scenario);
    troubles(&mut body, scenario)?;
    let share =
        |s: &juniperwing_model::figures::Second| if s.asked > 0.0 { s.benefit / s.asked } else { 1.0 };
    // What is handed in after the end of traffic is nothing.
    let until = figures.seconds.iter().rposition(|s| s.offered > 0).map_or(0, |n| n + 1);
    let benefit: Vec<f64> = figures.seconds[..until].iter().map(share).collect();
    body += &plots::lines(
        "Benefit served, by when it was handed in",
        "second",
        "share",
        &[Line::of("served", &benefit)],
        &shaded,
    )?;
    let series = |of: fn(&juniperwing_model::figures::Second) -> f64| -> Vec<f64> {
        figures.seconds.iter().map(of).collect()
    };
    body += &plots::lines(
        "Handed in, pushed, turned away",
        "second",
        "a second",
        &[
            Line::of("handed in", &series(|s| s.offered as f64)),
            Line::of("pushes", &series(|s| s.pushes as f64)),
            Line::of("turned away", &series(|s| s.refused as f64)),
        ],
        &shaded,
    )?;
    body += &plots::lines(
        "Held, and calls out",
        "second",
        "count",
        &[Line::of("held", &series(|s| s.held as f64)), Line::of("calls out", &series(|s| s.out as f64))],
        &shaded,
    )?;
    latencies(&mut body, figures)?;
    for watched in &figures.watched {
        let title = format!("Destination {}: what reached it beside what it can do", watched.destination);
        let lines = [
            Line::of("reached", &watched.reached),
            Line::of("delivered", &watched.delivered),
            Line::of("capacity", &watched.capacity),
        ];
        body += &plots::lines(&title, "second", "a second", &lines, &shaded)?;
    }
    let pushes = &figures.pushes;
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
        figures.connections,
        figures.list_requests,
        figures.again,
        figures.hold_full,
        figures.faults,
        figures.events,
        figures.turns,
        text(&file::write(scenario)?)
    )?;
    Ok(page(&format!("{}, seed {}, {}", figures.scenario, figures.seed, figures.policy), &body))
}

fn breaks(body: &mut String, figures: &Figures) -> Done {
    if figures.broken == 0 {
        *body += "<p class=\"good\">All six rules kept.</p>";
        return Ok(());
    }
    write!(body, "<h2 class=\"bad\">Broken rules: {}</h2>", figures.broken)?;
    for broken in &figures.breaks {
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

fn parts(body: &mut String, what: &str, parts: &[Part]) -> Done {
    write!(
        body,
        "<table><tr><th>{what}<th>handed in<th>served<th>in objective<th>throttled<th>expired<th>gone"
    )?;
    for quantile in QUANTILES {
        write!(body, "<th>p{} ms", quantile * 100.0)?;
    }
    *body += "</tr>";
    for part in parts {
        let served = if part.asked > 0.0 { part.benefit / part.asked } else { 1.0 };
        write!(
            body,
            "<tr><td>{}<td>{}<td>{served:.4}<td>{}<td>{}<td>{}<td>{}",
            text(&part.name),
            part.offered,
            part.in_objective,
            part.throttled,
            part.expired,
            part.gone
        )?;
        for latency in &part.latency_ms {
            write!(body, "<td>{latency:.0}")?;
        }
        *body += "</tr>";
    }
    *body += "</table>";
    Ok(())
}

fn latencies(body: &mut String, figures: &Figures) -> Done {
    let line = |part: &Part| Line {
        name: part.name.clone(),
        points: QUANTILES.iter().zip(&part.latency_ms).map(|(q, ms)| (q * 100.0, *ms)).collect(),
        band: Vec::new(),
    };
    let lines: Vec<Line> = figures.topics.iter().filter(|p| !p.latency_ms.is_empty()).map(line).collect();
    *body += &plots::lines("Latency of what was delivered", "percentile", "ms", &lines, &[])?;
    Ok(())
}

fn troubles(body: &mut String, scenario: &Scenario) -> Done {
    if scenario.trouble.is_empty() {
        return Ok(());
    }
    *body += "<table><tr><th>Trouble<th>from s<th>to s<th>size<th>extent</tr>";
    for trouble in &scenario.trouble {
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
pub fn name(woe: scenario::Woe) -> String {
    serde_json::to_value(woe).ok().and_then(|value| value.as_str().map(str::to_owned)).unwrap_or_default()
}

fn shaded(scenario: &Scenario) -> Vec<(f64, f64)> {
    let span = |t: &scenario::Trouble| (t.start_s.least, t.start_s.least + t.span_s.least);
    scenario.trouble.iter().map(span).filter(|(from, to)| from < to).collect()
}
