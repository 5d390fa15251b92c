//! The HTML report of a run.

use std::fmt::Write;

use juniperwing_model::metrics::{GroupMetrics, Metrics, QUANTILES, SecondMetrics};
use juniperwing_model::scenario::{Fault, Scenario};

use super::{escape_html, fault_name, page, summary};
use crate::error::LabResult;
use crate::plots::{Line, line_plot};
use crate::scenario_file;

/// The report of a run of a resolved scenario.
pub(super) fn report(scenario: &Scenario, metrics: &Metrics) -> LabResult<String> {
    let mut body =
        format!("<p>{}</p><p>{}</p>", escape_html(&scenario.about), escape_html(&summary(metrics)));
    write_violations(&mut body, metrics)?;
    write_groups(&mut body, "Topic type", &metrics.topics)?;
    if !metrics.accounts.is_empty() {
        write_groups(&mut body, "Account", &metrics.accounts)?;
    }
    write_faults(&mut body, scenario)?;
    write_plots(&mut body, metrics, &fault_spans(scenario))?;
    write_pushes(&mut body, metrics)?;
    write_totals(&mut body, metrics)?;
    let text = escape_html(&scenario_file::write(scenario)?);
    write!(body, "<h2>Scenario as resolved</h2><pre>{text}</pre>")?;
    Ok(page(&format!("{}, seed {}, {}", metrics.scenario, metrics.seed, metrics.policy), &body))
}

/// The active times of faults with a duration, in seconds.
fn fault_spans(scenario: &Scenario) -> Vec<(f64, f64)> {
    let span = |fault: &Fault| (fault.start_s.min, fault.start_s.min + fault.duration_s.min);
    scenario.faults.iter().map(span).filter(|(from, to)| from < to).collect()
}

fn write_plots(body: &mut String, metrics: &Metrics, shaded: &[(f64, f64)]) -> LabResult {
    let series = |name: &str, read: fn(&SecondMetrics) -> f64| {
        Line::of_values(name, &metrics.seconds.iter().map(read).collect::<Vec<_>>())
    };
    let served = [Line::of_values("served", &served_by_second(metrics))];
    *body += &line_plot("Benefit served, by when it was handed in", "second", "share", &served, shaded)?;
    let rates = [
        series("handed in", |second| second.offered as f64),
        series("pushes", |second| second.pushes as f64),
        series("turned away", |second| second.rejected_pushes as f64),
    ];
    *body += &line_plot("Handed in, pushed, turned away", "second", "a second", &rates, shaded)?;
    let levels = [
        series("held", |second| second.pending_notifications as f64),
        series("calls out", |second| second.in_flight_calls as f64),
    ];
    *body += &line_plot("Held, and calls out", "second", "count", &levels, shaded)?;
    write_latencies(body, metrics)?;
    for series in &metrics.destination_series {
        let title = format!("Destination {}: what reached it beside what it can do", series.destination);
        let lines = [
            Line::of_values("reached", &series.reached),
            Line::of_values("delivered", &series.delivered),
            Line::of_values("capacity", &series.capacity),
        ];
        *body += &line_plot(&title, "second", "a second", &lines, shaded)?;
    }
    Ok(())
}

/// The served fraction of each second until the last submission.
fn served_by_second(metrics: &Metrics) -> Vec<f64> {
    let last = metrics.seconds.iter().rposition(|second| second.offered > 0);
    let until = last.map_or(0, |last| last + 1);
    let served = |second: &SecondMetrics| fraction(second.delivered_benefit, second.requested_benefit);
    metrics.seconds[..until].iter().map(served).collect()
}

/// Delivered over requested benefit; 1 if none was requested.
fn fraction(delivered: f64, requested: f64) -> f64 {
    if requested > 0.0 { delivered / requested } else { 1.0 }
}

fn write_pushes(body: &mut String, metrics: &Metrics) -> LabResult {
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
    Ok(())
}

fn write_totals(body: &mut String, metrics: &Metrics) -> LabResult {
    write!(
        body,
        "<p>Connections opened {}, requests for the list {}, handed in again {}, turned away at a full hold {}, faults \
         {}, events {}, turns of relays {}.</p>",
        metrics.connections,
        metrics.list_requests,
        metrics.resubmissions,
        metrics.rejected_at_capacity,
        metrics.invalid_commands,
        metrics.events,
        metrics.turns
    )?;
    Ok(())
}

fn write_violations(body: &mut String, metrics: &Metrics) -> LabResult {
    if metrics.violation_count == 0 {
        *body += "<p class=\"good\">All six rules kept.</p>";
        return Ok(());
    }
    write!(body, "<h2 class=\"bad\">Broken rules: {}</h2>", metrics.violation_count)?;
    for violation in &metrics.violations {
        write!(body, "<p><b>{}</b> at {:.3} s", violation.rule, violation.at_s)?;
        if let Some(relay) = violation.relay {
            write!(body, ", relay {relay}")?;
        }
        if let Some(notification) = violation.notification {
            write!(body, ", notification {notification}")?;
        }
        write!(body, ": {}</p>", escape_html(&violation.what))?;
        if !violation.before.is_empty() {
            write!(
                body,
                "<details><summary>before</summary><pre>{}</pre></details>",
                escape_html(&violation.before.join("\n"))
            )?;
        }
    }
    Ok(())
}

fn write_groups(body: &mut String, title: &str, groups: &[GroupMetrics]) -> LabResult {
    write!(
        body,
        "<table><tr><th>{title}<th>handed in<th>served<th>in objective<th>throttled<th>expired<th>gone"
    )?;
    for quantile in QUANTILES {
        write!(body, "<th>p{} ms", quantile * 100.0)?;
    }
    *body += "</tr>";
    for group in groups {
        let served = if group.requested_benefit > 0.0 {
            group.delivered_benefit / group.requested_benefit
        } else {
            1.0
        };
        write!(
            body,
            "<tr><td>{}<td>{}<td>{served:.4}<td>{}<td>{}<td>{}<td>{}",
            escape_html(&group.name),
            group.offered,
            group.within_objective,
            group.throttled,
            group.expired,
            group.abandoned
        )?;
        for latency in &group.latency_ms {
            write!(body, "<td>{latency:.0}")?;
        }
        *body += "</tr>";
    }
    *body += "</table>";
    Ok(())
}

fn write_latencies(body: &mut String, metrics: &Metrics) -> LabResult {
    let line = |group: &GroupMetrics| Line {
        name: group.name.clone(),
        points: QUANTILES
            .iter()
            .zip(&group.latency_ms)
            .map(|(quantile, ms)| (quantile * 100.0, *ms))
            .collect(),
        band: Vec::new(),
    };
    let delivered = metrics.topics.iter().filter(|group| !group.latency_ms.is_empty());
    let lines: Vec<Line> = delivered.map(line).collect();
    *body += &line_plot("Latency of what was delivered", "percentile", "ms", &lines, &[])?;
    Ok(())
}

fn write_faults(body: &mut String, scenario: &Scenario) -> LabResult {
    if scenario.faults.is_empty() {
        return Ok(());
    }
    *body += "<table><tr><th>Trouble<th>from s<th>to s<th>size<th>extent</tr>";
    for fault in &scenario.faults {
        let (from_s, duration_s) = (fault.start_s.min, fault.duration_s.min);
        write!(
            body,
            "<tr><td>{}<td>{from_s:.1}<td>{:.1}<td>{:.2}<td>{:.2}</tr>",
            fault_name(fault.kind),
            from_s + duration_s,
            fault.size.min,
            fault.extent.min
        )?;
    }
    *body += "</table>";
    Ok(())
}
