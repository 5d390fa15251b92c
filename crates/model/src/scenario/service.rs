//! Topic types, kinds of destination and accounts.

use serde::{Deserialize, Serialize};

use super::defaults;
use super::range::{PerItem, PerRun};

/// The effect of a second execution of a notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Semantics {
    /// No further effect.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// All endpoints of the destination drop repeats within a time window.
    #[serde(rename = "collapsible")]
    Deduplicated,
    /// The endpoints in the zone of the first execution drop repeats within a time window.
    #[serde(rename = "collapsible-in-zone")]
    DeduplicatedInZone,
    /// A further effect; a repeat is not allowed.
    #[serde(rename = "once-only")]
    NonIdempotent,
}

/// How the benefit of a delivery decays after the latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decay {
    /// Linearly, to the late benefit fraction at the TTL.
    #[serde(rename = "even")]
    #[default]
    Linear,
    /// By half with each further latency objective, but not below the late benefit fraction.
    #[serde(rename = "halves")]
    Exponential,
}

/// A topic type.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Topic {
    /// Its name.
    pub name: String,
    /// The weight of its traffic.
    #[serde(rename = "share")]
    pub traffic_weight: PerRun,
    /// The effect of a second execution.
    #[serde(rename = "effect")]
    pub semantics: Semantics,
    /// For how long repeats of a deduplicated topic type are dropped.
    #[serde(rename = "window_ms", default)]
    pub deduplication_window_ms: f64,
    /// Whether notifications with one key are delivered one after the other.
    #[serde(rename = "ordered", default)]
    pub is_ordered: bool,
    /// Mean service time at a speed of 1.
    #[serde(rename = "work_ms")]
    pub mean_work_ms: PerRun,
    /// Coefficient of variation of the service time, where it is lognormal.
    #[serde(default = "defaults::work_cv")]
    pub work_cv: PerRun,
    /// The distribution of the service time over notifications.
    #[serde(rename = "work_law", default)]
    pub work_distribution: ServiceTimeDistribution,
    /// Coefficient of variation of the service time over attempts for one notification.
    #[serde(rename = "try_cv", default = "defaults::try_cv")]
    pub attempt_cv: f64,
    /// The latency objective.
    #[serde(rename = "objective_ms")]
    pub latency_target_ms: f64,
    /// The TTL.
    pub ttl_ms: f64,
    /// The benefit of a delivery within the objective.
    #[serde(default = "defaults::benefit")]
    pub benefit: f64,
    /// The fraction of the benefit at the TTL.
    #[serde(rename = "late_share", default = "defaults::late_share")]
    pub late_benefit_fraction: f64,
    /// How the benefit decays between the latency objective and the TTL.
    #[serde(default)]
    pub decay: Decay,
    /// The kinds of destination that it is for; empty: all.
    #[serde(default)]
    pub kinds: Vec<String>,
}

/// The distribution of service times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceTimeDistribution {
    /// Lognormal, with a heavy tail.
    #[default]
    Lognormal,
    /// Exponential, for which queueing theory has closed-form results.
    Exponential,
}

/// How a destination limits the rate of calls of all relays together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitKind {
    /// No limit other than its capacity.
    #[default]
    None,
    /// By a token bucket.
    Rate,
    /// By a count in fixed windows.
    Window,
}

/// A kind of destination.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// The weight of its number of destinations.
    #[serde(rename = "share")]
    pub weight: f64,
    /// The speed; service times are divided by it.
    #[serde(default = "defaults::speed")]
    pub speed: PerItem,
    /// The capacity of its destinations, as a multiple of their traffic at full load.
    #[serde(rename = "spare", default = "defaults::spare")]
    pub capacity_headroom: PerItem,
    /// The kind of rate limit.
    #[serde(default)]
    pub limit: LimitKind,
    /// The rate limit, as a multiple of the traffic at full load.
    #[serde(rename = "headroom", default = "defaults::headroom")]
    pub limit_headroom: PerItem,
    /// The minimum of the rate limit, in calls a second.
    #[serde(rename = "least_rate", default = "defaults::least_rate")]
    pub min_limit_rate: PerItem,
    /// The depth of a token bucket, in seconds of its rate.
    #[serde(rename = "depth_s", default = "defaults::depth_s")]
    pub bucket_depth_s: PerItem,
    /// The length of a window.
    #[serde(rename = "window_ms", default = "defaults::window_ms")]
    pub limit_window_ms: PerItem,
    /// The probability that a rejection by the rate limit has a retry-after.
    #[serde(rename = "tells_wait", default)]
    pub announced_wait_fraction: f64,
    /// Whether rejected calls count towards the limit.
    #[serde(rename = "refused_count", default)]
    pub counts_rejected: bool,
    /// Whether responses include load reports.
    #[serde(rename = "reports", default = "defaults::reports")]
    pub has_load_reports: bool,
    /// The time between two load reports.
    #[serde(rename = "report_ms", default = "defaults::report_ms")]
    pub report_interval_ms: PerItem,
    /// The age at which a load report is sent.
    #[serde(rename = "report_late_ms", default = "defaults::report_late_ms")]
    pub report_delay_ms: PerItem,
    /// The largest error of a load report, as a fraction.
    #[serde(default)]
    pub report_noise: f64,
    /// Whether each endpoint is a route of its own, with its own limit, waits and outages.
    #[serde(rename = "apart", default)]
    pub has_separate_routes: bool,
    /// The maximum of notifications in a call.
    #[serde(rename = "per_call", default = "defaults::per_call")]
    pub max_notifications_per_call: usize,
    /// The service time that each further notification adds to a call, as a fraction of its own.
    #[serde(default = "defaults::item_cost")]
    pub item_cost: PerItem,
    /// The queue capacity of an endpoint, in calls for each server.
    #[serde(rename = "queue", default = "defaults::queue")]
    pub queue_per_server: PerItem,
    /// The maximum of connections of an endpoint, for each server; 0: no maximum.
    #[serde(rename = "connections", default)]
    pub connections_per_server: PerItem,
    /// The lower limit of that maximum.
    #[serde(rename = "least_connections", default = "defaults::least_connections")]
    pub min_connections: f64,
    /// The processing time of an endpoint for opening a connection.
    #[serde(default)]
    pub handshake_work_ms: f64,
    /// The fraction of calls answered with an error.
    #[serde(default)]
    pub error_rate: PerItem,
    /// Whether cancelled calls leave the queue.
    #[serde(default)]
    pub drops_cancelled: bool,
}

/// An account.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// The weight of its quota and of its number of destinations.
    #[serde(rename = "share")]
    pub weight: f64,
    /// Its quota, as a multiple of its share of full load.
    #[serde(rename = "quota", default = "defaults::quota")]
    pub quota_fraction: f64,
    /// The fraction of its benefit that a notification above the quota earns.
    #[serde(rename = "over_share", default = "defaults::over_share")]
    pub over_quota_benefit_fraction: f64,
}
