//! Which faults, and which pairs of them at the same time, were played.

use std::collections::BTreeMap;
use std::fmt;

use crate::schedule::{Fault, Schedule};

/// Counts of what was played.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    single: BTreeMap<String, usize>,
    pairs: BTreeMap<(&'static str, &'static str), usize>,
}

impl Coverage {
    /// Counts a schedule.
    pub fn add(&mut self, schedule: &Schedule) {
        for (place, fault) in schedule.faults.iter().enumerate() {
            *self.single.entry(name(fault)).or_default() += 1;
            for other in &schedule.faults[place + 1..] {
                if overlap(fault, other) {
                    let mut pair = [fault.kind.name(), other.kind.name()];
                    pair.sort_unstable();
                    *self.pairs.entry((pair[0], pair[1])).or_default() += 1;
                }
            }
        }
    }
}

/// A fault with the role that it strikes.
fn name(fault: &Fault) -> String {
    match fault.kind.machine() {
        Some(machine) => format!("{} {}", machine.role.name(), fault.kind.name()),
        None => fault.kind.name().to_owned(),
    }
}

/// Whether two faults are under way at the same time; what lasts no time counts as half a second.
fn overlap(one: &Fault, other: &Fault) -> bool {
    let end = |fault: &Fault| fault.at + fault.lasts.max(500);
    one.at < end(other) && other.at < end(one)
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
