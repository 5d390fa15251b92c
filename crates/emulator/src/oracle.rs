//! Judges a day from what callers saw alone.
//!
//! [`orders`] judges the answers to operators, [`relays`] what relays brought into force, [`endpoints`] the
//! acknowledgements of heartbeats and drains, [`liveness`] whether anything was acknowledged at all.

mod endpoints;
mod liveness;
mod orders;
mod relays;
mod view;

use std::fmt;

use juniperwing_clock::Time;

use self::view::View;
use crate::day::Day;
use crate::history::{OrderId, Seen};

/// A broken property.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Property {
    /// Two orders on one base were acknowledged.
    TwoAcknowledged,
    /// An order was acknowledged and refused.
    AcknowledgedAndRefused,
    /// An order was refused and is in force all the same.
    RefusedButInForce,
    /// An order on the newest version was refused though no other order on it was ever in force.
    RefusedWithoutRival,
    /// What was read is older than what was acknowledged before.
    ReadOlder,
    /// What was read, or told to a relay, was never sent.
    NeverSent,
    /// A configuration was acknowledged and there is none.
    ReadMissing,
    /// At the end of the day it could not be read.
    NotReadable,
    /// A relay that starts is told a configuration older than what was acknowledged before.
    RelayStartsWithOlder,
    /// A relay went back to an older configuration.
    RelayWentBack,
    /// An acknowledged configuration is not in force at a relay in touch.
    LateAtRelay,
    /// An endpoint that drains or has ended, acknowledged, counts as ready at a relay in touch.
    DrainedButReady,
    /// An endpoint whose heartbeats are acknowledged is unknown at a relay in touch.
    UnknownThoughAcknowledged,
    /// A proper order had no clear answer while the core was stable.
    OrderWithoutAnswer,
    /// A keeper's process ended by itself.
    KeeperEnded,
}

/// A finding, with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// What is broken.
    pub property: Property,
    /// When it shows.
    pub at: Time,
    /// Who and what.
    pub detail: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.since(Time::default()).as_secs_f64();
        write!(f, "{:?} at {at:.3} s: {}", self.property, self.detail)
    }
}

/// What a judge adds findings to.
#[derive(Debug, Default)]
pub(crate) struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, property: Property, at: Time, detail: String) {
        self.0.push(Finding { property, at, detail });
    }
}

/// Judges a day by its history. Findings come in order of time.
pub fn judge(day: &Day, history: &[(Time, Seen)]) -> Vec<Finding> {
    let view = View::of(day, history);
    let mut findings = Findings::default();
    orders::judge(&view, &mut findings);
    relays::judge(&view, &mut findings);
    endpoints::judge(&view, &mut findings);
    liveness::judge(&view, &mut findings);
    for (at, seen) in history {
        if let Seen::KeeperEnded { keeper } = seen {
            findings.add(Property::KeeperEnded, *at, format!("core-{keeper}"));
        }
    }
    let mut findings = findings.0;
    findings.sort_by_key(|finding| finding.at);
    findings
}

fn order_name(order: OrderId) -> String {
    format!("order {order}")
}
