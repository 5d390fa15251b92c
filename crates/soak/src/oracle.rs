//! Judges what was seen. Safety is judged at any moment, service only where the tier promises it.

use std::collections::BTreeMap;

use crate::history::{Ended, Finding, Millis, Order, Record, RequestKind, Try};
use crate::load::generation_of;
use crate::schedule::Schedule;

/// `bounds.contactMs`: for so long behind a trouble nothing that is bound by time is judged.
const CONTACT_MS: Millis = 3_000;
/// `bounds.configApplyMs`.
const APPLY_MS: Millis = 2_000;
/// `bounds.lossSlackMs`.
const LOSS_SLACK_MS: Millis = 200;
/// How long the tier may serve nothing of a kind while it bears what is lost.
const LONGEST_GAP_MS: Millis = 9_000;
/// How much later than its deadline an answer may come.
const LATE_MS: Millis = 700;
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 5] = [402, 408, 421, 429, 503];

/// Everything that must not be, in the order of its promises.
pub fn judge(record: &Record, schedule: &Schedule, load_ended_at: Millis) -> Vec<Finding> {
    let mut findings: Vec<Finding> = record.findings.iter().cloned().collect();
    let mut oracle = Oracle { record, findings: Vec::new() };
    oracle.requests();
    oracle.budgets();
    oracle.orders();
    oracle.reads();
    oracle.probes();
    oracle.drains();
    if schedule.is_within_tolerance() {
        oracle.service(load_ended_at);
    }
    findings.append(&mut oracle.findings);
    findings
}

struct Oracle<'record> {
    record: &'record Record,
    findings: Vec<Finding>,
}

impl Oracle<'_> {
    fn found(&mut self, promise: &'static str, details: String) {
        self.findings.push(Finding { promise, details });
    }

    /// Whether nothing was suffered from `CONTACT_MS` before a time up to another one, but for what `passes` lets by.
    fn is_calm(
        &self, from: Millis, until: Millis, passes: impl Fn(&crate::history::Suffered) -> bool,
    ) -> bool {
        let touches = |suffered: &&crate::history::Suffered| {
            suffered.from <= until && suffered.until + CONTACT_MS >= from && !passes(suffered)
        };
        !self.record.suffered.iter().any(|suffered| touches(&suffered))
    }

    fn requests(&mut self) {
        for (id, tried) in &self.record.tries {
            let runs = tried.runs.len();
            if tried.kind != RequestKind::Repeatable && runs > 1 {
                self.found("a request that may run once runs once", format!("{id} ran {:?}", tried.runs));
            }
            let Some((at, ended)) = tried.ended else { continue };
            if let Ended::Status { status, stamped: false } = ended
                && PROMISES.contains(&status)
                && runs > 0
                && tried.kind != RequestKind::Repeatable
            {
                let details =
                    format!("{id} by relay {} is answered {status} and ran {:?}", tried.relay, tried.runs);
                self.found("a refusal means not run", details);
            }
            self.end_of(id, tried, at, ended);
        }
    }

    /// Nothing is cut, late or unanswered but for troubles that excuse it.
    fn end_of(&mut self, id: &str, tried: &Try, at: Millis, ended: Ended) {
        let planned = |suffered: &crate::history::Suffered| suffered.kind.is_planned();
        if tried.spoiled || !self.is_calm(tried.sent_at, at, planned) {
            return;
        }
        let relay = tried.relay;
        let took = at.saturating_sub(tried.sent_at);
        match ended {
            Ended::Cut { after_head } if !tried.runs.is_empty() || after_head || took > LOSS_SLACK_MS => {
                let details = format!(
                    "{id} by relay {relay}, sent at {}, cut after {took} ms, ran {:?}, head {after_head}",
                    tried.sent_at, tried.runs
                );
                self.found("what was read is answered", details);
            }
            Ended::Silence => {
                self.found(
                    "an answer by the deadline",
                    format!("{id} by relay {relay}, sent at {}", tried.sent_at),
                );
            }
            Ended::Status { status, .. } if took > tried.deadline_ms + LATE_MS => {
                let details =
                    format!("{id} by relay {relay}, sent at {}, {status} after {took} ms", tried.sent_at);
                self.found("an answer by the deadline", details);
            }
            _ => {}
        }
    }

    fn budgets(&mut self) {
        let mut spent: BTreeMap<&str, u64> = BTreeMap::new();
        for tried in self.record.tries.values() {
            if let Some(program) = &tried.program {
                *spent.entry(program).or_default() += tried.tokens;
            }
        }
        for (program, budget) in &self.record.budgets {
            let tokens = spent.get(program.as_str()).copied().unwrap_or_default();
            if tokens > budget.tokens + budget.most {
                self.found("a budget holds", format!("{program} was handed {tokens} of {}", budget.tokens));
            }
        }
    }

    fn orders(&mut self) {
        let orders = &self.record.orders;
        let mut acknowledged: BTreeMap<u64, &Order> = BTreeMap::new();
        // Operators who draw the very same change send one order.
        for order in orders {
            let Some(at) = order.acknowledged_at() else { continue };
            if order.is_refused() {
                let details =
                    format!("generation {} on {}: {:?}", order.generation, order.base, order.answers);
                self.found("an order is not acknowledged and refused", details);
            }
            let other = acknowledged.insert(order.base, order);
            if let Some(other) = other.filter(|other| other.body != order.body) {
                let details = format!(
                    "on {}: generations {} and {}, the latter at {at}",
                    order.base, other.generation, order.generation
                );
                self.found("two orders on one version are not both acknowledged", details);
            }
        }
    }

    fn reads(&mut self) {
        let orders = &self.record.orders;
        for read in self.record.reads.iter().filter(|read| read.status == 200) {
            let Some(order) = orders.iter().find(|order| order.body == read.body) else {
                self.found("a read is what was sent", format!("keeper {} at {}", read.keeper, read.at));
                continue;
            };
            if order.is_refused() && order.acknowledged_at().is_none() {
                let details =
                    format!("generation {} on {} read at {}", order.generation, order.base, read.at);
                self.found("what was refused is not in force", details);
            }
            let before =
                orders.iter().filter(|order| order.acknowledged_at().is_some_and(|at| at < read.sent_at));
            let newest = before.map(|order| order.generation).max().unwrap_or_default();
            if generation_of(&read.body).unwrap_or_default() < newest {
                let details = format!(
                    "keeper {} answers a read of {} at {} with generation {}, {newest} is acknowledged",
                    read.keeper, read.sent_at, read.at, order.generation
                );
                self.found("a read is the newest acknowledged", details);
            }
        }
        for read in self.record.reads.iter().filter(|read| (400..500).contains(&read.status)) {
            self.found(
                "a read is the newest acknowledged",
                format!("keeper {}: {}", read.keeper, read.status),
            );
        }
    }

    fn probes(&mut self) {
        let mut served: BTreeMap<(usize, u64), u64> = BTreeMap::new();
        for probe in &self.record.probes {
            let newest = served.entry((probe.relay, probe.life)).or_default();
            if probe.status != 404 {
                if probe.status == 200 {
                    *newest = (*newest).max(probe.generation);
                }
                continue;
            }
            if probe.generation <= *newest {
                let details =
                    format!("relay {} has served {newest} and denies {}", probe.relay, probe.generation);
                self.findings.push(Finding { promise: "a relay never goes back", details });
            }
            let order = self.record.orders.iter().filter(|order| order.generation == probe.generation);
            let acknowledged_at = order.filter_map(Order::acknowledged_at).min().unwrap_or(Millis::MAX);
            let is_due = probe.sent_at > acknowledged_at.saturating_add(APPLY_MS);
            if is_due
                && self.is_calm(acknowledged_at, probe.sent_at, |suffered| !suffered.kind.is_of_the_tier())
            {
                let details = format!(
                    "relay {} denies {} at {}, acknowledged at {acknowledged_at}",
                    probe.relay, probe.generation, probe.sent_at
                );
                self.findings.push(Finding { promise: "a configuration is in force", details });
            }
        }
    }

    fn drains(&mut self) {
        for (drained_at, at, request) in &self.record.late_runs {
            if self.is_calm(*drained_at, *at, |suffered| !suffered.kind.is_of_the_tier()) {
                let details = format!("{request} runs at {at}, the drain was acknowledged at {drained_at}");
                self.findings.push(Finding { promise: "nothing reaches what has drained", details });
            }
        }
    }

    /// The tier serves on through what it bears.
    fn service(&mut self, load_ended_at: Millis) {
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
                if pair[1] - pair[0] > LONGEST_GAP_MS {
                    let details = format!("no {kind} from {} to {} ms", pair[0], pair[1]);
                    self.findings.push(Finding { promise: "service goes on through a loss", details });
                }
            }
        }
    }
}
