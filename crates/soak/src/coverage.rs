//! Counts the kinds of faults, and the overlapping pairs of kinds, that plays injected.

use std::collections::BTreeMap;
use std::fmt;

use crate::schedule::{Fault, Schedule};

/// Counts of kinds of faults and of pairs of kinds that overlap in time.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    single: BTreeMap<String, usize>,
    pairs: BTreeMap<(&'static str, &'static str), usize>,
}

impl Coverage {
    /// Counts the faults of a schedule.
    pub fn add(&mut self, schedule: &Schedule) {
        for (index, fault) in schedule.faults.iter().enumerate() {
            *self.single.entry(name_with_role(fault)).or_default() += 1;
            for other in &schedule.faults[index + 1..] {
                if is_overlapping(fault, other) {
                    let mut pair = [fault.kind.name(), other.kind.name()];
                    pair.sort_unstable();
                    *self.pairs.entry((pair[0], pair[1])).or_default() += 1;
                }
            }
        }
    }
}

/// The name of a fault with the role of the machine that it affects.
fn name_with_role(fault: &Fault) -> String {
    match fault.kind.machine() {
        Some(machine) => format!("{} {}", machine.role.name(), fault.kind.name()),
        None => fault.kind.name().to_owned(),
    }
}

/// Whether two faults are active at the same time. An instantaneous fault counts as 500 ms long.
fn is_overlapping(one: &Fault, other: &Fault) -> bool {
    let end = |fault: &Fault| fault.starts_at + fault.duration_ms.max(500);
    one.starts_at < end(other) && other.starts_at < end(one)
}

impl fmt::Display for Coverage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total: usize = self.single.values().sum();
        writeln!(formatter, "{total} troubles of {} kinds:", self.single.len())?;
        for (name, count) in &self.single {
            writeln!(formatter, "  {count:>5}  {name}")?;
        }
        let overlaps: usize = self.pairs.values().sum();
        writeln!(
            formatter,
            "{overlaps} overlaps of {} pairs of kinds; the most frequent:",
            self.pairs.len()
        )?;
        let mut pairs: Vec<_> = self.pairs.iter().collect();
        pairs.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        for ((one, other), count) in pairs.into_iter().take(12) {
            writeln!(formatter, "  {count:>5}  {one} + {other}")?;
        }
        Ok(())
    }
}
