//! Checks the record of a play. Safety is checked at all times, availability only where the tier guarantees it.

use std::collections::BTreeMap;

use crate::history::{Attempt, FaultInterval, Finding, LateRun, Millis, Order, Outcome, Record};
use crate::load::generation_of;
use crate::schedule::Schedule;

/// `bounds.contactMs`. Time bounds are not checked for this long after a fault.
const CONTACT_TIMEOUT_MS: Millis = 3_000;
/// `bounds.configApplyMs`.
const CONFIG_APPLY_TIMEOUT_MS: Millis = 2_000;
/// `bounds.lossSlackMs`. A connection may be lost within this time after its request was sent, if the request was not
/// executed and no response has begun.
const LOSS_SLACK_MS: Millis = 200;
/// Maximum interval without a served request of a kind while faults are within the tolerance.
const MAX_SERVICE_GAP_MS: Millis = 9_000;
/// How long after its deadline a response may still arrive.
const DEADLINE_SLACK_MS: Millis = 700;
/// Statuses that guarantee that a request was not executed and never will be.
const NOT_EXECUTED_STATUSES: [u16; 5] = [402, 408, 421, 429, 503];

/// The status of a turn that exceeds the budget.
const BUDGET_EXHAUSTED_STATUS: u16 = 402;

/// Returns all violations of guarantees: those recorded during the play, then those found in the record.
pub fn check_record(record: &Record, schedule: &Schedule, load_ended_at: Millis) -> Vec<Finding> {
    let mut findings: Vec<Finding> = record.findings.iter().cloned().collect();
    let mut oracle = Oracle { record, findings: Vec::new() };
    oracle.check_requests();
    oracle.check_budgets();
    oracle.check_orders();
    oracle.check_configuration_reads();
    oracle.check_relay_probes();
    oracle.check_drains();
    if schedule.is_within_tolerance() {
        oracle.check_service_gaps(load_ended_at);
    }
    findings.append(&mut oracle.findings);
    findings
}

struct Oracle<'record> {
    record: &'record Record,
    findings: Vec<Finding>,
}

impl Oracle<'_> {
    fn add_finding(&mut self, guarantee: &'static str, details: String) {
        self.findings.push(Finding { guarantee, details });
    }

    /// Whether no fault was active between [`CONTACT_TIMEOUT_MS`] before `from` and `until`. Faults for which
    /// `is_ignored` returns `true` do not count.
    fn is_fault_free(
        &self, from: Millis, until: Millis, is_ignored: impl Fn(&FaultInterval) -> bool,
    ) -> bool {
        let is_active = |interval: &&FaultInterval| {
            interval.started_at <= until
                && interval.ended_at + CONTACT_TIMEOUT_MS >= from
                && !is_ignored(interval)
        };
        !self.record.fault_intervals.iter().any(|interval| is_active(&interval))
    }

    fn check_requests(&mut self) {
        for (id, attempt) in &self.record.attempts {
            let runs = attempt.runs.len();
            if !attempt.kind.may_run_again() && runs > 1 {
                self.add_finding(
                    "a request that may run once runs once",
                    format!("{id} ran {:?}", attempt.runs),
                );
            }
            let Some((at, outcome)) = attempt.outcome else { continue };
            if let Outcome::Status { status, is_signed: false } = outcome
                && NOT_EXECUTED_STATUSES.contains(&status)
                && runs > 0
                && (!attempt.kind.may_run_again() || status == BUDGET_EXHAUSTED_STATUS)
            {
                let details = format!(
                    "{id} by relay {}: status {status}, but it ran {:?}",
                    attempt.relay, attempt.runs
                );
                self.add_finding("a refusal means not run", details);
            }
            self.check_outcome(id, attempt, at, outcome);
        }
    }

    /// Checks that no connection was lost and no response was late or missing without a fault that explains it.
    fn check_outcome(&mut self, id: &str, attempt: &Attempt, at: Millis, outcome: Outcome) {
        let is_planned = |interval: &FaultInterval| interval.kind.is_planned();
        if attempt.has_endpoint_fault || !self.is_fault_free(attempt.sent_at, at, is_planned) {
            return;
        }
        let relay = attempt.relay;
        let elapsed_ms = at.saturating_sub(attempt.sent_at);
        match outcome {
            Outcome::ConnectionLost { after_head }
                if !attempt.runs.is_empty() || after_head || elapsed_ms > LOSS_SLACK_MS =>
            {
                let details = format!(
                    "{id} by relay {relay}, sent at {}, lost after {elapsed_ms} ms, ran {:?}, \
                     head {after_head}",
                    attempt.sent_at, attempt.runs
                );
                self.add_finding("what was read is answered", details);
            }
            Outcome::TimedOut => {
                self.add_finding(
                    "an answer by the deadline",
                    format!("{id} by relay {relay}, sent at {}", attempt.sent_at),
                );
            }
            Outcome::Status { status, .. } if elapsed_ms > attempt.deadline_ms + DEADLINE_SLACK_MS => {
                let details = format!(
                    "{id} by relay {relay}, sent at {}, {status} after {elapsed_ms} ms",
                    attempt.sent_at
                );
                self.add_finding("an answer by the deadline", details);
            }
            _ => {}
        }
    }

    fn check_budgets(&mut self) {
        let mut spent: BTreeMap<&str, u64> = BTreeMap::new();
        for attempt in self.record.attempts.values() {
            if let Some(program) = &attempt.program {
                *spent.entry(program).or_default() += attempt.tokens;
            }
        }
        for (program, budget) in &self.record.budgets {
            let tokens = spent.get(program.as_str()).copied().unwrap_or_default();
            if tokens > budget.tokens + budget.max_turn_tokens {
                self.add_finding(
                    "a budget holds",
                    format!("program {program} received {tokens} tokens of {}", budget.tokens),
                );
            }
        }
    }

    fn check_orders(&mut self) {
        let orders = &self.record.orders;
        let mut acknowledged: BTreeMap<u64, &Order> = BTreeMap::new();
        // Operators that choose the same change send the same bytes, which is no conflict.
        for order in orders {
            let Some(at) = order.acknowledged_at() else { continue };
            if order.is_rejected() {
                let details =
                    format!("generation {} on {}: {:?}", order.generation, order.base, order.responses);
                self.add_finding("an order is not acknowledged and refused", details);
            }
            let other = acknowledged.insert(order.base, order);
            if let Some(other) = other.filter(|other| other.body != order.body) {
                let details = format!(
                    "on {}: generations {} and {}, the latter at {at}",
                    order.base, other.generation, order.generation
                );
                self.add_finding("two orders on one version are not both acknowledged", details);
            }
        }
    }

    fn check_configuration_reads(&mut self) {
        let orders = &self.record.orders;
        for read in self.record.reads.iter().filter(|read| read.status == 200) {
            let Some(order) = orders.iter().find(|order| order.body == read.body) else {
                self.add_finding("a read is what was sent", format!("keeper {} at {}", read.keeper, read.at));
                continue;
            };
            if order.is_rejected() && order.acknowledged_at().is_none() {
                let details =
                    format!("generation {} on {} read at {}", order.generation, order.base, read.at);
                self.add_finding("what was refused is not in force", details);
            }
            let before =
                orders.iter().filter(|order| order.acknowledged_at().is_some_and(|at| at < read.sent_at));
            let newest = before.map(|order| order.generation).max().unwrap_or_default();
            if generation_of(&read.body).unwrap_or_default() < newest {
                let details = format!(
                    "keeper {}: read from {} to {} returned generation {}, {newest} was acknowledged",
                    read.keeper, read.sent_at, read.at, order.generation
                );
                self.add_finding("a read is the newest acknowledged", details);
            }
        }
        for read in self.record.reads.iter().filter(|read| (400..500).contains(&read.status)) {
            self.add_finding(
                "a read is the newest acknowledged",
                format!("keeper {}: {}", read.keeper, read.status),
            );
        }
    }

    fn check_relay_probes(&mut self) {
        let mut served: BTreeMap<(usize, u64), u64> = BTreeMap::new();
        for probe in &self.record.probes {
            let newest = served.entry((probe.relay, probe.incarnation)).or_default();
            if probe.status != 404 {
                if probe.status == 200 {
                    *newest = (*newest).max(probe.generation);
                }
                continue;
            }
            if probe.generation <= *newest {
                let details = format!(
                    "relay {} has served generation {newest}, but has no route for {}",
                    probe.relay, probe.generation
                );
                self.findings.push(Finding { guarantee: "a relay never goes back", details });
            }
            let order = self.record.orders.iter().filter(|order| order.generation == probe.generation);
            let acknowledged_at = order.filter_map(Order::acknowledged_at).min().unwrap_or(Millis::MAX);
            let is_due = probe.sent_at > acknowledged_at.saturating_add(CONFIG_APPLY_TIMEOUT_MS);
            if is_due
                && self
                    .is_fault_free(acknowledged_at, probe.sent_at, |interval| !interval.kind.affects_tier())
            {
                let details = format!(
                    "relay {} has no route for generation {} at {}, acknowledged at {acknowledged_at}",
                    probe.relay, probe.generation, probe.sent_at
                );
                self.findings.push(Finding { guarantee: "a configuration is in force", details });
            }
        }
    }

    fn check_drains(&mut self) {
        for LateRun { drained_at, started_at, request } in &self.record.late_runs {
            if self.is_fault_free(*drained_at, *started_at, |interval| !interval.kind.affects_tier()) {
                let details = format!(
                    "request {request} began at {started_at}, the drain was acknowledged at {drained_at}"
                );
                self.findings.push(Finding { guarantee: "nothing reaches what has drained", details });
            }
        }
    }

    /// Checks that there is no interval without service longer than [`MAX_SERVICE_GAP_MS`].
    fn check_service_gaps(&mut self, load_ended_at: Millis) {
        let orders: Vec<Millis> = self.record.orders.iter().filter_map(Order::acknowledged_at).collect();
        let kinds = [
            ("turns", &self.record.turns_served),
            ("requests", &self.record.requests_served),
            ("orders", &orders),
        ];
        for (kind, times) in kinds {
            let mut times = times.clone();
            times.push(load_ended_at);
            times.sort_unstable();
            for pair in times.windows(2) {
                if pair[1] - pair[0] > MAX_SERVICE_GAP_MS {
                    let details = format!("no {kind} from {} to {} ms", pair[0], pair[1]);
                    self.findings.push(Finding { guarantee: "service goes on through a loss", details });
                }
            }
        }
    }
}
