//! Checks of a tier after the last fault: it serves, acknowledged state is there, and nothing is left in use.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_node::role::Role;
use tokio::time::{Instant, sleep};

use crate::faults::{FaultKind, Machine};
use crate::history::{Millis, Outcome};
use crate::http::{encode_request, exchange};
use crate::load::{Shared, continue_turn, read_configuration};
use crate::network::METRICS_PORT;
use crate::schedule::{Fault, KEEPER_COUNT, Schedule};

/// Percentage of requests that must be served at rest.
const MIN_SERVED_AT_REST_PERCENT: usize = 90;
/// Number of stored turns that are continued at the end.
const MAX_CONTINUED_TURNS: usize = 12;
/// Failed continuations after which no more are attempted.
const MAX_FAILED_CONTINUATIONS: usize = 2;
/// Attempts to continue one turn.
const CONTINUE_ATTEMPTS: usize = 3;
/// How long the tier may take to settle once nobody uses it.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(13);
/// The same where a reservation may be left over for good.
const SHORT_SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Examples of failures that a finding shows.
const MAX_EXAMPLES: usize = 5;
/// How often the metrics are read until the tier has settled.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// How long a machine may take to answer with its metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(1);
/// Metrics that are zero when nobody uses the tier.
const ZERO_AT_REST: [&str; 6] = [
    "juniperwing_open_requests",
    "juniperwing_slots_taken",
    "juniperwing_body_bytes",
    "juniperwing_settling",
    "juniperwing_writes_under_way",
    "juniperwing_questions_waiting",
];

/// Checks that nearly all requests that were sent in an interval after the last fault were served, and that an order
/// was acknowledged.
pub(crate) fn check_service_at_rest(shared: &Shared, from: Millis, until: Millis) {
    let history = &shared.history;
    let (mut served, mut total, mut examples) = (0, 0, Vec::new());
    {
        let record = history.record();
        let at_rest = record.attempts.iter().filter(|(_, attempt)| (from..until).contains(&attempt.sent_at));
        for (id, attempt) in at_rest {
            let Some((_, outcome)) = attempt.outcome else { continue };
            match outcome {
                Outcome::ClientDisconnected => continue,
                Outcome::Status { status: 200 | 402, .. } => served += 1,
                other => examples.push(format!("{id} by relay {}: {other:?}", attempt.relay)),
            }
            total += 1;
        }
    }
    if served * 100 < total * MIN_SERVED_AT_REST_PERCENT || total == 0 {
        examples.truncate(MAX_EXAMPLES);
        history.record_finding(
            "all is well after recovery",
            format!("{served} of {total} served; {examples:?}"),
        );
    }
    let orders = history
        .record()
        .orders
        .iter()
        .filter(|order| order.acknowledged_at().is_some_and(|at| at >= from))
        .count();
    if orders == 0 {
        history.record_finding("all is well after recovery", "no order was taken".to_owned());
    }
}

/// Checks that acknowledged state was not lost: the configuration can be read and stored turns can be continued.
pub(crate) async fn check_acknowledged_state(shared: &Arc<Shared>) {
    let history = &shared.history;
    let mut is_readable = false;
    for keeper in 0..KEEPER_COUNT * 3 {
        is_readable |= read_configuration(shared, keeper).await.is_some();
    }
    if !is_readable {
        history.record_finding("the configuration is read back", "no keeper answered".to_owned());
    }
    let stored = shared.stored_turns();
    let step = stored.len().div_ceil(MAX_CONTINUED_TURNS).max(1);
    let mut failed = 0;
    for turn in stored.iter().step_by(step) {
        if !continue_turn(shared, turn, CONTINUE_ATTEMPTS).await {
            let details = format!("{} of {}", turn.id, turn.program);
            history.record_finding("a kept turn can be continued", details);
            failed += 1;
        }
        // A failed continuation takes long.
        if failed == MAX_FAILED_CONTINUATIONS {
            return;
        }
    }
}

/// Checks that no resources are in use once nobody uses the tier.
pub(crate) async fn check_nothing_outstanding(shared: &Arc<Shared>, schedule: &Schedule) {
    let may_leave_reservations = schedule.faults.iter().any(may_leave_reservations_behind);
    let within = if may_leave_reservations { SHORT_SETTLE_TIMEOUT } else { SETTLE_TIMEOUT };
    let until = Instant::now() + within;
    let mut outstanding = outstanding_items(shared, may_leave_reservations).await;
    while !outstanding.is_empty() && Instant::now() < until {
        sleep(SETTLE_POLL_INTERVAL).await;
        outstanding = outstanding_items(shared, may_leave_reservations).await;
    }
    if !outstanding.is_empty() {
        shared.history.record_finding("nothing is held at rest", outstanding.join(", "));
    }
}

/// Metrics that differ from what they are at rest, and violated invariants.
async fn outstanding_items(shared: &Arc<Shared>, may_leave_reservations: bool) -> Vec<String> {
    let mut outstanding = Vec::new();
    for machine in shared.tier.machines() {
        let Some(page) = metrics_page(shared, machine).await else {
            outstanding.push(format!("{machine} tells no figures"));
            continue;
        };
        outstanding.extend(outstanding_metrics(machine, &page, may_leave_reservations));
    }
    outstanding
}

/// Lines of a metrics page that differ from what they are at rest.
fn outstanding_metrics(machine: Machine, page: &str, may_leave_reservations: bool) -> Vec<String> {
    let mut outstanding = Vec::new();
    for line in page.lines().filter(|line| !line.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else { continue };
        let reservations = name == "juniperwing_reservations" && !may_leave_reservations;
        if (ZERO_AT_REST.contains(&name) || reservations) && value != "0" {
            outstanding.push(format!("{machine}: {name} {value}"));
        }
        if name.starts_with("juniperwing_invariant_violations") && value != "0" {
            outstanding.push(format!("{machine}: {line}"));
        }
    }
    outstanding
}

async fn metrics_page(shared: &Arc<Shared>, machine: Machine) -> Option<String> {
    let address = shared.network.listener(machine.role, machine.number, METRICS_PORT);
    let request = encode_request("GET", "/metrics", &[("Host", "figures")], b"");
    let (head, body) = exchange(address, &request, METRICS_TIMEOUT).await.ok()?;
    (head.status == 200).then(|| String::from_utf8_lossy(&body).into_owned())
}

/// Whether a fault may leave a reservation that is never released: the relay of a turn is killed, or no store can be
/// reached for long.
fn may_leave_reservations_behind(fault: &Fault) -> bool {
    let is_of_relay = fault.kind.machine().is_some_and(|machine| machine.role == Role::Relay);
    let kills_process = matches!(fault.kind, FaultKind::Kill(_) | FaultKind::KillDuringStart(_));
    let is_long = fault.duration_ms >= 4_000 && fault.kind.affects_tier();
    (is_of_relay && kills_process) || fault.kind.exceeds_tolerance() || is_long
}
