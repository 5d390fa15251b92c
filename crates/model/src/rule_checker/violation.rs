//! The six rules and the report of a violation.

use std::fmt;

use serde::Serialize;

/// One of the six rules. Reports name rules by the terms of [`fmt::Display`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each notification has exactly one final answer, in time, and is not pushed after it.
    #[serde(rename = "lost")]
    FinalAnswer,
    /// No effect occurs twice.
    #[serde(rename = "twice")]
    SingleEffect,
    /// No new push to an endpoint that is draining or has terminated.
    Drain,
    /// A destination that recovers from an outage is not overloaded.
    #[serde(rename = "return")]
    Recovery,
    /// Notifications with one key are delivered in order.
    Order,
    /// A retry-after of a destination is respected.
    #[serde(rename = "wait")]
    RetryAfter,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::FinalAnswer => "lost",
            Rule::SingleEffect => "twice",
            Rule::Drain => "drain",
            Rule::Recovery => "return",
            Rule::Order => "order",
            Rule::RetryAfter => "wait",
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
    /// A description.
    pub what: String,
    /// The observations before it, the latest last.
    pub before: Vec<String>,
}
