//! The scenario of a run: sizes, destinations, clients and faults, with its validation and the draw of its ranges.
//!
//! Where a key in scenario files differs from the name of the field, the field has a `serde` attribute with the key. A
//! number may be written as a range: a range of type [`PerRun`] is drawn once for a run, one of type [`PerItem`] for
//! each item that it describes (a destination, a call). The unit of a parameter is part of its name; a parameter
//! without unit is a ratio or a count.

mod check;
mod defaults;
mod fault;
mod plan;
mod range;
mod resolve;
mod service;

use serde::{Deserialize, Serialize};

pub use check::ScenarioError;
pub use fault::{Fault, FaultKind};
pub use plan::{Clients, Destinations, List, Network, Relays, Rules, Traffic};
pub use range::{PerItem, PerRun, Range};
pub(crate) use resolve::FAULT_RANGES;
pub use service::{Account, Decay, Kind, LimitKind, Semantics, ServiceTimeDistribution, Topic};

/// The input of a run, apart from its seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// A one-sentence description.
    #[serde(default)]
    pub about: String,
    /// The seed with which it reproduces the finding that it was saved for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// For how long notifications are submitted; the run continues until all have their final answer.
    #[serde(rename = "span_s")]
    pub duration_s: PerRun,
    /// Names of zones; endpoints and relays are placed in them round-robin.
    #[serde(default = "defaults::zones")]
    pub zones: Vec<String>,
    /// The relays.
    pub relays: Relays,
    /// The notifications that are submitted.
    pub traffic: Traffic,
    /// The numbers of destinations and endpoints.
    pub destinations: Destinations,
    /// Connections between relays and endpoints.
    #[serde(default)]
    pub network: Network,
    /// The endpoint list.
    #[serde(default)]
    pub list: List,
    /// The behaviour of clients.
    #[serde(default)]
    pub clients: Clients,
    /// The tolerances of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// Topic types.
    #[serde(rename = "topic")]
    pub topics: Vec<Topic>,
    /// Kinds of destination.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// Accounts, to which destinations are allocated. Without accounts there are no quotas.
    #[serde(rename = "account", default)]
    pub accounts: Vec<Account>,
    /// The faults.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
}
