//! What a run is told: the scenario, as data. It owns the vocabulary of sizes, destinations, clients and troubles,
//! the check of one and the draw of its ranges. It must never hold code for one trouble or one deployment, nor
//! know the text form a scenario was written in.
//!
//! A number may be written as a range. Ranges named [`Once`] are drawn once for a run, [`Each`] anew for each
//! thing they speak of (a destination, a call). Every figure has its unit in its name.

mod check;
mod defaults;
mod fault;
mod plan;
mod range;
mod resolve;
mod service;

use serde::{Deserialize, Serialize};

pub use check::ScenarioError;
use defaults::one_zone;
pub use fault::{Fault, FaultKind};
pub use plan::{Clients, Destinations, List, Network, Relays, Rules, Traffic};
pub use range::{Each, Once, Range};
pub use service::{Account, Decay, Effect, Kind, LatencyDistribution, LimitForm, Topic};

/// All that a run is told but its seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is for, in a sentence.
    #[serde(default)]
    pub about: String,
    /// The seed that it is kept for, where it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// For how long notifications are handed in; the run goes on until all are answered.
    pub span_s: Once,
    /// The zones, by name; endpoints and relays are spread over them in turn.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// The relays.
    pub relays: Relays,
    /// What is handed in.
    pub traffic: Traffic,
    /// How many destinations and endpoints there are.
    pub destinations: Destinations,
    /// Connections between relays and endpoints.
    #[serde(default)]
    pub network: Network,
    /// The list of endpoints.
    #[serde(default)]
    pub list: List,
    /// What clients do.
    #[serde(default)]
    pub clients: Clients,
    /// The figures of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// Topic types.
    pub topic: Vec<Topic>,
    /// Kinds of destination.
    pub kind: Vec<Kind>,
    /// Accounts; destinations are dealt out to them. Without any, there is no share to be over.
    #[serde(default)]
    pub account: Vec<Account>,
    /// What goes wrong.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
}
