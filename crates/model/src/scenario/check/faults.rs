//! The validation of faults.

use super::{Checker, MAX_SPAN_S, ScenarioError, check_bounds};
use crate::scenario::{Fault, FaultKind, Scenario};

impl Scenario {
    pub(super) fn check_faults(&self, errors: &mut Vec<ScenarioError>) {
        for (n, fault) in self.faults.iter().enumerate() {
            let mut checker = Checker::new(errors, format!("trouble.{n}"));
            check_bounds!(checker, fault, {
                "start_s" => start_s: 0.0..=MAX_SPAN_S,
                "span_s" => duration_s: 0.0..=MAX_SPAN_S,
                "ramp_s" => ramp_s: 0.0..=MAX_SPAN_S,
                "size" => size: 0.0..=1e6,
                "extent" => extent: 0.0..=1.0,
            });
            self.check_fault_scope(fault, &mut checker);
            if fault.kind == FaultKind::Pauses && fault.size.min <= 0.0 {
                checker.error("size", "pauses need a length above 0, in seconds");
            }
        }
    }

    /// Checks that everything that a fault is restricted to exists.
    fn check_fault_scope(&self, fault: &Fault, checker: &mut Checker<'_>) {
        if let Some(kind) = &fault.destination_kind {
            checker.defined_name("kind", kind, self.kind_names(), "kind");
        }
        if let Some(zone) = &fault.zone {
            checker.defined_name("zone", zone, self.zone_names(), "zone");
        }
        if let Some(topic) = &fault.topic {
            checker.defined_name("topic", topic, self.topic_names(), "topic type");
        } else if fault.kind == FaultKind::TopicFails {
            checker.error("what", "topic-fails needs the topic type that fails: topic = \"..\"");
        }
        if let Some(account) = &fault.account {
            checker.defined_name("account", account, self.account_names(), "account");
        } else if fault.kind == FaultKind::AccountBurst {
            checker.error("what", "account-burst needs the account: account = \"..\"");
        }
        if let Some(index) = fault.destination
            && index as f64 >= self.destinations.count.min
        {
            checker.error("destination", format!("there may be no destination {index}"));
        }
    }
}
