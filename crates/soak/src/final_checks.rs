//! Checks after the last fault: the tier serves, acknowledged state is readable, and no resources are leaked.

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

/// Minimum percentage of requests that must be served after recovery.
const MIN_SERVED_PERCENT: usize = 90;
/// Maximum number of stored turns that are continued, as a sample of all.
const MAX_CONTINUED_TURNS: usize = 12;
/// Number of failed continuations after which no more are attempted.
const MAX_FAILED_CONTINUATIONS: usize = 2;
/// Maximum number of attempts to continue one turn.
const CONTINUE_ATTEMPTS: usize = 3;
/// How long the tier may take to release all resources once the load has ended.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(13);
/// The same if a fault may have leaked reservations, which are then not checked.
const SHORT_SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of failed requests that a finding lists.
const MAX_EXAMPLES: usize = 5;
/// How often the metrics are read until all resources are released.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// How long a machine may take to return its metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(1);
/// Metrics that are zero when the tier is idle.
const ZERO_WHEN_IDLE: [&str; 6] = [
    "juniperwing_open_requests",
    "juniperwing_slots_taken",
    "juniperwing_body_bytes",
    "juniperwing_settling",
    "juniperwing_writes_under_way",
    "juniperwing_questions_waiting",
];

/// Checks that at least [`MIN_SERVED_PERCENT`] of the requests sent in an interval after the last fault were served,
/// and that at least one order was acknowledged.
pub(crate) fn check_service_after_recovery(shared: &Shared, from: Millis, until: Millis) {
    let history = &shared.history;
    let (mut served, mut total, mut examples) = (0, 0, Vec::new());
    {
        let record = history.record();
        let in_interval =
            record.attempts.iter().filter(|(_, attempt)| (from..until).contains(&attempt.sent_at));
        for (id, attempt) in in_interval {
            let Some((_, outcome)) = attempt.outcome else { continue };
            match outcome {
                Outcome::ClientDisconnected => continue,
                Outcome::Status { status: 200 | 402, .. } => served += 1,
                other => examples.push(format!("{id} by relay {}: {other:?}", attempt.relay)),
            }
            total += 1;
        }
    }
    if served * 100 < total * MIN_SERVED_PERCENT || total == 0 {
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
        history.record_finding("all is well after recovery", "no order was acknowledged".to_owned());
    }
}

/// Checks that no acknowledged state was lost: the configuration can be read, and stored turns can be continued.
pub(crate) async fn check_acknowledged_state(shared: &Arc<Shared>) {
    let history = &shared.history;
    let mut is_readable = false;
    for keeper in 0..KEEPER_COUNT * 3 {
        is_readable |= read_configuration(shared, keeper).await.is_some();
    }
    if !is_readable {
        history.record_finding(
            "the configuration is read back",
            "no keeper returned the configuration".to_owned(),
        );
    }
    let stored = shared.stored_turns();
    let step = stored.len().div_ceil(MAX_CONTINUED_TURNS).max(1);
    let mut failed = 0;
    for turn in stored.iter().step_by(step) {
        if !continue_turn(shared, turn, CONTINUE_ATTEMPTS).await {
            let details = format!("turn {} of program {}", turn.id, turn.program);
            history.record_finding("a kept turn can be continued", details);
            failed += 1;
        }
        // A failed continuation takes long.
        if failed == MAX_FAILED_CONTINUATIONS {
            return;
        }
    }
}

/// Checks that all resources are released once the load has ended.
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

/// Metrics that differ from their values in an idle tier, and violated invariants.
async fn outstanding_items(shared: &Arc<Shared>, may_leave_reservations: bool) -> Vec<String> {
    let mut outstanding = Vec::new();
    for machine in shared.tier.machines() {
        let Some(page) = metrics_page(shared, machine).await else {
            outstanding.push(format!("{machine} returns no metrics"));
            continue;
        };
        outstanding.extend(outstanding_metrics(machine, &page, may_leave_reservations));
    }
    outstanding
}

/// Lines of a metrics page that differ from those of an idle machine.
fn outstanding_metrics(machine: Machine, page: &str, may_leave_reservations: bool) -> Vec<String> {
    let mut outstanding = Vec::new();
    for line in page.lines().filter(|line| !line.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else { continue };
        let counts_reservations = name == "juniperwing_reservations" && !may_leave_reservations;
        if (ZERO_WHEN_IDLE.contains(&name) || counts_reservations) && value != "0" {
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

/// Whether a fault may leak a reservation: the relay of a turn is killed, or stores may be unreachable for long.
fn may_leave_reservations_behind(fault: &Fault) -> bool {
    let affects_relay = fault.kind.machine().is_some_and(|machine| machine.role == Role::Relay);
    let kills_process = matches!(fault.kind, FaultKind::Kill(_) | FaultKind::KillDuringStart(_));
    let is_long = fault.duration_ms >= 4_000 && fault.kind.affects_tier();
    (affects_relay && kills_process) || fault.kind.exceeds_tolerance() || is_long
}
