//! The validation of a scenario, which reports all errors with their positions.

mod faults;
mod plans;
mod service;

use std::ops::RangeInclusive;

use super::{Range, Scenario};

/// An error in a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// Its position: keys and indices joined by dots, such as `trouble.2.zone`.
    pub path: String,
    /// A description of the error.
    pub reason: String,
}

/// The maximum duration of a scenario: a day. A value above this limit, as above the other limits of this check, is
/// considered a typing error.
const MAX_SPAN_S: f64 = 86_400.0;

/// A parameter of a scenario: a number or a range.
trait Parameter {
    fn to_range(&self) -> Range;
}

impl Parameter for Range {
    fn to_range(&self) -> Range {
        *self
    }
}

impl Parameter for f64 {
    fn to_range(&self) -> Range {
        Range::from(*self)
    }
}

impl Parameter for u32 {
    fn to_range(&self) -> Range {
        Range::from(f64::from(*self))
    }
}

impl Parameter for usize {
    fn to_range(&self) -> Range {
        Range::from(*self as f64)
    }
}

/// Checks the bounds of keys of one table, in the given order.
macro_rules! check_bounds {
    ($checker:ident, $table:expr, { $($key:literal => $field:ident: $bounds:expr,)* }) => {
        $($checker.bounds($key, &$table.$field, $bounds);)*
    };
}
use check_bounds;

/// Collects the errors of one table of a scenario.
struct Checker<'a> {
    errors: &'a mut Vec<ScenarioError>,
    /// The position of the table; empty for the scenario itself.
    table: String,
}

impl<'a> Checker<'a> {
    fn new(errors: &'a mut Vec<ScenarioError>, table: impl Into<String>) -> Checker<'a> {
        Checker { errors, table: table.into() }
    }

    fn error(&mut self, key: &str, reason: impl Into<String>) {
        let path = if self.table.is_empty() { key.to_owned() } else { format!("{}.{key}", self.table) };
        self.errors.push(ScenarioError { path, reason: reason.into() });
    }

    /// Checks that a parameter is within bounds and that its range is not reversed.
    fn bounds(&mut self, key: &str, parameter: &impl Parameter, bounds: RangeInclusive<f64>) {
        let Range { min, max } = parameter.to_range();
        if min > max {
            self.error(key, format!("the range is reversed: the minimum {min} is above the maximum {max}"));
        } else if !bounds.contains(&min) || !bounds.contains(&max) {
            self.error(key, format!("must be from {} to {}", bounds.start(), bounds.end()));
        }
    }

    /// Checks that a name is defined; `what` names the kind of item in the error.
    fn defined_name<'n>(
        &mut self, key: &str, name: &str, mut names: impl Iterator<Item = &'n str>, what: &str,
    ) {
        if !names.any(|defined| defined == name) {
            self.error(key, format!("unknown {what} {name:?}"));
        }
    }

    /// Checks that a name is not empty and occurs once.
    fn unique_name<'n>(&mut self, key: &str, name: &str, names: impl Iterator<Item = &'n str>) {
        if name.is_empty() {
            self.error(key, "must not be empty");
        } else if names.filter(|other| *other == name).count() > 1 {
            self.error(key, format!("duplicate name {name:?}"));
        }
    }

    fn not_empty<T>(&mut self, key: &str, list: &[T]) {
        if list.is_empty() {
            self.error(key, "there must be one at least");
        }
    }
}

impl Scenario {
    /// Returns all errors of the scenario; none if it can be run.
    pub fn check(&self) -> Vec<ScenarioError> {
        let mut errors = Vec::new();
        let mut checker = Checker::new(&mut errors, "");
        checker.bounds("span_s", &self.duration_s, 0.0..=MAX_SPAN_S);
        checker.not_empty("zones", &self.zones);
        for (n, zone) in self.zones.iter().enumerate() {
            checker.unique_name(&format!("zones.{n}"), zone, self.zone_names());
        }
        checker.not_empty("topic", &self.topics);
        checker.not_empty("kind", &self.kinds);
        self.check_plans(&mut errors);
        self.check_topics(&mut errors);
        self.check_kinds(&mut errors);
        self.check_accounts(&mut errors);
        self.check_faults(&mut errors);
        errors
    }

    fn zone_names(&self) -> impl Iterator<Item = &str> {
        self.zones.iter().map(String::as_str)
    }

    fn topic_names(&self) -> impl Iterator<Item = &str> {
        self.topics.iter().map(|topic| topic.name.as_str())
    }

    fn kind_names(&self) -> impl Iterator<Item = &str> {
        self.kinds.iter().map(|kind| kind.name.as_str())
    }

    fn account_names(&self) -> impl Iterator<Item = &str> {
        self.accounts.iter().map(|account| account.name.as_str())
    }
}
