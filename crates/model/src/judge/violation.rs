//! The six rules and the report of a violation.

use std::fmt;

use serde::Serialize;

/// One of the six rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each notification has exactly one final answer, in time, and is not pushed after it.
    Lost,
    /// No effect takes place twice.
    Twice,
    /// No new push to an endpoint that drains or has terminated.
    Drain,
    /// A destination that recovers from an outage is not overloaded.
    Return,
    /// Notifications with one key are delivered in order.
    Order,
    /// A wait that a destination asked for is observed.
    Wait,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Lost => "lost",
            Rule::Twice => "twice",
            Rule::Drain => "drain",
            Rule::Return => "return",
            Rule::Order => "order",
            Rule::Wait => "wait",
        })
    }
}

/// A violation of a rule. The names of its fields are keys of `figures.json`.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: Rule,
    /// The simulated time, in seconds.
    pub at_s: f64,
    /// The index of the relay; `None` where several relays took part.
    pub relay: Option<usize>,
    /// The id of the notification, if one is concerned.
    pub notification: Option<u64>,
    /// A description for people.
    pub what: String,
    /// What was observed before, the latest last.
    pub before: Vec<String>,
}
