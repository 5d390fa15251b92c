//! The scenario of a run: sizes, destinations, clients and faults as data, with its check and the draw of its ranges.
//!
//! Where the name of a field differs from its key in scenario files, the key stands beside it. A number may be written
//! as a range: a range of type [`Once`] is drawn once for a run, one of type [`Each`] anew for each thing that it
//! describes (a destination, a call). Every figure has its unit in its name; without one it is a ratio or a count.

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
pub use range::{Each, Once, Range};
pub(crate) use resolve::FAULT_RANGES;
pub use service::{Account, Decay, Kind, LatencyDistribution, LimitForm, Semantics, Topic};

/// All that determines a run but its seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Its purpose, in a sentence.
    #[serde(default)]
    pub about: String,
    /// The seed for which it shows what it was kept for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// For how long notifications are submitted; the run goes on until all have their final answer.
    #[serde(rename = "span_s")]
    pub duration_s: Once,
    /// Names of zones; endpoints and relays are placed in them in turn.
    #[serde(default = "defaults::zones")]
    pub zones: Vec<String>,
    /// The relays.
    pub relays: Relays,
    /// The notifications that are submitted.
    pub traffic: Traffic,
    /// How many destinations and endpoints there are.
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
