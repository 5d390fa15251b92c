//! Topic types, kinds of destination and accounts: what is served, by whom and for whom.

use serde::{Deserialize, Serialize};

use super::defaults::{
    depth, eight_connections, fifth, half, item_cost, one, one_each, queue, report, report_late, spare,
    tenth, two, usual, window, yes,
};
use super::range::{Each, Once};

/// What happens if a notification runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Nothing.
    Repeatable,
    /// The repeat is dropped, for a window, by all endpoints of the destination.
    Collapsible,
    /// The repeat is dropped, for a window, by the endpoints of the first one's zone.
    CollapsibleInZone,
    /// It must not.
    OnceOnly,
}

/// How the benefit of a delivery falls after the latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decay {
    /// Evenly, down to the late share at the TTL.
    #[default]
    Even,
    /// By half with each further objective, the late share at the least.
    Halves,
}

/// A topic type.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Topic {
    /// Its name.
    pub name: String,
    /// Its part of the traffic, as a weight.
    pub share: Once,
    /// What a second run would do.
    pub effect: Effect,
    /// For how long a repeat of a collapsible one is dropped.
    #[serde(default)]
    pub window_ms: f64,
    /// Whether notifications with one key go one at a time.
    #[serde(default)]
    pub ordered: bool,
    /// Mean time at an endpoint of usual pace.
    pub work_ms: Once,
    /// Its coefficient of variation, where it is lognormal.
    #[serde(default = "usual")]
    pub work_cv: Once,
    /// How it varies from one notification to another.
    #[serde(default)]
    pub work_law: LatencyDistribution,
    /// How much one try for a notification differs from the next, as a coefficient of variation.
    #[serde(default = "fifth")]
    pub try_cv: f64,
    /// The latency objective.
    pub objective_ms: f64,
    /// The TTL.
    pub ttl_ms: f64,
    /// The benefit within the objective.
    #[serde(default = "one")]
    pub benefit: f64,
    /// The share of it at the TTL.
    #[serde(default = "half")]
    pub late_share: f64,
    /// How it falls between.
    #[serde(default)]
    pub decay: Decay,
    /// The kinds of destination that it goes to; none: all.
    #[serde(default)]
    pub kinds: Vec<String>,
}

/// How work varies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LatencyDistribution {
    /// Lognormal, with a heavy tail.
    #[default]
    Lognormal,
    /// Exponential, for which queueing theory has plain answers.
    Exponential,
}

/// How a destination limits calls from all relays together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitForm {
    /// Only by its capacity.
    #[default]
    None,
    /// A plain rate with some depth.
    Rate,
    /// A count in each fixed span.
    Window,
}

/// A kind of destination.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its part of the destinations, as a weight.
    pub share: f64,
    /// Its pace: times are divided by it.
    #[serde(default = "usual")]
    pub speed: Each,
    /// What its destinations can serve over what comes at full load.
    #[serde(default = "spare")]
    pub spare: Each,
    /// The form of its limit.
    #[serde(default)]
    pub limit: LimitForm,
    /// The limit over what comes at full load.
    #[serde(default = "spare")]
    pub headroom: Each,
    /// The least limit, in calls a second.
    #[serde(default = "two")]
    pub least_rate: Each,
    /// The depth of a rate: how many seconds of it may come at once.
    #[serde(default = "depth")]
    pub depth_s: Each,
    /// The span of a window.
    #[serde(default = "window")]
    pub window_ms: Each,
    /// The chance that a refusal above the limit tells how long to wait.
    #[serde(default)]
    pub tells_wait: f64,
    /// Whether refused calls use the limit up.
    #[serde(default)]
    pub refused_count: bool,
    /// Whether load reports come with answers.
    #[serde(default = "yes")]
    pub reports: bool,
    /// How often a report is made anew.
    #[serde(default = "report")]
    pub report_ms: Each,
    /// How old it is when it counts as made.
    #[serde(default = "report_late")]
    pub report_late_ms: Each,
    /// Its noise, as a share.
    #[serde(default)]
    pub report_noise: f64,
    /// Whether endpoints are routes apart, each with its own limit, waits and outages.
    #[serde(default)]
    pub apart: bool,
    /// Notifications in a call at most.
    #[serde(default = "one_each")]
    pub per_call: usize,
    /// What each further one adds to a call's work.
    #[serde(default = "item_cost")]
    pub item_cost: Each,
    /// Calls that may wait, for each one in service.
    #[serde(default = "queue")]
    pub queue: Each,
    /// Connections that an endpoint takes over the calls it serves at once; 0: no bound.
    #[serde(default)]
    pub connections: Each,
    /// The least connections that it takes, where there is a bound.
    #[serde(default = "eight_connections")]
    pub least_connections: f64,
    /// What opening a connection costs it, in work.
    #[serde(default)]
    pub handshake_work_ms: f64,
    /// The share of calls answered with an error.
    #[serde(default)]
    pub error_rate: Each,
    /// Whether calls that were called off leave the queue.
    #[serde(default)]
    pub drops_cancelled: bool,
}

/// An account.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Its part of the service.
    pub share: f64,
    /// Its share of full load that it may use, in notifications a second over full load.
    #[serde(default = "one")]
    pub quota: f64,
    /// What a notification beyond its share is worth, as a share of its benefit.
    #[serde(default = "tenth")]
    pub over_share: f64,
}
